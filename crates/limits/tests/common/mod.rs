//! A small world of routers, a lossy network and a faulty platform on one virtual clock.

// Each test binary uses its own part of the fixtures.
#![allow(dead_code)]

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet, BinaryHeap},
};

use rand::{Rng, SeedableRng, rngs::StdRng};
use samphirespread_core::prelude::*;
use samphirespread_limits::{
    Action, Call, Event, Holder, Limiter, LimitsConfig, ObjectState, PeerMessage, PeerReply,
    PeerRequest, RefuseReason, RouterInfo, TeamLimit, WriteOutcome,
};

pub(crate) mod baselines;
pub(crate) mod checker;

/// What a world drives: the limiter, or something simpler to compare it with.
pub(crate) trait Admission {
    /// Whether all runs read one clock.
    const SHARED_CLOCK: bool = false;

    fn start(config: &LimitsConfig, me: Holder, run: Incarnation, now: MonoTime) -> Self;
    fn handle(&mut self, now: MonoTime, event: Event) -> Vec<Action>;
}

impl Admission for Limiter {
    fn start(config: &LimitsConfig, me: Holder, run: Incarnation, now: MonoTime) -> Self {
        Limiter::new(config.clone(), me, run, now)
    }

    fn handle(&mut self, now: MonoTime, event: Event) -> Vec<Action> {
        Limiter::handle(self, now, event)
    }
}

/// How the network and the platform behave.
#[derive(Clone, Debug)]
pub(crate) struct Weather {
    pub(crate) loss_per_mille: u32,
    pub(crate) duplicate_per_mille: u32,
    pub(crate) slow_per_mille: u32,
    pub(crate) slow_us: u64,
    pub(crate) one_way_us: (u64, u64),
    pub(crate) answer_lost_per_mille: u32,
    pub(crate) late_write_per_mille: u32,
    pub(crate) late_write_us: u64,
    pub(crate) live_lag_us: u64,
    pub(crate) drift_ppm: u64,
}

impl Weather {
    pub(crate) fn calm() -> Self {
        Self {
            loss_per_mille: 0,
            duplicate_per_mille: 0,
            slow_per_mille: 0,
            slow_us: 0,
            one_way_us: (400, 1_600),
            answer_lost_per_mille: 0,
            late_write_per_mille: 0,
            late_write_us: 0,
            live_lag_us: 2_000_000,
            drift_ppm: 0,
        }
    }

    pub(crate) fn rough() -> Self {
        Self {
            loss_per_mille: 40,
            duplicate_per_mille: 60,
            slow_per_mille: 60,
            slow_us: 4_000_000,
            answer_lost_per_mille: 120,
            late_write_per_mille: 120,
            late_write_us: 15_000_000,
            ..Self::calm()
        }
    }
}

/// One instance. Its runs come and go.
struct Node<A> {
    holder: Holder,
    domain: String,
    run: u64,
    machine: Option<A>,
    origin_us: u64,
    ppm: i64,
    paused_until_us: u64,
    removed: bool,
}

#[derive(Clone, Debug)]
enum Item {
    ToRun { node: usize, run: u64, event: Event },
    ToAddress { address: String, from: usize, from_run: u64, exchange: u64, message: PeerMessage },
    Platform { node: usize, run: u64, op: Op },
    Tick { node: usize, run: u64 },
    LiveList,
    Restart { node: usize },
    EndOfRequest { node: usize, run: u64, ticket: u64 },
}

#[derive(Clone, Debug)]
enum Op {
    Read { call: Call, slot: u32 },
    Write { call: Call, slot: u32, expect: Option<u64>, text: String, answered: bool },
}

/// A request that was admitted.
#[derive(Clone, Debug)]
pub(crate) struct Admitted {
    pub(crate) at_us: u64,
    pub(crate) team: usize,
    pub(crate) tokens: u64,
    pub(crate) unused: u64,
}

