//! Team quotas over all routers, without a coordinator.
//!
//! Every router keeps one bucket a team that stands for the whole fleet: it fills at the team's full
//! rate and is drained by this router's own admissions and by those that the other routers report a
//! few times a second. A bucket may go below zero, so what several routers admit before they hear of
//! each other is paid back, and the sum over the fleet follows the rate.
//!
//! A router that is not heard is taken to use its equal part of the rate until its word comes, so
//! routers that are cut off from each other admit no more than the rate in sum. A router that is
//! alone among `n` fills at `1/n` of the rate.
//!
//! A request that costs more than the whole burst is let in by a bucket that is nearly full, and the
//! debt is paid back by those after it.
//!
//! The overshoot is bounded by what the team asks for within one report's delay, plus one burst for
//! each team when a cut begins.
//!
//! Cost: one entry for each team and, in that, one for each router.

use std::collections::HashMap;

use samphirespread_core::prelude::*;

use crate::model::Quota;

/// A router whose word is older than this is taken to be silent, and to use its equal part.
///
/// A report takes up to 300 ms over relays; one that fails is replaced within another 400 ms.
pub const SILENT_AFTER_MS: u64 = 700;

/// The part of its burst that a bucket must hold to let in a request that costs more than that.
const PART_FOR_LARGE: f64 = 0.9;

/// A team, as reports between routers name it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct TeamKey(pub u64);

impl TeamKey {
    /// The key of a team's name.
    pub fn of(team: &TeamName) -> Self {
        Self(xxhash_rust::xxh3::xxh3_64(team.as_str().as_bytes()))
    }
}

/// A request that is over the quota.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OverQuota {
    /// When the bucket will let the request in.
    pub retry_after_ms: u64,
    /// What the bucket held.
    pub level: f64,
}

/// The buckets of all teams at one router.
#[derive(Debug, Default)]
pub struct Quotas {
    buckets: HashMap<TeamKey, Bucket>,
    routers: HashMap<InstanceName, Router>,
    advanced: MonoTime,
    first_allowance: f64,
}

#[derive(Clone, Copy, Debug, Default)]
struct Router {
    incarnation: Incarnation,
    /// When it told what was heard last.
    heard: Option<MonoTime>,
    /// Whether all that this run has admitted is accounted for, so that a team that it tells of for the first
    /// time had used nothing before.
    is_accounted: bool,
}

/// What a router has admitted in all since it started.
#[derive(Clone, Debug, PartialEq)]
pub struct UsageReport {
    /// Of the teams that it tells of.
    pub totals: Vec<(TeamKey, f64)>,
    /// Whether it tells of all teams with a limit. Otherwise only of those whose total has changed
    /// lately.
    pub is_full: bool,
}

#[derive(Debug)]
struct Bucket {
    quota: Quota,
    level: f64,
    /// Admitted by this run of this router, less refunds.
    own_total: f64,
    /// When that changed last.
    changed: MonoTime,
    /// Callers have been told to come back until then.
    promised: MonoTime,
    peers: HashMap<InstanceName, PeerUse>,
}

#[derive(Clone, Copy, Debug, Default)]
struct PeerUse {
    /// What it has told of; none before its first word.
    total: Option<f64>,
    /// Withheld from this router's filling while the peer was silent.
    assumed: f64,
}

impl Quotas {
    /// Buckets that start with at most `first_allowance` each.
    pub fn new(now: MonoTime, first_allowance: f64) -> Self {
        Self { advanced: now, first_allowance, ..Self::default() }
    }

    /// Puts the quotas of a configuration in force.
    pub fn set_teams<'a>(
        &mut self,
        teams: impl IntoIterator<Item = (&'a TeamName, Quota)>,
        now: MonoTime,
    ) {
        self.advance(now);
        let mut old = std::mem::take(&mut self.buckets);
        let routers = self.routers.len() + 1;
        for (team, quota) in teams {
            let key = TeamKey::of(team);
            let bucket = match old.remove(&key) {
                Some(mut bucket) => {
                    bucket.quota = quota;
                    bucket.level = bucket.level.min(quota.burst);
                    bucket
                }
                None => Bucket::new(quota, self.first_allowance / count(routers), now),
            };
            self.buckets.insert(key, bucket);
        }
    }

    /// Sets the other routers that there may be.
    pub fn set_routers(&mut self, names: &[InstanceName], now: MonoTime) {
        self.advance(now);
        self.routers.retain(|name, _| names.contains(name));
        for name in names {
            self.routers.entry(name.clone()).or_default();
        }
        for bucket in self.buckets.values_mut() {
            bucket.peers.retain(|name, _| names.contains(name));
        }
    }

    /// Takes in what another router had admitted in all since it started, as it told then.
    ///
    /// What a run has admitted before this router knew of the run is not drained again: until its first full
    /// report, only what a team's total rises by counts.
    pub fn heard(
        &mut self,
        from: &InstanceName,
        incarnation: Incarnation,
        usage: &UsageReport,
        told: MonoTime,
        now: MonoTime,
    ) {
        self.advance(now);
        let router = self.routers.entry(from.clone()).or_default();
        let is_new_run = incarnation != router.incarnation && router.heard.is_some();
        if is_new_run && router.heard > Some(told) {
            // What the run before told arrives late.
            return;
        }
        router.incarnation = incarnation;
        router.heard = router.heard.max(Some(told));
        router.is_accounted |= is_new_run;
        let is_accounted = router.is_accounted;
        router.is_accounted |= usage.is_full;
        for bucket in self.buckets.values_mut().filter(|_| is_new_run) {
            bucket.peers.entry(from.clone()).or_default().total = Some(0.0);
        }
        for (team, total) in &usage.totals {
            if let Some(bucket) = self.buckets.get_mut(team) {
                bucket.peer_reported(from, *total, is_accounted);
            }
        }
    }

