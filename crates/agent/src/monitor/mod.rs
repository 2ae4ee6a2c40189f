//! Background tasks that poll the backend server, follow its cache events and run due actions.

use std::{sync::Arc, time::Duration};

use samphirespread_core::prelude::*;
use samphirespread_engine::EngineError;
use samphirespread_prefix::Applied;
use samphirespread_settings::BackendKind;
use slog::debug;
use tokio::{net::TcpStream, time::timeout};
use tokio_util::sync::CancellationToken;

use crate::{engine_tracker::EngineEvent, shared::Shared};

const POLL_INTERVAL_MS: u64 = 200;
const SERVICE_CONNECT_TIMEOUT_MS: u64 = 1_000;
const TICK_INTERVAL_MS: u64 = 20;
const EVENTS_RETRY_DELAY_MS: u64 = 100;

/// The incarnation assumed for a plain service, which reports none.
const SERVICE_INCARNATION: Incarnation = Incarnation(1);

/// Runs due actions at a fixed interval until `stop` is cancelled.
pub(crate) async fn tick(shared: Arc<Shared>, stop: CancellationToken) {
    while pause(TICK_INTERVAL_MS, &stop).await {
        shared.tick();
    }
}

/// Polls the backend server until `stop` is cancelled.
pub(crate) async fn poll(shared: Arc<Shared>, stop: CancellationToken) {
    loop {
        let event = match shared.settings.backend.kind {
            BackendKind::Model => poll_engine(&shared).await,
            BackendKind::Service => poll_service(&shared).await,
        };
        shared.engine_event(event);
        if !pause(POLL_INTERVAL_MS, &stop).await {
            return;
        }
    }
}

async fn poll_engine(shared: &Shared) -> EngineEvent {
    match shared.polled_engine.load().await {
        Ok(load) => {
            shared.lock().loaded = load.loaded;
            EngineEvent::Answered(load.incarnation)
        }
        Err(EngineError::Unreachable { .. }) => EngineEvent::Unreachable,
        Err(_) => EngineEvent::PollFailed,
    }
}

async fn poll_service(shared: &Shared) -> EngineEvent {
    let limit = Duration::from_millis(SERVICE_CONNECT_TIMEOUT_MS);
    match timeout(limit, TcpStream::connect(shared.settings.backend.address)).await {
        Ok(Ok(_)) => EngineEvent::Answered(SERVICE_INCARNATION),
        Ok(Err(_)) => EngineEvent::Unreachable,
        Err(_) => EngineEvent::PollFailed,
    }
}

/// Follows the engine's cache events until `stop` is cancelled.
pub(crate) async fn follow_events(shared: Arc<Shared>, stop: CancellationToken) {
    loop {
        let followed = tokio::select! {
            followed = follow_connection(&shared) => followed,
            () = stop.cancelled() => return,
        };
        if let Err(error) = followed {
            debug!(shared.log, "cache events were lost"; "error" => %error);
        }
        shared.lock().residency.mark_uncertain();
        if !pause(EVENTS_RETRY_DELAY_MS, &stop).await {
            return;
        }
    }
}

/// Reads the list of cached blocks, then follows its changes until the connection ends.
async fn follow_connection(shared: &Shared) -> Result<(), EngineError> {
    read_blocks(shared).await?;
    let next_seq = shared.lock().residency.next_seq();
    let mut events = shared.engine.events(next_seq).await?;
    while let Some(event) = events.next().await? {
        let applied = shared.lock().residency.apply(&event);
        if applied == Applied::AfterGap {
            shared.metrics.count_event_gap();
            read_blocks(shared).await?;
        }
    }
    Ok(())
}

async fn read_blocks(shared: &Shared) -> Result<(), EngineError> {
    let list = shared.engine.blocks().await?;
    shared.lock().residency.re_read(&list);
    Ok(())
}

/// Waits for `ms`. Returns false if `stop` is cancelled first.
async fn pause(ms: u64, stop: &CancellationToken) -> bool {
    tokio::select! {
        () = tokio::time::sleep(Duration::from_millis(ms)) => true,
        () = stop.cancelled() => false,
    }
}
