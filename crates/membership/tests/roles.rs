//! Tests of the roles of routers in small and large fleets, and of the staleness of contact.

use std::collections::{HashMap, HashSet};

use samphirespread_core::prelude::*;
use samphirespread_membership::{
    Contact, MAX_PEERS_PER_ROUND, NOTIFIERS_PER_AGENT, Roles, WATCHERS_PER_DOMAIN,
};
use samphirespread_platform::api::{LiveInstance, LiveList, LiveState, ObjectVersion, Role};

fn fleet(routers: usize, domains: usize) -> LiveList {
    let instance = |number: usize| LiveInstance {
        name: InstanceName::new(format!("r{number}")),
        role: Role::Router,
        address: format!("127.0.0.1:{}", number + 1),
        admin: None,
        region: "north".to_owned(),
        failure_domain: format!("d{}", number % domains),
        set: None,
        state: LiveState::Live,
    };
    LiveList { version: ObjectVersion(1), instances: (0..routers).map(instance).collect() }
}

fn roles<'a>(list: &'a LiveList, own: &LiveInstance) -> Roles<'a> {
    Roles::of(list, &own.name)
}

#[test]
fn each_domain_has_exactly_its_number_of_watchers() {
    let list = fleet(510, 14);

    let watchers = list.instances.iter().filter(|own| roles(&list, own).is_watcher()).count();

    assert_eq!(watchers, 14 * WATCHERS_PER_DOMAIN);
}

#[test]
fn rounds_ask_watchers_of_every_domain() {
    let list = fleet(60, 14);
    let own = &list.instances[0];

    let asked: HashSet<&str> = (0..14)
        .flat_map(|round| roles(&list, own).peers_to_ask(round))
        .map(|peer| peer.failure_domain.as_str())
        .collect();

    assert_eq!(asked.len(), 14);
}

#[test]
fn a_change_reaches_every_router_within_twelve_rounds() {
    let list = fleet(510, 14);
    let mut informed: HashSet<&str> = HashSet::from([list.instances[7].name.as_str()]);
    let mut rounds = 0;

    while informed.len() < list.instances.len() {
        let asks = |own: &&LiveInstance| {
            let peers = roles(&list, own).peers_to_ask(rounds);
            peers.iter().any(|peer| informed.contains(peer.name.as_str()))
        };
        let newly_informed: Vec<&str> =
            list.instances.iter().filter(asks).map(|own| own.name.as_str()).collect();
        // All watchers know the change, since they read the platform themselves.
        informed.extend(newly_informed);
        informed.extend(
            list.instances
                .iter()
                .filter(|own| roles(&list, own).is_watcher())
                .map(|own| own.name.as_str()),
        );
        rounds += 1;
    }

    // Twelve rounds of half a second take six seconds.
    assert!(rounds <= 12, "{rounds}");
}

#[test]
fn a_router_asks_other_routers_up_to_the_limit() {
    for routers in 1..20 {
        let list = fleet(routers, 3);

        for own in &list.instances {
            let peers = roles(&list, own).peers_to_ask(4);
            assert!(peers.len() <= MAX_PEERS_PER_ROUND);
            assert!(peers.iter().all(|peer| peer.name != own.name));
            assert_eq!(peers.len(), MAX_PEERS_PER_ROUND.min(routers - 1), "{routers} routers");
        }
    }
}

#[test]
fn a_stale_router_without_peers_stays_stale_until_the_platform_answers() {
    let mut contact = Contact::new(1_000);
    contact.no_peers(MonoTime::from_ms(900));
    assert!(!contact.is_stale(MonoTime::from_ms(1_800)));

    contact.no_peers(MonoTime::from_ms(5_000));
    let after_pause = contact.is_stale(MonoTime::from_ms(5_000));
    contact.platform_answered(MonoTime::from_ms(5_001));

    assert!(after_pause);
    assert!(!contact.is_stale(MonoTime::from_ms(5_002)));
}

#[test]
fn answers_from_a_minority_of_peers_are_no_contact() {
    let mut contact = Contact::new(1_000);

    contact.peers_answered(MonoTime::from_ms(3_000), 3, 1);
    let minority = contact.is_stale(MonoTime::from_ms(3_000));
    contact.peers_answered(MonoTime::from_ms(3_000), 3, 2);

    assert!(minority);
    assert!(!contact.is_stale(MonoTime::from_ms(3_000)));
}

/// Creates a fleet with routers and agents spread over `domains` domains.
fn with_agents(routers: usize, agents: usize, domains: usize) -> LiveList {
    let mut list = fleet(routers, domains);
    let agent = |number: usize| LiveInstance {
        name: InstanceName::new(format!("a{number}")),
        role: Role::Agent,
        failure_domain: format!("d{}", number % domains),
        ..list.instances[0].clone()
    };
    let agents: Vec<LiveInstance> = (0..agents).map(agent).collect();
    list.instances.extend(agents);
    list
}

/// Returns the routers that notify each agent, by the agent's name.
fn notifiers(list: &LiveList) -> HashMap<&str, Vec<&LiveInstance>> {
    let mut notifiers: HashMap<&str, Vec<&LiveInstance>> = HashMap::new();
    for router in list.instances.iter().filter(|instance| instance.role == Role::Router) {
        for agent in roles(list, router).agents_to_notify() {
            notifiers.entry(agent.name.as_str()).or_default().push(router);
        }
    }
    notifiers
}

#[test]
fn two_routers_of_its_own_domain_notify_each_agent() {
    let list = with_agents(60, 400, 14);

    let notifiers = notifiers(&list);

    assert_eq!(notifiers.len(), 400);
    for agent in list.instances.iter().filter(|instance| instance.role == Role::Agent) {
        let notified_by = &notifiers[agent.name.as_str()];
        assert_eq!(notified_by.len(), NOTIFIERS_PER_AGENT);
        assert!(notified_by.iter().all(|router| router.failure_domain == agent.failure_domain));
    }
}

#[test]
fn notifications_are_spread_over_the_routers() {
    let list = with_agents(510, 6_700, 14);
    let mean = 6_700 * NOTIFIERS_PER_AGENT / 510;
    let routers = list.instances.iter().filter(|instance| instance.role == Role::Router);

    let counts = routers.take(28).map(|own| roles(&list, own).agents_to_notify().len());
    let max_count = counts.max();

    assert!(max_count <= Some(3 * mean), "{max_count:?}");
}

#[test]
fn routers_of_other_domains_notify_agents_without_a_local_router() {
    let mut list = with_agents(3, 4, 2);
    list.instances
        .retain(|instance| instance.role == Role::Agent || instance.failure_domain == "d0");

    let notifiers = notifiers(&list);

    assert_eq!(notifiers.len(), 4);
    assert!(notifiers.values().all(|notified_by| notified_by.len() == 2));
}

#[test]
fn a_router_of_another_domain_is_second_notifier_if_a_domain_has_one_router() {
    let list = with_agents(3, 6, 3);

    let notifiers = notifiers(&list);

    for agent in list.instances.iter().filter(|instance| instance.role == Role::Agent) {
        let notified_by = &notifiers[agent.name.as_str()];
        let local = notified_by.iter().filter(|r| r.failure_domain == agent.failure_domain).count();
        assert_eq!((notified_by.len(), local), (2, 1));
    }
}

#[test]
fn a_router_that_is_not_listed_notifies_no_agent() {
    let list = with_agents(3, 4, 2);

    let roles = Roles::of(&list, &InstanceName::new("unlisted"));

    assert!(roles.agents_to_notify().is_empty());
}
