//! A position in the history of the platform's store.

use std::fmt;

use serde::{Deserialize, Serialize};

/// A position in the history of the platform's store: the era, and the revision within it.
///
/// A store that was restored from a copy begins a new era, in which it gives out revisions again. So
/// a revision means something only together with its era, and positions are ordered by era first.
/// The revision alone can't be compared; it is read only to be sent to the store.
///
/// ```
/// use samphirespread_core::prelude::*;
///
/// let before = StorePosition::new(1, 900);
/// let restored = StorePosition::new(2, 850);
///
/// assert!(restored > before);
/// assert!(!restored.is_same_era(before));
/// ```
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct StorePosition {
    /// Missing in what processes send that know no eras, and stores that have none.
    #[serde(default)]
    era: u64,
    revision: u64,
}

impl StorePosition {
    /// Creates the position of a revision of an era.
    pub const fn new(era: u64, revision: u64) -> Self {
        Self { era, revision }
    }

    /// Returns the era.
    pub const fn era(self) -> u64 {
        self.era
    }

    /// Returns the revision, as the store of this era knows it.
    pub const fn revision_in_era(self) -> u64 {
        self.revision
    }

    /// Whether the store has kept its history between the two positions.
    pub const fn is_same_era(self, other: Self) -> bool {
        self.era == other.era
    }
}

impl fmt::Display for StorePosition {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.era, self.revision)
    }
}
