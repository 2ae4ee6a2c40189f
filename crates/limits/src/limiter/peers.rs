//! Tracks other routers: the live list, which routers answer, and which should hold shares.

use std::collections::{BTreeMap, BTreeSet};

use samphirespread_core::prelude::*;

use crate::{config::LimitsConfig, limiter::RouterInfo, message::Holder};

/// The live list and the state of each known router.
#[derive(Debug)]
pub(crate) struct Peers {
    /// When this process started, or when its last pause ended. A peer's silence before then does
    /// not count.
    running_since: MonoTime,
    last_tick: MonoTime,
    last_ping: Option<MonoTime>,
    live: Vec<RouterInfo>,
    known: BTreeMap<Holder, Peer>,
}

#[derive(Debug)]
struct Peer {
    /// When the first message since the peer's last answer was sent, while messages keep being
    /// sent.
    unanswered_since: Option<MonoTime>,
    last_sent: MonoTime,
    incarnation: Incarnation,
    absent_since: Option<MonoTime>,
    absent_last: Option<MonoTime>,
    leaving: bool,
}

/// Time of absence from the live list after which a router's state is dropped.
const FORGET_ABSENT_AFTER_MS: u64 = 600_000;

impl Peer {
    /// How long the router has been missing, from the first to the last live list without it.
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
            running_since: now,
            last_tick: now,
            last_ping: None,
            live: Vec::new(),
            known: BTreeMap::new(),
        }
    }

    pub(crate) fn set_live(&mut self, now: MonoTime, routers: Vec<RouterInfo>) {
        for router in &routers {
            self.ensure_known(&router.holder);
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
        self.known.retain(|_, peer| peer.absent_ms() < FORGET_ABSENT_AFTER_MS);
        self.live = routers;
    }

    /// Adds a holder if it is not known yet.
    pub(crate) fn ensure_known(&mut self, holder: &Holder) {
        if self.known.contains_key(holder) {
            return;
        }
        let peer = Peer {
            unanswered_since: None,
            last_sent: MonoTime::ZERO,
            incarnation: Incarnation::default(),
            absent_since: None,
            absent_last: None,
            leaving: false,
        };
        self.known.insert(holder.clone(), peer);
    }

    /// Records that a message that needs an answer was sent.
    pub(crate) fn record_sent(&mut self, now: MonoTime, holder: &Holder, config: &LimitsConfig) {
        self.ensure_known(holder);
        let Some(peer) = self.known.get_mut(holder) else { return };
        let lapsed = now.ms_since(peer.last_sent) >= config.silence_timeout_ms;
        if lapsed || peer.unanswered_since.is_none() {
            peer.unanswered_since = Some(now);
        }
        peer.last_sent = now;
    }

    /// Records that a message arrived. Returns false if it is from a run that was replaced.
    pub(crate) fn record_message(
        &mut self,
        from: &Holder,
        run: Incarnation,
        leaving: bool,
    ) -> bool {
        self.ensure_known(from);
        let Some(peer) = self.known.get_mut(from) else { return false };
        if run < peer.incarnation {
            return false;
        }
        peer.incarnation = run;
        peer.leaving = leaving;
        peer.unanswered_since = None;
        true
    }

    /// Records the time, and detects a pause of this process.
    pub(crate) fn tick(&mut self, now: MonoTime, config: &LimitsConfig) {
        if now.ms_since(self.last_tick) * 2 > config.silence_timeout_ms {
            self.running_since = now;
        }
        self.last_tick = now;
    }

    /// Returns whether the next round of pings is due, and if so records that it starts.
    pub(crate) fn start_ping_if_due(&mut self, now: MonoTime, config: &LimitsConfig) -> bool {
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
        now.ms_since(since.max(self.running_since)) >= timeout_ms
            && now.ms_since(peer.last_sent) < timeout_ms
    }

    /// Whether the holder has been absent from the live list for so long that it counts as dead.
    pub(crate) fn is_dead(&self, holder: &Holder, config: &LimitsConfig) -> bool {
        self.known.get(holder).is_some_and(|peer| peer.absent_ms() >= config.dead_after_ms)
    }

    /// The routers that should hold shares of a slot, in order of preference.
    pub(crate) fn targets(&self, now: MonoTime, slot: usize, config: &LimitsConfig) -> Vec<Holder> {
        self.rank_live(slot, config, |router| !self.is_silent(now, &router.holder, config))
    }

    /// Like [`targets`](Self::targets), but including routers that don't answer.
    pub(crate) fn candidates(&self, slot: usize, config: &LimitsConfig) -> Vec<Holder> {
        self.rank_live(slot, config, |_| true)
    }

    fn rank_live(
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
        spread_over_domains(
            ranked.into_iter().map(|index| usable[index]).collect(),
            config.max_holders,
        )
    }
}

/// Picks up to `max` holders, taking the highest ranked router of each failure domain in turn.
fn spread_over_domains(ranked: Vec<&RouterInfo>, max: usize) -> Vec<Holder> {
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