/// What came of all requests of one team.
#[derive(Clone, Debug, Default)]
pub(crate) struct Tally {
    pub(crate) offered: u64,
    pub(crate) granted: u64,
    pub(crate) refused: u64,
    pub(crate) wrongful: u64,
    pub(crate) last_wrongful_us: u64,
}

pub(crate) struct World<A> {
    pub(crate) now_us: u64,
    pub(crate) rng: StdRng,
    pub(crate) weather: Weather,
    pub(crate) config: LimitsConfig,
    pub(crate) limits: Vec<TeamLimit>,
    pub(crate) admitted: Vec<Admitted>,
    pub(crate) tally: Vec<Tally>,
    pub(crate) messages: u64,
    pub(crate) promises_asked: u64,
    pub(crate) message_bytes: u64,
    pub(crate) platform_reads: u64,
    pub(crate) platform_writes: u64,
    nodes: Vec<Node<A>>,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    items: BTreeMap<u64, Item>,
    next_item: u64,
    next_run: u64,
    next_ticket: u64,
    objects: BTreeMap<u32, (u64, String)>,
    version: u64,
    outage_until_us: u64,
    cut: BTreeMap<(usize, usize), u64>,
    cut_platform: BTreeMap<usize, u64>,
    live_history: Vec<(u64, Vec<RouterInfo>)>,
    replies_to: BTreeMap<u64, (usize, u64, u64)>,
    pending: BTreeMap<u64, Pending>,
    ideal: Vec<checker::IdealBucket>,
}

struct Pending {
    node: usize,
    run: u64,
    team: usize,
    tokens: u64,
    fits: bool,
    admitted: Option<usize>,
    hold_us: u64,
    unused: u64,
}

pub(crate) const TICK_US: u64 = 50_000;
const LIVE_PERIOD_US: u64 = 1_000_000;

impl<A: Admission> World<A> {
    pub(crate) fn new(
        seed: u64,
        routers: usize,
        config: LimitsConfig,
        limits: Vec<TeamLimit>,
    ) -> Self {
        let ideal = limits.iter().map(checker::IdealBucket::new).collect();
        let tally = vec![Tally::default(); limits.len()];
        let mut world = Self {
            now_us: 0,
            rng: StdRng::seed_from_u64(seed),
            weather: Weather::calm(),
            config,
            limits,
            admitted: Vec::new(),
            tally,
            messages: 0,
            promises_asked: 0,
            message_bytes: 0,
            platform_reads: 0,
            platform_writes: 0,
            nodes: Vec::new(),
            queue: BinaryHeap::new(),
            items: BTreeMap::new(),
            next_item: 0,
            next_run: 1,
            next_ticket: 0,
            objects: BTreeMap::new(),
            version: 0,
            outage_until_us: 0,
            cut: BTreeMap::new(),
            cut_platform: BTreeMap::new(),
            live_history: Vec::new(),
            replies_to: BTreeMap::new(),
            pending: BTreeMap::new(),
            ideal,
        };
        for index in 0..routers {
            world.add_node(index);
        }
        world.note_live();
        for node in 0..routers {
            world.start_run(node);
        }
        world.at(0, Item::LiveList);
        world
    }

    fn add_node(&mut self, index: usize) {
        let number = self.nodes.len();
        self.nodes.push(Node {
            holder: Holder {
                name: InstanceName::new(format!("r{index}")),
                address: format!("10.0.0.{number}:7000"),
            },
            domain: format!("d{}", index % 3),
            run: 0,
            machine: None,
            origin_us: 0,
            ppm: 0,
            paused_until_us: 0,
            removed: false,
        });
    }

