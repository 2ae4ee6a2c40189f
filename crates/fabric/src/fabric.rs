//! One router's part in spreading records.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    sync::Arc,
};

use samphirespread_core::prelude::*;

use crate::{
    link::{Asks, Link},
    record::{Origin, Record},
    relays::{self, Member, RELAYS},
};

/// Records of publishers that were not heard for this long are dropped.
const FORGOTTEN_AFTER_MS: u64 = 10_000;
/// Ages beyond this are told as this.
const LONGEST_AGE_MS: u64 = 60_000;

/// What one router knows of all publishers, and whom it asks and serves.
#[derive(Debug)]
pub struct Fabric {
    own: Member,
    incarnation: Incarnation,
    sequence: u64,
    /// Members by failure domain, each in the order in which they become relays, this router among them.
    domains: BTreeMap<Arc<str>, Vec<Member>>,
    links: HashMap<InstanceName, Link>,
    names: HashMap<Origin, InstanceName>,
    records: HashMap<Origin, Held>,
    /// Counts the records that were taken in.
    change: u64,
}

#[derive(Debug)]
struct Held {
    incarnation: Incarnation,
    sequence: u64,
    published: MonoTime,
    is_near: bool,
    /// Whether it came from its publisher itself.
    is_first_hand: bool,
    payload: Vec<u8>,
    change: u64,
}

/// A record that replaces what was known of its publisher.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fresh {
    /// The publisher.
    pub origin: Origin,
    /// Its name, if it is a router.
    pub router: Option<InstanceName>,
    /// Its run.
    pub incarnation: Incarnation,
    /// Rises with each record of a run.
    pub sequence: u64,
    /// When it was published, by this router's clock.
    pub published: MonoTime,
    /// Its words.
    pub payload: Vec<u8>,
}

/// What records from another router brought.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct News {
    /// Records that are newer than what was known.
    pub fresh: Vec<Fresh>,
}

impl Fabric {
    /// A router that knows of no other one yet.
    pub fn new(own: Member, incarnation: Incarnation) -> Self {
        let mut fabric = Self {
            own,
            incarnation,
            sequence: 0,
            domains: BTreeMap::new(),
            links: HashMap::new(),
            names: HashMap::new(),
            records: HashMap::new(),
            change: 0,
        };
        fabric.set_members([], MonoTime::ZERO);
        fabric
    }

    /// Sets the other routers that there may be.
    pub fn set_members(&mut self, others: impl IntoIterator<Item = Member>, now: MonoTime) {
        let mut domains: BTreeMap<Arc<str>, Vec<Member>> = BTreeMap::new();
        let mut known = BTreeSet::new();
        for member in others.into_iter().chain([self.own.clone()]) {
            known.insert(member.name.clone());
            domains.entry(member.failure_domain.clone()).or_default().push(member);
        }
        for (domain, members) in &mut domains {
            let mut ranked: Vec<&Member> = members.iter().collect();
            relays::sort(domain, &mut ranked);
            *members = ranked.into_iter().cloned().collect();
        }
        let gone: Vec<Origin> = (self.names.iter())
            .filter(|(_, name)| !known.contains(*name))
            .map(|(origin, _)| *origin)
            .collect();
        for origin in gone {
            self.names.remove(&origin);
            self.records.remove(&origin);
        }
        self.links.retain(|name, _| known.contains(name));
        for name in known {
            self.names.insert(Origin::of_router(&name), name.clone());
            if name != self.own.name {
                self.links.entry(name).or_default();
            }
        }
        self.domains = domains;
        self.forget(now);
    }

    /// Replaces this router's own record.
    pub fn publish(&mut self, payload: Vec<u8>, now: MonoTime) {
        self.sequence += 1;
        let origin = Origin::of_router(&self.own.name);
        let held = Held::first_hand((self.incarnation, self.sequence), payload, now);
        self.hold(origin, held);
    }

    /// Takes in a record that came from its publisher itself, which is not a router.
    pub fn told(
        &mut self,
        origin: Origin,
        order: (Incarnation, u64),
        payload: Vec<u8>,
        now: MonoTime,
    ) {
        if self.is_news(origin, order, now) {
            self.hold(origin, Held::first_hand(order, payload, now));
        }
    }

    /// Takes in that another router was heard, what it wants, and whether it has heard this one lately.
    ///
    /// A router that sends and hears nothing does not answer, and so relays for nobody. Returns false where
    /// it is none of the members.
    pub fn asked(
        &mut self,
        from: &InstanceName,
        asks: Asks,
        hears_this: bool,
        now: MonoTime,
    ) -> bool {
        let Some(link) = self.links.get_mut(from) else { return false };
        link.was_asked(asks, hears_this, now);
        true
    }

