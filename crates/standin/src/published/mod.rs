//! Stand-ins that speak the form which the users' platform publishes.

mod objects;
mod worker;

pub use self::{
    objects::{ObjectStore, StoreCalls, StoreFault, StoreRates},
    worker::{Behaviour, Received, Worker, WorkerConfig},
};
