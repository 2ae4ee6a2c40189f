//! Observes runs: which have survived, and which were broken off by a server that has crashed.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use samphirespread_core::prelude::*;
use samphirespread_logging::event;
use samphirespread_outbound::{Connection, OpenError};
use samphirespread_routing::{
    crash_causes::{CauseKind, Crash, CrashCauses, Host},
    server_limit::ServerRun,
};
use slog::{info, warn};
use tokio::time;

use super::{
    PossibleCause,
    broken_runs::{BrokenRun, RunStage, RunningServer},
};
use crate::{active_request::ActiveRequest, fleet::Server, gateway::Core, state::State};

/// When to look whether a server that broke off a run still accepts connections, as times after
/// that. A server that is about to end may accept a last one.
const CHECK_DELAYS_MS: [u64; 2] = [0, 150];
/// Timeout of each look.
const CHECK_TIMEOUT_MS: u64 = 300;

/// What a look at a server that broke off a run has found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ServerState {
    /// No process listens at its address.
    Crashed,
    /// It accepts connections.
    Listening,
    /// Connections are not answered, as on a link that is cut.
    Silent,
    /// It leaves, and ends its runs by plan.
    Leaving,
}

impl ServerState {
    fn name(self) -> &'static str {
        match self {
            Self::Crashed => "crashed",
            Self::Listening => "accepts connections",
            Self::Silent => "does not answer",
            Self::Leaving => "leaves",
        }
    }
}

/// Records that the run of a request has gone on long enough after its first event for its server not
/// to have crashed of the parts of its prompt.
pub(crate) fn parts_survived(request: &ActiveRequest, first_event: MonoTime) {
    clear_survived(request, |causes, cause, now| match cause.kind() {
        CauseKind::Part => causes.record_run(cause.key, first_event, now),
        CauseKind::Request => false,
    });
}

/// Records that a request has its whole answer, after the first event of a stream.
pub(crate) fn request_survived(request: &ActiveRequest, first_event: Option<MonoTime>) {
    clear_survived(request, |causes, cause, now| match (cause.kind(), first_event) {
        (CauseKind::Part, Some(first_event)) => causes.record_run(cause.key, first_event, now),
        _ => causes.record_survival(cause.key, now),
    });
}

/// Clears the causes in a request with `clear`, which returns whether crashes had counted.
fn clear_survived(
    request: &ActiveRequest,
    clear: impl Fn(&mut CrashCauses, &PossibleCause, MonoTime) -> bool,
) {
    if request.core.state().crash_causes.is_empty() {
        return;
    }
    let causes = request.possible_causes();
    let now = request.core.now();
    let mut state = request.core.state();
    for cause in &causes {
        let crashes = state.crash_causes.crashes(cause.key);
        if clear(&mut state.crash_causes, cause, now) {
            let cleared = crashes - state.crash_causes.crashes(cause.key);
            request.core.wake_publisher.notify_one();
            info!(request.core.log, "{}", event::CRASH_CAUSE_CLEARED; "part" => cause.part.as_deref(),
                "of" => cause.kind().name(), "cause" => %cause.key, "crashes" => cleared,
                "source" => request.facts.id.as_deref().unwrap_or("-"));
        }
    }
}

/// Notes that a server broke off a run. The crash counts against what was in the request as soon as
/// anything shows that the server's process has ended.
pub(crate) fn run_broke_off(
    request: &ActiveRequest,
    server_id: &Arc<str>,
    server: RunningServer,
    stage: RunStage,
) {
    let core = request.core.clone();
    let team = request.grant.team.as_ref().map_or("-", |team| team.name.as_str());
    let broken = BrokenRun {
        stage,
        server_id: server_id.clone(),
        server,
        at: core.now(),
        request_id: request.facts.id.clone().unwrap_or_default(),
        team: team.to_owned(),
        route: request.grant.route.name.clone(),
        causes: suspects(request, stage),
    };
    {
        let mut state = core.state();
        // A server that leaves ends its runs by plan, with a notice or by its entry alone.
        if state.fleet.get(server_id).is_none_or(Server::is_leaving) {
            return log_broken(&core, &broken, ServerState::Leaving);
        }
        state.broken_runs.add(broken.clone());
        count_ended(&core, &mut state);
    }
    tokio::spawn(async move {
        let found = look_at(server.address).await;
        log_broken(&core, &broken, found);
        if found == ServerState::Crashed {
            server_refused(&core, server.run);
        }
    });
}

