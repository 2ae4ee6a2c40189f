//! The faults of a run, drawn from a seed.

mod drills;
mod foreign;
mod idle;
mod large;
mod limits;
mod overload;
mod pressure;
mod rollout;
mod single;
mod work;

use std::ops::Range;

use rand::{Rng, SeedableRng, rngs::SmallRng};
use serde::{Deserialize, Serialize};

pub use self::{
    foreign::{ForeignEntry, ForeignKind, ForeignStart},
    rollout::Quality,
};

/// Calm before the first fault, in which all processes find each other.
const CALM_AT_START_MS: u64 = 1_500;
/// Calm after the last fault, in which everything has to work again.
const CALM_AT_END_MS: u64 = 9_000;
/// Time between the beginnings of two faults.
const GAP_MS: Range<u64> = 50..1_400;
/// How long a fault lasts.
const LENGTH_MS: Range<u64> = 80..2_500;
/// One fault in this many comes several times in a row.
const SERIES_ONE_IN: u32 = 4;
/// How often, and how soon again, a fault of a series comes.
const SERIES_LENGTH: Range<u32> = 2..5;
const SERIES_GAP_MS: Range<u64> = 60..900;

/// The grace period of plans that name none.
const USUAL_GRACE_S: u64 = 8;
/// Callers with an unknown key, of plans that name none.
const USUAL_UNKNOWN_CALLERS: u64 = 2;

/// A run: its size and its faults.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Plan {
    /// The seed of faults and load.
    pub seed: u64,
    /// How long callers send.
    pub length_ms: u64,
    /// Gateways.
    pub gateways: usize,
    /// Engines, each with its sidecar.
    pub engines: usize,
    /// Servers of the plain service.
    pub desks: usize,
    /// A gateway that was asked to leave is killed after this many seconds.
    #[serde(default = "usual_grace_s")]
    pub grace_s: u64,
    /// Callers whose key no configuration ever held. Their requests count towards the budget of repeats,
    /// but not at gateways, so that it is hardest to keep without them.
    #[serde(default = "usual_unknown_callers")]
    pub unknown_callers: u64,
    /// Whether gateways use admission control.
    #[serde(default)]
    pub admission: bool,
    /// What happens, by time.
    pub faults: Vec<Planned>,
}

fn usual_unknown_callers() -> u64 {
    USUAL_UNKNOWN_CALLERS
}

fn usual_grace_s() -> u64 {
    USUAL_GRACE_S
}

/// What a new configuration changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Setting {
    /// A route that no request asks for comes or goes.
    ExtraRoute(bool),
    /// The share of lookups that a second plain service gets, of 100.
    SecondServiceWeight(u64),
    /// Streams end after this many milliseconds.
    StreamTimeout(u64),
    /// That many routes come that no request asks for, in place of those before.
    ManyRoutes(u64),
    /// A team that sends nothing comes or goes.
    ExtraTeam(bool),
    /// The limited team's share of its usual rate, of 100.
    RatePercent(u64),
    /// Idle connections of callers are closed after this many milliseconds.
    IdleTimeout(u64),
}

/// A fault at a time.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Planned {
    /// When it begins.
    pub at_ms: u64,
    /// How long it lasts.
    pub for_ms: u64,
    /// What happens.
    pub fault: Fault,
}

/// What happens to a connection's path.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PathFault {
    /// Open connections are closed in order.
    Closed,
    /// Open connections are reset.
    Reset,
    /// No byte passes on open connections.
    Silent,
    /// No byte passes towards the server on open connections.
    SilentToServer,
    /// No byte passes from the server on open connections.
    SilentFromServer,
    /// New connections are closed at once.
    Down,
    /// Every byte comes later by this many milliseconds.
    Slow(u64),
    /// The path carries that many bytes a second from the server.
    Narrow(u64),
}

/// A process that signals are sent to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Process {
    /// A gateway.
    Gateway(usize),
    /// The sidecar of an engine.
    Sidecar(usize),
}

