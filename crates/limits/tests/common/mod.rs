//! A simulation of routers, a lossy network and a faulty platform on one virtual clock.

// Each test binary uses only some of these items.
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

/// The admission logic under simulation: the limiter, or a simpler method to compare it with.
pub(crate) trait Admission {
    /// Whether all runs read the same clock, instead of one that starts at zero with each run.
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

/// The delays and fault rates of the network, the platform and the clocks.
#[derive(Clone, Debug)]
pub(crate) struct Conditions {
    pub(crate) loss_per_mille: u32,
    pub(crate) duplicate_per_mille: u32,
    pub(crate) slow_per_mille: u32,
    pub(crate) slow_us: u64,
    /// The bounds of the delay of a message.
    pub(crate) one_way_us: (u64, u64),
    pub(crate) answer_lost_per_mille: u32,
    pub(crate) late_write_per_mille: u32,
    pub(crate) late_write_us: u64,
    pub(crate) max_live_list_age_us: u64,
    pub(crate) drift_ppm: u64,
}

impl Conditions {
    pub(crate) fn reliable() -> Self {
        Self {
            loss_per_mille: 0,
            duplicate_per_mille: 0,
            slow_per_mille: 0,
            slow_us: 0,
            one_way_us: (400, 1_600),
            answer_lost_per_mille: 0,
            late_write_per_mille: 0,
            late_write_us: 0,
            max_live_list_age_us: 2_000_000,
            drift_ppm: 0,
        }
    }

    pub(crate) fn unreliable() -> Self {
        Self {
            loss_per_mille: 40,
            duplicate_per_mille: 60,
            slow_per_mille: 60,
            slow_us: 4_000_000,
            answer_lost_per_mille: 120,
            late_write_per_mille: 120,
            late_write_us: 15_000_000,
            ..Self::reliable()
        }
    }
}

/// One instance, with at most one run at a time.
struct Node<A> {
    holder: Holder,
    failure_domain: String,
    run: u64,
    limiter: Option<A>,
    origin_us: u64,
    ppm: i64,
    paused_until_us: u64,
    removed: bool,
}

#[derive(Clone, Debug)]
enum SimEvent {
    ToRun { node: usize, run: u64, event: Event },
    ToAddress { address: String, from: usize, from_run: u64, exchange: u64, message: PeerMessage },
    Platform { node: usize, run: u64, op: PlatformCall },
    Tick { node: usize, run: u64 },
    LiveList,
    Restart { node: usize },
    FinishRequest { node: usize, run: u64, ticket: u64 },
}

#[derive(Clone, Debug)]
enum PlatformCall {
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

/// Counts of the requests of one team, by outcome.
#[derive(Clone, Debug, Default)]
pub(crate) struct Tally {
    pub(crate) offered: u64,
    pub(crate) granted: u64,
    pub(crate) refused: u64,
    pub(crate) wrongful: u64,
    pub(crate) last_wrongful_us: u64,
}

/// A fleet of routers with its network and platform, driven by a queue of events.
pub(crate) struct Simulation<A> {
    pub(crate) now_us: u64,
    pub(crate) rng: StdRng,
    pub(crate) conditions: Conditions,
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
    sim_events: BTreeMap<u64, SimEvent>,
    next_item: u64,
    next_run: u64,
    next_ticket: u64,
    objects: BTreeMap<u32, (u64, String)>,
    version: u64,
    outage_until_us: u64,
    disconnected_until: BTreeMap<(usize, usize), u64>,
    platform_disconnected_until: BTreeMap<usize, u64>,
    live_history: Vec<(u64, Vec<RouterInfo>)>,
    reply_targets: BTreeMap<u64, (usize, u64, u64)>,
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
const LIVE_LIST_PERIOD_US: u64 = 1_000_000;

impl<A: Admission> Simulation<A> {
    pub(crate) fn new(
        seed: u64,
        routers: usize,
        config: LimitsConfig,
        limits: Vec<TeamLimit>,
    ) -> Self {
        let ideal = limits.iter().map(checker::IdealBucket::new).collect();
        let tally = vec![Tally::default(); limits.len()];
        let mut sim = Self {
            now_us: 0,
            rng: StdRng::seed_from_u64(seed),
            conditions: Conditions::reliable(),
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
            sim_events: BTreeMap::new(),
            next_item: 0,
            next_run: 1,
            next_ticket: 0,
            objects: BTreeMap::new(),
            version: 0,
            outage_until_us: 0,
            disconnected_until: BTreeMap::new(),
            platform_disconnected_until: BTreeMap::new(),
            live_history: Vec::new(),
            reply_targets: BTreeMap::new(),
            pending: BTreeMap::new(),
            ideal,
        };
        for index in 0..routers {
            sim.add_node(index);
        }
        sim.record_live_list();
        for node in 0..routers {
            sim.start_run(node);
        }
        sim.schedule(0, SimEvent::LiveList);
        sim
    }

