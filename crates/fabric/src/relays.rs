//! The order in which the routers of a failure domain become its relays.

use std::{cmp::Ordering, sync::Arc};

use samphirespread_core::prelude::*;

/// Number of routers of a failure domain that are its relays at the same time.
pub const RELAYS: usize = 2;

/// A router as known to all routers.
#[derive(Clone, Debug, PartialEq)]
pub struct Member {
    /// Name of the router.
    pub name: InstanceName,
    /// Failure domain in which the router runs.
    pub failure_domain: Arc<str>,
    /// Share of a processor core that the router has. Routers with more become relays first.
    pub capacity: f64,
}

/// Returns whether `one` takes precedence over `other` for work that one router does for all. The
/// router with more capacity does; if they are equal, the one whose name sorts first.
pub fn precedes(one: &Member, other: &Member) -> bool {
    by_capacity(one, other).then_with(|| one.name.cmp(&other.name)) == Ordering::Less
}

/// Sorts the members of a failure domain by the order in which they become its relays.
pub(crate) fn sort(domain: &str, members: &mut [&Member]) {
    let score = |member: &Member| rendezvous::score(domain.as_bytes(), member.name.as_str());
    members.sort_by(|one, other| {
        by_capacity(one, other)
            .then_with(|| score(other).cmp(&score(one)))
            .then_with(|| one.name.cmp(&other.name))
    });
}

fn by_capacity(one: &Member, other: &Member) -> Ordering {
    other.capacity.total_cmp(&one.capacity)
}
