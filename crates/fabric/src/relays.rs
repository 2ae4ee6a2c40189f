//! The order in which the routers of a failure domain become its relays.

use std::{cmp::Ordering, sync::Arc};

use samphirespread_core::prelude::*;

/// Routers of a failure domain that relay for it at the same time.
pub const RELAYS: usize = 2;

/// A router, as all others know it.
#[derive(Clone, Debug, PartialEq)]
pub struct Member {
    /// Its name.
    pub name: InstanceName,
    /// Where it runs.
    pub failure_domain: Arc<str>,
    /// Its processor's share of a core. Those with more relay first.
    pub capacity: f64,
}

/// Whether a router goes before another one in duties that one does for all: the one with more capacity,
/// and of equal ones that whose name comes first.
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
