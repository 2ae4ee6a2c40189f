//! Moves running streams off engines that are about to load weights or that leave.
//!
//! A run is moved by the router that relays its stream, as only that router can splice the stream.
//! It may send the request to another engine once the source has answered that the run has stopped.

use std::{collections::HashSet, net::SocketAddr, sync::Arc};

use samphirespread_adapter::{EngineClient, engine::RunCopy, headers::EngineInstructions};
use samphirespread_core::prelude::*;
use samphirespread_logging::event;
use samphirespread_routing::{
    cache_scope::CacheScope,
    crash_causes::CauseKey,
    destinations::{Destination, RunToMove, choose_destination},
    model::{Generation, Service, ServiceName},
    relocation::{Answer, Place, Relocation, Step as MoveStep},
    rollout::NamedVersions,
    software::SoftwareTag,
    stopping::{Stay, StopFacts, may_stop},
};
use samphirespread_settings::Mechanism;
use slog::info;
use tokio::sync::oneshot;

use crate::{
    active_request::{ActiveRequest, RepeatSetAside},
    conduct, crashes,
    fleet::Server,
    gateway::Core,
    metrics::count,
    request_log::{LeftRun, Step},
    select::{self, Selected, StoppedRun},
    state::State,
};

/// Timeout of a call to copy a run's memory. It allows for waiting, as one engine copies its runs
/// one after the other.
const COPY_CALL_TIMEOUT_MS: u64 = 1_000;
/// Minimum time between two tries to move one run.
const RETRY_INTERVAL_MS: u64 = 150;
/// Maximum number of tries to move one run off one engine.
const MAX_TRIES: u32 = 4;

/// Moves the run of one stream from engine to engine.
#[derive(Debug, Default)]
pub(crate) struct Moves {
    pending: Option<PendingMove>,
    tries: u32,
    last_try: Option<MonoTime>,
    /// The engines that refused to continue the stopped run.
    refused: Vec<Arc<str>>,
    /// Whether the last call to stop the run got no answer.
    is_stop_unanswered: bool,
    /// The stopped run, once no engine is left to continue it.
    left: Option<LeftRun>,
    /// The destination that has refused the stopped run but may still take it.
    refused_by: Option<Selected>,
    /// The repeat that was set aside for that case.
    repeat: Option<RepeatSetAside>,
    /// Whether an engine that was to continue the run broke off.
    has_failed: bool,
}

/// What is left of a move that has ended without an engine that continues the run.
#[derive(Debug)]
pub(crate) struct EndedMove {
    /// The run, if it was certainly stopped.
    pub(crate) left: Option<LeftRun>,
    /// The destination, if it has refused the stopped run but may still take it.
    pub(crate) refused_by: Option<Selected>,
    /// The repeat that was set aside for a new run, if the run was or may have been stopped.
    pub(crate) repeat: Option<RepeatSetAside>,
    /// Whether an engine that was to continue the run broke off, as it does when it crashes.
    pub(crate) has_failed: bool,
}

/// A move that has begun.
#[derive(Debug)]
struct PendingMove {
    destination: Selected,
    source: Selected,
    calls: MoveCalls,
    /// A repeat for the new run that follows if no engine continues the stopped one.
    repeat: Option<RepeatSetAside>,
}

impl PendingMove {
    fn at(&self, place: Place) -> &Selected {
        match place {
            Place::Destination => &self.destination,
            Place::Source => &self.source,
        }
    }
}

/// The calls to the source, which a task makes.
#[derive(Debug)]
enum MoveCalls {
    Pending(oneshot::Receiver<Relocation>),
    Done(Relocation),
}

/// The engine that a run is moved off.
#[derive(Clone, Debug)]
struct Source {
    id: Arc<str>,
    address: SocketAddr,
}