    /// Admits a request, or says when it may come back.
    ///
    /// # Errors
    ///
    /// [`OverQuota`] when the bucket does not hold enough.
    pub fn admit(&mut self, team: &TeamName, cost: f64, now: MonoTime) -> Result<(), OverQuota> {
        self.advance(now);
        let filling = self.filling(now);
        match self.buckets.get_mut(&TeamKey::of(team)) {
            Some(bucket) => bucket.admit(cost, filling, now),
            None => Ok(()),
        }
    }

    /// Gives back what a request that has not run was charged.
    pub fn refund(&mut self, team: &TeamName, cost: f64, now: MonoTime) {
        if let Some(bucket) = self.buckets.get_mut(&TeamKey::of(team)) {
            bucket.own_total -= cost;
            bucket.changed = now;
            bucket.level = (bucket.level + cost).min(bucket.quota.burst.max(0.0));
        }
    }

    /// What this router has admitted in all, of all teams.
    pub fn usage(&self) -> UsageReport {
        UsageReport { totals: self.totals(|_| true), is_full: true }
    }

    /// What this router has admitted in all, of the teams where that has changed since a moment.
    pub fn usage_since(&self, since: MonoTime) -> UsageReport {
        UsageReport { totals: self.totals(|bucket| bucket.changed >= since), is_full: false }
    }

    fn totals(&self, tells_of: impl Fn(&Bucket) -> bool) -> Vec<(TeamKey, f64)> {
        let limited = self.buckets.iter().filter(|(_, bucket)| bucket.quota.is_limited());
        let told = limited.filter(|(_, bucket)| tells_of(bucket));
        told.map(|(team, bucket)| (*team, bucket.own_total)).collect()
    }

    /// The other routers that were heard lately, and all that there may be.
    fn reach(&self, now: MonoTime) -> (usize, usize) {
        let heard = self.routers.values().filter(|router| router.is_heard(now)).count();
        (heard, self.routers.len())
    }

    /// The part of the rate at which buckets fill.
    fn filling(&self, now: MonoTime) -> f64 {
        let (heard, all) = self.reach(now);
        count(heard + 1) / count(all + 1)
    }

    fn advance(&mut self, now: MonoTime) {
        let elapsed_s = seconds(now.us_since(self.advanced));
        self.advanced = self.advanced.max(now);
        if elapsed_s <= 0.0 {
            return;
        }
        let filling = self.filling(now);
        let equal_part = 1.0 / count(self.routers.len() + 1);
        let silent: Vec<&InstanceName> = self
            .routers
            .iter()
            .filter(|(_, router)| !router.is_heard(now))
            .map(|(name, _)| name)
            .collect();
        for bucket in self.buckets.values_mut() {
            bucket.fill(elapsed_s, filling);
            for name in &silent {
                let peer = bucket.peers.entry((*name).clone()).or_default();
                peer.assumed += bucket.quota.rate_per_s * equal_part * elapsed_s;
            }
        }
    }
}

impl Router {
    fn is_heard(&self, now: MonoTime) -> bool {
        self.heard.is_some_and(|heard| now.ms_since(heard) <= SILENT_AFTER_MS)
    }
}

impl Bucket {
    fn new(quota: Quota, first_allowance: f64, now: MonoTime) -> Self {
        Self {
            quota,
            level: first_allowance.min(quota.burst),
            own_total: 0.0,
            changed: now,
            promised: now,
            peers: HashMap::new(),
        }
    }

    fn fill(&mut self, elapsed_s: f64, filling: f64) {
        let most = self.quota.burst * filling;
        let filled = self.level + self.quota.rate_per_s * filling * elapsed_s;
        self.level = filled.min(most.max(0.0));
    }

    fn peer_reported(&mut self, from: &InstanceName, total: f64, is_accounted: bool) {
        let peer = self.peers.entry(from.clone()).or_default();
        let before = peer.total.unwrap_or(if is_accounted { 0.0 } else { total });
        let used = total - before;
        let already_counted = peer.assumed.min(used.max(0.0));
        *peer = PeerUse { total: Some(total), assumed: 0.0 };
        self.level -= used - already_counted;
    }

    fn admit(&mut self, cost: f64, filling: f64, now: MonoTime) -> Result<(), OverQuota> {
        let needed = cost.min(PART_FOR_LARGE * self.quota.burst * filling);
        if !self.quota.is_limited() || needed <= self.level {
            self.level -= cost;
            self.own_total += cost;
            self.changed = now;
            return Ok(());
        }
        let rate_per_ms = (self.quota.rate_per_s * filling / 1_000.0).max(f64::MIN_POSITIVE);
        let missing_ms = whole_ms((needed - self.level) / rate_per_ms);
        let behind_others = self.promised.plus_ms(whole_ms(cost / rate_per_ms));
        let back = now.plus_ms(missing_ms).max(behind_others);
        self.promised = back;
        Err(OverQuota { retry_after_ms: back.ms_since(now), level: self.level })
    }
}

#[expect(clippy::cast_precision_loss, reason = "there are few routers")]
fn count(routers: usize) -> f64 {
    routers as f64
}

#[expect(clippy::cast_precision_loss, reason = "spans are short")]
fn seconds(us: u64) -> f64 {
    us as f64 / 1e6
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "bounded to an hour and above zero"
)]
fn whole_ms(ms: f64) -> u64 {
    ms.clamp(0.0, 3_600_000.0).ceil() as u64
}
