//! Datagrams to and from the system's other processes.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use samphirespread_core::prelude::*;
use samphirespread_logging::event;
use samphirespread_peer::{
    Datagram, DepartingServer, Directive, EngineReport, LoadDirective, MAX_DATAGRAM_BYTES,
    NamedWeights, RouterReport, TeamUsage, decode, encode,
};
use samphirespread_routing::{
    freshness::{Copy, Echo},
    quota::{TeamKey, UsageReport},
};
use slog::{info, warn};
use tokio::time;

use crate::{conduct, fleet::Departure, gateway::Core, metrics, reads, state::State};

/// Time between two reports to the other routers.
const REPORT_MS: u64 = 100;
/// Reports between two that tell of everything, not only of what has changed lately.
const REPORTS_A_FULL_ONE: u64 = 10;
/// What changed this long ago is still told in every report, so that lost ones cost nothing.
const LATELY_MS: u64 = 1_000;
/// A server's departure is told for this long; the list shows it by then.
const DEPARTURE_TOLD_MS: u64 = 10_000;
/// Reports between two directives to each sidecar.
const REPORTS_A_DIRECTIVE: u64 = 5;

/// Takes in datagrams.
pub(crate) async fn receive(core: Arc<Core>) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let (length, from) = match core.socket.recv_from(&mut buffer).await {
            Ok(received) => received,
            Err(error) => {
                warn!(core.log, "{}", event::RECEIVING_FAILED; "error" => %error);
                time::sleep(Duration::from_millis(REPORT_MS)).await;
                continue;
            }
        };
        match decode(&buffer[..length]) {
            Ok(Datagram::Router(report)) => take_router(&core, report),
            Ok(Datagram::Engine(report)) => take_engine(&core, from, report),
            Ok(Datagram::Directive(_)) => {
                warn!(core.log, "{}", event::DATAGRAM_MISPLACED; "from" => %from);
            }
            Err(error) => {
                warn!(core.log, "{}", event::DATAGRAM_LEFT_OUT; "from" => %from, "error" => %error);
            }
        }
    }
}

fn take_router(core: &Core, report: RouterReport) {
    let now = core.now();
    let mut state = core.state();
    for named in &report.weights {
        let named_by = now.minus_ms(named.age_ms);
        if state.learn_weights(&named.model, named.version, named_by) {
            info!(core.log, "{}", event::WEIGHTS_NAMED; "model" => %named.model, "version" => named.version,
                "source" => report.from.as_str(), "age_ms" => named.age_ms);
            core.told.notify_one();
        }
    }
    for server in &report.departures {
        let (id, started_unix_ms) = (server.server_id.as_str().into(), server.started_unix_ms);
        if state.fleet.departs(Departure { id, started_unix_ms }, now) {
            info!(core.log, "{}", event::SERVER_DRAINS; "server" => &server.server_id,
                "source" => report.from.as_str());
        }
    }
    if !state.routers.contains_key(&report.from) {
        // It is not on this router's list yet, which another read will show.
        state.reads.routers = Copy::default();
        state.reads.news.routers = true;
        core.news.notify_one();
        return;
    }
    let admin = state.routers.get(&report.from).and_then(|router| router.admin);
    if reads::heard(core, &mut state, &report, admin) {
        core.news.notify_one();
    }
    let totals = report.usage.iter().map(|usage| (TeamKey(usage.team), usage.total)).collect();
    let usage = UsageReport { totals, is_full: report.usage_is_full };
    state.quotas.heard(&report.from, report.incarnation, &usage, now);
    if let Some(router) = state.routers.get_mut(&report.from) {
        let is_older = router.report.as_ref().is_some_and(|(known, _)| {
            (known.incarnation, known.sent) > (report.incarnation, report.sent)
        });
        if !is_older && let Some((_, heard)) = router.report.replace((report, now)) {
            core.metrics.usage_gap_s.observe(metrics::seconds(now.ms_since(heard)));
        }
    }
}

fn take_engine(core: &Core, from: SocketAddr, report: EngineReport) {
    let now = core.now();
    let mut state = core.state();
    let Some(reported) = state.fleet.reported(from.ip(), report, now) else { return };
    if reported.started_anew && reads::leads(core, &state, now) {
        state.reads.news.servers = true;
        core.news.notify_one();
    }
    // Whatever else may change with time is looked at with every report of this router's own.
    if reported.is_news && conduct::conduct(core, &mut state, now) {
        core.told.notify_one();
    }
}

