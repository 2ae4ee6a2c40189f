//! Refusals by admission control, in runs whose gateways use it.

use std::collections::BTreeSet;

use super::{Broken, Promise, Seen};
use crate::history::{Caller, Outcome, Request, RunMs};

/// Refusals have to end within this time after the last fault.
const RECOVERY_MS: u64 = 2_000;
/// A team within its share may be refused altogether for this long.
const STARVATION_MS: u64 = 1_000;

/// Only refusals that no disturbance of a process, a path or the store may explain are judged, as a 503 can
/// have other causes as well.
pub(super) fn check(seen: &Seen<'_>, broken: &mut Vec<Broken>) {
    if !seen.history.uses_admission || !seen.bounds.timed {
        return;
    }
    let streams = seen.history.requests.iter().filter(|request| request.route.is_stream());
    let mut streams: Vec<&Request> = streams.collect();
    streams.sort_by_key(|request| request.sent_ms);
    let end_ms = seen.history.calm_from_ms + RECOVERY_MS;
    let late = streams.iter().find(|request| {
        request.sent_ms >= end_ms && is_refused(request) && is_calm(seen, end_ms, request.ended_ms)
    });
    if let Some(request) = late {
        let what = format!("{} was refused after {end_ms} ms", request.id);
        broken.push(Broken::new(Promise::OverloadEnds, request.ended_ms, what));
    }
    for team in [Caller::Steady, Caller::Limited, Caller::Changing] {
        starvation(seen, team, &streams, broken);
    }
}

/// Looks for spans in which all requests of a team were refused though it asked for no more than its share
/// of what was served. All streams have as many tokens.
fn starvation(seen: &Seen<'_>, team: Caller, streams: &[&Request], broken: &mut Vec<Broken>) {
    let own: Vec<&Request> =
        streams.iter().copied().filter(|request| request.caller == team).collect();
    for refused in own.split(|request| !is_refused(request)) {
        let (Some(first), Some(last)) = (refused.first(), refused.last()) else { continue };
        // When they were refused: a body may have come long after the head of its request.
        let (from_ms, until_ms) = (first.ended_ms, last.ended_ms);
        if until_ms <= from_ms + STARVATION_MS || !is_calm(seen, from_ms, until_ms) {
            continue;
        }
        let others = streams.iter().filter(|request| {
            request.caller != team && (from_ms..=until_ms).contains(&request.sent_ms)
        });
        let teams: BTreeSet<&str> = others.clone().map(|request| request.caller.team()).collect();
        let served =
            others.filter(|request| matches!(request.outcome, Outcome::Whole { .. })).count();
        if refused.len() * (teams.len() + 1) <= served {
            let what = format!(
                "all {} requests of {} were refused in {} ms while {served} of others were served",
                refused.len(),
                team.team(),
                until_ms - from_ms
            );
            broken.push(Broken::new(Promise::Starved, from_ms, what));
        }
    }
}

fn is_refused(request: &Request) -> bool {
    matches!(request.outcome, Outcome::NotRun { status: 503, .. })
}

fn is_calm(seen: &Seen<'_>, from_ms: RunMs, until_ms: RunMs) -> bool {
    let mut disturbances = seen.history.disturbances.iter();
    !disturbances.any(|it| it.from_ms <= until_ms && it.until_ms >= from_ms)
}
