//! The configuration of a limiter.

/// The times and sizes that a [`Limiter`](crate::Limiter) uses. They must be the same on all
/// routers.
///
/// ```
/// use samphirespread_limits::LimitsConfig;
///
/// let config = LimitsConfig::new().lump_lifetime_ms(1_000).revoke_wait_ms(5_000);
/// assert!(config.check().is_ok());
/// ```
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LimitsConfig {
    pub(crate) lump_lifetime_ms: u64,
    pub(crate) revoke_wait_ms: u64,
    pub(crate) clock_margin_ms: u64,
    pub(crate) lump_wait_ms: u64,
    pub(crate) poll_ms: u64,
    pub(crate) call_timeout_ms: u64,
    pub(crate) silence_timeout_ms: u64,
    pub(crate) dead_after_ms: u64,
    pub(crate) slots: u32,
    pub(crate) max_holders: usize,
    pub(crate) mechanisms: Mechanisms,
}

/// Safety mechanisms, which tests turn off one at a time to show that each is needed.
#[doc(hidden)]
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Mechanisms {
    /// A new owner of parts counts half of their burst as lent for one lump lifetime.
    pub start_reserve: bool,
    /// A share is used only within a bounded time since the last contact with the platform or the
    /// witnesses.
    pub contact_rule: bool,
    /// The borrower counts the lifetime of a lump from when it sent its request.
    pub expiry_from_request: bool,
    /// A new run claims its share by a write before it uses the share.
    pub claim_write: bool,
    /// A revocation waits for promises from the witnesses.
    pub promises: bool,
    /// A refund is bounded by the least room that the bucket has had since the admission.
    pub refund_bound: bool,
}

impl Mechanisms {
    /// All mechanisms are on, as in production.
    pub const ALL: Self = Self {
        start_reserve: true,
        contact_rule: true,
        expiry_from_request: true,
        claim_write: true,
        promises: true,
        refund_bound: true,
    };
}

impl Default for LimitsConfig {
    fn default() -> Self {
        Self::new()
    }
}

macro_rules! setters {
    ($($(#[$doc:meta])* $name:ident: $type:ty;)*) => {$(
        $(#[$doc])*
        #[must_use]
        pub const fn $name(mut self, $name: $type) -> Self {
            self.$name = $name;
            self
        }
    )*};
}

impl LimitsConfig {
    /// The default configuration.
    pub const fn new() -> Self {
        Self {
            lump_lifetime_ms: 1_000,
            revoke_wait_ms: 6_000,
            clock_margin_ms: 100,
            lump_wait_ms: 50,
            poll_ms: 1_500,
            call_timeout_ms: 1_000,
            silence_timeout_ms: 3_000,
            dead_after_ms: 10_000,
            slots: 16,
            max_holders: 8,
            mechanisms: Mechanisms::ALL,
        }
    }

    setters! {
        /// The time for which a borrower may spend a lump.
        lump_lifetime_ms: u64;
        /// The time that a revocation waits once it has its promises. A holder without contact
        /// stops using its share before this time is over.
        revoke_wait_ms: u64;
        /// The allowance for clocks that run at different rates, over one revoke wait.
        clock_margin_ms: u64;
        /// The longest time that a request waits for a lump.
        lump_wait_ms: u64;
        /// The time between reads of an object by a holder. Acknowledgements are requested twice as
        /// often.
        poll_ms: u64;
        /// The time after which a platform call counts as lost.
        call_timeout_ms: u64;
        /// The time for which messages to a peer must go unanswered before the peer counts as
        /// silent.
        silence_timeout_ms: u64;
        /// The time of absence from the live list after which a router counts as dead.
        dead_after_ms: u64;
        /// The number of objects that the teams are distributed over.
        slots: u32;
        /// The largest number of holders of one team's shares.
        max_holders: usize;
        /// The safety mechanisms in use. Only tests change them.
        #[doc(hidden)]
        mechanisms: Mechanisms;
    }

    /// Checks that the values are valid and consistent.
    ///
    /// # Errors
    ///
    /// Returns the first rule that the values break.
    pub fn check(&self) -> Result<(), crate::LimitsError> {
        use crate::LimitsError;

        if self.lump_lifetime_ms == 0 || self.slots == 0 || self.max_holders == 0 {
            return Err(LimitsError::Zero);
        }
        if self.max_holders > 8 {
            return Err(LimitsError::TooManyHolders);
        }
        if self.revoke_wait_ms <= self.lump_lifetime_ms.max(self.clock_margin_ms) {
            return Err(LimitsError::RevokeWaitTooShort);
        }
        if self.poll_ms.saturating_mul(2) > self.revoke_wait_ms {
            return Err(LimitsError::PollTooRare);
        }
        Ok(())
    }
}
