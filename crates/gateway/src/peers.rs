//! Receives datagrams from routers and sidecars, and applies what they contain.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use samphirespread_core::prelude::*;
use samphirespread_fabric::NewerRecord;
use samphirespread_logging::event;
use samphirespread_peer::{
    Datagram, EngineKey, EngineReport, LinkStatus, Payload, RECEIVE_BUFFER_BYTES, RecordContent,
    RouterPacket, RouterState, decode, decode_record, encode_payload,
};
use samphirespread_routing::{
    freshness::Echo,
    quota::{TeamKey, UsageReport},
};
use slog::{info, warn};
use tokio::time;

use crate::{
    conduct, crashes,
    fleet::{Departure, DepartureSource, EngineUpdate},
    gateway::Core,
    metrics, reads, rollout, server_limits,
    state::State,
    stream_versions,
};

/// Pause after a failure to receive a datagram.
const RETRY_PAUSE_MS: u64 = 100;
/// If a link status echoes one of this router's that is at most this old, datagrams pass in both
/// directions.
const MAX_ECHO_AGE_MS: u64 = 500;

/// Receives and handles datagrams for as long as the process runs.
pub(crate) async fn receive(core: Arc<Core>) {
    let mut buffer = vec![0; RECEIVE_BUFFER_BYTES];
    loop {
        let (length, from) = match core.socket.recv_from(&mut buffer).await {
            Ok(received) => received,
            Err(error) => {
                warn!(core.log, "{}", event::RECEIVING_FAILED; "error" => %error);
                time::sleep(Duration::from_millis(RETRY_PAUSE_MS)).await;
                continue;
            }
        };
        core.metrics.received_bytes.inc_by(length as u64);
        match decode(&buffer[..length]) {
            Ok(Datagram::Router(packet)) => handle_packet(&core, &packet),
            Ok(Datagram::Engine(report)) => handle_engine_report(&core, from, report),
            Ok(Datagram::StreamsBegun(begun)) => {
                stream_versions::learn(&core, &mut core.state(), &begun, core.now());
            }
            Ok(Datagram::StreamQuery(query)) => stream_versions::answer(&core, from, &query),
            Ok(Datagram::StreamAnswer(answer)) => core.stream_questions.answer(&answer),
            Ok(Datagram::Directive(_)) => {
                warn!(core.log, "{}", event::DATAGRAM_MISPLACED; "from" => %from);
            }
            Err(error) => {
                warn!(core.log, "{}", event::DATAGRAM_LEFT_OUT; "from" => %from, "error" => %error);
            }
        }
    }
}

fn handle_packet(core: &Core, packet: &RouterPacket) {
    let now = core.now();
    let mut state = core.state();
    if !state.routers.contains_key(&packet.from) {
        return request_routers_read(core, &mut state);
    }
    if let Some(status) = &packet.link_status {
        handle_link_status(core, &mut state, &packet.from, status, now);
    }
    let received = state.fabric.receive_records(&packet.from, &packet.records, now);
    for fresh in received.newer {
        handle_record(core, &mut state, &fresh, now);
    }
}

/// Requests a read of the list of routers, since an unknown router has sent something.
fn request_routers_read(core: &Core, state: &mut State) {
    state.reads.routers.invalidate();
    state.reads.news.routers = true;
    core.wake_list_reader.notify_one();
}

fn handle_link_status(
    core: &Core,
    state: &mut State,
    from: &InstanceName,
    status: &LinkStatus,
    now: MonoTime,
) {
    let echoed = status.echo.and_then(|echo| echo.of(core.incarnation));
    let receives_from_this = echoed.is_some_and(|sent| now.ms_since(sent) <= MAX_ECHO_AGE_MS);
    state.fabric.handle_request(from, status.record_request, receives_from_this, now);
    let Some(router) = state.routers.get_mut(from) else { return };
    let echo = Echo { incarnation: status.incarnation, sent: status.sent };
    let is_older = |known: &Echo| known.incarnation == echo.incarnation && known.sent > echo.sent;
    if !router.echo.as_ref().is_some_and(is_older) {
        router.echo = Some(echo);
    }
    let admin = router.admin;
    reads::compare_copies(core, state, status, from, admin);
}

