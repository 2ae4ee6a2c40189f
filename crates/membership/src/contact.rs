//! Tracks when the platform or peers last confirmed what this router knows.

use samphirespread_core::prelude::*;

/// The time at which the latest answered query to the platform or to peers was *sent*.
///
/// The age counts from the sending of the query, since changes made after that may be missing from
/// the response.
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
    last_sent: MonoTime,
}

impl Contact {
    /// Creates a contact that was fresh at [`MonoTime::ZERO`] and is stale once the last answered
    /// query is older than `stale_after_ms`.
    pub fn new(stale_after_ms: u64) -> Self {
        Self { stale_after_ms, last_sent: MonoTime::ZERO }
    }

    /// Records that the platform answered a query sent at `sent`.
    pub fn platform_answered(&mut self, sent: MonoTime) {
        self.last_sent = self.last_sent.max(sent);
    }

    /// Records that `answered` of the `asked` peers answered a query sent at `sent`.
    ///
    /// This counts as contact if at least half of them answered: one dead peer among two or three
    /// does no harm, and a router that can reach only a minority of its peers becomes stale.
    pub fn peers_answered(&mut self, sent: MonoTime, asked: usize, answered: usize) {
        if answered > 0 && 2 * answered >= asked {
            self.last_sent = self.last_sent.max(sent);
        }
    }

    /// Records that there was no peer to ask at `now`.
    ///
    /// This keeps a fresh contact fresh during an outage of the platform. It doesn't make a stale
    /// contact fresh: a router that was paused may not know of peers that have appeared since.
    pub fn no_peers(&mut self, now: MonoTime) {
        if !self.is_stale(now) {
            self.last_sent = self.last_sent.max(now);
        }
    }

    /// Returns the time since the last answered query was sent, in milliseconds.
    pub fn age_ms(&self, now: MonoTime) -> u64 {
        now.ms_since(self.last_sent)
    }

    /// Returns whether this router's knowledge may be too old.
    pub fn is_stale(&self, now: MonoTime) -> bool {
        self.age_ms(now) > self.stale_after_ms
    }
}
