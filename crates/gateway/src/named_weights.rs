//! The versions of weights that operators have named, and the time in which a run may still begin on
//! older ones.

use std::{collections::HashMap, sync::Arc, time::Duration};

use samphirespread_core::prelude::*;
use samphirespread_routing::rollout::NamedVersions;
use tokio::{pin, select, sync::Notify, time};

use crate::gateway::Core;

/// A run that has not begun at an engine with older weights is taken back this long before the rollout
/// bound is over: the engine has to learn of it.
const WITHDRAWAL_MARGIN_MS: u64 = 300;

/// The named versions of each model's weights.
#[derive(Debug, Default)]
pub(crate) struct NamedWeights {
    models: HashMap<ModelName, NamedVersions>,
    /// Wakes the runs that wait to begin.
    changed: Arc<Notify>,
}

impl NamedWeights {
    pub(crate) fn get(&self, model: &ModelName) -> Option<&NamedVersions> {
        self.models.get(model)
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (&ModelName, &NamedVersions)> {
        self.models.iter()
    }

    /// Records that a version was named at `named_by` at the latest. Returns whether it is the newest
    /// now.
    pub(crate) fn learn(&mut self, model: &ModelName, version: u64, named_by: MonoTime) -> bool {
        if !self.models.contains_key(model) {
            self.models.insert(model.clone(), NamedVersions::default());
        }
        let Some(known) = self.models.get_mut(model) else { return false };
        let known_named_by = known.named_by(version);
        let is_newest = known.learn(version, named_by);
        // Most records repeat what is known.
        if known.named_by(version) != known_named_by {
            self.changed.notify_waiters();
        }
        is_newest
    }

    /// Makes the runs that wait to begin look at the rollout bound again.
    pub(crate) fn bound_changed(&self) {
        self.changed.notify_waiters();
    }
}

/// The weights that a run waits to begin on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct AwaitedWeights {
    pub(crate) model: ModelName,
    /// The version that the engine holds.
    pub(crate) version: u64,
}

impl AwaitedWeights {
    /// Waits until no run may begin on these weights any more. A newer version may be named at any time
    /// while the run waits.
    pub(crate) async fn expired(&self, core: &Core) {
        let changed = core.state().weights.changed.clone();
        loop {
            let change = changed.notified();
            pin!(change);
            // Enabled first, so that no change is missed after the look at what is known.
            change.as_mut().enable();
            match self.left_ms(core) {
                None => change.await,
                Some(0) => return,
                Some(left_ms) => select! {
                    () = change => {}
                    () = time::sleep(Duration::from_millis(left_ms)) => {}
                },
            }
        }
    }

    /// The time that is left; `None` while no newer version is named.
    fn left_ms(&self, core: &Core) -> Option<u64> {
        let (now, state) = (core.now(), core.state());
        let bound_ms = state.bounds.rollout_ms.saturating_sub(WITHDRAWAL_MARGIN_MS);
        let left_ms = state.weights.get(&self.model)?.left_ms(self.version, now, bound_ms);
        (left_ms != u64::MAX).then_some(left_ms)
    }
}

/// Waits until a run may not begin any more. A run without such a limit may at any time.
pub(crate) async fn expired(awaited: Option<&AwaitedWeights>, core: &Core) {
    match awaited {
        Some(awaited) => awaited.expired(core).await,
        None => std::future::pending().await,
    }
}
