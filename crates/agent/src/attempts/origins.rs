//! Remembers, for each origin, which attempts the table has forgotten.

use std::collections::HashMap;

use samphirespread_core::prelude::*;

/// The highest forgotten serial of each origin, kept in place of the single attempts.
#[derive(Clone, Debug, Default)]
pub(super) struct Origins {
    forgotten: HashMap<u64, (u64, u64)>,
}

impl Origins {
    /// Records that an attempt of the request was forgotten. Above `max_origins`, the origin that
    /// was updated longest ago is dropped.
    pub(super) fn forget(&mut self, request: RequestId, age_us: u64, max_origins: usize) {
        let entry = self.forgotten.entry(request.origin).or_insert((request.serial, age_us));
        entry.0 = entry.0.max(request.serial);
        entry.1 = age_us;
        if self.forgotten.len() <= max_origins {
            return;
        }
        let oldest = self.forgotten.iter().min_by_key(|&(origin, &(_, age))| (age, *origin));
        if let Some((&origin, _)) = oldest {
            self.forgotten.remove(&origin);
        }
    }

    /// Returns whether an attempt of the request may have been forgotten.
    pub(super) fn may_have_forgotten(&self, request: RequestId) -> bool {
        self.forgotten.get(&request.origin).is_some_and(|&(serial, _)| request.serial <= serial)
    }
}
