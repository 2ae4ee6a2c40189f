//! The entries of another writer in the store's list of servers.

use samphirespread_adapter::Kind;
use serde_json::{Value, json};

use super::Site;
use crate::plan::{ForeignEntry, ForeignKind, ForeignStart};

/// A service that no configuration names.
const UNNAMED_SERVICE: &str = "host-agent";
/// An address at which no server is.
const NO_SERVER_PORT: u16 = 9;
/// The size of a large entry, which is what the store takes.
const LARGE_BYTES: usize = 1_000_000;

impl Site {
    /// Writes an entry of another writer.
    pub(super) fn write_foreign(&self, foreign: &ForeignEntry) {
        let text = self.foreign_text(foreign);
        self.store.put_text(Kind::BackendServers.name(), &name_of(foreign), &text);
    }

    /// Removes an entry of another writer, unless it stays.
    pub(super) fn remove_foreign(&self, foreign: &ForeignEntry) {
        if !foreign.stays {
            self.store.remove(Kind::BackendServers.name(), &name_of(foreign));
        }
    }

    fn foreign_text(&self, foreign: &ForeignEntry) -> String {
        let server = &self.servers[foreign.server];
        let mut entry = server.worker.entry_at(server.link.address(), "ready");
        entry["born"] = match foreign.start {
            ForeignStart::Early => json!(0),
            ForeignStart::Late => json!(u64::MAX >> 12),
            ForeignStart::Unknown => Value::Null,
        };
        match foreign.kind {
            ForeignKind::NoServer => return r#"{"source":"meter","samples":[1,2,3]}"#.to_owned(),
            ForeignKind::Unreadable => return r#"{"service":"\ud800","slots":1e400}"#.to_owned(),
            ForeignKind::LargeValues => return large_values(),
            ForeignKind::WrongType => entry["address"] = json!([entry["address"]]),
            ForeignKind::UnknownState => entry["state"] = json!("resting"),
            ForeignKind::UnnamedService => entry["service"] = json!(UNNAMED_SERVICE),
            ForeignKind::OtherPort => {
                entry["service"] = json!(UNNAMED_SERVICE);
                let ip = server.link.address().ip();
                entry["address"] = json!(format!("{ip}:{NO_SERVER_PORT}"));
            }
            ForeignKind::LargeText => entry["state"] = json!("x".repeat(LARGE_BYTES)),
        }
        entry.to_string()
    }
}

fn name_of(foreign: &ForeignEntry) -> String {
    format!("x-{}", foreign.number)
}

fn large_values() -> String {
    const VALUE: &str = r#"{"":0},"#;
    format!(r#"{{"samples":[{}0]}}"#, VALUE.repeat(LARGE_BYTES / VALUE.len()))
}
