//! Settings of a limiter.

/// Times and sizes of a [`Limiter`](crate::Limiter). The same on all routers.
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

/// Mechanisms that tests turn off one at a time to show what each is for.
#[doc(hidden)]
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Mechanisms {
    /// A new owner counts half of the burst as lent for one lifetime.
    pub start_reserve: bool,
    /// Ownership is checked at each admission.
    pub contact_rule: bool,
    /// The borrower counts the lifetime of a lump from before its request.
    pub expiry_from_request: bool,
    /// A new run claims its share by a write before it uses it.
    pub claim_write: bool,
    /// A revocation waits for promises of the witnesses.
    pub promises: bool,
    /// A refund is bounded by the room that the bucket has had since the admission.
    pub refund_bound: bool,
}

impl Mechanisms {
    /// All mechanisms, as in every daemon.
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
    /// The defaults.
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
        /// Time for which a borrower may spend a lump.
        lump_lifetime_ms: u64;
        /// Time without contact after which a holder stops.
        revoke_wait_ms: u64;
        /// Allowance for clocks that run at different rates, over one revoke wait.
        clock_margin_ms: u64;
        /// Time at most that a request waits for a lump.
        lump_wait_ms: u64;
        /// Time between reads of an object by a holder, and between rounds of acknowledgements.
        poll_ms: u64;
        /// Time after which a call of the platform counts as lost.
        call_timeout_ms: u64;
        /// Time without a message after which a peer is suspected.
        silence_timeout_ms: u64;
        /// Time of absence from the live list after which an instance is taken as dead.
        dead_after_ms: u64;
        /// Objects that the teams are spread over.
        slots: u32;
        /// Holders of one team's shares at most.
        max_holders: usize;
        /// For tests.
        #[doc(hidden)]
        mechanisms: Mechanisms;
    }

    /// Checks that the times fit together.
    ///
    /// # Errors
    ///
    /// Says which setting is out of order.
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
