//! What operators and the platform would write: configuration and settings files.

use std::net::SocketAddr;

use samphirespread_standin::published::documents::{self, RouteKind, Service, Team};
use serde_json::Value;

use crate::{
    checker::Bounds,
    history::{Caller, Route},
    plan::Setting,
};

/// The host that callers ask for.
pub(crate) const HOST: &str = "desk.example";
/// The model of all engines.
pub(crate) const MODEL: &str = "reader";
/// The service of the plain servers.
pub(crate) const DESK: &str = "desk";
/// The service of some of the plain servers, to which a configuration may send lookups.
pub(crate) const SECOND_DESK: &str = "second-desk";
/// The service of the engines.
pub(crate) const ENGINES: &str = "engines";

/// What changes from configuration to configuration.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ConfigurationFacts {
    pub(crate) generation: u64,
    /// Whether the changing team has its key.
    pub(crate) with_key: bool,
    pub(crate) with_extra_route: bool,
    pub(crate) with_extra_team: bool,
    /// Routes that no request asks for.
    pub(crate) many_routes: u64,
    pub(crate) second_service_weight: u64,
    pub(crate) stream_timeout_ms: u64,
    pub(crate) rate_percent: u64,
    pub(crate) idle_timeout_ms: u64,
}

impl ConfigurationFacts {
    pub(crate) fn new(bounds: &Bounds) -> Self {
        Self {
            generation: 1,
            with_key: true,
            with_extra_route: false,
            with_extra_team: false,
            many_routes: 0,
            second_service_weight: 0,
            stream_timeout_ms: bounds.stream_deadline_ms,
            rate_percent: 100,
            idle_timeout_ms: 5_000,
        }
    }

    /// Changes one setting.
    pub(crate) fn change(&mut self, setting: Setting) {
        match setting {
            Setting::ExtraRoute(with) => self.with_extra_route = with,
            Setting::SecondServiceWeight(weight) => self.second_service_weight = weight,
            Setting::StreamTimeout(timeout_ms) => self.stream_timeout_ms = timeout_ms,
            Setting::ManyRoutes(count) => self.many_routes = count,
            Setting::ExtraTeam(with) => self.with_extra_team = with,
            Setting::RatePercent(percent) => self.rate_percent = percent,
            Setting::IdleTimeout(timeout_ms) => self.idle_timeout_ms = timeout_ms,
        }
    }
}

/// A configuration.
pub(crate) fn configuration(facts: &ConfigurationFacts, bounds: &Bounds) -> Value {
    let mut routes: Vec<_> =
        Route::ALL.iter().map(|route| route_entry(*route, facts, bounds)).collect();
    let weight = facts.second_service_weight;
    let weighted = [(DESK, 100 - weight), (SECOND_DESK, weight)];
    if weight > 0 {
        routes[0].weighted = &weighted;
    }
    if facts.with_extra_route {
        routes.push(documents::Route { name: "extra", ..routes[0] });
    }
    let names: Vec<String> =
        (0..facts.many_routes).map(|number| format!("many-{number}")).collect();
    routes.extend(
        names.iter().map(|name| documents::Route { name, ..routes[1] }).collect::<Vec<_>>(),
    );
    let service = |name, has_engines| Service { name, max_connections: 200, has_engines };
    let services = [service(DESK, false), service(ENGINES, true), service(SECOND_DESK, false)];
    let steady = team(Caller::Steady, bounds);
    let limited = team(Caller::Limited, bounds);
    let changing = team(Caller::Changing, bounds);
    #[expect(clippy::cast_precision_loss, reason = "a percentage")]
    let rate_per_s = bounds.rate_per_s * facts.rate_percent as f64 / 100.0;
    let mut teams = vec![
        steady,
        Team { rate_per_s, burst: bounds.burst, ..limited },
        Team { key: changing.key.filter(|_| facts.with_key), is_dedicated: true, ..changing },
    ];
    if facts.with_extra_team {
        teams.push(Team { name: "extra", key: Some("key-of-the-extra"), ..steady });
    }
    documents::configuration(facts.generation, facts.idle_timeout_ms, &routes, &services, &teams)
}

