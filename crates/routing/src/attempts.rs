//! Decides how often a request may be sent, and whether the caller may be told that it has not run.
//!
//! ```
//! use samphirespread_routing::attempts::{AttemptRules, Attempts};
//!
//! let rules = AttemptRules { is_idempotent: false, max_runs: 3, max_sends: 4 };
//! let mut attempts = Attempts::new(rules);
//! attempts.begin();
//! attempts.record_not_run();
//! assert!(attempts.may_send() && !attempts.may_have_run());
//!
//! attempts.begin();
//! assert!(!attempts.may_send() && attempts.may_have_run());
//! ```
//!
//! A send counts as a possible run from just before it is written. This is undone only if it is
//! certain that nothing was written, or if the server responds that it has not run the request.

/// The rules for the requests of a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptRules {
    /// Whether a request may run more than once.
    pub is_idempotent: bool,
    /// The maximum number of servers on which an idempotent request may run. One server may run it
    /// again.
    pub max_runs: u32,
    /// The maximum number of sends, including those that a server refused.
    pub max_sends: u32,
}

/// How the last send counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LastSend {
    /// As a possible run of its own.
    Run,
    /// As one with the send before it, as both went to one server.
    Again,
    /// Not at all, as it resumed a run that was already counted.
    Resumption,
}

/// The sends of one request.
#[derive(Clone, Debug)]
pub struct Attempts {
    rules: AttemptRules,
    sends: u32,
    /// The number of sends that have run or may have run.
    possible_runs: u32,
    last_send: LastSend,
    /// Whether the limit on sends is lifted.
    is_owed: bool,
}

impl Attempts {
    /// Creates the record of a request that has not been sent yet.
    pub fn new(rules: AttemptRules) -> Self {
        Self { rules, sends: 0, possible_runs: 0, last_send: LastSend::Run, is_owed: false }
    }

    /// Whether the request may be sent now, to the first or to another server.
    pub fn may_send(&self) -> bool {
        self.may_run() && self.has_sends_left()
    }

    /// Whether the rules for runs allow one more, whatever the number of sends.
    pub fn may_run(&self) -> bool {
        match self.rules.is_idempotent {
            true => self.possible_runs < self.rules.max_runs.max(1),
            false => self.possible_runs == 0,
        }
    }

    /// Whether the limit on sends allows one more.
    pub fn has_sends_left(&self) -> bool {
        self.is_owed || self.sends < self.rules.max_sends
    }

    /// Lifts the limit on sends until [`settle`](Self::settle), as the router has stopped the
    /// request's run itself and owes the caller the rest. The limit on runs stays.
    pub fn owe(&mut self) {
        self.is_owed = true;
    }

    /// Restores the limit on sends.
    pub fn settle(&mut self) {
        self.is_owed = false;
    }

    /// Whether the next send would be a repeat.
    pub fn is_repeat(&self) -> bool {
        self.sends > 0
    }

    /// Whether the request may have run on any server. If not, it has certainly not run.
    pub fn may_have_run(&self) -> bool {
        self.possible_runs > 0
    }

    /// Records that the request is about to be written to a server.
    ///
    /// # Panics
    ///
    /// Panics if [`may_send`](Self::may_send) is false.
    pub fn begin(&mut self) {
        assert!(self.may_send(), "a request is sent although it may not run again: {self:?}");
        self.sends += 1;
        self.possible_runs += 1;
        self.last_send = LastSend::Run;
    }

    /// Whether the request may be written again to the server of the last send, which may have run it.
    pub fn may_send_again(&self) -> bool {
        self.rules.is_idempotent && self.has_sends_left()
    }

    /// Records that the request is about to be written again to the server of the last send. Both count as
    /// one run, since the limit on runs is one on servers.
    ///
    /// # Panics
    ///
    /// Panics if [`may_send_again`](Self::may_send_again) is false.
    pub fn begin_again(&mut self) {
        assert!(self.may_send_again(), "a request is sent again that may run once: {self:?}");
        self.sends += 1;
        self.last_send = LastSend::Again;
    }

    /// Records that the request is about to be written to a server that resumes a stopped run from
    /// its memory.
    ///
    /// # Panics
    ///
    /// Panics if the request has not been sent before.
    pub fn begin_resumption(&mut self) {
        assert!(self.possible_runs > 0, "a run is resumed that was never started: {self:?}");
        self.last_send = LastSend::Resumption;
    }

    /// Records that no byte of the last send was written.
    pub fn record_not_written(&mut self) {
        if self.last_send != LastSend::Resumption {
            self.sends -= 1;
        }
        if self.last_send == LastSend::Run {
            self.possible_runs -= 1;
        }
    }

    /// Records that the server of the last send responded that it has not run the request and will
    /// not run it.
    pub fn record_not_run(&mut self) {
        if self.last_send == LastSend::Run {
            self.possible_runs -= 1;
        }
    }
}
