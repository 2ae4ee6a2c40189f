//! Messages of the platform's API.

use samphirespread_core::prelude::*;
use serde::{Deserialize, Serialize};

/// The version of an object. One counter rises over all objects of the platform.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct ObjectVersion(pub u64);

/// One object.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Object {
    /// The key, with slashes.
    pub key: String,
    /// The version that the last write made.
    pub version: ObjectVersion,
    /// The value, a document in text form; `None` in a watch once deleted.
    pub value: Option<String>,
}

/// Objects below a prefix, or those that changed.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listing {
    /// Watch after this version to miss nothing.
    pub version: ObjectVersion,
    /// The objects, by key.
    pub objects: Vec<Object>,
}

/// The platform's list of instances, which lags.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LiveList {
    /// Rises with every change of the list.
    pub version: ObjectVersion,
    /// The instances, by name.
    pub instances: Vec<LiveInstance>,
}

/// One instance in the live list.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LiveInstance {
    /// The instance's name.
    pub name: InstanceName,
    /// What runs there.
    pub role: Role,
    /// Where the process takes connections of the system's other processes: `IP:port`.
    pub address: String,
    /// Where the process takes operators' connections, if the platform knows: `IP:port`.
    #[serde(default)]
    pub admin: Option<String>,
    /// The region of the instance.
    pub region: String,
    /// The failure domain of the instance.
    pub failure_domain: String,
    /// The set of the backend server beside an agent.
    pub set: Option<SetName>,
    /// Whether the instance is about to go.
    pub state: LiveState,
}

/// What runs on an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// An entry instance with a router.
    Router,
    /// A backend server with an agent beside it.
    Agent,
}

/// Whether an instance is about to go.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LiveState {
    /// Takes work.
    Live,
    /// Takes no new work.
    Leaving,
}
