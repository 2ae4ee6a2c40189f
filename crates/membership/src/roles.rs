//! Who watches the platform, and whom a router asks.

use std::collections::HashMap;

use samphirespread_core::prelude::*;
use samphirespread_platform::api::{LiveInstance, LiveList, LiveState, Role};

/// Routers in each failure domain that read the platform. Two, so that the death of one delays
/// nothing.
pub const WATCHERS_PER_DOMAIN: usize = 2;

/// Peers at most that a router asks in one round.
pub const MAX_ASKED: usize = 3;

/// Routers that tell an agent of each configuration. Two, so that the death of one delays nothing.
pub const TELLERS_PER_AGENT: usize = 2;

/// The roles that follow from one live list, as one router sees them.
#[derive(Clone, Debug)]
pub struct Roles<'a> {
    own: InstanceName,
    routers: Vec<&'a LiveInstance>,
    agents: Vec<&'a LiveInstance>,
}

impl<'a> Roles<'a> {
    /// The roles in this list, for the router of this name.
    pub fn of(list: &'a LiveList, own: &InstanceName) -> Self {
        let is_router = |instance: &&LiveInstance| {
            instance.role == Role::Router && instance.state == LiveState::Live
        };
        let routers = list.instances.iter().filter(is_router).collect();
        let agents = list.instances.iter().filter(|instance| instance.role == Role::Agent);
        Self { own: own.clone(), routers, agents: agents.collect() }
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

    /// The agents that this router tells of each configuration, leaving ones too.
    ///
    /// Each agent has two tellers, from its own failure domain as far as there are routers there. A
    /// router that is not listed tells nobody. The time taken grows with the routers times the agents
    /// of the own failure domain and of those with too few routers.
    pub fn agents_to_tell(&self) -> Vec<&'a LiveInstance> {
        if !self.routers.iter().any(|router| router.name == self.own) {
            return Vec::new();
        }
        let mut domains: HashMap<&str, Vec<&LiveInstance>> = HashMap::new();
        for router in &self.routers {
            domains.entry(router.failure_domain.as_str()).or_default().push(router);
        }
        let tells = |agent: &&LiveInstance| {
            let near = domains.get(agent.failure_domain.as_str()).map_or(&[][..], Vec::as_slice);
            self.is_teller(agent, near)
        };
        self.agents.iter().copied().filter(tells).collect()
    }

    fn is_teller(&self, agent: &LiveInstance, near: &[&LiveInstance]) -> bool {
        let is_near = near.iter().any(|router| router.name == self.own);
        if near.len() >= TELLERS_PER_AGENT {
            return is_near && self.is_among(agent, near, TELLERS_PER_AGENT);
        }
        let far: Vec<&LiveInstance> = self
            .routers
            .iter()
            .copied()
            .filter(|router| router.failure_domain != agent.failure_domain)
            .collect();
        is_near || self.is_among(agent, &far, TELLERS_PER_AGENT - near.len())
    }

    fn is_among(&self, agent: &LiveInstance, routers: &[&LiveInstance], count: usize) -> bool {
        let order = rendezvous::rank(agent.name.as_str().as_bytes(), routers, |r| r.name.as_str());
        order.into_iter().take(count).any(|place| routers[place].name == self.own)
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
