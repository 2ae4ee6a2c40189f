//! Membership between instances, from the platform's lagging live list, without a vote.
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
//! # Parts
//!
//! - [`LiveView`] holds the latest live list and the last changes, so that a peer that lags gets
//!   only what it lacks.
//! - [`Roles`] says who watches the platform and whom a router asks. Every router computes the same
//!   roles from the same list; where lists differ, a few more or fewer routers watch, which is
//!   harmless.
//! - [`Contact`] says when a router's knowledge may be stale.
//! - [`Incarnations`] drops what an earlier run at an address still sends.
//!
//! # Assumptions
//!
//! The live list lags, and it may keep dead instances or lack new ones for as long as it likes. Nothing
//! here relies on it for safety: it only says whom to ask. A run number rises from run to run of one
//! instance and is never compared with another instance's.
//!
//! # Costs
//!
//! A view of 7,210 instances holds one list and the changes of the last [`MAX_CHANGES`] versions. A router
//! asks at most [`MAX_ASKED`] peers a round, whatever the size of the fleet.

mod contact;
mod incarnations;
mod roles;
mod view;

pub use crate::{
    contact::Contact,
    incarnations::Incarnations,
    roles::{MAX_ASKED, Roles, TELLERS_PER_AGENT, WATCHERS_PER_DOMAIN},
    view::{LiveChange, LiveView, MAX_CHANGES},
};
