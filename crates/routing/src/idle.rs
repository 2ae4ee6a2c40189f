//! When an idle connection of a caller is closed, while configurations change the time limit.

use samphirespread_core::prelude::*;

/// The longest idle time of callers' connections, which configurations change.
///
/// A longer limit holds at once for all connections. A shorter one begins to count when it comes
/// into force, so that callers who know only the one before lose no connection that they may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct IdleLimit {
    limit_ms: u64,
    /// The longest limit that callers may still go by.
    former_ms: u64,
    /// When the limit was last made shorter.
    shortened: MonoTime,
}

impl IdleLimit {
    /// A limit that has always been in force.
    pub fn new(limit_ms: u64) -> Self {
        Self { limit_ms, former_ms: limit_ms, shortened: MonoTime::ZERO }
    }

    /// Replaces the limit.
    pub fn set(&mut self, limit_ms: u64, now: MonoTime) {
        if limit_ms < self.limit_ms {
            let has_settled = now >= self.shortened.plus_ms(self.limit_ms);
            self.former_ms =
                if has_settled { self.limit_ms } else { self.former_ms.max(self.limit_ms) };
            self.shortened = now;
        }
        self.limit_ms = limit_ms;
    }

    /// The limit in force.
    pub fn limit_ms(&self) -> u64 {
        self.limit_ms
    }

    /// When a connection is closed that has been idle since `since`.
    pub fn ends(&self, since: MonoTime) -> MonoTime {
        let by_this = since.max(self.shortened).plus_ms(self.limit_ms);
        let by_former = since.plus_ms(self.former_ms.max(self.limit_ms));
        by_this.min(by_former)
    }
}

/// What has happened on a caller's connection, from which follows when it may be closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerActivity {
    /// Requests whose answers have not ended.
    open_requests: u32,
    last_active: MonoTime,
    /// When the first byte of the next request's head arrived.
    head_began: Option<MonoTime>,
    /// Whether bytes wait to be sent.
    is_send_blocked: bool,
}

/// Why a caller's connection is closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Expiry {
    /// No request came within the idle limit.
    Idle,
    /// The head of a request did not arrive in time.
    Head,
}

impl CallerActivity {
    /// A connection that was accepted at `now`.
    pub fn new(now: MonoTime) -> Self {
        Self { open_requests: 0, last_active: now, head_began: None, is_send_blocked: false }
    }

    /// Bytes have arrived.
    pub fn received(&mut self, now: MonoTime) {
        self.last_active = now;
        if self.open_requests == 0 {
            self.head_began.get_or_insert(now);
        }
    }

    /// Bytes have been sent, or could not be sent yet.
    pub fn sent(&mut self, is_blocked: bool, now: MonoTime) {
        self.is_send_blocked = is_blocked;
        if !is_blocked {
            self.last_active = now;
        }
    }

    /// The head of a request has arrived whole.
    pub fn request_began(&mut self) {
        self.head_began = None;
        self.open_requests += 1;
    }

    /// The answer to a request has ended.
    pub fn answer_ended(&mut self, now: MonoTime) {
        self.open_requests = self.open_requests.saturating_sub(1);
        self.last_active = now;
    }

    /// Whether a request is open.
    pub fn is_busy(&self) -> bool {
        self.open_requests > 0
    }

    /// When the connection expires if nothing happens until then, and why. None while a request is
    /// open.
    pub fn expires(&self, idle: &IdleLimit, head_timeout_ms: u64) -> Option<(MonoTime, Expiry)> {
        if self.is_busy() || self.is_send_blocked {
            return None;
        }
        Some(match self.head_began {
            Some(began) => (began.plus_ms(head_timeout_ms), Expiry::Head),
            None => (idle.ends(self.last_active), Expiry::Idle),
        })
    }
}
