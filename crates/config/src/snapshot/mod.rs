//! A configuration with indexes for fast lookups while serving requests.

use std::{
    collections::{BTreeMap, HashMap},
    error::Error,
    sync::Arc,
};

use displaydoc::Display;
use samphirespread_core::prelude::*;
use serde_json::Value;
use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

use crate::{
    document::Document,
    error::ConfigErrors,
    key::hex,
    model::{BackendSet, Config, Head, Key, Route, RouteTarget, Team},
    section::section_hash,
};

/// Number of leading hex digits of a key's digest that the index uses. The whole digest is then
/// compared in constant time.
const INDEX_DIGITS: usize = 16;

/// A stored configuration: its head, its sections and its objects, indexed for lookups.
///
/// # Examples
///
/// ```
/// use samphirespread_config::{ConfigBuilder, KeyBuilder, Snapshot, TeamBuilder};
///
/// let config = ConfigBuilder::new()
///     .team(TeamBuilder::new("desk"))
///     .key(KeyBuilder::from_text("desk-1", "desk", "an-example-of-a-key"))
///     .build()
///     .unwrap();
///
/// let snapshot = Snapshot::of(&config, 1).unwrap();
///
/// assert_eq!(snapshot.authenticate("an-example-of-a-key").unwrap().id, "desk-1");
/// assert!(snapshot.authenticate("another").is_none());
/// ```
#[derive(Clone, Debug, Default)]
pub struct Snapshot {
    head: Head,
    head_text: Arc<str>,
    texts: BTreeMap<String, Arc<str>>,
    config: Config,
    index: Index,
}

/// Positions of objects in the lists of a configuration.
///
/// Keys are indexed by the leading digits of their digest.
#[derive(Clone, Debug, Default)]
struct Index {
    teams: HashMap<TeamName, usize>,
    keys: HashMap<String, Vec<usize>>,
    models: HashMap<ModelName, Vec<usize>>,
    paths: HashMap<String, usize>,
    sets: HashMap<SetName, usize>,
}

/// The reason why a head and its sections are not a valid configuration.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
#[non_exhaustive]
pub enum SnapshotError {
    /// the head is not a valid document: {message}
    Head {
        /// The parser's message.
        message: String,
    },
    /// sections {hashes:?} of generation {generation} are missing
    MissingSections {
        /// The generation of the head.
        generation: Generation,
        /// The SHA-256 of each missing section.
        hashes: Vec<String>,
    },
    /// section {section}: line {line} is not a valid document: {message}
    Section {
        /// The section's name.
        section: String,
        /// The number of the line, counted from one.
        line: usize,
        /// The parser's message.
        message: String,
    },
    /// generation {generation} is not valid: {errors}
    Invalid {
        /// The generation of the head.
        generation: Generation,
        /// The errors in the configuration.
        errors: ConfigErrors,
    },
}

impl Error for SnapshotError {}

impl Snapshot {
    /// Creates the snapshot of generation zero, which has no objects and allows no request.
    pub fn empty() -> Self {
        Self::default()
    }

    /// Creates a snapshot of a configuration that is not stored on a platform, for tests and
    /// embedding.
    ///
    /// # Errors
    ///
    /// Returns [`SnapshotError::Invalid`] if the configuration is not valid.
    pub fn of(config: &Config, generation: u64) -> Result<Self, SnapshotError> {
        let texts = crate::section::sections(config);
        let hashes = texts.iter().map(|(name, text)| (name.clone(), section_hash(text)));
        let head = Head {
            generation: Generation(generation),
            sections: hashes.collect(),
            ..Head::default()
        };
        let head_text = head.to_text();
        Self::assemble(&head_text, texts.values(), None)
    }

