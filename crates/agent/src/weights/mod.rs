//! Makes the engine load the weights that the configuration asks for.
//!
//! A new version is loaded in three steps: the agent stops starting work, waits until nothing runs,
//! and orders the engine to load. The agents of a set begin at different times, derived from their
//! names, so that some serve while others load and they don't all read from the weight store at
//! once.

use std::{sync::Arc, time::Duration};

use samphirespread_core::prelude::*;
use samphirespread_engine::api::{LoadWeights, LoadedWeights};
use slog::{info, warn};
use tokio_util::sync::CancellationToken;

use crate::{
    engine_tracker::{EngineEvent, EngineState},
    shared::{Shared, State},
};

/// Period over which the agents of a set spread the start of their loads.
const LOAD_START_SPREAD_MS: u64 = 5_000;

const CHECK_INTERVAL_MS: u64 = 50;

/// Loads weights whenever the configuration asks for others, until `stop` is cancelled.
pub(crate) async fn keep_loaded(shared: Arc<Shared>, stop: CancellationToken) {
    loop {
        let order = next_order(&shared);
        if let Some(order) = order {
            tokio::select! {
                () = load(&shared, &order) => {}
                () = stop.cancelled() => return,
            }
        }
        tokio::select! {
            () = tokio::time::sleep(Duration::from_millis(CHECK_INTERVAL_MS)) => {}
            () = stop.cancelled() => return,
        }
    }
}

/// Returns the load order that is due now, if there is one.
fn next_order(shared: &Shared) -> Option<LoadWeights> {
    let state = shared.lock();
    let wanted = state.weights_to_load()?;
    let generation = state.configuration.generation();
    let delay_ms =
        rendezvous::score(&generation.0.to_le_bytes(), shared.name.as_str()) % LOAD_START_SPREAD_MS;
    if shared.clock.now() < state.configuration.weights_since().plus_ms(delay_ms) {
        return None;
    }
    let fence = FencingNumber(generation.0);
    Some(LoadWeights { fence, model: wanted.model, version: wanted.version })
}

async fn load(shared: &Arc<Shared>, order: &LoadWeights) {
    let (model, version) = (order.model.to_string(), order.version.to_string());
    info!(shared.log, "drains for other weights"; "model" => &model, "version" => &version);
    shared.engine_event(EngineEvent::WeightsWanted);
    while !shared.has_nothing_running() {
        tokio::time::sleep(Duration::from_millis(CHECK_INTERVAL_MS)).await;
    }
    let incarnation = shared.lock().engine.incarnation();
    match shared.engine.load_weights(order).await {
        Ok(()) => {
            let weights =
                LoadedWeights { model: order.model.clone(), version: order.version.clone() };
            shared.lock().ordered = Some((incarnation, weights));
            info!(shared.log, "weights loaded"; "model" => &model, "version" => &version);
        }
        Err(error) => warn!(shared.log, "weights were not loaded"; "error" => %error),
    }
    shared.engine_event(EngineEvent::WeightsDone);
}

impl State {
    /// Returns the weights that the engine should load, if they differ from those that it serves.
    fn weights_to_load(&self) -> Option<LoadedWeights> {
        if self.engine.state() != EngineState::Up {
            return None;
        }
        let wanted = self.configuration.weights()?;
        (self.weights()? != wanted).then(|| wanted.clone())
    }

    /// Returns the weights that the engine serves, if known. Weights that were loaded on an order
    /// take precedence, because the reports of the engine lag behind.
    fn weights(&self) -> Option<&LoadedWeights> {
        match &self.ordered {
            Some((incarnation, ordered)) if *incarnation == self.engine.incarnation() => {
                Some(ordered)
            }
            _ => self.loaded.as_ref(),
        }
    }
}
