//! How a configuration is split into immutable texts.

use std::collections::BTreeMap;

use sha2::{Digest, Sha256};
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    document::{Document, ObjectKind},
    key::hex,
    model::Config,
};

/// Bytes of one section at most, as the platform's values are bounded.
pub const MAX_SECTION_BYTES: usize = 1_000_000;

/// Sections that the keys are spread over.
const KEY_SECTIONS: u64 = 64;

/// Sections that the teams are spread over.
const TEAM_SECTIONS: u64 = 16;

/// The texts of a configuration's sections, by section name. Empty sections are left out.
///
/// A section's text depends on the objects in it alone, so a change touches the sections of
/// the changed objects and no others.
///
/// ```
/// use samphirespread_config::{Config, sections};
///
/// assert!(sections(&Config::default()).is_empty());
/// ```
pub fn sections(config: &Config) -> BTreeMap<String, String> {
    let mut texts: BTreeMap<String, String> = BTreeMap::new();
    for document in config.documents() {
        let text = texts.entry(section_name(&document)).or_default();
        text.push_str(&document.to_text());
        text.push('\n');
    }
    texts
}

/// The SHA-256 of a section's text in hex.
pub fn section_hash(text: &str) -> String {
    hex(&Sha256::digest(text.as_bytes()))
}

/// The key of the object that holds the section with this hash.
pub fn section_object(hash: &str) -> String {
    format!("config/section/{hash}")
}

fn section_name(document: &Document) -> String {
    let object = document.name();
    let shard = |count: u64| xxh3_64(object.name.as_bytes()) % count;
    match object.kind {
        ObjectKind::Team => format!("teams-{:02x}", shard(TEAM_SECTIONS)),
        ObjectKind::Key => format!("keys-{:02x}", shard(KEY_SECTIONS)),
        ObjectKind::Route => "routes".to_owned(),
        ObjectKind::Set => "sets".to_owned(),
    }
}
