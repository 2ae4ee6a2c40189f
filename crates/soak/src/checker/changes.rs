//! Promises about what operators and servers had acknowledged.

use super::{Broken, Promise, Seen};
use crate::history::{Caller, Changed, RunMs, Victim};

pub(super) fn check(seen: &Seen<'_>, broken: &mut Vec<Broken>) {
    newest_weights(seen, broken);
    if seen.bounds.timed {
        withdrawn_key(seen, broken);
        draining(seen, broken);
    }
}

/// The state of something that changes between two, as it is at a moment, and since when.
fn state_at<'a>(
    seen: &Seen<'a>,
    at_ms: RunMs,
    matches: impl Fn(&Changed) -> bool,
) -> Option<(&'a Changed, RunMs)> {
    let earlier = seen.history.changes.iter().filter(|change| change.at_ms <= at_ms);
    let last = earlier.filter(|change| matches(&change.what)).max_by_key(|change| change.at_ms)?;
    Some((&last.what, last.at_ms))
}

fn withdrawn_key(seen: &Seen<'_>, broken: &mut Vec<Broken>) {
    let is_key = |what: &Changed| matches!(what, Changed::KeyWithdrawn | Changed::KeyGiven);
    for request in &seen.history.requests {
        if request.caller != Caller::Changing || seen.runs_of(request).is_empty() {
            continue;
        }
        let Some((Changed::KeyWithdrawn, since_ms)) = state_at(seen, request.sent_ms, is_key)
        else {
            continue;
        };
        if request.sent_ms > since_ms + seen.bounds.key_withdrawal_ms {
            let what = format!("{} ran, withdrawn at {since_ms}", request.id);
            broken.push(Broken::new(Promise::WithdrawnKey, request.sent_ms, what));
        }
    }
}

/// Holds for gateways and a store that were left alone long enough.
fn draining(seen: &Seen<'_>, broken: &mut Vec<Broken>) {
    for run in &seen.history.runs {
        let is_own = |what: &Changed| match what {
            Changed::Draining(server) | Changed::Ready(server) => *server == run.server,
            _ => false,
        };
        let Some((Changed::Draining(_), since_ms)) = state_at(seen, run.at_ms, is_own) else {
            continue;
        };
        let Some(request) = seen.requests.get(run.request.as_str()) else { continue };
        let from_ms = since_ms.saturating_sub(seen.bounds.contact_ms);
        let victims = [Victim::Store, Victim::Gateway(request.gateway)];
        let is_excused =
            victims.iter().any(|victim| seen.history.disturbed(victim, from_ms, run.at_ms));
        if run.at_ms > since_ms + seen.bounds.server_drain_ms && !is_excused {
            let what = format!("{} reached {}, draining since {since_ms}", run.request, run.server);
            broken.push(Broken::new(Promise::Drain, run.at_ms, what));
        }
    }
}

fn newest_weights(seen: &Seen<'_>, broken: &mut Vec<Broken>) {
    let named = seen.history.changes.iter().filter_map(|change| match change.what {
        Changed::Weights(version) => Some(version),
        _ => None,
    });
    let Some(newest) = named.max() else { return };
    for (engine, version) in &seen.history.versions_at_end {
        if *version != newest {
            let what = format!("{engine} ends with version {version}, not {newest}");
            broken.push(Broken::new(Promise::Recovery, seen.history.calm_from_ms, what));
        }
    }
}
