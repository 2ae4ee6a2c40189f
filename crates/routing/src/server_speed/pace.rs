//! The pace of a server.

/// The pace of a server that works at its normal speed, as servers state it.
const NORMAL_PERCENT: f64 = 100.0;
/// A higher stated value counts as faulty.
const MAX_STATED_PERCENT: f64 = 10_000.0;
/// The bounds of a pace. They limit how much load a wrong value can shift.
const BOUNDS: std::ops::RangeInclusive<f64> = 0.1..=10.0;

/// How long work currently takes on a server, as a multiple of the normal time, to a thousandth.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Pace {
    permille: u32,
}

impl Pace {
    /// The pace of a server at normal speed.
    pub const NORMAL: Self = Self { permille: 1_000 };

    /// Returns the pace that a server states, where 100 is normal, between 0.1 and 10.
    ///
    /// Returns `None` if the value is faulty: zero, negative, not a number, or above 10,000.
    pub fn from_percent(percent: f64) -> Option<Self> {
        let is_valid = percent > 0.0 && percent <= MAX_STATED_PERCENT;
        is_valid.then(|| Self::from_ratio(percent / NORMAL_PERCENT))
    }

    /// Returns the pace nearest to a positive number.
    pub(super) fn from_ratio(ratio: f64) -> Self {
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "the ratio is bounded and positive"
        )]
        let permille = (ratio.clamp(*BOUNDS.start(), *BOUNDS.end()) * 1_000.0).round() as u32;
        Self { permille }
    }

    /// Returns the factor by which work takes longer than at normal speed.
    pub fn ratio(self) -> f64 {
        f64::from(self.permille) / 1_000.0
    }

    /// Returns how long something that took `ms` would have taken at normal speed.
    pub fn normal_ms(self, ms: u64) -> u64 {
        ms.saturating_mul(1_000) / u64::from(self.permille)
    }

    /// Returns the work per time, as a multiple of that at normal speed.
    pub fn speed(self) -> f64 {
        self.ratio().recip()
    }
}
