//! Decides which router reads the store, and compares this router's copies with those of others.
//!
//! Of the routers that receive each other's records, one reads the configuration and the lists of
//! servers and routers at regular intervals. It publishes how current its copies are, which
//! confirms equal copies of the others. A router reads for itself when its copy differs or is not
//! confirmed for too long. If it can't reach the store, it fetches the copy from the router that
//! announced the difference.

use std::{cmp::Ordering, net::SocketAddr};

use samphirespread_core::prelude::*;
use samphirespread_fabric::precedes;
use samphirespread_logging::event;
use samphirespread_peer::LinkStatus;
use samphirespread_routing::freshness::StoreCopy;
use slog::info;

use crate::{
    gateway::Core,
    state::{OtherRouter, State},
};

/// How current this router's copies of the store's objects are, and what has to be read.
#[derive(Debug)]
pub(crate) struct Reads {
    /// Whether this router's last own read of the servers succeeded.
    pub(crate) servers_up: bool,
    /// Whether its last own read of the configuration succeeded.
    pub(crate) configuration_up: bool,
    pub(crate) configuration: StoreCopy,
    pub(crate) servers: StoreCopy,
    pub(crate) routers: StoreCopy,
    /// The lists that are known to be out of date.
    pub(crate) news: ListParts,
    /// Whether the configuration is known to be out of date.
    pub(crate) configuration_news: bool,
    /// The newest generation that another router has announced, and when this one first heard it.
    pub(crate) announced: Option<Announced>,
    /// The admin address of the router that announced a list that differs, to fetch it from.
    pub(crate) lists_from: Option<SocketAddr>,
    /// The admin address of the router that announced a newer configuration, to fetch it from.
    pub(crate) configuration_from: Option<SocketAddr>,
}

/// A generation of the configuration that another router has.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Announced {
    pub(crate) generation: u64,
    /// When this router first heard of a generation newer than its own.
    pub(crate) since: MonoTime,
}

/// A set of the lists that a router keeps copies of.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct ListParts {
    pub(crate) servers: bool,
    pub(crate) routers: bool,
}

impl ListParts {
    pub(crate) fn any(self) -> bool {
        self.servers || self.routers
    }

    fn add(&mut self, other: Self) {
        self.servers |= other.servers;
        self.routers |= other.routers;
    }
}

impl Default for Reads {
    fn default() -> Self {
        Self {
            servers_up: true,
            configuration_up: true,
            configuration: StoreCopy::default(),
            servers: StoreCopy::default(),
            routers: StoreCopy::default(),
            news: ListParts::default(),
            configuration_news: false,
            announced: None,
            lists_from: None,
            configuration_from: None,
        }
    }
}

impl Reads {
    /// Time since this router first heard of a newer configuration than its own, if it has one of a
    /// generation below the announced one.
    pub(crate) fn behind_ms(&self, now: MonoTime) -> Option<u64> {
        let announced = self.announced?;
        let is_behind = announced.generation > self.configuration.mark();
        is_behind.then(|| now.ms_since(announced.since))
    }

    /// Whether another router has a newer configuration, which is in force everywhere by now.
    ///
    /// A configuration takes effect everywhere within `bound_ms` of the store's confirmation. The
    /// newer one was confirmed after the last read that showed this router's own as the newest, so
    /// until `bound_ms` after that read the own one may still be used.
    pub(crate) fn is_outdated(&self, bound_ms: u64, now: MonoTime) -> bool {
        self.behind_ms(now).is_some() && self.configuration.age_ms(now) > bound_ms
    }

    /// Whether this router's last own reads of the store succeeded.
    pub(crate) fn is_up(&self) -> bool {
        self.servers_up && self.configuration_up
    }

    /// Time since the older list was confirmed. The age of the list of routers is divided by
    /// `rounds_per_routers_read`, since that list is read only once in so many rounds.
    pub(crate) fn oldest_list_age_ms(&self, rounds_per_routers_read: u64, now: MonoTime) -> u64 {
        let routers_ms = self.routers.age_ms(now) / rounds_per_routers_read;
        self.servers.age_ms(now).max(routers_ms)
    }
}

/// Whether this router is the one that reads the store for all routers from which it has recent
/// records.
pub(crate) fn reads_for_all(core: &Core, state: &State, now: MonoTime) -> bool {
    let reads_for_us = |router: &OtherRouter| {
        let reads_store = router.recent_state(now).is_some_and(|published| published.reads_store);
        reads_store && (!state.reads.is_up() || precedes(&router.member, &core.member))
    };
    !state.routers.values().any(reads_for_us)
}

/// Whether this router is the one that retries often while the store is down. The others retry
/// seldom, and learn from this one when the store is back.
pub(crate) fn probes_store(core: &Core, state: &State, now: MonoTime) -> bool {
    let comes_first = |router: &OtherRouter| {
        router.recent_state(now).is_some() && precedes(&router.member, &core.member)
    };
    !state.routers.values().any(comes_first)
}

/// Compares this router's copies with those of the router that sent a link status, and wakes the
/// tasks that have something to read.
pub(crate) fn compare_copies(
    core: &Core,
    state: &mut State,
    status: &LinkStatus,
    from: &InstanceName,
    admin: Option<SocketAddr>,
) {
    // A link status that echoes an earlier run of this process gives the time of another clock.
    let Some(echo) = status.echo.and_then(|echo| echo.of(core.incarnation)) else { return };
    note_announced(core, state, status.configuration.mark, from);
    let reads = &mut state.reads;
    let (theirs, own) = (status.configuration, reads.configuration);
    // A higher generation is adopted whatever the store's era, and an older one never is.
    let differs = match theirs.mark.cmp(&own.mark()) {
        Ordering::Less => false,
        Ordering::Equal => reads.configuration.apply_report(theirs, echo),
        Ordering::Greater => theirs.age_ms.is_some(),
    };
    if differs {
        reads.configuration_news = true;
        reads.configuration_from = admin;
        core.wake_configuration_reader.notify_one();
    }
    let outdated = ListParts {
        servers: reads.servers.apply_report(status.servers, echo),
        routers: reads.routers.apply_report(status.routers, echo),
    };
    if outdated.any() {
        reads.news.add(outdated);
        reads.lists_from = admin;
        core.wake_list_reader.notify_one();
    }
    if let Some(confirmed) = state.reads.configuration.confirmed() {
        state.contact.platform_answered(confirmed);
    }
}

/// Records and logs that another router has a newer configuration than this one.
fn note_announced(core: &Core, state: &mut State, generation: u64, from: &InstanceName) {
    let own = state.reads.configuration.mark();
    if generation <= own {
        return;
    }
    let known = state.reads.announced;
    if known.is_some_and(|known| known.generation >= generation) {
        return;
    }
    let now = core.now();
    let since = known.filter(|known| known.generation > own).map_or(now, |known| known.since);
    state.reads.announced = Some(Announced { generation, since });
    info!(core.log, "{}", event::CONFIGURATION_BEHIND; "generation" => own,
        "announced" => generation, "router" => from.as_str(),
        "contact_age_ms" => state.contact.age_ms(now));
}
