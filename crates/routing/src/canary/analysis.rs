//! Adds up what the routers report of a new version, and decides how far it is released.

use std::collections::HashMap;

use displaydoc::Display;
use samphirespread_core::prelude::*;

use super::{
    AnswerCounts, BadRateTest, Evidence, FULL_RAMP, Phase, RouteTag, evidence::SERVER_GROUPS,
};

/// The ramp begins this long before the order's time is over, so that the steps of the ramp, the longest
/// streams at the baseline and a slow store fit in.
const RELEASE_RESERVE_MS: u64 = 6_500;
/// The part of the order's time that the reserve takes at most; the rest is for evidence.
const MAX_RESERVE_PART: f64 = 0.5;
/// The shares of the requests in the steps of the ramp, in thousandths.
const RAMP_PERMILLE: [u16; 3] = [250, 500, 1_000];
/// The time of one step: long enough for answers under the new load, and for their reports.
const RAMP_STEP_MS: u64 = 500;
/// The time of the last step at least. No verdict can be taken back after it, so that slow answers have
/// to come in as well.
const FULL_RAMP_MS: u64 = 1_000;
/// The version is released only after this many of its answers.
const MIN_ANSWERS: u32 = 40;
/// The rate of bad answers of the baseline is taken over about this long.
const BASE_RATE_MS: f64 = 2_000.0;
/// Answers that the base rate starts with, of which half of one is bad.
const PRIOR_ANSWERS: f64 = 10.0;
/// Standard errors that are added to the measured rate, so that chance in few answers of the version
/// before doesn't count against the new one.
const BASE_RATE_MARGIN: f64 = 2.0;

/// What the decision depends on besides the evidence.
#[derive(Clone, Copy, Debug)]
pub struct Situation {
    /// How far the version is released.
    pub phase: Phase,
    /// Since when.
    pub phase_since: MonoTime,
    /// Time since the order was given, as far as known.
    pub order_age_ms: u64,
    /// The order's time.
    pub duration_ms: u64,
    /// Whether this router hears most of the others. If not, its evidence is too little for a release.
    pub hears_most: bool,
}

/// A decision.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// The version enters this phase.
    Enter(Phase),
    /// The release may be recorded in the store as complete.
    Complete,
}

/// Why a version is not released further now.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Wait {
    /// for the end of the time in which evidence is gathered, in {left_ms} ms
    Evidence {
        /// The time until then.
        left_ms: u64,
    },
    /// for answers of the version: {answers} of {needed}
    Answers {
        /// The answers so far.
        answers: u32,
        /// Those that a release takes.
        needed: u32,
    },
    /// for reports of most of the other routers
    Routers,
    /// for the end of this step, in {left_ms} ms
    Step {
        /// The time until then.
        left_ms: u64,
    },
    /// for {routers} routers that use the version before, or whose {in_flight} requests run there
    Baseline {
        /// The routers.
        routers: usize,
        /// Their requests.
        in_flight: u32,
    },
    /// for the store to record the verdict
    Record,
    /// for nothing: the verdict is recorded
    Nothing,
}

/// The evidence of all routers.
#[derive(Clone, Debug, Default)]
pub struct Analysis {
    reports: HashMap<InstanceName, Report>,
    routes: HashMap<RouteTag, RouteTest>,
    all: RouteTest,
    answers: AnswerCounts,
}

#[derive(Clone, Debug)]
struct Report {
    incarnation: Incarnation,
    evidence: Evidence,
    phase: Phase,
    at: MonoTime,
}

/// The tests of the answers on one route, or on all.
#[derive(Clone, Debug, Default)]
struct RouteTest {
    test: BadRateTest,
    /// For each group of servers, the evidence of all others.
    without_group: [BadRateTest; SERVER_GROUPS],
    groups: [AnswerCounts; SERVER_GROUPS],
    base: BaseRate,
}

/// The rate of bad answers of the baseline, over a sliding time.
#[derive(Clone, Copy, Debug, Default)]
struct BaseRate {
    answers: f64,
    bad: f64,
    as_of: Option<MonoTime>,
}

