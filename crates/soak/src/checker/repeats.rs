//! The budget of repeats, over all gateways.

use std::collections::{BTreeMap, BTreeSet};

use super::{Broken, Promise, Seen};
use crate::history::{Arrival, RunMs};

/// Counts, for each service, the arrivals beyond the first of each request in every window that begins
/// with one. Nothing excuses a gateway from the budget.
pub(super) fn check(seen: &Seen<'_>, broken: &mut Vec<Broken>) {
    let mut by_service: BTreeMap<&str, Vec<&Arrival>> = BTreeMap::new();
    for arrival in &seen.history.arrivals {
        by_service.entry(arrival.service).or_default().push(arrival);
    }
    for (service, mut arrivals) in by_service {
        arrivals.sort_by_key(|arrival| arrival.at_ms);
        let requests = requests_for(seen, &arrivals);
        let repeats = repeats(&arrivals);
        for (index, first_ms) in repeats.iter().enumerate() {
            let end_ms = first_ms + seen.bounds.retry_window_ms;
            let count = repeats[index..].iter().take_while(|at_ms| **at_ms < end_ms).count();
            let most = allowed(seen, &requests, *first_ms);
            #[expect(clippy::cast_precision_loss, reason = "counts of seconds are small")]
            if count as f64 > most {
                let what = format!("{service} got {count} repeats in a window, allowed {most}");
                broken.push(Broken::new(Promise::Repeats, *first_ms, what));
                break;
            }
        }
    }
}

/// When arrivals came whose requests had reached the service before, in order.
fn repeats(arrivals: &[&Arrival]) -> Vec<RunMs> {
    let mut known = BTreeSet::new();
    let mut repeats = Vec::new();
    for arrival in arrivals {
        if !known.insert(arrival.request.as_str()) {
            repeats.push(arrival.at_ms);
        }
    }
    repeats
}

/// When requests were sent whose routes lead to a service, in order: those of the routes of which a
/// request reached it.
fn requests_for(seen: &Seen<'_>, arrivals: &[&Arrival]) -> Vec<RunMs> {
    let requests = arrivals.iter().filter_map(|it| seen.requests.get(it.request.as_str()));
    let routes: BTreeSet<_> = requests.map(|request| request.route).collect();
    let led = seen.history.requests.iter().filter(|request| routes.contains(&request.route));
    let mut sent: Vec<RunMs> = led.map(|request| request.sent_ms).collect();
    sent.sort_unstable();
    sent
}

/// The repeats that are allowed in the window that begins at a time. The requests of that window count,
/// of the one before it, or of the one half a window before it, whichever are most.
fn allowed(seen: &Seen<'_>, requests: &[RunMs], from_ms: RunMs) -> f64 {
    let window_ms = seen.bounds.retry_window_ms;
    let count = |back_ms: RunMs| {
        let is_before = |limit_ms: RunMs| requests.partition_point(|sent_ms| *sent_ms < limit_ms);
        let end_ms = (from_ms + window_ms).saturating_sub(back_ms);
        is_before(end_ms) - is_before(from_ms.saturating_sub(back_ms))
    };
    let most = [0, window_ms / 2, window_ms].into_iter().map(count).max().unwrap_or_default();
    #[expect(clippy::cast_precision_loss, reason = "counts of seconds are small")]
    let (most, slack) = (most as f64, seen.bounds.retry_slack as f64);
    seen.bounds.retry_ratio * most + slack
}
