//! Splits a configuration into sections, which are stored as immutable texts.

use std::collections::BTreeMap;

use sha2::{Digest, Sha256};
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    document::{Document, ObjectKind},
    key::hex,
    model::Config,
};

/// Maximum number of bytes of one section, because the platform limits the size of values.
pub const MAX_SECTION_BYTES: usize = 1_000_000;

/// Number of sections over which the keys are sharded.
const KEY_SECTION_COUNT: u64 = 64;

/// Number of sections over which the teams are sharded.
const TEAM_SECTION_COUNT: u64 = 16;

/// Returns the texts of a configuration's sections by section name, without empty sections.
///
/// A section's text depends only on the objects in it, so a change affects only the sections of
/// the changed objects.
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

/// Returns the SHA-256 of a section's text in hex.
pub fn section_hash(text: &str) -> String {
    hex(&Sha256::digest(text.as_bytes()))
}

/// Returns the key of the platform object that stores the section with this hash.
pub fn section_object(hash: &str) -> String {
    format!("config/section/{hash}")
}

fn section_name(document: &Document) -> String {
    let object = document.name();
    let shard = |count: u64| xxh3_64(object.name.as_bytes()) % count;
    match object.kind {
        ObjectKind::Team => format!("teams-{:02x}", shard(TEAM_SECTION_COUNT)),
        ObjectKind::Key => format!("keys-{:02x}", shard(KEY_SECTION_COUNT)),
        ObjectKind::Route => "routes".to_owned(),
        ObjectKind::Set => "sets".to_owned(),
    }
}
