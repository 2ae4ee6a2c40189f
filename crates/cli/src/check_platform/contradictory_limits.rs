//! Finds limits that contradict each other.

use samphirespread_adapter::configuration_check::{EntryKind, Field};
use samphirespread_routing::{
    model::{CallerLimits, Route, Team},
    table::Table,
};

use super::{Finding, Severity};

/// Returns the findings on limits of routes, teams and callers.
pub(super) fn findings(table: &Table) -> Vec<Finding> {
    let configuration = table.configuration();
    let routes = configuration.routes.iter();
    let teams = configuration.teams.iter();
    routes
        .flat_map(|route| [weights(table, route), times(route)])
        .chain(teams.map(quota))
        .chain([caller_times(&configuration.caller_limits)])
        .flatten()
        .collect()
}

fn weights(table: &Table, route: &Route) -> Option<Finding> {
    let finding =
        |message: &str| Finding::new(Severity::Error, EntryKind::Route.entry(&route.name), message);
    let mut weights = route.upstreams.iter().map(|upstream| upstream.weight);
    // Checked first, because the table adds the weights without a check.
    if weights.try_fold(0_u64, u64::checked_add).is_none() {
        let finding = finding("the sum of the weights is too large");
        return Some(finding.field(Field::Upstreams, "over 2^64 - 1").allowed("up to 2^64 - 1"));
    }
    if route.upstreams.is_empty() || table.upstream(route, "any request").is_some() {
        return None;
    }
    let finding = finding("the weights sum to 0, so that no service gets requests");
    Some(finding.field(Field::Upstreams, 0).allowed("a sum of 1 or more"))
}

/// Compares the target and the attempts of a route with its timeout.
///
/// An attempt is assumed to last as long as the target, since a configuration has no other measure of
/// it.
fn times(route: &Route) -> Option<Finding> {
    let entry = EntryKind::Route.entry(&route.name);
    let Route { target_ms, timeout_ms, max_attempts, .. } = *route;
    if target_ms > timeout_ms {
        let message = format!("requests end at the timeout of {timeout_ms} ms, before the target");
        let finding = Finding::new(Severity::Error, entry, message);
        return Some(finding.field(Field::Target, target_ms).allowed(format!("0 to {timeout_ms}")));
    }
    let fitting = timeout_ms.checked_div(target_ms)?;
    if !route.is_idempotent() || u64::from(max_attempts) <= fitting {
        return None;
    }
    let message = format!(
        "{max_attempts} attempts of the target of {target_ms} ms don't fit into the timeout of \
         {timeout_ms} ms"
    );
    let finding = Finding::new(Severity::Warning, entry, message);
    Some(finding.field(Field::MaxAttempts, max_attempts).allowed(format!("1 to {fitting}")))
}

fn quota(team: &Team) -> Option<Finding> {
    let entry = EntryKind::Team.entry(team.name.as_str());
    let quota = team.quota;
    if !quota.is_limited() {
        let message = "a rate of 0 means no limit, and the burst has no effect";
        let finding = Finding::new(Severity::Error, entry, message);
        let finding = finding.field(Field::QuotaRate, quota.rate_per_s);
        return (quota.burst > 0.0).then(|| finding.allowed("over 0, or a burst of 0"));
    }
    let cost = quota.cost(None);
    if quota.burst >= cost {
        return None;
    }
    let message = format!("the burst is below the cost of one request, {cost}");
    let finding = Finding::new(Severity::Warning, entry, message);
    Some(finding.field(Field::QuotaBurst, quota.burst).allowed(format!("{cost} or more")))
}

fn caller_times(limits: &CallerLimits) -> Option<Finding> {
    let CallerLimits { head_timeout_ms, idle_timeout_ms, .. } = *limits;
    if idle_timeout_ms >= head_timeout_ms {
        return None;
    }
    let message = format!(
        "idle connections are closed before the timeout of a request head, {head_timeout_ms} ms"
    );
    let finding = Finding::new(Severity::Warning, "limits", message);
    let allowed = format!("{head_timeout_ms} or more");
    Some(finding.field(Field::IdleTimeout, idle_timeout_ms).allowed(allowed))
}
