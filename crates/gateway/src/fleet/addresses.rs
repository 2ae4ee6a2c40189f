//! Which of the listed servers answer at an address.
//!
//! Several entries may have one address: a server that has ended stays on the list for a while, and
//! others write to the list too. What such a question concludes from the list is never stored, so
//! that it ends with its reason.

use std::{
    collections::{HashMap, HashSet},
    net::{IpAddr, SocketAddr},
    sync::Arc,
};

use samphirespread_core::prelude::*;
use samphirespread_routing::model::ServiceName;

use super::Server;

/// The services that a configuration names.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct NamedServices {
    pub(crate) all: HashSet<ServiceName>,
    /// Those whose servers are model engines.
    pub(crate) with_engines: HashSet<ServiceName>,
}

/// The ids of the servers at each address, without those of services that the configuration doesn't
/// name.
#[derive(Debug, Default)]
pub(super) struct Addresses {
    by_address: HashMap<SocketAddr, Vec<Arc<str>>>,
    /// Engines alone, as there is one sidecar on a machine, beside its engine.
    engines_by_ip: HashMap<IpAddr, Vec<Arc<str>>>,
}

impl Addresses {
    pub(super) fn new<'a>(
        servers: impl Iterator<Item = &'a Server>,
        services: &NamedServices,
    ) -> Self {
        let mut addresses = Self::default();
        for server in servers.filter(|server| services.all.contains(&server.entry.service)) {
            let (id, address) = (&server.entry.id, server.entry.address);
            addresses.by_address.entry(address).or_default().push(id.clone());
            if services.with_engines.contains(&server.entry.service) {
                addresses.engines_by_ip.entry(address.ip()).or_default().push(id.clone());
            }
        }
        addresses
    }

    /// Returns the ids of the servers that are listed at an address.
    pub(super) fn listed_at(&self, address: SocketAddr) -> &[Arc<str>] {
        self.by_address.get(&address).map(Vec::as_slice).unwrap_or_default()
    }

    /// Returns the ids of the engines that are listed at an IP address.
    pub(super) fn engines_at(&self, address: IpAddr) -> &[Arc<str>] {
        self.engines_by_ip.get(&address).map(Vec::as_slice).unwrap_or_default()
    }
}

/// Returns the server that answers at an address, of those that are listed there.
///
/// One at whose address another server was seen to answer doesn't. Of the others, one whose sidecar
/// reports its own run comes first, then the one that started last.
pub(super) fn answering<'a>(
    listed: impl Iterator<Item = &'a Server>,
    now: MonoTime,
) -> Option<&'a Server> {
    listed
        .filter(|server| !server.is_replaced())
        .max_by_key(|server| (server.reports_itself(now), start_order(server)))
}

/// Returns the engine that a report is about, of those that are listed at its IP address: the one that
/// started when the report says, else the one that started last.
pub(super) fn reported<'a>(
    listed: impl Iterator<Item = &'a Server>,
    started_unix_ms: Option<u64>,
) -> Option<&'a Server> {
    listed.max_by_key(|server| {
        let is_reported =
            started_unix_ms.is_some() && server.entry.started_unix_ms == started_unix_ms;
        (is_reported, !server.is_replaced(), start_order(server))
    })
}

fn start_order(server: &Server) -> (Option<u64>, &str) {
    (server.entry.started_unix_ms, &server.entry.id)
}
