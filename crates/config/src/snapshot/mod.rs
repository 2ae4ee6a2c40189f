//! A configuration in force, indexed for serving.

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

/// Leading digits of a key's digest that the index uses. The rest is compared in constant time.
const INDEX_DIGITS: usize = 16;

/// A configuration in force: head, sections and the indexed objects.
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

/// Positions in the lists of a configuration.
#[derive(Clone, Debug, Default)]
struct Index {
    teams: HashMap<TeamName, usize>,
    keys: HashMap<String, Vec<usize>>,
    models: HashMap<ModelName, Vec<usize>>,
    paths: HashMap<String, usize>,
    sets: HashMap<SetName, usize>,
}

/// Why a head and its sections give no configuration.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
#[non_exhaustive]
pub enum SnapshotError {
    /// the head is no document: {message}
    Head {
        /// What the parser expected.
        message: String,
    },
    /// sections {hashes:?} of generation {generation} are not there
    MissingSections {
        /// The generation of the head.
        generation: Generation,
        /// The SHA-256 of each missing section.
        hashes: Vec<String>,
    },
    /// section {section}: line {line} is no document: {message}
    Section {
        /// The section's name.
        section: String,
        /// The line, counted from one.
        line: usize,
        /// What the parser expected.
        message: String,
    },
    /// generation {generation} is not valid: {errors}
    Invalid {
        /// The generation of the head.
        generation: Generation,
        /// The faults.
        errors: ConfigErrors,
    },
}

impl Error for SnapshotError {}

impl Snapshot {
    /// Generation zero, in which nothing is allowed.
    pub fn empty() -> Self {
        Self::default()
    }

    /// A snapshot of a configuration that comes from no platform, for tests and embedding.
    ///
    /// # Errors
    ///
    /// [`SnapshotError::Invalid`] when the configuration has faults.
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

    /// Puts a head and the texts of its sections together, in any order.
    ///
    /// Sections that are missing among the texts are taken from the previous snapshot.
    /// Texts that the head doesn't name are ignored, and so are unknown fields, which a
    /// later version of the system may have written.
    ///
    /// # Errors
    ///
    /// See [`SnapshotError`]. Nothing is in force then.
    pub fn assemble<T: AsRef<str>>(
        head_text: &str,
        section_texts: impl IntoIterator<Item = T>,
        previous: Option<&Self>,
    ) -> Result<Self, SnapshotError> {
        let head = Head::parse(head_text)?;
        let given = section_texts.into_iter().map(|text| {
            let text: Arc<str> = Arc::from(text.as_ref());
            (section_hash(&text), text)
        });
        let mut known: HashMap<String, Arc<str>> = given.collect();
        if let Some(previous) = previous {
            for (name, hash) in &previous.head.sections {
                known.entry(hash.clone()).or_insert_with(|| previous.texts[name].clone());
            }
        }
        let texts = choose_sections(&head, &known)?;
        let config = parse_sections(&texts)?;
        let invalid = |errors| SnapshotError::Invalid { generation: head.generation, errors };
        config.validate().map_err(invalid)?;
        let index = Index::new(&config);
        Ok(Self { head, head_text: Arc::from(head_text), texts, config, index })
    }

    /// The hashes of the sections that this head names and the snapshot doesn't have.
    pub fn missing_sections<'a>(&self, head: &'a Head) -> Vec<&'a str> {
        let has = |hash: &&str| self.head.sections.values().any(|known| known == hash);
        head.sections.values().map(String::as_str).filter(|hash| !has(hash)).collect()
    }

    /// The number of the head. It only ever rises.
    pub fn generation(&self) -> Generation {
        self.head.generation
    }

    /// The head.
    pub fn head(&self) -> &Head {
        &self.head
    }

    /// The text of the head.
    pub fn head_text(&self) -> &str {
        &self.head_text
    }

    /// The texts of the sections, by section name.
    pub fn sections(&self) -> impl Iterator<Item = (&str, &str)> {
        self.texts.iter().map(|(name, text)| (name.as_str(), &**text))
    }

    /// The objects.
    pub fn config(&self) -> &Config {
        &self.config
    }

    /// The team with this name.
    pub fn team(&self, name: &TeamName) -> Option<&Team> {
        self.index.teams.get(name).map(|&position| &self.config.teams[position])
    }

    /// The key with this text, if it is granted.
    ///
    /// The time taken tells at most the leading digits of the text's SHA-256.
    pub fn authenticate(&self, key_text: &str) -> Option<&Key> {
        let digest = hex(&Sha256::digest(key_text.as_bytes()));
        let positions = self.index.keys.get(&digest[..INDEX_DIGITS])?;
        let mut keys = positions.iter().map(|&position| &self.config.keys[position]);
        keys.find(|key| bool::from(key.sha256.as_bytes().ct_eq(digest.as_bytes())))
    }

    /// The route to a model that a caller may use. `None` is a caller without a key.
    pub fn route_for_model(&self, model: &ModelName, caller: Option<&TeamName>) -> Option<&Route> {
        self.routes_for_model(model).find(|route| route.admits(caller))
    }

    /// All routes to a model, for telling a caller without access from an unknown model.
    pub fn routes_for_model(&self, model: &ModelName) -> impl Iterator<Item = &Route> {
        let positions = self.index.models.get(model).into_iter().flatten();
        positions.map(|&position| &self.config.routes[position])
    }

    /// The route to a plain service with the longest prefix of this path.
    ///
    /// A prefix ends where a segment ends: `/notices` serves `/notices/7`, not `/noticesboard`.
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

    /// The model and version that the routes ask of a set, if they agree on one.
    pub fn weights_of(&self, set: &SetName) -> Option<(&ModelName, &WeightsVersion)> {
        let routes = self.config.routes.iter().filter(|route| route.sets.contains(set));
        let mut wanted = routes.filter_map(|route| match &route.target {
            RouteTarget::Model { model, version, .. } => Some((model, version)),
            RouteTarget::Service { .. } => None,
        });
        let first = wanted.next()?;
        wanted.all(|other| other == first).then_some(first)
    }

    /// The set with this name.
    pub fn set(&self, name: &SetName) -> Option<&BackendSet> {
        self.index.sets.get(name).map(|&position| &self.config.sets[position])
    }
}

impl Head {
    /// Parses the text of a head.
    ///
    /// # Errors
    ///
    /// [`SnapshotError::Head`].
    pub fn parse(text: &str) -> Result<Self, SnapshotError> {
        serde_json::from_str(text)
            .map_err(|error| SnapshotError::Head { message: error.to_string() })
    }

    /// The text of the head, on one line.
    ///
    /// # Panics
    ///
    /// Never: a head has text keys.
    pub fn to_text(&self) -> String {
        serde_json::to_string(self).expect("a head has text keys")
    }
}

fn choose_sections(
    head: &Head,
    known: &HashMap<String, Arc<str>>,
) -> Result<BTreeMap<String, Arc<str>>, SnapshotError> {
    let mut texts = BTreeMap::new();
    let mut missing = Vec::new();
    for (name, hash) in &head.sections {
        match known.get(hash) {
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

/// Objects of a kind that a later version of the system added are passed over.
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