/// Sends reports and directives.
pub(crate) async fn send(core: Arc<Core>) {
    let mut round: u64 = 0;
    let mut due = core.now();
    loop {
        let wait_ms = due.ms_since(core.now());
        let was_told = tokio::select! {
            () = time::sleep(Duration::from_millis(wait_ms)) => false,
            () = core.told.notified() => true,
        };
        let now = core.now();
        core.pulse.beat(now);
        let mut outgoing = Vec::new();
        {
            let mut state = core.state();
            conduct::conduct(&core, &mut state, now);
            directives(&core, &state, round, &mut outgoing);
            if !was_told {
                reports(&core, &state, now, round, &mut outgoing);
            }
        }
        for (address, bytes) in outgoing {
            if let Err(error) = core.socket.send_to(&bytes, address).await {
                warn!(core.log, "{}", event::DATAGRAM_NOT_SENT; "to" => %address, "error" => %error);
            }
        }
        if !was_told {
            round += 1;
            due = now.plus_ms(REPORT_MS);
        }
    }
}

fn reports(
    core: &Core,
    state: &State,
    now: MonoTime,
    round: u64,
    outgoing: &mut Vec<(SocketAddr, Vec<u8>)>,
) {
    let recent = Lately::since(state, now.minus_ms(LATELY_MS), now);
    let full = Lately::all(state, now);
    let can_conduct = conduct::can_conduct(state, now);
    let has_just_started = now.ms_since(state.started) <= LATELY_MS;
    for (index, router) in (0_u64..).zip(state.routers.values()) {
        let is_full = has_just_started
            || router.report.is_none()
            || (round + index).is_multiple_of(REPORTS_A_FULL_ONE);
        let told = if is_full { &full } else { &recent };
        let report = RouterReport {
            from: core.name.clone(),
            incarnation: core.incarnation,
            sent: now,
            echo: router
                .report
                .as_ref()
                .map(|(report, _)| Echo { incarnation: report.incarnation, sent: report.sent }),
            reads_store: state.reads.is_up && state.table.is_some(),
            configuration: state.reads.configuration.word(now),
            servers: state.reads.servers.word(now),
            routers: state.reads.routers.word(now),
            weights: told.weights.clone(),
            usage: told.usage.clone(),
            usage_is_full: is_full,
            departures: told.departures.clone(),
            can_conduct,
        };
        outgoing.push((router.address, encode(&Datagram::Router(report))));
    }
}

/// What a report tells that changes seldom.
struct Lately {
    weights: Vec<NamedWeights>,
    usage: Vec<TeamUsage>,
    departures: Vec<DepartingServer>,
}

impl Lately {
    /// All of it.
    fn all(state: &State, now: MonoTime) -> Self {
        Self::new(state, &state.quotas.usage(), u64::MAX, now)
    }

    /// What has changed since a moment.
    fn since(state: &State, since: MonoTime, now: MonoTime) -> Self {
        Self::new(state, &state.quotas.usage_since(since), now.ms_since(since), now)
    }

    fn new(state: &State, usage: &UsageReport, within_ms: u64, now: MonoTime) -> Self {
        let mut weights = Vec::new();
        for (model, named) in &state.weights {
            let recent = named.ages_ms(now).filter(|(_, age_ms)| *age_ms <= within_ms);
            weights.extend(recent.map(|(version, age_ms)| NamedWeights {
                model: model.clone(),
                version,
                age_ms,
            }));
        }
        let usage = usage.totals.iter();
        let usage = usage.map(|(team, total)| TeamUsage { team: team.0, total: *total }).collect();
        let told_for_ms = within_ms.min(DEPARTURE_TOLD_MS);
        let departures = state.fleet.departures(told_for_ms, now).map(|run| DepartingServer {
            server_id: run.id.to_string(),
            started_unix_ms: run.started_unix_ms,
        });
        Self { weights, usage, departures: departures.collect() }
    }
}

/// Directives to the sidecars whose turn it is, and to all that are to load.
fn directives(core: &Core, state: &State, round: u64, outgoing: &mut Vec<(SocketAddr, Vec<u8>)>) {
    let port = core.addresses.peers.port();
    for (index, server) in (0_u64..).zip(conduct::engines(state)) {
        let grant = state.granted.get(&server.entry.id);
        // A sidecar that was not heard yet is asked at once: its word goes before the list's.
        let is_due = (round + index).is_multiple_of(REPORTS_A_DIRECTIVE) || server.report.is_none();
        if grant.is_none() && !is_due {
            continue;
        }
        let directive = Directive {
            from: core.name.clone(),
            server_id: server.entry.id.to_string(),
            load: grant
                .map(|grant| LoadDirective { model: grant.model.clone(), version: grant.version }),
        };
        let address = SocketAddr::new(server.entry.address.ip(), port);
        outgoing.push((address, encode(&Datagram::Directive(directive))));
    }
}
