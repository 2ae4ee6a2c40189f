//! Team limits over all routers: conserved shares and borrowing.
//!
//! A team's rate and burst belong to the fleet, not to one router. A few routers
//! hold *shares* of them, written down in an object of the platform. Every other
//! router borrows *lumps* from the holders. Over any window the fleet admits at
//! most the rate times the window plus the burst, whatever is lost, late or doubled.
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
//! # How it is driven
//!
//! [`Limiter`] is a state machine without sockets, clocks, tasks or randomness.
//! The caller gives it an [`Event`] with the current instant, and carries out the
//! [`Action`]s that it returns: answer a request, send a message to another
//! router, read or conditionally write an object. Every call may be lost and
//! every answer may come late, doubled or not at all.
//!
//! # Costs
//!
//! An admission from the router's own share is a few additions. A router without
//! a share exchanges one message with each holder when its lumps run out.
//! Memory is one bucket per team, one entry per running request and one per lump.
//!
//! # Limits
//!
//! At most half of a share's burst is lent at a time, so a request that needs
//! more than the reachable part of the burst is refused for good; see
//! [`RefuseReason::ExceedsReach`]. A change of a team's rate or burst holds from
//! the moment each router learns of it.

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
