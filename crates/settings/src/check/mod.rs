//! Checks the text of a settings file against a schema and collects all errors.

use std::{collections::HashMap, str::FromStr};

use ini::{Ini, ParseOption};

use crate::{
    error::{SettingsError, SettingsErrors},
    schema::{KeySpec, Preset, Schema, SectionSpec, list_items},
};

/// The text that is printed in place of a secret.
pub(crate) const SECRET_PLACEHOLDER: &str = "(hidden)";

/// The checked values of a settings file, with the defaults of the keys that it leaves out.
#[derive(Debug)]
pub(crate) struct Values {
    schema: Schema,
    file_values: HashMap<(&'static str, &'static str), FileValue>,
    present_sections: Vec<&'static str>,
}

#[derive(Debug)]
struct FileValue {
    text: String,
    line: usize,
}

impl Values {
    /// Returns whether the file contains the section.
    pub(crate) fn has_section(&self, section: &str) -> bool {
        self.present_sections.contains(&section)
    }

    /// Returns the checked text of a key: the value from the file, or else the default.
    pub(crate) fn text(&self, section: &'static str, key: &'static str) -> &str {
        if let Some(found) = self.file_values.get(&(section, key)) {
            return &found.text;
        }
        let spec = self.schema.iter().find(|spec| spec.name == section);
        let key = spec.and_then(|spec| spec.key(key)).expect("the schema has the key");
        key.preset.text()
    }

    /// Returns the parsed items of a list key.
    pub(crate) fn list<T: FromStr>(&self, section: &'static str, key: &'static str) -> Vec<T> {
        let parse = |item: &str| match item.parse() {
            Ok(value) => value,
            Err(_) => panic!("[{section}] {key} was checked"),
        };
        list_items(self.text(section, key)).map(parse).collect()
    }

    /// Returns the value of a key, parsed as a number, an address or another type.
    pub(crate) fn get<T: FromStr>(&self, section: &'static str, key: &'static str) -> T {
        match self.text(section, key).parse() {
            Ok(value) => value,
            Err(_) => panic!("[{section}] {key} was checked"),
        }
    }
}

/// Checks the text and returns its values, or all of its errors.
///
/// If there are syntax errors, only these are reported, because the section of a key is then
/// uncertain.
pub(crate) fn check(schema: Schema, text: &str) -> Result<Values, SettingsErrors> {
    let lines = scan_lines(text)?;
    let ini = parse_ini(text)?;
    let mut errors = Vec::new();
    check_section_and_key_names(schema, &lines, &mut errors);
    let mut values = Values {
        schema,
        file_values: HashMap::new(),
        present_sections: present_sections(schema, &lines),
    };
    for section in schema {
        check_section(section, &ini, &lines, &mut values, &mut errors);
    }
    if errors.is_empty() {
        return Ok(values);
    }
    errors.sort_by_key(sort_line);
    Err(SettingsErrors::new(errors))
}

/// A line that opens a section or sets a key.
struct Line {
    number: usize,
    section: String,
    key: Option<String>,
}

/// Finds the line numbers of sections and keys, which the INI library doesn't report.
fn scan_lines(text: &str) -> Result<Vec<Line>, SettingsErrors> {
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
    let syntax_error =
        |message: &str| SettingsError::Syntax { line: number, message: message.to_owned() };
    if let Some(name) = line.strip_prefix('[').and_then(|rest| rest.strip_suffix(']')) {
        let name = name.trim().to_owned();
        *section = Some(name.clone());
        return Ok(Line { number, section: name, key: None });
    }
    let separator = line.find(['=', ':']).filter(|&end| end > 0 && !line.starts_with('['));
    let Some(key_end) = separator else {
        return Err(syntax_error("expected [section], key = value or a comment"));
    };
    let Some(section) = section.clone() else {
        return Err(syntax_error("expected a [section] before the first key"));
    };
    Ok(Line { number, section, key: Some(line[..key_end].trim().to_owned()) })
}

fn parse_ini(text: &str) -> Result<Ini, SettingsErrors> {
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

fn present_sections(schema: Schema, lines: &[Line]) -> Vec<&'static str> {
    let is_present = |name: &str| lines.iter().any(|line| line.section == name);
    schema.iter().map(|spec| spec.name).filter(|name| is_present(name)).collect()
}

fn check_section_and_key_names(schema: Schema, lines: &[Line], errors: &mut Vec<SettingsError>) {
    let mut first_lines = HashMap::new();
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
        let first = *first_lines.entry((spec.name, key)).or_insert(line.number);
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
    if section.optional && !values.has_section(section.name) {
        return;
    }
    for key in section.keys {
        match find_value(section, key, ini, lines) {
            Some(found) if key.kind.allows(&found.text) => {
                values.file_values.insert((section.name, key.name), found);
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

fn find_value(
    section: &SectionSpec,
    key: &KeySpec,
    ini: &Ini,
    lines: &[Line],
) -> Option<FileValue> {
    let properties = ini.section_all(Some(section.name));
    let text = properties.filter_map(|properties| properties.get(key.name)).next()?;
    let sets_key =
        |line: &&Line| line.section == section.name && line.key.as_deref() == Some(key.name);
    let line = lines.iter().find(sets_key).map_or(0, |line| line.number);
    Some(FileValue { text: text.trim().to_owned(), line })
}

fn invalid(section: &SectionSpec, key: &KeySpec, found: &FileValue) -> SettingsError {
    let printed_value = if key.kind.is_secret() { SECRET_PLACEHOLDER } else { &found.text };
    SettingsError::Invalid {
        line: found.line,
        section: section.name.to_owned(),
        key: key.name.to_owned(),
        value: printed_value.to_owned(),
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

/// Returns the key by which errors are sorted. Errors without a line come last.
fn sort_line(error: &SettingsError) -> usize {
    match error {
        SettingsError::Syntax { line, .. }
        | SettingsError::UnknownSection { line, .. }
        | SettingsError::UnknownKey { line, .. }
        | SettingsError::Repeated { line, .. }
        | SettingsError::Invalid { line, .. } => *line,
        SettingsError::Missing { .. } | SettingsError::Conflict { .. } => usize::MAX,
    }
}

/// Collects conflicts between values that are valid on their own.
pub(crate) struct Conflicts<'a> {
    values: &'a Values,
    errors: Vec<SettingsError>,
}

impl<'a> Conflicts<'a> {
    pub(crate) fn new(values: &'a Values) -> Self {
        Self { values, errors: Vec::new() }
    }

    /// Adds an error unless the first key is greater than the second.
    pub(crate) fn require_greater(
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
