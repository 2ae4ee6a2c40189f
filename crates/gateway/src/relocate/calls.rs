//! The calls to an engine that copy the memory of a run and stop it.

use std::{net::SocketAddr, sync::Arc};

use samphirespread_adapter::{EngineClient, engine::RunCopy};
use samphirespread_logging::event;
use samphirespread_routing::relocation::{Answer, Place, Relocation, Step};
use slog::info;
use tokio::sync::oneshot;

use super::{stop_check::StopCheck, turns::Turn};
use crate::{gateway::Core, metrics::count, select::Selected};

/// Timeout of a call to copy a run's memory. It allows for waiting, as one engine copies its runs
/// one after the other.
const COPY_CALL_TIMEOUT_MS: u64 = 1_000;

/// The engine that a run is moved off.
#[derive(Clone, Debug)]
pub(super) struct Source {
    pub(super) id: Arc<str>,
    pub(super) address: SocketAddr,
}

/// Makes the calls to the source. If nobody waits for the outcome, a copy that was made is freed.
pub(super) async fn execute_move(
    core: Arc<Core>,
    source: Source,
    destination: Selected,
    check: StopCheck,
    request_id: String,
    mut outcome: oneshot::Sender<Relocation>,
) {
    let _turn = wait_for_turn(&core, &source, &mut outcome).await;
    let mut client = EngineClient::new(source.address, COPY_CALL_TIMEOUT_MS);
    let mut relocation = Relocation::new();
    loop {
        let stops = match relocation.step() {
            Step::Copy => false,
            Step::Stop => true,
            _ => break,
        };
        if outcome.is_closed() || check.decide(&core, core.now()).is_err() {
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
        (Step::Stay { release }, _) => release,
        (Step::Resume { handle, .. }, Err(_)) => Some(handle),
        _ => None,
    };
    let Some(handle) = unused else { return };
    if let Err(error) = client.release_copy(&source.id, &handle).await {
        info!(core.log, "{}", event::COPY_NOT_FREED; "request" => &request_id, "server" => &*source.id,
            "error" => %error);
    }
}

/// Waits until the run may be moved off its engine. Returns `None` if nobody waits for the outcome any more.
async fn wait_for_turn(
    core: &Core,
    source: &Source,
    outcome: &mut oneshot::Sender<Relocation>,
) -> Option<Turn> {
    let turns = core.state().move_turns.at(&source.id);
    tokio::select! {
        biased;
        () = outcome.closed() => None,
        turn = turns.acquire_owned() => turn.ok(),
    }
}

fn log_outcome(
    core: &Core,
    request_id: &str,
    source: &Source,
    destination: &Selected,
    step: &Step,
) {
    let outcome = match step {
        Step::Resume { place: Place::Destination, .. } => "stopped",
        Step::Resume { place: Place::Source, .. } => "given_back",
        Step::Stay { .. } => "stays",
        _ => "unknown",
    };
    count(&core.metrics.moves, outcome);
    info!(core.log, "{}", event::RUN_COPIED; "request" => request_id, "server" => &*source.id,
        "to" => &*destination.id, "outcome" => outcome);
}
