//! When requests with a possible cause of crashes are refused, and when one is sent on trial.

use samphirespread_core::prelude::*;

use super::{CauseKey, evidence::Evidence};

/// Crashes in a row, at as many hosts if the service has them, from which requests with the cause
/// are refused. One faulty host is one host, however often its server crashes.
pub(super) const BLOCKING_CRASHES: usize = 3;
/// Crashes in a row from which they are refused if fewer hosts were left to send them to.
const BLOCKING_CRASHES_AT_FEW_HOSTS: usize = 5;
/// The hosts at which those were, if the service has them. One faulty host has nothing refused.
const FEW_HOSTS: usize = 2;
/// Requests are refused no earlier than this after the first of the crashes, if those came at once.
/// When many servers are killed, word of a run that survives elsewhere has come by then.
const SETTLE_MS: u64 = 400;
/// Crashes that are spread over this time were not one kill of many servers.
const SPREAD_MS: u64 = 150;
/// How long after the last crash or trial a request is sent on trial, by the number of crashes.
/// Beyond these crashes none is sent any more.
///
/// The first trials come early, as a wrong verdict turns sound requests away. There are no more than
/// three for as long as such requests come.
const TRIAL_DELAYS_MS: [u64; 3] = [2_000, 10_000, 600_000];
/// For this long, one router may send a request on trial; then it is another router's turn.
const TURN_MS: u64 = 1_000;
/// At the beginning and the end of a turn no request is sent on trial, as routers know the time of
/// the last crash only so exactly.
const TURN_MARGIN_MS: u64 = 200;
/// The shortest and the longest time after which a refused caller is told to return.
const RETRY_AFTER_MS: std::ops::RangeInclusive<u64> = 1_000..=60_000;

/// Whether a request may be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Nothing speaks against it.
    Allowed,
    /// The request would probably crash its server, but this one is to show whether it still does.
    Trial,
    /// The request would probably crash its server.
    Refused {
        /// When another request may be sent on trial, within bounds.
        retry_after_ms: u64,
    },
}

impl Verdict {
    /// Combines the verdicts on two causes in one request.
    pub(super) fn and(self, other: Self) -> Self {
        match (self, other) {
            (Self::Refused { retry_after_ms: a }, Self::Refused { retry_after_ms: b }) => {
                Self::Refused { retry_after_ms: a.max(b) }
            }
            (refused @ Self::Refused { .. }, _) | (_, refused @ Self::Refused { .. }) => refused,
            (Self::Trial, _) | (_, Self::Trial) => Self::Trial,
            (Self::Allowed, Self::Allowed) => Self::Allowed,
        }
    }
}

impl Evidence {
    /// Whether requests with the cause are refused at a service with that many hosts.
    pub(super) fn is_blocking(&self, service_hosts: usize, now: MonoTime) -> bool {
        let (Some(first), Some(last)) = (self.first_crash(), self.last_crash()) else {
            return false;
        };
        let has_settled = now.ms_since(first) >= SETTLE_MS || last.ms_since(first) >= SPREAD_MS;
        let (crashes, hosts) = (self.crashes().len(), self.hosts());
        let has = |min_crashes: usize, min_hosts: usize| {
            crashes >= min_crashes && hosts >= min_hosts.min(service_hosts)
        };
        has_settled
            && (has(BLOCKING_CRASHES, BLOCKING_CRASHES)
                || has(BLOCKING_CRASHES_AT_FEW_HOSTS, FEW_HOSTS))
    }

    /// The time from which a request may be sent on trial.
    fn trial_due(&self) -> Option<MonoTime> {
        let level = self.crashes().len().checked_sub(BLOCKING_CRASHES)?;
        let delay_ms = TRIAL_DELAYS_MS.get(level)?;
        let last = self.last_crash().max(self.tried)?;
        Some(last.plus_ms(*delay_ms))
    }

    /// The verdict on a request with this cause, which is blocking. `routers` are all that may take
    /// turns, without `own`.
    pub(super) fn verdict(
        &self,
        key: CauseKey,
        own: Option<&InstanceName>,
        routers: &[InstanceName],
        now: MonoTime,
    ) -> Verdict {
        let Some(due) = self.trial_due() else {
            return Verdict::Refused { retry_after_ms: *RETRY_AFTER_MS.end() };
        };
        if now >= due && own.is_some_and(|own| has_turn(key, now.ms_since(due), own, routers)) {
            return Verdict::Trial;
        }
        let wait_ms = due.ms_since(now);
        let retry_after_ms = wait_ms.clamp(*RETRY_AFTER_MS.start(), *RETRY_AFTER_MS.end());
        Verdict::Refused { retry_after_ms }
    }
}

/// Whether this router may send a request on trial that long after a trial is due. Routers take
/// turns in an order that all of them compute alike.
fn has_turn(key: CauseKey, late_ms: u64, own: &InstanceName, others: &[InstanceName]) -> bool {
    let within_turn_ms = late_ms % TURN_MS;
    if !(TURN_MARGIN_MS..TURN_MS - TURN_MARGIN_MS).contains(&within_turn_ms) {
        return false;
    }
    let mut subject = key.as_bytes().to_vec();
    subject.extend((late_ms / TURN_MS).to_le_bytes());
    rank(&subject, own, others) == 0
}

/// The number of other routers that come before this one in an order that depends on the subject.
pub(super) fn rank(subject: &[u8], own: &InstanceName, others: &[InstanceName]) -> usize {
    let score = |name: &InstanceName| (rendezvous::score(subject, name.as_str()), name.clone());
    let own_score = score(own);
    others.iter().filter(|other| score(other) > own_score).count()
}
