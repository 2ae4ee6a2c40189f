//! Promises about what callers got.

use std::collections::BTreeSet;

use samphirespread_standin::published::padding;

use super::{Broken, Promise, Seen, lost};
use crate::history::{Caller, Outcome, Request, Route, Victim};

/// A connection that a leaving gateway closes may be that of a request sent this much later.
const LEAVING_MS: u64 = 10_000;

pub(super) fn check(seen: &Seen<'_>, broken: &mut Vec<Broken>) {
    for request in &seen.history.requests {
        let at_ms = request.ended_ms;
        let mut report = |promise, what: &str| {
            let what =
                format!("{} ({:?}): {what}: {:?}", request.id, request.route, request.outcome);
            broken.push(Broken::new(promise, at_ms, what));
        };
        match &request.outcome {
            Outcome::Whole { body } if *body != whole(request) => {
                let promise =
                    if request.route.is_stream() { Promise::Order } else { Promise::OwnAnswer };
                report(promise, "another body");
            }
            Outcome::Cut { body } => {
                if !whole(request).starts_with(body.as_str()) {
                    report(Promise::Order, "another beginning");
                } else if !may_be_cut(seen, request) {
                    report(Promise::Answered, "cut, and nothing was disturbed");
                }
            }
            Outcome::NotRun { status, has_retry_after } => {
                if !seen.runs_of(request).is_empty() {
                    report(Promise::TrulyNotRun, "it ran");
                }
                // 408 follows from the caller's own slowness.
                if !has_retry_after && *status != 408 {
                    report(Promise::RetryAfter, "no time to come back");
                }
            }
            Outcome::Denied { .. }
                if matches!(request.caller, Caller::Steady | Caller::Limited) =>
            {
                report(Promise::NotDenied, "the key and the route hold");
            }
            Outcome::NoAnswer if !may_be_unanswered(seen, request) => {
                report(Promise::Answered, "no answer, and nothing was disturbed");
            }
            Outcome::Silent if !gateway_disturbed(seen, request) => {
                report(Promise::Answered, "nothing came, and nothing was disturbed");
            }
            _ => {}
        }
        if seen.bounds.timed && is_late(seen, request) {
            report(Promise::Answered, "late, and nothing was disturbed");
        }
    }
    recovery(seen, broken);
    taken_up(seen, broken);
}

/// So many streams have to be taken up before their share is judged.
const JUDGED_STREAMS: usize = 12;

/// At gateways that are in touch, the share of streams that go on when they are taken up is at least
/// half of the share of new ones that begin.
fn taken_up(seen: &Seen<'_>, broken: &mut Vec<Broken>) {
    let is_served = |request: &&&Request| {
        matches!(request.outcome, Outcome::Whole { .. } | Outcome::Cut { .. })
    };
    let judged = seen.history.requests.iter().filter(|request| is_judged(seen, request));
    let (taken_up, new): (Vec<&Request>, Vec<&Request>) =
        judged.partition(|request| request.takes_up.is_some());
    let goes_on = taken_up.iter().filter(is_served).count();
    let begins = new.iter().filter(is_served).count();
    if taken_up.len() >= JUDGED_STREAMS && 2 * goes_on * new.len() < begins * taken_up.len() {
        let what = format!(
            "{goes_on} of {} streams went on, {begins} of {} began",
            taken_up.len(),
            new.len()
        );
        broken.push(Broken::new(Promise::TakenUp, taken_up[0].sent_ms, what));
    }
}

/// Whether a stream may be taken up, and its gateway, the store and all engines that ran it were left
/// alone for long enough.
fn is_judged(seen: &Seen<'_>, request: &Request) -> bool {
    let from_ms = request.sent_ms.saturating_sub(seen.bounds.contact_ms);
    let gateway = request.gateway;
    let victims = [Victim::Store, Victim::Gateway(gateway), Victim::Leaving(gateway)];
    let is_calm = |victim: &Victim| !seen.history.disturbed(victim, from_ms, request.ended_ms);
    request.route == Route::Resumable
        && request.caller == Caller::Steady
        && victims.iter().all(is_calm)
}

/// The body of a whole answer.
fn whole(request: &Request) -> String {
    let id = &request.id;
    if !request.route.is_stream() {
        return format!("answered {id}");
    }
    let padding = padding(request.padding_bytes);
    let event = |number| format!("id: {number}\ndata: {id} {number}{padding}\n\n");
    let before = request.takes_up.as_ref().map_or(0, |taken_up| taken_up.after);
    (before + 1..=request.events).map(event).collect()
}

fn gateway_disturbed(seen: &Seen<'_>, request: &Request) -> bool {
    let victim = Victim::Gateway(request.gateway);
    seen.history.disturbed(&victim, request.sent_ms, request.ended_ms)
}

fn may_be_cut(seen: &Seen<'_>, request: &Request) -> bool {
    let servers = seen.runs_of(request).iter().map(|run| Victim::Server(run.server.clone()));
    let mut disturbed =
        servers.map(|victim| seen.history.disturbed(&victim, request.sent_ms, request.ended_ms));
    gateway_disturbed(seen, request)
        || seen.is_time_up(request)
        || lost::ends_late_in_any_grace(seen, request)
        || disturbed.any(|is_disturbed| is_disturbed)
}

/// A request that crosses the close of a kept connection has no answer and has not run.
fn may_be_unanswered(seen: &Seen<'_>, request: &Request) -> bool {
    let from_ms = request.sent_ms.saturating_sub(LEAVING_MS);
    let leaving = Victim::Leaving(request.gateway);
    let crosses = seen.history.disturbed(&leaving, from_ms, request.ended_ms);
    gateway_disturbed(seen, request)
        || lost::ends_late_in_any_grace(seen, request)
        || (crosses && seen.runs_of(request).is_empty())
}

fn is_late(seen: &Seen<'_>, request: &Request) -> bool {
    let took_ms = request.ended_ms.saturating_sub(request.sent_ms);
    took_ms > seen.bounds.deadline_of(request.route) + seen.bounds.answer_slack_ms
        && !gateway_disturbed(seen, request)
}

/// Once all is calm, each route serves, and all engines get the newest weights.
fn recovery(seen: &Seen<'_>, broken: &mut Vec<Broken>) {
    let calm_ms = seen.history.calm_from_ms + seen.bounds.contact_ms;
    let calm = seen
        .history
        .requests
        .iter()
        .filter(|request| request.caller == Caller::Steady && request.sent_ms >= calm_ms);
    let served: BTreeSet<Route> = calm
        .filter(|request| matches!(request.outcome, Outcome::Whole { .. }))
        .map(|request| request.route)
        .collect();
    for route in Route::ALL.iter().filter(|route| !served.contains(route)) {
        let what = format!("{route:?}: nothing was served after {calm_ms} ms");
        broken.push(Broken::new(Promise::Recovery, calm_ms, what));
    }
}
