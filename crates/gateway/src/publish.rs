//! Sends datagrams: this router's own record and relayed ones to other routers, and directives to
//! sidecars.

use std::{collections::HashMap, net::SocketAddr, sync::Arc, time::Duration};

use samphirespread_core::prelude::*;
use samphirespread_fabric::{Record, RecordRequest};
use samphirespread_logging::event;
use samphirespread_peer::{
    Datagram, DepartingServer, Directive, LinkStatus, LoadDirective, NamedLimit, NamedWeights,
    Payload, RouterState, TeamUsage, encode, encode_record, router_packets,
};
use samphirespread_routing::quota::UsageReport;
use samphirespread_settings::Mechanism;
use slog::warn;
use tokio::time;

use crate::{
    conduct,
    fleet::Departure,
    gateway::Core,
    metrics, reads,
    state::{OtherRouter, State},
    stream_versions,
};

/// Time between two rounds of a router that relays records.
const ROUND_INTERVAL_MS: u64 = 50;
/// Rounds from one record of this router's own to the next. A router that doesn't relay skips the
/// rounds between.
const ROUNDS_PER_RECORD: u64 = 2;
/// Records from one that contains everything to the next. The others contain only recent changes.
const RECORDS_PER_FULL_RECORD: u64 = 10;
/// Changes are repeated in every record for this long, so that the loss of single records does no
/// harm.
const RECENT_CHANGE_MS: u64 = 400;
/// For this long after a router's start, all its records contain everything.
const FULL_RECORDS_AFTER_START_MS: u64 = 1_000;
/// A server's departure is published for this long. By then the list shows it.
const DEPARTURE_PUBLISHED_MS: u64 = 10_000;
/// Rounds from one directive to a sidecar to the next.
const ROUNDS_PER_DIRECTIVE: u64 = 10;
/// Rounds from one directive to the next, for an engine without a report yet.
const ROUNDS_PER_FIRST_DIRECTIVE: u64 = 4;

type Outgoing = Vec<(SocketAddr, Vec<u8>)>;

/// Sends records and directives in rounds, and at once when there is something new to publish, for
/// as long as the process runs.
pub(crate) async fn publish(core: Arc<Core>) {
    let mut round: u64 = 0;
    let mut due = core.now();
    loop {
        let wait_ms = due.ms_since(core.now());
        let was_notified = tokio::select! {
            () = time::sleep(Duration::from_millis(wait_ms)) => false,
            () = core.wake_publisher.notified() => true,
        };
        let now = core.now();
        if !was_notified {
            core.metrics.timer_lag_s.observe(metrics::seconds(now.ms_since(due)));
        }
        core.freeze_detector.record_beat(now);
        let (outgoing, rounds) = {
            let mut state = core.state();
            let rounds = if state.fabric.is_relay(now) { 1 } else { ROUNDS_PER_RECORD };
            (outgoing(&core, &mut state, round, was_notified, now), rounds)
        };
        for (address, bytes) in outgoing {
            if let Err(error) = core.socket.send_to(&bytes, address).await {
                warn!(core.log, "{}", event::DATAGRAM_NOT_SENT; "to" => %address, "error" => %error);
            }
        }
        if !was_notified {
            round = (round + rounds).next_multiple_of(rounds);
            due = now.plus_ms(rounds * ROUND_INTERVAL_MS);
        }
    }
}

fn outgoing(
    core: &Core,
    state: &mut State,
    round: u64,
    was_notified: bool,
    now: MonoTime,
) -> Outgoing {
    let mut outgoing = Outgoing::new();
    let publishes = was_notified || round.is_multiple_of(ROUNDS_PER_RECORD);
    if publishes {
        conduct::grant_loads(core, state, now);
        let own_state = own_state(core, state, round, now);
        let news = state.crash_causes.news(RECENT_CHANGE_MS, now);
        let rollouts = state.rollouts.news(&state.fleet, now);
        let record = encode_record(&Payload::Router(own_state), &news, rollouts.as_ref());
        state.fabric.publish(record, now);
    }
    let streams = stream_versions::news(core, state, now);
    for (_, bytes) in &streams {
        core.metrics.count_sent("streams", "any", bytes.len());
    }
    outgoing.extend(streams);
    packets(core, state, publishes, now, &mut outgoing);
    directives(core, state, round, publishes, now, &mut outgoing);
    outgoing
}

