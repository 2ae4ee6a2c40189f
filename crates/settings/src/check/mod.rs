//! Checks a text against a schema.

use std::{collections::HashMap, str::FromStr};

use ini::{Ini, ParseOption};

use crate::{
    error::{SettingsError, SettingsErrors},
    schema::{KeySpec, Preset, Schema, SectionSpec, items},
};

/// Shown in place of the value of a secret.
pub(crate) const HIDDEN: &str = "(hidden)";

/// The checked values of a file.
#[derive(Debug)]
pub(crate) struct Values {
    schema: Schema,
    found: HashMap<(&'static str, &'static str), Found>,
    present: Vec<&'static str>,
}

#[derive(Debug)]
struct Found {
    text: String,
    line: usize,
}

impl Values {
    /// Whether the file has the section.
    pub(crate) fn has(&self, section: &str) -> bool {
        self.present.contains(&section)
    }

    /// The value in force, which was checked.
    pub(crate) fn text(&self, section: &'static str, key: &'static str) -> &str {
        if let Some(found) = self.found.get(&(section, key)) {
            return &found.text;
        }
        let spec = self.schema.iter().find(|spec| spec.name == section);
        let key = spec.and_then(|spec| spec.key(key)).expect("the schema has the key");
        key.preset.text()
    }

    /// The items in force of a list.
    pub(crate) fn list<T: FromStr>(&self, section: &'static str, key: &'static str) -> Vec<T> {
        let parse = |item: &str| match item.parse() {
            Ok(value) => value,
            Err(_) => panic!("[{section}] {key} was checked"),
        };
        items(self.text(section, key)).map(parse).collect()
    }

    /// The value in force as a number, address or the like.
    pub(crate) fn get<T: FromStr>(&self, section: &'static str, key: &'static str) -> T {
        match self.text(section, key).parse() {
            Ok(value) => value,
            Err(_) => panic!("[{section}] {key} was checked"),
        }
    }
}

/// Reads the text and reports all of its faults.
///
/// Faults of the syntax are reported alone, since they leave open which section a key is in.
pub(crate) fn check(schema: Schema, text: &str) -> Result<Values, SettingsErrors> {
    let lines = scan(text)?;
    let ini = parse(text)?;
    let mut errors = Vec::new();
    check_names(schema, &lines, &mut errors);
    let mut values = Values { schema, found: HashMap::new(), present: present(schema, &lines) };
    for section in schema {
        check_section(section, &ini, &lines, &mut values, &mut errors);
    }
    if errors.is_empty() {
        return Ok(values);
    }
    errors.sort_by_key(line_of);
    Err(SettingsErrors::new(errors))
}

/// A line that opens a section or sets a key.
struct Line {
    number: usize,
    section: String,
    key: Option<String>,
}

/// Finds the lines of sections and keys, which the INI library doesn't tell.
fn scan(text: &str) -> Result<Vec<Line>, SettingsErrors> {
    let mut lines = Vec::new();
    let mut errors = Vec::new();
    let mut section = None;
    for (index, line) in text.lines().enumerate() {
        let line = line.trim();
        if line.is_empty() || line.starts_with([';', '#']) {
            continue;
        }
        match scan_line(index + 1, line, &mut section) {
            Ok(line) => lines.push(line),
            Err(error) => errors.push(error),
        }
    }
    if errors.is_empty() { Ok(lines) } else { Err(SettingsErrors::new(errors)) }
}

fn scan_line(
    number: usize,
    line: &str,
    section: &mut Option<String>,
) -> Result<Line, SettingsError> {
    let fault = |message: &str| SettingsError::Syntax { line: number, message: message.to_owned() };
    if let Some(name) = line.strip_prefix('[').and_then(|rest| rest.strip_suffix(']')) {
        let name = name.trim().to_owned();
        *section = Some(name.clone());
        return Ok(Line { number, section: name, key: None });
    }
    let end = line.find(['=', ':']).filter(|&end| end > 0 && !line.starts_with('['));
    let Some(end) = end else {
        return Err(fault("expected [section], key = value or a comment"));
    };
    let Some(section) = section.clone() else {
        return Err(fault("expected a [section] before the first key"));
    };
    Ok(Line { number, section, key: Some(line[..end].trim().to_owned()) })
}

fn parse(text: &str) -> Result<Ini, SettingsErrors> {
    let option = ParseOption {
        enabled_quote: false,
        enabled_escape: false,
        enabled_indented_mutiline_value: false,
        enabled_preserve_key_leading_whitespace: false,
    };
    Ini::load_from_str_opt(text, option).map_err(|error| {
        let message = error.msg.into_owned();
        SettingsErrors::new(vec![SettingsError::Syntax { line: error.line, message }])
    })
}