fn handle_record(core: &Core, state: &mut State, fresh: &NewerRecord, now: MonoTime) {
    let RecordContent { payload, crash_causes, rollouts } = match decode_record(&fresh.payload) {
        Ok(content) => content,
        Err(error) => {
            warn!(core.log, "{}", event::DATAGRAM_LEFT_OUT; "from" => "a record", "error" => %error);
            return;
        }
    };
    match (payload, &fresh.router) {
        (Payload::Router(new), Some(name)) => {
            update_router(core, state, name, new, fresh, now);
            if state.crash_causes.note_router(name, fresh.incarnation, now) {
                core.wake_publisher.notify_one();
            }
            for news in &crash_causes {
                crashes::note_news(core, state, name, news, fresh.published, now);
            }
            if let Some(news) = rollouts {
                let (run, published) = (fresh.incarnation, fresh.published);
                let changes = state.rollouts.apply_news(name, run, news, published, now);
                rollout::log_changes(core, changes);
            }
        }
        (Payload::Router(_), None) => request_routers_read(core, state),
        (Payload::Engine { engine, state: engine_state }, _) => {
            let update = EngineUpdate {
                engine,
                incarnation: fresh.incarnation,
                sequence: fresh.sequence,
                state: engine_state,
                published: fresh.published,
            };
            apply_engine_update(core, state, update, now);
        }
    }
}

fn update_router(
    core: &Core,
    state: &mut State,
    name: &InstanceName,
    published_state: RouterState,
    fresh: &NewerRecord,
    now: MonoTime,
) {
    for named in &published_state.weights {
        let named_by = fresh.published.minus_ms(named.age_ms);
        if state.weights.learn(&named.model, named.version, named_by) {
            info!(core.log, "{}", event::WEIGHTS_NAMED; "model" => %named.model, "version" => named.version,
                "source" => name.as_str(), "age_ms" => named.age_ms);
            core.wake_publisher.notify_one();
        }
    }
    state.orders_epoch = state.orders_epoch.max(published_state.order_lease_epoch);
    for server in &published_state.departures {
        let (id, started_unix_ms) = (server.server_id.as_str().into(), server.started_unix_ms);
        let run = Departure { id, started_unix_ms };
        if state.fleet.record_departure(run, DepartureSource::OtherRouter, now) {
            info!(core.log, "{}", event::SERVER_DRAINS; "server" => &server.server_id,
                "source" => name.as_str());
        }
    }
    for server in &published_state.listed_departures {
        let (id, started_unix_ms) = (server.server_id.as_str().into(), server.started_unix_ms);
        if state.fleet.record_listed_departure(&Departure { id, started_unix_ms }, now) {
            info!(core.log, "{}", event::SERVER_DRAINS; "server" => &server.server_id,
                "source" => name.as_str());
        }
    }
    for limit in &published_state.server_limits {
        server_limits::note_news(core, state, name, limit, fresh.published, now);
    }
    for read_part in &published_state.read_parts {
        if let Some(server) = state.fleet.get_by_tag_mut(read_part.engine) {
            server.remember_parts(&[read_part.part], fresh.published);
        }
    }
    let totals =
        published_state.usage.iter().map(|usage| (TeamKey(usage.team), usage.total)).collect();
    let usage = UsageReport { totals, is_full: published_state.usage_is_full };
    state.quotas.apply_report(name, fresh.incarnation, &usage, fresh.published, now);
    let Some(router) = state.routers.get_mut(name) else { return };
    if let Some((_, before)) = router.last_state.replace((published_state, fresh.published)) {
        let gap_ms = fresh.published.ms_since(before);
        core.metrics.usage_gap_s.observe(metrics::seconds(gap_ms));
    }
}

fn handle_engine_report(core: &Core, from: SocketAddr, report: EngineReport) {
    let now = core.now();
    let update = EngineUpdate {
        engine: EngineKey::SidecarIp(from.ip()),
        incarnation: report.incarnation,
        sequence: report.sequence,
        state: report.state,
        published: now,
    };
    publish_update(core, &mut core.state(), update, now);
}

/// Applies an update that comes from the engine or its sidecar directly, and publishes it to other
/// routers.
pub(crate) fn publish_update(core: &Core, state: &mut State, update: EngineUpdate, now: MonoTime) {
    let EngineUpdate { engine, incarnation, sequence, .. } = update;
    let published = Payload::Engine { engine, state: update.state.clone() };
    let order = (incarnation, sequence);
    state.fabric.receive_first_hand(engine.origin(), order, encode_payload(&published), now);
    apply_engine_update(core, state, update, now);
}

fn apply_engine_update(core: &Core, state: &mut State, update: EngineUpdate, now: MonoTime) {
    let Some(effect) = state.fleet.apply_update(update, now) else { return };
    if effect.shows_unlisted_run {
        crashes::count_ended(core, state);
    }
    if effect.shows_unlisted_run && reads::reads_for_all(core, state, now) {
        state.reads.news.servers = true;
        core.wake_list_reader.notify_one();
    }
    // Grants that become due without such an update are made in `publish`, with each of this
    // router's records.
    if effect.affects_rollout && conduct::grant_loads(core, state, now) {
        core.wake_publisher.notify_one();
    }
}
