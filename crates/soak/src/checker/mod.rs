//! Looks for broken promises in a history. Knows nothing of how the programs work.

mod answers;
mod changes;
mod lost;
mod overload;
mod repeats;
mod rollouts;
mod runs;
mod unread;

use std::collections::BTreeMap;

use displaydoc::Display;

use crate::history::{Changed, History, Request, Route, Run, RunMs};

/// A promise of the product.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Promise {
    /// at most one run
    AtMostOnce,
    /// "not run" is true
    TrulyNotRun,
    /// refusals say when to come back
    RetryAfter,
    /// an answer belongs to its request
    OwnAnswer,
    /// a stream is whole and in order
    Order,
    /// a stream goes on at the version that began it
    Version,
    /// streams that callers take up go on where new ones begin
    TakenUp,
    /// a request runs at a server of its route
    Route,
    /// a request runs for its team, as the caller sent it
    Team,
    /// a key that no configuration held runs nothing
    UnknownKey,
    /// a withdrawn key stops working
    WithdrawnKey,
    /// a good key is never denied
    NotDenied,
    /// a team stays within its quota
    Quota,
    /// a draining server gets no new work
    Drain,
    /// a server gets no more than the limit that it names
    Limit,
    /// repeats stay within the budget of all gateways together
    Repeats,
    /// no request begins on weights that were replaced too long ago
    OldWeights,
    /// a bad version of a service gets no more than its share, and nothing once it is withdrawn
    Exposure,
    /// a verdict on a version is right and stays
    Verdict,
    /// a complete release cuts no call that may run once
    Release,
    /// cache entries are shared only within a version and a wall
    Cache,
    /// an engine has one orderer and newer weights only
    OneOrderer,
    /// a request is answered, and in time
    Answered,
    /// a request that no server has read is not said to have run, but the first ones that meet a dropped
    /// connection
    Unread,
    /// planned work ends no accepted request without an answer
    Lost,
    /// a gateway stays within the memory of its machine
    Memory,
    /// after the last disturbance everything works again
    Recovery,
    /// a team within its share is not refused altogether while others are served
    Starved,
    /// refusals for load end soon after the last fault
    OverloadEnds,
}

/// A broken promise.
#[derive(Clone, Debug)]
pub struct Broken {
    /// The promise.
    pub promise: Promise,
    /// When, as far as it can be told.
    pub at_ms: RunMs,
    /// What was seen.
    pub what: String,
}

impl Broken {
    fn new(promise: Promise, at_ms: RunMs, what: String) -> Self {
        Self { promise, at_ms, what }
    }
}

/// The bounds of the promises.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// A withdrawn key stops working within this time.
    pub key_withdrawal_ms: u64,
    /// A leaving server gets no new work after this time.
    pub server_drain_ms: u64,
    /// What happened this long ago may still have an effect.
    pub contact_ms: u64,
    /// The limited team's tokens in a second.
    pub rate_per_s: f64,
    /// The limited team's tokens at once.
    pub burst: f64,
    /// The window over which tokens are counted.
    pub quota_window_ms: u64,
    /// What may be used beyond the quota in a window.
    pub quota_slack: f64,
    /// The tokens of a plain request.
    pub plain_tokens: f64,
    /// The tokens of a stream.
    pub stream_tokens: u32,
    /// How long callers wait for plain answers.
    pub deadline_ms: u64,
    /// How long callers wait for the end of streams.
    pub stream_deadline_ms: u64,
    /// A configuration is in force everywhere within this time.
    pub config_apply_ms: u64,
    /// A request counts as read this long after its last byte was sent.
    pub loss_slack_ms: u64,
    /// How much later than that an answer may end.
    pub answer_slack_ms: u64,
    /// The repeats allowed for each request to a service.
    pub retry_ratio: f64,
    /// The window over which repeats are counted.
    pub retry_window_ms: u64,
    /// The repeats allowed in a window besides.
    pub retry_slack: u64,
    /// No request begins on older weights this long after newer ones were named.
    pub rollout_ms: u64,
    /// The share of a service's requests that a new version may get before its release; 0 if versions
    /// are not compared.
    pub exposure_share: f64,
    /// What a bad version may get besides.
    pub exposure_slack: u64,
    /// A bad version gets no requests that are sent this long after its 50th bad answer.
    pub rollback_ms: u64,
    /// The memory of a gateway's machine, in megabytes.
    pub gateway_memory_mb: u64,
    /// Whether promises that are bounded in time are judged as well.
    pub timed: bool,
}

