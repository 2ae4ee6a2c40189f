//! A repeat of the retry budget that is set aside for a request.

use std::sync::Arc;

use samphirespread_routing::model::ServiceName;

use crate::gateway::Core;

/// A repeat that is set aside. It is returned to the budget when it is dropped without being spent.
#[derive(Debug)]
pub(crate) struct RepeatSetAside {
    core: Arc<Core>,
    service: ServiceName,
    is_spent: bool,
}

impl RepeatSetAside {
    /// Sets a repeat aside. Returns `None` if the budget has none left.
    pub(super) fn new(core: &Arc<Core>, service: &ServiceName) -> Option<Self> {
        let now = core.now();
        let mut state = core.state();
        let limits = state.retry_limits(now);
        let budget = state.retries.entry(service.clone()).or_default();
        let is_set_aside = budget.try_set_aside(&limits, now);
        drop(state);
        is_set_aside.then(|| Self { core: core.clone(), service: service.clone(), is_spent: false })
    }

    pub(super) fn spend(mut self) {
        self.is_spent = true;
        let now = self.core.now();
        let mut state = self.core.state();
        let window_ms = state.bounds.retry_window_ms;
        let budget = state.retries.entry(self.service.clone()).or_default();
        budget.spend_set_aside(window_ms, now);
    }
}

impl Drop for RepeatSetAside {
    fn drop(&mut self) {
        if self.is_spent {
            return;
        }
        if let Some(budget) = self.core.state().retries.get_mut(&self.service) {
            budget.return_set_aside();
        }
    }
}
