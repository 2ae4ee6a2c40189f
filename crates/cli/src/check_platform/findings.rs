//! What the checks report.

use std::fmt::Display;

use samphirespread_adapter::configuration_check::{Fault, Field};

/// How severe a finding is. The most severe one comes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Severity {
    /// Requests would be refused, or an entry or a limit would have no effect.
    Error,
    /// The configuration works, but perhaps not as intended.
    Warning,
    /// A difference from the configuration in force.
    Change,
}

impl Severity {
    pub(super) fn name(self) -> &'static str {
        match self {
            Self::Error => "error",
            Self::Warning => "warning",
            Self::Change => "change",
        }
    }
}

/// One finding.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Finding {
    pub(super) severity: Severity,
    /// The entry, for example `route lookup`.
    pub(super) entry: String,
    /// The platform's name of the field, unless the finding is on the whole entry.
    pub(super) field: Option<String>,
    pub(super) found: Option<String>,
    pub(super) allowed: Option<String>,
    pub(super) message: String,
}

impl Finding {
    pub(super) fn new(
        severity: Severity,
        entry: impl Into<String>,
        message: impl Into<String>,
    ) -> Self {
        let (entry, message) = (entry.into(), message.into());
        Self { severity, entry, field: None, found: None, allowed: None, message }
    }

    pub(super) fn field(self, field: Field, found: impl Display) -> Self {
        let (field, found) = (Some(field.name().to_owned()), Some(found.to_string()));
        Self { field, found, ..self }
    }

    pub(super) fn allowed(self, allowed: impl Into<String>) -> Self {
        Self { allowed: Some(allowed.into()), ..self }
    }
}

impl From<Fault> for Finding {
    fn from(fault: Fault) -> Self {
        let Fault { entry, field, found, allowed, message } = fault;
        let unless_empty = |text: String| (!text.is_empty()).then_some(text);
        Self {
            severity: Severity::Error,
            entry,
            field: unless_empty(field),
            found: unless_empty(found),
            allowed: unless_empty(allowed),
            message,
        }
    }
}

pub(super) fn has_errors(findings: &[Finding]) -> bool {
    findings.iter().any(|finding| finding.severity == Severity::Error)
}
