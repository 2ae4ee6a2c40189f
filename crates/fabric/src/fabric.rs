//! The state that one router keeps to distribute records.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    sync::Arc,
};

use samphirespread_core::prelude::*;

use crate::{
    link::{Link, RecordRequest},
    record::{Origin, Record},
    relays::{self, Member, RELAYS},
};

/// Records older than this are dropped.
const RECORD_LIFETIME_MS: u64 = 10_000;
/// Maximum age that is sent with a record; larger ages are sent as this.
const MAX_SENT_AGE_MS: u64 = 60_000;

/// The records that one router has of all publishers, and its links to other routers.
#[derive(Debug)]
pub struct Fabric {
    own: Member,
    incarnation: Incarnation,
    sequence: u64,
    /// All routers, including this one, by failure domain and in the order in which they become
    /// relays.
    domains: BTreeMap<Arc<str>, Vec<Member>>,
    links: HashMap<InstanceName, Link>,
    router_names: HashMap<Origin, InstanceName>,
    records: HashMap<Origin, StoredRecord>,
    /// Number of records that were stored so far.
    revision: u64,
}

/// The latest record of a publisher.
#[derive(Debug)]
struct StoredRecord {
    incarnation: Incarnation,
    sequence: u64,
    published: MonoTime,
    /// Whether the record came from this router's failure domain.
    is_from_own_domain: bool,
    /// Whether the record came directly from its publisher.
    is_first_hand: bool,
    payload: Vec<u8>,
    /// Value of [`Fabric::revision`] when this record was stored.
    revision: u64,
}

/// A record that is newer than the stored one of the same publisher.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NewerRecord {
    /// Identifies the publisher.
    pub origin: Origin,
    /// Name of the publisher, if it is a known router.
    pub router: Option<InstanceName>,
    /// Incarnation of the publisher.
    pub incarnation: Incarnation,
    /// Rises with each record of an incarnation.
    pub sequence: u64,
    /// Time of publication by this router's clock.
    pub published: MonoTime,
    /// Data from the publisher, which this crate doesn't interpret.
    pub payload: Vec<u8>,
}

/// The outcome of receiving records from another router.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ReceivedRecords {
    /// Records that are newer than the stored ones.
    pub newer: Vec<NewerRecord>,
}

impl Fabric {
    /// Creates the state of a router that knows no other router yet.
    pub fn new(own: Member, incarnation: Incarnation) -> Self {
        let mut fabric = Self {
            own,
            incarnation,
            sequence: 0,
            domains: BTreeMap::new(),
            links: HashMap::new(),
            router_names: HashMap::new(),
            records: HashMap::new(),
            revision: 0,
        };
        fabric.set_members([], MonoTime::ZERO);
        fabric
    }

    /// Sets the list of all other routers. Links and records of routers that are not on it are
    /// removed.
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
        let removed: Vec<Origin> = (self.router_names.iter())
            .filter(|(_, name)| !known.contains(*name))
            .map(|(origin, _)| *origin)
            .collect();
        for origin in removed {
            self.router_names.remove(&origin);
            self.records.remove(&origin);
        }
        self.links.retain(|name, _| known.contains(name));
        for name in known {
            self.router_names.insert(Origin::of_router(&name), name.clone());
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
        let record = StoredRecord::first_hand((self.incarnation, self.sequence), payload, now);
        self.store(origin, record);
    }

    /// Stores a record that came directly from its publisher, which is not a router, if it is newer
    /// than the stored one.
    pub fn receive_first_hand(
        &mut self,
        origin: Origin,
        order: (Incarnation, u64),
        payload: Vec<u8>,
        now: MonoTime,
    ) {
        if self.is_newer(origin, order, now) {
            self.store(origin, StoredRecord::first_hand(order, payload, now));
        }
    }

