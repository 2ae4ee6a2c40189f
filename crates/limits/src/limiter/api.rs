//! What goes into a limiter and what comes out.

use samphirespread_core::prelude::*;

use crate::message::{Holder, PeerMessage, PeerReply};

/// A team's limit over the whole fleet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TeamLimit {
    /// The team.
    pub team: TeamName,
    /// Tokens a second.
    pub rate_tokens_per_s: u64,
    /// Tokens at once.
    pub burst_tokens: u64,
}

/// A router in the live list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouterInfo {
    /// The router.
    pub holder: Holder,
    /// Where it runs.
    pub failure_domain: String,
    /// Whether it is about to go.
    pub leaving: bool,
}

/// Numbers a call of the platform within one run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Call(pub u64);

/// An object as the platform answered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ObjectState {
    /// There is no such object.
    Absent,
    /// The object.
    Present {
        /// Its version.
        version: u64,
        /// Its text.
        text: String,
    },
    /// No answer came in time, or an error.
    Unknown,
}

/// What became of a conditional write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// The object has this version now.
    Done {
        /// The new version.
        version: u64,
    },
    /// The object had another version.
    Conflict,
    /// No answer came in time, or an error. It may take effect, also later.
    Unknown,
}

/// What a limiter is told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// Time has passed.
    Tick,
    /// The limits in force, all teams.
    Limits(Vec<TeamLimit>),
    /// The routers in the live list, itself among them. Only as told by the platform.
    Live(Vec<RouterInfo>),
    /// A request wants to run.
    Admit {
        /// The caller's name for the request.
        ticket: u64,
        /// Its team.
        team: TeamName,
        /// What it may use at most.
        tokens: u64,
    },
    /// A granted request has ended.
    Refund {
        /// The request.
        ticket: u64,
        /// What it did not use.
        unused_tokens: u64,
    },
    /// Another router's limiter speaks.
    Message {
        /// Names the answer.
        exchange: u64,
        /// The message.
        message: PeerMessage,
    },
    /// Another router's limiter answers.
    Reply {
        /// The number of the sent message.
        exchange: u64,
        /// The answer.
        reply: PeerReply,
    },
    /// No answer came in time.
    Unanswered {
        /// The number of the sent message.
        exchange: u64,
    },
    /// A read has ended.
    Read {
        /// The call.
        call: Call,
        /// What was read.
        state: ObjectState,
    },
    /// A write has ended.
    Written {
        /// The call.
        call: Call,
        /// What became of it.
        outcome: WriteOutcome,
    },
    /// The process is to end: hand the shares back.
    Leave,
}

/// What a limiter wants done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// The request may run.
    Grant {
        /// The request.
        ticket: u64,
    },
    /// The request may not run.
    Refuse {
        /// The request.
        ticket: u64,
        /// Why.
        reason: RefuseReason,
    },
    /// Send a message to another router and report the answer, or that none came.
    Send {
        /// The number of the message within this run.
        exchange: u64,
        /// The receiver.
        to: Holder,
        /// The message.
        message: PeerMessage,
    },
    /// Answer a message.
    Reply {
        /// The message that is answered.
        exchange: u64,
        /// The answer.
        reply: PeerReply,
    },
    /// Read the object of a slot.
    Read {
        /// The call.
        call: Call,
        /// The slot.
        slot: u32,
    },
    /// Write the object of a slot if it has the expected version.
    Write {
        /// The call.
        call: Call,
        /// The slot.
        slot: u32,
        /// The expected version; `None` creates the object.
        expect: Option<u64>,
        /// The new text.
        text: String,
    },
    /// All shares are handed back after [`Event::Leave`].
    Left,
}

/// Why a request may not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[non_exhaustive]
pub enum RefuseReason {
    /// The team has used up its limit.
    OverLimit {
        /// When to come back.
        retry_after_ms: u64,
    },
    /// The request is larger than the team's whole burst. It can never run.
    ExceedsBurst {
        /// The burst.
        burst_tokens: u64,
    },
    /// The request is within the burst, but larger than what one router can gather of it.
    ExceedsReach {
        /// What can be gathered.
        reach_tokens: u64,
    },
    /// No such team.
    UnknownTeam,
}
