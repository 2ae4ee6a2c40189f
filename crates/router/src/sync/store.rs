//! Takes configurations and live lists into force. Nothing ever goes back to an earlier one.

use std::sync::Arc;

use samphirespread_config::{Snapshot, SnapshotError};
use samphirespread_membership::LiveChange;
use samphirespread_platform::api::LiveList;
use slog::{info, warn};

use crate::state::Shared;

/// Puts a configuration in force if its generation is higher than the present one's.
pub(crate) fn adopt_config<T: AsRef<str>>(
    shared: &Arc<Shared>,
    head: &str,
    sections: &[T],
) -> Result<(), SnapshotError> {
    let present = shared.snapshot.load_full();
    let sections = sections.iter().map(AsRef::as_ref);
    let next = Arc::new(Snapshot::assemble(head, sections, Some(&present))?);
    let generation = next.generation();
    let before = shared.snapshot.rcu(|present| {
        if present.generation() < generation { Arc::clone(&next) } else { Arc::clone(present) }
    });
    if before.generation() >= generation {
        return Ok(());
    }
    let now_in_force = shared.snapshot.load();
    assert!(now_in_force.generation() >= generation, "a configuration went back");
    shared.identity.set_generation(now_in_force.generation());
    shared.metrics.generation.set(i64::try_from(generation.0).unwrap_or(i64::MAX));
    shared.placer.update(&now_in_force, &shared.live_list());
    shared.admission.apply_config(&now_in_force);
    shared.wake_agent_sync.notify_one();
    info!(shared.log, "configuration in force"; "generation" => generation.0);
    Ok(())
}

/// Takes in a live list if it is later than the present one.
pub(crate) fn adopt_live_list(shared: &Arc<Shared>, live: LiveList) {
    if shared.with_live(|view| view.adopt(live)) {
        live_changed(shared);
    }
}

/// Takes in what a peer knows of the live list.
pub(super) fn apply_live_change(shared: &Arc<Shared>, change: &LiveChange) {
    if shared.with_live(|view| view.apply(change)) {
        live_changed(shared);
    }
}

fn live_changed(shared: &Arc<Shared>) {
    let listed = shared.live_list();
    shared.identity.set_live_version(listed.version);
    shared.pool.retain(|address| listed.instances.iter().any(|i| i.address == address));
    shared.placer.update(&shared.snapshot.load(), &listed);
    shared.admission.apply_live_list(&listed);
    shared.wake_agent_sync.notify_one();
    info!(shared.log, "live list changed"; "version" => listed.version.0,
        "instances" => listed.instances.len());
}

/// Logs a configuration that can't be used. The one in force stays.
pub(super) fn log_refused_config(shared: &Shared, error: &SnapshotError) {
    warn!(shared.log, "configuration refused"; "error" => %error);
}
