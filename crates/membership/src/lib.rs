//! Membership of instances, derived from the platform's list of live instances, which may be out of
//! date. Routers need no vote or other agreement for it.
//!
//! ```
//! use samphirespread_core::prelude::*;
//! use samphirespread_membership::{LiveView, Roles};
//! use samphirespread_platform::api::{LiveInstance, LiveList, LiveState, ObjectVersion, Role};
//!
//! let router = |name: &str, domain: &str| LiveInstance {
//!     name: InstanceName::new(name),
//!     role: Role::Router,
//!     address: "10.0.0.1:7300".to_owned(),
//!     admin: None,
//!     region: "khomas".to_owned(),
//!     failure_domain: domain.to_owned(),
//!     set: None,
//!     state: LiveState::Live,
//! };
//! let list = LiveList {
//!     version: ObjectVersion(7),
//!     instances: vec![router("r1", "d1"), router("r2", "d1"), router("r3", "d1")],
//! };
//!
//! let mut view = LiveView::default();
//! assert!(view.adopt(list));
//! let roles = Roles::of(view.list(), &InstanceName::new("r1"));
//! assert_eq!(roles.watchers_of("d1").len(), 2);
//! ```
//!
//! # Types
//!
//! - [`LiveView`] holds the latest live list and its last changes, so that a peer with an older
//!   list receives only the difference.
//! - [`Roles`] decides which routers read the platform (watchers) and which peers a router asks.
//!   Every router computes the same roles from the same list; where lists differ, a few more or
//!   fewer routers read the platform, which is harmless.
//! - [`Contact`] tracks whether a router's knowledge may be stale.
//! - [`Incarnations`] identifies messages that an earlier incarnation of a peer has sent.
//!
//! # Assumptions
//!
//! The live list may contain dead instances or lack new ones for an unlimited time. Safety doesn't
//! depend on it; it only determines which instances to ask. An instance's incarnation number rises
//! with each of its restarts and is never compared with another instance's.
//!
//! # Costs
//!
//! A view of 7,210 instances holds one list and the changes of the last [`MAX_CHANGES`] versions. A
//! router asks at most [`MAX_PEERS_PER_ROUND`] peers per round, whatever the size of the fleet.

mod contact;
mod incarnations;
mod roles;
mod view;

pub use crate::{
    contact::Contact,
    incarnations::Incarnations,
    roles::{MAX_PEERS_PER_ROUND, NOTIFIERS_PER_AGENT, Roles, WATCHERS_PER_DOMAIN},
    view::{LiveChange, LiveView, MAX_CHANGES},
};
