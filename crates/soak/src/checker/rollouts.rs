//! Promises about services that move to new versions of their software.

use super::{Broken, Promise, Seen};
use crate::history::{RolloutState, Route, Run, RunMs, ServiceRollout, VersionFault, Victim};

/// With this many bad answers, a bad version is to be withdrawn.
const BAD_ANSWERS: usize = 50;

pub(super) fn check(seen: &Seen<'_>, broken: &mut Vec<Broken>) {
    for rollout in &seen.history.rollouts {
        if rollout.fault.is_some() {
            exposure(seen, rollout, broken);
            if seen.bounds.timed {
                withdrawal(seen, rollout, broken);
            }
        }
        verdict(seen, rollout, broken);
        release(seen, rollout, broken);
    }
}

/// Counts what a bad version got from gateways in touch until the order's time was over.
fn exposure(seen: &Seen<'_>, rollout: &ServiceRollout, broken: &mut Vec<Broken>) {
    let span = rollout.ordered_ms..rollout.deadline_ms;
    let counted = seen.history.runs.iter().filter(|run| span.contains(&run.at_ms));
    let (mut exposed, mut all) = (0_u64, 0_u64);
    for run in counted {
        let is_new = rollout.new.contains(&run.server);
        all += u64::from(is_new || rollout.baseline.contains(&run.server));
        exposed += u64::from(is_new && is_from_undisturbed_gateway(seen, run));
    }
    #[expect(clippy::cast_precision_loss, reason = "there are few requests")]
    let most = seen.bounds.exposure_share * all as f64 + seen.bounds.exposure_slack as f64;
    #[expect(clippy::cast_precision_loss, reason = "there are few requests")]
    if exposed as f64 > most {
        let what = format!("{exposed} of {all} requests went to the bad version, allowed {most}");
        broken.push(Broken::new(Promise::Exposure, rollout.ordered_ms, what));
    }
}

/// A bad version gets nothing that is sent too long after enough of its bad answers. What routers have
/// counted may be lost with their processes, and their verdict may be unknown to others while the store
/// is away, so only answers after the last such disturbance count.
fn withdrawal(seen: &Seen<'_>, rollout: &ServiceRollout, broken: &mut Vec<Broken>) {
    for run in seen.history.runs.iter().filter(|run| rollout.new.contains(&run.server)) {
        let Some(request) = seen.requests.get(run.request.as_str()) else { continue };
        let sent_ms = request.sent_ms;
        if !is_from_undisturbed_gateway(seen, run) {
            continue;
        }
        let calm_from_ms = last_instability_ms(seen, sent_ms);
        let after = rollout.bad_answers_ms.partition_point(|at_ms| *at_ms < calm_from_ms);
        let last = rollout.bad_answers_ms.get(after + BAD_ANSWERS - 1);
        if let Some(last_ms) = last.filter(|last_ms| **last_ms + seen.bounds.rollback_ms < sent_ms)
        {
            let what = format!(
                "{} was sent to {}, whose version had given {BAD_ANSWERS} bad answers by {last_ms}",
                run.request, run.server
            );
            broken.push(Broken::new(Promise::Exposure, sent_ms, what));
            return;
        }
    }
}

/// The end of the last unplanned disturbance of a gateway or the store that began before a time.
fn last_instability_ms(seen: &Seen<'_>, at_ms: RunMs) -> RunMs {
    let affects_rollouts =
        |victim: &Victim| matches!(victim, Victim::Store | Victim::Gateway(_) | Victim::Leaving(_));
    let disturbances = seen.history.disturbances.iter();
    let earlier = disturbances.filter(|it| it.from_ms <= at_ms && affects_rollouts(&it.victim));
    earlier.map(|it| it.until_ms).max().unwrap_or(0)
}

