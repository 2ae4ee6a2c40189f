//! The lease that allows one router at a time to give orders to engines without a sidecar process.
//!
//! One object in the store names the holder. Every write of the object is conditional on its
//! position, so there is one holder after another. Clocks of different machines are never compared:
//! a holder counts its term from the start of its last successful write, and another router takes
//! the lease once the object has not changed for longer than a term since the end of the read that
//! first returned this position. A write without a response may take effect late. It then changes
//! the position, so a takeover that is based on the previous position fails.
//!
//! The epoch rises with every holder and serves as the fencing token of its orders. A new holder
//! waits for one more term before its first order, so that orders of two holders are never close to
//! each other in time.
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
//! lease.record_absent();
//! let Some(Call::Create(record)) = lease.next_call(now) else { panic!() };
//! lease.record_write(StorePosition::new(0, 1), &record, now, now);
//!
//! assert_eq!(lease.permit(now), None);
//! assert_eq!(lease.permit(now.plus_ms(1_000)), None);
//! ```
//!
//! Load on the store: one conditional write per half term, however many engines there are.

use samphirespread_core::prelude::*;
use serde::{Deserialize, Serialize};
use statig::{blocking::StateMachine, prelude::*};

/// The number of writes by a holder in one term.
const RENEWALS_PER_TERM: u64 = 2;
/// The minimum time between a call and a following read of the object.
const MIN_READ_INTERVAL_MS: u64 = 500;
/// The clock rates of two machines differ by at most one part in this many.
const CLOCK_DRIFT_DIVISOR: u64 = 20;

/// The number of low bits of a fencing token that hold the version. It is small enough that the
/// whole token is represented exactly as a JSON number.
const VERSION_BITS: u32 = 32;

/// The durations that apply to a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseTimes {
    /// How long the lease is held after the start of a successful write.
    pub term_ms: u64,
    /// The longest time between the decision to give an order and its arrival at the engine.
    pub order_ms: u64,
}

impl LeaseTimes {
    /// The lease is vacant if its object has not changed for this long.
    fn vacant_after_ms(self) -> u64 {
        self.term_ms + self.term_ms / CLOCK_DRIFT_DIVISOR
    }
}

/// The content of the object in the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRecord {
    /// The router that holds the lease.
    pub holder: InstanceName,
    /// A number that rises with every holder.
    pub epoch: u64,
    /// The number of times that the holder has renewed the lease.
    pub renewals: u64,
}

/// The process that gives an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Orderer {
    /// The router that holds the lease.
    Holder,
    /// The engine's sidecar, which is the only process that gives it orders while it is running.
    Sidecar,
}

/// Returns the fencing token of an order.
///
/// Tokens are ordered by the epoch, then by the orderer, and then by the version. Within an epoch,
/// those of sidecars are higher than those of the holder, so that a sidecar can take back its
/// engine.
pub fn fencing_token(epoch: u64, orderer: Orderer, version: u64) -> u64 {
    let rank = 2 * epoch + u64::from(orderer == Orderer::Sidecar);
    (rank << VERSION_BITS) | (version & ((1 << VERSION_BITS) - 1))
}

/// A call to the store that the caller of [`Lease::next_call`] has to make.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Call {
    /// Read the object.
    Read,
    /// Create the object unless it exists.
    Create(LeaseRecord),
    /// Replace the object if it has the given position.
    Replace {
        /// The last known position.
        at: StorePosition,
        /// The new content.
        record: LeaseRecord,
    },
}

