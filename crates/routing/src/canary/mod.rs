//! Decides how far a new version of a service's software is released, by what callers get from it.
//!
//! An operator orders that a service moves to a new version of its software. Its servers run beside
//! those of the version before. A bounded share of the requests goes to some of the new servers
//! (the canaries), and their answers are compared with those of the other version, the baseline, at the same time.
//!
//! ```
//! use samphirespread_routing::canary::{ExposureCredit, Phase, share};
//!
//! let mut credit = ExposureCredit::default();
//! let share = share(Phase::Canary, 0.1);
//! let exposed = (0..1_000).filter(|_| credit.draw(share)).count();
//!
//! assert!((50..=100).contains(&exposed));
//! assert!(Phase::Halted > Phase::Ramp { share_permille: 1_000 });
//! ```
//!
//! * [`ExposureCredit`] bounds what one router sends to the new version by its own requests, so the sum
//!   over all routers is bounded however many there are and whether or not they hear each other.
//! * [`EvidenceRecorder`] counts the answers of both versions at one router.
//! * [`Analysis`] adds up what the routers report, and decides on the next [`Phase`].
//!
//! # Costs
//!
//! A router's evidence takes about 25 bytes for each route, ten times a second while a version is being
//! released.
//!
//! # Limits
//!
//! A version that turns bad after its release is complete is not noticed. A version is compared by its
//! failures and by the time to the first event, not by the content of its answers.

mod analysis;
mod bad_rate;
mod evidence;
mod exposure;

use std::sync::Arc;

use samphirespread_core::prelude::*;
use serde::{Deserialize, Serialize};

pub use self::{
    analysis::{Analysis, Situation, Step, Wait},
    bad_rate::BadRateTest,
    evidence::{
        AnswerCounts, Evidence, EvidenceRecorder, Outcome, RouteCounts, RouteTag, ServerGroup,
        Side, time_tolerance,
    },
    exposure::{ExposureCredit, canaries, share},
};
use crate::model::ServiceName;

/// An operator's order to move a service to another version of its software.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RolloutOrder {
    /// The service.
    pub service: ServiceName,
    /// The version that it is to have.
    pub version: Arc<str>,
    /// The time within which it is to have it.
    pub duration_ms: u64,
    /// The store's position at which the order was given.
    pub given_at: StorePosition,
}

impl RolloutOrder {
    /// Whether this is the same order as another one. An order that is withdrawn and given again is
    /// another one, unless a store that came back from an older copy has lost it in between.
    pub fn is_same(&self, other: &Self) -> bool {
        let is_again = self.given_at.is_same_era(other.given_at) && self.given_at != other.given_at;
        self.service == other.service && self.version == other.version && !is_again
    }
}

/// How far a version is released. A later phase is never left for an earlier one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Phase {
    /// A small share of the requests goes to some of the servers.
    Canary,
    /// The share rises, over all servers of the version.
    Ramp {
        /// The share of the requests, in thousandths.
        share_permille: u16,
    },
    /// The version was found bad and gets no requests. The store doesn't have the verdict yet.
    Halted,
    /// The store says that the service has the version. The servers of the one before have stopped.
    Completed,
    /// The store says that the version was found bad.
    RolledBack,
}

/// The last step of the ramp: all requests go to the version.
pub const FULL_RAMP: Phase = Phase::Ramp { share_permille: 1_000 };

impl Phase {
    /// Whether the store holds the verdict, which is final.
    pub fn is_final(self) -> bool {
        matches!(self, Self::Completed | Self::RolledBack)
    }

    /// Whether the version must get no requests.
    pub fn is_withdrawn(self) -> bool {
        matches!(self, Self::Halted | Self::RolledBack)
    }
}
