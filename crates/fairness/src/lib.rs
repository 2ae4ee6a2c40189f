//! A fair queue of the requests that wait for one engine.
//!
//! Each request belongs to a team. The team that was served least, relative to its weight, is
//! served next.
//!
//! ```
//! use samphirespread_core::prelude::*;
//! use samphirespread_fairness::{Admission, Config, Queue};
//!
//! let mut queue = Queue::new(Config::new(1));
//! let now = MonoTime::ZERO;
//! let (large, small) = (TeamName::new("large"), TeamName::new("small"));
//! for item in ["large 1", "large 2", "large 3"] {
//!     queue.push(now, &Admission::new(&large, 100).cost_tokens(2_000), item).unwrap();
//! }
//!
//! let first = queue.pop(now).unwrap();
//! assert_eq!(first.item, "large 1");
//! queue.push(now, &Admission::new(&small, 100).cost_tokens(2_000), "small 1").unwrap();
//! queue.complete(now.plus_ms(10), first.ticket, 2_000);
//!
//! // The small team has been served less, so it is served before the rest of the large team.
//! assert_eq!(queue.pop(now.plus_ms(10)).unwrap().item, "small 1");
//! ```
//!
//! # Order of service
//!
//! Each team has a virtual token counter, which is the number of tokens it was served divided by
//! its weight. [`Queue::pop`] serves the team with the lowest counter among those with waiting
//! entries. It charges the estimated cost of the entry, and [`Queue::complete`] replaces the
//! estimate by the actual cost, so an overestimate doesn't reduce a team's share.
//!
//! When a team without waiting entries pushes one, its counter is raised to at least the lowest
//! counter among the waiting teams, minus a bounded credit ([`Config::idle_credit_tokens`]). A team
//! therefore can't accumulate a claim to service while it is idle, but a short burst is served
//! ahead of a team that always has waiting entries.
//!
//! Within a team, entries with a lower priority value run first. Each priority level is
//! equivalent to [`Config::ageing_ms`] of waiting, so the head start of urgent entries is bounded.
//! Priority has no effect between teams.
//!
//! Running entries are not preempted, so a team that always has waiting entries would occupy every
//! slot as it becomes free, and other teams would find no free slot on arrival. A team whose
//! demand is a multiple of the demand of the others ([`Config::excess_factor`], relative to
//! weights) therefore leaves free the slots that the others used on average, plus a margin for
//! the variation of their use ([`Config::reserve_deviations`]). A team may always use its
//! weighted share of the slots. Unless [`Config::reserved_slots`] is set, no slot is reserved
//! for teams that have long been idle.
//!
//! # Bounds
//!
//! An entry that exceeds its maximum waiting time is dropped. [`Queue::take_dropped`] returns it
//! together with the time after which the caller should retry. The queue holds at most
//! [`Config::max_len`] entries and [`Config::max_bytes`]. When it is full, a team below its
//! weighted share of the queue displaces the last entry of the team that is furthest above its
//! own share. The entries of any other team are refused. A flood by one team therefore can't use
//! up the space of the others.
//!
//! # Costs
//!
//! Most calls take logarithmic time in the number of entries and teams. [`Queue::wait_ms`] and
//! each displacement on a full queue visit every team. [`Queue::pop`] visits the waiting teams in
//! order of their counters until it finds one that may use a slot. The memory is proportional to
//! the waiting and running entries plus the teams that were seen within [`Config::forget_ms`].
//!
//! # Limits
//!
//! Running entries are not preempted. A forgotten team that returns starts with the counter of a
//! new team.
//!
//! The crate has no clock. Callers pass the current [`MonoTime`] with each event.
//!
//! [`MonoTime`]: samphirespread_core::time::MonoTime

mod config;
mod estimate;
mod queue;

pub use crate::{
    config::Config,
    queue::{Admission, DropCause, Dropped, Error, Popped, Queue, Rejected, Ticket},
};
