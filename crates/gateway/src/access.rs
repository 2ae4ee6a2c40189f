//! Who may: the key, the route and the quota of one request.

use std::sync::Arc;

use http::StatusCode;
use samphirespread_core::prelude::*;
use samphirespread_routing::{model::Route, table::Table};

use crate::answers::NotRun;

/// What a request was granted.
#[derive(Clone, Debug)]
pub(crate) struct Grant {
    /// The configuration that granted it.
    pub(crate) table: Arc<Table>,
    /// Its route.
    pub(crate) route: Route,
    /// The team that asks.
    pub(crate) team: Option<GrantedTeam>,
}

/// The team of a request.
#[derive(Clone, Debug)]
pub(crate) struct GrantedTeam {
    pub(crate) name: TeamName,
    pub(crate) priority: Option<u8>,
    pub(crate) is_dedicated: bool,
    /// What the request counts for.
    pub(crate) cost: f64,
}

impl Grant {
    /// The rank of the request.
    pub(crate) fn priority(&self) -> u8 {
        self.team.as_ref().and_then(|team| team.priority).unwrap_or(self.route.priority)
    }

    /// The team, if it shares no cache with others.
    pub(crate) fn dedicated_team(&self) -> Option<&TeamName> {
        self.team.as_ref().filter(|team| team.is_dedicated).map(|team| &team.name)
    }
}

/// Why a request was not granted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Denied {
    /// It is wrong, whenever it comes.
    Wrong(StatusCode),
    /// It may come back.
    Later(NotRun),
}

/// Looks up route and key.
pub(crate) fn check(
    table: Option<&Arc<Table>>,
    is_out_of_touch: bool,
    host: &str,
    path: &str,
    key: Option<&str>,
    tokens: Option<u64>,
) -> Result<Grant, Denied> {
    let table = table.ok_or(Denied::Later(NotRun::Starting))?;
    let Some(route) = table.route(host, path) else {
        // What is unknown here may have been added since the last read.
        let denied = if is_out_of_touch {
            Denied::Later(NotRun::OutOfTouch)
        } else {
            Denied::Wrong(StatusCode::NOT_FOUND)
        };
        return Err(denied);
    };
    if route.anonymous || !table.has_teams() {
        return Ok(Grant { table: table.clone(), route: route.clone(), team: None });
    }
    if is_out_of_touch {
        return Err(Denied::Later(NotRun::OutOfTouch));
    }
    let team = key.and_then(|key| table.team(key));
    let team = team.ok_or(Denied::Wrong(StatusCode::UNAUTHORIZED))?;
    let granted = GrantedTeam {
        name: team.name.clone(),
        priority: team.priority,
        is_dedicated: team.dedicated,
        cost: team.quota.cost(tokens),
    };
    Ok(Grant { table: table.clone(), route: route.clone(), team: Some(granted) })
}
