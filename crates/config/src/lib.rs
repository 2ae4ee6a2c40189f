//! Configuration documents: teams, keys, rates, routes and sets of backend servers.
//!
//! ```
//! use samphirespread_config::{ConfigBuilder, RouteBuilder, SetBuilder, TeamBuilder};
//!
//! let config = ConfigBuilder::new()
//!     .team(TeamBuilder::new("desk").rate_tokens_per_s(20_000).burst_tokens(200_000))
//!     .set(SetBuilder::new("drafting"))
//!     .route(RouteBuilder::model("drafts", "ledger", "2026-11").team("desk").set("drafting"))
//!     .build()
//!     .unwrap();
//!
//! print!("{}", config.to_text());
//! ```
//!
//! An operator's program builds a [`Config`] and prints it as documents, one per line, in
//! canonical form: sorted objects, sorted fields, no spaces. Equal configurations have equal
//! texts. The command-line tool checks the documents and submits the difference from the active
//! configuration.
//!
//! # Storage
//!
//! The platform stores a configuration as one [`Head`] with an increasing generation and
//! immutable [sections] named by their SHA-256. Keys and teams are sharded over many sections by
//! hash, so revoking one key changes only one small section and the head.
//!
//! # Submitting
//!
//! A [`Submission`] writes a change to the head by compare-and-swap and copes with concurrent
//! submissions and lost responses. It performs no I/O: the caller executes its [`Action`]s and
//! reports the resulting [`Event`]s.
//!
//! # Serving
//!
//! A router assembles a [`Snapshot`] from a head and its sections. Looking up a key, a team, a
//! route or a set takes constant time, or time proportional to the depth of a path. Assembling
//! parses and validates all documents again.
//!
//! # Limits
//!
//! A section has at most [`MAX_SECTION_BYTES`] bytes. Old sections are never deleted.

mod apply;
mod build;
mod change;
mod document;
mod error;
mod key;
pub mod model;
mod schema;
mod section;
mod snapshot;
mod validate;

pub use crate::{
    apply::{Action, Applied, ApplyError, Event, MAX_RECENT_SUBMISSIONS, StoredHead, Submission},
    build::{ConfigBuilder, KeyBuilder, RouteBuilder, SetBuilder, TeamBuilder},
    change::{Change, Changes},
    document::{Document, ObjectKind, ObjectName, parse_documents},
    error::{ConfigError, ConfigErrors},
    key::{KeyText, key_digest},
    model::{Access, BackendSet, Config, Head, Key, Route, RouteTarget, Team},
    section::{MAX_SECTION_BYTES, section_hash, section_object, sections},
    snapshot::{Snapshot, SnapshotError},
};

/// The key of the platform object that stores the [`Head`].
pub const HEAD_OBJECT: &str = "config/head";
