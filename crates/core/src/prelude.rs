//! Re-exports of the types that nearly every crate uses.

pub use crate::{
    ids::{
        AttemptId, BlockKey, FencingNumber, Generation, Incarnation, InstanceName, ModelName,
        RequestId, SetName, TeamName, WeightsVersion,
    },
    rendezvous,
    store_position::StorePosition,
    time::MonoTime,
};
