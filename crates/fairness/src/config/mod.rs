//! Settings of a queue.

const MAX_LEN: usize = 1_024;
const MAX_WAIT_MS: u64 = 10_000;
const AGEING_MS: u64 = 2_000;
const IDLE_CREDIT_TOKENS: u64 = 16_384;
const WINDOW_MS: u64 = 30_000;
const EXCESS_FACTOR: f64 = 2.0;
const RESERVE_DEVIATIONS: f64 = 1.5;
const FORGET_MS: u64 = 60_000;
const MIN_RETRY_MS: u32 = 50;
const MAX_RETRY_MS: u32 = 30_000;

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
    /// Settings for an engine that runs `concurrency` entries at once.
    ///
    /// # Panics
    ///
    /// Panics if `concurrency` is zero.
    pub fn new(concurrency: usize) -> Self {
        assert!(concurrency > 0, "an engine must run at least one entry at once");
        Self {
            concurrency,
            reserved_slots: 0,
            max_len: MAX_LEN,
            max_bytes: u64::MAX,
            max_wait_ms: MAX_WAIT_MS,
            ageing_ms: AGEING_MS,
            idle_credit_tokens: IDLE_CREDIT_TOKENS,
            window_ms: WINDOW_MS,
            excess_factor: EXCESS_FACTOR,
            reserve_deviations: RESERVE_DEVIATIONS,
            forget_ms: FORGET_MS,
            min_retry_ms: MIN_RETRY_MS,
            max_retry_ms: MAX_RETRY_MS,
        }
    }

    /// Slots at least that teams that ask for more than their share leave free.
    ///
    /// More are left free where the other teams used more lately.
    ///
    /// # Panics
    ///
    /// Panics if no slot would be left.
    #[must_use]
    pub fn reserved_slots(mut self, slots: usize) -> Self {
        assert!(slots < self.concurrency, "at least one slot must be left unreserved");
        self.reserved_slots = slots;
        self
    }

    /// Entries that wait at most.
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

    /// Memory that waiting entries take at most.
    #[must_use]
    pub fn max_bytes(mut self, bytes: u64) -> Self {
        self.max_bytes = bytes;
        self
    }

    /// Time that any entry waits at most.
    #[must_use]
    pub fn max_wait_ms(mut self, ms: u64) -> Self {
        self.max_wait_ms = ms;
        self
    }

    /// Waiting time that makes up for one level of priority.
    #[must_use]
    pub fn ageing_ms(mut self, ms: u64) -> Self {
        self.ageing_ms = ms;
        self
    }

    /// Tokens by which a team that returns from idle may be ahead of the waiting teams.
    #[must_use]
    pub fn idle_credit_tokens(mut self, tokens: u64) -> Self {
        self.idle_credit_tokens = tokens;
        self
    }

    /// Time over which the demand of teams is averaged.
    #[must_use]
    pub fn window_ms(mut self, ms: u64) -> Self {
        self.window_ms = ms;
        self
    }

    /// A team asks for too much when it asks for this many times what the other teams ask for,
    /// each relative to their weights.
    ///
    /// # Panics
    ///
    /// Panics if the factor is below one or not finite.
    #[must_use]
    pub fn excess_factor(mut self, factor: f64) -> Self {
        assert!(factor.is_finite() && factor >= 1.0, "the factor must be one or more");
        self.excess_factor = factor;
        self
    }

    /// Slots kept for the other teams beyond their average use, in standard deviations.
    ///
    /// The standard deviation is that of independent arrivals, the root of the average.
    ///
    /// # Panics
    ///
    /// Panics if the number is negative or not finite.
    #[must_use]
    pub fn reserve_deviations(mut self, deviations: f64) -> Self {
        assert!(deviations.is_finite() && deviations >= 0.0, "deviations must not be negative");
        self.reserve_deviations = deviations;
        self
    }

    /// Idle time after which a team is forgotten.
    #[must_use]
    pub fn forget_ms(mut self, ms: u64) -> Self {
        self.forget_ms = ms;
        self
    }

    /// Least and greatest time that a refused caller is told to stay away.
    ///
    /// # Panics
    ///
    /// Panics if `min_ms` is above `max_ms`.
    #[must_use]
    pub fn retry_range_ms(mut self, min_ms: u32, max_ms: u32) -> Self {
        assert!(min_ms <= max_ms, "the range must not be empty");
        self.min_retry_ms = min_ms;
        self.max_retry_ms = max_ms;
        self
    }
}
