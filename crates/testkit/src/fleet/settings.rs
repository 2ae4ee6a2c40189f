//! Settings files of a fleet's daemons.

use std::{collections::BTreeMap, fmt::Write, net::SocketAddr};

use samphirespread_core::prelude::*;

use super::{REGION, failure_domain};
use crate::builder::{FleetBuilder, Setting};

const PEER_SECRET: &str = "a-secret-of-the-test-fleet";
const ANY_PORT: &str = "127.0.0.1:0";

/// Keys by section.
#[derive(Debug, Default)]
struct Settings {
    sections: BTreeMap<String, BTreeMap<String, String>>,
}

impl Settings {
    fn set(&mut self, section: &str, key: &str, value: &impl ToString) {
        let keys = self.sections.entry(section.to_owned()).or_default();
        keys.insert(key.to_owned(), value.to_string());
    }

    fn instance(&mut self, name: &InstanceName, index: usize, builder: &FleetBuilder) {
        self.set("instance", "name", &name);
        self.set("instance", "region", &REGION);
        self.set("instance", "failure_domain", &failure_domain(index, builder.failure_domains));
        self.set("listen", "peers", &ANY_PORT);
        self.set("listen", "admin", &ANY_PORT);
        self.set("security", "peer_secret", &PEER_SECRET);
        self.set("log", "format", &"json");
        self.set("log", "level", &"debug");
    }

    fn into_text(mut self, settings: &[Setting]) -> String {
        for setting in settings {
            self.set(&setting.section, &setting.key, &setting.value);
        }
        let mut text = String::new();
        for (section, keys) in &self.sections {
            // Writing to a string never fails.
            let _ = writeln!(text, "[{section}]");
            for (key, value) in keys {
                let _ = writeln!(text, "{key} = {value}");
            }
        }
        text
    }
}

pub(super) fn router(
    builder: &FleetBuilder,
    name: &InstanceName,
    index: usize,
    platform: SocketAddr,
) -> String {
    let mut settings = Settings::default();
    settings.instance(name, index, builder);
    settings.set("listen", "callers", &ANY_PORT);
    settings.set("platform", "address", &platform);
    settings.set("platform", "timeout_ms", &500);
    settings.set("platform", "poll_ms", &200);
    settings.into_text(&builder.router_settings)
}

pub(super) fn agent(
    builder: &FleetBuilder,
    name: &InstanceName,
    index: usize,
    kind: &str,
    backend: SocketAddr,
    set: &str,
) -> String {
    let mut settings = Settings::default();
    settings.instance(name, index, builder);
    settings.set("backend", "kind", &kind);
    settings.set("backend", "address", &backend);
    settings.set("backend", "set", &set);
    settings.into_text(&builder.agent_settings)
}