impl Moves {
    /// Begins to move the run if its engine is about to load weights or leaves, and another engine
    /// can take the run.
    pub(crate) fn begin_if_due(&mut self, request: &mut ActiveRequest, server: &Arc<str>) {
        let now = request.core.now();
        let tried_recently =
            self.last_try.is_some_and(|tried| now.ms_since(tried) < RETRY_INTERVAL_MS);
        if self.pending.is_some() || tried_recently || self.tries >= MAX_TRIES {
            return;
        }
        let Some(request_id) = request.facts.id.clone() else { return };
        let (source, destination) = match plan_move(request, server, now) {
            Plan::None => return,
            Plan::NoDestination => return self.defer(request, server, "no_host"),
            Plan::Move(servers) => *servers,
        };
        let repeat = if request.may_resume() { request.set_repeat_aside() } else { None };
        let Some(check) = StopCheck::new(request, &source, &destination, repeat.is_some()) else {
            return;
        };
        let decision = check.decide(&request.core, now);
        if let Err(stay) = decision {
            return self.defer(request, server, stay.name());
        }
        if !request.try_spend_move() {
            return self.defer(request, server, "retry_budget");
        }
        self.tries += 1;
        self.last_try = Some(now);
        let step = Step::MoveStarted { from: source.id.clone(), to: destination.id.clone() };
        request.request_log.step(now, step);
        let (sender, receiver) = oneshot::channel();
        let from = Source { id: source.id.clone(), address: source.address };
        tokio::spawn(execute_move(
            request.core.clone(),
            from,
            destination.clone(),
            check,
            request_id,
            sender,
        ));
        let calls = MoveCalls::Pending(receiver);
        self.pending = Some(PendingMove { destination, source, calls, repeat });
    }

    /// Leaves the run where it is for now. This is logged once for each engine.
    fn defer(&mut self, request: &mut ActiveRequest, server: &Arc<str>, cause: &'static str) {
        let now = request.core.now();
        if self.last_try.replace(now).is_none() {
            count(&request.core.metrics.moves, cause);
            request.request_log.step(now, Step::MoveDeferred { server: server.clone(), cause });
        }
    }

    /// Waits until the source has answered the last call. Never returns if no such answer is
    /// awaited.
    pub(crate) async fn settled(&mut self) {
        let Some(pending) = &mut self.pending else { return std::future::pending().await };
        let MoveCalls::Pending(receiver) = &mut pending.calls else {
            return std::future::pending().await;
        };
        let Ok(relocation) = receiver.await else {
            self.pending = None;
            return;
        };
        match relocation.step() {
            MoveStep::Resume { .. } => pending.calls = MoveCalls::Done(relocation),
            step => {
                self.is_stop_unanswered |= step == MoveStep::Lost;
                let pending = self.pending.take();
                self.repeat = pending.and_then(|pending| pending.repeat);
                if !self.is_stop_unanswered {
                    self.repeat = None;
                }
            }
        }
    }

    /// Whether the source has stopped the run, so that its stream ends.
    pub(crate) fn has_stopped_run(&self) -> bool {
        let calls = self.pending.as_ref().map(|pending| &pending.calls);
        matches!(calls, Some(MoveCalls::Done(_)))
    }

    /// Whether the stream ended as a move has stopped its run, or may have. Waits for the answer to a
    /// pending call.
    pub(crate) async fn may_have_ended_stream(&mut self) -> bool {
        if self.pending.is_some() && !self.has_stopped_run() {
            self.settled().await;
        }
        self.has_stopped_run() || self.is_stop_unanswered
    }

    /// Whether a call to stop the run got no answer, so that the run may have been stopped.
    pub(crate) fn is_stop_unanswered(&self) -> bool {
        self.is_stop_unanswered
    }

    /// The engine where the run continues, after its stream ended without its last event.
    pub(crate) async fn next_server(&mut self, request: &ActiveRequest) -> Option<Selected> {
        if self.pending.is_some() && !self.has_stopped_run() {
            self.settled().await;
        }
        let pending = self.pending.as_ref()?;
        let MoveCalls::Done(relocation) = &pending.calls else { return None };
        let MoveStep::Resume { place, handle } = relocation.step() else { return None };
        let source = pending.source.address;
        let version = pending.source.engine.as_ref()?.version?;
        let generation = request.facts.generation.as_ref()?;
        if !run_to_move(&request.core.state(), generation, version, request.core.now()).may_move() {
            return None;
        }
        let mut selected = match place {
            Place::Destination => pending.destination.clone(),
            // A server that leaves gets no runs, not even its own back, and one that loads refuses it.
            Place::Source if !takes_back(&request.core, &pending.source.id) => return None,
            Place::Source => {
                request.count_return();
                pending.source.clone()
            }
        };
        selected.stopped_run = Some(StoppedRun { source, handle });
        Some(selected)
    }

    /// Records that the engine that was to continue the run has not run it.
    pub(crate) fn refused(&mut self) {
        let Some(pending) = &mut self.pending else { return };
        let MoveCalls::Done(relocation) = &mut pending.calls else { return };
        let step = relocation.step();
        relocation.record_refusal();
        let MoveStep::Resume { place, handle } = step else { return };
        self.refused.push(pending.at(place).id.clone());
        if place == Place::Destination {
            let stopped_run = Some(StoppedRun { source: pending.source.address, handle });
            self.refused_by = Some(Selected { stopped_run, ..pending.destination.clone() });
        }
    }