    /// Handles a message of another router: which records it requests, and whether it has received
    /// messages from this router recently.
    ///
    /// A router that sends messages but receives none doesn't count as answering, and so isn't used
    /// as a relay. Returns false if the router is not a member.
    pub fn handle_request(
        &mut self,
        from: &InstanceName,
        request: RecordRequest,
        hears_this: bool,
        now: MonoTime,
    ) -> bool {
        let Some(link) = self.links.get_mut(from) else { return false };
        link.handle_request(request, hears_this, now);
        true
    }

    /// Stores records that came from another router, and returns those that are newer than the
    /// stored ones.
    pub fn receive_records(
        &mut self,
        from: &InstanceName,
        records: &[Record],
        now: MonoTime,
    ) -> ReceivedRecords {
        let is_in_own_domain = self.is_in_own_domain(from);
        let own = Origin::of_router(&self.own.name);
        let mut received = ReceivedRecords::default();
        for record in records {
            let order = (record.incarnation, record.sequence);
            let published = now.minus_ms(record.age_ms);
            if record.origin == own || !self.is_newer(record.origin, order, published) {
                continue;
            }
            received.newer.push(NewerRecord {
                origin: record.origin,
                router: self.router_names.get(&record.origin).cloned(),
                incarnation: record.incarnation,
                sequence: record.sequence,
                published,
                payload: record.payload.clone(),
            });
            let stored = StoredRecord {
                incarnation: record.incarnation,
                sequence: record.sequence,
                published,
                is_from_own_domain: record.is_from_sender_domain && is_in_own_domain,
                is_first_hand: false,
                payload: record.payload.clone(),
                revision: 0,
            };
            self.store(record.origin, stored);
        }
        received
    }

    /// Returns the routers that this router asks for records now, and what it asks of each. It also
    /// sends them the records that it has first-hand.
    pub fn requests(&mut self, now: MonoTime) -> Vec<(InstanceName, RecordRequest)> {
        let mut requests = self.requests_in_own_domain(now);
        if self.is_relay(now) {
            requests.extend(self.requests_to_other_domains(now));
        }
        for (name, link) in &mut self.links {
            link.set_asked(requests.iter().any(|(asked, _)| asked == name), now);
        }
        requests
    }

    /// Returns the other routers that have recently sent this one a request.
    pub fn requesters(&self, now: MonoTime) -> impl Iterator<Item = &InstanceName> {
        let links = self.links.iter();
        links
            .filter(move |(_, link)| link.current_request(now) > RecordRequest::None)
            .map(|(name, _)| name)
    }

    /// Returns whether this router acts as a relay, either by its rank or because a router of its
    /// failure domain sends it requests.
    pub fn is_relay(&self, now: MonoTime) -> bool {
        let is_asked = |name: &InstanceName, link: &Link| {
            self.is_in_own_domain(name) && link.current_request(now) > RecordRequest::None
        };
        self.rank(now) < RELAYS || self.links.iter().any(|(name, link)| is_asked(name, link))
    }

    /// Returns the highest-ranked router of this failure domain that answers; it does the work that
    /// only one router per domain needs to do. Returns `None` if that is this router.
    pub fn first_relay(&self, now: MonoTime) -> Option<&InstanceName> {
        if self.rank(now) == 0 {
            return None;
        }
        let candidates = self.candidates(self.own_domain_members(), now);
        let groups = [&candidates.settled, &candidates.settling, &candidates.untried];
        let first = groups.into_iter().find_map(|indices| indices.first())?;
        Some(&candidates.asked[*first].name)
    }

    /// Returns whether a record's publisher is a known router.
    pub fn is_router(&self, origin: Origin) -> bool {
        self.router_names.contains_key(&origin)
    }

    /// Returns the number of failure domains that have routers.
    pub fn domain_count(&self) -> usize {
        self.domains.len()
    }

    /// Returns whether the routers of this failure domain are responsible for the engines in
    /// `domain`. They are for those in their own domain. Each domain without routers is assigned to
    /// one domain that has some.
    pub fn is_responsible_for(&self, domain: &str) -> bool {
        if *domain == *self.own.failure_domain || self.domains.contains_key(domain) {
            return *domain == *self.own.failure_domain;
        }
        let score = |candidate: &Arc<str>| rendezvous::score(domain.as_bytes(), candidate);
        self.domains.keys().max_by_key(|candidate| score(candidate))
            == Some(&self.own.failure_domain)
    }