/// A team without a limit.
fn team(caller: Caller, bounds: &Bounds) -> Team<'static> {
    Team {
        name: caller.team(),
        key: Some(caller.key()),
        is_dedicated: false,
        request_tokens: bounds.plain_tokens,
        rate_per_s: 0.0,
        burst: 0.0,
    }
}

fn route_entry<'a>(
    route: Route,
    facts: &ConfigurationFacts,
    bounds: &Bounds,
) -> documents::Route<'a> {
    let kind = match route {
        Route::Lookup => RouteKind::Idempotent,
        Route::Issue => RouteKind::AtMostOnce,
        Route::Stream => RouteKind::Stream { resumable: false },
        Route::Resumable => RouteKind::Stream { resumable: true },
    };
    documents::Route {
        name: route.path(),
        host: HOST,
        kind,
        service: if route.is_stream() { ENGINES } else { DESK },
        weighted: &[],
        timeout_ms: if route.is_stream() { facts.stream_timeout_ms } else { bounds.deadline_ms },
        max_attempts: route.max_runs(),
    }
}

/// What a gateway's settings say.
#[derive(Clone, Copy, Debug)]
pub(crate) struct GatewayFacts {
    pub(crate) index: usize,
    pub(crate) callers: SocketAddr,
    pub(crate) readiness: SocketAddr,
    pub(crate) peers: SocketAddr,
    pub(crate) admin: SocketAddr,
    pub(crate) store: SocketAddr,
    /// Changes with each change of the settings, and stays within the bound.
    pub(crate) retry_slack: u64,
    pub(crate) clock_ahead_ms: i64,
    pub(crate) grace_s: u64,
    /// Whether admission control is on.
    pub(crate) admission: bool,
}

/// A gateway's settings file.
pub(crate) fn gateway_settings(facts: &GatewayFacts, bounds: &Bounds) -> String {
    let GatewayFacts { index, callers, readiness, peers, admin, store, .. } = facts;
    let exposure = match bounds.exposure_share {
        0.0 => String::new(),
        share => format!("exposure_share = {share}\n"),
    };
    format!(
        "[instance]\nname = g{index}\nregion = khomas\nfailure_domain = zone-{zone}\n\
         [capacity]\nmemory_mb = {memory_mb}\n\
         [listen]\ncallers = {callers}\nreadiness = {readiness}\npeers = {peers}\nadmin = {admin}\n\
         [store]\naddress = {store}\ntimeout_ms = 400\npoll_ms = 300\n\
         [bounds]\nkey_withdrawal_ms = {withdrawal}\nserver_drain_ms = {drain}\ngrace_s = {grace}\n\
         configuration_ms = {apply}\nrollout_ms = {rollout}\n\
         retry_ratio = {ratio}\nretry_window_s = {window_s}\n\
         retry_slack = {slack}\nquota_slack = {quota}\n{exposure}\
         [clock]\nahead_ms = {ahead}\n\
         {decisions}",
        zone = index % 3,
        withdrawal = bounds.key_withdrawal_ms,
        drain = bounds.server_drain_ms,
        grace = facts.grace_s,
        apply = bounds.config_apply_ms,
        memory_mb = bounds.gateway_memory_mb,
        rollout = bounds.rollout_ms,
        ratio = bounds.retry_ratio,
        window_s = bounds.retry_window_ms / 1_000,
        slack = facts.retry_slack,
        quota = bounds.quota_slack,
        ahead = facts.clock_ahead_ms,
        decisions = if facts.admission { "[decisions]\non = admission, team_shares\n" } else { "" },
    )
}

/// A sidecar's settings file.
pub(crate) fn sidecar_settings(
    index: usize,
    peers: SocketAddr,
    admin: SocketAddr,
    engine: SocketAddr,
) -> String {
    format!(
        "[instance]\nname = s{index}\nregion = khomas\nfailure_domain = zone-{zone}\n\
         [listen]\npeers = {peers}\nadmin = {admin}\n\
         [engine]\naddress = {engine}\nreport_ms = 50\ntimeout_ms = 300\n",
        zone = index % 3,
    )
}
