//! Decides by price and gain when a request is sent to another failure domain than the router's.
//!
//! Traffic between failure domains costs money, and a domain's own servers are sometimes too few.
//! The price of leaving is expressed in milliseconds, see [`TrafficTerms`]; the gain is the difference in
//! expected time between the best local and the best remote server, see [`select_engine`]. The share
//! of a service's requests that may leave follows the ratio of gain to price, see [`LeaveShare`].
//!
//! ```
//! use samphirespread_core::prelude::*;
//! use samphirespread_routing::domain_traffic::LeaveShare;
//!
//! let mut share = LeaveShare::default();
//! for number in 0..100 {
//!     share.observe(3.0, MonoTime::from_ms(number * 10));
//! }
//!
//! assert!((0.8..0.9).contains(&share.at(MonoTime::from_ms(1_000))));
//! ```
//!
//! Memory: one share for each service.

mod price;
mod selection;
mod share;

pub use self::{
    price::{ASSUMED_RESPONSE_BYTES, BYTES_PER_TOKEN, TrafficTerms},
    selection::{ChosenEngine, ChosenServer, select_engine, select_server},
    share::LeaveShare,
};
