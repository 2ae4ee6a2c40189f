//! Prints a schema as an example settings file with comments.

use std::fmt::Write;

use crate::schema::{KeySpec, Preset, Schema, SectionSpec};

/// Returns a settings file that shows every key. Optional sections are commented out.
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
    let comment_prefix = if section.optional { ";" } else { "" };
    let optional_note = if section.optional { " Optional." } else { "" };
    let _ = writeln!(text, "; {}{optional_note}", section.doc);
    let _ = writeln!(text, "{comment_prefix}[{}]", section.name);
    for key in section.keys {
        write_key(text, key, comment_prefix);
    }
}

fn write_key(text: &mut String, key: &KeySpec, comment_prefix: &str) {
    let preset_label = match key.preset {
        Preset::Default(_) => "Default",
        Preset::Required(_) => "Required, for example",
    };
    let _ = writeln!(text, "; {} Allowed: {}. {preset_label}:", key.doc, key.kind);
    let _ = writeln!(text, "{comment_prefix}{} = {}", key.name, key.preset.text());
}
