//! Stand-ins that speak the form which the users' platform publishes.

mod asking;
mod crash;
pub mod documents;
mod objects;
mod worker;

pub use self::{
    asking::{Ask, Generation, says_not_run},
    crash::{CrashStyle, CrashTrigger},
    objects::{FIRST_ERA, ObjectStore, StoreCalls, StoreFault, StoreRates, StoreSnapshot},
    worker::{
        Behaviour, Copies, CopyBehaviour, EVENTS, MOVED_EVENTS, Ordered, PADDING, Pace, Received,
        RunCopied, RunEnd, STREAM_EVENTS, Worker, WorkerConfig, padding,
    },
};
