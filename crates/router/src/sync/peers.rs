//! Asks peers for what they have, and answers them.

use std::{sync::Arc, time::Duration};

use futures_util::future::join_all;
use samphirespread_core::prelude::*;
use samphirespread_platform::api::{LiveInstance, LiveState, Role};
use samphirespread_wire::message::{ConfigSnapshot, FetchConfig, FetchLiveList, Reply, Request};
use tokio::time::timeout;

use super::store::{adopt_config, adopt_live, refuse_config};
use crate::state::Shared;

// Peers asked in each round; more would grow with the fleet and tell nothing new.
const PEERS_ASKED: usize = 3;
const ASK_TIMEOUT_MS: u64 = 500;

/// Asks a few peers at an interval, and at once when a later generation was heard of.
pub(super) async fn follow(shared: Arc<Shared>) {
    let period = Duration::from_millis(shared.settings.peers.heartbeat_ms);
    loop {
        ask_round(&shared).await;
        // Both outcomes start the next round.
        let _ = timeout(period, shared.config_news.notified()).await;
    }
}

async fn ask_round(shared: &Arc<Shared>) {
    let sent = shared.clock.now();
    let peers = peers_to_ask(shared);
    if peers.is_empty() {
        shared.contact.no_peers(sent, shared.settings.peers.stale_config_ms);
        return;
    }
    let answers = join_all(peers.iter().map(|address| ask(shared, address))).await;
    let answered = answers.into_iter().filter(|answered| *answered).count();
    // Half of those asked is a bound that one dead peer among two or three does not break.
    if 2 * answered >= peers.len() {
        shared.contact.peers_answered(sent);
    }
}

/// The routers that rank first for this one. The order differs from router to router, so the
/// questions spread over all.
fn peers_to_ask(shared: &Shared) -> Vec<String> {
    let live = shared.live.load();
    let own = shared.identity.name();
    let others: Vec<&LiveInstance> = live
        .instances
        .iter()
        .filter(|instance| instance.role == Role::Router && instance.name != *own)
        .filter(|instance| instance.state == LiveState::Live)
        .collect();
    if others.is_empty() {
        let seeds = shared.settings.peers.seeds.iter().map(ToString::to_string);
        return seeds.take(PEERS_ASKED).collect();
    }
    let order = rendezvous::rank(own.as_str().as_bytes(), &others, |other| other.name.as_str());
    order.into_iter().take(PEERS_ASKED).map(|index| others[index].address.clone()).collect()
}

async fn ask(shared: &Arc<Shared>, address: &str) -> bool {
    let exchange = async {
        let connection = shared.pool.get(address).await.ok()?;
        let present = shared.snapshot.load_full();
        let request = Request::FetchConfig(FetchConfig {
            have: present.generation(),
            sections: present.head().sections.values().cloned().collect(),
        });
        let Reply::Config(config) = connection.call(&request).await.ok()? else { return None };
        if let Some(config) = config
            && let Err(error) = adopt_config(shared, &config.head, &config.sections)
        {
            refuse_config(shared, &error);
        }
        let request = Request::FetchLiveList(FetchLiveList { have: shared.live.load().version });
        let Reply::LiveList(live) = connection.call(&request).await.ok()? else { return None };
        if let Some(live) = live {
            adopt_live(shared, live);
        }
        Some(())
    };
    timeout(Duration::from_millis(ASK_TIMEOUT_MS), exchange).await.ok().flatten().is_some()
}

/// The answer to a peer that asks for the configuration.
pub(crate) fn config_reply(shared: &Shared, ask: &FetchConfig) -> Reply {
    shared.heard_generation(ask.have);
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
    let present = shared.live.load();
    Reply::LiveList((present.version > ask.have).then(|| present.as_ref().clone()))
}