/// The state of the lease as one router knows it.
pub struct Lease {
    machine: StateMachine<View>,
    /// When the last call started.
    last_call: Option<MonoTime>,
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
    Found { position: StorePosition, record: &'a LeaseRecord, now: MonoTime },
    Missing,
    Written { position: StorePosition, record: &'a LeaseRecord, began: MonoTime, now: MonoTime },
    Lost,
}

#[state_machine(initial = "State::unknown()", state(derive(Debug)), visibility = "pub(crate)")]
impl View {
    /// The state of the object is unknown.
    #[state]
    fn unknown(&mut self, event: &Event<'_>) -> statig::Outcome<State> {
        self.handle_not_holding(event)
    }

    /// The object does not exist.
    #[state]
    fn absent(&mut self, event: &Event<'_>) -> statig::Outcome<State> {
        self.handle_not_holding(event)
    }

    /// This router does not hold the lease. The object has had this position at least since
    /// `since`.
    #[state]
    fn watching(
        &mut self,
        position: &mut StorePosition,
        epoch: &mut u64,
        since: &mut MonoTime,
        event: &Event<'_>,
    ) -> statig::Outcome<State> {
        let _ = (epoch, since);
        match event {
            Event::Found { position: found, .. } if found == position => Handled,
            _ => self.handle_not_holding(event),
        }
    }

    /// This router holds the lease.
    #[state]
    fn holding(&mut self, held: &mut Held, event: &Event<'_>) -> statig::Outcome<State> {
        match event {
            Event::Written { position, record, began, .. } => {
                held.position = *position;
                held.record = (*record).clone();
                held.confirmed = *began;
                held.is_write_unconfirmed = false;
                Handled
            }
            Event::Found { position, record, .. } if held.record.is_same_tenure(record) => {
                // A write without a response has taken effect. It does not extend the term.
                held.position = *position;
                held.record = (*record).clone();
                held.is_write_unconfirmed = false;
                Handled
            }
            Event::Lost => {
                held.is_write_unconfirmed = true;
                Handled
            }
            _ => self.handle_not_holding(event),
        }
    }
}

impl View {
    fn handle_not_holding(&self, event: &Event<'_>) -> statig::Outcome<State> {
        match event {
            Event::Found { position, record, now } => {
                Transition(State::watching(*position, record.epoch, *now))
            }
            Event::Missing => Transition(State::absent()),
            Event::Written { position, record, began, now } => {
                let wait_ms = self.times.vacant_after_ms() + self.times.order_ms;
                let orders_from = now.plus_ms(wait_ms);
                let (position, record, confirmed) = (*position, (*record).clone(), *began);
                let held =
                    Held { position, record, confirmed, orders_from, is_write_unconfirmed: false };
                Transition(State::holding(held))
            }
            // Another router has written the object, or it is unknown whether this router has.
            Event::Lost => Transition(State::unknown()),
        }
    }
}

/// What this router knows of the lease while it holds it.
#[derive(Clone, Debug)]
pub(crate) struct Held {
    position: StorePosition,
    record: LeaseRecord,
    /// When the last successful write started.
    confirmed: MonoTime,
    /// From when this router may give orders. Before this time, an order of the previous holder may
    /// be recent or may still arrive.
    orders_from: MonoTime,
    /// Whether a write may have taken effect without a response.
    is_write_unconfirmed: bool,
}

impl Lease {
    /// Creates the state of a router that has not read the object yet.
    pub fn new(own: InstanceName, times: LeaseTimes) -> Self {
        Self { machine: View { own, times }.state_machine(), last_call: None }
    }

    /// Returns the call to make now in order to take or keep the lease, if one is due.
    pub fn next_call(&mut self, now: MonoTime) -> Option<Call> {
        let View { own, times } = self.machine.inner();
        let may_read =
            self.last_call.is_none_or(|last_call| now.ms_since(last_call) >= MIN_READ_INTERVAL_MS);
        let read = may_read.then_some(Call::Read);
        let call = match self.machine.state() {
            State::Unknown {} => read,
            State::Absent {} => Some(Call::Create(LeaseRecord::first(own, 1))),
            State::Watching { position, epoch, since } => {
                if now.ms_since(*since) > times.vacant_after_ms() {
                    let record = LeaseRecord::first(own, epoch + 1);
                    Some(Call::Replace { at: *position, record })
                } else {
                    read
                }
            }
            State::Holding { held } if held.is_write_unconfirmed => read,
            State::Holding { held } => {
                let is_due = now.ms_since(held.confirmed) >= times.term_ms / RENEWALS_PER_TERM;
                let (position, record) = (held.position, held.record.renewed());
                is_due.then_some(Call::Replace { at: position, record })
            }
        };
        if call.is_some() {
            self.last_call = Some(now);
        }
        call
    }

    /// Records that a read returned the object now.
    pub fn record_read(&mut self, position: StorePosition, record: &LeaseRecord, now: MonoTime) {
        self.machine.handle(&Event::Found { position, record, now });
    }

    /// Records that a read found no object.
    pub fn record_absent(&mut self) {
        self.machine.handle(&Event::Missing);
    }

    /// Records that a write which started at `began` took effect, and that its response came now.
    pub fn record_write(
        &mut self,
        position: StorePosition,
        record: &LeaseRecord,
        began: MonoTime,
        now: MonoTime,
    ) {
        self.machine.handle(&Event::Written { position, record, began, now });
    }

    /// Records that a call was refused or not answered.
    pub fn record_failure(&mut self) {
        self.machine.handle(&Event::Lost);
    }

    /// Returns the epoch of orders that are given now and arrive within [`LeaseTimes::order_ms`],
    /// or none if this router may not give orders now.
    pub fn permit(&self, now: MonoTime) -> Option<u64> {
        let (from, until) = self.permit_ends()?;
        (from <= now && now < until).then(|| self.epoch()).flatten()
    }

    /// Returns from when and until when this router may give orders.
    pub fn permit_ends(&self) -> Option<(MonoTime, MonoTime)> {
        let State::Holding { held } = self.machine.state() else { return None };
        let times = self.machine.inner().times;
        let until = held.confirmed.plus_ms(times.term_ms.saturating_sub(times.order_ms));
        Some((held.orders_from, until))
    }

    /// Returns the epoch in which this router holds the lease, whether or not it may give orders
    /// now.
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

    /// Whether both were written while the same router held the lease without interruption.
    fn is_same_tenure(&self, other: &Self) -> bool {
        (&self.holder, self.epoch) == (&other.holder, other.epoch)
    }
}