/// Adds the link statuses and records for the routers that this one asks or serves.
fn packets(
    core: &Core,
    state: &mut State,
    publishes: bool,
    now: MonoTime,
    outgoing: &mut Outgoing,
) {
    let asks: HashMap<InstanceName, RecordRequest> =
        state.fabric.requests(now).into_iter().collect();
    let mut others: Vec<InstanceName> = state.fabric.requesters(now).cloned().collect();
    others.extend(asks.keys().cloned());
    others.sort_unstable();
    others.dedup();
    for name in others {
        let Some(router) = state.routers.get(&name) else { continue };
        let asks = asks.get(&name).copied().unwrap_or_default();
        let status = publishes.then(|| link_status(core, state, router, asks, now));
        let address = router.address;
        let reach = reach(core, &router.member.failure_domain);
        let records = state.fabric.records_for(&name, now);
        let record_bytes = count_records(core, state, &records, reach);
        let packets = router_packets(&core.name, status, records);
        let bytes: usize = packets.iter().map(Vec::len).sum();
        core.metrics.count_sent(
            "link_status_and_headers",
            reach,
            bytes.saturating_sub(record_bytes),
        );
        outgoing.extend(packets.into_iter().map(|packet| (address, packet)));
    }
}

/// The label of traffic to a failure domain.
fn reach(core: &Core, failure_domain: &str) -> &'static str {
    if *failure_domain == *core.member.failure_domain { "near" } else { "far" }
}

/// Counts the payloads of records by the kind of their publishers. Returns their bytes.
fn count_records(core: &Core, state: &State, records: &[Record], reach: &'static str) -> usize {
    let (of_routers, of_engines): (Vec<&Record>, Vec<&Record>) =
        records.iter().partition(|record| state.fabric.is_router(record.origin));
    let count = |content, records: Vec<&Record>| {
        let bytes = records.iter().map(|record| record.payload.len()).sum();
        core.metrics.count_sent(content, reach, bytes);
        bytes
    };
    count("router_records", of_routers) + count("engine_records", of_engines)
}

fn link_status(
    core: &Core,
    state: &State,
    router: &OtherRouter,
    asks: RecordRequest,
    now: MonoTime,
) -> LinkStatus {
    LinkStatus {
        incarnation: core.incarnation,
        sent: now,
        echo: router.echo,
        record_request: asks,
        configuration: state.reads.configuration.report(now),
        servers: state.reads.servers.report(now),
        routers: state.reads.routers.report(now),
    }
}

/// Returns the state that this router publishes of itself.
fn own_state(core: &Core, state: &State, round: u64, now: MonoTime) -> RouterState {
    let has_just_started = now.ms_since(state.started) <= FULL_RECORDS_AFTER_START_MS;
    let is_full =
        has_just_started || (round / ROUNDS_PER_RECORD).is_multiple_of(RECORDS_PER_FULL_RECORD);
    let (usage, within_ms) = match is_full {
        true => (state.quotas.usage(), u64::MAX),
        false => (state.quotas.usage_since(now.minus_ms(RECENT_CHANGE_MS)), RECENT_CHANGE_MS),
    };
    RouterState {
        reads_store: state.reads.is_up() && state.table.is_some(),
        can_conduct: conduct::can_conduct(state, now),
        holds_order_lease: state.holds_orders,
        order_lease_epoch: state.orders_epoch,
        weights: weights(state, within_ms, now),
        usage: team_usage(&usage),
        usage_is_full: is_full,
        departures: departures(state, within_ms.min(DEPARTURE_PUBLISHED_MS), now),
        listed_departures: listed_departures(core, state, within_ms, now),
        read_parts: match core.settings.decisions.uses(Mechanism::ReadParts) {
            true => state.read_parts.recent(RECENT_CHANGE_MS, now).collect(),
            false => Vec::new(),
        },
        server_limits: server_limits(state, within_ms, now),
    }
}

