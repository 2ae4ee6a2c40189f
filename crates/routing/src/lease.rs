//! The lease on orders to engines that have no process beside them.
//!
//! One object in the store names the holder. Every write of it is conditional on its revision, so one holder
//! follows another. No clocks are compared: a holder counts its term from the start of a write that was
//! answered, and a router that wants the lease takes it once the object has not changed for longer than a
//! term since the end of the read that showed it. A write without an answer may take effect late: it then
//! changes the revision, so nobody takes over from before it.
//!
//! The epoch rises with every holder and is the fencing token of its orders. A new holder rests for one more
//! term, so that orders of two holders never come close to each other.
//!
//! ```
//! use samphirespread_core::prelude::*;
//! use samphirespread_routing::lease::{Call, Lease, LeaseTimes};
//!
//! let times = LeaseTimes { term_ms: 3_000, order_ms: 500 };
//! let mut lease = Lease::new(InstanceName::new("r1"), times);
//! let now = MonoTime::from_ms(10_000);
//!
//! assert_eq!(lease.next_call(now), Some(Call::Read));
//! lease.missing();
//! let Some(Call::Create(record)) = lease.next_call(now) else { panic!() };
//! lease.written(1, &record, now, now);
//!
//! assert_eq!(lease.permit(now), None);
//! assert_eq!(lease.permit(now.plus_ms(1_000)), None);
//! ```
//!
//! Cost: one conditional write for each half of a term, however many engines there are.

use samphirespread_core::prelude::*;
use serde::{Deserialize, Serialize};
use statig::{blocking::StateMachine, prelude::*};

/// Writes in one term.
const RENEWALS_A_TERM: u64 = 2;
/// Time between two looks at another holder's lease.
const LOOK_MS: u64 = 500;
/// Clocks of two machines run alike to one part in this many.
const CLOCK_RATE_PARTS: u64 = 20;

/// Bits of a fencing token that tell the version; all of it is an exact number in JSON.
const VERSION_BITS: u32 = 32;

/// The times of a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseTimes {
    /// How long a holder may order after the start of a write that was answered.
    pub term_ms: u64,
    /// The longest time between the decision to give an order and its arrival.
    pub order_ms: u64,
}

impl LeaseTimes {
    /// An object that has not changed for this long belongs to nobody.
    fn vacant_after_ms(self) -> u64 {
        self.term_ms + self.term_ms / CLOCK_RATE_PARTS
    }
}

/// What lies in the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRecord {
    /// The router that holds the lease.
    pub holder: InstanceName,
    /// Rises with every holder.
    pub epoch: u64,
    /// Rises with every write of one holder.
    pub renewals: u64,
}

/// Who gives an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Orderer {
    /// The holder of the lease.
    Holder,
    /// The process beside the engine, which is the only one that orders while it is there.
    Sidecar,
}

/// The fencing token of an order, which rises with the epoch, from its holder to the sidecars that take their
/// engines back, and with the version.
pub fn fencing_token(epoch: u64, orderer: Orderer, version: u64) -> u64 {
    let turn = 2 * epoch + u64::from(orderer == Orderer::Sidecar);
    (turn << VERSION_BITS) | (version & ((1 << VERSION_BITS) - 1))
}

/// A call to the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Call {
    /// Read the object.
    Read,
    /// Create the object, if there is none.
    Create(LeaseRecord),
    /// Replace the object, if it is at that revision.
    Replace {
        /// The revision that was read or written last.
        revision: u64,
        /// What to write.
        record: LeaseRecord,
    },
}

/// One router's view of the lease.
pub struct Lease {
    machine: StateMachine<View>,
    /// When the last call began.
    called: Option<MonoTime>,
}

impl std::fmt::Debug for Lease {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let mut shown = f.debug_struct("Lease");
        shown.field("view", self.machine.inner()).field("state", self.machine.state()).finish()
    }
}

#[derive(Debug)]
struct View {
    own: InstanceName,
    times: LeaseTimes,
}

