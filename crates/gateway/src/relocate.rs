//! Moves running streams off engines that are about to load weights or that leave.
//!
//! The router that relays a stream moves its run: it is the only one that can splice the stream, and the source's
//! answer that the run has stopped is its permission to send the request elsewhere.

use std::{net::SocketAddr, sync::Arc};

use samphirespread_adapter::{EngineClient, engine::RunCopy, headers::EngineInstructions};
use samphirespread_core::prelude::*;
use samphirespread_logging::event;
use samphirespread_routing::{
    destinations::{Destination, RunToMove, choose_destination},
    model::{Generation, Service, cache_salt},
    relocation::{Answer, Place, Relocation, Step as MoveStep},
    rollout::NamedVersions,
};
use samphirespread_settings::Mechanism;
use slog::info;
use tokio::sync::oneshot;

use crate::{
    conduct,
    fleet::Server,
    gateway::Core,
    metrics::count,
    run::Run,
    select::{self, CarriesOn, Selected},
    state::State,
    story::Step,
};

/// A call to copy memory fails after this: the copies of one engine's runs wait for each other.
const COPY_TIMEOUT_MS: u64 = 1_000;
/// Time between two tries to move one run.
const AGAIN_MS: u64 = 150;
/// Tries to move one run off one engine.
const MAX_TRIES: u32 = 4;

/// The moves of one stream.
#[derive(Debug, Default)]
pub(crate) struct Moves {
    under_way: Option<UnderWay>,
    tries: u32,
    tried: Option<MonoTime>,
}

#[derive(Debug)]
struct UnderWay {
    destination: Selected,
    source: Selected,
    calls: Calls,
}

#[derive(Debug)]
enum Calls {
    Pending(oneshot::Receiver<Relocation>),
    Done(Relocation),
}

/// An engine off which a run is moved.
#[derive(Clone, Debug)]
struct Source {
    id: Arc<str>,
    address: SocketAddr,
}

impl Moves {
    /// Begins to move the run off its engine, if that is to be emptied and another one can take the run.
    pub(crate) fn begin_if_due(&mut self, run: &mut Run, server: &Arc<str>) {
        let now = run.core.now();
        let is_resting = self.tried.is_some_and(|tried| now.ms_since(tried) < AGAIN_MS);
        if self.under_way.is_some() || is_resting || self.tries >= MAX_TRIES {
            return;
        }
        let Some(request_id) = run.facts.id.clone() else { return };
        let (source, destination) = match ends(run, server, now) {
            Due::Not => return,
            Due::WithoutHost => return self.stays(run, server, "no_host"),
            Due::Move(ends) if run.may_move() => *ends,
            Due::Move(_) => return self.stays(run, server, "retry_budget"),
        };
        self.tries += 1;
        self.tried = Some(now);
        let step = Step::Moves { from: source.id.clone(), to: destination.id.clone() };
        run.story.step(now, step);
        let (sender, receiver) = oneshot::channel();
        let from = Source { id: source.id.clone(), address: source.address };
        tokio::spawn(carry_out(run.core.clone(), from, destination.clone(), request_id, sender));
        let calls = Calls::Pending(receiver);
        self.under_way = Some(UnderWay { destination, source, calls });
    }

    /// Leaves the run where it is for now. The log says so once for each engine.
    fn stays(&mut self, run: &mut Run, server: &Arc<str>, cause: &'static str) {
        let now = run.core.now();
        if self.tried.replace(now).is_none() {
            count(&run.core.metrics.moves, cause);
            run.story.step(now, Step::Stays { server: server.clone(), cause });
        }
    }

    /// Waits until the engine's last answer. Never ends while no move is under way.
    pub(crate) async fn answered(&mut self) {
        let Some(under_way) = &mut self.under_way else { return std::future::pending().await };
        let Calls::Pending(receiver) = &mut under_way.calls else {
            return std::future::pending().await;
        };
        let Ok(relocation) = receiver.await else {
            self.under_way = None;
            return;
        };
        match relocation.step() {
            MoveStep::Resume { .. } => under_way.calls = Calls::Done(relocation),
            _ => self.under_way = None,
        }
    }

    /// Whether the run has stopped, so that the stream comes to its end.
    pub(crate) fn has_stopped_run(&self) -> bool {
        let calls = self.under_way.as_ref().map(|under_way| &under_way.calls);
        matches!(calls, Some(Calls::Done(_)))
    }

    /// Where the request goes on, now that its stream has ended without its end.
    pub(crate) async fn next_place(&mut self, run: &Run) -> Option<Selected> {
        if self.under_way.is_some() && !self.has_stopped_run() {
            self.answered().await;
        }
        let under_way = self.under_way.as_ref()?;
        let Calls::Done(relocation) = &under_way.calls else { return None };
        let MoveStep::Resume { place, handle } = relocation.step() else { return None };
        let source = under_way.source.address;
        let version = under_way.source.engine.as_ref()?.version;
        let generation = run.facts.generation.as_ref()?;
        if !to_move(&run.core.state(), generation, version, run.core.now()).may_move() {
            return None;
        }
        let mut selected = match place {
            Place::Destination => under_way.destination.clone(),
            // A server that leaves gets nothing more.
            Place::Source if is_leaving(&run.core, &under_way.source.id) => return None,
            Place::Source => under_way.source.clone(),
        };
        selected.carries_on = Some(CarriesOn { source, handle });
        Some(selected)
    }

    /// The engine where the request was to go on has not run it.
    pub(crate) fn refused(&mut self) {
        if let Some(UnderWay { calls: Calls::Done(relocation), .. }) = &mut self.under_way {
            relocation.record_refusal();
        }
    }

