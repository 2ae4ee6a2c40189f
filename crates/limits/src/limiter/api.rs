//! The events that a limiter takes and the actions that it returns.

use samphirespread_core::prelude::*;

use crate::message::{Holder, PeerMessage, PeerReply};

/// A team's limit over the whole fleet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TeamLimit {
    /// The team.
    pub team: TeamName,
    /// Tokens added per second.
    pub rate_tokens_per_s: u64,
    /// The most tokens that can be used at once.
    pub burst_tokens: u64,
}

/// A router in the live list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouterInfo {
    /// The router's name and address.
    pub holder: Holder,
    /// The failure domain that it runs in.
    pub failure_domain: String,
    /// Whether it is shutting down.
    pub leaving: bool,
}

/// Identifies a platform call within one run of the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Call(pub u64);

/// The result of reading an object from the platform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ObjectState {
    /// The object does not exist.
    Absent,
    /// The object exists.
    Present {
        /// Its version.
        version: u64,
        /// Its content.
        text: String,
    },
    /// The read failed or timed out.
    Unknown,
}

/// The result of a conditional write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// The write succeeded.
    Done {
        /// The new version of the object.
        version: u64,
    },
    /// The object did not have the expected version, so nothing was written.
    Conflict,
    /// The write failed or timed out. It may have taken effect, or may still do so later.
    Unknown,
}

/// An input of the limiter.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// Time has passed. Sent at the latest at [`Limiter::next_tick`](crate::Limiter::next_tick).
    Tick,
    /// The limits now in force, for all teams.
    Limits(Vec<TeamLimit>),
    /// The routers in the live list, including this one. Sent only when the platform has just
    /// reported or confirmed the list, since a missing router counts as absent from then on.
    LiveList(Vec<RouterInfo>),
    /// A request asks for admission.
    Admit {
        /// The caller's identifier for the request.
        ticket: u64,
        /// The team that is charged.
        team: TeamName,
        /// The most tokens that the request can use.
        tokens: u64,
    },
    /// A granted request has finished.
    Refund {
        /// The identifier of the request.
        ticket: u64,
        /// The charged tokens that it did not use.
        unused_tokens: u64,
    },
    /// A message from another router's limiter has arrived.
    Message {
        /// Identifies the message; the reply carries the same number.
        exchange: u64,
        /// The message.
        message: PeerMessage,
    },
    /// A reply from another router's limiter has arrived.
    Reply {
        /// The number of the message that was sent.
        exchange: u64,
        /// The reply.
        reply: PeerReply,
    },
    /// No reply came in time. A late one may still follow.
    Unanswered {
        /// The number of the message that was sent.
        exchange: u64,
    },
    /// A read has finished.
    Read {
        /// The call that has finished.
        call: Call,
        /// The result.
        state: ObjectState,
    },
    /// A write has finished.
    Written {
        /// The call that has finished.
        call: Call,
        /// The result.
        outcome: WriteOutcome,
    },
    /// The process is shutting down and must hand its shares to other routers.
    Leave,
}

/// An output of the limiter, which the caller carries out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Admit a request.
    Grant {
        /// The identifier of the request.
        ticket: u64,
    },
    /// Refuse a request.
    Refuse {
        /// The identifier of the request.
        ticket: u64,
        /// The reason.
        reason: RefuseReason,
    },
    /// Send a message to another router, and report the reply or that none came.
    Send {
        /// The number of the message, unique within this run.
        exchange: u64,
        /// The receiver.
        to: Holder,
        /// The message.
        message: PeerMessage,
    },
    /// Reply to a message.
    Reply {
        /// The number of the message that is answered.
        exchange: u64,
        /// The reply.
        reply: PeerReply,
    },
    /// Read the object of a slot.
    Read {
        /// The number to report the result under.
        call: Call,
        /// The slot.
        slot: u32,
    },
    /// Write the object of a slot if it has the expected version.
    Write {
        /// The number to report the result under.
        call: Call,
        /// The slot.
        slot: u32,
        /// The expected version; `None` creates the object.
        expect: Option<u64>,
        /// The new content.
        text: String,
    },
    /// All shares have been handed to other routers after [`Event::Leave`].
    LeaveFinished,
}

/// The reason why a request is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[non_exhaustive]
pub enum RefuseReason {
    /// The team has used up its limit for now.
    OverLimit {
        /// The time after which a retry may succeed.
        retry_after_ms: u64,
    },
    /// The request is larger than the team's whole burst, so it can never be admitted.
    ExceedsBurst {
        /// The team's burst.
        burst_tokens: u64,
    },
    /// The request is within the burst, but larger than the part of it that one router can gather.
    ExceedsReach {
        /// The most tokens that this router can gather.
        reach_tokens: u64,
    },
    /// The team is not in the limits in force.
    UnknownTeam,
}