/// The history in the order in which the checks want it.
struct Seen<'a> {
    history: &'a History,
    bounds: &'a Bounds,
    runs_of: BTreeMap<&'a str, Vec<&'a Run>>,
    requests: BTreeMap<&'a str, &'a Request>,
}

/// All broken promises, the earliest first.
pub fn check(history: &History, bounds: &Bounds) -> Vec<Broken> {
    let mut runs_of: BTreeMap<&str, Vec<&Run>> = BTreeMap::new();
    for run in &history.runs {
        runs_of.entry(&run.request).or_default().push(run);
    }
    let requests = history.requests.iter().map(|request| (request.id.as_str(), request)).collect();
    let seen = Seen { history, bounds, runs_of, requests };
    let mut broken = Vec::new();
    runs::check(&seen, &mut broken);
    answers::check(&seen, &mut broken);
    changes::check(&seen, &mut broken);
    lost::check(&seen, &mut broken);
    unread::check(&seen, &mut broken);
    repeats::check(&seen, &mut broken);
    rollouts::check(&seen, &mut broken);
    overload::check(&seen, &mut broken);
    memory(&seen, &mut broken);
    broken.sort_by_key(|broken| broken.at_ms);
    broken
}

fn memory(seen: &Seen<'_>, broken: &mut Vec<Broken>) {
    let most_bytes = seen.bounds.gateway_memory_mb * 1_000_000;
    for (gateway, bytes) in &seen.history.peak_memory_bytes {
        if *bytes > most_bytes {
            let what = format!("{gateway} had {bytes} bytes, its machine has {most_bytes}");
            broken.push(Broken::new(Promise::Memory, seen.history.calm_from_ms, what));
        }
    }
}

impl Bounds {
    /// How long callers wait for an answer of a route.
    pub fn deadline_of(&self, route: Route) -> u64 {
        if route.is_stream() { self.stream_deadline_ms } else { self.deadline_ms }
    }
}

impl<'a> Seen<'a> {
    fn runs_of(&self, request: &Request) -> &[&'a Run] {
        self.runs_of.get(request.id.as_str()).map_or(&[], Vec::as_slice)
    }

    /// Whether the caller's deadline or the route's timeout had passed when a request ended.
    fn is_time_up(&self, request: &Request) -> bool {
        request.ended_ms >= request.sent_ms + self.limit_ms(request)
    }

    /// The time that a request has by its caller's deadline and its route's timeout.
    fn limit_ms(&self, request: &Request) -> u64 {
        let deadline_ms = self.bounds.deadline_of(request.route);
        if !request.route.is_stream() {
            return deadline_ms;
        }
        self.stream_timeouts(request).fold(deadline_ms, u64::min)
    }

    /// The timeouts of streams that may be in force for a request.
    fn stream_timeouts(&self, request: &Request) -> impl Iterator<Item = u64> {
        let applied_ms = request.sent_ms.saturating_sub(self.bounds.config_apply_ms);
        let named = self.history.changes.iter().filter_map(|change| match change.what {
            Changed::StreamTimeout(timeout_ms) => Some((change.at_ms, timeout_ms)),
            _ => None,
        });
        let named: Vec<(RunMs, u64)> = named.collect();
        let older = named.iter().rposition(|(at_ms, _)| *at_ms <= applied_ms).unwrap_or(0);
        let sent_ms = request.sent_ms;
        let possible = named.into_iter().skip(older);
        possible.take_while(move |(at_ms, _)| *at_ms <= sent_ms).map(|(_, timeout_ms)| timeout_ms)
    }
}