    fn add_node(&mut self, index: usize) {
        let number = self.nodes.len();
        self.nodes.push(Node {
            holder: Holder {
                name: InstanceName::new(format!("r{index}")),
                address: format!("10.0.0.{number}:7000"),
            },
            failure_domain: format!("d{}", index % 3),
            run: 0,
            limiter: None,
            origin_us: 0,
            ppm: 0,
            paused_until_us: 0,
            removed: false,
        });
    }

    fn start_run(&mut self, node: usize) {
        let run = self.next_run;
        self.next_run += 1;
        let ppm = self.conditions.drift_ppm as i64;
        let ppm = if ppm == 0 { 0 } else { self.rng.random_range(-ppm..=ppm) };
        let now_us = self.now_us;
        let entry = &mut self.nodes[node];
        entry.run = run;
        entry.origin_us = if A::SHARED_CLOCK { 0 } else { now_us };
        entry.ppm = ppm;
        entry.paused_until_us = 0;
        let holder = entry.holder.clone();
        entry.limiter = Some(A::start(&self.config, holder, Incarnation(run), MonoTime::ZERO));
        let limits = self.limits.clone();
        self.schedule(now_us, SimEvent::ToRun { node, run, event: Event::Limits(limits) });
        self.schedule(now_us, SimEvent::Tick { node, run });
        self.deliver_live(node);
    }

    fn schedule(&mut self, at_us: u64, sim_event: SimEvent) {
        let number = self.next_item;
        self.next_item += 1;
        self.sim_events.insert(number, sim_event);
        self.queue.push(Reverse((at_us.max(self.now_us), number)));
    }

    /// Processes all events that are due up to a time.
    pub(crate) fn run_until(&mut self, until_us: u64) {
        while let Some(Reverse((at_us, number))) = self.queue.peek().copied() {
            if at_us > until_us {
                break;
            }
            self.queue.pop();
            self.now_us = at_us;
            if let Some(sim_event) = self.sim_events.remove(&number) {
                self.process(sim_event);
            }
        }
        self.now_us = until_us;
    }

    fn process(&mut self, sim_event: SimEvent) {
        match sim_event {
            SimEvent::ToRun { node, run, event } => self.deliver(node, run, event),
            SimEvent::ToAddress { address, from, from_run, exchange, message } => {
                self.receive_message(&address, from, from_run, exchange, message);
            }
            SimEvent::Platform { node, run, op } => self.platform(node, run, op),
            SimEvent::Tick { node, run } => {
                if self.nodes[node].run == run && self.nodes[node].limiter.is_some() {
                    self.deliver(node, run, Event::Tick);
                    let next = self.now_us.max(self.nodes[node].paused_until_us) + TICK_US;
                    self.schedule(next, SimEvent::Tick { node, run });
                }
            }
            SimEvent::LiveList => self.publish_live_list(),
            SimEvent::Restart { node } => {
                if self.nodes[node].limiter.is_none() && !self.nodes[node].removed {
                    self.start_run(node);
                }
            }
            SimEvent::FinishRequest { node, run, ticket } => self.finish_request(node, run, ticket),
        }
    }