    /// Assembles a snapshot from a head and the texts of its sections, which may be in any order.
    ///
    /// Sections that are missing among the texts are taken from the previous snapshot. Texts that
    /// the head doesn't list are ignored, and so are unknown fields and kinds of objects, which a
    /// later version of the system may have written.
    ///
    /// # Errors
    ///
    /// Returns a [`SnapshotError`] if a text can't be parsed, a section is missing or the
    /// configuration is not valid.
    pub fn assemble<T: AsRef<str>>(
        head_text: &str,
        section_texts: impl IntoIterator<Item = T>,
        previous: Option<&Self>,
    ) -> Result<Self, SnapshotError> {
        let head = Head::parse(head_text)?;
        let given_by_hash = section_texts.into_iter().map(|text| {
            let text: Arc<str> = Arc::from(text.as_ref());
            (section_hash(&text), text)
        });
        let mut known_by_hash: HashMap<String, Arc<str>> = given_by_hash.collect();
        if let Some(previous) = previous {
            for (name, hash) in &previous.head.sections {
                known_by_hash.entry(hash.clone()).or_insert_with(|| previous.texts[name].clone());
            }
        }
        let texts = select_sections(&head, &known_by_hash)?;
        let config = parse_sections(&texts)?;
        let invalid = |errors| SnapshotError::Invalid { generation: head.generation, errors };
        config.validate().map_err(invalid)?;
        let index = Index::new(&config);
        Ok(Self { head, head_text: Arc::from(head_text), texts, config, index })
    }

    /// Returns the hashes of the sections that this head lists and the snapshot doesn't have.
    pub fn missing_sections<'a>(&self, head: &'a Head) -> Vec<&'a str> {
        let has = |hash: &&str| self.head.sections.values().any(|known| known == hash);
        head.sections.values().map(String::as_str).filter(|hash| !has(hash)).collect()
    }

    /// Returns the generation of the head. Generations only increase.
    pub fn generation(&self) -> Generation {
        self.head.generation
    }

    /// Returns the head.
    pub fn head(&self) -> &Head {
        &self.head
    }

    /// Returns the text of the head.
    pub fn head_text(&self) -> &str {
        &self.head_text
    }

    /// Iterates over the names and texts of the sections.
    pub fn sections(&self) -> impl Iterator<Item = (&str, &str)> {
        self.texts.iter().map(|(name, text)| (name.as_str(), &**text))
    }

    /// Returns the objects of the configuration.
    pub fn config(&self) -> &Config {
        &self.config
    }

    /// Returns the team with this name.
    pub fn team(&self, name: &TeamName) -> Option<&Team> {
        self.index.teams.get(name).map(|&position| &self.config.teams[position])
    }

    /// Returns the key with this text, if the configuration has it.
    ///
    /// The digest is compared in constant time, so the duration reveals at most those leading
    /// digits of the text's SHA-256 that the index uses.
    pub fn authenticate(&self, key_text: &str) -> Option<&Key> {
        let digest = hex(&Sha256::digest(key_text.as_bytes()));
        let positions = self.index.keys.get(&digest[..INDEX_DIGITS])?;
        let mut keys = positions.iter().map(|&position| &self.config.keys[position]);
        keys.find(|key| bool::from(key.sha256.as_bytes().ct_eq(digest.as_bytes())))
    }

    /// Returns the route to a model that a caller may use. `None` is a caller without a key.
    pub fn route_for_model(&self, model: &ModelName, caller: Option<&TeamName>) -> Option<&Route> {
        self.routes_for_model(model).find(|route| route.admits(caller))
    }

    /// Returns all routes to a model, to distinguish a caller without access from an unknown model.
    pub fn routes_for_model(&self, model: &ModelName) -> impl Iterator<Item = &Route> {
        let positions = self.index.models.get(model).into_iter().flatten();
        positions.map(|&position| &self.config.routes[position])
    }

    /// Returns the route to a plain service whose prefix is the longest match for this path.
    ///
    /// A prefix matches whole segments: `/notices` matches `/notices/7`, but not `/noticesboard`.
    pub fn route_for_path(&self, path: &str) -> Option<&Route> {
        let path = path.split(['?', '#']).next().unwrap_or_default();
        let mut prefix = path;
        loop {
            if let Some(&position) = self.index.paths.get(prefix) {
                return Some(&self.config.routes[position]);
            }
            match prefix.rfind('/') {
                Some(end) if end > 0 => prefix = &prefix[..end],
                Some(_) if prefix.len() > 1 => prefix = "/",
                _ => return None,
            }
        }
    }

    /// Returns the model and version that the routes of a set require, if they all agree.
    pub fn weights_of(&self, set: &SetName) -> Option<(&ModelName, &WeightsVersion)> {
        let routes = self.config.routes.iter().filter(|route| route.sets.contains(set));
        let mut wanted = routes.filter_map(|route| match &route.target {
            RouteTarget::Model { model, version, .. } => Some((model, version)),
            RouteTarget::Service { .. } => None,
        });
        let first = wanted.next()?;
        wanted.all(|other| other == first).then_some(first)
    }

    /// Returns the set with this name.
    pub fn set(&self, name: &SetName) -> Option<&BackendSet> {
        self.index.sets.get(name).map(|&position| &self.config.sets[position])
    }
}

