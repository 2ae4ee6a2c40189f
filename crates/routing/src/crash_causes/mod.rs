//! Finds what in requests crashes backend servers, so that it is not sent to server after server.
//!
//! A server crashes for many reasons, and all of its runs end with it. A part of a prompt is a
//! possible cause if it was in a run whose answer had begun and had gone on for [`MIN_SURVIVAL_MS`]
//! at most since its first event. The crash counts against the part, together with the crashes
//! before it, until a run with the part survives: one that lasts longer or is whole, at any server
//! and for any team. Thus parts that many requests share are cleared within moments, and a part that
//! crashes every server keeps all of its crashes.
//!
//! The request as a whole is a possible cause too, when it comes again under other ids. The crash
//! counts against it if it had been sent, and only an answer that is whole clears it.
//!
//! A request that crashes count against is to be sent to another host than those of the crashes, see
//! [`CrashCauses::crashed_hosts`]. After three crashes in a row, at different hosts, or after five at
//! two, requests with the cause are refused. If a more specific cause was the same in all of these
//! crashes, only requests with that one are: the next part of the prompt, or the whole request. From
//! time to time one is sent on trial, by one router, so that a wrong verdict ends.
//!
//! Routers tell each other of crashes, of survivals and of trials. What they tell can be repeated, lost
//! and overtaken: each router keeps the union of the crashes and the latest survival, which outweighs
//! all crashes before it. Word of crashes that is older than the survival can't bring a verdict back.
//!
//! A router that starts knows nothing. The others tell all that they know once a second, and soon after
//! a router has started or has told less. Which of them do follows from a rank that all routers compute
//! alike: all but the first few wait a moment for each router before them, and all wait again once they
//! have heard all. For the case that no router is left that knows, the verdicts are in a
//! [`VerdictRecord`].
//!
//! ```
//! use samphirespread_core::prelude::*;
//! use samphirespread_routing::{
//!     crash_causes::{CauseKey, Crash, CrashCauses, Host, Verdict},
//!     server_limit::ServerRun,
//! };
//!
//! let mut causes = CrashCauses::new(InstanceName::new("r1"));
//! let part = CauseKey::of_part("5c1e07a2");
//! for server in 1..=3_u8 {
//!     let crash = Crash {
//!         run: ServerRun::of(&format!("i-{server}"), None),
//!         host: Host::of(([10, 0, 0, server], 80).into()),
//!         at: MonoTime::from_ms(1_000 * u64::from(server)),
//!         more_specific: None,
//!     };
//!     causes.record_crash(part, crash, crash.at);
//! }
//! let now = MonoTime::from_ms(3_500);
//! assert!(matches!(causes.verdict(&[part], 18, true, now), Verdict::Refused { .. }));
//!
//! causes.record_survival(part, now);
//! assert_eq!(causes.verdict(&[part], 18, true, now), Verdict::Allowed);
//! ```
//!
//! # Costs
//!
//! Memory: about 500 bytes for each of up to [`MAX_CAUSES`] causes. A verdict takes one lookup for
//! each part of the prompt. News of one cause takes about 30 bytes and 25 for each crash; it is sent
//! at each change, and once a second by one to four routers from two crashes on.
//!
//! # Limits
//!
//! A part that crashes servers only some time after the first event is not found. Until it is found,
//! a part crashes as many servers as requests with it are on their way. A sound request whose server
//! crashes three times before its answer is whole, at three hosts, is refused until the first trial.

mod evidence;
mod key;
mod news;
mod record;
mod telling;
mod verdict;

use std::{cmp::Reverse, collections::HashMap};

use samphirespread_core::prelude::*;

use self::{evidence::Evidence, telling::Telling};
pub use self::{
    evidence::{Crash, Host},
    key::{CauseKey, CauseTag},
    news::{CauseKind, CauseNews, CrashNews},
    record::VerdictRecord,
    verdict::Verdict,
};

