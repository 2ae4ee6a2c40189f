//! What operators can ask a running process.

use http::{Response, StatusCode};

use crate::{answers, body::Outgoing, gateway::Core};

/// Answers `/metrics` and `/dump`.
pub(crate) fn answer(core: &Core, path: &str) -> Response<Outgoing> {
    match path {
        "/metrics" => answers::plain(StatusCode::OK, &core.metrics.text()),
        "/dump" => answers::plain(StatusCode::OK, &format!("{:#?}", core.state())),
        _ => answers::plain(StatusCode::NOT_FOUND, "there are /metrics and /dump"),
    }
}