    /// The request was sent to go on and may have run, without an answer.
    pub(crate) fn failed(&mut self) {
        self.under_way = None;
    }

    /// The stream goes on; its run may be moved again.
    pub(crate) fn done(&mut self) {
        *self = Self::default();
    }
}

/// Whether a run is to be moved.
enum Due {
    Not,
    /// It is, and no engine can take it now.
    WithoutHost,
    /// It is, from one engine to another one.
    Move(Box<(Selected, Selected)>),
}

fn ends(run: &Run, server: &Arc<str>, now: MonoTime) -> Due {
    let Some((service, generation)) = run.service().zip(run.facts.generation.as_ref()) else {
        return Due::Not;
    };
    let moves_runs = service.engine.is_some_and(|engine| engine.moves_runs)
        && run.core.settings.decisions.uses(Mechanism::Moves);
    let state = run.core.state();
    let Some(source) = state.fleet.get(server).filter(|_| moves_runs) else { return Due::Not };
    if !source.is_leaving() && !source.fresh_state(now).is_some_and(|state| state.is_loading) {
        return Due::Not;
    }
    let Some(version) = source.version(&generation.model) else { return Due::Not };
    let to_move = to_move(&state, generation, version, now);
    let destination = destination(&state, service, &generation.model, source, &to_move, now);
    let Some(destination) = destination else { return Due::WithoutHost };
    let team = run.grant.dedicated_team();
    let place = |server: &Server| selected(&state, service, server, version, team);
    Due::Move(Box::new((place(source), place(destination))))
}

fn to_move(state: &State, generation: &Generation, version: u64, now: MonoTime) -> RunToMove {
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
    let newest = state.weights.get(model).map_or(0, NamedVersions::newest);
    let loads = to_move.version < newest;
    let last = loads.then(|| conduct::last_to_load(state, model, to_move.version, newest, now));
    let servers: Vec<&Server> = state.fleet.of_service(&service.name).collect();
    let host = |server: &&Server| {
        let takes_requests = server.entry.id != source.entry.id
            && select::is_eligible(state, server, &[], now)
            && !server.suspicion.is_avoided(now);
        if !takes_requests {
            return None;
        }
        // An engine that tells nothing of itself refuses what it has no room for.
        let told = server.fresh_state(now);
        Some(Destination {
            version: server.version(model)?,
            is_far: server.entry.failure_domain != source.entry.failure_domain,
            loads_soon: last.as_ref().is_some_and(|last| !last.contains(&server.entry.id)),
            used_tokens: told.map_or(0, |state| state.used_tokens) + server.sent_tokens(),
            memory_tokens: told.map_or(u64::MAX, |state| state.memory_tokens),
            waiting: told.map_or(0, |state| state.waiting),
            free_slots: server.entry.slots.saturating_sub(told.map_or(0, |state| state.running)),
        })
    };
    let hosts: Vec<Option<Destination>> = servers.iter().map(host).collect();
    choose_destination(&hosts, to_move).map(|index| servers[index])
}

fn selected(
    state: &State,
    service: &Service,
    server: &Server,
    version: u64,
    dedicated_team: Option<&TeamName>,
) -> Selected {
    Selected {
        id: server.entry.id.clone(),
        address: server.entry.address,
        engine: Some(EngineInstructions {
            version,
            salt: cache_salt(version, dedicated_team),
            fetch_from: None,
            save_to: None,
        }),
        max_idle: select::max_idle(state, service),
        part_keys: Vec::new(),
        read_tokens: 0,
        expected: None,
        heard: None,
        started_unix_ms: server.entry.started_unix_ms,
        carries_on: None,
        step: Step::GoesOn { server: server.entry.id.clone() },
    }
}

/// Carries out the calls to the source. If nobody waits for the outcome, a copy that was made is freed.
async fn carry_out(
    core: Arc<Core>,
    source: Source,
    destination: Selected,
    request_id: String,
    outcome: oneshot::Sender<Relocation>,
) {
    let mut client = EngineClient::new(source.address, COPY_TIMEOUT_MS);
    let mut relocation = Relocation::new();
    loop {
        let stops = match relocation.step() {
            MoveStep::Copy => false,
            MoveStep::Stop => true,
            _ => break,
        };
        if outcome.is_closed() || (stops && !is_able(&core, &destination)) {
            relocation.record_withdrawal();
            continue;
        }
        let copy = RunCopy { request_id: &request_id, destination: destination.address, stops };
        let answer = client.copy_run(&source.id, &copy).await.unwrap_or_else(|error| {
            info!(core.log, "{}", event::RUN_NOT_COPIED; "request" => &request_id, "server" => &*source.id,
                "to" => &*destination.id, "stops" => stops, "error" => %error);
            Answer::Unknown
        });
        relocation.record_answer(answer);
    }
    let step = relocation.step();
    note(&core, &request_id, &source, &destination, &step);
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

fn is_leaving(core: &Core, id: &str) -> bool {
    let now = core.now();
    core.state().fleet.get(id).is_none_or(|server| server.declines(now))
}

/// Whether the destination still takes runs.
fn is_able(core: &Core, destination: &Selected) -> bool {
    let now = core.now();
    let state = core.state();
    let server = state.fleet.get(&destination.id);
    server.is_some_and(|server| select::is_eligible(&state, server, &[], now))
}

fn note(core: &Core, request_id: &str, source: &Source, destination: &Selected, step: &MoveStep) {
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
