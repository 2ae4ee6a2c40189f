//! Prints a schema as a commented file.

use std::fmt::Write;

use crate::schema::{KeySpec, Preset, Schema, SectionSpec};

/// A file that shows every key. Optional sections are commented out.
pub(crate) fn example(schema: Schema) -> String {
    let mut text = String::new();
    for (index, section) in schema.iter().enumerate() {
        if index > 0 {
            text.push('\n');
        }
        write_section(&mut text, section);
    }
    text
}

fn write_section(text: &mut String, section: &SectionSpec) {
    let mark = if section.optional { ";" } else { "" };
    let note = if section.optional { " Optional." } else { "" };
    let _ = writeln!(text, "; {}{note}", section.doc);
    let _ = writeln!(text, "{mark}[{}]", section.name);
    for key in section.keys {
        write_key(text, key, mark);
    }
}

fn write_key(text: &mut String, key: &KeySpec, mark: &str) {
    let need = match key.preset {
        Preset::Default(_) => "Default",
        Preset::Required(_) => "Required, for example",
    };
    let _ = writeln!(text, "; {} Allowed: {}. {need}:", key.doc, key.kind);
    let _ = writeln!(text, "{mark}{} = {}", key.name, key.preset.text());
}