    /// Abandons the move after the run may have been continued but no answer came.
    pub(crate) fn abandon(&mut self) {
        self.give_up();
        self.refused_by = None;
        self.has_failed = true;
        self.pending = None;
    }

    /// Notes that no engine is left to continue the run, if it has stopped.
    pub(crate) fn give_up(&mut self) {
        let Some(PendingMove { destination, source, calls: MoveCalls::Done(_), repeat }) =
            &mut self.pending
        else {
            return;
        };
        self.repeat = repeat.take();
        self.left = Some(LeftRun {
            source: source.id.clone(),
            destination: destination.id.clone(),
            refused: self.refused.join(","),
            obstacle: None,
        });
    }

    /// Counts that the stopped run was continued, and ends the move, so that the run may be moved
    /// again.
    pub(crate) fn continued(&mut self, request: &ActiveRequest) {
        if let Some(PendingMove { calls: MoveCalls::Done(relocation), .. }) = &self.pending {
            let outcome = match relocation.step() {
                MoveStep::Resume { place: Place::Source, .. } => "taken_back",
                _ => "continued",
            };
            count(&request.core.metrics.moves, outcome);
        }
        *self = Self::default();
    }

    /// Ends the move, so that the run may be moved again.
    pub(crate) fn reset(&mut self) -> EndedMove {
        let is_stop_unanswered = self.is_stop_unanswered;
        let ended = std::mem::replace(self, Self { is_stop_unanswered, ..Self::default() });
        let Self { left, refused_by, repeat, has_failed, .. } = ended;
        EndedMove { left, refused_by, repeat, has_failed }
    }
}

/// Whether and how a run is to be moved.
enum Plan {
    None,
    /// The run is to be moved, but no engine can take it now.
    NoDestination,
    /// The run is to be moved from the first engine to the second.
    Move(Box<(Selected, Selected)>),
}

fn plan_move(request: &ActiveRequest, server: &Arc<str>, now: MonoTime) -> Plan {
    let Some((service, generation)) = request.service().zip(request.facts.generation.as_ref())
    else {
        return Plan::None;
    };
    let moves_runs = service.engine.is_some_and(|engine| engine.moves_runs)
        && request.core.settings.decisions.uses(Mechanism::Relocations);
    let state = request.core.state();
    let Some(source) = state.fleet.get(server).filter(|_| moves_runs) else { return Plan::None };
    if !source.is_leaving() && !source.fresh_state(now).is_some_and(|state| state.is_loading) {
        return Plan::None;
    }
    let Some(version) = source.version(&generation.model) else { return Plan::None };
    let to_move = run_to_move(&state, generation, version, now);
    let destination = destination(&state, service, &generation.model, source, &to_move, now);
    let Some(destination) = destination else { return Plan::NoDestination };
    let scope = state.cache_scope(&request.grant, now);
    if !request.is_run_in(&scope) {
        return Plan::None;
    }
    let selected_for = |server: &Server| Selected {
        is_near: *server.entry.failure_domain == *request.core.member.failure_domain,
        ..selected(&state, service, server, version, &scope)
    };
    Plan::Move(Box::new((selected_for(source), selected_for(destination))))
}

fn run_to_move(state: &State, generation: &Generation, version: u64, now: MonoTime) -> RunToMove {
    RunToMove {
        version,
        oldest_allowed: select::oldest_allowed(state, &generation.model, now),
        footprint_tokens: generation.footprint_tokens(),
    }
}

fn destination<'a>(
    state: &'a State,
    service: &Service,
    model: &ModelName,
    source: &Server,
    to_move: &RunToMove,
    now: MonoTime,
) -> Option<&'a Server> {
    let takers = takers(state, model, to_move.version, now);
    let servers: Vec<&Server> = state.fleet.of_service(&service.name).collect();
    let host = |server: &&Server| {
        let takes_requests = server.entry.id != source.entry.id
            && server.software == source.software
            && takes_moved_runs(state, server, now)
            && !server.suspicion.is_avoided(now);
        if !takes_requests {
            return None;
        }
        // An engine without a fresh report counts as empty; it refuses runs it has no room for.
        let reported = server.fresh_state(now);
        Some(Destination {
            version: server.version(model)?,
            is_far: server.entry.failure_domain != source.entry.failure_domain,
            loads_soon: takers.as_ref().is_some_and(|takers| !takers.contains(&server.entry.id)),
            used_tokens: reported.map_or(0, |state| state.used_tokens) + server.sent_tokens(),
            memory_tokens: reported.map_or(u64::MAX, |state| state.memory_tokens),
            waiting: reported.map_or(0, |state| state.waiting),
            free_slots: server
                .entry
                .slots
                .saturating_sub(reported.map_or(0, |state| state.running)),
        })
    };
    let hosts: Vec<Option<Destination>> = servers.iter().map(host).collect();
    choose_destination(&hosts, to_move).map(|index| servers[index])
}

