//! Team quotas that are enforced over all routers without a coordinator.
//!
//! Every router keeps one token bucket per team, which models the team's use of the whole fleet. It
//! fills at the team's full rate and is drained by this router's own admissions and by those that
//! the other routers report a few times a second. The level may fall below zero. Thus the excess
//! that several routers admit before they receive each other's reports is paid back, and the sum
//! over the fleet follows the rate.
//!
//! A router whose reports stay away is assumed to use its equal share of the rate until the next
//! report arrives, so routers that are partitioned from each other admit no more than the rate in
//! total. A router that receives no reports from the other `n - 1` fills at `1/n` of the rate.
//!
//! A request that costs more than the whole burst is admitted by a bucket that is nearly full.
//! Later requests wait until this debt is paid back.
//!
//! The overshoot is bounded by what the team requests within the delay of one report, plus one
//! burst per team at the start of a network partition.
//!
//! Memory: one entry for each team and, within it, one for each router.

use std::collections::HashMap;

use samphirespread_core::prelude::*;

use crate::{
    admission::token_rate::{TokenRate, Window},
    model::Quota,
    units::{count, seconds, whole_ms},
};

/// A router whose last report was sent longer ago than this counts as silent and is assumed to use
/// its equal share.
///
/// A report takes up to 300 ms over relays; a lost one is replaced within another 400 ms.
pub const SILENT_AFTER_MS: u64 = 700;

/// A request that costs more than this fraction of the burst is admitted once the bucket holds this
/// fraction.
const LEVEL_FOR_LARGE_REQUESTS: f64 = 0.9;

/// The hash that identifies a team in reports between routers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct TeamKey(pub u64);

impl TeamKey {
    /// Returns the key of a team.
    pub fn of(team: &TeamName) -> Self {
        Self(xxhash_rust::xxh3::xxh3_64(team.as_str().as_bytes()))
    }
}

/// The error for a request that exceeds the quota.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OverQuota {
    /// The time until the bucket will admit the request.
    pub retry_after_ms: u64,
    /// The level of the bucket when it refused the request.
    pub level: f64,
}

/// The buckets of all teams at one router.
#[derive(Debug, Default)]
pub struct Quotas {
    buckets: HashMap<TeamKey, Bucket>,
    routers: HashMap<InstanceName, Router>,
    /// The time up to which the buckets have been filled.
    filled_until: MonoTime,
    /// The sum of the levels with which the routers' buckets of a new team start.
    first_allowance: f64,
    keeps_use_rates: bool,
    knows_routers: bool,
}

#[derive(Clone, Copy, Debug, Default)]
struct Router {
    incarnation: Incarnation,
    /// When the newest report received from it was sent.
    newest_report: Option<MonoTime>,
    /// Whether everything that the current run of that router had admitted is accounted for. If so,
    /// a team that a report contains for the first time had used nothing before.
    is_accounted: bool,
}

/// The totals that a router has admitted since it started.
#[derive(Clone, Debug, PartialEq)]
pub struct UsageReport {
    /// The total of each team in the report.
    pub totals: Vec<(TeamKey, f64)>,
    /// Whether the report contains all teams with a limit. Otherwise it contains only those whose
    /// total has changed recently.
    pub is_full: bool,
}

#[derive(Debug)]
struct Bucket {
    quota: Quota,
    level: f64,
    /// The total that this router has admitted since it started, less refunds.
    own_total: f64,
    /// When `own_total` changed last.
    own_total_changed: MonoTime,
    /// The latest retry time that was given to a refused caller.
    latest_retry: MonoTime,
    /// What all routers admit.
    use_rate: TokenRate,
    peers: HashMap<InstanceName, PeerUse>,
}

#[derive(Clone, Copy, Debug, Default)]
struct PeerUse {
    /// The last reported total; none before the first report.
    total: Option<f64>,
    /// The use that was assumed while the peer was silent, by which this router's bucket was filled
    /// less.
    assumed: f64,
}

impl Quotas {
    /// Creates the buckets of a router. The initial level of a new team's bucket is this router's
    /// equal share of `first_allowance`.
    pub fn new(now: MonoTime, first_allowance: f64) -> Self {
        Self { filled_until: now, first_allowance, keeps_use_rates: true, ..Self::default() }
    }

    /// Sets the teams and quotas of a configuration.
    pub fn set_teams<'a>(
        &mut self,
        teams: impl IntoIterator<Item = (&'a TeamName, Quota)>,
        now: MonoTime,
    ) {
        self.fill_until(now);
        let mut old = std::mem::take(&mut self.buckets);
        let routers = self.routers.len() + 1;
        for (team, quota) in teams {
            let key = TeamKey::of(team);
            let first_allowance = self.first_allowance / count(routers);
            let bucket = match old.remove(&key) {
                Some(mut bucket) => {
                    // What a team used without a limit is no debt under its first one.
                    if quota.is_limited() && !bucket.quota.is_limited() {
                        bucket.level = first_allowance;
                    }
                    if quota != bucket.quota {
                        // Callers that were refused come back by the rate of then.
                        bucket.latest_retry = now;
                    }
                    bucket.quota = quota;
                    bucket.level = bucket.level.min(quota.burst);
                    bucket
                }
                None => Bucket::new(quota, first_allowance, now),
            };
            self.buckets.insert(key, bucket);
        }
    }

