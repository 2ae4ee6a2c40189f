//! How often a request may be sent, and what may be said of it in the end.
//!
//! ```
//! use samphirespread_routing::attempts::{AttemptRules, Attempts};
//!
//! let rules = AttemptRules { is_idempotent: false, max_runs: 3, max_sends: 4 };
//! let mut attempts = Attempts::new(rules);
//! attempts.begin();
//! attempts.said_not_run();
//! assert!(attempts.may_send() && !attempts.may_have_run());
//!
//! attempts.begin();
//! assert!(!attempts.may_send() && attempts.may_have_run());
//! ```
//!
//! A send counts as possibly run from the moment before it is written. Only the certainty that
//! nothing was written, or the server's own word, takes that back.

/// What holds for the requests of a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptRules {
    /// Whether a request may run more than once.
    pub is_idempotent: bool,
    /// Servers on which an idempotent request may run.
    pub max_runs: u32,
    /// Sends at the most, those that a server refused among them.
    pub max_sends: u32,
}

/// The sends of one request.
#[derive(Clone, Debug)]
pub struct Attempts {
    rules: AttemptRules,
    sends: u32,
    /// Sends of which it is not certain that they have not run.
    possible_runs: u32,
    /// Whether the last send carried on a run that was counted already.
    carries_on: bool,
}

impl Attempts {
    /// A request that was not sent yet.
    pub fn new(rules: AttemptRules) -> Self {
        Self { rules, sends: 0, possible_runs: 0, carries_on: false }
    }

    /// Whether it may be sent now, to its first server or to another one.
    pub fn may_send(&self) -> bool {
        let may_run = match self.rules.is_idempotent {
            true => self.possible_runs < self.rules.max_runs.max(1),
            false => self.possible_runs == 0,
        };
        may_run && self.has_sends_left()
    }

    /// Whether the bound on sends leaves one more.
    pub fn has_sends_left(&self) -> bool {
        self.sends < self.rules.max_sends
    }

    /// Whether a send now would be a repeat.
    pub fn is_repeat(&self) -> bool {
        self.sends > 0
    }

    /// Whether the request may have run somewhere. If not, it is certain that it has not.
    pub fn may_have_run(&self) -> bool {
        self.possible_runs > 0
    }

    /// It is about to be written to a server.
    ///
    /// # Panics
    ///
    /// When [`may_send`](Self::may_send) does not hold.
    pub fn begin(&mut self) {
        assert!(self.may_send(), "a request is sent although it may not run again: {self:?}");
        self.sends += 1;
        self.possible_runs += 1;
        self.carries_on = false;
    }

    /// It is about to be written to a server where a run that was stopped goes on from its memory.
    ///
    /// # Panics
    ///
    /// When it has not been sent before.
    pub fn carry_on(&mut self) {
        assert!(self.possible_runs > 0, "a run goes on that never began: {self:?}");
        self.carries_on = true;
    }

    /// It is certain that nothing of the last send was written.
    pub fn not_written(&mut self) {
        if !self.carries_on {
            self.sends -= 1;
            self.possible_runs -= 1;
        }
    }

    /// The server of the last send says that it has not run it and will not.
    pub fn said_not_run(&mut self) {
        if !self.carries_on {
            self.possible_runs -= 1;
        }
    }
}
