//! Checks the fields of a JSON document and their types, so that every error names its field.

use serde_json::{Map, Value};

use crate::{error::ConfigError, validate::HIDDEN};

/// A function that checks the fields of one JSON object.
type CheckFields = fn(&mut Fields<'_>);

const KINDS: &str = "one of team, key, route, set";

/// Adds an error for every field that is missing, unknown or of the wrong type.
pub(crate) fn check_fields(
    origin: &str,
    number: usize,
    value: &Value,
    errors: &mut Vec<ConfigError>,
) {
    let location = format!("{origin}: document {number}");
    let Some(map) = value.as_object() else {
        let message = "expected a JSON object".to_owned();
        errors.push(ConfigError::Syntax { origin: origin.to_owned(), number, message });
        return;
    };
    let kind = map.get("kind").and_then(Value::as_str).unwrap_or_default();
    let check_kind: CheckFields = match kind {
        "team" => team,
        "key" => key,
        "route" => route,
        "set" => set,
        _ => {
            errors.push(kind_error(location, map));
            return;
        }
    };
    let name_field = if kind == "key" { "id" } else { "name" };
    let object = match map.get(name_field).and_then(Value::as_str) {
        Some(name) => format!("{kind}/{name}"),
        None => format!("{location} ({kind})"),
    };
    let mut fields = Fields { object: &object, path: "", map, known: vec!["kind"], errors };
    check_kind(&mut fields);
    fields.report_unknown();
}

fn kind_error(object: String, map: &Map<String, Value>) -> ConfigError {
    let (field, allowed) = ("kind".to_owned(), KINDS.to_owned());
    match map.get("kind") {
        Some(value) => ConfigError::Invalid { object, field, value: value.to_string(), allowed },
        None => ConfigError::Missing { object, field, allowed },
    }
}

fn team(fields: &mut Fields<'_>) {
    fields.require_text("name");
    fields.require_number("rate_tokens_per_s", u64::MAX);
    fields.require_number("burst_tokens", u64::MAX);
}

fn key(fields: &mut Fields<'_>) {
    fields.require_text("id");
    fields.require_text("team");
    fields.require_text("sha256");
}

fn route(fields: &mut Fields<'_>) {
    fields.require_text("name");
    fields.require_one_of("target", &[("model", model), ("service", service)]);
    fields.require_one_of("access", &[("open", team_name), ("keyed", team_names)]);
    fields.require_bool("idempotent");
    fields.require_number("priority", u64::from(u8::MAX));
    fields.require_text_list("sets");
}

fn model(fields: &mut Fields<'_>) {
    fields.check_nested(|fields| {
        fields.require_text("model");
        fields.require_text("version");
        fields.require_number("max_output_tokens", u64::from(u32::MAX));
    });
}

fn service(fields: &mut Fields<'_>) {
    fields.check_nested(|fields| {
        fields.require_text("path_prefix");
        fields.require_number("cost_tokens", u64::MAX);
    });
}

fn team_name(fields: &mut Fields<'_>) {
    fields.require_text("open");
}

fn team_names(fields: &mut Fields<'_>) {
    fields.require_text_list("keyed");
}

fn set(fields: &mut Fields<'_>) {
    fields.require_text("name");
    fields.require_number("block_bytes", u64::from(u32::MAX));
    fields.require_bool("checks_fencing");
}

/// The fields of one JSON object, the known ones among them, and the errors found so far.
struct Fields<'a> {
    object: &'a str,
    path: &'a str,
    map: &'a Map<String, Value>,
    known: Vec<&'static str>,
    errors: &'a mut Vec<ConfigError>,
}

impl Fields<'_> {
    fn require_text(&mut self, name: &'static str) {
        self.require(name, "a text", Value::is_string);
    }

    fn require_bool(&mut self, name: &'static str) {
        self.require(name, "true or false", Value::is_boolean);
    }

    fn require_number(&mut self, name: &'static str, max: u64) {
        let allowed = format!("a whole number from 0 to {max}");
        self.require(name, &allowed, |value| value.as_u64().is_some_and(|number| number <= max));
    }

    fn require_text_list(&mut self, name: &'static str) {
        let is_text_list = |value: &Value| {
            value.as_array().is_some_and(|items| items.iter().all(Value::is_string))
        };
        self.require(name, "a list of texts", is_text_list);
    }

    /// Requires an object with exactly one field, whose name selects the check of that object.
    fn require_one_of(&mut self, name: &'static str, choices: &[(&'static str, CheckFields)]) {
        let names: Vec<&str> = choices.iter().map(|(name, _)| *name).collect();
        let allowed = format!("an object with one field, which is {}", names.join(" or "));
        let chosen_index = |value: &Value| {
            let map = value.as_object().filter(|map| map.len() == 1)?;
            choices.iter().position(|(name, _)| map.contains_key(*name))
        };
        self.require(name, &allowed, |value| chosen_index(value).is_some());
        let Some(value) = self.map.get(name) else { return };
        let (Some(index), Some(map)) = (chosen_index(value), value.as_object()) else { return };
        let path = self.field_path(name);
        choices[index].1(&mut Fields {
            object: self.object,
            path: &path,
            map,
            known: Vec::new(),
            errors: self.errors,
        });
    }

    /// Requires each field to be an object and checks the fields of that object.
    fn check_nested(&mut self, check: CheckFields) {
        for (name, value) in self.map {
            let path = self.field_path(name);
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
            fields.report_unknown();
        }
    }

    fn require(&mut self, name: &'static str, allowed: &str, is_valid: impl Fn(&Value) -> bool) {
        self.known.push(name);
        let (object, field) = (self.object.to_owned(), self.field_path(name));
        let allowed = allowed.to_owned();
        match self.map.get(name) {
            Some(value) if is_valid(value) => {}
            Some(value) => {
                let hidden = name == "sha256";
                let value = if hidden { HIDDEN.to_owned() } else { value.to_string() };
                self.errors.push(ConfigError::Invalid { object, field, value, allowed });
            }
            None => self.errors.push(ConfigError::Missing { object, field, allowed }),
        }
    }

    fn report_unknown(&mut self) {
        for name in self.map.keys().filter(|name| !self.known.contains(&name.as_str())) {
            self.errors.push(ConfigError::UnknownField {
                object: self.object.to_owned(),
                field: self.field_path(name),
                allowed: self.known.join(", "),
            });
        }
    }

    fn field_path(&self, name: &str) -> String {
        if self.path.is_empty() { name.to_owned() } else { format!("{}.{name}", self.path) }
    }
}