/// The engines that may take over runs on a version, or `None` if no engine that holds it is to load,
/// so that all may.
fn takers(
    state: &State,
    model: &ModelName,
    version: u64,
    now: MonoTime,
) -> Option<HashSet<Arc<str>>> {
    let newest = state.weights.get(model).map_or(0, NamedVersions::newest);
    (version < newest).then(|| conduct::takers_of_runs(state, model, version, newest, now))
}

/// What decides whether a run may be stopped. It is checked before the memory is copied and again
/// right before the stop.
#[derive(Clone, Debug)]
struct StopCheck {
    service: ServiceName,
    model: ModelName,
    version: u64,
    source: Arc<str>,
    destination: Arc<str>,
    /// The version of the software that began the stream.
    software: SoftwareTag,
    /// Whether the request allows a new run.
    may_resume: bool,
    has_repeat: bool,
    /// When the answer to the request is due.
    deadline: MonoTime,
    /// What in the request may crash servers.
    causes: Vec<CauseKey>,
}

impl StopCheck {
    fn new(
        request: &ActiveRequest,
        source: &Selected,
        destination: &Selected,
        has_repeat: bool,
    ) -> Option<Self> {
        let (service, generation) = request.service().zip(request.facts.generation.as_ref())?;
        Some(Self {
            service: service.name.clone(),
            model: generation.model.clone(),
            version: source.engine.as_ref()?.version?,
            source: source.id.clone(),
            destination: destination.id.clone(),
            software: source.software,
            may_resume: request.may_resume(),
            has_repeat,
            deadline: request.deadline,
            causes: request.possible_causes().iter().map(|cause| cause.key).collect(),
        })
    }

    fn decide(&self, core: &Core, now: MonoTime) -> Result<(), Stay> {
        let state = &core.state();
        let takers = takers(state, &self.model, self.version, now);
        let loads_soon = takers.as_ref().is_some_and(|takers| !takers.contains(&self.destination));
        let takes_runs = |server: &Server| {
            takes_moved_runs(state, server, now)
                && server.version(&self.model) == Some(self.version)
        };
        let source = state.fleet.get(&self.source);
        let is_allowed = self.version >= select::oldest_allowed(state, &self.model, now);
        may_stop(&StopFacts {
            destination_takes_runs: is_allowed
                && !loads_soon
                && state.fleet.get(&self.destination).is_some_and(takes_runs),
            newer_weights_named: takers.is_some(),
            source_leaves: source.is_none_or(Server::is_leaving),
            may_resume: self.may_resume && !crashes::is_suspected(state, &self.causes),
            has_repeat: self.has_repeat,
            has_third_server: self.has_third_server(state, now),
            has_time: core.drain.due(self.deadline) == self.deadline,
        })
    }

    fn has_third_server(&self, state: &State, now: MonoTime) -> bool {
        let oldest_allowed = select::oldest_allowed(state, &self.model, now);
        let both = [self.source.clone(), self.destination.clone()];
        state.fleet.of_service(&self.service).any(|server| {
            takes_moved_runs(state, server, now)
                && server.software == self.software
                && !both.contains(&server.entry.id)
                && !server.suspicion.is_avoided(now)
                && server.version(&self.model).is_some_and(|version| version >= oldest_allowed)
        })
    }
}

fn selected(
    state: &State,
    service: &Service,
    server: &Server,
    version: u64,
    scope: &CacheScope,
) -> Selected {
    Selected {
        id: server.entry.id.clone(),
        address: server.entry.address,
        engine: Some(EngineInstructions {
            version: Some(version),
            salt: scope.salt(version),
            fetch_from: None,
            save_to: None,
        }),
        software: server.software,
        max_connections: select::max_connections(state, service, server),
        part_keys: Vec::new(),
        read_tokens: 0,
        expected: None,
        is_near: false,
        leave_ratio: None,
        last_report: None,
        started_unix_ms: server.entry.started_unix_ms,
        stopped_run: None,
        step: Step::RunContinued { server: server.entry.id.clone() },
    }
}

