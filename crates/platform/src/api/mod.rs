//! Messages of the platform's API.

use samphirespread_core::prelude::*;
use serde::{Deserialize, Serialize};

/// Low bits of a version that hold the revision, enough for 1,000 writes a second for 70 years.
const REVISION_BITS: u32 = 41;
/// Bits above them that hold the era. A JSON number holds both exactly.
const ERA_BITS: u32 = 12;

/// Version of an object: the store's position, with the era in the high bits, so that versions are
/// ordered by era first. A store that names no eras has its revisions as versions. All objects share
/// one counter.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct ObjectVersion(pub u64);

impl ObjectVersion {
    /// Returns the version that stands for a position, or `None` if the position is too high.
    pub fn of(position: StorePosition) -> Option<Self> {
        let (era, revision) = (position.era(), position.revision_in_era());
        let fits = era >> ERA_BITS == 0 && revision >> REVISION_BITS == 0;
        fits.then_some(Self((era << REVISION_BITS) | revision))
    }

    /// Returns the position that the version stands for.
    pub fn position(self) -> StorePosition {
        let revision = self.0 & ((1 << REVISION_BITS) - 1);
        StorePosition::new(self.0 >> REVISION_BITS, revision)
    }
}

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
