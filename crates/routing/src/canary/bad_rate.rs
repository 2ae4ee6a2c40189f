//! A sequential test of whether a version answers badly more often than the one before.

use super::AnswerCounts;

/// The test is against a version whose rate of bad answers is twice that of the baseline, plus this.
const BAD_EXCESS: f64 = 0.15;
/// The smallest rate of bad answers that is assumed for the baseline. With no bad answer at
/// all in a short time, its rate is still not known to be zero.
const MIN_BASE_RATE: f64 = 0.01;
/// The largest rate that a bad version is taken to have.
const MAX_BAD_RATE: f64 = 0.95;
/// The test stops at this log-likelihood ratio. By Wald's bound, a sound version passes it with a
/// probability below exp(-9), about one in eight thousand, in each run that begins at zero. The
/// baseline's rate is estimated, so this is approximate; `tests/canary.rs` measures it.
const VERDICT_RATIO: f64 = 9.0;
/// The log-likelihood ratio from which on a part of the servers confirms a verdict on all of them. It is
/// lower, as leaving out a group of servers leaves out its evidence too.
const SUSPECT_RATIO: f64 = 7.0;

/// The cumulative sum (CUSUM) of the log-likelihood ratio between a bad version and a sound one.
///
/// The sum doesn't fall below zero, so sound answers don't make up for bad ones that come later.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct BadRateTest {
    ratio: f64,
}

impl BadRateTest {
    /// Adds answers of the new version, which were given while the baseline had this rate of
    /// bad answers.
    pub fn observe(&mut self, answers: AnswerCounts, base_rate: f64) {
        let sound = base_rate.clamp(MIN_BASE_RATE, MAX_BAD_RATE - BAD_EXCESS);
        let bad = (2.0 * sound + BAD_EXCESS).min(MAX_BAD_RATE);
        let good_answers = f64::from(answers.answers.saturating_sub(answers.bad));
        let evidence = f64::from(answers.bad) * (bad / sound).ln()
            + good_answers * ((1.0 - bad) / (1.0 - sound)).ln();
        self.ratio = (self.ratio + evidence).max(0.0);
    }

    /// Whether the version is bad.
    pub fn is_bad(&self) -> bool {
        self.ratio >= VERDICT_RATIO
    }

    /// Whether there is some evidence against the version, though not enough for a verdict alone.
    pub(super) fn is_suspect(&self) -> bool {
        self.ratio >= SUSPECT_RATIO
    }

    /// The evidence against the version, as a fraction of what a verdict takes.
    pub fn evidence(&self) -> f64 {
        self.ratio / VERDICT_RATIO
    }
}
