//! Decides which routers read the platform, which peers a router asks, and which agents it
//! notifies.

use std::collections::HashMap;

use samphirespread_core::prelude::*;
use samphirespread_platform::api::{LiveInstance, LiveList, LiveState, Role};

/// Number of routers in each failure domain that read the platform. There are two, so that the
/// failure of one causes no delay.
pub const WATCHERS_PER_DOMAIN: usize = 2;

/// Maximum number of peers that a router asks in one round.
pub const MAX_PEERS_PER_ROUND: usize = 3;

/// Number of routers that notify an agent of each configuration. There are two, so that the failure
/// of one causes no delay.
pub const NOTIFIERS_PER_AGENT: usize = 2;

/// The roles that one router derives from a live list.
#[derive(Clone, Debug)]
pub struct Roles<'a> {
    own: InstanceName,
    routers: Vec<&'a LiveInstance>,
    agents: Vec<&'a LiveInstance>,
}

impl<'a> Roles<'a> {
    /// Creates the roles of `list` for the router named `own`.
    pub fn of(list: &'a LiveList, own: &InstanceName) -> Self {
        let is_router = |instance: &&LiveInstance| {
            instance.role == Role::Router && instance.state == LiveState::Live
        };
        let routers = list.instances.iter().filter(is_router).collect();
        let agents = list.instances.iter().filter(|instance| instance.role == Role::Agent);
        Self { own: own.clone(), routers, agents: agents.collect() }
    }

    /// Returns the routers that read the platform for a failure domain, in order of rank.
    pub fn watchers_of(&self, failure_domain: &str) -> Vec<&'a LiveInstance> {
        let routers = self.routers.iter().copied();
        let routers: Vec<&LiveInstance> =
            routers.filter(|router| router.failure_domain == failure_domain).collect();
        let order = rendezvous::rank(failure_domain.as_bytes(), &routers, |r| r.name.as_str());
        order.into_iter().take(WATCHERS_PER_DOMAIN).map(|index| routers[index]).collect()
    }

    /// Returns whether this router reads the platform itself. A router that is not on the list
    /// does.
    pub fn is_watcher(&self) -> bool {
        let own = self.routers.iter().find(|router| router.name == self.own);
        let Some(own) = own else { return true };
        self.watchers_of(&own.failure_domain).iter().any(|watcher| watcher.name == self.own)
    }

    /// Returns the peers to ask in a round: the watchers of this router's own failure domain, then
    /// those of one other domain. The other domain changes from round to round, so that changes
    /// spread between all domains.
    ///
    /// In a small fleet with fewer than [`MAX_PEERS_PER_ROUND`] such peers, other routers are
    /// added.
    pub fn peers_to_ask(&self, round: u64) -> Vec<&'a LiveInstance> {
        let own_domain = self.routers.iter().find(|router| router.name == self.own);
        let own_domain = own_domain.map(|router| router.failure_domain.as_str());
        let mut peers = Vec::with_capacity(MAX_PEERS_PER_ROUND);
        if let Some(domain) = own_domain {
            self.add_peers(&mut peers, self.watchers_of(domain));
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
            self.add_peers(&mut peers, self.watchers_of(other));
        }
        if peers.len() < MAX_PEERS_PER_ROUND {
            let order =
                rendezvous::rank(self.own.as_str().as_bytes(), &self.routers, |r| r.name.as_str());
            self.add_peers(
                &mut peers,
                order.into_iter().map(|index| self.routers[index]).collect(),
            );
        }
        peers
    }

    /// Returns the agents that this router notifies of each configuration, including those that are
    /// leaving.
    ///
    /// Two routers notify each agent; they are taken from its own failure domain as far as there
    /// are routers there. A router that is not on the list notifies no agent. The running time
    /// grows with the number of routers times the number of agents in this router's failure domain
    /// and in domains with too few routers.
    pub fn agents_to_notify(&self) -> Vec<&'a LiveInstance> {
        if !self.routers.iter().any(|router| router.name == self.own) {
            return Vec::new();
        }
        let mut domains: HashMap<&str, Vec<&LiveInstance>> = HashMap::new();
        for router in &self.routers {
            domains.entry(router.failure_domain.as_str()).or_default().push(router);
        }
        let is_notified = |agent: &&LiveInstance| {
            let local = domains.get(agent.failure_domain.as_str()).map_or(&[][..], Vec::as_slice);
            self.is_notifier_of(agent, local)
        };
        self.agents.iter().copied().filter(is_notified).collect()
    }

    fn is_notifier_of(&self, agent: &LiveInstance, local: &[&LiveInstance]) -> bool {
        let is_local = local.iter().any(|router| router.name == self.own);
        if local.len() >= NOTIFIERS_PER_AGENT {
            return is_local && self.ranks_among_first(agent, local, NOTIFIERS_PER_AGENT);
        }
        let remote: Vec<&LiveInstance> = self
            .routers
            .iter()
            .copied()
            .filter(|router| router.failure_domain != agent.failure_domain)
            .collect();
        is_local || self.ranks_among_first(agent, &remote, NOTIFIERS_PER_AGENT - local.len())
    }

    /// Returns whether this router is among the first `count` of `routers`, ranked for the agent.
    fn ranks_among_first(
        &self,
        agent: &LiveInstance,
        routers: &[&LiveInstance],
        count: usize,
    ) -> bool {
        let order = rendezvous::rank(agent.name.as_str().as_bytes(), routers, |r| r.name.as_str());
        order.into_iter().take(count).any(|index| routers[index].name == self.own)
    }

    /// Adds routers to `peers` up to [`MAX_PEERS_PER_ROUND`], without duplicates and without this
    /// router.
    fn add_peers(&self, peers: &mut Vec<&'a LiveInstance>, more: Vec<&'a LiveInstance>) {
        for router in more {
            let is_duplicate = peers.iter().any(|peer| peer.name == router.name);
            if peers.len() < MAX_PEERS_PER_ROUND && !is_duplicate && router.name != self.own {
                peers.push(router);
            }
        }
    }
}