impl BaseRate {
    /// The last rate stays while there are no answers to take one from.
    fn observe(&mut self, counts: AnswerCounts, now: MonoTime) {
        if counts.answers == 0 {
            return;
        }
        #[expect(clippy::cast_precision_loss, reason = "spans are short")]
        let age_ms = self.as_of.map_or(0.0, |as_of| now.ms_since(as_of) as f64);
        let kept = (-age_ms / BASE_RATE_MS).exp();
        self.answers = self.answers * kept + f64::from(counts.answers);
        self.bad = self.bad * kept + f64::from(counts.bad);
        self.as_of = Some(now);
    }

    fn rate(&self) -> f64 {
        let answers = self.answers + PRIOR_ANSWERS;
        let rate = (self.bad + 0.5) / answers;
        rate + BASE_RATE_MARGIN * (rate * (1.0 - rate) / answers).sqrt()
    }
}

impl RouteTest {
    fn observe(
        &mut self,
        new: &[AnswerCounts; SERVER_GROUPS],
        baseline: AnswerCounts,
        now: MonoTime,
    ) {
        self.base.observe(baseline, now);
        let base_rate = self.base.rate();
        let all = sum(new);
        self.test.observe(all, base_rate);
        for (group, counts) in new.iter().enumerate() {
            self.groups[group].add(*counts);
            self.without_group[group].observe(all.minus(*counts), base_rate);
        }
    }

    /// Whether the version is bad, and the evidence stays if any one group of servers is left out, as
    /// one server may be faulty by itself.
    fn is_bad(&self) -> bool {
        let used = |group: &usize| self.groups[*group].answers > 0;
        let used: Vec<usize> = (0..SERVER_GROUPS).filter(used).collect();
        let is_spread = || used.iter().all(|group| self.without_group[*group].is_suspect());
        self.test.is_bad() && (used.len() < 2 || is_spread())
    }
}

fn sum(groups: &[AnswerCounts; SERVER_GROUPS]) -> AnswerCounts {
    groups.iter().fold(AnswerCounts::default(), |mut sum, counts| {
        sum.add(*counts);
        sum
    })
}

impl Analysis {
    /// Adds what a router has counted since its last report. A router's counts begin anew when it
    /// starts.
    pub fn apply(
        &mut self,
        router: &InstanceName,
        incarnation: Incarnation,
        phase: Phase,
        evidence: Evidence,
        now: MonoTime,
    ) {
        let known = self.reports.get(router).filter(|known| known.incarnation == incarnation);
        let previous = known.map(|known| known.evidence.clone()).unwrap_or_default();
        let mut new_of_all = [AnswerCounts::default(); SERVER_GROUPS];
        let mut baseline_of_all = AnswerCounts::default();
        for counts in &evidence.routes {
            let known = previous.routes.iter().find(|known| known.route == counts.route);
            let mut new = counts.new;
            let mut baseline = counts.baseline;
            if let Some(known) = known {
                for (counts, known) in new.iter_mut().zip(known.new) {
                    *counts = counts.minus(known);
                }
                baseline = baseline.minus(known.baseline);
            }
            self.routes.entry(counts.route).or_default().observe(&new, baseline, now);
            for (of_all, counts) in new_of_all.iter_mut().zip(new) {
                of_all.add(counts);
            }
            baseline_of_all.add(baseline);
        }
        self.all.observe(&new_of_all, baseline_of_all, now);
        self.answers.add(sum(&new_of_all));
        self.reports.insert(router.clone(), Report { incarnation, evidence, phase, at: now });
    }

    /// All answers of the new version so far.
    pub fn answers(&self) -> AnswerCounts {
        self.answers
    }

    /// The strongest evidence against the version, as a fraction of what a verdict takes.
    pub fn evidence(&self) -> f64 {
        let routes = self.routes.values().chain([&self.all]);
        routes.map(|route| route.test.evidence()).fold(0.0, f64::max)
    }

