//! What operators can ask a running process.

use std::sync::Arc;

use http::{Response, StatusCode};
use samphirespread_adapter::Object;
use serde::{Deserialize, Serialize};

use crate::{answers, body::Outgoing, gateway::Core};

/// Where a router's copies are.
pub(crate) const COPIES_PATH: &str = "/copies";

/// A router's copies of what the store holds.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct Copies {
    /// Time since the read that confirmed the configuration began.
    pub(crate) configuration_age_ms: u64,
    pub(crate) configuration: Option<Arc<Object>>,
    /// Time since the read that confirmed the list began.
    pub(crate) servers_age_ms: u64,
    pub(crate) servers: Arc<Vec<Arc<Object>>>,
}

/// Answers `/metrics`, `/dump` and `/copies`.
pub(crate) fn answer(core: &Core, path: &str) -> Response<Outgoing> {
    match path {
        "/metrics" => answers::plain(StatusCode::OK, &core.metrics.text()),
        "/dump" => answers::plain(StatusCode::OK, &format!("{:#?}", core.state())),
        COPIES_PATH => answers::plain(StatusCode::OK, &copies(core)),
        _ => answers::plain(StatusCode::NOT_FOUND, "there are /metrics, /dump and /copies"),
    }
}

/// This router's copies of what the store holds, for a router that can't reach the store.
fn copies(core: &Core) -> String {
    let now = core.now();
    let state = core.state();
    let copies = Copies {
        configuration_age_ms: state.reads.configuration.age_ms(now),
        configuration: state.configuration_object.clone(),
        servers_age_ms: state.reads.servers.age_ms(now),
        servers: state.server_objects.clone(),
    };
    drop(state);
    serde_json::to_string(&copies).unwrap_or_else(|error| format!("{{\"error\":\"{error}\"}}"))
}
