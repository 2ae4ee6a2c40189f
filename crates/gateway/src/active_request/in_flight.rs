//! Counts requests as load of their servers.

use std::sync::Arc;

use samphirespread_routing::{read_parts::EngineTag, server_limit::ServerRun};

use crate::{gateway::Core, rollout::Comparison, select::Selected};

/// Counts a request and its unread prompt tokens as load of a server until it is dropped.
#[derive(Debug)]
pub(crate) struct InFlightGuard {
    pub(super) core: Arc<Core>,
    pub(crate) server: Arc<str>,
    run: ServerRun,
    unread_tokens: u64,
    /// Keys of the prompt parts that the engine will hold in its cache once it has read the prompt.
    part_keys: Vec<u64>,
    /// The comparison of versions that the answer counts for.
    comparison: Option<Comparison>,
}

impl InFlightGuard {
    /// Counts a request that is sent now. Returns `None` if the server's limit leaves no room for
    /// it, which may have been taken since the server was chosen.
    ///
    /// A run that has stopped has to continue, whatever the limit.
    pub(super) fn new(
        core: &Arc<Core>,
        selected: &Selected,
        route: &str,
        footprint: u64,
    ) -> Option<Self> {
        let unread_tokens = selected.read_tokens;
        let now = core.now();
        let mut state = core.state();
        let has_room =
            state.fleet.get(&selected.id).is_none_or(|server| state.has_room(server, now));
        if !has_room && selected.stopped_run.is_none() {
            return None;
        }
        state.server_limits.charge(selected.run(), now);
        state.demand.count(unread_tokens, now);
        let run = selected.run();
        let compared = state.fleet.get(&selected.id).and_then(|server| {
            let is_first = selected.stopped_run.is_none();
            let compared = state.rollouts.compared(server, route, now).filter(|_| is_first)?;
            Some((server.entry.service.clone(), compared))
        });
        if let Some(server) = state.fleet.record_begin(&selected.id, run, unread_tokens) {
            server.record_sent(footprint, now);
            server.remember_parts(&selected.part_keys, now);
        }
        drop(state);
        let part_keys = selected.part_keys.clone();
        let server = selected.id.clone();
        let expected_ms = selected.expected.map(|expected| expected.first_event_ms);
        let comparison = compared
            .map(|(service, compared)| Comparison::new(core, &service, compared, expected_ms));
        Some(Self { core: core.clone(), server, run, unread_tokens, part_keys, comparison })
    }

    /// Records that the server failed the request.
    pub(crate) fn failed(&mut self) {
        if let Some(comparison) = &mut self.comparison {
            comparison.failed();
        }
    }

    /// Records that the answer has begun.
    pub(crate) fn answered(&mut self) {
        if let Some(comparison) = &mut self.comparison {
            comparison.answered();
        }
    }

    /// Leaves the request out of the comparison of versions, as the server has not run it or this router
    /// gave it up.
    pub(crate) fn leave_out(&mut self) {
        if let Some(comparison) = &mut self.comparison {
            comparison.leave_out();
        }
    }

    /// Records that the server has read the prompt, as its first event shows.
    pub(crate) fn prompt_read(&mut self) {
        self.answered();
        let tokens = std::mem::take(&mut self.unread_tokens);
        let part_keys = std::mem::take(&mut self.part_keys);
        if tokens == 0 && part_keys.is_empty() {
            return;
        }
        let now = self.core.now();
        let mut state = self.core.state();
        state.read_parts.record(EngineTag::of(&self.server), &part_keys, now);
        state.fleet.record_read(&self.server, self.run, tokens);
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.core.state().fleet.record_end(&self.server, self.run, self.unread_tokens);
    }
}
