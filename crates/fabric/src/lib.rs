//! Distributes the records that processes publish to all routers, through relays in each failure
//! domain.
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
//! // Each requests records from the other one, which is the only relay of its failure domain.
//! far.handle_request(&InstanceName::new("r1"), near.requests(now)[0].1, true, now);
//! near.handle_request(&InstanceName::new("r2"), far.requests(now)[0].1, true, now);
//! let records = near.records_for(&InstanceName::new("r2"), now);
//! let received = far.receive_records(&InstanceName::new("r1"), &records, now);
//!
//! assert_eq!(received.newer[0].payload, [7]);
//! ```
//!
//! Each publishing process has one record. Only the publisher writes it, and a newer one replaces
//! it. A record carries its age, so a receiver knows how old it is, whatever path it took.
//!
//! # Message flow
//!
//! Every router ranks the routers of a failure domain in the same way. The first of them that
//! answer are its relays; there is no election and no stored state. A router sends its own record
//! to the relays of its domain and requests all records from one of them. A relay requests from one
//! relay of each other domain the records that come from that domain. A router serves every router
//! that has recently sent it a request, so if routers disagree about the relays, the only cost is
//! additional messages.
//!
//! # Costs
//!
//! For `n` routers in `d` domains a router that doesn't relay has two links, a relay about `n / d +
//! 2 d`. Each record crosses from one domain to another once for each relay.
//!
//! # Limits
//!
//! Records are not authenticated. Lost datagrams are not sent again: the publisher's next record
//! replaces the lost one, so publishers include a change in several records if it must arrive.

mod fabric;
mod link;
mod record;
mod relays;

pub use crate::{
    fabric::{Fabric, NewerRecord, ReceivedRecords},
    link::RecordRequest,
    record::{Origin, Record},
    relays::{Member, RELAYS, precedes},
};