/// Whether the gateway that was asked had been left alone for long enough.
fn is_from_undisturbed_gateway(seen: &Seen<'_>, run: &Run) -> bool {
    let Some(request) = seen.requests.get(run.request.as_str()) else { return false };
    let from_ms = request.sent_ms.saturating_sub(seen.bounds.contact_ms);
    let victims = [Victim::Gateway(request.gateway), Victim::Leaving(request.gateway)];
    !victims.iter().any(|victim| seen.history.disturbed(victim, from_ms, run.at_ms))
}

/// The first verdict is right, and none but that one follows. The store shows an order without its
/// verdict again only if it came back from an older copy.
fn verdict(seen: &Seen<'_>, rollout: &ServiceRollout, broken: &mut Vec<Broken>) {
    let is_verdict = |(_, state): &&(RunMs, RolloutState)| *state != RolloutState::Running;
    let Some((given_ms, verdict)) = rollout.states.iter().find(is_verdict) else {
        return missing_verdict(seen, rollout, broken);
    };
    let right = match rollout.fault {
        None => RolloutState::Completed,
        Some(_) => RolloutState::RolledBack,
    };
    if *verdict != right && !is_beyond_comparison(seen, rollout, *given_ms) {
        let what = format!("{verdict:?}, and the fault of the version is {:?}", rollout.fault);
        broken.push(Broken::new(Promise::Verdict, *given_ms, what));
    }
    let later = rollout.states.iter().filter(|(at_ms, state)| at_ms > given_ms && state != verdict);
    for (at_ms, state) in later {
        let is_lost = *state == RolloutState::Running
            && seen.history.disturbed(&Victim::Store, *given_ms, *at_ms);
        if !is_lost {
            let what = format!("{state:?} after {verdict:?} at {given_ms} ms");
            broken.push(Broken::new(Promise::Verdict, *at_ms, what));
        }
    }
}

/// Whether the usual time could not be told, as servers of the version before were disturbed meanwhile.
/// Seed 9000 has a slow version beside a baseline of which one server of two was frozen: its callers
/// waited as long.
fn is_beyond_comparison(seen: &Seen<'_>, rollout: &ServiceRollout, verdict_ms: RunMs) -> bool {
    let is_disturbed = |server: &String| {
        let victim = Victim::Server(server.clone());
        seen.history.disturbed(&victim, rollout.ordered_ms, verdict_ms)
    };
    rollout.fault == Some(VersionFault::Slow) && rollout.baseline.iter().any(is_disturbed)
}

/// Once the order's time is over and all is calm, there is a verdict.
fn missing_verdict(seen: &Seen<'_>, rollout: &ServiceRollout, broken: &mut Vec<Broken>) {
    let due_ms = rollout.deadline_ms.max(seen.history.calm_from_ms) + seen.bounds.contact_ms;
    let last_ms = seen.history.requests.iter().map(|request| request.sent_ms).max();
    if seen.bounds.timed && last_ms > Some(due_ms) {
        let what = format!("no verdict by {due_ms} ms: {:?}", rollout.states);
        broken.push(Broken::new(Promise::Verdict, due_ms, what));
    }
}

/// The servers of the version before stop at once when the release is complete. By then nothing that
/// may run once is on them, from gateways in touch.
fn release(seen: &Seen<'_>, rollout: &ServiceRollout, broken: &mut Vec<Broken>) {
    let Some(stopped_ms) = rollout.stopped_ms else { return };
    for run in seen.history.runs.iter().filter(|run| rollout.baseline.contains(&run.server)) {
        let Some(request) = seen.requests.get(run.request.as_str()) else { continue };
        let is_cut =
            run.at_ms < stopped_ms && run.ended.is_none_or(|(at_ms, _)| at_ms > stopped_ms);
        if is_cut && request.route == Route::Issue && is_from_undisturbed_gateway(seen, run) {
            let what = format!("{} ran at {}, which stopped", run.request, run.server);
            broken.push(Broken::new(Promise::Release, stopped_ms, what));
        }
    }
}