/// Makes the calls to the source. If nobody waits for the outcome, a copy that was made is freed.
async fn execute_move(
    core: Arc<Core>,
    source: Source,
    destination: Selected,
    check: StopCheck,
    request_id: String,
    outcome: oneshot::Sender<Relocation>,
) {
    let mut client = EngineClient::new(source.address, COPY_CALL_TIMEOUT_MS);
    let mut relocation = Relocation::new();
    loop {
        let stops = match relocation.step() {
            MoveStep::Copy => false,
            MoveStep::Stop => true,
            _ => break,
        };
        let may_stop = || check.decide(&core, core.now()).is_ok();
        if outcome.is_closed() || (stops && !may_stop()) {
            relocation.record_withdrawal();
            continue;
        }
        let copy = RunCopy { request_id: &request_id, destination: destination.address, stops };
        if stops && !check.may_resume {
            // Without the answer, the run is lost if it was stopped.
            let left_ms = check.deadline.ms_since(core.now()).max(COPY_CALL_TIMEOUT_MS);
            client = EngineClient::new(source.address, left_ms);
        }
        let answer = client.copy_run(&source.id, &copy).await.unwrap_or_else(|error| {
            info!(core.log, "{}", event::RUN_NOT_COPIED; "request" => &request_id, "server" => &*source.id,
                "to" => &*destination.id, "stops" => stops, "error" => %error);
            Answer::Unknown
        });
        relocation.record_answer(answer);
    }
    let step = relocation.step();
    log_outcome(&core, &request_id, &source, &destination, &step);
    let unused = match (step, outcome.send(relocation)) {
        (MoveStep::Stay { release }, _) => release,
        (MoveStep::Resume { handle, .. }, Err(_)) => Some(handle),
        _ => None,
    };
    let Some(handle) = unused else { return };
    if let Err(error) = client.release_copy(&source.id, &handle).await {
        info!(core.log, "{}", event::COPY_NOT_FREED; "request" => &request_id, "server" => &*source.id,
            "error" => %error);
    }
}

/// Whether a destination that has refused a stopped run may still take it: it neither leaves nor
/// loads, and its weights are those of the run.
pub(crate) fn may_still_take(request: &ActiveRequest, destination: &Selected) -> bool {
    let now = request.core.now();
    let Some(generation) = request.facts.generation.as_ref() else { return false };
    let Some(version) = destination.engine.as_ref().and_then(|engine| engine.version) else {
        return false;
    };
    let state = request.core.state();
    let is_loading =
        |server: &Server| server.fresh_state(now).is_some_and(|state| state.is_loading);
    run_to_move(&state, generation, version, now).may_move()
        && state.fleet.get(&destination.id).is_some_and(|server| {
            !server.is_leaving()
                && !is_loading(server)
                && server.version(&generation.model) == Some(version)
        })
}

/// Whether an engine may take back a run that it has stopped.
fn takes_back(core: &Core, id: &str) -> bool {
    let now = core.now();
    let state = core.state();
    let is_loading =
        |server: &Server| server.fresh_state(now).is_some_and(|state| state.is_loading);
    state.fleet.get(id).is_some_and(|server| !server.declines(now) && !is_loading(server))
}

/// Whether runs may be moved to an engine. One that limits requests is in need, and one whose sidecar gets
/// no answer would lose them.
fn takes_moved_runs(state: &State, server: &Server, now: MonoTime) -> bool {
    let is_limited = state.server_limits.rate(server.run_tag()).is_some();
    select::is_eligible(state, server, &[], now) && !is_limited && !server.is_reported_gone(now)
}

fn log_outcome(
    core: &Core,
    request_id: &str,
    source: &Source,
    destination: &Selected,
    step: &MoveStep,
) {
    let outcome = match step {
        MoveStep::Resume { place: Place::Destination, .. } => "stopped",
        MoveStep::Resume { place: Place::Source, .. } => "given_back",
        MoveStep::Stay { .. } => "stays",
        _ => "unknown",
    };
    count(&core.metrics.moves, outcome);
    info!(core.log, "{}", event::RUN_COPIED; "request" => request_id, "server" => &*source.id,
        "to" => &*destination.id, "outcome" => outcome);
}