fn weights(state: &State, within_ms: u64, now: MonoTime) -> Vec<NamedWeights> {
    let mut weights = Vec::new();
    for (model, named) in state.weights.iter() {
        let recent = named.ages_ms(now).filter(|(_, age_ms)| *age_ms <= within_ms);
        weights.extend(recent.map(|(version, age_ms)| NamedWeights {
            model: model.clone(),
            version,
            age_ms,
        }));
    }
    weights
}

fn team_usage(usage: &UsageReport) -> Vec<TeamUsage> {
    let totals = usage.totals.iter();
    totals.map(|(team, total)| TeamUsage { team: team.0, total: *total }).collect()
}

fn departures(state: &State, within_ms: u64, now: MonoTime) -> Vec<DepartingServer> {
    state.fleet.departures(within_ms, now).map(departing_server).collect()
}

/// The servers that drain by the list, if this router reads it for all. A router with a slow link
/// gets this record long before the list.
fn listed_departures(
    core: &Core,
    state: &State,
    within_ms: u64,
    now: MonoTime,
) -> Vec<DepartingServer> {
    if !reads::reads_for_all(core, state, now) {
        return Vec::new();
    }
    let departures = state.fleet.listed_departures(within_ms, now);
    departures.map(|run| departing_server(&run)).collect()
}

fn departing_server(run: &Departure) -> DepartingServer {
    DepartingServer { server_id: run.id.to_string(), started_unix_ms: run.started_unix_ms }
}

fn server_limits(state: &State, within_ms: u64, now: MonoTime) -> Vec<NamedLimit> {
    let news = state.server_limits.news(within_ms, now).into_iter();
    let limits = news.map(|news| NamedLimit {
        server: news.server,
        rate: news.rate,
        age_ms: now.ms_since(news.as_of),
    });
    limits.collect()
}

/// Adds the directives to the sidecars: in turn to those that this router cares for, if it relays,
/// and to those whose engines are to load.
fn directives(
    core: &Core,
    state: &State,
    round: u64,
    publishes: bool,
    now: MonoTime,
    outgoing: &mut Outgoing,
) {
    let port = core.addresses.peers.port();
    let relays = state.fabric.is_relay(now);
    for (index, server) in (0_u64..).zip(conduct::engines(state, now)) {
        let wants_reports = relays && state.fabric.is_responsible_for(&server.entry.failure_domain);
        let has_report = server.report.is_some();
        let rounds = if has_report { ROUNDS_PER_DIRECTIVE } else { ROUNDS_PER_FIRST_DIRECTIVE };
        let is_due = wants_reports && (round + index).is_multiple_of(rounds);
        let grant = state.granted.get(&server.entry.id).filter(|_| publishes && server.has_sidecar);
        if grant.is_none() && !is_due {
            continue;
        }
        let directive = Directive {
            from: core.name.clone(),
            server_id: server.entry.id.to_string(),
            wants_reports,
            load: grant.map(|grant| LoadDirective {
                model: grant.model.clone(),
                version: grant.version,
                epoch: state.orders_epoch.unwrap_or(0),
            }),
        };
        let address = SocketAddr::new(server.entry.address.ip(), port);
        let reach = reach(core, &server.entry.failure_domain);
        let bytes = encode(&Datagram::Directive(directive));
        core.metrics.count_sent("directives", reach, bytes.len());
        outgoing.push((address, bytes));
    }
}
