//! Stand-ins that speak the form which the users' platform publishes.

mod objects;
mod worker;

pub use self::{
    objects::{ObjectStore, StoreFault},
    worker::{Behaviour, Received, Worker, WorkerConfig},
};
