//! Keeps the engine on the weights that the configuration asks for.
//!
//! A new version is loaded in three steps: the agent stops starting work, waits until nothing runs,
//! and orders the engine to load. The agents of a set begin at different moments, spread by their names, so that
//! some serve while others load and the weight store isn't asked by all at once.

use std::{sync::Arc, time::Duration};

use samphirespread_core::prelude::*;
use samphirespread_engine::api::{LoadWeights, LoadedWeights};
use slog::{info, warn};
use tokio_util::sync::CancellationToken;

use crate::{
    engine_life::{EngineEvent, EngineState},
    shared::{Shared, State},
};

/// Time over which the agents of a fleet begin to load.
const SPREAD_MS: u64 = 5_000;

const CHECK_MS: u64 = 50;

/// Loads weights whenever the configuration asks for others, until `stop`.
pub(crate) async fn keep(shared: Arc<Shared>, stop: CancellationToken) {
    loop {
        let order = next_order(&shared);
        if let Some(order) = order {
            tokio::select! {
                () = load(&shared, &order) => {}
                () = stop.cancelled() => return,
            }
        }
        tokio::select! {
            () = tokio::time::sleep(Duration::from_millis(CHECK_MS)) => {}
            () = stop.cancelled() => return,
        }
    }
}

/// The order that is due now, if any.
fn next_order(shared: &Shared) -> Option<LoadWeights> {
    let state = shared.lock();
    let wanted = state.weights_to_load()?;
    let generation = state.configuration.generation();
    let delay_ms = rendezvous::score(&generation.0.to_le_bytes(), shared.name.as_str()) % SPREAD_MS;
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
        tokio::time::sleep(Duration::from_millis(CHECK_MS)).await;
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
    /// The weights that the engine should load.
    fn weights_to_load(&self) -> Option<LoadedWeights> {
        if self.engine.state() != EngineState::Up {
            return None;
        }
        let wanted = self.configuration.weights()?;
        (self.weights()? != wanted).then(|| wanted.clone())
    }

    /// The weights that the engine serves, as far as is known. Its reports lag behind orders.
    fn weights(&self) -> Option<&LoadedWeights> {
        match &self.ordered {
            Some((incarnation, ordered)) if *incarnation == self.engine.incarnation() => {
                Some(ordered)
            }
            _ => self.loaded.as_ref(),
        }
    }
}