    /// Sets the names of all other routers that may be running.
    ///
    /// With the first names, each bucket starts with this router's share of the first allowance. Until
    /// then nothing should be admitted for teams with a quota, as all routers would admit a whole one.
    pub fn set_routers(&mut self, names: &[InstanceName], now: MonoTime) {
        self.fill_until(now);
        if !std::mem::replace(&mut self.knows_routers, true) {
            let first_allowance = self.first_allowance / count(names.len() + 1);
            for bucket in self.buckets.values_mut() {
                bucket.level = bucket.level.min(first_allowance);
            }
        }
        self.routers.retain(|name, _| names.contains(name));
        for name in names {
            self.routers.entry(name.clone()).or_default();
        }
        for bucket in self.buckets.values_mut() {
            bucket.peers.retain(|name, _| names.contains(name));
        }
    }

    /// Processes a report that another router sent at `sent` on this router's clock.
    ///
    /// What a run of the other router admitted before this router knew of the run is not drained
    /// again: until the first full report of the run, only the increase of a team's total counts.
    pub fn apply_report(
        &mut self,
        from: &InstanceName,
        incarnation: Incarnation,
        usage: &UsageReport,
        sent: MonoTime,
        now: MonoTime,
    ) {
        self.fill_until(now);
        let router = self.routers.entry(from.clone()).or_default();
        let is_new_run = incarnation != router.incarnation && router.newest_report.is_some();
        if is_new_run && router.newest_report > Some(sent) {
            // This is a late report of an earlier run.
            return;
        }
        router.incarnation = incarnation;
        let span_ms = router.newest_report.map_or(0, |before| sent.ms_since(before));
        router.newest_report = router.newest_report.max(Some(sent));
        router.is_accounted |= is_new_run;
        let is_accounted = router.is_accounted;
        router.is_accounted |= usage.is_full;
        for bucket in self.buckets.values_mut().filter(|_| is_new_run) {
            bucket.peers.entry(from.clone()).or_default().total = Some(0.0);
        }
        for (team, total) in &usage.totals {
            if let Some(bucket) = self.buckets.get_mut(team) {
                let used = bucket.record_peer_total(from, *total, is_accounted);
                if self.keeps_use_rates {
                    bucket.use_rate.add_over(used, span_ms, now);
                }
            }
        }
    }

    /// Admits a request, or returns when the caller may retry.
    ///
    /// # Errors
    ///
    /// Returns [`OverQuota`] if the level of the bucket is too low.
    pub fn admit(&mut self, team: &TeamName, cost: f64, now: MonoTime) -> Result<(), OverQuota> {
        self.fill_until(now);
        let fill_fraction = self.fill_fraction(now);
        match self.buckets.get_mut(&TeamKey::of(team)) {
            Some(bucket) => bucket.admit(cost, fill_fraction, now),
            None => Ok(()),
        }
    }

    /// Refunds the charge of a request that did not run.
    pub fn refund(&mut self, team: &TeamName, cost: f64, now: MonoTime) {
        let bucket = self.buckets.get_mut(&TeamKey::of(team));
        if let Some(bucket) = bucket.filter(|bucket| bucket.quota.is_limited()) {
            bucket.own_total -= cost;
            bucket.own_total_changed = now;
            bucket.use_rate.add(-cost, now);
            bucket.level = (bucket.level + cost).min(bucket.quota.burst.max(0.0));
        }
    }

    /// Whether a team has a quota.
    pub fn is_limited(&self, team: &TeamName) -> bool {
        let bucket = self.buckets.get(&TeamKey::of(team));
        bucket.is_some_and(|bucket| bucket.quota.is_limited())
    }

    /// Returns the rate at which all routers admit a team's use, by what this router has heard. None if
    /// the team has no quota, as reports then don't contain it.
    pub fn use_rate(&self, team: TeamKey, window: Window, now: MonoTime) -> Option<f64> {
        let bucket = self.buckets.get(&team).filter(|bucket| bucket.quota.is_limited())?;
        Some(bucket.use_rate.per_s(window, now))
    }

    /// Returns the rates of all teams with a quota, and whether they are in tokens or in requests.
    pub fn use_rates(
        &self,
        window: Window,
        now: MonoTime,
    ) -> impl Iterator<Item = (TeamKey, f64, bool)> {
        let limited = self.buckets.iter().filter(|(_, bucket)| bucket.quota.is_limited());
        limited.map(move |(team, bucket)| {
            (*team, bucket.use_rate.per_s(window, now), bucket.quota.in_tokens)
        })
    }

