//! Finds entries that serve no request.

use std::{
    collections::{BTreeMap, BTreeSet, HashSet},
    ptr,
};

use http::uri::{Authority, PathAndQuery};
use samphirespread_adapter::configuration_check::{EntryKind, Field};
use samphirespread_core::prelude::*;
use samphirespread_routing::{
    model::{Route, Service, Team},
    table::Table,
};

use super::{Finding, Severity, list};

/// Returns the findings on routes, services and keys that serve no request, or the wrong ones.
pub(super) fn findings(table: &Table) -> Vec<Finding> {
    let configuration = table.configuration();
    let mut findings = Vec::new();
    let mut used_services = HashSet::new();
    for route in &configuration.routes {
        match unreachable_route(table, route) {
            Some(finding) => findings.push(finding),
            None => used_services
                .extend(route.upstreams.iter().filter(|it| it.weight > 0).map(|it| &*it.service)),
        }
        findings.extend(upstream_findings(table, route));
    }
    for service in &configuration.services {
        findings.extend(unreachable_service(table, service, &used_services));
    }
    findings.extend(shared_keys(table));
    findings
}

/// Asks the table for the route of a request to exactly the route's host and path prefix. If another
/// route serves this request, it serves all that the route matches: its prefix is the same, or both
/// match every path.
fn unreachable_route(table: &Table, route: &Route) -> Option<Finding> {
    let finding = |message: String| {
        Finding::new(Severity::Error, EntryKind::Route.entry(&route.name), message)
    };
    if !is_host(&route.host) {
        let message = "no request names this host, so the route can't match";
        let finding = finding(message.to_owned()).field(Field::Host, &route.host);
        return Some(finding.allowed("a host name without a port"));
    }
    let path = if route.path_prefix.is_empty() { "/" } else { &route.path_prefix };
    if !is_path(path) {
        let message = "no request has such a path, so the route can't match";
        let finding = finding(message.to_owned()).field(Field::PathPrefix, &route.path_prefix);
        return Some(finding.allowed("a path that begins with a slash, without a query"));
    }
    // Callers name the port as well if it isn't the default one.
    let hosts = [route.host.clone(), format!("{}:8080", route.host)];
    let serving: Vec<&Route> = hosts.iter().filter_map(|host| table.route(host, path)).collect();
    if serving.iter().any(|serving| ptr::eq(*serving, route)) {
        return None;
    }
    let others = list(serving.first().map(|serving| &serving.name));
    let message = format!("route {others} has the same host and path prefix and goes first");
    let finding = finding(message).field(Field::PathPrefix, &route.path_prefix);
    Some(finding.allowed("a host and path prefix that no other route has"))
}

/// Whether a request can name this host. The gateway takes a request without a host to name the
/// empty one.
fn is_host(host: &str) -> bool {
    host.is_empty() || host.parse::<Authority>().is_ok_and(|authority| authority.host() == host)
}

fn is_path(path: &str) -> bool {
    path.starts_with('/') && path.parse::<PathAndQuery>().is_ok_and(|parsed| parsed.path() == path)
}

fn upstream_findings(table: &Table, route: &Route) -> Vec<Finding> {
    let entry = EntryKind::Route.entry(&route.name);
    let mut findings = Vec::new();
    if route.upstreams.is_empty() {
        let finding = Finding::new(Severity::Error, &*entry, "the route leads to no service");
        findings.push(finding.field(Field::Service, "nothing").allowed("the name of a service"));
    }
    let has_other_weights = route.upstreams.iter().any(|upstream| upstream.weight > 0);
    for upstream in &route.upstreams {
        if table.service(&upstream.service).is_none() {
            let message = format!("service {} is not defined", upstream.service);
            let finding = Finding::new(Severity::Error, &*entry, message);
            let services = &table.configuration().services;
            let allowed = match services.is_empty() {
                true => "the name of a service, of which there is none".to_owned(),
                false => list(services.iter().map(|service| &service.name)),
            };
            findings.push(finding.field(Field::Upstreams, &upstream.service).allowed(allowed));
        }
        if upstream.weight == 0 && has_other_weights {
            let message = format!(
                "service {} gets no request, as its weight, rounded to a whole number, is 0",
                upstream.service
            );
            let finding = Finding::new(Severity::Warning, &*entry, message);
            findings.push(finding.field(Field::Upstreams, 0).allowed("1 or more"));
        }
    }
    findings
}

fn unreachable_service(
    table: &Table,
    service: &Service,
    used_services: &HashSet<&str>,
) -> Option<Finding> {
    let entry = EntryKind::Service.entry(&service.name);
    if !table.service(&service.name).is_some_and(|found| ptr::eq(found, service)) {
        let message = "a later service has the same name and takes its place";
        let finding = Finding::new(Severity::Error, entry, message);
        return Some(finding.field(Field::Name, &service.name).allowed("a name of its own"));
    }
    // Cache stores are used by engines. No route leads to them.
    if used_services.contains(&*service.name) || service.cache_store.is_some() {
        return None;
    }
    let message = "no route that requests can reach leads to this service";
    let finding = Finding::new(Severity::Warning, entry, message);
    Some(finding.field(Field::Name, &service.name).allowed("a service of a route"))
}

/// Finds keys of several teams, and says which of them the table takes for the key's owner.
fn shared_keys(table: &Table) -> Vec<Finding> {
    let teams = &table.configuration().teams;
    let mut holders: BTreeMap<_, Vec<usize>> = BTreeMap::new();
    for (index, team) in teams.iter().enumerate() {
        for key in team.keys.iter().collect::<BTreeSet<_>>() {
            holders.entry(key).or_default().push(index);
        }
    }
    // How many keys a team has lost to another one.
    let mut lost: BTreeMap<(usize, &TeamName), usize> = BTreeMap::new();
    for (key, holders) in holders.iter().filter(|(_, holders)| holders.len() > 1) {
        let Some(owner) = table.team_of_digest(key) else { continue };
        for &index in holders.iter().filter(|&&index| !ptr::eq(&teams[index], owner)) {
            *lost.entry((index, &owner.name)).or_default() += 1;
        }
    }
    let finding = |((index, owner), count): ((usize, &TeamName), usize)| {
        let team: &Team = &teams[index];
        let message = format!("team {owner} has {count} of the keys too, and gets their requests");
        Finding::new(Severity::Error, EntryKind::Team.entry(team.name.as_str()), message)
            .field(Field::Keys, format!("{count} shared"))
            .allowed("keys that no other team has")
    };
    lost.into_iter().map(finding).collect()
}
