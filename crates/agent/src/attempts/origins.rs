//! What is left of attempts that were forgotten.

use std::collections::HashMap;

use samphirespread_core::prelude::*;

/// The highest forgotten serial of each origin: one number in place of each attempt.
#[derive(Clone, Debug, Default)]
pub(super) struct Origins {
    forgotten: HashMap<u64, (u64, u64)>,
}

impl Origins {
    /// Notes that attempts of the request are no longer known. The age orders the origins.
    pub(super) fn forget(&mut self, request: RequestId, age_ms: u64, max_origins: usize) {
        let entry = self.forgotten.entry(request.origin).or_insert((request.serial, age_ms));
        entry.0 = entry.0.max(request.serial);
        entry.1 = age_ms;
        if self.forgotten.len() <= max_origins {
            return;
        }
        let oldest = self.forgotten.iter().min_by_key(|&(origin, &(_, age))| (age, *origin));
        if let Some((&origin, _)) = oldest {
            self.forgotten.remove(&origin);
        }
    }

    /// Whether an attempt of the request may have been known once.
    pub(super) fn may_have_known(&self, request: RequestId) -> bool {
        self.forgotten.get(&request.origin).is_some_and(|&(serial, _)| request.serial <= serial)
    }
}