    fn deliver(&mut self, node: usize, run: u64, event: Event) {
        let entry = &mut self.nodes[node];
        if entry.run != run || entry.limiter.is_none() {
            return;
        }
        if entry.paused_until_us > self.now_us {
            let at_us = entry.paused_until_us;
            self.schedule(at_us, SimEvent::ToRun { node, run, event });
            return;
        }
        let now = self.local_time(node);
        let Some(limiter) = self.nodes[node].limiter.as_mut() else { return };
        let actions = limiter.handle(now, event);
        for action in actions {
            self.carry_out(node, run, action);
        }
    }

    fn local_time(&self, node: usize) -> MonoTime {
        let entry = &self.nodes[node];
        let elapsed = i128::from(self.now_us - entry.origin_us);
        let local = elapsed + elapsed * i128::from(entry.ppm) / 1_000_000;
        MonoTime::from_us(u64::try_from(local).unwrap_or(0))
    }

    fn carry_out(&mut self, node: usize, run: u64, action: Action) {
        match action {
            Action::Grant { ticket } => self.record_grant(ticket),
            Action::Refuse { ticket, reason } => self.record_refusal(ticket, reason),
            Action::Send { exchange, to, message } => {
                self.messages += 1;
                if matches!(message.body, PeerRequest::Promise { .. }) {
                    self.promises_asked += 1;
                }
                self.message_bytes += message.encode().map_or(0, |bytes| bytes.len() as u64);
                let wait_us = 50_000;
                let unanswered = Event::Unanswered { exchange };
                let at_us = self.now_us + wait_us;
                self.schedule(at_us, SimEvent::ToRun { node, run, event: unanswered });
                let sim_event = SimEvent::ToAddress {
                    address: to.address,
                    from: node,
                    from_run: run,
                    exchange,
                    message,
                };
                self.send_over_network(&sim_event);
            }
            Action::Reply { exchange, reply } => self.send_reply(node, exchange, reply),
            Action::Read { call, slot } => {
                self.platform_reads += 1;
                let op = PlatformCall::Read { call, slot };
                let delay_us = self.one_way_us();
                self.schedule(self.now_us + delay_us, SimEvent::Platform { node, run, op });
            }
            Action::Write { call, slot, expect, text } => {
                self.platform_writes += 1;
                self.send_write(node, run, call, slot, expect, text);
            }
            Action::LeaveFinished => {}
        }
    }

    fn one_way_us(&mut self) -> u64 {
        let (low, high) = self.conditions.one_way_us;
        let base = self.rng.random_range(low..=high);
        if self.happens(self.conditions.slow_per_mille) {
            return base + self.rng.random_range(0..=self.conditions.slow_us);
        }
        base
    }

    fn happens(&mut self, per_mille: u32) -> bool {
        per_mille > 0 && self.rng.random_range(0..1_000) < per_mille
    }

    fn send_over_network(&mut self, sim_event: &SimEvent) {
        let copies = if self.happens(self.conditions.duplicate_per_mille) { 2 } else { 1 };
        for _ in 0..copies {
            if self.happens(self.conditions.loss_per_mille) {
                continue;
            }
            let delay_us = self.one_way_us();
            self.schedule(self.now_us + delay_us, sim_event.clone());
        }
    }

    fn is_disconnected(&self, a: usize, b: usize) -> bool {
        self.disconnected_until.get(&(a.min(b), a.max(b))).is_some_and(|until| *until > self.now_us)
    }

    fn receive_message(
        &mut self,
        address: &str,
        from: usize,
        from_run: u64,
        exchange: u64,
        message: PeerMessage,
    ) {
        let found = self.nodes.iter().position(|node| node.holder.address == address);
        let Some(node) = found.filter(|node| !self.is_disconnected(from, *node)) else { return };
        let run = self.nodes[node].run;
        let reply_token = self.next_item;
        self.next_item += 1;
        self.reply_targets.insert(reply_token, (from, from_run, exchange));
        self.deliver(node, run, Event::Message { exchange: reply_token, message });
    }

    fn send_reply(&mut self, node: usize, reply_token: u64, reply: PeerReply) {
        let Some((to, run, exchange)) = self.reply_targets.remove(&reply_token) else { return };
        if self.is_disconnected(node, to) {
            return;
        }
        self.send_over_network(&SimEvent::ToRun {
            node: to,
            run,
            event: Event::Reply { exchange, reply },
        });
    }

