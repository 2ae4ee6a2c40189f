//! Follows the limits that backend servers in need name in their answers.

use samphirespread_adapter::headers::AnswerFacts;
use samphirespread_core::prelude::*;
use samphirespread_fabric::Member;
use samphirespread_logging::event;
use samphirespread_peer::NamedLimit;
use samphirespread_routing::server_limit::{Holder, LimitChange, LimitedServer};
use slog::{info, warn};

use crate::{gateway::Core, select::Selected, state::State};

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
    let run = selected.run();
    let Some(server) = state.fleet.get_by_run(run) else { return };
    let failure_domain = server.entry.failure_domain.clone();
    let limited = LimitedServer { run, failure_domain: &failure_domain };
    let change = state.server_limits.observe(limited, named, sent, now);
    drop(state);
    if let Some(change) = change {
        log_change(core, &selected.id, change, "answer");
        core.wake_publisher.notify_one();
    }
}

/// Records a limit that another router has published, or its end.
pub(crate) fn note_news(
    core: &Core,
    state: &mut State,
    from: &InstanceName,
    limit: &NamedLimit,
    published: MonoTime,
    now: MonoTime,
) {
    // A server that is not on this router's list yet gets no requests. The news comes again.
    let Some(server) = state.fleet.get_by_run(limit.server) else { return };
    let (id, failure_domain) = (server.entry.id.clone(), server.entry.failure_domain.clone());
    let limited = LimitedServer { run: limit.server, failure_domain: &failure_domain };
    let as_of = published.minus_ms(limit.age_ms);
    if let Some(change) = state.server_limits.apply_news(limited, limit.rate, as_of, now) {
        log_change(core, &id, change, from.as_str());
    }
}

/// The holder of shares of limits that a router is.
pub(crate) fn holder(router: &Member) -> Holder {
    Holder { name: router.name.clone(), failure_domain: router.failure_domain.clone() }
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
