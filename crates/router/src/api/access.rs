//! Authenticates and authorizes each request by the configuration in force.

use std::{sync::Arc, time::Duration};

use http::{HeaderMap, StatusCode, header};
use samphirespread_config::{Snapshot, model::Route};
use samphirespread_core::prelude::*;
use tokio::time::sleep;

use super::error::ApiError;
use crate::{drain::TimeNeed, state::Shared};

// A router whose process was paused has time to refresh its configuration before it refuses.
const REFRESH_TIMEOUT_MS: u64 = 500;
const REFRESH_POLL_MS: u64 = 10;
const STALE_RETRY_AFTER_MS: u64 = 1_000;

/// Returns the configuration in force if it is recent enough to check keys against. Otherwise
/// triggers a refresh and waits for it.
///
/// # Errors
///
/// Fails if the router is leaving and takes nothing more, or if its configuration is still out of date after the wait.
pub(crate) async fn fresh_snapshot(shared: &Shared) -> Result<Arc<Snapshot>, ApiError> {
    let mut waited_ms = 0;
    loop {
        if shared.drain.refuses_all(shared.clock.now()) {
            return Err(ApiError::draining());
        }
        if !is_stale(shared) {
            return Ok(shared.snapshot.load_full());
        }
        if waited_ms >= REFRESH_TIMEOUT_MS {
            let message = "this instance has lost touch with the others, and its keys may be old";
            let refused =
                ApiError::refused(StatusCode::SERVICE_UNAVAILABLE, "stale_configuration", message);
            return Err(refused.retry_after_ms(STALE_RETRY_AFTER_MS));
        }
        shared.wake_config_sync.notify_one();
        sleep(Duration::from_millis(REFRESH_POLL_MS)).await;
        waited_ms += REFRESH_POLL_MS;
    }
}

/// Refuses a request that can't end before the drain does.
///
/// # Errors
///
/// Fails if the router is leaving and the request may take too long.
pub(crate) fn refuse_if_too_long(shared: &Shared, need: &TimeNeed<'_>) -> Result<(), ApiError> {
    if shared.drain.admits(need, shared.clock.now()) {
        return Ok(());
    }
    Err(ApiError::draining())
}

/// Waits for a step that comes before the request runs, such as its admission.
///
/// # Errors
///
/// Fails if the drain ends before the step does.
pub(crate) async fn unless_draining<T>(
    shared: &Shared,
    step: impl Future<Output = T>,
) -> Result<T, ApiError> {
    tokio::select! {
        biased;
        output = step => Ok(output),
        () = shared.drain.runs_ended() => Err(ApiError::draining()),
    }
}

fn is_stale(shared: &Shared) -> bool {
    shared.with_contact(|contact| contact.is_stale(shared.clock.now()))
        || shared.snapshot.load().generation() < shared.identity.highest_peer_generation()
}

/// Returns the team of the key in a request, or `None` if the request has no key.
///
/// # Errors
///
/// Fails if the key is not granted, or if the header is present and contains no key.
pub(crate) fn authenticate(
    snapshot: &Snapshot,
    headers: &HeaderMap,
) -> Result<Option<TeamName>, ApiError> {
    let Some(value) = headers.get(header::AUTHORIZATION) else { return Ok(None) };
    let unauthorized =
        |message| ApiError::refused(StatusCode::UNAUTHORIZED, "unknown_key", message);
    let text = value.to_str().ok();
    let Some(key) = text.and_then(bearer_token) else {
        return Err(unauthorized("the Authorization header must be `Bearer` and a key"));
    };
    let Some(key) = snapshot.authenticate(key) else {
        return Err(unauthorized("the key is not granted"));
    };
    Ok(Some(key.team.clone()))
}

fn bearer_token(text: &str) -> Option<&str> {
    let (scheme, key) = text.split_once(' ')?;
    scheme.eq_ignore_ascii_case("bearer").then(|| key.trim())
}

/// Returns the team that a request on this route is charged to.
///
/// # Errors
///
/// Fails if the route needs a key and the request has none, or if the key's team may not use the
/// route.
pub(crate) fn team_for(route: &Route, caller: Option<&TeamName>) -> Result<TeamName, ApiError> {
    if let Some(team) = route.charged_team(caller) {
        return Ok(team.clone());
    }
    if caller.is_some() {
        let message = "the key's team may not use this route";
        return Err(ApiError::refused(StatusCode::FORBIDDEN, "forbidden", message));
    }
    let message = "this route needs a key in the Authorization header";
    Err(ApiError::refused(StatusCode::UNAUTHORIZED, "missing_key", message))
}

/// Refuses a request that repeats its own key in a part that a backend server receives.
///
/// # Errors
///
/// Fails if the text contains the key.
pub(crate) fn refuse_key_in(text: &[u8], place: &str, headers: &HeaderMap) -> Result<(), ApiError> {
    let Some(key) = key_text(headers) else { return Ok(()) };
    let found = match std::str::from_utf8(text) {
        Ok(text) => text.contains(key),
        Err(_) => text.windows(key.len()).any(|window| window == key.as_bytes()),
    };
    if found {
        let message = format!("the {place} must not contain the key");
        return Err(ApiError::refused(StatusCode::BAD_REQUEST, "key_in_request", message));
    }
    Ok(())
}

/// Returns the text of the key in a request's Authorization header.
pub(crate) fn key_text(headers: &HeaderMap) -> Option<&str> {
    let value = headers.get(header::AUTHORIZATION)?;
    value.to_str().ok().and_then(bearer_token).filter(|key| !key.is_empty())
}
