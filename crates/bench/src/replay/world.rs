//! Routers, agents and engines in virtual time.

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, HashSet},
    rc::Rc,
};

use rand::{Rng, SeedableRng, rngs::StdRng};
use samphirespread_core::prelude::*;
use samphirespread_engine::api::CacheEvent;
use samphirespread_prefix::{
    CandidateState, Candidates, Hint, TransferCost, Worker as RouterView, WorkerSet,
};

use super::{
    deployment::{Deployment, FAULT_AT_MS, Scenario},
    engine::Worker,
    outcome::Outcome,
    placements::ReplayPlacement,
    trace::Record,
};

/// How a router gets a prompt to a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Dispatch {
    /// Sends it to the first candidate.
    Direct,
    /// Looks all candidates up and sends it to the best.
    Lookup,
    /// Sends it to the first candidate, which may refuse it once.
    Bounce,
    /// Looks up only when the first candidate isn't known to be idle; otherwise as `Bounce`.
    LookupWhenBusy,
}

/// One replay.
#[derive(Clone, Copy, Debug)]
pub struct Replay<'a> {
    /// Where.
    pub deployment: &'a Deployment,
    /// What fails.
    pub scenario: Scenario,
    /// How prompts get to workers.
    pub dispatch: Dispatch,
    /// What fetching blocks from the kept-cache store costs, if it is used.
    pub store: Option<TransferCost>,
    /// The requests.
    pub records: &'a [Record],
}

/// Documents of each team that a shift of the hot prefixes replaces.
const HOT_DOCUMENTS: u32 = 3;

/// Documents with ids below this have other texts in this request.
fn shifted_below(scenario: Scenario, record: &Record) -> u32 {
    match scenario {
        _ if record.at_ms < FAULT_AT_MS => 0,
        Scenario::HotPrefixShift => HOT_DOCUMENTS,
        Scenario::WholeShift => u32::MAX,
        _ => 0,
    }
}

#[derive(Debug)]
pub(crate) enum Event {
    Arrive(usize),
    Lookup { request: usize, slot: usize, worker: usize },
    LookupReply { request: usize, attempt: u32, slot: usize, standing: CandidateState, hint: Hint },
    LookupTimeout { request: usize, attempt: u32 },
    Deliver { request: usize, attempt: u32, worker: usize, may_refuse: bool },
    Accepted { request: usize, worker: usize, standing: CandidateState, hint: Hint },
    Refused { request: usize, attempt: u32, worker: usize, standing: CandidateState, hint: Hint },
    PrefillDone { worker: usize, incarnation: Incarnation },
    StreamDone { worker: usize, request: usize, attempt: u32 },
    Cache { worker: usize, event: CacheEvent },
    ReRead(usize),
    SampleLoad(usize),
    Load { worker: usize, wait_ms: u32 },
    Fault,
    EngineUp(usize),
    Lost { request: usize, attempt: u32 },
    Retry { request: usize, attempt: u32 },
}

pub(crate) struct Queued {
    at_us: u64,
    number: u64,
    event: Event,
}

impl PartialEq for Queued {
    fn eq(&self, other: &Self) -> bool {
        (self.at_us, self.number) == (other.at_us, other.number)
    }
}

impl Eq for Queued {}

impl PartialOrd for Queued {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Queued {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at_us, self.number).cmp(&(other.at_us, other.number))
    }
}

pub(crate) struct Router<P> {
    pub(crate) placement: P,
    pub(crate) workers: WorkerSet,
    pub(crate) avoid_until_us: Vec<u64>,
}

pub(crate) struct Request {
    pub(crate) router: usize,
    pub(crate) blocks: Rc<[BlockKey]>,
    pub(crate) tokens: u64,
    pub(crate) attempt: u32,
    pub(crate) candidates: Candidates,
    pub(crate) standings: [CandidateState; 3],
    pub(crate) answers: usize,
    pub(crate) first_token: bool,
}

/// Replays requests through one placement. The same input gives the same outcome.
pub fn replay<P: ReplayPlacement + Clone>(replay: Replay<'_>, placement: &P) -> Outcome {
    let mut world = World::new(replay, placement);
    while let Some(Reverse(queued)) = world.events.pop() {
        world.now_us = queued.at_us;
        world.handle(queued.event);
    }
    world.outcome
}

pub(crate) struct World<'a, P> {
    pub(crate) replay: Replay<'a>,
    pub(crate) template: P,
    pub(crate) now_us: u64,
    pub(crate) number: u64,
    pub(crate) events: BinaryHeap<Reverse<Queued>>,
    pub(crate) rng: StdRng,
    pub(crate) event_rng: StdRng,
    pub(crate) routers: Vec<Router<P>>,
    pub(crate) workers: Vec<Worker>,
    pub(crate) requests: Vec<Request>,
    pub(crate) computed: HashSet<BlockKey>,
    pub(crate) store_free_us: u64,
    pub(crate) outcome: Outcome,
}