/// How long the run of a part goes on after its first event until the part counts as survived.
pub const MIN_SURVIVAL_MS: u64 = 250;
/// The maximum number of possible causes of which evidence is kept. Beyond it, those with the fewest
/// crashes are forgotten.
pub const MAX_CAUSES: usize = 1_024;
/// The maximum number of causes about which a router tells the others in one record.
pub const MAX_NEWS: usize = 16;
/// Evidence is forgotten this long after the last request or crash with the cause.
const EVIDENCE_LIFETIME_MS: u64 = 3_600_000;
/// Number of routers that tell of a survival again, to a router that has missed it.
const SURVIVAL_TELLERS: usize = 2;
/// Crashes from which routers keep telling of a cause.
const MIN_KEPT_CRASHES: usize = 2;

/// The possible causes of crashes that are known to a router.
#[derive(Clone, Debug)]
pub struct CrashCauses {
    own: InstanceName,
    /// All other routers on the list.
    others: Vec<InstanceName>,
    /// The run of each of them, as it has published something.
    runs: HashMap<InstanceName, Incarnation>,
    known: HashMap<CauseKey, Cause>,
}

#[derive(Clone, Debug)]
struct Cause {
    evidence: Evidence,
    /// When a request or a crash with the cause last came.
    last_seen: MonoTime,
    telling: Telling,
}

/// What changed with news from another router.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct NewsEffect {
    /// The number of crashes that count against the cause, if there are more than before.
    pub crashes: Option<usize>,
    /// The number of crashes that no longer count, as a run has survived.
    pub cleared: usize,
    /// What the cause is, if it is known.
    pub kind: Option<CauseKind>,
}

impl CrashCauses {
    /// Creates the causes of a router that does not know the other routers yet.
    pub fn new(own: InstanceName) -> Self {
        Self { own, others: Vec::new(), runs: HashMap::new(), known: HashMap::new() }
    }

    /// Sets the other routers.
    pub fn set_routers(&mut self, others: Vec<InstanceName>) {
        self.runs.retain(|name, _| others.contains(name));
        self.others = others;
    }

    /// Records that a server crashed during a run of this router that may be the cause. Returns the
    /// number of crashes since such a run last survived, or `None` if this one was known.
    pub fn record_crash(&mut self, key: CauseKey, crash: Crash, now: MonoTime) -> Option<usize> {
        let cause = self.cause(key, now);
        cause.last_seen = now;
        if !cause.evidence.add_crash(crash) {
            return None;
        }
        cause.telling.add_news(now);
        Some(cause.evidence.crashes().len())
    }

    /// Records that a run with the cause survived. Returns whether crashes had counted against it.
    pub fn record_survival(&mut self, key: CauseKey, now: MonoTime) -> bool {
        self.clear_before(key, now, now)
    }

    /// Records that a run with the part survived, as it went on for [`MIN_SURVIVAL_MS`] after its first
    /// event. Returns whether crashes had counted against the part.
    ///
    /// Crashes after the first event still count: the run had begun before them.
    pub fn record_run(&mut self, part: CauseKey, first_event: MonoTime, now: MonoTime) -> bool {
        self.clear_before(part, first_event.minus_ms(evidence::TIME_ERROR_MS), now)
    }

    fn clear_before(&mut self, key: CauseKey, survived: MonoTime, now: MonoTime) -> bool {
        let Some(cause) = self.known.get_mut(&key) else { return false };
        let is_cleared = cause.evidence.add_survival(survived);
        if is_cleared {
            cause.telling.add_news(now);
        }
        is_cleared
    }

    /// Decides on a request with these possible causes, for a service with that many hosts. If it
    /// is sent on trial, no other one is for a while.
    ///
    /// Only a router that `may_try` sends on trial: one that knows the other routers and hears them.
    pub fn verdict(
        &mut self,
        keys: &[CauseKey],
        service_hosts: usize,
        may_try: bool,
        now: MonoTime,
    ) -> Verdict {
        let own = Some(&self.own).filter(|_| may_try);
        let mut verdict = Verdict::Allowed;
        for key in keys {
            let Some(cause) = self.known.get(key) else { continue };
            if self.is_refused(cause, service_hosts, now) {
                verdict = verdict.and(cause.evidence.verdict(*key, own, &self.others, now));
            }
        }
        self.record_request(keys, verdict, service_hosts, now);
        verdict
    }