    fn send_write(
        &mut self,
        node: usize,
        run: u64,
        call: Call,
        slot: u32,
        expect: Option<u64>,
        text: String,
    ) {
        // A late write can take effect long after its sender has counted it as lost.
        let late = self.happens(self.conditions.late_write_per_mille);
        let extra_us =
            if late { self.rng.random_range(0..=self.conditions.late_write_us) } else { 0 };
        let answered = !late && !self.happens(self.conditions.answer_lost_per_mille);
        let delay_us = self.one_way_us() + extra_us;
        let op = PlatformCall::Write { call, slot, expect, text, answered };
        self.schedule(self.now_us + delay_us, SimEvent::Platform { node, run, op });
        if !answered {
            let event = Event::Written { call, outcome: WriteOutcome::Unknown };
            self.schedule(self.now_us + 1_000_000, SimEvent::ToRun { node, run, event });
        }
    }

    fn platform(&mut self, node: usize, run: u64, op: PlatformCall) {
        let cut =
            self.platform_disconnected_until.get(&node).is_some_and(|until| *until > self.now_us);
        let down = cut || self.outage_until_us > self.now_us;
        let (event, answered) = match op {
            PlatformCall::Read { call, slot } => {
                let state = match self.objects.get(&slot) {
                    _ if down => ObjectState::Unknown,
                    None => ObjectState::Absent,
                    Some((version, text)) => {
                        ObjectState::Present { version: *version, text: text.clone() }
                    }
                };
                (Event::Read { call, state }, true)
            }
            PlatformCall::Write { call, .. } if down => {
                (Event::Written { call, outcome: WriteOutcome::Unknown }, true)
            }
            PlatformCall::Write { call, slot, expect, text, answered } => {
                let outcome = self.write_object(slot, expect, text);
                (Event::Written { call, outcome }, answered)
            }
        };
        if answered {
            let delay_us = self.one_way_us();
            self.schedule(self.now_us + delay_us, SimEvent::ToRun { node, run, event });
        }
    }

    fn write_object(&mut self, slot: u32, expect: Option<u64>, text: String) -> WriteOutcome {
        let present = self.objects.get(&slot).map(|(version, _)| *version);
        if present != expect {
            return WriteOutcome::Conflict;
        }
        self.version += 1;
        self.objects.insert(slot, (self.version, text));
        WriteOutcome::Done { version: self.version }
    }

    fn record_live_list(&mut self) {
        let routers = self
            .nodes
            .iter()
            .filter(|node| !node.removed)
            .map(|node| RouterInfo {
                holder: node.holder.clone(),
                failure_domain: node.failure_domain.clone(),
                leaving: false,
            })
            .collect();
        self.live_history.push((self.now_us, routers));
    }

    fn publish_live_list(&mut self) {
        if self.outage_until_us <= self.now_us {
            for node in 0..self.nodes.len() {
                self.deliver_live(node);
            }
        }
        self.schedule(self.now_us + LIVE_LIST_PERIOD_US, SimEvent::LiveList);
    }

