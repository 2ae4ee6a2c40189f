//! The latest known run of each peer.

use std::collections::HashMap;

use samphirespread_core::prelude::*;

/// The latest known run of each peer.
///
/// ```
/// use samphirespread_core::prelude::*;
/// use samphirespread_membership::Incarnations;
///
/// let mut runs = Incarnations::default();
/// let peer = InstanceName::new("r2");
/// assert!(runs.accept(&peer, Incarnation(5)));
/// assert!(!runs.accept(&peer, Incarnation(4)));
/// ```
#[derive(Clone, Debug, Default)]
pub struct Incarnations {
    latest: HashMap<InstanceName, Incarnation>,
}

impl Incarnations {
    /// Whether a message of this run counts. One of an earlier run does not: that run is dead.
    pub fn accept(&mut self, peer: &InstanceName, run: Incarnation) -> bool {
        match self.latest.get_mut(peer) {
            Some(latest) if run < *latest => false,
            Some(latest) => {
                *latest = run;
                true
            }
            None => {
                self.latest.insert(peer.clone(), run);
                true
            }
        }
    }

    /// The latest known run.
    pub fn latest(&self, peer: &InstanceName) -> Option<Incarnation> {
        self.latest.get(peer).copied()
    }

    /// Forgets peers that are not listed any more.
    pub fn retain(&mut self, keep: impl Fn(&InstanceName) -> bool) {
        self.latest.retain(|peer, _| keep(peer));
    }
}