    /// Takes in records from another router.
    pub fn received(&mut self, from: &InstanceName, records: &[Record], now: MonoTime) -> News {
        let is_neighbour = self.is_neighbour(from);
        let own = Origin::of_router(&self.own.name);
        let mut news = News::default();
        for record in records {
            let order = (record.incarnation, record.sequence);
            let published = now.minus_ms(record.age_ms);
            if record.origin == own || !self.is_news(record.origin, order, published) {
                continue;
            }
            news.fresh.push(Fresh {
                origin: record.origin,
                router: self.names.get(&record.origin).cloned(),
                incarnation: record.incarnation,
                sequence: record.sequence,
                published,
                payload: record.payload.clone(),
            });
            let held = Held {
                incarnation: record.incarnation,
                sequence: record.sequence,
                published,
                is_near: record.is_near && is_neighbour,
                is_first_hand: false,
                payload: record.payload.clone(),
                change: 0,
            };
            self.hold(record.origin, held);
        }
        news
    }

    /// The routers to ask now, and for what. They get what this router has first-hand as well.
    pub fn asks(&mut self, now: MonoTime) -> Vec<(InstanceName, Asks)> {
        let mut asks = self.asks_in_own_domain(now);
        if self.relays(now) {
            asks.extend(self.asks_elsewhere(now));
        }
        for (name, link) in &mut self.links {
            link.set_asked(asks.iter().any(|(asked, _)| asked == name), now);
        }
        asks
    }

    /// The other routers that asked this one lately.
    pub fn served(&self, now: MonoTime) -> impl Iterator<Item = &InstanceName> {
        let links = self.links.iter();
        links.filter(move |(_, link)| link.wants_now(now) > Asks::Nothing).map(|(name, _)| name)
    }

    /// Whether this router acts as a relay: by its rank, or because a neighbour asks it.
    pub fn relays(&self, now: MonoTime) -> bool {
        let is_asked = |name: &InstanceName, link: &Link| {
            self.is_neighbour(name) && link.wants_now(now) > Asks::Nothing
        };
        self.rank(now) < RELAYS || self.links.iter().any(|(name, link)| is_asked(name, link))
    }

    /// The first of this domain's relays that answers, which does for the domain what one is enough for. None
    /// when that is this router itself.
    pub fn first_relay(&self, now: MonoTime) -> Option<&InstanceName> {
        if self.rank(now) == 0 {
            return None;
        }
        let candidates = self.candidates(self.neighbours(), now);
        let groups = [&candidates.settled, &candidates.settling, &candidates.untried];
        let first = groups.into_iter().find_map(|places| places.first())?;
        Some(&candidates.asked[*first].name)
    }

    /// Failure domains that have routers.
    pub fn domains(&self) -> usize {
        self.domains.len()
    }

    /// Whether this router's failure domain takes care of what runs in another one: that is so for its own,
    /// and for one domain without routers or another.
    pub fn cares_for(&self, domain: &str) -> bool {
        if *domain == *self.own.failure_domain || self.domains.contains_key(domain) {
            return *domain == *self.own.failure_domain;
        }
        let score = |candidate: &Arc<str>| rendezvous::score(domain.as_bytes(), candidate);
        self.domains.keys().max_by_key(|candidate| score(candidate))
            == Some(&self.own.failure_domain)
    }

    /// What another router is to get that it has not got yet.
    pub fn records_for(&mut self, to: &InstanceName, now: MonoTime) -> Vec<Record> {
        let change = self.change;
        let Some(link) = self.links.get_mut(to) else { return Vec::new() };
        let wants = link.wants_now(now);
        let receiver = Origin::of_router(to);
        let is_asked = link.is_asked();
        let sent = std::mem::replace(&mut link.sent_change, change);
        let is_due = |origin: &Origin, held: &Held| {
            let is_wanted = match wants {
                Asks::All => true,
                Asks::Near => held.is_near,
                // A router that is asked gets what the one that asks has first-hand.
                Asks::Presence | Asks::Nothing => held.is_first_hand && is_asked,
            };
            held.change > sent && is_wanted && *origin != receiver
        };
        let due = self.records.iter().filter(|(origin, held)| is_due(origin, held));
        due.map(|(origin, held)| held.record(*origin, now)).collect()
    }

    /// Drops what was published long ago.
    pub fn forget(&mut self, now: MonoTime) {
        self.records.retain(|_, held| now.ms_since(held.published) < FORGOTTEN_AFTER_MS);
    }

    fn hold(&mut self, origin: Origin, held: Held) {
        self.change += 1;
        self.records.insert(origin, Held { change: self.change, ..held });
    }

    /// Whether a record replaces what is known of its publisher.
    ///
    /// Of two runs the one that published later is the later one: the number of a run follows the wall clock,
    /// which may have gone back between them.
    fn is_news(&self, origin: Origin, order: (Incarnation, u64), published: MonoTime) -> bool {
        let Some(known) = self.records.get(&origin) else { return true };
        if known.incarnation == order.0 {
            return known.sequence < order.1;
        }
        known.published < published
    }

    fn is_neighbour(&self, name: &InstanceName) -> bool {
        self.neighbours().iter().any(|member| member.name == *name)
    }