    fn start_run(&mut self, node: usize) {
        let run = self.next_run;
        self.next_run += 1;
        let ppm = self.weather.drift_ppm as i64;
        let ppm = if ppm == 0 { 0 } else { self.rng.random_range(-ppm..=ppm) };
        let now_us = self.now_us;
        let entry = &mut self.nodes[node];
        entry.run = run;
        entry.origin_us = if A::SHARED_CLOCK { 0 } else { now_us };
        entry.ppm = ppm;
        entry.paused_until_us = 0;
        let holder = entry.holder.clone();
        entry.machine = Some(A::start(&self.config, holder, Incarnation(run), MonoTime::ZERO));
        let limits = self.limits.clone();
        self.at(now_us, Item::ToRun { node, run, event: Event::Limits(limits) });
        self.at(now_us, Item::Tick { node, run });
        self.deliver_live(node);
    }

    fn at(&mut self, at_us: u64, item: Item) {
        let number = self.next_item;
        self.next_item += 1;
        self.items.insert(number, item);
        self.queue.push(Reverse((at_us.max(self.now_us), number)));
    }

    /// Handles everything that is due up to an instant.
    pub(crate) fn run_until(&mut self, until_us: u64) {
        while let Some(Reverse((at_us, number))) = self.queue.peek().copied() {
            if at_us > until_us {
                break;
            }
            self.queue.pop();
            self.now_us = at_us;
            if let Some(item) = self.items.remove(&number) {
                self.step(item);
            }
        }
        self.now_us = until_us;
    }

    fn step(&mut self, item: Item) {
        match item {
            Item::ToRun { node, run, event } => self.deliver(node, run, event),
            Item::ToAddress { address, from, from_run, exchange, message } => {
                self.arrive(&address, from, from_run, exchange, message);
            }
            Item::Platform { node, run, op } => self.platform(node, run, op),
            Item::Tick { node, run } => {
                if self.nodes[node].run == run && self.nodes[node].machine.is_some() {
                    self.deliver(node, run, Event::Tick);
                    let next = self.now_us.max(self.nodes[node].paused_until_us) + TICK_US;
                    self.at(next, Item::Tick { node, run });
                }
            }
            Item::LiveList => self.live_list(),
            Item::Restart { node } => {
                if self.nodes[node].machine.is_none() && !self.nodes[node].removed {
                    self.start_run(node);
                }
            }
            Item::EndOfRequest { node, run, ticket } => self.end_of_request(node, run, ticket),
        }
    }

    fn deliver(&mut self, node: usize, run: u64, event: Event) {
        let entry = &mut self.nodes[node];
        if entry.run != run || entry.machine.is_none() {
            return;
        }
        if entry.paused_until_us > self.now_us {
            let at_us = entry.paused_until_us;
            self.at(at_us, Item::ToRun { node, run, event });
            return;
        }
        let now = self.local(node);
        let Some(machine) = self.nodes[node].machine.as_mut() else { return };
        let actions = machine.handle(now, event);
        for action in actions {
            self.carry_out(node, run, action);
        }
    }

    fn local(&self, node: usize) -> MonoTime {
        let entry = &self.nodes[node];
        let elapsed = i128::from(self.now_us - entry.origin_us);
        let local = elapsed + elapsed * i128::from(entry.ppm) / 1_000_000;
        MonoTime::from_us(u64::try_from(local).unwrap_or(0))
    }

    fn carry_out(&mut self, node: usize, run: u64, action: Action) {
        match action {
            Action::Grant { ticket } => self.granted(ticket),
            Action::Refuse { ticket, reason } => self.refused(ticket, reason),
            Action::Send { exchange, to, message } => {
                self.messages += 1;
                if matches!(message.body, PeerRequest::Promise { .. }) {
                    self.promises_asked += 1;
                }
                self.message_bytes += message.encode().map_or(0, |bytes| bytes.len() as u64);
                let wait_us = 50_000;
                let unanswered = Event::Unanswered { exchange };
                let at_us = self.now_us + wait_us;
                self.at(at_us, Item::ToRun { node, run, event: unanswered });
                let item = Item::ToAddress {
                    address: to.address,
                    from: node,
                    from_run: run,
                    exchange,
                    message,
                };
                self.post(&item);
            }
            Action::Reply { exchange, reply } => self.post_reply(node, exchange, reply),
            Action::Read { call, slot } => {
                self.platform_reads += 1;
                let op = Op::Read { call, slot };
                let delay_us = self.one_way_us();
                self.at(self.now_us + delay_us, Item::Platform { node, run, op });
            }
            Action::Write { call, slot, expect, text } => {
                self.platform_writes += 1;
                self.post_write(node, run, call, slot, expect, text);
            }
            Action::Left => {}
        }
    }