    fn deliver_live(&mut self, node: usize) {
        if self.outage_until_us > self.now_us {
            return;
        }
        let list_age_us = self.rng.random_range(0..=self.conditions.max_live_list_age_us);
        let seen_us = self.now_us.saturating_sub(list_age_us);
        let seen = self.live_history.iter().rev().find(|(at_us, _)| *at_us <= seen_us);
        let Some(routers) = seen.map(|(_, routers)| routers.clone()) else { return };
        let run = self.nodes[node].run;
        self.schedule(self.now_us, SimEvent::ToRun { node, run, event: Event::LiveList(routers) });
    }
}

/// Simulation of requests.
impl<A: Admission> Simulation<A> {
    pub(crate) fn offer(
        &mut self,
        node: usize,
        team: usize,
        tokens: u64,
        unused: u64,
        hold_us: u64,
    ) {
        if self.nodes[node].limiter.is_none() || self.nodes[node].paused_until_us > self.now_us {
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

    fn record_grant(&mut self, ticket: u64) {
        let Some(pending) = self.pending.get_mut(&ticket) else { return };
        assert!(pending.admitted.is_none(), "a request was granted twice");
        let (node, run, team, tokens) = (pending.node, pending.run, pending.team, pending.tokens);
        pending.admitted = Some(self.admitted.len());
        let end_us = self.now_us + pending.hold_us;
        self.admitted.push(Admitted { at_us: self.now_us, team, tokens, unused: 0 });
        self.tally[team].granted += 1;
        self.ideal[team].charge(self.now_us, tokens);
        self.schedule(end_us, SimEvent::FinishRequest { node, run, ticket });
    }

    fn record_refusal(&mut self, ticket: u64, _reason: RefuseReason) {
        let Some(pending) = self.pending.remove(&ticket) else { return };
        let tally = &mut self.tally[pending.team];
        tally.refused += 1;
        if pending.fits && self.ideal[pending.team].fits(self.now_us, pending.tokens) {
            tally.wrongful += 1;
            tally.last_wrongful_us = self.now_us;
        }
    }

    fn finish_request(&mut self, node: usize, run: u64, ticket: u64) {
        if self.nodes[node].run != run || self.nodes[node].limiter.is_none() {
            return;
        }
        if self.nodes[node].paused_until_us > self.now_us {
            let at_us = self.nodes[node].paused_until_us;
            self.schedule(at_us, SimEvent::FinishRequest { node, run, ticket });
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
                self.nodes[*node].limiter.is_some()
                    && self.nodes[*node].paused_until_us <= self.now_us
            })
            .collect()
    }

    pub(crate) fn limiter(&self, node: usize) -> Option<(&A, MonoTime)> {
        self.nodes[node].limiter.as_ref().map(|limiter| (limiter, self.local_time(node)))
    }

    pub(crate) fn object(&self, slot: u32) -> Option<&str> {
        self.objects.get(&slot).map(|(_, text)| text.as_str())
    }

    pub(crate) fn holder(&self, node: usize) -> Holder {
        self.nodes[node].holder.clone()
    }
}

/// Simulation of failures.
impl<A: Admission> Simulation<A> {
    pub(crate) fn crash(&mut self, node: usize, restart_after_us: Option<u64>) {
        self.nodes[node].limiter = None;
        if let Some(after_us) = restart_after_us {
            let at_us = self.now_us + after_us;
            self.schedule(at_us, SimEvent::Restart { node });
        }
    }

    /// Ends an instance permanently, and starts another with the same name at a new address.
    pub(crate) fn replace(&mut self, node: usize) {
        self.nodes[node].limiter = None;
        self.nodes[node].removed = true;
        let name = self.nodes[node].holder.name.clone();
        let index = self.nodes.len();
        self.add_node(index);
        self.nodes[index].holder.name = name;
        self.record_live_list();
        self.start_run(index);
    }

    pub(crate) fn remove(&mut self, node: usize) {
        self.nodes[node].limiter = None;
        self.nodes[node].removed = true;
        self.record_live_list();
    }

    pub(crate) fn pause(&mut self, node: usize, for_us: u64) {
        self.nodes[node].paused_until_us = self.now_us + for_us;
    }

    pub(crate) fn start_platform_outage(&mut self, for_us: u64) {
        self.outage_until_us = self.now_us + for_us;
    }

    pub(crate) fn disconnect(&mut self, a: usize, b: usize, for_us: u64) {
        self.disconnected_until.insert((a.min(b), a.max(b)), self.now_us + for_us);
    }

    /// Disconnects one router from the platform. Its peers still reach it.
    pub(crate) fn disconnect_from_platform(&mut self, node: usize, for_us: u64) {
        self.platform_disconnected_until.insert(node, self.now_us + for_us);
    }

    pub(crate) fn isolate(&mut self, node: usize, for_us: u64) {
        for other in 0..self.nodes.len() {
            if other != node {
                self.disconnect(node, other, for_us);
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

/// Reads a number from an environment variable, so that longer runs can be configured.
pub(crate) fn env_or(name: &str, default: u64) -> u64 {
    std::env::var(name).ok().and_then(|text| text.parse().ok()).unwrap_or(default)
}