    /// The routers of this router's failure domain, itself among them.
    fn neighbours(&self) -> &[Member] {
        self.domains.get(&self.own.failure_domain).map(Vec::as_slice).unwrap_or_default()
    }

    /// This router's place among those of its failure domain that answer.
    fn rank(&self, now: MonoTime) -> usize {
        let before = self.neighbours().iter().take_while(|member| member.name != self.own.name);
        before.filter(|member| !self.is_silent(member, now)).count()
    }

    fn is_silent(&self, member: &Member, now: MonoTime) -> bool {
        self.links.get(&member.name).is_some_and(|link| link.is_silent(now))
    }

    /// The relays of the own domain. One of them is asked for all records, unless this router is one itself.
    fn asks_in_own_domain(&self, now: MonoTime) -> Vec<(InstanceName, Asks)> {
        let is_relay = self.rank(now) < RELAYS;
        let candidates = self.candidates(self.neighbours(), now);
        let least = if is_relay { Asks::Near } else { Asks::Presence };
        let mut asks: Vec<(InstanceName, Asks)> =
            candidates.asked.iter().map(|member| (member.name.clone(), least)).collect();
        if !is_relay && let Some(chosen) = candidates.relay(self.spread()) {
            asks[chosen].1 = Asks::All;
        }
        asks
    }

    /// One relay of each other domain. The first relay here asks the first one there, and so on.
    fn asks_elsewhere(&self, now: MonoTime) -> Vec<(InstanceName, Asks)> {
        let rank = self.rank(now);
        let place = if rank < RELAYS { rank } else { self.spread() };
        let mut asks = Vec::new();
        for (domain, members) in &self.domains {
            if *domain == self.own.failure_domain {
                continue;
            }
            let candidates = self.candidates(members, now);
            let chosen = candidates.relay(place);
            // Who answers is known by the time that another one is needed.
            let looks_around = !candidates.silent.is_empty() || !candidates.settling.is_empty();
            for (place, member) in candidates.asked.iter().enumerate() {
                if Some(place) == chosen {
                    asks.push((member.name.clone(), Asks::Near));
                } else if looks_around {
                    asks.push((member.name.clone(), Asks::Presence));
                }
            }
        }
        asks
    }

    /// The routers of a domain that may be its relays now.
    ///
    /// Those that come first and are silent stay asked, so that their return is heard. For each of them one
    /// more is tried at once, so that a domain that has lost most of its routers is not walked one by one.
    fn candidates<'a>(&self, members: &'a [Member], now: MonoTime) -> Candidates<'a> {
        let mut candidates = Candidates::default();
        let (mut ready, mut settling, mut silent) = (0, 0, 0);
        for member in members {
            if ready >= RELAYS + silent || ready + settling >= 2 * RELAYS + silent {
                break;
            }
            let place = candidates.asked.len();
            let (group, count) = match self.links.get(&member.name) {
                // This router itself.
                None => {
                    ready += 1;
                    continue;
                }
                Some(link) if link.is_settled(now) => (&mut candidates.settled, &mut ready),
                Some(link) if link.answers(now) => (&mut candidates.settling, &mut settling),
                Some(link) if link.is_silent(now) => (&mut candidates.silent, &mut silent),
                Some(_) => (&mut candidates.untried, &mut ready),
            };
            group.push(place);
            *count += 1;
            candidates.asked.push(member);
        }
        candidates
    }

    /// Differs from router to router, so that they don't all choose the same relay.
    fn spread(&self) -> usize {
        let hash = rendezvous::score(b"relay", self.own.name.as_str());
        usize::try_from(hash % RELAYS as u64).unwrap_or(0)
    }
}

/// Routers of a domain to ask, in their order, and the places of those that are alike.
#[derive(Default)]
struct Candidates<'a> {
    asked: Vec<&'a Member>,
    /// They have answered for a while.
    settled: Vec<usize>,
    /// They have begun to answer.
    settling: Vec<usize>,
    /// They may answer yet.
    untried: Vec<usize>,
    /// They don't answer.
    silent: Vec<usize>,
}

impl Candidates<'_> {
    /// The place of one of the relays; different numbers choose different ones.
    fn relay(&self, number: usize) -> Option<usize> {
        let groups = [&self.settled, &self.settling, &self.untried];
        let places = groups.into_iter().find(|places| !places.is_empty())?;
        let relays = &places[..places.len().min(RELAYS)];
        Some(relays[number % relays.len()])
    }
}

impl Held {
    fn first_hand(order: (Incarnation, u64), payload: Vec<u8>, now: MonoTime) -> Self {
        let (incarnation, sequence) = order;
        let (is_near, is_first_hand) = (true, true);
        Self { incarnation, sequence, published: now, is_near, is_first_hand, payload, change: 0 }
    }

    fn record(&self, origin: Origin, now: MonoTime) -> Record {
        Record {
            origin,
            incarnation: self.incarnation,
            sequence: self.sequence,
            age_ms: now.ms_since(self.published).min(LONGEST_AGE_MS),
            is_near: self.is_near,
            payload: self.payload.clone(),
        }
    }
}
