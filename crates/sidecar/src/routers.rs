//! The routers that want reports, and what they want loaded.

use std::{collections::HashMap, net::SocketAddr};

use samphirespread_core::prelude::*;
use samphirespread_peer::{Directive, LoadDirective};

/// A router that has not asked for this long gets no more reports.
const FORGET_AFTER_MS: u64 = 2_000;
/// A directive to load holds for this long after it was last repeated.
const DIRECTIVE_LIFETIME_MS: u64 = 2_000;

/// What routers have asked for.
#[derive(Debug, Default)]
pub(crate) struct Routers {
    heard: HashMap<SocketAddr, MonoTime>,
    wanted: Option<Wanted>,
}

#[derive(Clone, Debug)]
struct Wanted {
    load: LoadDirective,
    server_id: String,
    heard: MonoTime,
}

impl Routers {
    /// Takes in a directive. Returns whether the router is new and whether there is new work.
    pub(crate) fn directed(
        &mut self,
        from: SocketAddr,
        directive: Directive,
        now: MonoTime,
    ) -> Heard {
        self.heard.retain(|_, heard| now.ms_since(*heard) < FORGET_AFTER_MS);
        let is_new = directive.wants_reports && self.heard.insert(from, now).is_none();
        let routers = i64::try_from(self.heard.len()).unwrap_or(i64::MAX);
        let Some(load) = directive.load else {
            return Heard { is_new, has_work: false, routers };
        };
        let is_older = self.wanted(now).is_some_and(|(wanted, _)| wanted.version > load.version);
        if !is_older {
            self.wanted = Some(Wanted { load, server_id: directive.server_id, heard: now });
        }
        Heard { is_new, has_work: !is_older, routers }
    }

    /// The weights that are wanted now, and the engine they are meant for.
    pub(crate) fn wanted(&self, now: MonoTime) -> Option<(&LoadDirective, &str)> {
        let wanted = self.wanted.as_ref()?;
        let is_current = now.ms_since(wanted.heard) < DIRECTIVE_LIFETIME_MS;
        is_current.then_some((&wanted.load, wanted.server_id.as_str()))
    }

    /// The routers that want reports.
    pub(crate) fn addresses(&self) -> Vec<SocketAddr> {
        self.heard.keys().copied().collect()
    }
}

/// What a directive brought.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Heard {
    /// The router had not asked before, or not for a while.
    pub(crate) is_new: bool,
    /// There are weights to load.
    pub(crate) has_work: bool,
    /// Routers that were heard lately.
    pub(crate) routers: i64,
}
