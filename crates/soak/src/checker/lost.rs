//! Accepted requests that end without an answer around planned work, and on kept connections.

use std::collections::BTreeMap;

use super::{Broken, Promise, Seen};
use crate::history::{Outcome, Request, RunEnd, RunMs, Victim, Work};

/// Planned work has an effect until this long after its bound.
const AFTER_WORK_MS: u64 = 1_000;
/// A leaving gateway still gets requests for this long.
const SENT_AFTER_STOP_MS: u64 = 3_000;
/// Beside a configuration, losses count if they are over this many times as frequent as without.
const MORE_OFTEN: usize = 3;
/// Answers that a gateway in touch may lose on kept connections.
const MOST_ON_KEPT: usize = 3;

pub(super) fn check(seen: &Seen<'_>, broken: &mut Vec<Broken>) {
    around_planned_work(seen, broken);
    on_kept_connections(seen, broken);
}

fn around_planned_work(seen: &Seen<'_>, broken: &mut Vec<Broken>) {
    let frequent = gateways_that_lose_beside_configurations(seen);
    let losses = seen.history.requests.iter().filter(|request| is_loss(seen, request));
    for request in losses.filter(|request| !is_disturbed(seen, request)) {
        let is_bound = |work: &&Work| match **work {
            Work::Stop { gateway, at_ms, grace_ms } => {
                gateway == request.gateway
                    && (at_ms..=at_ms + grace_ms + AFTER_WORK_MS).contains(&request.ended_ms)
            }
            Work::HangUp { gateway, at_ms } => {
                gateway == request.gateway
                    && request.sent_ms <= at_ms + seen.bounds.config_apply_ms
                    && request.ended_ms >= at_ms
            }
            Work::Configuration { .. } => {
                is_beside(seen, work, request)
                    && frequent.contains(&request.gateway)
                    && !has_used_most_of_its_time(seen, request)
            }
        };
        if ends_late_in_any_grace(seen, request) {
            continue;
        }
        let bound = seen.history.planned.iter().filter(is_bound);
        let by_likelihood = |work: &&Work| match **work {
            Work::Stop { .. } => 0,
            Work::HangUp { .. } => 1,
            Work::Configuration { .. } => 2,
        };
        if let Some(work) = bound.min_by_key(by_likelihood) {
            let what = format!(
                "{} ({:?}) at gateway {}, sent at {} ms, beside {work:?}: {:?}, runs: {:?}",
                request.id,
                request.route,
                request.gateway,
                request.sent_ms,
                request.outcome,
                seen.runs_of(request)
                    .iter()
                    .map(|run| (run.server.as_str(), run.at_ms, run.ended))
                    .collect::<Vec<_>>(),
            );
            broken.push(Broken::new(Promise::Lost, request.ended_ms, what));
        }
    }
}

/// Whether a request was read whole and its connection ended without a complete answer, through no
/// fault of the server and before its time was up.
fn is_loss(seen: &Seen<'_>, request: &Request) -> bool {
    if !matches!(request.outcome, Outcome::Cut { .. } | Outcome::NoAnswer) {
        return false;
    }
    let Some(whole_sent_ms) = request.whole_sent_ms else { return false };
    let is_passed_on = seen.history.passed_on.contains(&request.id);
    let is_read = request.ended_ms > whole_sent_ms + seen.bounds.loss_slack_ms;
    (is_passed_on || (seen.bounds.timed && is_read))
        && !server_broke_off(seen, request)
        && !seen.is_time_up(request)
}

/// Whether the server itself ended the last run. One that a gateway had ordered to stop did not.
fn server_broke_off(seen: &Seen<'_>, request: &Request) -> bool {
    let last = seen.runs_of(request).iter().max_by_key(|run| run.at_ms);
    let end = last.and_then(|run| run.ended).map(|(_, end)| end);
    matches!(end, Some(RunEnd::BrokeOff))
}

/// Whether something unplanned was disturbed at the time of a request or shortly before.
fn is_disturbed(seen: &Seen<'_>, request: &Request) -> bool {
    let from_ms = request.sent_ms.saturating_sub(seen.bounds.contact_ms);
    let unplanned = seen.history.disturbances.iter().filter(|disturbance| !disturbance.is_planned);
    let mut spans = unplanned.map(|disturbance| (disturbance.from_ms, disturbance.until_ms));
    spans.any(|(begin_ms, end_ms)| begin_ms <= request.ended_ms && end_ms >= from_ms)
}

/// Whether the end of a grace period explains that a request had no whole answer.
pub(super) fn ends_late_in_any_grace(seen: &Seen<'_>, request: &Request) -> bool {
    seen.history.planned.iter().any(|work| ends_late_in_grace(seen, work, request))
}

