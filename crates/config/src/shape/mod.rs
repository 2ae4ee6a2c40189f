//! Checks the fields of a document and their types, so that every fault names its field.

use serde_json::{Map, Value};

use crate::{error::ConfigError, validate::HIDDEN};

/// Checks the fields of one object.
type CheckFields = fn(&mut Fields<'_>);

const KINDS: &str = "one of team, key, route, set";

/// Reports every field that is missing, unknown or of the wrong type.
pub(crate) fn check(origin: &str, number: usize, value: &Value, errors: &mut Vec<ConfigError>) {
    let place = format!("{origin}: document {number}");
    let Some(map) = value.as_object() else {
        let message = "expected a JSON object".to_owned();
        errors.push(ConfigError::Syntax { origin: origin.to_owned(), number, message });
        return;
    };
    let kind = map.get("kind").and_then(Value::as_str).unwrap_or_default();
    let check_fields: CheckFields = match kind {
        "team" => team,
        "key" => key,
        "route" => route,
        "set" => set,
        _ => {
            errors.push(kind_fault(place, map));
            return;
        }
    };
    let name_field = if kind == "key" { "id" } else { "name" };
    let object = match map.get(name_field).and_then(Value::as_str) {
        Some(name) => format!("{kind}/{name}"),
        None => format!("{place} ({kind})"),
    };
    let mut fields = Fields { object: &object, path: "", map, known: vec!["kind"], errors };
    check_fields(&mut fields);
    fields.refuse_unknown();
}

fn kind_fault(object: String, map: &Map<String, Value>) -> ConfigError {
    let (field, allowed) = ("kind".to_owned(), KINDS.to_owned());
    match map.get("kind") {
        Some(value) => ConfigError::Invalid { object, field, value: value.to_string(), allowed },
        None => ConfigError::Missing { object, field, allowed },
    }
}

fn team(fields: &mut Fields<'_>) {
    fields.text("name");
    fields.number("rate_tokens_per_s", u64::MAX);
    fields.number("burst_tokens", u64::MAX);
}

fn key(fields: &mut Fields<'_>) {
    fields.text("id");
    fields.text("team");
    fields.text("sha256");
}

fn route(fields: &mut Fields<'_>) {
    fields.text("name");
    fields.choice("target", &[("model", model), ("service", service)]);
    fields.choice("access", &[("open", team_name), ("keyed", team_names)]);
    fields.flag("idempotent");
    fields.number("priority", u64::from(u8::MAX));
    fields.texts("sets");
}

fn model(fields: &mut Fields<'_>) {
    fields.each(|fields| {
        fields.text("model");
        fields.text("version");
        fields.number("max_output_tokens", u64::from(u32::MAX));
    });
}

fn service(fields: &mut Fields<'_>) {
    fields.each(|fields| {
        fields.text("path_prefix");
        fields.number("cost_tokens", u64::MAX);
    });
}

fn team_name(fields: &mut Fields<'_>) {
    fields.text("open");
}

fn team_names(fields: &mut Fields<'_>) {
    fields.texts("keyed");
}

fn set(fields: &mut Fields<'_>) {
    fields.text("name");
    fields.number("block_bytes", u64::from(u32::MAX));
    fields.flag("checks_fencing");
}

/// The fields of one JSON object.
struct Fields<'a> {
    object: &'a str,
    path: &'a str,
    map: &'a Map<String, Value>,
    known: Vec<&'static str>,
    errors: &'a mut Vec<ConfigError>,
}

impl Fields<'_> {
    fn text(&mut self, name: &'static str) {
        self.require(name, "a text", Value::is_string);
    }

    fn flag(&mut self, name: &'static str) {
        self.require(name, "true or false", Value::is_boolean);
    }

    fn number(&mut self, name: &'static str, max: u64) {
        let allowed = format!("a whole number from 0 to {max}");
        self.require(name, &allowed, |value| value.as_u64().is_some_and(|number| number <= max));
    }

    fn texts(&mut self, name: &'static str) {
        let is_texts = |value: &Value| {
            value.as_array().is_some_and(|items| items.iter().all(Value::is_string))
        };
        self.require(name, "a list of texts", is_texts);
    }

    /// An object with exactly one field, whose name decides what is in it.
    fn choice(&mut self, name: &'static str, choices: &[(&'static str, CheckFields)]) {
        let words: Vec<&str> = choices.iter().map(|(word, _)| *word).collect();
        let allowed = format!("an object with one field, which is {}", words.join(" or "));
        let chosen = |value: &Value| {
            let map = value.as_object().filter(|map| map.len() == 1)?;
            choices.iter().position(|(word, _)| map.contains_key(*word))
        };
        self.require(name, &allowed, |value| chosen(value).is_some());
        let Some(value) = self.map.get(name) else { return };
        let (Some(index), Some(map)) = (chosen(value), value.as_object()) else { return };
        let path = self.join(name);
        choices[index].1(&mut Fields {
            object: self.object,
            path: &path,
            map,
            known: Vec::new(),
            errors: self.errors,
        });
    }

    /// Checks the fields of the objects in this one.
    fn each(&mut self, check: CheckFields) {
        for (name, value) in self.map {
            let path = self.join(name);
            let Some(map) = value.as_object() else {
                let allowed = "an object".to_owned();
                let (object, value) = (self.object.to_owned(), value.to_string());
                self.errors.push(ConfigError::Invalid { object, field: path, value, allowed });
                continue;
            };
            let mut fields = Fields {
                object: self.object,
                path: &path,
                map,
                known: Vec::new(),
                errors: self.errors,
            };
            check(&mut fields);
            fields.refuse_unknown();
        }
    }

    fn require(&mut self, name: &'static str, allowed: &str, allows: impl Fn(&Value) -> bool) {
        self.known.push(name);
        let (object, field) = (self.object.to_owned(), self.join(name));
        let allowed = allowed.to_owned();
        match self.map.get(name) {
            Some(value) if allows(value) => {}
            Some(value) => {
                let hidden = name == "sha256";
                let value = if hidden { HIDDEN.to_owned() } else { value.to_string() };
                self.errors.push(ConfigError::Invalid { object, field, value, allowed });
            }
            None => self.errors.push(ConfigError::Missing { object, field, allowed }),
        }
    }

    fn refuse_unknown(&mut self) {
        for name in self.map.keys().filter(|name| !self.known.contains(&name.as_str())) {
            self.errors.push(ConfigError::UnknownField {
                object: self.object.to_owned(),
                field: self.join(name),
                allowed: self.known.join(", "),
            });
        }
    }

    fn join(&self, name: &str) -> String {
        if self.path.is_empty() { name.to_owned() } else { format!("{}.{name}", self.path) }
    }
}
