//! When this router last had word from the platform or from peers.

use samphirespread_core::prelude::*;

/// The latest instants at which a question was *sent* that got its answer.
///
/// Counting from the sending covers a pause between question and answer: whatever changed
/// after the question was sent may be missing from the answer.
///
/// ```
/// use samphirespread_core::prelude::*;
/// use samphirespread_membership::Contact;
///
/// let mut contact = Contact::new(1_000);
/// contact.platform_answered(MonoTime::from_ms(50));
/// assert!(!contact.is_stale(MonoTime::from_ms(1_050)));
/// assert!(contact.is_stale(MonoTime::from_ms(1_051)));
/// ```
#[derive(Clone, Copy, Debug)]
pub struct Contact {
    stale_after_ms: u64,
    last: MonoTime,
}

impl Contact {
    /// A contact that was fresh at the origin of time and counts as stale that long after the
    /// last answered question.
    pub fn new(stale_after_ms: u64) -> Self {
        Self { stale_after_ms, last: MonoTime::ZERO }
    }

    /// The platform has answered a question sent then.
    pub fn platform_answered(&mut self, sent: MonoTime) {
        self.last = self.last.max(sent);
    }

    /// Peers were asked at that instant, and some answered. Half of those asked is enough, so that
    /// one dead peer among two or three breaks nothing, and a router that is cut off with a
    /// minority notices.
    pub fn peers_answered(&mut self, sent: MonoTime, asked: usize, answered: usize) {
        if answered > 0 && 2 * answered >= asked {
            self.last = self.last.max(sent);
        }
    }

    /// There was no peer to ask. That keeps a contact alive through an outage of the platform, but
    /// never revives one: a router that was paused may have missed that there are peers now.
    pub fn no_peers(&mut self, now: MonoTime) {
        if !self.is_stale(now) {
            self.last = self.last.max(now);
        }
    }

    /// Time since the last answered question was sent.
    pub fn age_ms(&self, now: MonoTime) -> u64 {
        now.ms_since(self.last)
    }

    /// Whether what this router knows may be too old.
    pub fn is_stale(&self, now: MonoTime) -> bool {
        self.age_ms(now) > self.stale_after_ms
    }
}
