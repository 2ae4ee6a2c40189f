//! Keeps the workers of each route up to date with the configuration and the live list, and chooses
//! those to ask for a prompt.

use std::{
    collections::HashMap,
    sync::{Mutex, MutexGuard, PoisonError},
};

use rand::{SeedableRng, rngs::SmallRng};
use samphirespread_config::{Snapshot, model::Route};
use samphirespread_core::prelude::*;
use samphirespread_platform::api::{LiveInstance, LiveList, LiveState, Role};
use samphirespread_prefix::{
    Hint, MAX_CANDIDATES, Placement, PrefixAffinity, PrefixAffinityConfig, Prompt, Worker,
    WorkerSet,
};
use samphirespread_wire::message::Estimate;

// Time for which an agent is not asked after it didn't answer or couldn't take work. It may have
// come back by then.
const SUSPENSION_MS: u64 = 1_000;

/// The properties of a prompt that placement needs.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct PromptRef<'a> {
    pub(crate) blocks: &'a [BlockKey],
    pub(crate) tokens: u64,
    pub(crate) block_tokens: u32,
}

impl<'a> PromptRef<'a> {
    pub(crate) fn as_prompt(&self) -> Prompt<'a> {
        Prompt { blocks: self.blocks, tokens: self.tokens, block_tokens: self.block_tokens }
    }
}

/// A backend server that may be asked to run a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Candidate {
    pub(crate) name: InstanceName,
    pub(crate) address: String,
}

/// Chooses backend servers. All calls are short and do no I/O.
#[derive(Debug)]
pub(crate) struct Placer {
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    routes: HashMap<String, WorkerSet>,
    addresses: HashMap<InstanceName, String>,
    suspended: HashMap<InstanceName, MonoTime>,
    placement: PrefixAffinity,
    rng: SmallRng,
}

impl Placer {
    pub(crate) fn new(seed: u64) -> Self {
        let state = State {
            routes: HashMap::new(),
            addresses: HashMap::new(),
            suspended: HashMap::new(),
            placement: PrefixAffinity::new(PrefixAffinityConfig::default()),
            rng: SmallRng::seed_from_u64(seed),
        };
        Self { state: Mutex::new(state) }
    }

    /// Updates the routes and workers after the configuration or the live list has changed.
    pub(crate) fn update(&self, snapshot: &Snapshot, live: &LiveList) {
        let agents: Vec<&LiveInstance> =
            live.instances.iter().filter(|instance| instance.role == Role::Agent).collect();
        let mut state = self.lock();
        state.addresses =
            agents.iter().map(|agent| (agent.name.clone(), agent.address.clone())).collect();
        let previous = std::mem::take(&mut state.routes);
        let routes = &snapshot.config().routes;
        state.routes = routes
            .iter()
            .map(|route| {
                let workers = workers_of(route, &agents);
                let workers = match previous.get(&route.name) {
                    Some(old_workers) => updated(old_workers, workers),
                    None => WorkerSet::new(workers),
                };
                (route.name.clone(), workers)
            })
            .collect();
    }

    /// Returns the backend servers to ask for a prompt, the one expected to be best first, without
    /// those already tried.
    pub(crate) fn candidates(
        &self,
        route: &str,
        prompt: &PromptRef<'_>,
        tried: &[InstanceName],
        now: MonoTime,
    ) -> Vec<Candidate> {
        let mut state = self.lock();
        let State { routes, addresses, suspended, placement, rng } = &mut *state;
        let Some(workers) = routes.get_mut(route) else { return Vec::new() };
        suspended.retain(|_, since| now.ms_since(*since) < SUSPENSION_MS);
        let usable = |name: &InstanceName| !tried.contains(name) && !suspended.contains_key(name);
        let indices = placement.candidates(&prompt.as_prompt(), workers, now, rng);
        let mut names: Vec<&InstanceName> = indices
            .iter()
            .map(|index| &workers.get(index).name)
            .filter(|name| usable(name))
            .collect();
        if names.is_empty() {
            // None of the preferred workers is usable, so others have to compute the prefix again.
            let others = workers.workers().iter();
            let mut others: Vec<_> =
                others.filter(|worker| worker.takes_work && usable(&worker.name)).collect();
            others.sort_by_key(|worker| worker.expected_wait_ms(now));
            names.extend(others.into_iter().take(MAX_CANDIDATES).map(|worker| &worker.name));
        }
        let candidate = |name: &InstanceName| {
            let address = addresses.get(name)?.clone();
            Some(Candidate { name: name.clone(), address })
        };
        names.into_iter().filter_map(candidate).collect()
    }

