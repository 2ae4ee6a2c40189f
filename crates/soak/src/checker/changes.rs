//! Promises about what operators and servers had acknowledged.

use super::{Broken, Promise, Seen};
use crate::history::{Caller, Changed, RunMs, Victim};

pub(super) fn check(seen: &Seen<'_>, broken: &mut Vec<Broken>) {
    newest_weights(seen, broken);
    if seen.bounds.timed {
        withdrawn_key(seen, broken);
        draining(seen, broken);
        limits(seen, broken);
        old_weights(seen, broken);
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

/// The span in which requests to a limited server are counted.
const LIMIT_WINDOW_MS: u64 = 4_000;
/// What may reach a limited server in a window, relative to its limit.
const LIMIT_RATIO: f64 = 1.5;
/// What may reach it in a window besides.
const LIMIT_SLACK: f64 = 5.0;

/// Holds from a while after a server has named its limit until it names another or none, for
/// gateways and a server that were left alone.
fn limits(seen: &Seen<'_>, broken: &mut Vec<Broken>) {
    let is_limit = |what: &Changed| matches!(what, Changed::Limited { .. });
    for change in seen.history.changes.iter().filter(|change| is_limit(&change.what)) {
        let Changed::Limited { server, per_s: Some(per_s) } = &change.what else { continue };
        let is_own = |what: &Changed| matches!(what, Changed::Limited { server: other, .. } if other == server);
        let later = seen.history.changes.iter().filter(|later| later.at_ms > change.at_ms);
        let until_ms = later.filter(|later| is_own(&later.what)).map(|later| later.at_ms).min();
        let span = change.at_ms + seen.bounds.contact_ms..until_ms.unwrap_or(RunMs::MAX);
        let arrivals = undisturbed_arrivals(seen, server, &span);
        #[expect(clippy::cast_precision_loss, reason = "there are few requests")]
        let allowed = LIMIT_RATIO * per_s * LIMIT_WINDOW_MS as f64 / 1_000.0 + LIMIT_SLACK;
        for (index, first_ms) in arrivals.iter().enumerate() {
            let window =
                arrivals[index..].iter().take_while(|ms| **ms < first_ms + LIMIT_WINDOW_MS);
            let count = window.count();
            #[expect(clippy::cast_precision_loss, reason = "there are few requests")]
            if count as f64 > allowed {
                let what =
                    format!("{server} got {count}, allowed {allowed}, naming {per_s} a second");
                broken.push(Broken::new(Promise::Limit, *first_ms, what));
                break;
            }
        }
    }
}

/// When requests reached a server within a span, in order.
fn undisturbed_arrivals(
    seen: &Seen<'_>,
    server: &str,
    span: &std::ops::Range<RunMs>,
) -> Vec<RunMs> {
    let is_disturbed = |run: &&crate::history::Run| {
        let Some(request) = seen.requests.get(run.request.as_str()) else { return true };
        let from_ms = run.at_ms.saturating_sub(seen.bounds.contact_ms);
        let gateway = request.gateway;
        let victims =
            [Victim::Server(server.to_owned()), Victim::Gateway(gateway), Victim::Leaving(gateway)];
        victims.iter().any(|victim| seen.history.disturbed(victim, from_ms, run.at_ms))
    };
    let own = seen.history.runs.iter().filter(|run| run.server == server);
    let counted = own.filter(|run| span.contains(&run.at_ms) && !is_disturbed(run));
    let mut arrivals: Vec<RunMs> = counted.map(|run| run.at_ms).collect();
    arrivals.sort_unstable();
    arrivals
}

/// Holds for gateways in touch, once a version was named for the whole bound in which the store and all
/// paths were left alone.
fn old_weights(seen: &Seen<'_>, broken: &mut Vec<Broken>) {
    let named = seen.history.changes.iter().filter_map(|change| match change.what {
        Changed::Weights(version) => Some((change.at_ms, version)),
        _ => None,
    });
    let named: Vec<(RunMs, u64)> = named.collect();
    for run in seen.history.runs.iter().filter(|run| run.by_engine && !run.continues) {
        let Some(began_ms) = run.began_ms else { continue };
        let Some(from_ms) = began_ms.checked_sub(seen.bounds.rollout_ms) else { continue };
        let newer =
            named.iter().find(|(at_ms, version)| *at_ms < from_ms && *version > run.version);
        let is_calm = !seen.history.disturbances.iter().any(|disturbance| {
            let is_felt = disturbance.from_ms <= began_ms && disturbance.until_ms >= from_ms;
            !disturbance.is_planned && is_felt
        });
        if let Some((named_ms, version)) = newer.filter(|_| is_calm) {
            let what = format!(
                "{} began at {} on version {}, {version} was named at {named_ms}",
                run.request, run.server, run.version
            );
            broken.push(Broken::new(Promise::OldWeights, began_ms, what));
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
