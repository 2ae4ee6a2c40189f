//! Asks peers for what they have, and answers them.

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

const ASK_TIMEOUT_MS: u64 = 500;

/// Asks a few peers at an interval, and at once when a later generation was heard of.
pub(super) async fn follow(shared: Arc<Shared>) {
    let period = Duration::from_millis(shared.settings.peers.heartbeat_ms);
    for round in 0.. {
        ask_round(&shared, round).await;
        // Both outcomes start the next round.
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

/// Asks a peer what it has, and for what this router lacks. Between changes that is one
/// heartbeat, whatever the size of the configuration.
async fn ask(shared: &Arc<Shared>, address: &str) -> bool {
    let exchange = async {
        let connection = shared.pool.get(address).await.ok()?;
        let greeting = Request::Heartbeat(shared.identity.hello());
        let Reply::Heartbeat(peer) = connection.call(&greeting).await.ok()? else { return None };
        shared.identity.heard(&peer);
        if peer.generation > shared.snapshot.load().generation() {
            fetch_config(shared, &connection).await?;
        }
        if peer.live_version > shared.with_live(|view| view.version()) {
            fetch_live_list(shared, &connection).await?;
        }
        Some(())
    };
    timeout(Duration::from_millis(ASK_TIMEOUT_MS), exchange).await.ok().flatten().is_some()
}

async fn fetch_config(shared: &Arc<Shared>, connection: &Connection) -> Option<()> {
    let present = shared.snapshot.load_full();
    let request = Request::FetchConfig(FetchConfig {
        have: present.generation(),
        sections: present.head().sections.values().cloned().collect(),
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

/// The answer to a peer that asks for the configuration.
pub(crate) fn config_reply(shared: &Shared, ask: &FetchConfig) -> Reply {
    shared.note_peer_generation(ask.have);
    let present = shared.snapshot.load();
    if present.generation() <= ask.have {
        return Reply::Config(None);
    }
    let head = present.head();
    let lacks =
        |name: &str| head.sections.get(name).is_some_and(|hash| !ask.sections.contains(hash));
    let sections = present.sections().filter(|(name, _)| lacks(name));
    Reply::Config(Some(ConfigSnapshot {
        generation: present.generation(),
        head: present.head_text().to_owned(),
        sections: sections.map(|(_, text)| text.to_owned()).collect(),
    }))
}

/// The answer to a peer that asks for the live list.
pub(crate) fn live_reply(shared: &Shared, ask: FetchLiveList) -> Reply {
    Reply::LiveList(shared.with_live(|view| view.since(ask.have)))
}
