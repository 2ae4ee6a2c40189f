//! Random histories of one request against agents that crash, lose orders and answer late.
//!
//! A long run: `SAMPHIRESPREAD_CASES=200000 SAMPHIRESPREAD_SEED=7 cargo test --release -p
//! samphirespread-dispatch --test histories`.

use std::collections::{HashMap, HashSet};

use rand::{Rng, SeedableRng, rngs::StdRng};
use samphirespread_core::prelude::*;
use samphirespread_dispatch::{Action, Event, Outcome, RequestMachine, RequestSpec};

const DEFAULT_CASES: u64 = 3_000;
const DEFAULT_SEED: u64 = 1;
const STEPS: u32 = 400;
const TOTAL_LINES: u64 = 12;
const AGENTS: [&str; 4] = ["a1", "a2", "a3", "a4"];

fn from_env(name: &str, default: u64) -> u64 {
    std::env::var(name).ok().and_then(|text| text.parse().ok()).unwrap_or(default)
}

/// An order on its way to an agent.
#[derive(Clone, Debug)]
enum Order {
    Run { agent: usize, attempt: AttemptId, base: u64 },
    Resume { agent: usize, run: u32, attempt: AttemptId, from_seq: u64 },
    Cancel { agent: usize, attempt: AttemptId },
}

/// What a run of an agent knows of an attempt.
#[derive(Clone, Copy, Debug)]
struct Kept {
    lines: u64,
    emitted: u64,
}

#[derive(Default)]
struct Agent {
    run: u32,
    kept: HashMap<AttemptId, Kept>,
    tombstones: HashSet<AttemptId>,
}

struct World {
    rng: StdRng,
    agents: Vec<Agent>,
    orders: Vec<Order>,
    // Events that the router has yet to see, in any order between attempts.
    arrivals: Vec<Event>,
    // The run of the agent that each run order was sent to.
    ordered_at: HashMap<AttemptId, u32>,
    starts: u32,
    delivered: u64,
    ended: Option<Outcome>,
    // Whether a tombstone is kept; the naive variant does without.
    keeps_tombstones: bool,
}

impl World {
    fn new(seed: u64, keeps_tombstones: bool) -> Self {
        Self {
            rng: StdRng::seed_from_u64(seed),
            agents: AGENTS.iter().map(|_| Agent::default()).collect(),
            orders: Vec::new(),
            arrivals: vec![Event::Start],
            ordered_at: HashMap::new(),
            starts: 0,
            delivered: 0,
            ended: None,
            keeps_tombstones,
        }
    }

    fn carry_out(&mut self, actions: &[Action], tried: &[InstanceName]) {
        for action in actions {
            match action {
                Action::Choose => self.choose(tried),
                Action::Run { attempt, agent, delivered_lines } => {
                    self.run_order(*attempt, index(agent), *delivered_lines);
                }
                Action::Resume { attempt, agent, from_seq, .. } => {
                    self.resume_order(*attempt, index(agent), *from_seq);
                }
                Action::Cancel { attempt, agent } => {
                    self.orders.push(Order::Cancel { agent: index(agent), attempt: *attempt });
                }
                Action::Deliver => self.delivered += 1,
                Action::End(outcome) => {
                    assert!(self.ended.replace(outcome.clone()).is_none(), "two ends");
                }
            }
        }
    }

    fn choose(&mut self, tried: &[InstanceName]) {
        let free: Vec<_> = AGENTS
            .iter()
            .filter(|name| tried.iter().all(|tried| tried.as_str() != **name))
            .collect();
        if free.is_empty() {
            self.arrivals.push(Event::NoneLeft { retry_after_ms: 10 });
            return;
        }
        let agent = InstanceName::new(free[self.rng.random_range(0..free.len())]);
        self.arrivals.push(Event::Chosen { agent });
    }

    fn run_order(&mut self, attempt: AttemptId, agent: usize, base: u64) {
        self.ordered_at.insert(attempt, self.agents[agent].run);
        if self.rng.random_bool(0.2) {
            self.arrivals.push(Event::Unsent { attempt });
            return;
        }
        self.orders.push(Order::Run { agent, attempt, base });
        if self.rng.random_bool(0.3) {
            self.arrivals.push(Event::Lost { attempt });
        }
    }

    fn resume_order(&mut self, attempt: AttemptId, agent: usize, from_seq: u64) {
        if self.rng.random_bool(0.2) {
            self.arrivals.push(Event::Unsent { attempt });
            return;
        }
        let run = self.ordered_at[&attempt];
        self.orders.push(Order::Resume { agent, run, attempt, from_seq });
        if self.rng.random_bool(0.2) {
            self.arrivals.push(Event::Lost { attempt });
        }
    }

    fn step(&mut self, machine: &mut RequestMachine) {
        match self.rng.random_range(0..100) {
            0..45 if !self.arrivals.is_empty() => {
                let at = self.rng.random_range(0..self.arrivals.len());
                let event = self.arrivals.remove(at);
                let actions = machine.handle(&event).to_vec();
                let tried = machine.tried().to_vec();
                self.carry_out(&actions, &tried);
            }
            45..80 if !self.orders.is_empty() => {
                let at = self.rng.random_range(0..self.orders.len());
                let order = self.orders.remove(at);
                self.arrive(&order);
            }
            80..96 => self.emit(),
            96 => {
                let agent = self.rng.random_range(0..AGENTS.len());
                let run = self.agents[agent].run + 1;
                self.crash(agent, run);
            }
            97 if self.rng.random_bool(0.1) => self.arrivals.push(Event::DeadlinePassed),
            98 if self.rng.random_bool(0.1) => self.arrivals.push(Event::CallerGone),
            _ => {}
        }
    }

