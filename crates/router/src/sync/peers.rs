//! Fetches newer configurations and live lists from peers, and answers the same requests of peers.

use std::{sync::Arc, time::Duration};

use futures_util::future::join_all;
use samphirespread_membership::{MAX_PEERS_PER_ROUND, Roles};
use samphirespread_wire::{
    Connection, HelloSource,
    message::{ConfigSnapshot, FetchConfig, FetchLiveList, Reply, Request},
};
use tokio::time::timeout;

use super::store::{adopt_config, apply_live_change, log_refused_config};
use crate::state::Shared;

const EXCHANGE_TIMEOUT_MS: u64 = 500;

/// Asks a few peers at an interval, and at once when another process is known to have a newer
/// configuration.
pub(super) async fn sync_with_peers(shared: Arc<Shared>) {
    let period = Duration::from_millis(shared.settings.peers.heartbeat_ms);
    for round in 0.. {
        ask_round(&shared, round).await;
        // The next round starts after the notification or the timeout.
        let _ = timeout(period, shared.wake_config_sync.notified()).await;
    }
}

async fn ask_round(shared: &Arc<Shared>, round: u64) {
    let sent = shared.clock.now();
    let peers = peers_to_ask(shared, round);
    if peers.is_empty() {
        shared.with_contact(|contact| contact.no_peers(sent));
        return;
    }
    let answers = join_all(peers.iter().map(|address| ask(shared, address))).await;
    let answered = answers.into_iter().filter(|answered| *answered).count();
    shared.with_contact(|contact| contact.peers_answered(sent, peers.len(), answered));
}

fn peers_to_ask(shared: &Shared, round: u64) -> Vec<String> {
    let live = shared.live_list();
    let peers = Roles::of(&live, shared.identity.name()).peers_to_ask(round);
    if peers.is_empty() {
        let seeds = shared.settings.peers.seeds.iter().map(ToString::to_string);
        return seeds.take(MAX_PEERS_PER_ROUND).collect();
    }
    peers.into_iter().map(|peer| peer.address.clone()).collect()
}

/// Exchanges heartbeats with a peer and fetches what the peer has newer than this router. While
/// nothing changes, this costs one heartbeat, regardless of the size of the configuration.
///
/// Returns whether the peer answered all requests in time.
async fn ask(shared: &Arc<Shared>, address: &str) -> bool {
    let exchange = async {
        let connection = shared.pool.get(address).await.ok()?;
        let heartbeat = Request::Heartbeat(shared.identity.hello());
        let Reply::Heartbeat(peer) = connection.call(&heartbeat).await.ok()? else { return None };
        shared.identity.receive_hello(&peer);
        if peer.generation > shared.snapshot.load().generation() {
            fetch_config(shared, &connection).await?;
        }
        if peer.live_version > shared.with_live(|view| view.version()) {
            fetch_live_list(shared, &connection).await?;
        }
        Some(())
    };
    timeout(Duration::from_millis(EXCHANGE_TIMEOUT_MS), exchange).await.ok().flatten().is_some()
}

async fn fetch_config(shared: &Arc<Shared>, connection: &Connection) -> Option<()> {
    let current = shared.snapshot.load_full();
    let request = Request::FetchConfig(FetchConfig {
        have: current.generation(),
        sections: current.head().sections.values().cloned().collect(),
    });
    let Reply::Config(config) = connection.call(&request).await.ok()? else { return None };
    if let Some(config) = config
        && let Err(error) = adopt_config(shared, &config.head, &config.sections)
    {
        log_refused_config(shared, &error);
    }
    Some(())
}

async fn fetch_live_list(shared: &Arc<Shared>, connection: &Connection) -> Option<()> {
    let have = shared.with_live(|view| view.version());
    let request = Request::FetchLiveList(FetchLiveList { have });
    let Reply::LiveList(change) = connection.call(&request).await.ok()? else { return None };
    if let Some(change) = change {
        apply_live_change(shared, &change);
    }
    Some(())
}

/// Returns the answer to a peer that requests the configuration: the sections that it lacks.
pub(crate) fn config_reply(shared: &Shared, ask: &FetchConfig) -> Reply {
    shared.note_peer_generation(ask.have);
    let current = shared.snapshot.load();
    if current.generation() <= ask.have {
        return Reply::Config(None);
    }
    let head = current.head();
    let lacks =
        |name: &str| head.sections.get(name).is_some_and(|hash| !ask.sections.contains(hash));
    let sections = current.sections().filter(|(name, _)| lacks(name));
    Reply::Config(Some(ConfigSnapshot {
        generation: current.generation(),
        head: current.head_text().to_owned(),
        sections: sections.map(|(_, text)| text.to_owned()).collect(),
    }))
}

/// Returns the answer to a peer that requests the live list: the changes since its version.
pub(crate) fn live_reply(shared: &Shared, ask: FetchLiveList) -> Reply {
    Reply::LiveList(shared.with_live(|view| view.since(ask.have)))
}
