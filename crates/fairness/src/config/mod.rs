//! Settings of a queue.

const MAX_LEN: usize = 1_024;
const MAX_WAIT_MS: u64 = 10_000;
const AGEING_MS: u64 = 2_000;
const IDLE_CREDIT_TOKENS: u64 = 16_384;
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
/// let config = Config::new(16).reserved_slots(1).max_len(512).max_wait_ms(5_000);
/// ```
#[derive(Clone, Debug)]
pub struct Config {
    pub(crate) concurrency: usize,
    pub(crate) reserved_slots: usize,
    pub(crate) max_len: usize,
    pub(crate) max_wait_ms: u64,
    pub(crate) ageing_ms: u64,
    pub(crate) idle_credit_tokens: u64,
    pub(crate) forget_ms: u64,
    pub(crate) min_retry_ms: u32,
    pub(crate) max_retry_ms: u32,
}

impl Config {
    /// Settings for an engine that runs `concurrency` entries at once.
    ///
    /// One slot in sixteen is reserved.
    ///
    /// # Panics
    ///
    /// Panics if `concurrency` is zero.
    pub fn new(concurrency: usize) -> Self {
        assert!(concurrency > 0, "an engine must run at least one entry at once");
        Self {
            concurrency,
            reserved_slots: concurrency / 16,
            max_len: MAX_LEN,
            max_wait_ms: MAX_WAIT_MS,
            ageing_ms: AGEING_MS,
            idle_credit_tokens: IDLE_CREDIT_TOKENS,
            forget_ms: FORGET_MS,
            min_retry_ms: MIN_RETRY_MS,
            max_retry_ms: MAX_RETRY_MS,
        }
    }

    /// Slots that teams beyond their share of slots leave free.
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
