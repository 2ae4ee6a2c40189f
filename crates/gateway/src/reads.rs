//! Who reads the store, and what a router learns from the reads of others.
//!
//! One router of those that hear each other reads the configuration and the lists again and again;
//! the others take its word that their copies are current, and read for themselves when a copy
//! differs or the word does not come. A router that can't reach the store gets what differs from the
//! router that told of it.

use std::net::SocketAddr;

use samphirespread_core::prelude::*;
use samphirespread_fabric::precedes;
use samphirespread_peer::LinkStatus;
use samphirespread_routing::freshness::StoreCopy;

use crate::{
    gateway::Core,
    state::{OtherRouter, State},
};

/// The copies of a router and how it keeps them.
#[derive(Debug)]
pub(crate) struct Reads {
    /// Whether the last own read succeeded.
    pub(crate) is_up: bool,
    pub(crate) configuration: StoreCopy,
    pub(crate) servers: StoreCopy,
    pub(crate) routers: StoreCopy,
    /// What is known to differ from the own copies.
    pub(crate) news: Parts,
    /// Another router's address, for reading there what the store won't give.
    pub(crate) wanted_from: Option<SocketAddr>,
}

/// Some of what a router keeps copies of.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Parts {
    pub(crate) configuration: bool,
    pub(crate) servers: bool,
    pub(crate) routers: bool,
}

impl Parts {
    pub(crate) fn any(self) -> bool {
        self.configuration || self.servers || self.routers
    }

    fn add(&mut self, other: Self) {
        self.configuration |= other.configuration;
        self.servers |= other.servers;
        self.routers |= other.routers;
    }
}

impl Default for Reads {
    fn default() -> Self {
        Self {
            is_up: true,
            configuration: StoreCopy::default(),
            servers: StoreCopy::default(),
            routers: StoreCopy::default(),
            news: Parts::default(),
            wanted_from: None,
        }
    }
}

impl Reads {
    /// Time since the oldest copy was confirmed, where the list of routers is read once in that
    /// many rounds.
    pub(crate) fn oldest_age_ms(&self, rounds_a_routers_read: u64, now: MonoTime) -> u64 {
        let routers_ms = self.routers.age_ms(now) / rounds_a_routers_read;
        self.configuration.age_ms(now).max(self.servers.age_ms(now)).max(routers_ms)
    }
}

/// Whether this router is the one that reads for all that it hears.
pub(crate) fn leads(core: &Core, state: &State, now: MonoTime) -> bool {
    let reads_for_us = |router: &OtherRouter| {
        let reads = router.told_lately(now).is_some_and(|told| told.reads_store);
        reads && (!state.reads.is_up || precedes(&router.member, &core.member))
    };
    !state.routers.values().any(reads_for_us)
}

/// Whether this router is the one that asks a store that is down again and again. The others, which hear
/// from it when the store is back, ask seldom.
pub(crate) fn probes(core: &Core, state: &State, now: MonoTime) -> bool {
    let comes_first = |router: &OtherRouter| {
        router.told_lately(now).is_some() && precedes(&router.member, &core.member)
    };
    !state.routers.values().any(comes_first)
}

/// Takes in what another router knows. Returns whether there is something to read.
pub(crate) fn heard(
    core: &Core,
    state: &mut State,
    hop: &LinkStatus,
    admin: Option<SocketAddr>,
) -> bool {
    // A hop that answers an earlier run of this process tells the time of another clock.
    let Some(echo) = hop.echo.and_then(|echo| echo.of(core.incarnation)) else { return false };
    let reads = &mut state.reads;
    // An older generation is never adopted, so only a higher one is news.
    let is_behind = hop.configuration.mark < reads.configuration.mark();
    let news = Parts {
        configuration: !is_behind && reads.configuration.apply_report(hop.configuration, echo),
        servers: reads.servers.apply_report(hop.servers, echo),
        routers: reads.routers.apply_report(hop.routers, echo),
    };
    reads.news.add(news);
    if let Some(confirmed) = reads.configuration.confirmed() {
        state.contact.platform_answered(confirmed);
    }
    if news.any() {
        state.reads.wanted_from = admin;
    }
    news.any()
}