impl<'a, P: ReplayPlacement + Clone> World<'a, P> {
    fn new(replay: Replay<'a>, placement: &P) -> Self {
        let deployment = replay.deployment;
        let mut world = Self {
            replay,
            template: placement.clone(),
            now_us: 0,
            number: 0,
            events: BinaryHeap::new(),
            rng: StdRng::seed_from_u64(deployment.traffic.seed ^ 0x5eed),
            event_rng: StdRng::seed_from_u64(deployment.traffic.seed ^ 0xe7e47),
            routers: Vec::new(),
            workers: (0..deployment.workers).map(|_| Worker::new(deployment.engine)).collect(),
            requests: Vec::new(),
            computed: HashSet::new(),
            store_free_us: 0,
            outcome: Outcome::new(deployment.traffic.length_ms),
        };
        world.routers = (0..deployment.routers).map(|_| world.new_router()).collect();
        for (request, record) in replay.records.iter().enumerate() {
            let blocks = record.block_keys(request, shifted_below(replay.scenario, record));
            world.requests.push(Request {
                router: world.rng.random_range(0..deployment.routers),
                blocks: blocks.into(),
                tokens: record.prompt_tokens(),
                attempt: 0,
                candidates: Candidates::default(),
                standings: [CandidateState::default(); 3],
                answers: 0,
                first_token: false,
            });
            let at_us = record.at_ms * 1_000 + deployment.to_client_us;
            world.at(at_us, Event::Arrive(request));
        }
        world.at(FAULT_AT_MS * 1_000, Event::Fault);
        if placement.uses_load_reports() {
            for worker in 0..deployment.workers {
                world.at(0, Event::SampleLoad(worker));
            }
        }
        world
    }

    pub(crate) fn new_router(&self) -> Router<P> {
        let deployment = self.replay.deployment;
        let view = |worker: usize| {
            let domain = format!("domain-{}", worker % deployment.failure_domains);
            RouterView::new(InstanceName::new(format!("worker-{worker}")), domain)
        };
        Router {
            placement: self.template.clone(),
            workers: WorkerSet::new((0..deployment.workers).map(view).collect()),
            avoid_until_us: vec![0; deployment.workers],
        }
    }

    pub(crate) fn at(&mut self, at_us: u64, event: Event) {
        self.number += 1;
        self.events.push(Reverse(Queued { at_us, number: self.number, event }));
    }

    pub(crate) fn after(&mut self, delay_us: u64, event: Event) {
        self.at(self.now_us + delay_us, event);
    }

    pub(crate) fn delay_us(&self, request: usize, worker: usize) -> u64 {
        self.replay.deployment.delay_us(self.requests[request].router, worker)
    }

    pub(crate) fn now(&self) -> MonoTime {
        MonoTime::from_us(self.now_us)
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive(request) => self.place(request),
            Event::Lookup { request, slot, worker } => self.look_up(request, slot, worker),
            Event::LookupReply { request, attempt, slot, standing, hint } => {
                self.looked_up(request, attempt, slot, standing, hint);
            }
            Event::LookupTimeout { request, attempt } => {
                let state = &self.requests[request];
                if state.attempt == attempt && (1..usize::MAX).contains(&state.answers) {
                    self.choose(request);
                }
            }
            Event::Deliver { request, attempt, worker, may_refuse } => {
                self.deliver(request, attempt, worker, may_refuse);
            }
            Event::Accepted { request, worker, standing, hint } => {
                self.report(request, worker, standing, hint);
            }
            Event::Refused { request, attempt, worker, standing, hint } => {
                self.refused(request, attempt, worker, standing, hint);
            }
            Event::PrefillDone { worker, incarnation } => self.prefill_done(worker, incarnation),
            Event::StreamDone { worker, request, attempt } => {
                self.workers[worker].finish_stream(request, attempt);
                self.start_next(worker);
            }
            Event::Cache { worker, event } => self.cache_event(worker, &event),
            Event::ReRead(worker) => {
                let list = self.workers[worker].block_list();
                self.workers[worker].residency.re_read(&list);
                self.workers[worker].re_read_pending = false;
            }
            Event::SampleLoad(worker) => self.sample_load(worker),
            Event::Load { worker, wait_ms } => {
                let now = self.now();
                for router in &mut self.routers {
                    router.workers.record_wait(worker, wait_ms, now);
                }
            }
            Event::Fault => self.fault(),
            Event::EngineUp(worker) => self.workers[worker].up = true,
            Event::Lost { request, attempt } | Event::Retry { request, attempt } => {
                if self.requests[request].attempt == attempt {
                    self.requests[request].attempt += 1;
                    self.place(request);
                }
            }
        }
    }
}
