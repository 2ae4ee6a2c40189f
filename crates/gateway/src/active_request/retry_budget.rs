//! Charges the repeats of a request to the retry budget of its service.

use samphirespread_routing::{model::Service, retry::RetryLimits};

use super::{ActiveRequest, RepeatSetAside};
use crate::{metrics::count, request_log::Step};

impl ActiveRequest {
    /// Sets a repeat aside for a new run. Returns `None` if the retry budget has none left.
    pub(crate) fn set_repeat_aside(&self) -> Option<RepeatSetAside> {
        RepeatSetAside::new(&self.core, &self.service()?.name)
    }

    /// Charges a send to the retry budget. Returns false if the budget does not allow it.
    pub(crate) fn try_spend_repeat(&mut self) -> bool {
        let service = self.service().cloned();
        service.is_some_and(|service| self.may_send_again(&service))
    }

    pub(super) fn may_send_again(&mut self, service: &Service) -> bool {
        if let Some(repeat) = self.repeat.take() {
            repeat.spend();
            count(&self.core.metrics.repeats, "sent_again");
            return true;
        }
        let now = self.core.now();
        let mut state = self.core.state();
        let limits = state.retry_limits(now);
        let budget = state.retries.entry(service.name.clone()).or_default();
        let is_allowed = budget.try_spend(&limits, now);
        drop(state);
        if is_allowed {
            count(&self.core.metrics.repeats, "sent_again");
        } else {
            self.request_log.step(now, Step::BudgetSpent { slack: limits.slack });
        }
        is_allowed
    }

    /// Charges the send that moves the run to the retry budget, without using the budget's slack,
    /// which is kept for failures. Returns false if the budget does not allow it.
    pub(crate) fn try_spend_move(&self) -> bool {
        let Some(service) = self.service() else { return false };
        let now = self.core.now();
        let mut state = self.core.state();
        let limits = RetryLimits { slack: 0, ..state.retry_limits(now) };
        let budget = state.retries.entry(service.name.clone()).or_default();
        budget.try_spend(&limits, now)
    }

    /// Counts the send that returns a stopped run to its engine as a repeat.
    pub(crate) fn count_return(&self) {
        let Some(service) = self.service() else { return };
        let mut state = self.core.state();
        let window_ms = state.bounds.retry_window_ms;
        let budget = state.retries.entry(service.name.clone()).or_default();
        budget.count_repeat(window_ms, self.core.now());
    }
}