enum Event<'a> {
    Found { revision: u64, record: &'a LeaseRecord, now: MonoTime },
    Missing,
    Written { revision: u64, record: &'a LeaseRecord, began: MonoTime, now: MonoTime },
    Lost,
}

#[state_machine(initial = "State::unknown()", state(derive(Debug)), visibility = "pub(crate)")]
impl View {
    /// Nothing is known of the object.
    #[state]
    fn unknown(&mut self, event: &Event<'_>) -> statig::Outcome<State> {
        self.look(event)
    }

    /// There is no object.
    #[state]
    fn absent(&mut self, event: &Event<'_>) -> statig::Outcome<State> {
        self.look(event)
    }

    /// The object has been at that revision since then at the latest.
    #[state]
    fn watching(
        &mut self,
        revision: &mut u64,
        epoch: &mut u64,
        since: &mut MonoTime,
        event: &Event<'_>,
    ) -> statig::Outcome<State> {
        let _ = (epoch, since);
        match event {
            Event::Found { revision: found, .. } if found == revision => Handled,
            _ => self.look(event),
        }
    }

    /// This router holds the lease.
    #[state]
    fn holding(&mut self, held: &mut Held, event: &Event<'_>) -> statig::Outcome<State> {
        match event {
            Event::Written { revision, record, began, .. } => {
                held.revision = *revision;
                held.record = (*record).clone();
                held.confirmed = *began;
                held.is_unsure = false;
                Handled
            }
            Event::Found { revision, record, .. } if held.record.is_of_one_holding(record) => {
                // A write without an answer has taken effect; it doesn't prolong the term.
                held.revision = *revision;
                held.record = (*record).clone();
                held.is_unsure = false;
                Handled
            }
            Event::Lost => {
                held.is_unsure = true;
                Handled
            }
            _ => self.look(event),
        }
    }
}

impl View {
    fn look(&self, event: &Event<'_>) -> statig::Outcome<State> {
        match event {
            Event::Found { revision, record, now } => {
                Transition(State::watching(*revision, record.epoch, *now))
            }
            Event::Missing => Transition(State::absent()),
            Event::Written { revision, record, began, now } => {
                let quiet_ms = self.times.vacant_after_ms() + self.times.order_ms;
                let orders_from = now.plus_ms(quiet_ms);
                let (revision, record, confirmed) = (*revision, (*record).clone(), *began);
                let held = Held { revision, record, confirmed, orders_from, is_unsure: false };
                Transition(State::holding(held))
            }
            // Another one has written meanwhile, or nobody knows whether this router has.
            Event::Lost => Transition(State::unknown()),
        }
    }
}

/// What a holder knows.
#[derive(Clone, Debug)]
pub(crate) struct Held {
    revision: u64,
    record: LeaseRecord,
    /// When the last write that was answered began.
    confirmed: MonoTime,
    /// The holder before this one may have ordered until shortly before that.
    orders_from: MonoTime,
    /// Whether a write may have taken effect without this router's knowledge.
    is_unsure: bool,
}

impl Lease {
    /// A router that has not looked at the object.
    pub fn new(own: InstanceName, times: LeaseTimes) -> Self {
        Self { machine: View { own, times }.state_machine(), called: None }
    }

    /// The call to make now, for a router that wants the lease.
    pub fn next_call(&mut self, now: MonoTime) -> Option<Call> {
        let View { own, times } = self.machine.inner();
        let may_look = self.called.is_none_or(|called| now.ms_since(called) >= LOOK_MS);
        let look = may_look.then_some(Call::Read);
        let call = match self.machine.state() {
            State::Unknown {} => look,
            State::Absent {} => Some(Call::Create(LeaseRecord::first(own, 1))),
            State::Watching { revision, epoch, since } => {
                if now.ms_since(*since) > times.vacant_after_ms() {
                    let record = LeaseRecord::first(own, epoch + 1);
                    Some(Call::Replace { revision: *revision, record })
                } else {
                    look
                }
            }
            State::Holding { held } if held.is_unsure => look,
            State::Holding { held } => {
                let is_due = now.ms_since(held.confirmed) >= times.term_ms / RENEWALS_A_TERM;
                let (revision, record) = (held.revision, held.record.renewed());
                is_due.then_some(Call::Replace { revision, record })
            }
        };
        if call.is_some() {
            self.called = Some(now);
        }
        call
    }

    /// A read that ended now showed the object.
    pub fn found(&mut self, revision: u64, record: &LeaseRecord, now: MonoTime) {
        self.machine.handle(&Event::Found { revision, record, now });
    }

    /// A read showed that there is no object.
    pub fn missing(&mut self) {
        self.machine.handle(&Event::Missing);
    }

    /// A write that began then took effect, and its answer came now.
    pub fn written(&mut self, revision: u64, record: &LeaseRecord, began: MonoTime, now: MonoTime) {
        self.machine.handle(&Event::Written { revision, record, began, now });
    }

    /// A call was refused or not answered.
    pub fn lost(&mut self) {
        self.machine.handle(&Event::Lost);
    }

    /// The epoch of orders that are given now and arrive within the time for an order. None when this router
    /// may not order.
    pub fn permit(&self, now: MonoTime) -> Option<u64> {
        let (from, until) = self.permit_ends()?;
        (from <= now && now < until).then(|| self.epoch()).flatten()
    }

    /// From when and until when orders may be given.
    pub fn permit_ends(&self) -> Option<(MonoTime, MonoTime)> {
        let State::Holding { held } = self.machine.state() else { return None };
        let times = self.machine.inner().times;
        let until = held.confirmed.plus_ms(times.term_ms.saturating_sub(times.order_ms));
        Some((held.orders_from, until))
    }

    /// The epoch under which this router holds the lease, whether or not it may order now.
    pub fn epoch(&self) -> Option<u64> {
        match self.machine.state() {
            State::Holding { held } => Some(held.record.epoch),
            _ => None,
        }
    }
}

impl LeaseRecord {
    fn first(holder: &InstanceName, epoch: u64) -> Self {
        Self { holder: holder.clone(), epoch, renewals: 0 }
    }

    fn renewed(&self) -> Self {
        Self { renewals: self.renewals + 1, ..self.clone() }
    }

    /// Whether both were written while the same router held the lease without a break.
    fn is_of_one_holding(&self, other: &Self) -> bool {
        (&self.holder, self.epoch) == (&other.holder, other.epoch)
    }
}
