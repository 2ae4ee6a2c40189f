//! Defines the settings of a queue and their defaults.

const DEFAULT_MAX_LEN: usize = 1_024;
const DEFAULT_MAX_WAIT_MS: u64 = 10_000;
const DEFAULT_AGEING_MS: u64 = 2_000;
const DEFAULT_IDLE_CREDIT_TOKENS: u64 = 16_384;
const DEFAULT_WINDOW_MS: u64 = 30_000;
const DEFAULT_EXCESS_FACTOR: f64 = 2.0;
const DEFAULT_RESERVE_DEVIATIONS: f64 = 1.5;
const DEFAULT_FORGET_MS: u64 = 60_000;
const DEFAULT_MIN_RETRY_MS: u32 = 50;
const DEFAULT_MAX_RETRY_MS: u32 = 30_000;

/// Settings of a [`Queue`](crate::Queue).
///
/// # Examples
///
/// ```
/// use samphirespread_fairness::Config;
///
/// let config = Config::new(16).max_len(512).max_wait_ms(5_000);
/// ```
#[derive(Clone, Debug)]
pub struct Config {
    pub(crate) concurrency: usize,
    pub(crate) reserved_slots: usize,
    pub(crate) max_len: usize,
    pub(crate) max_bytes: u64,
    pub(crate) max_wait_ms: u64,
    pub(crate) ageing_ms: u64,
    pub(crate) idle_credit_tokens: u64,
    pub(crate) window_ms: u64,
    pub(crate) excess_factor: f64,
    pub(crate) reserve_deviations: f64,
    pub(crate) forget_ms: u64,
    pub(crate) min_retry_ms: u32,
    pub(crate) max_retry_ms: u32,
}

impl Config {
    /// Returns the default settings for an engine that runs at most `concurrency` entries at once.
    ///
    /// # Panics
    ///
    /// Panics if `concurrency` is zero.
    pub fn new(concurrency: usize) -> Self {
        assert!(concurrency > 0, "an engine must run at least one entry at once");
        Self {
            concurrency,
            reserved_slots: 0,
            max_len: DEFAULT_MAX_LEN,
            max_bytes: u64::MAX,
            max_wait_ms: DEFAULT_MAX_WAIT_MS,
            ageing_ms: DEFAULT_AGEING_MS,
            idle_credit_tokens: DEFAULT_IDLE_CREDIT_TOKENS,
            window_ms: DEFAULT_WINDOW_MS,
            excess_factor: DEFAULT_EXCESS_FACTOR,
            reserve_deviations: DEFAULT_RESERVE_DEVIATIONS,
            forget_ms: DEFAULT_FORGET_MS,
            min_retry_ms: DEFAULT_MIN_RETRY_MS,
            max_retry_ms: DEFAULT_MAX_RETRY_MS,
        }
    }

    /// Sets the minimum number of slots that a team with excess demand leaves free.
    ///
    /// Such a team leaves more slots free if the other teams used more recently. See
    /// [`excess_factor`](Self::excess_factor) for what excess demand is.
    ///
    /// # Panics
    ///
    /// Panics if no slot would be left unreserved.
    #[must_use]
    pub fn reserved_slots(mut self, slots: usize) -> Self {
        assert!(slots < self.concurrency, "at least one slot must be left unreserved");
        self.reserved_slots = slots;
        self
    }

    /// Sets the maximum number of waiting entries.
    ///
    /// # Panics
    ///
    /// Panics if `entries` is zero.
    #[must_use]
    pub fn max_len(mut self, entries: usize) -> Self {
        assert!(entries > 0, "a queue must hold at least one entry");
        self.max_len = entries;
        self
    }

    /// Sets the maximum total size of the waiting entries in bytes.
    #[must_use]
    pub fn max_bytes(mut self, bytes: u64) -> Self {
        self.max_bytes = bytes;
        self
    }

    /// Sets the maximum time that an entry waits.
    #[must_use]
    pub fn max_wait_ms(mut self, ms: u64) -> Self {
        self.max_wait_ms = ms;
        self
    }

    /// Sets the waiting time that offsets one level of priority.
    #[must_use]
    pub fn ageing_ms(mut self, ms: u64) -> Self {
        self.ageing_ms = ms;
        self
    }

    /// Sets the credit of a team that returns from idle.
    ///
    /// The credit is the number of tokens, divided by the team's weight, by which the counter of
    /// the team may be below that of the waiting teams.
    #[must_use]
    pub fn idle_credit_tokens(mut self, tokens: u64) -> Self {
        self.idle_credit_tokens = tokens;
        self
    }

    /// Sets the time constant of the averages of demand and slot use.
    #[must_use]
    pub fn window_ms(mut self, ms: u64) -> Self {
        self.window_ms = ms;
        self
    }

    /// Sets how many times the demand of the other teams counts as excess demand.
    ///
    /// The demand of a team and that of all others are each divided by their weights.
    ///
    /// # Panics
    ///
    /// Panics if the factor is below one or not finite.
    #[must_use]
    pub fn excess_factor(mut self, factor: f64) -> Self {
        assert!(
            factor.is_finite() && factor >= 1.0,
            "the excess factor must be finite and at least one"
        );
        self.excess_factor = factor;
        self
    }

    /// Sets how many slots are reserved for the other teams beyond their average use, in standard
    /// deviations of that use.
    ///
    /// The standard deviation is that of independent arrivals: the square root of the average.
    ///
    /// # Panics
    ///
    /// Panics if the number is negative or not finite.
    #[must_use]
    pub fn reserve_deviations(mut self, deviations: f64) -> Self {
        assert!(
            deviations.is_finite() && deviations >= 0.0,
            "the number of deviations must be finite and not negative"
        );
        self.reserve_deviations = deviations;
        self
    }

    /// Sets the idle time after which a team is forgotten.
    #[must_use]
    pub fn forget_ms(mut self, ms: u64) -> Self {
        self.forget_ms = ms;
        self
    }

    /// Sets the shortest and the longest time after which a caller should retry.
    ///
    /// # Panics
    ///
    /// Panics if `min_ms` is above `max_ms`.
    #[must_use]
    pub fn retry_range_ms(mut self, min_ms: u32, max_ms: u32) -> Self {
        assert!(min_ms <= max_ms, "the shortest retry time must not exceed the longest");
        self.min_retry_ms = min_ms;
        self.max_retry_ms = max_ms;
        self
    }
}
