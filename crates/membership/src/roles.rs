//! Who watches the platform, and whom a router asks.

use samphirespread_core::prelude::*;
use samphirespread_platform::api::{LiveInstance, LiveList, LiveState, Role};

/// Routers in each failure domain that read the platform. Two, so that the death of one delays
/// nothing.
pub const WATCHERS_PER_DOMAIN: usize = 2;

/// Peers at most that a router asks in one round.
pub const MAX_ASKED: usize = 3;

/// The roles that follow from one live list, as one router sees them.
#[derive(Clone, Debug)]
pub struct Roles<'a> {
    own: InstanceName,
    routers: Vec<&'a LiveInstance>,
}

impl<'a> Roles<'a> {
    /// The roles in this list, for the router of this name.
    pub fn of(list: &'a LiveList, own: &InstanceName) -> Self {
        let is_router = |instance: &&LiveInstance| {
            instance.role == Role::Router && instance.state == LiveState::Live
        };
        let routers = list.instances.iter().filter(is_router).collect();
        Self { own: own.clone(), routers }
    }

    /// The routers that read the platform for a failure domain, first in rank first.
    pub fn watchers_of(&self, failure_domain: &str) -> Vec<&'a LiveInstance> {
        let inside = self.routers.iter().copied();
        let inside: Vec<&LiveInstance> =
            inside.filter(|router| router.failure_domain == failure_domain).collect();
        let order = rendezvous::rank(failure_domain.as_bytes(), &inside, |r| r.name.as_str());
        order.into_iter().take(WATCHERS_PER_DOMAIN).map(|place| inside[place]).collect()
    }

    /// Whether this router reads the platform itself. One that is not listed does.
    pub fn is_watcher(&self) -> bool {
        let own = self.routers.iter().find(|router| router.name == self.own);
        let Some(own) = own else { return true };
        self.watchers_of(&own.failure_domain).iter().any(|watcher| watcher.name == self.own)
    }

    /// The peers to ask in a round: the watchers of the own failure domain, then of one other
    /// domain, which changes from round to round so that news crosses every border.
    ///
    /// In a fleet so small that these are too few, any other routers fill the places.
    pub fn peers_to_ask(&self, round: u64) -> Vec<&'a LiveInstance> {
        let own_domain = self.routers.iter().find(|router| router.name == self.own);
        let own_domain = own_domain.map(|router| router.failure_domain.as_str());
        let mut peers = Vec::with_capacity(MAX_ASKED);
        if let Some(domain) = own_domain {
            self.add(&mut peers, self.watchers_of(domain));
        }
        let mut domains: Vec<&str> = self
            .routers
            .iter()
            .map(|router| router.failure_domain.as_str())
            .filter(|domain| Some(*domain) != own_domain)
            .collect();
        domains.sort_unstable();
        domains.dedup();
        if !domains.is_empty() {
            let other = domains[round as usize % domains.len()];
            self.add(&mut peers, self.watchers_of(other));
        }
        if peers.len() < MAX_ASKED {
            let order =
                rendezvous::rank(self.own.as_str().as_bytes(), &self.routers, |r| r.name.as_str());
            self.add(&mut peers, order.into_iter().map(|place| self.routers[place]).collect());
        }
        peers
    }

    fn add(&self, peers: &mut Vec<&'a LiveInstance>, more: Vec<&'a LiveInstance>) {
        for router in more {
            let known = peers.iter().any(|peer| peer.name == router.name);
            if peers.len() < MAX_ASKED && !known && router.name != self.own {
                peers.push(router);
            }
        }
    }
}
