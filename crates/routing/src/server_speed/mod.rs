//! The speed of servers, as far as their responses state it, in the choice of a server.
//!
//! Servers share their machines with other workloads. Responses of some services state how long work
//! currently takes on that machine ([`Pace`]). A router keeps the stated values of each server
//! ([`PaceHistory`]), so that it can predict the pace until the next response.
//!
//! Routers get the same values from the same server. If each chose the server with the lowest cost,
//! all would choose the same one until its next response. Therefore [`choose_server`] draws two
//! servers by the request's id and chooses the cheaper one of them.
//!
//! ```
//! use samphirespread_core::prelude::*;
//! use samphirespread_routing::{
//!     choice::ServerView,
//!     server_speed::{Draws, Pace, PacedServer, choose_server},
//! };
//!
//! let view = ServerView { is_near: true, is_avoided: false, load: 2, slots: 6 };
//! let server = |percent| {
//!     Some(PacedServer { view, own_load: 0, pace: Pace::from_percent(percent) })
//! };
//! let servers = [server(1_000.0), server(100.0)];
//! let first = (0..1_000).filter(|number| {
//!     let draws = Draws::of_request(&format!("request {number}"), MonoTime::ZERO);
//!     choose_server(&servers, draws) == Some(0)
//! });
//!
//! assert!(first.count() < 50);
//! ```
//!
//! Memory: one history for each server, of constant size. Running time: a constant number of passes over
//! the servers of a service.

mod draws;
mod engine_memory;
mod history;
mod pace;
mod plain_servers;

pub(crate) use self::engine_memory::is_full_for;
pub use self::{
    draws::{Draws, draw},
    history::PaceHistory,
    pace::Pace,
    plain_servers::{PacedServer, choose_server},
};
