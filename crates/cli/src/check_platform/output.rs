//! Renders findings for people and for scripts.

use serde_json::{Value, json};

use super::{Finding, Severity, arguments::Format};

/// Returns the output.
pub(super) fn render(findings: &[Finding], format: Format) -> String {
    match format {
        Format::Text => findings.iter().map(|finding| format!("{}\n", line(finding))).collect(),
        Format::Json => {
            let findings: Vec<Value> = findings.iter().map(value).collect();
            format!("{:#}\n", json!({ "findings": findings }))
        }
    }
}

/// Returns the number of findings of each severity.
pub(super) fn summary(findings: &[Finding]) -> String {
    let count = |severity: Severity| {
        let count = findings.iter().filter(|finding| finding.severity == severity).count();
        let plural = if count == 1 { "" } else { "s" };
        format!("{count} {}{plural}", severity.name())
    };
    [Severity::Error, Severity::Warning, Severity::Change].map(count).join(", ")
}

fn line(finding: &Finding) -> String {
    let mut line = format!("{} {}: ", finding.severity.name(), finding.entry);
    match (&finding.field, &finding.found) {
        (Some(field), Some(found)) => line += &format!("{field} = {found}: "),
        (Some(field), None) => line += &format!("{field}: "),
        (None, _) => {}
    }
    line += &finding.message;
    if let Some(allowed) = &finding.allowed {
        line += &format!("; allowed is {allowed}");
    }
    // Names come from the document; a control character would break the line.
    line.replace(char::is_control, "\u{fffd}")
}

fn value(finding: &Finding) -> Value {
    let Finding { severity, entry, field, found, allowed, message } = finding;
    json!({
        "severity": severity.name(),
        "entry": entry,
        "field": field,
        "found": found,
        "allowed": allowed,
        "message": message,
    })
}