    /// Returns the records that another router is to receive and that were not sent to it yet.
    pub fn records_for(&mut self, to: &InstanceName, now: MonoTime) -> Vec<Record> {
        let revision = self.revision;
        let Some(link) = self.links.get_mut(to) else { return Vec::new() };
        let request = link.current_request(now);
        let receiver = Origin::of_router(to);
        let is_asked = link.is_asked();
        let sent_revision = std::mem::replace(&mut link.sent_revision, revision);
        let is_due = |origin: &Origin, record: &StoredRecord| {
            let is_wanted = match request {
                RecordRequest::All => true,
                RecordRequest::SenderDomain => record.is_from_own_domain,
                // This router sends its first-hand records to the routers that it asks for records.
                RecordRequest::Presence | RecordRequest::None => record.is_first_hand && is_asked,
            };
            record.revision > sent_revision && is_wanted && *origin != receiver
        };
        let due = self.records.iter().filter(|(origin, record)| is_due(origin, record));
        due.map(|(origin, record)| record.to_record(*origin, now)).collect()
    }

    /// Drops records that were published long ago.
    pub fn forget(&mut self, now: MonoTime) {
        self.records.retain(|_, record| now.ms_since(record.published) < RECORD_LIFETIME_MS);
    }

    fn store(&mut self, origin: Origin, record: StoredRecord) {
        self.revision += 1;
        self.records.insert(origin, StoredRecord { revision: self.revision, ..record });
    }

    /// Returns whether a record is newer than the stored one of its publisher.
    ///
    /// Records of different incarnations are compared by their time of publication, since
    /// incarnation numbers follow the wall clock, which may have gone back between them.
    fn is_newer(&self, origin: Origin, order: (Incarnation, u64), published: MonoTime) -> bool {
        let Some(stored) = self.records.get(&origin) else { return true };
        if stored.incarnation == order.0 {
            return stored.sequence < order.1;
        }
        stored.published < published
    }

    fn is_in_own_domain(&self, name: &InstanceName) -> bool {
        self.own_domain_members().iter().any(|member| member.name == *name)
    }

    /// Returns the routers of this router's failure domain, including itself.
    fn own_domain_members(&self) -> &[Member] {
        self.domains.get(&self.own.failure_domain).map(Vec::as_slice).unwrap_or_default()
    }

    /// Returns the number of routers that rank before this one in its failure domain and are not
    /// silent.
    fn rank(&self, now: MonoTime) -> usize {
        let before =
            self.own_domain_members().iter().take_while(|member| member.name != self.own.name);
        before.filter(|member| !self.is_silent(member, now)).count()
    }

    fn is_silent(&self, member: &Member, now: MonoTime) -> bool {
        self.links.get(&member.name).is_some_and(|link| link.is_silent(now))
    }

    /// Returns what to ask of the candidate relays of this router's own domain. A router that is
    /// not a relay asks one of them for all records; relays ask each other for those of the domain.
    fn requests_in_own_domain(&self, now: MonoTime) -> Vec<(InstanceName, RecordRequest)> {
        let is_relay = self.rank(now) < RELAYS;
        let candidates = self.candidates(self.own_domain_members(), now);
        let base_request =
            if is_relay { RecordRequest::SenderDomain } else { RecordRequest::Presence };
        let mut requests: Vec<(InstanceName, RecordRequest)> =
            candidates.asked.iter().map(|member| (member.name.clone(), base_request)).collect();
        if !is_relay && let Some(chosen) = candidates.choose_relay(self.relay_number()) {
            requests[chosen].1 = RecordRequest::All;
        }
        requests
    }

