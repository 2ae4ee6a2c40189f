//! Puts configurations and live lists into force, and never replaces one by an earlier one.

use std::sync::Arc;

use samphirespread_config::{Snapshot, SnapshotError};
use samphirespread_membership::LiveChange;
use samphirespread_platform::api::LiveList;
use slog::{info, warn};

use crate::state::Shared;

/// Puts a configuration into force if its generation is higher than that of the current one.
pub(crate) fn adopt_config<T: AsRef<str>>(
    shared: &Arc<Shared>,
    head: &str,
    sections: &[T],
) -> Result<(), SnapshotError> {
    let current = shared.snapshot.load_full();
    let sections = sections.iter().map(AsRef::as_ref);
    let next = Arc::new(Snapshot::assemble(head, sections, Some(&current))?);
    let generation = next.generation();
    let before = shared.snapshot.rcu(|current| {
        if current.generation() < generation { Arc::clone(&next) } else { Arc::clone(current) }
    });
    if before.generation() >= generation {
        return Ok(());
    }
    let in_force = shared.snapshot.load();
    assert!(in_force.generation() >= generation, "the generation in force decreased");
    shared.identity.set_generation(in_force.generation());
    shared.metrics.generation.set(i64::try_from(generation.0).unwrap_or(i64::MAX));
    shared.placer.update(&in_force, &shared.live_list());
    shared.admission.apply_config(&in_force);
    shared.wake_agent_sync.notify_one();
    info!(shared.log, "configuration in force"; "generation" => generation.0);
    Ok(())
}

/// Puts a live list into force if it is newer than the current one.
pub(crate) fn adopt_live_list(shared: &Arc<Shared>, live: LiveList) {
    if shared.with_live(|view| view.adopt(live)) {
        on_live_list_changed(shared);
    }
}

/// Applies the changes to the live list that a peer sent.
pub(super) fn apply_live_change(shared: &Arc<Shared>, change: &LiveChange) {
    if shared.with_live(|view| view.apply(change)) {
        on_live_list_changed(shared);
    }
}

fn on_live_list_changed(shared: &Arc<Shared>) {
    let listed = shared.live_list();
    shared.identity.set_live_version(listed.version);
    shared.pool.retain(|address| listed.instances.iter().any(|i| i.address == address));
    shared.placer.update(&shared.snapshot.load(), &listed);
    shared.admission.apply_live_list(&listed);
    shared.wake_agent_sync.notify_one();
    info!(shared.log, "live list changed"; "version" => listed.version.0,
        "instances" => listed.instances.len());
}

/// Logs that a configuration can't be used. The one in force stays in force.
pub(super) fn log_refused_config(shared: &Shared, error: &SnapshotError) {
    warn!(shared.log, "configuration refused"; "error" => %error);
}
