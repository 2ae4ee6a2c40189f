//! Datagrams from the system's other processes.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use samphirespread_core::prelude::*;
use samphirespread_fabric::NewerRecord;
use samphirespread_logging::event;
use samphirespread_peer::{
    Datagram, EngineKey, EngineReport, LinkStatus, Payload, RECEIVE_BUFFER_BYTES, RouterPacket,
    RouterState, decode, decode_payload, encode_payload,
};
use samphirespread_routing::{
    freshness::{Echo, StoreCopy},
    quota::{TeamKey, UsageReport},
};
use slog::{info, warn};
use tokio::time;

use crate::{
    conduct,
    fleet::{Departure, EngineWord},
    gateway::Core,
    metrics, reads,
    state::State,
};

/// Pause after a datagram could not be received.
const PAUSE_MS: u64 = 100;
/// A hop that answers one of this router's that is younger than this shows that the way is open.
const ECHO_CURRENT_MS: u64 = 500;

/// Takes in datagrams.
pub(crate) async fn receive(core: Arc<Core>) {
    let mut buffer = vec![0; RECEIVE_BUFFER_BYTES];
    loop {
        let (length, from) = match core.socket.recv_from(&mut buffer).await {
            Ok(received) => received,
            Err(error) => {
                warn!(core.log, "{}", event::RECEIVING_FAILED; "error" => %error);
                time::sleep(Duration::from_millis(PAUSE_MS)).await;
                continue;
            }
        };
        core.metrics.received_bytes.inc_by(length as u64);
        match decode(&buffer[..length]) {
            Ok(Datagram::Router(packet)) => take_packet(&core, &packet),
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

fn take_packet(core: &Core, packet: &RouterPacket) {
    let now = core.now();
    let mut state = core.state();
    if !state.routers.contains_key(&packet.from) {
        return look_for_routers(core, &mut state);
    }
    if let Some(hop) = &packet.link_status {
        take_hop(core, &mut state, &packet.from, hop, now);
    }
    let news = state.fabric.receive_records(&packet.from, &packet.records, now);
    for fresh in news.newer {
        take_record(core, &mut state, &fresh, now);
    }
}

/// Reads the list of routers: one of them is not on this router's list yet.
fn look_for_routers(core: &Core, state: &mut State) {
    state.reads.routers = StoreCopy::default();
    state.reads.news.routers = true;
    core.news.notify_one();
}

fn take_hop(core: &Core, state: &mut State, from: &InstanceName, hop: &LinkStatus, now: MonoTime) {
    let echoed = hop.echo.and_then(|echo| echo.of(core.incarnation));
    let hears_this = echoed.is_some_and(|sent| now.ms_since(sent) <= ECHO_CURRENT_MS);
    state.fabric.handle_request(from, hop.record_request, hears_this, now);
    let Some(router) = state.routers.get_mut(from) else { return };
    let echo = Echo { incarnation: hop.incarnation, sent: hop.sent };
    let is_older = |known: &Echo| known.incarnation == echo.incarnation && known.sent > echo.sent;
    if !router.hop.as_ref().is_some_and(is_older) {
        router.hop = Some(echo);
    }
    let admin = router.admin;
    if reads::heard(core, state, hop, admin) {
        core.news.notify_one();
    }
}

fn take_record(core: &Core, state: &mut State, fresh: &NewerRecord, now: MonoTime) {
    let published = match decode_payload(&fresh.payload) {
        Ok(published) => published,
        Err(error) => {
            warn!(core.log, "{}", event::DATAGRAM_LEFT_OUT; "from" => "a record", "error" => %error);
            return;
        }
    };
    match (published, &fresh.router) {
        (Payload::Router(told), Some(name)) => take_router(core, state, name, told, fresh, now),
        (Payload::Router(_), None) => look_for_routers(core, state),
        (Payload::Engine { engine, state: engine_state }, _) => {
            let word = EngineWord {
                engine,
                incarnation: fresh.incarnation,
                sequence: fresh.sequence,
                state: engine_state,
                published: fresh.published,
            };
            take_engine_word(core, state, word, now);
        }
    }
}

fn take_router(
    core: &Core,
    state: &mut State,
    name: &InstanceName,
    told: RouterState,
    fresh: &NewerRecord,
    now: MonoTime,
) {
    for named in &told.weights {
        let named_by = fresh.published.minus_ms(named.age_ms);
        if state.learn_weights(&named.model, named.version, named_by) {
            info!(core.log, "{}", event::WEIGHTS_NAMED; "model" => %named.model, "version" => named.version,
                "source" => name.as_str(), "age_ms" => named.age_ms);
            core.told.notify_one();
        }
    }
    state.orders_epoch = state.orders_epoch.max(told.order_lease_epoch);
    for server in &told.departures {
        let (id, started_unix_ms) = (server.server_id.as_str().into(), server.started_unix_ms);
        if state.fleet.departs(Departure { id, started_unix_ms }, now) {
            info!(core.log, "{}", event::SERVER_DRAINS; "server" => &server.server_id,
                "source" => name.as_str());
        }
    }
    for fact in &told.read_parts {
        if let Some(server) = state.fleet.tagged_mut(fact.engine) {
            server.remember_parts(&[fact.part], fresh.published);
        }
    }
    let totals = told.usage.iter().map(|usage| (TeamKey(usage.team), usage.total)).collect();
    let usage = UsageReport { totals, is_full: told.usage_is_full };
    state.quotas.apply_report(name, fresh.incarnation, &usage, fresh.published, now);
    let Some(router) = state.routers.get_mut(name) else { return };
    if let Some((_, before)) = router.told.replace((told, fresh.published)) {
        let gap_ms = fresh.published.ms_since(before);
        core.metrics.usage_gap_s.observe(metrics::seconds(gap_ms));
    }
}

fn take_engine(core: &Core, from: SocketAddr, report: EngineReport) {
    let now = core.now();
    let word = EngineWord {
        engine: EngineKey::SidecarIp(from.ip()),
        incarnation: report.incarnation,
        sequence: report.sequence,
        state: report.state,
        published: now,
    };
    pass_on(core, &mut core.state(), word, now);
}

/// Takes in what this router has of an engine first-hand, and publishes it.
pub(crate) fn pass_on(core: &Core, state: &mut State, word: EngineWord, now: MonoTime) {
    let EngineWord { engine, incarnation, sequence, .. } = word;
    let published = Payload::Engine { engine, state: word.state.clone() };
    let order = (incarnation, sequence);
    state.fabric.receive_first_hand(engine.origin(), order, encode_payload(&published), now);
    take_engine_word(core, state, word, now);
}

fn take_engine_word(core: &Core, state: &mut State, word: EngineWord, now: MonoTime) {
    let Some(reported) = state.fleet.reported(word, now) else { return };
    if reported.started_anew && reads::leads(core, state, now) {
        state.reads.news.servers = true;
        core.news.notify_one();
    }
    // Whatever else may change with time is looked at with every round of this router's own.
    if reported.is_news && conduct::conduct(core, state, now) {
        core.told.notify_one();
    }
}
