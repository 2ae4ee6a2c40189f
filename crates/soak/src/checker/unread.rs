//! Requests that no server has read, and whose callers were told that they may have run.

use std::collections::BTreeMap;

use super::{Broken, Promise, Seen};
use crate::history::{Changed, Outcome, Request, RunMs, Victim};

/// The status of a request whose server broke off.
const BAD_GATEWAY: u16 = 502;
/// Requests of one gateway that may be lost beyond one for each service each time that servers begin to
/// drop idle connections, as several are sent at once.
const SENT_AT_ONCE: usize = 3;
/// Services whose servers drop connections.
const SERVICES: usize = 2;
/// Servers that begin within this time of each other begin at once.
const AT_ONCE_MS: RunMs = 100;

/// Each time that servers begin to drop idle connections, the first request that meets one may be lost.
pub(super) fn check(seen: &Seen<'_>, broken: &mut Vec<Broken>) {
    let beginnings = beginnings(seen);
    let mut unread: BTreeMap<usize, Vec<&Request>> = BTreeMap::new();
    for request in seen.history.requests.iter().filter(|request| is_unread(seen, request)) {
        unread.entry(request.gateway).or_default().push(request);
    }
    for (gateway, requests) in unread {
        let allowed = |request: &Request| {
            let begun = beginnings.iter().filter(|at_ms| **at_ms <= request.ended_ms).count();
            if begun == 0 { 0 } else { SERVICES * begun + SENT_AT_ONCE }
        };
        let mut counted = requests.iter().enumerate();
        let Some((index, first)) = counted.find(|(index, request)| *index >= allowed(request))
        else {
            continue;
        };
        let what = format!(
            "{} requests of gateway {gateway} that no server has read may have run, as their callers \
             were told; {index} are allowed until {}",
            requests.len(),
            first.id,
        );
        broken.push(Broken::new(Promise::Unread, first.ended_ms, what));
    }
}

/// Whether a request got the word that it may have run, reached no server, and nothing explains that.
fn is_unread(seen: &Seen<'_>, request: &Request) -> bool {
    let from_ms = request.sent_ms.saturating_sub(seen.bounds.contact_ms);
    let explains = |victim: &Victim| match victim {
        Victim::Gateway(gateway) | Victim::Leaving(gateway) => *gateway == request.gateway,
        Victim::Server(_) => true,
        Victim::Store => false,
    };
    let is_disturbed = seen.history.disturbances.iter().any(|disturbance| {
        explains(&disturbance.victim)
            && disturbance.from_ms <= request.ended_ms
            && disturbance.until_ms >= from_ms
    });
    request.outcome == Outcome::Unknown { status: BAD_GATEWAY }
        && !seen.history.passed_on.contains(&request.id)
        && !seen.is_time_up(request)
        && !is_disturbed
}

/// When servers began to drop idle connections.
fn beginnings(seen: &Seen<'_>) -> Vec<RunMs> {
    let began = seen.history.changes.iter().filter_map(|change| match change.what {
        Changed::DropsIdle(_) => Some(change.at_ms),
        _ => None,
    });
    let mut beginnings: Vec<RunMs> = began.collect();
    beginnings.sort_unstable();
    beginnings.dedup_by(|later, earlier| *later <= *earlier + AT_ONCE_MS);
    beginnings
}