/// Counts the crash of a server's process that accepts no connections, against what was in the runs
/// that it broke off.
pub(crate) fn server_refused(core: &Core, run: ServerRun) {
    let mut state = core.state();
    for broken in state.broken_runs.take_of(run) {
        record_crash(core, &mut state, &broken);
    }
}

/// Counts the crashes that follow from what is known of the servers by now: their processes have
/// started anew, others are at their addresses, or they are gone.
pub(crate) fn count_ended(core: &Core, state: &mut State) {
    for broken in state.broken_runs.take_ended(&state.fleet, core.now()) {
        record_crash(core, state, &broken);
    }
}

/// What in a request a crash counts against if its run had come that far.
fn suspects(request: &ActiveRequest, stage: RunStage) -> Vec<PossibleCause> {
    let counts_against_parts = match stage {
        RunStage::Sent => !request.is_answer_begun_with_run(),
        RunStage::Begun | RunStage::FirstEvents => true,
        RunStage::Streaming => false,
    };
    let mut causes = request.possible_causes();
    causes.retain(|cause| counts_against_parts || cause.kind() == CauseKind::Request);
    causes
}

fn log_broken(core: &Core, broken: &BrokenRun, state: ServerState) {
    info!(core.log, "{}", event::RUN_BROKE_OFF; "request" => &broken.request_id,
        "server" => &*broken.server_id, "stage" => broken.stage.name(), "server_state" => state.name());
}

/// Looks whether a process listens at the address. A link that is cut, a frozen server and one that
/// only broke off an answer look different: connecting times out or succeeds.
async fn look_at(address: SocketAddr) -> ServerState {
    for delay_ms in CHECK_DELAYS_MS {
        time::sleep(Duration::from_millis(delay_ms)).await;
        match Connection::open(address, CHECK_TIMEOUT_MS).await {
            Ok(_) => {}
            Err(OpenError::Refused(_)) => return ServerState::Crashed,
            Err(_) => return ServerState::Silent,
        }
    }
    ServerState::Listening
}

fn record_crash(core: &Core, state: &mut State, broken: &BrokenRun) {
    let now = core.now();
    let RunningServer { run, address } = broken.server;
    let host = Host::of(address);
    if state.crashed_runs.insert(run, now).is_none() {
        core.metrics.server_crashes.inc();
        warn!(core.log, "{}", event::SERVER_CRASHED; "server" => &*broken.server_id,
            "request" => &broken.request_id);
    }
    for (index, cause) in broken.causes.iter().enumerate() {
        let more_specific = broken.causes.get(index + 1).map(|next| next.key.tag());
        let crash = Crash { run, host, at: broken.at, more_specific };
        let Some(crashes) = state.crash_causes.record_crash(cause.key, crash, now) else {
            continue;
        };
        core.wake_publisher.notify_one();
        let hosts = state.crash_causes.hosts(cause.key);
        info!(core.log, "{}", event::CRASH_COUNTED; "part" => cause.part.as_deref(),
            "of" => cause.kind().name(), "cause" => %cause.key, "crashes" => crashes, "hosts" => hosts,
            "server" => &*broken.server_id, "request" => &broken.request_id,
            "team" => &broken.team, "route" => &*broken.route, "source" => "answer",
            "age_ms" => now.ms_since(broken.at));
    }
}