    /// Records the wait that an agent reported, and the hint that came with it.
    pub(crate) fn record_report(
        &self,
        route: &str,
        prompt: &PromptRef<'_>,
        agent: &InstanceName,
        report: Report,
        now: MonoTime,
    ) {
        let mut state = self.lock();
        let State { routes, placement, .. } = &mut *state;
        if let Some(hint) = report.hint {
            placement.record_hint(&prompt.as_prompt(), hint, now);
        }
        let Some(workers) = routes.get_mut(route) else { return };
        if let Some(index) = worker_index(workers, agent) {
            workers.record_wait(index, report.wait_ms, now);
        }
    }

    /// Adds the cost of a prompt that was just sent to the agent's expected wait.
    pub(crate) fn record_sent(
        &self,
        route: &str,
        agent: &InstanceName,
        cost_ms: u32,
        now: MonoTime,
    ) {
        let mut state = self.lock();
        let Some(workers) = state.routes.get_mut(route) else { return };
        if let Some(index) = worker_index(workers, agent) {
            workers.record_sent(index, cost_ms, now);
        }
    }

    /// Excludes an agent from the candidates for [`SUSPENSION_MS`].
    pub(crate) fn suspend(&self, agent: &InstanceName, now: MonoTime) {
        self.lock().suspended.insert(agent.clone(), now);
    }

    /// Returns the number of workers of each route, for the state dump.
    pub(crate) fn counts(&self) -> Vec<RouteCount> {
        let state = self.lock();
        let mut counts: Vec<RouteCount> = state
            .routes
            .iter()
            .map(|(name, workers)| RouteCount {
                route: name.clone(),
                workers: workers.len(),
                taking_work: workers.workers().iter().filter(|w| w.takes_work).count(),
            })
            .collect();
        counts.sort_by(|a, b| a.route.cmp(&b.route));
        counts
    }

    /// Returns the number of blocks whose share of the traffic is tracked.
    pub(crate) fn hot_blocks(&self) -> usize {
        self.lock().placement.hot_prefixes().len()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        // No call leaves the state half changed, so it is consistent even if another thread
        // panicked.
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// What an agent reported about itself.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Report {
    wait_ms: u32,
    hint: Option<Hint>,
}

impl From<&Estimate> for Report {
    fn from(estimate: &Estimate) -> Self {
        let hint = estimate.hint;
        let hint = (hint.shared_blocks > 0)
            .then_some(Hint { shared_blocks: hint.shared_blocks, replicas: hint.replicas });
        Self { wait_ms: estimate.wait_ms, hint }
    }
}

/// The number of workers of one route.
#[derive(Clone, Debug, serde::Serialize)]
pub(crate) struct RouteCount {
    route: String,
    workers: usize,
    taking_work: usize,
}

fn workers_of(route: &Route, agents: &[&LiveInstance]) -> Vec<Worker> {
    agents
        .iter()
        .filter(|agent| agent.set.as_ref().is_some_and(|set| route.sets.contains(set)))
        .map(|agent| {
            let mut worker = Worker::new(agent.name.clone(), &agent.failure_domain);
            worker.takes_work = agent.state == LiveState::Live;
            worker
        })
        .collect()
}

// The hash ring is kept if only the workers' states changed, since building it is the expensive
// part.
fn updated(old_workers: &WorkerSet, workers: Vec<Worker>) -> WorkerSet {
    if !same_workers(old_workers, &workers) {
        return old_workers.replaced_by(workers);
    }
    let mut kept = old_workers.clone();
    for (index, worker) in workers.iter().enumerate() {
        kept.set_takes_work(index, worker.takes_work);
    }
    kept
}

fn same_workers(previous: &WorkerSet, workers: &[Worker]) -> bool {
    previous.workers().iter().map(|w| &w.name).eq(workers.iter().map(|w| &w.name))
}

fn worker_index(workers: &WorkerSet, agent: &InstanceName) -> Option<usize> {
    workers.workers().iter().position(|worker| worker.name == *agent)
}
