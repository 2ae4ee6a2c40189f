//! Copies of the memory of runs that may not be repeated, so that their streams outlive an engine that dies.

use samphirespread_adapter::{EngineClient, EngineError};
use samphirespread_core::prelude::*;
use samphirespread_logging::event;
use samphirespread_routing::{model::RouteKind, relocation};
use samphirespread_settings::Mechanism;
use slog::info;

use crate::{
    metrics::count,
    relocate,
    run::Run,
    select::{CarriesOn, Selected},
};

/// After an engine was lost, copies are kept for this long: losses come in series, and copies push cached parts out of
/// the engines' memory.
const KEPT_AFTER_LOSS_MS: u64 = 20_000;
/// Time within which an engine that lives answers.
const ANSWER_MS: u64 = 300;

/// Where a copy of a run's memory is kept.
#[derive(Debug)]
pub(crate) struct Backup {
    /// The engine that keeps it.
    keeper: Selected,
    /// The engine that runs the request.
    runs_at: Selected,
}

/// Has a copy of the run's memory kept, where its stream can't be resumed otherwise, engines were lost lately, and one
/// has room.
pub(crate) fn add(run: &Run, selected: &mut Selected, now: MonoTime) -> Option<Backup> {
    let route = &run.grant.route;
    let wants_backup = route.kind == RouteKind::Stream
        && !route.is_idempotent()
        && run.core.settings.decisions.uses(Mechanism::Backups);
    let generation = run.facts.generation.as_ref().filter(|_| wants_backup)?;
    let service = run.service()?;
    if !service.engine.as_ref()?.backs_up_runs {
        return None;
    }
    let version = selected.engine.as_ref()?.version;
    let state = run.core.state();
    if now.ms_since(state.engine_lost?) > KEPT_AFTER_LOSS_MS {
        return None;
    }
    let source = state.fleet.get(&selected.id)?;
    let to_move = relocate::to_move(&state, generation, version, now);
    let model = &generation.model;
    let keeper = relocate::destination(&state, service, model, source, &to_move, now)?;
    let team = run.grant.dedicated_team();
    let keeper = relocate::selected(&state, service, keeper, version, team);
    selected.engine.as_mut()?.backup_to = Some(keeper.address);
    Some(Backup { keeper, runs_at: selected.clone() })
}

impl Backup {
    /// The engine with the copy, if it is certain that the run has ended with its engine.
    pub(crate) async fn place_if_gone(self, run: &Run) -> Option<Selected> {
        let Self { mut keeper, runs_at } = self;
        let handle = run.facts.id.as_deref()?;
        let started_unix_ms = runs_at.started_unix_ms;
        let answer = EngineClient::new(runs_at.address, ANSWER_MS).report().await;
        let is_gone = match &answer {
            Err(EngineError::Refused(_)) => true,
            Ok(report) => relocation::is_other_run(started_unix_ms, report.state.started_unix_ms),
            Err(_) => false,
        };
        count(&run.core.metrics.moves, if is_gone { "backup" } else { "engine_may_live" });
        info!(run.core.log, "{}", event::BACKUP_LOOKED_FOR; "request" => handle,
            "server" => &*runs_at.id, "to" => &*keeper.id, "gone" => is_gone,
            "error" => answer.err().map(|error| error.to_string()));
        keeper.carries_on = Some(CarriesOn { source: keeper.address, handle: handle.into() });
        (is_gone && is_allowed(run, &keeper)).then_some(keeper)
    }
}

/// Whether the request may still be sent to engines with these weights, and to this one.
fn is_allowed(run: &Run, keeper: &Selected) -> bool {
    let generation = run.facts.generation.as_ref();
    let Some((generation, engine)) = generation.zip(keeper.engine.as_ref()) else { return false };
    let now = run.core.now();
    let may_move = relocate::to_move(&run.core.state(), generation, engine.version, now).may_move();
    may_move && relocate::is_able(&run.core, keeper)
}
