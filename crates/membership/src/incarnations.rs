//! Tracks the latest known incarnation of each peer.

use std::collections::HashMap;

use samphirespread_core::prelude::*;

/// The latest known incarnation of each peer.
///
/// ```
/// use samphirespread_core::prelude::*;
/// use samphirespread_membership::Incarnations;
///
/// let mut incarnations = Incarnations::default();
/// let peer = InstanceName::new("r2");
/// assert!(incarnations.accept(&peer, Incarnation(5)));
/// assert!(!incarnations.accept(&peer, Incarnation(4)));
/// ```
#[derive(Clone, Debug, Default)]
pub struct Incarnations {
    latest: HashMap<InstanceName, Incarnation>,
}

impl Incarnations {
    /// Records the incarnation of a message and returns whether to accept the message. Messages of
    /// an earlier incarnation are rejected, since that process has ended.
    pub fn accept(&mut self, peer: &InstanceName, incarnation: Incarnation) -> bool {
        match self.latest.get_mut(peer) {
            Some(latest) if incarnation < *latest => false,
            Some(latest) => {
                *latest = incarnation;
                true
            }
            None => {
                self.latest.insert(peer.clone(), incarnation);
                true
            }
        }
    }

    /// Returns the latest known incarnation of a peer.
    pub fn latest(&self, peer: &InstanceName) -> Option<Incarnation> {
        self.latest.get(peer).copied()
    }

    /// Removes the peers for which `keep` returns false.
    pub fn retain(&mut self, keep: impl Fn(&InstanceName) -> bool) {
        self.latest.retain(|peer, _| keep(peer));
    }
}
