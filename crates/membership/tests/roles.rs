//! Who watches and who is asked, in small and large fleets.

use std::collections::{HashMap, HashSet};

use samphirespread_core::prelude::*;
use samphirespread_membership::{
    Contact, MAX_ASKED, Roles, TELLERS_PER_AGENT, WATCHERS_PER_DOMAIN,
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
fn each_domain_has_its_watchers_and_no_more() {
    let list = fleet(510, 14);

    let watchers = list.instances.iter().filter(|own| roles(&list, own).is_watcher()).count();

    assert_eq!(watchers, 14 * WATCHERS_PER_DOMAIN);
}

#[test]
fn rounds_cross_into_every_domain() {
    let list = fleet(60, 14);
    let own = &list.instances[0];

    let asked: HashSet<&str> = (0..14)
        .flat_map(|round| roles(&list, own).peers_to_ask(round))
        .map(|peer| peer.failure_domain.as_str())
        .collect();

    assert_eq!(asked.len(), 14);
}

#[test]
fn news_reaches_every_router_in_few_rounds() {
    let list = fleet(510, 14);
    let mut knows: HashSet<&str> = HashSet::from([list.instances[7].name.as_str()]);
    let mut rounds = 0;

    while knows.len() < list.instances.len() {
        let asks = |own: &&LiveInstance| {
            let peers = roles(&list, own).peers_to_ask(rounds);
            peers.iter().any(|peer| knows.contains(peer.name.as_str()))
        };
        let learned: Vec<&str> =
            list.instances.iter().filter(asks).map(|own| own.name.as_str()).collect();
        // A watcher reads the platform itself, so one that knows stands for all watchers.
        knows.extend(learned);
        knows.extend(
            list.instances
                .iter()
                .filter(|own| roles(&list, own).is_watcher())
                .map(|own| own.name.as_str()),
        );
        rounds += 1;
    }

    // Six seconds hold at least this many rounds of half a second.
    assert!(rounds <= 12, "{rounds}");
}

#[test]
fn a_router_never_asks_itself_or_too_many() {
    for routers in 1..20 {
        let list = fleet(routers, 3);

        for own in &list.instances {
            let peers = roles(&list, own).peers_to_ask(4);
            assert!(peers.len() <= MAX_ASKED);
            assert!(peers.iter().all(|peer| peer.name != own.name));
            assert_eq!(peers.len(), MAX_ASKED.min(routers - 1), "{routers} routers");
        }
    }
}

#[test]
fn a_paused_router_without_peers_stays_stale_until_it_hears() {
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
fn a_minority_of_answers_is_no_contact() {
    let mut contact = Contact::new(1_000);

    contact.peers_answered(MonoTime::from_ms(3_000), 3, 1);
    let minority = contact.is_stale(MonoTime::from_ms(3_000));
    contact.peers_answered(MonoTime::from_ms(3_000), 3, 2);

    assert!(minority);
    assert!(!contact.is_stale(MonoTime::from_ms(3_000)));
}

/// A fleet with agents in domains of their own choice.
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

/// The names of the routers that tell each agent.
fn tellers(list: &LiveList) -> HashMap<&str, Vec<&LiveInstance>> {
    let mut tellers: HashMap<&str, Vec<&LiveInstance>> = HashMap::new();
    for router in list.instances.iter().filter(|instance| instance.role == Role::Router) {
        for agent in roles(list, router).agents_to_tell() {
            tellers.entry(agent.name.as_str()).or_default().push(router);
        }
    }
    tellers
}

#[test]
fn each_agent_has_two_tellers_from_its_own_domain() {
    let list = with_agents(60, 400, 14);

    let tellers = tellers(&list);

    assert_eq!(tellers.len(), 400);
    for agent in list.instances.iter().filter(|instance| instance.role == Role::Agent) {
        let told_by = &tellers[agent.name.as_str()];
        assert_eq!(told_by.len(), TELLERS_PER_AGENT);
        assert!(told_by.iter().all(|router| router.failure_domain == agent.failure_domain));
    }
}

#[test]
fn telling_is_spread_over_the_routers() {
    let list = with_agents(510, 6_700, 14);
    let mean = 6_700 * TELLERS_PER_AGENT / 510;
    let routers = list.instances.iter().filter(|instance| instance.role == Role::Router);

    let counts = routers.take(28).map(|own| roles(&list, own).agents_to_tell().len());
    let most = counts.max();

    assert!(most <= Some(3 * mean), "{most:?}");
}

#[test]
fn agents_without_a_router_nearby_are_told_from_elsewhere() {
    let mut list = with_agents(3, 4, 2);
    list.instances
        .retain(|instance| instance.role == Role::Agent || instance.failure_domain == "d0");

    let tellers = tellers(&list);

    assert_eq!(tellers.len(), 4);
    assert!(tellers.values().all(|told_by| told_by.len() == 2));
}

#[test]
fn a_lone_router_of_a_domain_is_helped_from_elsewhere() {
    let list = with_agents(3, 6, 3);

    let tellers = tellers(&list);

    for agent in list.instances.iter().filter(|instance| instance.role == Role::Agent) {
        let told_by = &tellers[agent.name.as_str()];
        let near = told_by.iter().filter(|r| r.failure_domain == agent.failure_domain).count();
        assert_eq!((told_by.len(), near), (2, 1));
    }
}

#[test]
fn a_router_that_is_not_listed_tells_nobody() {
    let list = with_agents(3, 4, 2);

    let roles = Roles::of(&list, &InstanceName::new("unlisted"));

    assert!(roles.agents_to_tell().is_empty());
}
