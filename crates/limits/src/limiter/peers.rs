//! What the limiter knows of other routers.

use std::collections::{BTreeMap, BTreeSet};

use samphirespread_core::prelude::*;

use crate::{config::LimitsConfig, limiter::RouterInfo, message::Holder};

/// Other routers: the live list and who was heard.
#[derive(Debug)]
pub(crate) struct Peers {
    /// Silence counts from here: the start, or the end of a pause of this process.
    awake_since: MonoTime,
    last_tick: MonoTime,
    last_ping: Option<MonoTime>,
    live: Vec<RouterInfo>,
    known: BTreeMap<Holder, Peer>,
}

#[derive(Debug)]
struct Peer {
    /// The first message since the last answer, while messages keep being sent.
    unanswered_since: Option<MonoTime>,
    last_asked: MonoTime,
    incarnation: Incarnation,
    absent_since: Option<MonoTime>,
    absent_last: Option<MonoTime>,
    leaving: bool,
}

/// Time of absence from the live list after which a router is forgotten.
const FORGET_AFTER_MS: u64 = 600_000;

impl Peer {
    /// How long the live list is known to have been without the router.
    fn absent_ms(&self) -> u64 {
        match (self.absent_since, self.absent_last) {
            (Some(since), Some(last)) => last.ms_since(since),
            _ => 0,
        }
    }
}

impl Peers {
    pub(crate) fn new(now: MonoTime) -> Self {
        Self {
            awake_since: now,
            last_tick: now,
            last_ping: None,
            live: Vec::new(),
            known: BTreeMap::new(),
        }
    }

    pub(crate) fn set_live(&mut self, now: MonoTime, routers: Vec<RouterInfo>) {
        for router in &routers {
            self.meet(&router.holder);
        }
        let present: BTreeSet<&Holder> = routers.iter().map(|router| &router.holder).collect();
        for (holder, peer) in &mut self.known {
            if present.contains(holder) {
                peer.absent_since = None;
                peer.absent_last = None;
            } else {
                peer.absent_since.get_or_insert(now);
                peer.absent_last = Some(now);
            }
        }
        self.known.retain(|_, peer| peer.absent_ms() < FORGET_AFTER_MS);
        self.live = routers;
    }

    /// Begins to know a holder.
    pub(crate) fn meet(&mut self, holder: &Holder) {
        if self.known.contains_key(holder) {
            return;
        }
        let peer = Peer {
            unanswered_since: None,
            last_asked: MonoTime::ZERO,
            incarnation: Incarnation::default(),
            absent_since: None,
            absent_last: None,
            leaving: false,
        };
        self.known.insert(holder.clone(), peer);
    }

    /// Notes that a message is sent, which wants an answer.
    pub(crate) fn asked(&mut self, now: MonoTime, holder: &Holder, config: &LimitsConfig) {
        self.meet(holder);
        let Some(peer) = self.known.get_mut(holder) else { return };
        let lapsed = now.ms_since(peer.last_asked) >= config.silence_timeout_ms;
        if lapsed || peer.unanswered_since.is_none() {
            peer.unanswered_since = Some(now);
        }
        peer.last_asked = now;
    }

    /// Notes a message. False when it comes from a run that was replaced.
    pub(crate) fn heard(&mut self, from: &Holder, run: Incarnation, leaving: bool) -> bool {
        self.meet(from);
        let Some(peer) = self.known.get_mut(from) else { return false };
        if run < peer.incarnation {
            return false;
        }
        peer.incarnation = run;
        peer.leaving = leaving;
        peer.unanswered_since = None;
        true
    }

    /// Notes that time has passed, and a pause of this process.
    pub(crate) fn tick(&mut self, now: MonoTime, config: &LimitsConfig) {
        if now.ms_since(self.last_tick) * 2 > config.silence_timeout_ms {
            self.awake_since = now;
        }
        self.last_tick = now;
    }

    /// Whether another round of messages to all peers that matter is due. Notes that it begins.
    pub(crate) fn ping_is_due(&mut self, now: MonoTime, config: &LimitsConfig) -> bool {
        let due = self.last_ping.is_none_or(|last| now.ms_since(last) * 2 >= config.poll_ms);
        if due {
            self.last_ping = Some(now);
        }
        due
    }

    fn is_leaving(&self, holder: &Holder) -> bool {
        self.known.get(holder).is_some_and(|peer| peer.leaving)
    }

    /// Whether messages to the holder have gone unanswered for the silence timeout.
    pub(crate) fn is_silent(&self, now: MonoTime, holder: &Holder, config: &LimitsConfig) -> bool {
        let Some(peer) = self.known.get(holder) else { return false };
        let Some(since) = peer.unanswered_since else { return false };
        let timeout_ms = config.silence_timeout_ms;
        now.ms_since(since.max(self.awake_since)) >= timeout_ms
            && now.ms_since(peer.last_asked) < timeout_ms
    }

    /// Whether the live list has been without the holder for so long that it is dead.
    pub(crate) fn is_dead(&self, holder: &Holder, config: &LimitsConfig) -> bool {
        self.known.get(holder).is_some_and(|peer| peer.absent_ms() >= config.dead_after_ms)
    }

    /// The routers that should hold shares of a slot, first choice first.
    pub(crate) fn targets(&self, now: MonoTime, slot: usize, config: &LimitsConfig) -> Vec<Holder> {
        self.ranked(slot, config, |router| !self.is_silent(now, &router.holder, config))
    }

    /// The same, with those that don't answer.
    pub(crate) fn candidates(&self, slot: usize, config: &LimitsConfig) -> Vec<Holder> {
        self.ranked(slot, config, |_| true)
    }

    fn ranked(
        &self,
        slot: usize,
        config: &LimitsConfig,
        usable: impl Fn(&RouterInfo) -> bool,
    ) -> Vec<Holder> {
        let usable: Vec<&RouterInfo> = self
            .live
            .iter()
            .filter(|router| !router.leaving && !self.is_leaving(&router.holder))
            .filter(|router| usable(router))
            .collect();
        let subject = format!("shares/{slot}");
        let ranked = rendezvous::rank(subject.as_bytes(), &usable, |r| &r.holder.address);
        spread(ranked.into_iter().map(|index| usable[index]).collect(), config.max_holders)
    }
}

/// Picks the best of each failure domain in turn.
fn spread(ranked: Vec<&RouterInfo>, max: usize) -> Vec<Holder> {
    let mut picked: Vec<Holder> = Vec::new();
    let mut rest = ranked;
    while picked.len() < max && !rest.is_empty() {
        let mut domains = BTreeSet::new();
        let (round, later): (Vec<&RouterInfo>, Vec<&RouterInfo>) =
            rest.into_iter().partition(|router| domains.insert(router.failure_domain.clone()));
        picked.extend(round.into_iter().map(|router| router.holder.clone()));
        rest = later;
    }
    picked.truncate(max);
    picked
}