    /// Whether requests with a cause are refused. They are not while a more specific cause explains
    /// all of its crashes.
    fn is_refused(&self, cause: &Cause, service_hosts: usize, now: MonoTime) -> bool {
        if !cause.evidence.is_blocking(service_hosts, now) {
            return false;
        }
        let Some(tag) = cause.evidence.more_specific_cause() else { return true };
        let has_tag = |(key, _): &(&CauseKey, &Cause)| key.tag() == tag;
        let explains =
            |(_, other): (&CauseKey, &Cause)| other.evidence.is_blocking(service_hosts, now);
        !self.known.iter().find(has_tag).is_some_and(explains)
    }

    fn record_request(
        &mut self,
        keys: &[CauseKey],
        verdict: Verdict,
        service_hosts: usize,
        now: MonoTime,
    ) {
        for key in keys {
            let Some(cause) = self.known.get_mut(key) else { continue };
            cause.last_seen = now;
            if verdict == Verdict::Trial && cause.evidence.is_blocking(service_hosts, now) {
                cause.evidence.tried = Some(now);
                cause.telling.add_news(now);
            }
        }
    }

    /// Clears a cause as an operator asks, and what was only in the crashes together with it. Returns
    /// whether crashes had counted against the cause.
    pub fn clear(&mut self, key: CauseKey, now: MonoTime) -> bool {
        let less_specific = |(_, cause): &(&CauseKey, &Cause)| {
            cause.evidence.more_specific_cause() == Some(key.tag())
        };
        let others: Vec<CauseKey> =
            self.known.iter().filter(less_specific).map(|(other, _)| *other).collect();
        let is_cleared = self.record_survival(key, now);
        for other in others {
            self.clear(other, now);
        }
        is_cleared
    }

    /// Applies what another router published at a time, by this router's clock.
    pub fn apply_news(
        &mut self,
        news: &CauseNews,
        published: MonoTime,
        now: MonoTime,
    ) -> NewsEffect {
        if news.seen_age_ms.saturating_add(now.ms_since(published)) >= EVIDENCE_LIFETIME_MS {
            return NewsEffect::default();
        }
        let cause = self.cause(news.key, now);
        cause.last_seen = cause.last_seen.max(published.minus_ms(news.seen_age_ms));
        let before = cause.evidence.crashes().len();
        let kind_before = cause.evidence.kind();
        if let Some(age_ms) = news.survived_age_ms {
            cause.evidence.add_survival(published.minus_ms(age_ms));
        }
        let cleared = before - cause.evidence.crashes().len();
        let tried = news.tried_age_ms.map(|age_ms| published.minus_ms(age_ms));
        cause.evidence.tried = cause.evidence.tried.max(tried);
        let mut is_outdated = false;
        for crash in &news.crashes {
            let crash = crash.crash(published);
            cause.evidence.add_crash(crash);
            is_outdated |= cause.evidence.outweighs(crash);
        }
        let is_told_by = |crash: &Crash| news.crashes.iter().any(|told| told.run == crash.run);
        if cause.evidence.crashes().iter().all(is_told_by) && !is_outdated {
            cause.telling.record_heard_all(now);
        } else {
            cause.telling.record_unknown(now);
        }
        if is_outdated && self.rank(news.key) < SURVIVAL_TELLERS {
            // The sender has missed the survival.
            self.cause(news.key, now).telling.add_news(now);
        }
        let cause = self.cause(news.key, now);
        let crashes = cause.evidence.crashes().len();
        let kind = cause.evidence.kind().or(kind_before);
        NewsEffect { crashes: (crashes > before).then_some(crashes), cleared, kind }
    }

    /// What to tell the other routers: what changed within the last `within_ms`, and all that is known
    /// of the causes that nobody has told of for a while.
    pub fn news(&mut self, within_ms: u64, now: MonoTime) -> Vec<CauseNews> {
        let is_told = |key: &CauseKey, cause: &Cause| {
            cause.telling.has_news(within_ms, now)
                || (cause.is_kept() && cause.telling.is_due(|| self.rank(*key), now))
        };
        let mut told: Vec<(&CauseKey, &Cause)> =
            self.known.iter().filter(|(key, cause)| is_told(key, cause)).collect();
        told.sort_unstable_by_key(|(key, cause)| {
            let order = (Reverse(cause.weight_of_news()), cause.telling.times_told());
            (order, Reverse(cause.telling.news_since()), **key)
        });
        told.truncate(MAX_NEWS);
        let told: Vec<CauseKey> = told.into_iter().map(|(key, _)| *key).collect();
        told.into_iter().filter_map(|key| self.tell(key, now)).collect()
    }

