//! Messages of the platform's API.

use samphirespread_core::prelude::*;
use serde::{Deserialize, Serialize};

/// Version of an object. All objects of the platform share one counter.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct ObjectVersion(pub u64);

/// An object in the platform's store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Object {
    /// Key of the object, with parts separated by slashes.
    pub key: String,
    /// Version created by the last write.
    pub version: ObjectVersion,
    /// Value of the object, a document in text form; `None` in a watch if the object was deleted.
    pub value: Option<String>,
}

/// Objects whose keys have a prefix: all of them, or those that have changed.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listing {
    /// Version from which a watch has to continue so that it misses no change.
    pub version: ObjectVersion,
    /// The objects, ordered by key.
    pub objects: Vec<Object>,
}

/// The platform's list of instances, which may be out of date.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LiveList {
    /// Version of the list, which rises with every change.
    pub version: ObjectVersion,
    /// The instances, ordered by name.
    pub instances: Vec<LiveInstance>,
}

/// One instance in the live list.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LiveInstance {
    /// Name of the instance.
    pub name: InstanceName,
    /// Kind of process that runs on the instance.
    pub role: Role,
    /// Address where the process accepts connections from the system's other processes: `IP:port`.
    pub address: String,
    /// Address where the process accepts connections from operators, if the platform knows it:
    /// `IP:port`.
    #[serde(default)]
    pub admin: Option<String>,
    /// Region of the instance.
    pub region: String,
    /// Failure domain of the instance.
    pub failure_domain: String,
    /// Set of the backend server that runs next to the agent; `None` for a router.
    pub set: Option<SetName>,
    /// Whether the instance accepts new work.
    pub state: LiveState,
}

/// Kind of process that runs on an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// An entry instance with a router.
    Router,
    /// A backend server with an agent next to it.
    Agent,
}

/// Whether an instance accepts new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LiveState {
    /// The instance accepts new work.
    Live,
    /// The instance accepts no new work and is about to leave.
    Leaving,
}
