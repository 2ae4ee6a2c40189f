//! The live list with its lag.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use samphirespread_core::prelude::*;
use samphirespread_platform::api::LiveInstance;
use tokio::time::Instant;

/// What becomes of an instance's entry.
#[derive(Clone, Debug)]
pub(super) enum Entry {
    /// It is as given.
    Set(LiveInstance),
    /// It is gone.
    Removed(InstanceName),
}

/// The instances that there are, and changes of which the list shows nothing yet.
#[derive(Debug, Default)]
pub(super) struct LiveListLag {
    actual: BTreeMap<InstanceName, LiveInstance>,
    /// Changes to come, with the time from which on they may show.
    coming: VecDeque<(Instant, Entry)>,
    lag: Duration,
    frozen: bool,
}

impl LiveListLag {
    pub(super) fn set_lag(&mut self, lag: Duration) {
        self.lag = lag;
    }

    pub(super) fn set_frozen(&mut self, frozen: bool) {
        self.frozen = frozen;
    }

    pub(super) fn instance(&self, name: &InstanceName) -> Option<&LiveInstance> {
        self.actual.get(name)
    }

    pub(super) fn change(&mut self, entry: Entry) {
        match &entry {
            Entry::Set(instance) => {
                self.actual.insert(instance.name.clone(), instance.clone());
            }
            Entry::Removed(name) => {
                self.actual.remove(name);
            }
        }
        self.coming.push_back((Instant::now() + self.lag, entry));
    }

    /// The next change that may show by now.
    pub(super) fn next_due(&mut self) -> Option<Entry> {
        let (from, _) = self.coming.front()?;
        if self.frozen || *from > Instant::now() {
            return None;
        }
        self.coming.pop_front().map(|(_, entry)| entry)
    }
}
