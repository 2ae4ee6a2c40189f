//! Refuses requests that engines can't begin in time, if the settings ask for that: those of teams over
//! their share first, and of each team new requests before retries.

use std::sync::Arc;

use samphirespread_core::prelude::*;
use samphirespread_routing::{
    admission::{
        Request, Ticket,
        control::{Arrival, Verdict},
    },
    model::ServiceName,
    quota::TeamKey,
    server_speed::draw,
};
use samphirespread_settings::Mechanism;

use crate::{
    active_request::ActiveRequest, gateway::Core, metrics::count, select::Selected, state::State,
};

/// Keeps this draw apart from others that are made by the id of a request.
const SEED: u64 = 0x61_646d_6974;

/// A request that was sent to an engine and waits for its first event. If it is dropped before, the
/// request has ended without one.
#[derive(Debug)]
pub(crate) struct AwaitedStart {
    core: Arc<Core>,
    service: ServiceName,
    ticket: Option<Ticket>,
}

impl AwaitedStart {
    /// Records that the first event has arrived.
    pub(crate) fn started(&mut self) {
        let Some(ticket) = self.ticket.take() else { return };
        let now = self.core.now();
        self.core.state().admission.started(&self.service, ticket, now);
    }
}

impl Drop for AwaitedStart {
    fn drop(&mut self) {
        let Some(ticket) = self.ticket.take() else { return };
        let now = self.core.now();
        self.core.state().admission.ended(&self.service, ticket, now);
    }
}

/// The outcome of the check before a request is sent.
pub(crate) enum Checked {
    /// It is sent; its time to the first event is measured if it is one of an engine.
    Admitted(Option<AwaitedStart>),
    /// It can't begin in time.
    Refused { retry_after_ms: u64 },
}

/// Checks whether a request that has not been sent yet can begin in time at the chosen engine.
pub(crate) fn check(
    request: &ActiveRequest,
    service: &ServiceName,
    selected: &Selected,
) -> Checked {
    let core = &request.core;
    let Some(expected) =
        selected.expected.filter(|_| core.settings.decisions.uses(Mechanism::Admission))
    else {
        return Checked::Admitted(None);
    };
    let now = core.now();
    let (team, tokens, cost) = team_use(request);
    let arrival = Arrival {
        service,
        request: Request {
            route: &request.grant.route.name,
            priority: request.grant.priority(),
            target_ms: target_ms(request),
            expected_ms: expected.first_event_ms,
        },
        team,
        tokens,
        cost,
        deadline_ms: request.facts.deadline_ms.map(|ms| ms.min(request.grant.route.timeout_ms)),
    };
    let mut state = core.state();
    let State { admission, quotas, .. } = &mut *state;
    let point = draw(request.facts.id.as_deref().unwrap_or_default(), SEED, now);
    match admission.decide(&arrival, point, quotas, now) {
        Verdict::Admit(ticket) => {
            drop(state);
            let (core, service, ticket) = (core.clone(), service.clone(), Some(ticket));
            Checked::Admitted(Some(AwaitedStart { core, service, ticket }))
        }
        Verdict::Refuse { retry_after_ms, cause } => {
            count(&core.metrics.admission_refusals, cause.name());
            Checked::Refused { retry_after_ms }
        }
    }
}

/// The team of a request, its tokens, and what its quota has been charged. Requests without a team count
/// as those of a team without a name.
#[expect(clippy::cast_precision_loss, reason = "token counts are far below 2^52")]
fn team_use(request: &ActiveRequest) -> (TeamKey, f64, f64) {
    let team = request.grant.team.as_ref();
    let cost = team.map_or(1.0, |team| team.cost);
    let tokens = request.facts.tokens.map_or(cost, |tokens| tokens as f64);
    let key = team.map_or(TeamKey::of(&TeamName::new("")), |team| TeamKey::of(&team.name));
    (key, tokens, cost)
}

#[expect(clippy::cast_precision_loss, reason = "targets are short")]
fn target_ms(request: &ActiveRequest) -> f64 {
    request.grant.route.target_ms as f64
}