    fn arrive(&mut self, order: &Order) {
        match *order {
            Order::Run { agent, attempt, base } => self.arrive_run(agent, attempt, base),
            Order::Resume { agent, run, attempt, from_seq } => {
                self.arrive_resume(agent, run, attempt, from_seq);
            }
            Order::Cancel { agent, attempt } => {
                if self.agents[agent].kept.remove(&attempt).is_none() {
                    self.bury(agent, attempt);
                }
            }
        }
    }

    fn arrive_run(&mut self, agent: usize, attempt: AttemptId, base: u64) {
        if self.agents[agent].tombstones.contains(&attempt) {
            self.arrivals.push(Event::NotRun { attempt, retry_after_ms: 5 });
            return;
        }
        if self.rng.random_bool(0.2) {
            self.bury(agent, attempt);
            self.arrivals.push(Event::NotRun { attempt, retry_after_ms: 5 });
            return;
        }
        self.starts += 1;
        let kept = Kept { lines: TOTAL_LINES - base, emitted: 0 };
        self.agents[agent].kept.insert(attempt, kept);
        self.arrivals.push(Event::Accepted { attempt });
    }

    fn arrive_resume(&mut self, agent: usize, run: u32, attempt: AttemptId, from_seq: u64) {
        if run != self.agents[agent].run {
            self.arrivals.push(Event::Failed { attempt, may_have_run: true });
            return;
        }
        let Some(kept) = self.agents[agent].kept.get(&attempt).copied() else {
            self.bury(agent, attempt);
            self.arrivals.push(Event::NotRun { attempt, retry_after_ms: 5 });
            return;
        };
        for seq in from_seq..kept.emitted {
            self.arrivals.push(Event::Line { attempt, seq });
        }
        if kept.emitted == kept.lines {
            self.arrivals.push(Event::Finished { attempt, lines: kept.lines });
        }
    }

    fn bury(&mut self, agent: usize, attempt: AttemptId) {
        if self.keeps_tombstones {
            self.agents[agent].tombstones.insert(attempt);
        }
    }

    fn emit(&mut self) {
        let agent = self.rng.random_range(0..AGENTS.len());
        let Some((&attempt, kept)) = self.agents[agent].kept.iter_mut().next() else { return };
        if kept.emitted < kept.lines {
            self.arrivals.push(Event::Line { attempt, seq: kept.emitted });
            kept.emitted += 1;
        } else {
            self.arrivals.push(Event::Finished { attempt, lines: kept.lines });
        }
    }

    // Orders to the earlier run are lost with it; a run order never survives a crash.
    fn crash(&mut self, agent: usize, run: u32) {
        self.orders.retain(|order| !matches!(order, Order::Run { agent: to, .. } if *to == agent));
        let lost: Vec<AttemptId> = self.agents[agent].kept.keys().copied().collect();
        self.agents[agent] = Agent { run, ..Agent::default() };
        self.arrivals.extend(lost.into_iter().map(|attempt| Event::Lost { attempt }));
    }

    /// The first broken promise, if any.
    fn broken(&self, idempotent: bool) -> Option<&'static str> {
        if !idempotent && self.starts > 1 {
            return Some("ran twice");
        }
        match &self.ended {
            Some(Outcome::NotRun { .. }) if self.starts > 0 => Some("not run, yet it ran"),
            Some(Outcome::Complete) if self.delivered != TOTAL_LINES => Some("incomplete"),
            _ if self.delivered > TOTAL_LINES => Some("too many lines"),
            _ => None,
        }
    }
}

fn index(agent: &InstanceName) -> usize {
    AGENTS.iter().position(|name| *name == agent.as_str()).unwrap()
}

/// Runs one history to the end and returns the first broken promise.
fn run_history(seed: u64, idempotent: bool, keeps_tombstones: bool) -> Option<&'static str> {
    let spec = RequestSpec::model(RequestId { origin: seed, serial: 0 }).idempotent(idempotent);
    let mut machine = RequestMachine::new(spec);
    let mut world = World::new(seed, keeps_tombstones);
    for _ in 0..STEPS {
        world.step(&mut machine);
        if let Some(broken) = world.broken(idempotent) {
            return Some(broken);
        }
    }
    assert_eq!(machine.has_ended(), world.ended.is_some());
    None
}

#[test]
fn no_history_breaks_a_promise() {
    let seed = from_env("SAMPHIRESPREAD_SEED", DEFAULT_SEED);
    let cases = from_env("SAMPHIRESPREAD_CASES", DEFAULT_CASES);

    for case in 0..cases {
        for idempotent in [false, true] {
            let broken = run_history(seed.wrapping_add(case), idempotent, true);
            assert_eq!(broken, None, "seed {} idempotent {idempotent}", seed.wrapping_add(case));
        }
    }
}

#[test]
fn agents_without_tombstones_are_found_out() {
    let broken = (0..DEFAULT_CASES).find_map(|seed| run_history(seed, false, false));

    assert!(broken.is_some());
}