fn present(schema: Schema, lines: &[Line]) -> Vec<&'static str> {
    let opened = |name: &str| lines.iter().any(|line| line.section == name);
    schema.iter().map(|spec| spec.name).filter(|name| opened(name)).collect()
}

fn check_names(schema: Schema, lines: &[Line], errors: &mut Vec<SettingsError>) {
    let mut seen = HashMap::new();
    for line in lines {
        let Some(spec) = schema.iter().find(|spec| spec.name == line.section) else {
            if line.key.is_none() {
                errors.push(unknown_section(schema, line));
            }
            continue;
        };
        let Some(key) = &line.key else { continue };
        if spec.key(key).is_none() {
            errors.push(unknown_key(spec, line, key));
            continue;
        }
        let first = *seen.entry((spec.name, key)).or_insert(line.number);
        if first != line.number {
            let (section, key) = (line.section.clone(), key.clone());
            errors.push(SettingsError::Repeated { line: line.number, first, section, key });
        }
    }
}

fn unknown_section(schema: Schema, line: &Line) -> SettingsError {
    let names: Vec<&str> = schema.iter().map(|spec| spec.name).collect();
    SettingsError::UnknownSection {
        line: line.number,
        section: line.section.clone(),
        allowed: names.join(", "),
    }
}

fn unknown_key(spec: &SectionSpec, line: &Line, key: &str) -> SettingsError {
    let names: Vec<&str> = spec.keys.iter().map(|key| key.name).collect();
    SettingsError::UnknownKey {
        line: line.number,
        section: line.section.clone(),
        key: key.to_owned(),
        allowed: names.join(", "),
    }
}

fn check_section(
    section: &'static SectionSpec,
    ini: &Ini,
    lines: &[Line],
    values: &mut Values,
    errors: &mut Vec<SettingsError>,
) {
    if section.optional && !values.has(section.name) {
        return;
    }
    for key in section.keys {
        match find(section, key, ini, lines) {
            Some(found) if key.kind.allows(&found.text) => {
                values.found.insert((section.name, key.name), found);
            }
            Some(found) => errors.push(invalid(section, key, &found)),
            None => {
                if let Preset::Required(_) = key.preset {
                    errors.push(missing(section, key));
                }
            }
        }
    }
}

fn find(section: &SectionSpec, key: &KeySpec, ini: &Ini, lines: &[Line]) -> Option<Found> {
    let properties = ini.section_all(Some(section.name));
    let text = properties.filter_map(|properties| properties.get(key.name)).next()?;
    let same = |line: &&Line| line.section == section.name && line.key.as_deref() == Some(key.name);
    let line = lines.iter().find(same).map_or(0, |line| line.number);
    Some(Found { text: text.trim().to_owned(), line })
}

fn invalid(section: &SectionSpec, key: &KeySpec, found: &Found) -> SettingsError {
    let shown = if key.kind.is_secret() { HIDDEN } else { &found.text };
    SettingsError::Invalid {
        line: found.line,
        section: section.name.to_owned(),
        key: key.name.to_owned(),
        value: shown.to_owned(),
        allowed: key.kind.to_string(),
    }
}

fn missing(section: &SectionSpec, key: &KeySpec) -> SettingsError {
    SettingsError::Missing {
        section: section.name.to_owned(),
        key: key.name.to_owned(),
        allowed: key.kind.to_string(),
    }
}

/// Faults without a line come last.
fn line_of(error: &SettingsError) -> usize {
    match error {
        SettingsError::Syntax { line, .. }
        | SettingsError::UnknownSection { line, .. }
        | SettingsError::UnknownKey { line, .. }
        | SettingsError::Repeated { line, .. }
        | SettingsError::Invalid { line, .. } => *line,
        SettingsError::Missing { .. } | SettingsError::Conflict { .. } => usize::MAX,
    }
}

/// Collects conflicts between values that are valid each by itself.
pub(crate) struct Conflicts<'a> {
    values: &'a Values,
    errors: Vec<SettingsError>,
}

impl<'a> Conflicts<'a> {
    pub(crate) fn new(values: &'a Values) -> Self {
        Self { values, errors: Vec::new() }
    }

    /// Demands that a key is greater than another one.
    pub(crate) fn greater(
        mut self,
        (section, key): (&'static str, &'static str),
        (than_section, than_key): (&'static str, &'static str),
    ) -> Self {
        let than: u64 = self.values.get(than_section, than_key);
        if self.values.get::<u64>(section, key) <= than {
            self.errors.push(SettingsError::Conflict {
                section: section.to_owned(),
                key: key.to_owned(),
                value: self.values.text(section, key).to_owned(),
                allowed: format!("more than [{than_section}] {than_key}, which is {than}"),
            });
        }
        self
    }

    pub(crate) fn finish(self) -> Result<(), SettingsErrors> {
        if self.errors.is_empty() { Ok(()) } else { Err(SettingsErrors::new(self.errors)) }
    }
}