/// Whether a server was still at work in the last sixth of a grace period on a request that came
/// early enough.
fn ends_late_in_grace(seen: &Seen<'_>, work: &Work, request: &Request) -> bool {
    let Work::Stop { gateway, at_ms, grace_ms } = *work else { return false };
    let last_sixth_ms = at_ms + grace_ms * 5 / 6;
    let is_at_work =
        |from_ms: RunMs, ended_ms: RunMs| from_ms <= at_ms + grace_ms && ended_ms >= last_sixth_ms;
    gateway == request.gateway
        && (at_ms..=at_ms + grace_ms + AFTER_WORK_MS).contains(&request.ended_ms)
        && request.sent_ms <= at_ms + SENT_AFTER_STOP_MS
        && seen
            .runs_of(request)
            .iter()
            .any(|run| is_at_work(run.at_ms, run.ended.map_or(RunMs::MAX, |(end_ms, _)| end_ms)))
}

fn is_beside(seen: &Seen<'_>, work: &Work, request: &Request) -> bool {
    let Work::Configuration { sent_ms, confirmed_ms } = *work else { return false };
    let until_ms = confirmed_ms + seen.bounds.config_apply_ms + AFTER_WORK_MS;
    (sent_ms..=until_ms).contains(&request.ended_ms)
}

fn has_used_most_of_its_time(seen: &Seen<'_>, request: &Request) -> bool {
    10 * (request.ended_ms - request.sent_ms) >= 7 * seen.limit_ms(request)
}

/// The gateways that lose requests over three times as often beside configurations as otherwise.
fn gateways_that_lose_beside_configurations(seen: &Seen<'_>) -> Vec<usize> {
    /// Requests and losses, beside configurations and otherwise.
    #[derive(Default)]
    struct Counts {
        beside: (usize, usize),
        otherwise: (usize, usize),
    }
    let mut counts: BTreeMap<usize, Counts> = BTreeMap::new();
    for request in &seen.history.requests {
        let counts = counts.entry(request.gateway).or_default();
        let is_beside = seen.history.planned.iter().any(|work| is_beside(seen, work, request));
        let (requests, losses) = if is_beside { &mut counts.beside } else { &mut counts.otherwise };
        *requests += 1;
        *losses += usize::from(is_loss(seen, request));
    }
    let loses_more = |counts: &Counts| {
        let ((requests, losses), (others, other_losses)) = (counts.beside, counts.otherwise);
        losses * others.max(1) > MORE_OFTEN * other_losses * requests
    };
    counts
        .into_iter()
        .filter(|(_, counts)| loses_more(counts))
        .map(|(gateway, _)| gateway)
        .collect()
}

/// Holds at any time for gateways in touch and sound servers.
fn on_kept_connections(seen: &Seen<'_>, broken: &mut Vec<Broken>) {
    let mut lost: BTreeMap<usize, Vec<&Request>> = BTreeMap::new();
    for request in &seen.history.requests {
        let is_kept = request.is_kept && request.outcome == Outcome::NoAnswer;
        if is_kept && is_passed_on_to_sound_server(seen, request) && is_in_touch(seen, request) {
            lost.entry(request.gateway).or_default().push(request);
        }
    }
    for (gateway, requests) in lost.iter().filter(|(_, requests)| requests.len() > MOST_ON_KEPT) {
        let ids: Vec<&str> = requests.iter().map(|request| request.id.as_str()).collect();
        let what = format!("gateway {gateway} closed kept connections without an answer: {ids:?}");
        broken.push(Broken::new(Promise::Lost, requests[MOST_ON_KEPT].ended_ms, what));
    }
}

fn is_passed_on_to_sound_server(seen: &Seen<'_>, request: &Request) -> bool {
    let from_ms = request.sent_ms.saturating_sub(seen.bounds.contact_ms);
    let runs = seen.runs_of(request);
    let is_sound = |server: &str| {
        let victim = Victim::Server(server.to_owned());
        !seen.history.disturbed(&victim, from_ms, request.ended_ms)
    };
    !runs.is_empty()
        && runs.iter().all(|run| is_sound(&run.server))
        && !server_broke_off(seen, request)
        && !seen.is_time_up(request)
}

fn is_in_touch(seen: &Seen<'_>, request: &Request) -> bool {
    let from_ms = request.sent_ms.saturating_sub(seen.bounds.contact_ms);
    let store_from_ms = from_ms.saturating_sub(seen.bounds.contact_ms);
    let victims = [Victim::Gateway(request.gateway), Victim::Leaving(request.gateway)];
    let mut disturbed =
        victims.iter().map(|victim| seen.history.disturbed(victim, from_ms, request.ended_ms));
    !disturbed.any(|is_disturbed| is_disturbed)
        && !seen.history.disturbed(&Victim::Store, store_from_ms, request.ended_ms)
}