    /// Returns what to ask of the routers of other domains: the records of each domain from one of
    /// its relays. The first relay of this domain asks the first one of the other domain, and so
    /// on.
    fn requests_to_other_domains(&self, now: MonoTime) -> Vec<(InstanceName, RecordRequest)> {
        let rank = self.rank(now);
        let number = if rank < RELAYS { rank } else { self.relay_number() };
        let mut requests = Vec::new();
        for (domain, members) in &self.domains {
            if *domain == self.own.failure_domain {
                continue;
            }
            let candidates = self.candidates(members, now);
            let chosen = candidates.choose_relay(number);
            // Asking the others as well shows which of them answer before another relay is needed.
            let checks_others = !candidates.silent.is_empty() || !candidates.settling.is_empty();
            for (index, member) in candidates.asked.iter().enumerate() {
                if Some(index) == chosen {
                    requests.push((member.name.clone(), RecordRequest::SenderDomain));
                } else if checks_others {
                    requests.push((member.name.clone(), RecordRequest::Presence));
                }
            }
        }
        requests
    }

    /// Returns the routers of a domain that may be its relays now.
    ///
    /// Silent routers that rank first are still asked, so that their return is noticed. For each of
    /// them one more router is tried at once, so that in a domain that has lost most of its routers
    /// they are not tried one after the other.
    fn candidates<'a>(&self, members: &'a [Member], now: MonoTime) -> Candidates<'a> {
        let mut candidates = Candidates::default();
        let (mut ready, mut settling, mut silent) = (0, 0, 0);
        for member in members {
            if ready >= RELAYS + silent || ready + settling >= 2 * RELAYS + silent {
                break;
            }
            let index = candidates.asked.len();
            let (group, count) = match self.links.get(&member.name) {
                // There is no link to this router itself.
                None => {
                    ready += 1;
                    continue;
                }
                Some(link) if link.is_settled(now) => (&mut candidates.settled, &mut ready),
                Some(link) if link.answers(now) => (&mut candidates.settling, &mut settling),
                Some(link) if link.is_silent(now) => (&mut candidates.silent, &mut silent),
                Some(_) => (&mut candidates.untried, &mut ready),
            };
            group.push(index);
            *count += 1;
            candidates.asked.push(member);
        }
        candidates
    }

    /// Returns a number that differs between routers, so that they don't all choose the same relay.
    fn relay_number(&self) -> usize {
        let hash = rendezvous::score(b"relay", self.own.name.as_str());
        usize::try_from(hash % RELAYS as u64).unwrap_or(0)
    }
}

/// The routers of a domain to ask, in order of rank, and their indices in `asked` grouped by state.
#[derive(Default)]
struct Candidates<'a> {
    asked: Vec<&'a Member>,
    /// Routers that have answered for a while.
    settled: Vec<usize>,
    /// Routers that have begun to answer.
    settling: Vec<usize>,
    /// Routers that were not asked for long enough to know whether they answer.
    untried: Vec<usize>,
    /// Routers that were asked and don't answer.
    silent: Vec<usize>,
}

impl Candidates<'_> {
    /// Returns the index in `asked` of one of the relays; `number` selects which one.
    fn choose_relay(&self, number: usize) -> Option<usize> {
        let groups = [&self.settled, &self.settling, &self.untried];
        let indices = groups.into_iter().find(|indices| !indices.is_empty())?;
        let relays = &indices[..indices.len().min(RELAYS)];
        Some(relays[number % relays.len()])
    }
}

impl StoredRecord {
    fn first_hand(order: (Incarnation, u64), payload: Vec<u8>, now: MonoTime) -> Self {
        let (incarnation, sequence) = order;
        let (is_from_own_domain, is_first_hand) = (true, true);
        Self {
            incarnation,
            sequence,
            published: now,
            is_from_own_domain,
            is_first_hand,
            payload,
            revision: 0,
        }
    }

    fn to_record(&self, origin: Origin, now: MonoTime) -> Record {
        Record {
            origin,
            incarnation: self.incarnation,
            sequence: self.sequence,
            age_ms: now.ms_since(self.published).min(MAX_SENT_AGE_MS),
            is_from_sender_domain: self.is_from_own_domain,
            payload: self.payload.clone(),
        }
    }
}