impl Head {
    /// Parses the text of a head.
    ///
    /// # Errors
    ///
    /// Returns [`SnapshotError::Head`] if the text is not a valid head.
    pub fn parse(text: &str) -> Result<Self, SnapshotError> {
        serde_json::from_str(text)
            .map_err(|error| SnapshotError::Head { message: error.to_string() })
    }

    /// Returns the text of the head on one line.
    ///
    /// # Panics
    ///
    /// Never panics, because the maps in a head have string keys.
    pub fn to_text(&self) -> String {
        serde_json::to_string(self).expect("maps in a head have string keys")
    }
}

fn select_sections(
    head: &Head,
    known_by_hash: &HashMap<String, Arc<str>>,
) -> Result<BTreeMap<String, Arc<str>>, SnapshotError> {
    let mut texts = BTreeMap::new();
    let mut missing = Vec::new();
    for (name, hash) in &head.sections {
        match known_by_hash.get(hash) {
            Some(text) => {
                texts.insert(name.clone(), text.clone());
            }
            None => missing.push(hash.clone()),
        }
    }
    if missing.is_empty() {
        return Ok(texts);
    }
    Err(SnapshotError::MissingSections { generation: head.generation, hashes: missing })
}

fn parse_sections(texts: &BTreeMap<String, Arc<str>>) -> Result<Config, SnapshotError> {
    let mut documents = Vec::new();
    for (section, text) in texts {
        for (index, line) in text.lines().enumerate() {
            match parse_line(line) {
                Ok(Some(document)) => documents.push(document),
                Ok(None) => {}
                Err(error) => {
                    let (section, message) = (section.clone(), error.to_string());
                    return Err(SnapshotError::Section { section, line: index + 1, message });
                }
            }
        }
    }
    Ok(Config::from_documents(documents))
}

/// Parses a document. Returns `None` for an object of an unknown kind, which a later version of
/// the system may have added.
fn parse_line(line: &str) -> Result<Option<Document>, serde_json::Error> {
    let value: Value = serde_json::from_str(line)?;
    let kind = value.get("kind").and_then(Value::as_str).unwrap_or_default();
    let known = crate::document::ObjectKind::ALL.iter().any(|known| known.as_str() == kind);
    if !kind.is_empty() && !known {
        return Ok(None);
    }
    serde_json::from_value(value).map(Some)
}

impl Index {
    fn new(config: &Config) -> Self {
        let mut index = Self::default();
        for (position, team) in config.teams.iter().enumerate() {
            index.teams.insert(team.name.clone(), position);
        }
        for (position, key) in config.keys.iter().enumerate() {
            let digits = key.sha256[..INDEX_DIGITS].to_owned();
            index.keys.entry(digits).or_default().push(position);
        }
        for (position, route) in config.routes.iter().enumerate() {
            match &route.target {
                RouteTarget::Model { model, .. } => {
                    index.models.entry(model.clone()).or_default().push(position);
                }
                RouteTarget::Service { path_prefix, .. } => {
                    index.paths.insert(path_prefix.clone(), position);
                }
            }
        }
        for (position, set) in config.sets.iter().enumerate() {
            index.sets.insert(set.name.clone(), position);
        }
        index
    }
}
