//! Follows the limits that backend servers in need name in their answers.

use samphirespread_adapter::headers::AnswerFacts;
use samphirespread_core::prelude::*;
use samphirespread_logging::event;
use samphirespread_routing::server_limit::LimitChange;
use slog::{info, warn};

use crate::{gateway::Core, select::Selected};

/// Records what the answer to a request that was sent at `sent` says of its server's limit.
pub(crate) fn note_answer(core: &Core, selected: &Selected, facts: &AnswerFacts, sent: MonoTime) {
    let named = match &facts.limit {
        Ok(named) => *named,
        Err(error) => {
            warn!(core.log, "{}", event::SERVER_LIMIT_LEFT_OUT; "server" => &*selected.id,
                "error" => %error);
            return;
        }
    };
    // Without the request's id, it may be the answer to an earlier request.
    let is_doubtful = facts.is_misdirected || facts.request_id.is_none();
    if named.is_none() && is_doubtful {
        return;
    }
    let now = core.now();
    let mut state = core.state();
    let change = state.server_limits.observe(selected.run(), named, sent, now);
    core.metrics.limited_servers.set(state.server_limits.count().try_into().unwrap_or(i64::MAX));
    drop(state);
    if let Some(change) = change {
        log_change(core, &selected.id, change, "answer");
    }
}

fn log_change(core: &Core, server: &str, change: LimitChange, source: &str) {
    match change {
        LimitChange::Limited(rate) => {
            info!(core.log, "{}", event::SERVER_LIMITED; "server" => server,
                "limit_per_s" => rate.per_s(), "source" => source);
        }
        LimitChange::Unlimited => {
            info!(core.log, "{}", event::SERVER_UNLIMITED; "server" => server, "source" => source);
        }
    }
}
