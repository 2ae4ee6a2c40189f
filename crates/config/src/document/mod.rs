//! Parses and prints the JSON documents of objects, one for each, in canonical form.

use std::fmt;

use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::{
    error::{ConfigError, ConfigErrors},
    model::{BackendSet, Config, Key, Route, Team},
    schema,
};

/// One object of a configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum Document {
    /// A customer.
    Team(Team),
    /// A caller's key.
    Key(Key),
    /// A model or plain service that callers may use.
    Route(Route),
    /// A set of backend servers.
    Set(BackendSet),
}

/// The kind of object that a document describes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ObjectKind {
    /// A customer.
    Team,
    /// A caller's key.
    Key,
    /// A model or plain service that callers may use.
    Route,
    /// A set of backend servers.
    Set,
}

impl ObjectKind {
    /// All kinds, in the order of documents.
    pub const ALL: [Self; 4] = [Self::Team, Self::Key, Self::Route, Self::Set];

    /// Returns the name of the kind in documents and on the command line.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Team => "team",
            Self::Key => "key",
            Self::Route => "route",
            Self::Set => "set",
        }
    }
}

/// Identifies one object of a configuration. Its text form is like `team/desk`.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ObjectName {
    /// The kind of the object.
    pub kind: ObjectKind,
    /// Its name, unique among the objects of its kind.
    pub name: String,
}

impl ObjectName {
    /// Parses the form `kind/name`; returns `None` if the kind is unknown or a part is missing.
    ///
    /// ```
    /// use samphirespread_config::{ObjectKind, ObjectName};
    ///
    /// let name = ObjectName::parse("key/desk-1").unwrap();
    ///
    /// assert_eq!(name.kind, ObjectKind::Key);
    /// assert_eq!(name.to_string(), "key/desk-1");
    /// ```
    pub fn parse(text: &str) -> Option<Self> {
        let (kind, name) = text.split_once('/')?;
        let kind = ObjectKind::ALL.into_iter().find(|known| known.as_str() == kind)?;
        (!name.is_empty()).then(|| Self { kind, name: name.to_owned() })
    }
}

impl fmt::Display for ObjectName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.kind.as_str(), self.name)
    }
}

impl Document {
    /// Returns the kind and name of the object.
    pub fn name(&self) -> ObjectName {
        let (kind, name) = match self {
            Self::Team(team) => (ObjectKind::Team, team.name.as_str()),
            Self::Key(key) => (ObjectKind::Key, key.id.as_str()),
            Self::Route(route) => (ObjectKind::Route, route.name.as_str()),
            Self::Set(set) => (ObjectKind::Set, set.name.as_str()),
        };
        ObjectName { kind, name: name.to_owned() }
    }

    /// Returns the document on one line without a newline, with sorted fields and no spaces.
    ///
    /// # Panics
    ///
    /// Never panics, because the maps in documents have string keys.
    pub fn to_text(&self) -> String {
        let value = serde_json::to_value(self).expect("maps in documents have string keys");
        let mut text = String::new();
        write_canonical(&value, &mut text);
        text
    }
}

fn write_canonical(value: &Value, text: &mut String) {
    match value {
        Value::Object(fields) => {
            let mut names: Vec<&String> = fields.keys().collect();
            names.sort();
            text.push('{');
            for (index, name) in names.into_iter().enumerate() {
                if index > 0 {
                    text.push(',');
                }
                text.push_str(&Value::from(name.as_str()).to_string());
                text.push(':');
                write_canonical(&fields[name], text);
            }
            text.push('}');
        }
        Value::Array(items) => {
            text.push('[');
            for (index, item) in items.iter().enumerate() {
                if index > 0 {
                    text.push(',');
                }
                write_canonical(item, text);
            }
            text.push(']');
        }
        scalar => text.push_str(&scalar.to_string()),
    }
}

/// Parses consecutive documents, each on one or several lines.
///
/// `origin` names the source of the text in errors.
///
/// # Errors
///
/// Returns all errors of all documents, each with its object, field and allowed values. After a
/// JSON syntax error, the rest of the text is not read. References between objects are checked
/// by [`Config::validate`].
pub fn parse_documents(origin: &str, text: &str) -> Result<Vec<Document>, ConfigErrors> {
    let mut documents = Vec::new();
    let mut errors = Vec::new();
    let values = serde_json::Deserializer::from_str(text).into_iter::<Value>();
    for (index, value) in values.enumerate() {
        let syntax_error = |message: String| ConfigError::Syntax {
            origin: origin.to_owned(),
            number: index + 1,
            message,
        };
        let value = match value {
            Ok(value) => value,
            Err(error) => {
                errors.push(syntax_error(error.to_string()));
                break;
            }
        };
        let errors_before = errors.len();
        schema::check_fields(origin, index + 1, &value, &mut errors);
        if errors.len() > errors_before {
            continue;
        }
        match serde_json::from_value(value) {
            Ok(document) => documents.push(document),
            Err(error) => errors.push(syntax_error(error.to_string())),
        }
    }
    ConfigErrors::result_from(errors).map(|()| documents)
}

impl Config {
    /// Returns the objects in canonical order: by kind, then by name.
    pub fn documents(&self) -> Vec<Document> {
        let teams = self.teams.iter().cloned().map(Document::Team);
        let keys = self.keys.iter().cloned().map(Document::Key);
        let routes = self.routes.iter().cloned().map(Document::Route);
        let sets = self.sets.iter().cloned().map(Document::Set);
        let mut documents: Vec<Document> = teams.chain(keys).chain(routes).chain(sets).collect();
        documents.sort_by_key(Document::name);
        documents
    }

    /// Creates a configuration from these objects and puts them into canonical order.
    pub fn from_documents(documents: impl IntoIterator<Item = Document>) -> Self {
        let mut documents: Vec<Document> = documents.into_iter().collect();
        documents.sort_by_key(Document::name);
        let mut config = Self::default();
        for document in documents {
            match document {
                Document::Team(team) => config.teams.push(team),
                Document::Key(key) => config.keys.push(key),
                Document::Route(route) => config.routes.push(route),
                Document::Set(set) => config.sets.push(set),
            }
        }
        config
    }

    /// Returns all documents, one per line.
    pub fn to_text(&self) -> String {
        let mut text = String::new();
        for document in self.documents() {
            text.push_str(&document.to_text());
            text.push('\n');
        }
        text
    }
}