    fn one_way_us(&mut self) -> u64 {
        let (low, high) = self.weather.one_way_us;
        let base = self.rng.random_range(low..=high);
        if self.chance(self.weather.slow_per_mille) {
            return base + self.rng.random_range(0..=self.weather.slow_us);
        }
        base
    }

    fn chance(&mut self, per_mille: u32) -> bool {
        per_mille > 0 && self.rng.random_range(0..1_000) < per_mille
    }

    fn post(&mut self, item: &Item) {
        let copies = if self.chance(self.weather.duplicate_per_mille) { 2 } else { 1 };
        for _ in 0..copies {
            if self.chance(self.weather.loss_per_mille) {
                continue;
            }
            let delay_us = self.one_way_us();
            self.at(self.now_us + delay_us, item.clone());
        }
    }

    fn is_cut(&self, a: usize, b: usize) -> bool {
        self.cut.get(&(a.min(b), a.max(b))).is_some_and(|until| *until > self.now_us)
    }

    fn arrive(
        &mut self,
        address: &str,
        from: usize,
        from_run: u64,
        exchange: u64,
        message: PeerMessage,
    ) {
        let found = self.nodes.iter().position(|node| node.holder.address == address);
        let Some(node) = found.filter(|node| !self.is_cut(from, *node)) else { return };
        let run = self.nodes[node].run;
        let token = self.next_item;
        self.next_item += 1;
        self.replies_to.insert(token, (from, from_run, exchange));
        self.deliver(node, run, Event::Message { exchange: token, message });
    }

    fn post_reply(&mut self, node: usize, token: u64, reply: PeerReply) {
        let Some((to, run, exchange)) = self.replies_to.remove(&token) else { return };
        if self.is_cut(node, to) {
            return;
        }
        self.post(&Item::ToRun { node: to, run, event: Event::Reply { exchange, reply } });
    }

    fn post_write(
        &mut self,
        node: usize,
        run: u64,
        call: Call,
        slot: u32,
        expect: Option<u64>,
        text: String,
    ) {
        // A late write takes effect long after its sender has counted it as lost.
        let late = self.chance(self.weather.late_write_per_mille);
        let extra_us = if late { self.rng.random_range(0..=self.weather.late_write_us) } else { 0 };
        let answered = !late && !self.chance(self.weather.answer_lost_per_mille);
        let delay_us = self.one_way_us() + extra_us;
        let op = Op::Write { call, slot, expect, text, answered };
        self.at(self.now_us + delay_us, Item::Platform { node, run, op });
        if !answered {
            let event = Event::Written { call, outcome: WriteOutcome::Unknown };
            self.at(self.now_us + 1_000_000, Item::ToRun { node, run, event });
        }
    }

    fn platform(&mut self, node: usize, run: u64, op: Op) {
        let cut = self.cut_platform.get(&node).is_some_and(|until| *until > self.now_us);
        let down = cut || self.outage_until_us > self.now_us;
        let (event, answered) = match op {
            Op::Read { call, slot } => {
                let state = match self.objects.get(&slot) {
                    _ if down => ObjectState::Unknown,
                    None => ObjectState::Absent,
                    Some((version, text)) => {
                        ObjectState::Present { version: *version, text: text.clone() }
                    }
                };
                (Event::Read { call, state }, true)
            }
            Op::Write { call, .. } if down => {
                (Event::Written { call, outcome: WriteOutcome::Unknown }, true)
            }
            Op::Write { call, slot, expect, text, answered } => {
                let outcome = self.apply(slot, expect, text);
                (Event::Written { call, outcome }, answered)
            }
        };
        if answered {
            let delay_us = self.one_way_us();
            self.at(self.now_us + delay_us, Item::ToRun { node, run, event });
        }
    }