/// A path that runs through a proxy.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Path {
    /// From callers to a gateway.
    Callers(usize),
    /// From a gateway to the store.
    Store(usize),
    /// From all to a backend server.
    Server(usize),
}

/// What happens.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Fault {
    /// SIGTERM; started again once it is gone.
    Leaves(Process),
    /// SIGKILL; started again at the end.
    Dies(Process),
    /// SIGSTOP, and SIGCONT at the end.
    Freezes(Process),
    /// SIGHUP.
    HangUp(Process),
    /// The settings file changes, with or without a signal.
    SettingsChange {
        /// The gateway.
        gateway: usize,
        /// Whether SIGHUP follows.
        signalled: bool,
    },
    /// The wall clock of a gateway is wrong from now on, by this many milliseconds.
    WrongClock {
        /// The gateway.
        gateway: usize,
        /// How much it is ahead.
        ahead_ms: i64,
    },
    /// A path is disturbed.
    Path(Path, PathFault),
    /// The store answers 503.
    StoreDown,
    /// The store answers 429.
    StoreOverRate,
    /// The store is silent.
    StoreFrozen,
    /// The store takes this many milliseconds longer.
    StoreSlow(u64),
    /// Writes take effect and get no answer.
    StoreLosesAnswers,
    /// The store forgets what has changed until now.
    StoreForgets,
    /// The store comes back at the end from a copy made at the beginning. The operator and the servers
    /// write again at once what they have written since.
    StoreReturns,
    /// A backend server refuses connections.
    ServerDown(usize),
    /// A backend server is frozen.
    ServerFrozen(usize),
    /// A backend server treats that many requests in odd ways.
    ServerMisbehaves {
        /// The server.
        server: usize,
        /// How many requests.
        requests: usize,
    },
    /// A backend server refuses that many requests as full.
    ServerRefuses {
        /// The server.
        server: usize,
        /// How many requests.
        requests: usize,
    },
    /// An engine begins that many requests late.
    ServerBeginsLate {
        /// The engine.
        server: usize,
        /// How many requests.
        requests: usize,
        /// How late.
        delay_ms: u64,
    },
    /// A backend server answers that many requests with bytes without end.
    ServerNeverEnds {
        /// The server.
        server: usize,
        /// How many requests.
        requests: usize,
    },
    /// A backend server drops connections that were idle for a time, without notice.
    ServerDropsIdle {
        /// The server.
        server: usize,
        /// How long a connection was idle.
        after_ms: u64,
    },
    /// A backend server names a limit on the requests of all gateways.
    ServerLimits {
        /// The server.
        server: usize,
        /// The limit, in requests in 1,000 seconds.
        per_1000_s: u64,
    },
    /// A backend server is marked as leaving.
    ServerDrains(usize),
    /// A backend server's entry is gone.
    EntryLapses(usize),
    /// Another server answers at a server's address.
    AddressReused {
        /// The server whose address it was.
        server: usize,
        /// The server that answers there.
        by: usize,
    },
    /// The changing team's key is withdrawn.
    KeyWithdrawn,
    /// A new configuration that allows the same.
    Reconfigured,
    /// A new configuration.
    Configured(Setting),
    /// Another writer leaves an entry in the list of servers, and removes it at the end or never.
    ForeignEntry(ForeignEntry),
    /// New weights are named.
    WeightsNamed,
    /// The plain service is to move to a new version, whose servers start at that moment.
    ServiceRollout {
        /// What the version is like.
        quality: Quality,
        /// The time in which the service is to have it.
        duration_s: u64,
    },
}

/// How large a run is.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    /// Gateways.
    pub gateways: usize,
    /// Engines, each with its sidecar.
    pub engines: usize,
    /// Servers of the plain service.
    pub desks: usize,
}

