//! Stand-ins that speak the form which the users' platform publishes.

mod asking;
mod crash;
pub mod documents;
mod objects;
mod worker;

pub use self::{
    asking::{Ask, Generation, says_not_run},
    crash::CrashTrigger,
    objects::{ObjectStore, StoreCalls, StoreFault, StoreRates},
    worker::{
        Behaviour, CopyBehaviour, MOVED_EVENTS, Ordered, Received, RunCopied, STREAM_EVENTS,
        Worker, WorkerConfig,
    },
};