    fn apply(&mut self, slot: u32, expect: Option<u64>, text: String) -> WriteOutcome {
        let present = self.objects.get(&slot).map(|(version, _)| *version);
        if present != expect {
            return WriteOutcome::Conflict;
        }
        self.version += 1;
        self.objects.insert(slot, (self.version, text));
        WriteOutcome::Done { version: self.version }
    }

    fn note_live(&mut self) {
        let routers = self
            .nodes
            .iter()
            .filter(|node| !node.removed)
            .map(|node| RouterInfo {
                holder: node.holder.clone(),
                failure_domain: node.domain.clone(),
                leaving: false,
            })
            .collect();
        self.live_history.push((self.now_us, routers));
    }

    fn live_list(&mut self) {
        if self.outage_until_us <= self.now_us {
            for node in 0..self.nodes.len() {
                self.deliver_live(node);
            }
        }
        self.at(self.now_us + LIVE_PERIOD_US, Item::LiveList);
    }

    fn deliver_live(&mut self, node: usize) {
        if self.outage_until_us > self.now_us {
            return;
        }
        let lag_us = self.rng.random_range(0..=self.weather.live_lag_us);
        let seen_us = self.now_us.saturating_sub(lag_us);
        let seen = self.live_history.iter().rev().find(|(at_us, _)| *at_us <= seen_us);
        let Some(routers) = seen.map(|(_, routers)| routers.clone()) else { return };
        let run = self.nodes[node].run;
        self.at(self.now_us, Item::ToRun { node, run, event: Event::Live(routers) });
    }
}

/// Requests.
impl<A: Admission> World<A> {
    pub(crate) fn offer(
        &mut self,
        node: usize,
        team: usize,
        tokens: u64,
        unused: u64,
        hold_us: u64,
    ) {
        if self.nodes[node].machine.is_none() || self.nodes[node].paused_until_us > self.now_us {
            return;
        }
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        let run = self.nodes[node].run;
        let fits = self.ideal[team].fits(self.now_us, tokens);
        self.tally[team].offered += 1;
        let pending = Pending { node, run, team, tokens, fits, admitted: None, hold_us, unused };
        self.pending.insert(ticket, pending);
        let event = Event::Admit { ticket, team: self.limits[team].team.clone(), tokens };
        self.deliver(node, run, event);
    }

    fn granted(&mut self, ticket: u64) {
        let Some(pending) = self.pending.get_mut(&ticket) else { return };
        assert!(pending.admitted.is_none(), "a request is granted once");
        let (node, run, team, tokens) = (pending.node, pending.run, pending.team, pending.tokens);
        pending.admitted = Some(self.admitted.len());
        let end_us = self.now_us + pending.hold_us;
        self.admitted.push(Admitted { at_us: self.now_us, team, tokens, unused: 0 });
        self.tally[team].granted += 1;
        self.ideal[team].charge(self.now_us, tokens);
        self.at(end_us, Item::EndOfRequest { node, run, ticket });
    }

    fn refused(&mut self, ticket: u64, _reason: RefuseReason) {
        let Some(pending) = self.pending.remove(&ticket) else { return };
        let tally = &mut self.tally[pending.team];
        tally.refused += 1;
        if pending.fits && self.ideal[pending.team].fits(self.now_us, pending.tokens) {
            tally.wrongful += 1;
            tally.last_wrongful_us = self.now_us;
        }
    }