    fn tell(&mut self, key: CauseKey, now: MonoTime) -> Option<CauseNews> {
        let cause = self.known.get_mut(&key)?;
        cause.telling.record_told(now);
        Some(CauseNews::of(key, &cause.evidence, cause.last_seen, now))
    }

    /// Records the run of another router that has published something. A run that is new has forgotten
    /// what the one before knew. Returns whether there is something to tell it.
    pub fn note_router(&mut self, name: &InstanceName, run: Incarnation, now: MonoTime) -> bool {
        if self.runs.get(name) == Some(&run) {
            return false;
        }
        self.runs.insert(name.clone(), run);
        for cause in self.known.values_mut() {
            cause.telling.record_unknown(now);
        }
        self.known.values().any(Cause::is_kept)
    }

    /// The hosts on which servers crashed with one of these causes since it last survived. A request
    /// with them goes to another host, if there is one: there it shows whether the host is at fault.
    pub fn crashed_hosts(&self, keys: impl IntoIterator<Item = CauseKey>) -> Vec<Host> {
        let causes = keys.into_iter().filter_map(|key| self.known.get(&key));
        causes.flat_map(|cause| cause.evidence.crashes()).map(|crash| crash.host).collect()
    }

    /// Whether nothing is known of any cause, so that nothing has to be looked up.
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    /// The number of crashes since a run with the cause last survived.
    pub fn crashes(&self, key: CauseKey) -> usize {
        self.known.get(&key).map_or(0, |cause| cause.evidence.crashes().len())
    }

    /// The number of different hosts on which servers crashed since then.
    pub fn hosts(&self, key: CauseKey) -> usize {
        self.known.get(&key).map_or(0, |cause| cause.evidence.hosts())
    }

    /// The number of causes for which requests to a service with many servers are refused.
    pub fn count_blocked(&self, now: MonoTime) -> usize {
        let is_blocking = |cause: &&Cause| cause.evidence.is_blocking(usize::MAX, now);
        self.known.values().filter(is_blocking).count()
    }

    /// Forgets the causes that have not been seen for long.
    pub fn expire(&mut self, now: MonoTime) {
        self.known.retain(|_, cause| now.ms_since(cause.last_seen) < EVIDENCE_LIFETIME_MS);
    }

    /// The number of routers that tell of a cause before this one, if they know of it.
    fn rank(&self, key: CauseKey) -> usize {
        verdict::rank(key.as_bytes(), &self.own, &self.others)
    }

    fn cause(&mut self, key: CauseKey, now: MonoTime) -> &mut Cause {
        self.make_room(key);
        self.known.entry(key).or_insert_with(|| Cause {
            evidence: Evidence::default(),
            last_seen: now,
            telling: Telling::new(now),
        })
    }

    /// Forgets the cause with the least evidence if there is no room for another one.
    fn make_room(&mut self, key: CauseKey) {
        if self.known.len() < MAX_CAUSES || self.known.contains_key(&key) {
            return;
        }
        let weight = |cause: &Cause| (cause.evidence.crashes().len(), cause.last_seen);
        let least = self.known.iter().min_by_key(|(key, cause)| (weight(cause), **key));
        if let Some(least) = least.map(|(key, _)| *key) {
            self.known.remove(&least);
        }
    }
}

impl Cause {
    /// Whether routers keep telling of it.
    fn is_kept(&self) -> bool {
        self.evidence.crashes().len() >= MIN_KEPT_CRASHES
    }

    /// What is told first if not all can be: what many crashes speak for, and survivals before
    /// causes of single crashes.
    fn weight_of_news(&self) -> usize {
        match self.evidence.crashes().len() {
            0 => MIN_KEPT_CRASHES,
            crashes => crashes,
        }
    }
}
