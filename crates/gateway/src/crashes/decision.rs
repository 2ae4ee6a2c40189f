//! Decides which requests may be sent by what is known of crashes, and follows what other routers and
//! operators say of them.

use std::collections::HashSet;

use samphirespread_core::prelude::*;
use samphirespread_logging::event;
use samphirespread_routing::crash_causes::{CauseKey, CauseKind, CauseNews, Host, Verdict};
use slog::info;

use super::PossibleCause;
use crate::{active_request::ActiveRequest, fleet::Server, gateway::Core, state::State};

/// A router sends nothing on trial right after its start, before it has heard the others.
const MIN_AGE_FOR_TRIALS_MS: u64 = 3_000;
/// A router whose list of routers was not confirmed for longer may be cut off from the others.
const MAX_LIST_AGE_FOR_TRIALS_MS: u64 = 3_000;

/// Whether crashes count against anything in a request.
pub(crate) fn is_suspected(state: &State, causes: &[CauseKey]) -> bool {
    causes.iter().any(|cause| state.crash_causes.crashes(*cause) > 0)
}

/// Decides whether a request may be sent by what is known of crashes. Logs a refusal and a trial.
pub(crate) fn verdict(request: &ActiveRequest) -> Verdict {
    let core = &request.core;
    if core.state().crash_causes.is_empty() {
        return Verdict::Allowed;
    }
    let causes = request.possible_causes();
    let keys: Vec<CauseKey> = causes.iter().map(|cause| cause.key).collect();
    let now = core.now();
    let mut state = core.state();
    let service_hosts = if is_suspected(&state, &keys) { count_hosts(&state, request) } else { 0 };
    let may_try = now.ms_since(state.started) >= MIN_AGE_FOR_TRIALS_MS
        && state.reads.routers.age_ms(now) <= MAX_LIST_AGE_FOR_TRIALS_MS;
    let verdict = state.crash_causes.verdict(&keys, service_hosts, may_try, now);
    if verdict == Verdict::Allowed {
        return verdict;
    }
    // Of equally many crashes, the most specific cause is the one that is refused.
    let crashes = |cause: &&PossibleCause| state.crash_causes.crashes(cause.key);
    let Some(cause) = causes.iter().max_by_key(crashes) else { return verdict };
    let crashes = crashes(&cause);
    drop(state);
    let event = match verdict {
        Verdict::Trial => event::CRASH_CAUSE_TRIED,
        _ => event::CRASH_CAUSE_REFUSED,
    };
    info!(core.log, "{}", event; "part" => cause.part.as_deref(), "cause" => %cause.key,
        "crashes" => crashes, "request" => request.facts.id.as_deref().unwrap_or("-"));
    if verdict == Verdict::Trial {
        core.wake_publisher.notify_one();
    }
    verdict
}

/// The number of hosts of the request's service. A server that came back under a new id is on the list
/// twice for a while.
fn count_hosts(state: &State, request: &ActiveRequest) -> usize {
    let Some(service) = request.service() else { return 0 };
    let servers = state.fleet.of_service(&service.name);
    servers.map(|server| server.entry.address).collect::<HashSet<_>>().len()
}

/// The hosts on which what is in a request has crashed servers.
pub(crate) fn crashed_hosts(request: &ActiveRequest) -> Vec<Host> {
    if request.core.state().crash_causes.is_empty() {
        return Vec::new();
    }
    let keys = request.possible_causes().into_iter().map(|cause| cause.key);
    request.core.state().crash_causes.crashed_hosts(keys)
}

/// Returns the servers on other hosts than these, or all if there is none.
pub(crate) fn on_other_hosts<'a>(servers: Vec<&'a Server>, crashed: &[Host]) -> Vec<&'a Server> {
    if crashed.is_empty() {
        return servers;
    }
    let is_other = |server: &&Server| !crashed.contains(&Host::of(server.entry.address));
    let others: Vec<&Server> = servers.iter().copied().filter(is_other).collect();
    if others.is_empty() { servers } else { others }
}

/// Applies what another router has published of a possible cause of crashes.
pub(crate) fn note_news(
    core: &Core,
    state: &mut State,
    from: &InstanceName,
    news: &CauseNews,
    published: MonoTime,
    now: MonoTime,
) {
    let effect = state.crash_causes.apply_news(news, published, now);
    let kind = effect.kind.map_or("-", CauseKind::name);
    if let Some(crashes) = effect.crashes {
        let age_ms =
            now.ms_since(published) + news.crashes.iter().map(|it| it.age_ms).min().unwrap_or(0);
        let hosts = state.crash_causes.hosts(news.key);
        info!(core.log, "{}", event::CRASH_COUNTED; "of" => kind, "cause" => %news.key,
            "crashes" => crashes, "hosts" => hosts, "source" => from.as_str(), "age_ms" => age_ms);
    }
    if effect.cleared > 0 {
        info!(core.log, "{}", event::CRASH_CAUSE_CLEARED; "of" => kind, "cause" => %news.key,
            "crashes" => effect.cleared, "source" => from.as_str());
    }
}

/// Clears a cause, as an operator asks. Returns whether crashes had counted against it.
pub(crate) fn clear(core: &Core, key: CauseKey) -> bool {
    let is_cleared = core.state().crash_causes.clear(key, core.now());
    if is_cleared {
        core.wake_publisher.notify_one();
        info!(core.log, "{}", event::CRASH_CAUSE_CLEARED; "cause" => %key, "source" => "operator");
    }
    is_cleared
}
