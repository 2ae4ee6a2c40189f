//! A fair queue in front of one engine: the team served least comes next.
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
//! // The small team has been served less, so it passes the large team's backlog.
//! assert_eq!(queue.pop(now.plus_ms(10)).unwrap().item, "small 1");
//! ```
//!
//! # Order of service
//!
//! Each team has a virtual token counter: the tokens it was served, divided by
//! its weight. [`Queue::pop`] takes the team with the least counter among those
//! with waiting entries. The estimated cost is charged at the pop and corrected
//! by [`Queue::complete`], so an overestimate doesn't cost a team its share.
//!
//! A team that returns from idle is lifted to the least counter among the waiting
//! teams, less a bounded credit ([`Config::idle_credit_tokens`]). It can't save
//! up an idle hour, but a short burst passes a team that is always waiting.
//!
//! Inside a team the lower priority value runs first. Each priority level is worth
//! [`Config::ageing_ms`] of waiting, so the head start of urgent entries is bounded. Priority
//! has no effect between teams.
//!
//! Running entries are not preempted, so a team that always waits would fill every slot
//! that falls free, and the others would find none on arrival. A team that asks
//! for a multiple of what the others ask for ([`Config::excess_factor`], relative to weights) therefore
//! leaves free the slots that the others used on average, and some for their variation
//! ([`Config::reserve_deviations`]). Its weighted share of the slots is always open to it, and
//! where the others are idle nothing is reserved.
//!
//! # Bounds
//!
//! An entry waits at most its limit and is then returned by [`Queue::expire`] with the
//! time to come back. The queue holds at most [`Config::max_len`] entries and
//! [`Config::max_bytes`]. When it is
//! full, a team below its weighted part of the length displaces the last entry of the
//! team that is furthest above its own part; any other team is refused. A flood by one team
//! therefore never uses up the room of the others.
//!
//! # Costs
//!
//! Every call is logarithmic in the entries of a team and in the waiting teams, but for
//! a push onto a full queue, which looks at each team once. The memory is
//! proportional to the waiting and running entries plus the teams that were seen
//! within [`Config::forget_ms`].
//!
//! # Limits
//!
//! Entries are not preempted once they run. The counter of a team that was forgotten starts
//! again at the lift of a new team.
//!
//! The crate has no clock: callers pass the current [`MonoTime`] with each event.
//!
//! [`MonoTime`]: samphirespread_core::time::MonoTime

mod config;
mod estimate;
mod queue;

pub use crate::{
    config::Config,
    queue::{Admission, DropCause, Dropped, Error, Popped, Queue, Rejected, Ticket},
};
