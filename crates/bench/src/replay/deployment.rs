//! The two deployments that are replayed.

use serde::{Deserialize, Serialize};

/// A deployment: its instances, delays, engines and traffic.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Deployment {
    /// Names files and table rows.
    pub name: &'static str,
    /// Failure domains; workers and routers are spread over them in turn.
    pub failure_domains: usize,
    /// Entry instances.
    pub routers: usize,
    /// Model workers.
    pub workers: usize,
    /// One way between two failure domains.
    pub between_domains_us: u64,
    /// One way between a client and a router.
    pub to_client_us: u64,
    /// The engines.
    pub engine: EngineSpec,
    /// The traffic.
    pub traffic: Traffic,
}

/// What the fake engines do.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineSpec {
    /// Blocks that fit into an engine's cache.
    pub cache_blocks: usize,
    /// Prefill of one token.
    pub prefill_us_per_token: u32,
    /// One decode step of an empty batch.
    pub step_us: u64,
    /// What each running stream adds to a decode step.
    pub step_us_per_stream: u64,
    /// Streams at most in the batch.
    pub max_streams: usize,
    /// Time from a crash to an empty engine that serves.
    pub restart_us: u64,
}

/// What the generated traffic is like.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Traffic {
    /// Seed of the trace.
    pub seed: u64,
    /// Length of the trace.
    pub length_ms: u64,
    /// Mean arrivals a second.
    pub requests_per_s: f64,
    /// Shares of the teams in percent.
    pub team_percent: [u32; 5],
    /// Second levels (ledgers, report forms) of each team.
    pub documents: usize,
    /// Third levels below each second level.
    pub sections: usize,
    /// Exponent of the popularity of second and third levels.
    pub skew: f64,
}

/// Tokens in one cached block.
pub(crate) const BLOCK_TOKENS: u32 = 2_048;

/// Three failure domains, 18 drafting workers.
pub(crate) const OMARURU: Deployment = Deployment {
    name: "omaruru",
    failure_domains: 3,
    routers: 3,
    workers: 18,
    between_domains_us: 1_500,
    to_client_us: 3_000,
    engine: EngineSpec {
        cache_blocks: 300,
        prefill_us_per_token: 50,
        step_us: 18_000,
        step_us_per_stream: 400,
        max_streams: 32,
        restart_us: 3_000_000,
    },
    traffic: Traffic {
        seed: 11,
        length_ms: 240_000,
        requests_per_s: 20.0,
        team_percent: [45, 30, 15, 6, 4],
        documents: 40,
        sections: 8,
        skew: 1.0,
    },
};

/// Three failure domains, 9 reclaim model workers.
pub(crate) const MATOSINHOS: Deployment = Deployment {
    name: "matosinhos",
    workers: 9,
    between_domains_us: 500,
    to_client_us: 1_000,
    traffic: Traffic {
        seed: 12,
        requests_per_s: 10.0,
        team_percent: [40, 35, 15, 6, 4],
        documents: 25,
        ..OMARURU.traffic
    },
    ..OMARURU
};

/// Both deployments.
pub const DEPLOYMENTS: [Deployment; 2] = [OMARURU, MATOSINHOS];

impl Deployment {
    /// One way between a router and a worker.
    pub fn delay_us(&self, router: usize, worker: usize) -> u64 {
        const WITHIN_DOMAIN_US: u64 = 100;
        if router % self.failure_domains == worker % self.failure_domains {
            WITHIN_DOMAIN_US
        } else {
            self.between_domains_us
        }
    }
}

/// What happens during a replay.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Scenario {
    /// Nothing fails.
    Calm,
    /// One engine crashes and comes back empty.
    EngineCrash,
    /// All engines of one failure domain crash and come back empty.
    DomainCrash,
    /// The most used documents of each team give way to new ones.
    HotPrefixShift,
    /// All documents give way to new ones.
    WholeShift,
    /// One cache event in five is lost for twenty seconds.
    LostEvents,
    /// All routers restart and know nothing.
    RouterRestart,
}

/// All scenarios.
pub const SCENARIOS: [Scenario; 7] = [
    Scenario::Calm,
    Scenario::EngineCrash,
    Scenario::DomainCrash,
    Scenario::HotPrefixShift,
    Scenario::WholeShift,
    Scenario::LostEvents,
    Scenario::RouterRestart,
];

/// When the fault of a scenario strikes.
pub const FAULT_AT_MS: u64 = 100_000;

impl Scenario {
    /// The name in tables and files.
    pub fn name(self) -> &'static str {
        match self {
            Self::Calm => "calm",
            Self::EngineCrash => "engine_crash",
            Self::DomainCrash => "domain_crash",
            Self::HotPrefixShift => "hot_prefix_shift",
            Self::WholeShift => "whole_shift",
            Self::LostEvents => "lost_events",
            Self::RouterRestart => "router_restart",
        }
    }
}
