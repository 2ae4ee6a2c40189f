//! Promises about what ran.

use std::collections::{BTreeMap, VecDeque};

use super::{Broken, Promise, Seen};
use crate::history::{Caller, Order, Run, RunMs};

/// What cache entries with one salt may be shared by.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Wall {
    version: u64,
    dedicated_team: Option<String>,
}

pub(super) fn check(seen: &Seen<'_>, broken: &mut Vec<Broken>) {
    for request in &seen.history.requests {
        let runs = seen.runs_of(request);
        let most = if request.route.is_idempotent() { request.route.max_runs() } else { 1 };
        let began: Vec<_> = runs.iter().filter(|run| !run.continues).collect();
        if let Some(run) = began.get(most) {
            let what =
                format!("{} ran {} times, the last at {}", request.id, began.len(), run.server);
            broken.push(Broken::new(Promise::AtMostOnce, run.at_ms, what));
        }
        for run in runs {
            if run.by_engine != request.route.is_stream() {
                let what = format!("{} ({:?}) ran at {}", request.id, request.route, run.server);
                broken.push(Broken::new(Promise::Route, run.at_ms, what));
            }
            if request.caller == Caller::Unknown {
                let what = format!("{} ran at {}", request.id, run.server);
                broken.push(Broken::new(Promise::UnknownKey, run.at_ms, what));
            } else if run.team != request.caller.team() || !run.is_untouched {
                let what = format!(
                    "{} of {} ran for {}, untouched: {}",
                    request.id,
                    request.caller.team(),
                    run.team,
                    run.is_untouched
                );
                broken.push(Broken::new(Promise::Team, run.at_ms, what));
            }
        }
    }
    foreign_runs(seen, broken);
    versions(seen, broken);
    cache(&seen.history.runs, broken);
    orders(&seen.history.orders, broken);
    quota(seen, broken);
}

fn foreign_runs(seen: &Seen<'_>, broken: &mut Vec<Broken>) {
    for run in &seen.history.runs {
        if !seen.requests.contains_key(run.request.as_str()) {
            let what = format!("{} ran at {} and nobody sent it", run.request, run.server);
            broken.push(Broken::new(Promise::Team, run.at_ms, what));
        }
    }
}

/// A stream goes on only at the version of the servers' software that began it, over all requests
/// that take it up.
fn versions(seen: &Seen<'_>, broken: &mut Vec<Broken>) {
    let mut streams: BTreeMap<&str, Vec<&Run>> = BTreeMap::new();
    for request in seen.history.requests.iter().filter(|request| request.route.is_stream()) {
        streams.entry(request.first_id()).or_default().extend(seen.runs_of(request));
    }
    for (id, mut runs) in streams {
        runs.sort_by_key(|run| run.at_ms);
        // Before its first event a stream may begin anew anywhere.
        let Some(first_on) = runs.iter().position(|run| run.after_event > 0) else { continue };
        let Some(began) = runs[..first_on].last() else { continue };
        for run in runs[first_on..].iter().filter(|run| run.software != began.software) {
            let what = format!(
                "{id} began at {} ({}) and goes on at {} ({})",
                began.server, began.software, run.server, run.software
            );
            broken.push(Broken::new(Promise::Version, run.at_ms, what));
        }
    }
}

fn cache(runs: &[Run], broken: &mut Vec<Broken>) {
    let mut walls: BTreeMap<&str, Wall> = BTreeMap::new();
    for run in runs.iter().filter(|run| run.by_engine) {
        let is_dedicated = run.team == Caller::Changing.team();
        let wall =
            Wall { version: run.version, dedicated_team: is_dedicated.then(|| run.team.clone()) };
        let known = walls.entry(&run.salt).or_insert_with(|| wall.clone());
        if *known != wall {
            let what = format!("{}: salt {} of {known:?} and {wall:?}", run.request, run.salt);
            broken.push(Broken::new(Promise::Cache, run.at_ms, what));
        }
    }
}

fn orders(orders: &[Order], broken: &mut Vec<Broken>) {
    let mut known: BTreeMap<&str, (&str, u64)> = BTreeMap::new();
    for order in orders {
        let (holder, version) =
            known.entry(&order.engine).or_insert((order.holder.as_str(), order.version));
        let is_older = order.accepted && order.version < *version;
        if order.holder != *holder || is_older {
            let what = format!(
                "{}: {} orders version {} after {holder} ordered {version}",
                order.engine, order.holder, order.version
            );
            broken.push(Broken::new(Promise::OneOrderer, 0, what));
        }
        *version = order.version.max(*version);
    }
}

/// Counts the limited team's tokens in every window that begins with one of its runs.
fn quota(seen: &Seen<'_>, broken: &mut Vec<Broken>) {
    let bounds = seen.bounds;
    #[expect(clippy::cast_precision_loss, reason = "windows are short")]
    let window_s = bounds.quota_window_ms as f64 / 1_000.0;
    let most = (bounds.rate_per_s * window_s + bounds.burst) * 1.1 + bounds.quota_slack;
    let mut first_runs: BTreeMap<&str, (RunMs, f64)> = BTreeMap::new();
    for run in seen.history.runs.iter().filter(|run| run.team == Caller::Limited.team()) {
        let tokens =
            if run.by_engine { f64::from(bounds.stream_tokens) } else { bounds.plain_tokens };
        let first = first_runs.entry(&run.request).or_insert((run.at_ms, tokens));
        first.0 = first.0.min(run.at_ms);
    }
    let mut spent: Vec<(RunMs, f64)> = first_runs.into_values().collect();
    spent.sort_by_key(|(at_ms, _)| *at_ms);
    let mut window: VecDeque<(RunMs, f64)> = VecDeque::new();
    let mut sum = 0.0;
    for (at_ms, tokens) in spent {
        window.push_back((at_ms, tokens));
        sum += tokens;
        while let Some((first_ms, tokens)) = window.front().copied()
            && first_ms + bounds.quota_window_ms < at_ms
        {
            sum -= tokens;
            window.pop_front();
        }
        if sum > most {
            let what = format!("{sum} tokens within {window_s} s, at most {most}");
            broken.push(Broken::new(Promise::Quota, at_ms, what));
            return;
        }
    }
}
