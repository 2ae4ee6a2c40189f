//! Decides whether a request is permitted: looks up its route, checks its key, and works out its
//! cost.

use std::sync::Arc;

use http::StatusCode;
use samphirespread_core::prelude::*;
use samphirespread_routing::{cache_scope::CacheScope, model::Route, table::Table};

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
    /// What the request costs the team's quota.
    pub(crate) cost: f64,
}

impl Grant {
    /// The priority of the request: its team's, or else its route's.
    pub(crate) fn priority(&self) -> u8 {
        self.team.as_ref().and_then(|team| team.priority).unwrap_or(self.route.priority)
    }

    /// Whose cached prompt parts the request may use now, by the configuration in force, which may be
    /// newer than the one that permitted it. `may_be_outdated` says that the store may have a newer
    /// one, which may make any team dedicated.
    pub(crate) fn cache_scope(
        &self,
        in_force: Option<&Arc<Table>>,
        may_be_outdated: bool,
    ) -> CacheScope {
        let team = self.team.as_ref().map(|team| &team.name);
        if may_be_outdated {
            return CacheScope::unshared(team);
        }
        let table = in_force.unwrap_or(&self.table);
        // A team that has left the configuration meanwhile keeps the wall that it had.
        let is_known = team.is_none_or(|team| table.has_team(team));
        if is_known { table.cache_scope(team) } else { self.table.cache_scope(team) }
    }
}

/// How far the configuration in force may be trusted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Trust {
    /// It may be used as it is.
    Full,
    /// There is a newer one, which may add routes and keys. What this one allows may still be used.
    Behind,
    /// It was not confirmed for too long to trust keys.
    OutOfTouch,
    /// A newer one is in force everywhere by now, so this one decides nothing any more.
    Outdated,
}

impl Trust {
    /// Why a request has to be sent again later that this configuration doesn't allow, if a newer one
    /// may allow it.
    fn doubt(self) -> Option<NotRun> {
        match self {
            Self::Full => None,
            Self::OutOfTouch => Some(NotRun::OutOfTouch),
            Self::Behind | Self::Outdated => Some(NotRun::Outdated),
        }
    }

    fn refusal(self, status: StatusCode) -> Denied {
        self.doubt().map_or(Denied::Invalid(status), Denied::RetryLater)
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
    trust: Trust,
    host: &str,
    path: &str,
    key: Option<&str>,
    tokens: Option<u64>,
) -> Result<Grant, Denied> {
    let table = table.ok_or(Denied::RetryLater(NotRun::Starting))?;
    if trust == Trust::Outdated {
        return Err(Denied::RetryLater(NotRun::Outdated));
    }
    let route = table.route(host, path).ok_or_else(|| trust.refusal(StatusCode::NOT_FOUND))?;
    if route.anonymous || !table.has_teams() {
        return Ok(Grant { table: table.clone(), route: route.clone(), team: None });
    }
    if trust == Trust::OutOfTouch {
        return Err(Denied::RetryLater(NotRun::OutOfTouch));
    }
    let team = key.and_then(|key| table.team(key));
    let team = team.ok_or_else(|| trust.refusal(StatusCode::UNAUTHORIZED))?;
    let granted = GrantedTeam {
        name: team.name.clone(),
        priority: team.priority,
        cost: team.quota.cost(tokens),
    };
    Ok(Grant { table: table.clone(), route: route.clone(), team: Some(granted) })
}
