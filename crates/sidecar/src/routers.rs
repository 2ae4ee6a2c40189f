//! The routers that want reports, and the weights that they want the engine to load.

use std::{collections::HashMap, net::SocketAddr};

use samphirespread_core::prelude::*;
use samphirespread_peer::{Directive, LoadDirective};

/// Time for which a router gets reports after its latest request.
const REPORT_REQUEST_LIFETIME_MS: u64 = 2_000;
/// Time for which a directive to load weights is in force after it was last repeated.
const DIRECTIVE_LIFETIME_MS: u64 = 2_000;

/// The current requests of routers.
#[derive(Debug, Default)]
pub(crate) struct Routers {
    /// When each router last requested reports.
    requested: HashMap<SocketAddr, MonoTime>,
    wanted: Option<WantedLoad>,
}

/// The latest directive to load weights.
#[derive(Clone, Debug)]
struct WantedLoad {
    load: LoadDirective,
    server_id: String,
    received: MonoTime,
}

impl Routers {
    /// Handles a directive of a router. A load of an older version than the one wanted now is
    /// ignored.
    pub(crate) fn handle_directive(
        &mut self,
        from: SocketAddr,
        directive: Directive,
        now: MonoTime,
    ) -> DirectiveEffect {
        self.requested.retain(|_, requested| now.ms_since(*requested) < REPORT_REQUEST_LIFETIME_MS);
        let is_new = directive.wants_reports && self.requested.insert(from, now).is_none();
        let routers = i64::try_from(self.requested.len()).unwrap_or(i64::MAX);
        let Some(load) = directive.load else {
            return DirectiveEffect { is_new, wants_load: false, routers };
        };
        let is_older = self.wanted(now).is_some_and(|(wanted, _)| wanted.version > load.version);
        if !is_older {
            self.wanted = Some(WantedLoad { load, server_id: directive.server_id, received: now });
        }
        DirectiveEffect { is_new, wants_load: !is_older, routers }
    }

    /// Returns the weights that are wanted now, and the id of the engine that is to load them.
    pub(crate) fn wanted(&self, now: MonoTime) -> Option<(&LoadDirective, &str)> {
        let wanted = self.wanted.as_ref()?;
        let is_current = now.ms_since(wanted.received) < DIRECTIVE_LIFETIME_MS;
        is_current.then_some((&wanted.load, wanted.server_id.as_str()))
    }

    /// Returns the addresses of the routers that want reports.
    pub(crate) fn addresses(&self) -> Vec<SocketAddr> {
        self.requested.keys().copied().collect()
    }
}

/// The effect of a directive.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct DirectiveEffect {
    /// Whether the router had not requested reports recently.
    pub(crate) is_new: bool,
    /// Whether there are weights to load.
    pub(crate) wants_load: bool,
    /// Number of routers that want reports.
    pub(crate) routers: i64,
}
