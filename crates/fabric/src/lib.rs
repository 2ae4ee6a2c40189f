//! Spreads what each process tells of itself to all routers, through relays in each failure domain.
//!
//! ```
//! use samphirespread_core::prelude::*;
//! use samphirespread_fabric::{Fabric, Member};
//!
//! let member = |name: &str, domain: &str| Member {
//!     name: InstanceName::new(name),
//!     failure_domain: domain.into(),
//!     capacity: 1.0,
//! };
//! let now = MonoTime::from_ms(1_000);
//! let mut near = Fabric::new(member("r1", "a"), Incarnation(1));
//! let mut far = Fabric::new(member("r2", "b"), Incarnation(1));
//! near.set_members([member("r2", "b")], now);
//! far.set_members([member("r1", "a")], now);
//!
//! near.publish(vec![7], now);
//! // Each asks the other one, which is the only relay of its failure domain.
//! far.asked(&InstanceName::new("r1"), near.asks(now)[0].1, true, now);
//! near.asked(&InstanceName::new("r2"), far.asks(now)[0].1, true, now);
//! let records = near.records_for(&InstanceName::new("r2"), now);
//! let news = far.received(&InstanceName::new("r1"), &records, now);
//!
//! assert_eq!(news.fresh[0].payload, [7]);
//! ```
//!
//! A process that publishes has one record, which a newer one replaces; only the publisher writes it. A
//! record carries its age, so a receiver knows how old its belief is, whichever way it came.
//!
//! # Who sends what to whom
//!
//! Every router ranks the routers of a failure domain in the same way. The first of them that answer are
//! its relays: nobody is elected and nothing is stored. A router sends its own record to the relays of its
//! domain and asks one of them for everything; a router that acts as a relay asks one relay of each other
//! domain for what is known first-hand there. A router serves whoever asked it lately, so two opinions on
//! who relays cost messages and nothing else.
//!
//! # Costs
//!
//! For `n` routers in `d` domains a router that doesn't relay has two links, a relay about
//! `n / d + 2 d`. Each record crosses from one domain to another once for each relay.
//!
//! # Limits
//!
//! Records are not authenticated. Nothing is sent again when a datagram is lost: the publisher's next
//! record replaces it, so publishers that want a change to arrive tell it in several records.

mod fabric;
mod link;
mod record;
mod relays;

pub use crate::{
    fabric::{Fabric, Fresh, News},
    link::Asks,
    record::{Origin, Record},
    relays::{Member, RELAYS, precedes},
};
