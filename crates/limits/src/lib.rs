//! Enforces team limits over all routers, by conserved shares and by borrowing.
//!
//! A team's rate and burst apply to the whole fleet of routers. A few routers, the
//! *holders*, each own a *share* of them, which is recorded in an object on the
//! platform. Every other router borrows tokens from the holders, in batches called
//! *lumps*. Over any window the fleet admits at most the rate times the window plus
//! the burst, even if messages are lost, delayed or duplicated.
//!
//! ```
//! use samphirespread_core::prelude::*;
//! use samphirespread_limits::{Event, Holder, Limiter, LimitsConfig, TeamLimit};
//!
//! let me = Holder { name: InstanceName::new("r1"), address: "10.0.0.1:7000".to_owned() };
//! let mut limiter = Limiter::new(LimitsConfig::new(), me, Incarnation(1), MonoTime::ZERO);
//! let team = TeamName::new("reclaim");
//! let limit = TeamLimit { team: team.clone(), rate_tokens_per_s: 1_000, burst_tokens: 5_000 };
//! limiter.handle(MonoTime::ZERO, Event::Limits(vec![limit]));
//!
//! let actions = limiter.handle(MonoTime::ZERO, Event::Admit { ticket: 1, team, tokens: 10_000 });
//!
//! assert_eq!(actions.len(), 1, "a request above the whole burst is refused at once");
//! ```
//!
//! # Usage
//!
//! [`Limiter`] is a state machine without sockets, clocks, tasks or randomness.
//! The caller passes it an [`Event`] with the current time, and carries out the
//! [`Action`]s that it returns: answer a request, send a message to another
//! router, read or conditionally write an object. Any call may be lost, and any
//! answer may arrive late, more than once or not at all.
//!
//! # Costs
//!
//! An admission from the router's own share takes a few additions. A router without
//! a share exchanges one message with each holder when its lumps run out.
//! The limiter stores one bucket per team, one entry per running request and one
//! per lump.
//!
//! # Limits
//!
//! At most half of a share's burst is lent at a time, so a request that needs
//! more than the tokens that one router can gather is refused permanently; see
//! [`RefuseReason::ExceedsReach`]. A change of a team's rate or burst takes effect
//! on each router when that router learns of it.

pub use crate::{
    amount::{Amount, PARTS},
    config::LimitsConfig,
    error::LimitsError,
    limiter::{
        Action, Call, Event, Limiter, ObjectState, RefuseReason, RouterInfo, SlotDump, Snapshot,
        TeamDump, TeamLimit, WriteOutcome,
    },
    message::{
        Holder, LumpId, PeerAnswer, PeerMessage, PeerReply, PeerRequest, Settlement, ShareTerm,
        Term,
    },
    table::{Share, ShareTable, slot_of, table_key},
};

#[doc(hidden)]
pub use crate::config::Mechanisms;

mod amount;
mod bucket;
mod config;
mod error;
mod limiter;
mod lump;
mod message;
mod table;
