//! Decides on requests by priority, then by the shares of their teams, then by whether they are retries
//! after a refusal.
//!
//! How late the engines are tells which part of the requests of a route and priority has to be refused.
//! That part is taken from the teams with the most tokens, and from each team's new requests before its
//! retries.

use std::collections::HashMap;

use samphirespread_core::prelude::*;

use super::{
    Admission, Cause, Pressure, Request, Ticket,
    retries::RetryPrecedence,
    team_share::{Demand, Pool, TeamShares},
};
use crate::{
    model::ServiceName,
    quota::{Quotas, TeamKey},
};

/// A request that asks for the engines of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct Arrival<'a> {
    /// The service.
    pub service: &'a ServiceName,
    /// Its route, priority and times.
    pub request: Request<'a>,
    /// Its team. All requests without one count as those of one team.
    pub team: TeamKey,
    /// Its prompt and output tokens.
    pub tokens: f64,
    /// What the team's quota has been charged for it.
    pub cost: f64,
    /// The time that remains to its caller, if it says so, up to the timeout of the route.
    pub deadline_ms: Option<u64>,
}

/// What is done with a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It is sent.
    Admit(Ticket),
    /// It is refused.
    Refuse {
        /// When its caller should return.
        retry_after_ms: u64,
        /// Why.
        cause: Cause,
    },
}

/// The part of the requests like one of them that is refused.
#[derive(Clone, Copy, Debug)]
struct Refused {
    part: f64,
    /// The part if all teams were treated alike.
    without_shares: f64,
}

/// What a router has measured at the engines of all services.
#[derive(Debug)]
pub struct AdmissionControl {
    /// Whether teams get shares, and retries precedence.
    has_team_shares: bool,
    services: HashMap<ServiceName, Admission>,
    shares: TeamShares,
    retries: RetryPrecedence,
}

impl AdmissionControl {
    /// Creates the state of a router that has measured nothing. Without team shares, all requests of a
    /// route and priority are refused with the same probability.
    pub fn new(has_team_shares: bool) -> Self {
        Self {
            has_team_shares,
            services: HashMap::new(),
            shares: TeamShares::default(),
            retries: RetryPrecedence::default(),
        }
    }

    /// Decides on a request. `point` is evenly distributed between 0 and 1 over all requests.
    pub fn decide(
        &mut self,
        arrival: &Arrival<'_>,
        point: f64,
        quotas: &Quotas,
        now: MonoTime,
    ) -> Verdict {
        let Arrival { service, request, .. } = arrival;
        let admission = self.services.entry((*service).clone()).or_default();
        let pressure = admission.pressure(request, now);
        let refused = match self.has_team_shares {
            true => self.refused_of(arrival, &pressure, point, quotas, now),
            false => Refused { part: pressure.refused, without_shares: pressure.refused },
        };
        if point >= refused.part {
            let admission = self.services.entry((*service).clone()).or_default();
            return Verdict::Admit(admission.begin(request, now));
        }
        let is_for_share = point >= refused.without_shares;
        Verdict::Refuse {
            retry_after_ms: pressure.retry_after_ms(point / refused.part),
            cause: if is_for_share { Cause::TeamShare } else { pressure.cause },
        }
    }

    /// The part of the requests like this one that is refused by the shares of teams, and the precedence of
    /// retries.
    fn refused_of(
        &mut self,
        arrival: &Arrival<'_>,
        pressure: &Pressure,
        point: f64,
        quotas: &Quotas,
        now: MonoTime,
    ) -> Refused {
        let Arrival { service, request, team, tokens, cost, deadline_ms } = arrival;
        let pool = Pool { service: (*service).clone(), priority: request.priority };
        let demand = Demand { team: *team, pool, tokens: *tokens, cost: *cost };
        let pool = &demand.pool;
        let is_retry = self.retries.observe(*team, request.route, pool, *tokens, *deadline_ms, now);
        let mut refused = Refused { part: 0.0, without_shares: 0.0 };
        if pressure.refused > 0.0 {
            let of_team = self.shares.refused_part(&demand, pressure.refused, quotas, now);
            refused.part = self.retries.refused_part(*team, pool, is_retry, of_team, now);
            refused.without_shares = match of_team > pressure.refused {
                true => self.retries.refused_part(*team, pool, is_retry, pressure.refused, now),
                false => refused.part,
            };
        }
        self.shares.count(&demand, pressure.refused, point >= refused.part, quotas, now);
        refused
    }

    /// Records that the first event of a request has arrived.
    pub fn started(&mut self, service: &ServiceName, ticket: Ticket, now: MonoTime) {
        if let Some(admission) = self.services.get_mut(service) {
            admission.started(ticket, now);
        }
    }

    /// Records that a request has ended without an event.
    pub fn ended(&mut self, service: &ServiceName, ticket: Ticket, now: MonoTime) {
        if let Some(admission) = self.services.get_mut(service) {
            admission.ended(ticket, now);
        }
    }
}