    /// Decides on the next step, from reports of routers that are not older than `report_lifetime_ms`.
    pub fn next_step(
        &self,
        situation: &Situation,
        report_lifetime_ms: u64,
        now: MonoTime,
    ) -> Option<Step> {
        self.decide(situation, report_lifetime_ms, now).ok()
    }

    /// Returns what keeps the version from its next step, if something does.
    pub fn waits_for(
        &self,
        situation: &Situation,
        report_lifetime_ms: u64,
        now: MonoTime,
    ) -> Option<Wait> {
        self.decide(situation, report_lifetime_ms, now).err()
    }

    fn decide(
        &self,
        situation: &Situation,
        report_lifetime_ms: u64,
        now: MonoTime,
    ) -> Result<Step, Wait> {
        match situation.phase {
            Phase::Canary | Phase::Ramp { .. } if self.is_bad() => Ok(Step::Enter(Phase::Halted)),
            Phase::Canary => self.end_of_canary(situation),
            Phase::Ramp { share_permille } => {
                let in_phase_ms = now.ms_since(situation.phase_since);
                let is_full = situation.phase == FULL_RAMP;
                let step_ms = if is_full { FULL_RAMP_MS } else { RAMP_STEP_MS };
                if in_phase_ms < step_ms {
                    return Err(Wait::Step { left_ms: step_ms - in_phase_ms });
                }
                match RAMP_PERMILLE.iter().find(|next| **next > share_permille) {
                    Some(next) => Ok(Step::Enter(Phase::Ramp { share_permille: *next })),
                    None => self.end_of_ramp(situation, report_lifetime_ms, now),
                }
            }
            Phase::Halted => Err(Wait::Record),
            Phase::Completed | Phase::RolledBack => Err(Wait::Nothing),
        }
    }

    fn end_of_canary(&self, situation: &Situation) -> Result<Step, Wait> {
        let left_ms = release_ms(situation.duration_ms).saturating_sub(situation.order_age_ms);
        if left_ms > 0 {
            return Err(Wait::Evidence { left_ms });
        }
        let answers = self.answers.answers;
        if answers < MIN_ANSWERS {
            return Err(Wait::Answers { answers, needed: MIN_ANSWERS });
        }
        if !situation.hears_most {
            return Err(Wait::Routers);
        }
        Ok(Step::Enter(Phase::Ramp { share_permille: RAMP_PERMILLE[0] }))
    }

    fn end_of_ramp(
        &self,
        situation: &Situation,
        report_lifetime_ms: u64,
        now: MonoTime,
    ) -> Result<Step, Wait> {
        let (routers, in_flight) = self.left_at_baseline(report_lifetime_ms, now);
        if routers > 0 {
            return Err(Wait::Baseline { routers, in_flight });
        }
        if !situation.hears_most {
            return Err(Wait::Routers);
        }
        Ok(Step::Complete)
    }

    fn is_bad(&self) -> bool {
        self.routes.values().chain([&self.all]).any(RouteTest::is_bad)
    }

    /// Counts the routers that report and may still send requests to the baseline, or have some there,
    /// and these requests.
    fn left_at_baseline(&self, report_lifetime_ms: u64, now: MonoTime) -> (usize, u32) {
        let recent = |report: &&Report| now.ms_since(report.at) <= report_lifetime_ms;
        let uses_baseline =
            |report: &&Report| report.phase < FULL_RAMP || report.evidence.in_flight_baseline > 0;
        let left = self.reports.values().filter(recent).filter(uses_baseline);
        left.fold((0, 0), |(routers, in_flight), report| {
            (routers + 1, in_flight + report.evidence.in_flight_baseline)
        })
    }
}

/// Time from an order to the release of its version.
fn release_ms(duration_ms: u64) -> u64 {
    #[expect(
        clippy::cast_precision_loss,
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a part of a span"
    )]
    let most_ms = (duration_ms as f64 * MAX_RESERVE_PART) as u64;
    duration_ms - RELEASE_RESERVE_MS.min(most_ms)
}