impl Plan {
    /// Draws a plan.
    pub fn draw(seed: u64, length_ms: u64, size: Size) -> Self {
        let mut random = SmallRng::seed_from_u64(seed);
        let last_ms = length_ms.saturating_sub(CALM_AT_END_MS);
        let mut faults = Vec::new();
        let mut at_ms = CALM_AT_START_MS;
        while at_ms < last_ms {
            let fault = single::draw(&mut random, size);
            let times = if random.random_ratio(1, SERIES_ONE_IN) {
                random.random_range(SERIES_LENGTH)
            } else {
                1
            };
            let mut again_ms = at_ms;
            for _ in 0..times {
                let for_ms = random.random_range(LENGTH_MS).min(last_ms.saturating_sub(again_ms));
                faults.push(Planned { at_ms: again_ms, for_ms, fault: fault.clone() });
                again_ms = (again_ms + random.random_range(SERIES_GAP_MS)).min(last_ms);
            }
            at_ms += random.random_range(GAP_MS);
        }
        faults.extend(limits::draw(seed, last_ms, size));
        faults.extend(large::draw(seed, last_ms, size));
        faults.extend(drills::draw(seed, last_ms, size));
        faults.extend(pressure::draw_refusals(seed, CALM_AT_START_MS..last_ms, size));
        faults.extend(pressure::draw_late_beginnings(seed, CALM_AT_START_MS..last_ms, size));
        faults.extend(pressure::draw_endless_answers(seed, CALM_AT_START_MS..last_ms, size));
        faults.extend(work::draw(seed, CALM_AT_START_MS..last_ms, work::Pace::Rare, size));
        faults.extend(rollout::draw(seed, CALM_AT_START_MS..last_ms, size));
        faults.extend(foreign::draw(seed, CALM_AT_START_MS..last_ms, size));
        faults.extend(idle::draw(seed, CALM_AT_START_MS..last_ms, size));
        Self::new(seed, length_ms, size, faults)
    }

    /// Draws a plan of planned work alone.
    pub fn draw_work(seed: u64, length_ms: u64, size: Size) -> Self {
        let span = work::CALM_AT_START_MS..length_ms.saturating_sub(CALM_AT_END_MS);
        let mut faults = work::draw(seed, span.clone(), work::Pace::Dense, size);
        faults.extend(pressure::draw_late_beginnings(seed, span.clone(), size));
        faults.extend(rollout::draw(seed, span.clone(), size));
        faults.extend(foreign::draw(seed, span.clone(), size));
        faults.extend(idle::draw(seed, span, size));
        Self::new(seed, length_ms, size, faults)
    }

    /// Draws a plan of engines that begin late for a while, with admission control.
    pub fn draw_overload(seed: u64, length_ms: u64, size: Size) -> Self {
        let span = work::CALM_AT_START_MS..length_ms.saturating_sub(CALM_AT_END_MS);
        let faults = overload::draw(seed, span, size);
        Self { admission: true, ..Self::new(seed, length_ms, size, faults) }
    }

    fn new(seed: u64, length_ms: u64, size: Size, mut faults: Vec<Planned>) -> Self {
        faults.sort_by_key(|planned| planned.at_ms);
        let Size { gateways, engines, desks } = size;
        let grace_s = work::draw_grace_s(seed);
        let refuses = |planned: &Planned| matches!(planned.fault, Fault::ServerRefuses { .. });
        let unknown_callers = if faults.iter().any(refuses) { 0 } else { USUAL_UNKNOWN_CALLERS };
        Self {
            seed,
            length_ms,
            gateways,
            engines,
            desks,
            grace_s,
            unknown_callers,
            admission: false,
            faults,
        }
    }

    /// All backend servers that are there from the beginning, engines first.
    pub fn servers(&self) -> usize {
        self.engines + self.desks
    }

    /// Whether a service is to move to a new version of its software.
    pub fn has_rollout(&self) -> bool {
        self.faults.iter().any(|planned| matches!(planned.fault, Fault::ServiceRollout { .. }))
    }
}