    fn end_of_request(&mut self, node: usize, run: u64, ticket: u64) {
        if self.nodes[node].run != run || self.nodes[node].machine.is_none() {
            return;
        }
        if self.nodes[node].paused_until_us > self.now_us {
            let at_us = self.nodes[node].paused_until_us;
            self.at(at_us, Item::EndOfRequest { node, run, ticket });
            return;
        }
        let Some(pending) = self.pending.remove(&ticket) else { return };
        let Some(index) = pending.admitted else { return };
        self.admitted[index].unused = pending.unused;
        self.ideal[pending.team].refund(self.now_us, pending.unused);
        let event = Event::Refund { ticket, unused_tokens: pending.unused };
        self.deliver(node, run, event);
    }

    pub(crate) fn alive(&self) -> Vec<usize> {
        (0..self.nodes.len())
            .filter(|node| {
                self.nodes[*node].machine.is_some()
                    && self.nodes[*node].paused_until_us <= self.now_us
            })
            .collect()
    }

    pub(crate) fn machine(&self, node: usize) -> Option<(&A, MonoTime)> {
        self.nodes[node].machine.as_ref().map(|machine| (machine, self.local(node)))
    }

    pub(crate) fn object(&self, slot: u32) -> Option<&str> {
        self.objects.get(&slot).map(|(_, text)| text.as_str())
    }

    pub(crate) fn holder(&self, node: usize) -> Holder {
        self.nodes[node].holder.clone()
    }
}

/// Failures.
impl<A: Admission> World<A> {
    pub(crate) fn crash(&mut self, node: usize, restart_after_us: Option<u64>) {
        self.nodes[node].machine = None;
        if let Some(after_us) = restart_after_us {
            let at_us = self.now_us + after_us;
            self.at(at_us, Item::Restart { node });
        }
    }

    /// Ends an instance for good and starts another, under the same name at a new address.
    pub(crate) fn replace(&mut self, node: usize) {
        self.nodes[node].machine = None;
        self.nodes[node].removed = true;
        let name = self.nodes[node].holder.name.clone();
        let index = self.nodes.len();
        self.add_node(index);
        self.nodes[index].holder.name = name;
        self.note_live();
        self.start_run(index);
    }

    pub(crate) fn remove(&mut self, node: usize) {
        self.nodes[node].machine = None;
        self.nodes[node].removed = true;
        self.note_live();
    }

    pub(crate) fn pause(&mut self, node: usize, for_us: u64) {
        self.nodes[node].paused_until_us = self.now_us + for_us;
    }

    pub(crate) fn outage(&mut self, for_us: u64) {
        self.outage_until_us = self.now_us + for_us;
    }

    pub(crate) fn cut(&mut self, a: usize, b: usize, for_us: u64) {
        self.cut.insert((a.min(b), a.max(b)), self.now_us + for_us);
    }

    /// Cuts one router off from the platform; its peers still reach it.
    pub(crate) fn cut_from_platform(&mut self, node: usize, for_us: u64) {
        self.cut_platform.insert(node, self.now_us + for_us);
    }

    pub(crate) fn isolate(&mut self, node: usize, for_us: u64) {
        for other in 0..self.nodes.len() {
            if other != node {
                self.cut(node, other, for_us);
            }
        }
    }

    pub(crate) fn leave(&mut self, node: usize) {
        let run = self.nodes[node].run;
        self.deliver(node, run, Event::Leave);
    }

    pub(crate) fn removed(&self) -> BTreeSet<usize> {
        (0..self.nodes.len()).filter(|node| self.nodes[*node].removed).collect()
    }

    pub(crate) fn node_count(&self) -> usize {
        self.nodes.len()
    }
}

pub(crate) fn team_limit(name: &str, rate_tokens_per_s: u64, burst_tokens: u64) -> TeamLimit {
    TeamLimit { team: TeamName::new(name), rate_tokens_per_s, burst_tokens }
}

/// A setting from the environment, for long runs.
pub(crate) fn from_environment(name: &str, default: u64) -> u64 {
    std::env::var(name).ok().and_then(|text| text.parse().ok()).unwrap_or(default)
}
