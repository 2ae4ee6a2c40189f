//! Decides whether a request is permitted: looks up its route, checks its key, and works out its
//! cost.

use std::sync::Arc;

use http::StatusCode;
use samphirespread_core::prelude::*;
use samphirespread_routing::{model::Route, table::Table};

use crate::answers::NotRun;

/// The permission of a request, with its route and team.
#[derive(Clone, Debug)]
pub(crate) struct Grant {
    /// The configuration that the permission is based on.
    pub(crate) table: Arc<Table>,
    /// The route of the request.
    pub(crate) route: Route,
    /// The team whose key the request carries, if a key is needed.
    pub(crate) team: Option<GrantedTeam>,
}

/// The team of a permitted request.
#[derive(Clone, Debug)]
pub(crate) struct GrantedTeam {
    pub(crate) name: TeamName,
    pub(crate) priority: Option<u8>,
    pub(crate) is_dedicated: bool,
    /// What the request costs the team's quota.
    pub(crate) cost: f64,
}

impl Grant {
    /// The priority of the request: its team's, or else its route's.
    pub(crate) fn priority(&self) -> u8 {
        self.team.as_ref().and_then(|team| team.priority).unwrap_or(self.route.priority)
    }

    /// The team, if it shares no cached prompts with other teams.
    pub(crate) fn dedicated_team(&self) -> Option<&TeamName> {
        self.team.as_ref().filter(|team| team.is_dedicated).map(|team| &team.name)
    }
}

/// Why a request was not permitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Denied {
    /// The request is invalid and will be so when it is sent again.
    Invalid(StatusCode),
    /// The request can't be checked now and may be sent again later.
    RetryLater(NotRun),
}

/// Looks up the route and checks the key.
pub(crate) fn check(
    table: Option<&Arc<Table>>,
    is_out_of_touch: bool,
    host: &str,
    path: &str,
    key: Option<&str>,
    tokens: Option<u64>,
) -> Result<Grant, Denied> {
    let table = table.ok_or(Denied::RetryLater(NotRun::Starting))?;
    let Some(route) = table.route(host, path) else {
        // The route may have been added since the configuration was last read.
        let denied = if is_out_of_touch {
            Denied::RetryLater(NotRun::OutOfTouch)
        } else {
            Denied::Invalid(StatusCode::NOT_FOUND)
        };
        return Err(denied);
    };
    if route.anonymous || !table.has_teams() {
        return Ok(Grant { table: table.clone(), route: route.clone(), team: None });
    }
    if is_out_of_touch {
        return Err(Denied::RetryLater(NotRun::OutOfTouch));
    }
    let team = key.and_then(|key| table.team(key));
    let team = team.ok_or(Denied::Invalid(StatusCode::UNAUTHORIZED))?;
    let granted = GrantedTeam {
        name: team.name.clone(),
        priority: team.priority,
        is_dedicated: team.dedicated,
        cost: team.quota.cost(tokens),
    };
    Ok(Grant { table: table.clone(), route: route.clone(), team: Some(granted) })
}
