//! Stand-ins that speak the form which the users' platform publishes.

mod objects;
mod worker;

pub use self::{
    objects::{ObjectStore, StoreCalls, StoreFault, StoreRates},
    worker::{Behaviour, Ordered, Received, STREAM_EVENTS, Worker, WorkerConfig},
};