    /// Sets whether the rates at which other routers admit the teams' use are kept. Only the division of
    /// what engines can take needs them.
    pub fn keep_use_rates(&mut self, keeps: bool) {
        self.keeps_use_rates = keeps;
    }

    /// Returns a full report of what this router has admitted.
    pub fn usage(&self) -> UsageReport {
        UsageReport { totals: self.totals(|_| true), is_full: true }
    }

    /// Returns a report of the teams whose total has changed since then.
    pub fn usage_since(&self, since: MonoTime) -> UsageReport {
        UsageReport {
            totals: self.totals(|bucket| bucket.own_total_changed >= since),
            is_full: false,
        }
    }

    fn totals(&self, is_included: impl Fn(&Bucket) -> bool) -> Vec<(TeamKey, f64)> {
        let limited = self.buckets.iter().filter(|(_, bucket)| bucket.quota.is_limited());
        let included = limited.filter(|(_, bucket)| is_included(bucket));
        included.map(|(team, bucket)| (*team, bucket.own_total)).collect()
    }

    /// Returns the number of other routers that reported recently, and of all other routers.
    fn recent_and_all_routers(&self, now: MonoTime) -> (usize, usize) {
        let recent =
            self.routers.values().filter(|router| router.has_reported_recently(now)).count();
        (recent, self.routers.len())
    }

    /// Returns the fraction of the rate at which buckets fill now.
    fn fill_fraction(&self, now: MonoTime) -> f64 {
        let (recent, all) = self.recent_and_all_routers(now);
        count(recent + 1) / count(all + 1)
    }

    fn fill_until(&mut self, now: MonoTime) {
        let elapsed_s = seconds(now.us_since(self.filled_until));
        self.filled_until = self.filled_until.max(now);
        if elapsed_s <= 0.0 {
            return;
        }
        let fill_fraction = self.fill_fraction(now);
        let equal_share = 1.0 / count(self.routers.len() + 1);
        let silent: Vec<&InstanceName> = self
            .routers
            .iter()
            .filter(|(_, router)| !router.has_reported_recently(now))
            .map(|(name, _)| name)
            .collect();
        for bucket in self.buckets.values_mut() {
            bucket.fill(elapsed_s, fill_fraction);
            for name in &silent {
                let peer = bucket.peers.entry((*name).clone()).or_default();
                peer.assumed += bucket.quota.rate_per_s * equal_share * elapsed_s;
            }
        }
    }
}

impl Router {
    fn has_reported_recently(&self, now: MonoTime) -> bool {
        self.newest_report.is_some_and(|sent| now.ms_since(sent) <= SILENT_AFTER_MS)
    }
}

impl Bucket {
    fn new(quota: Quota, first_allowance: f64, now: MonoTime) -> Self {
        Self {
            quota,
            level: first_allowance.min(quota.burst),
            own_total: 0.0,
            own_total_changed: now,
            latest_retry: now,
            use_rate: TokenRate::default(),
            peers: HashMap::new(),
        }
    }

    fn fill(&mut self, elapsed_s: f64, fill_fraction: f64) {
        let max_level = self.quota.burst * fill_fraction;
        let filled = self.level + self.quota.rate_per_s * fill_fraction * elapsed_s;
        self.level = filled.min(max_level.max(0.0));
    }

    /// Records the total that another router reports, and returns its increase.
    fn record_peer_total(&mut self, from: &InstanceName, total: f64, is_accounted: bool) -> f64 {
        let peer = self.peers.entry(from.clone()).or_default();
        let previous = peer.total.unwrap_or(if is_accounted { 0.0 } else { total });
        let used = total - previous;
        let already_counted = peer.assumed.min(used.max(0.0));
        *peer = PeerUse { total: Some(total), assumed: 0.0 };
        self.level -= used - already_counted;
        used
    }

    fn admit(&mut self, cost: f64, fill_fraction: f64, now: MonoTime) -> Result<(), OverQuota> {
        let needed = cost.min(LEVEL_FOR_LARGE_REQUESTS * self.quota.burst * fill_fraction);
        if !self.quota.is_limited() {
            return Ok(());
        }
        if needed <= self.level {
            self.level -= cost;
            self.own_total += cost;
            self.own_total_changed = now;
            self.use_rate.add(cost, now);
            return Ok(());
        }
        let rate_per_ms = (self.quota.rate_per_s * fill_fraction / 1_000.0).max(f64::MIN_POSITIVE);
        let missing_ms = whole_ms((needed - self.level) / rate_per_ms);
        let after_others = self.latest_retry.plus_ms(whole_ms(cost / rate_per_ms));
        let retry = now.plus_ms(missing_ms).max(after_others);
        self.latest_retry = retry;
        Err(OverQuota { retry_after_ms: retry.ms_since(now), level: self.level })
    }
}
