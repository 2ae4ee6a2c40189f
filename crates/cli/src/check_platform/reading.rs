//! Reads the configuration to check and the one in force.

use std::{fs, net::SocketAddr, path::Path};

use samphirespread_adapter::{
    Document, DocumentState, Kind, Store, StoreError,
    configuration::{self, Decoded},
    configuration_check::{Field, document, faults},
    objects::CONFIGURATION_NAME,
};
use samphirespread_routing::model::Configuration;

use super::{Finding, Severity};

/// The time after which a call to the store fails; that of the other commands.
const CALL_TIMEOUT_MS: u64 = 2_000;

/// The configuration to check.
pub(super) struct Candidate {
    /// The entries that can be decoded, unless the whole is rejected.
    pub(super) configuration: Option<Configuration>,
    pub(super) findings: Vec<Finding>,
}

/// The configuration in force.
pub(super) enum InForce {
    /// There is nothing to compare with.
    NotAsked,
    /// It was read. Entries that can't be decoded are left out.
    Known { configuration: Configuration, findings: Vec<Finding> },
    /// It can't be decoded.
    Unreadable { message: String },
    /// The store can't be read.
    Unreachable { address: SocketAddr, error: StoreError },
}

impl InForce {
    /// Returns the findings on the configuration in force itself.
    pub(super) fn into_findings(self) -> Vec<Finding> {
        let (entry, message) = match self {
            Self::NotAsked => return Vec::new(),
            Self::Known { findings, .. } => return findings,
            Self::Unreadable { message } => ("configuration in force".to_owned(), message),
            Self::Unreachable { address, error } => (format!("store {address}"), error.to_string()),
        };
        let message = format!("{message}; there is nothing to compare with");
        vec![Finding::new(Severity::Warning, entry, message)]
    }
}

/// Reads a whole file. The error names the path.
pub(super) fn read_file(path: &Path) -> Result<Vec<u8>, String> {
    fs::read(path).map_err(|error| format!("{}: {error}", path.display()))
}

/// Decodes the configuration to check, with one finding for each thing that the decoder rejects.
pub(super) fn candidate(text: &[u8]) -> Candidate {
    let document = match document(text) {
        Ok(document) => document,
        Err(error) => {
            let allowed = "an object with metadata and spec, or the spec alone";
            let finding = Finding::new(Severity::Error, "document", error.to_string());
            return Candidate { configuration: None, findings: vec![finding.allowed(allowed)] };
        }
    };
    let mut findings: Vec<Finding> = faults(document.spec).into_iter().map(Finding::from).collect();
    if let Some(name) = document.name.filter(|name| name != CONFIGURATION_NAME) {
        let message = "routers read no object of another name";
        let finding = Finding::new(Severity::Error, "document", message);
        findings.push(finding.field(Field::ObjectName, name).allowed(CONFIGURATION_NAME));
    }
    let decoded = configuration::decode(document.spec).ok();
    Candidate { configuration: decoded.map(|decoded| decoded.configuration), findings }
}

/// Decodes the document with the configuration in force.
pub(super) fn in_force(text: &[u8]) -> InForce {
    match document(text) {
        Ok(document) => in_force_spec(document.spec),
        Err(error) => InForce::Unreadable { message: error.to_string() },
    }
}

/// Reads the configuration in force from the store, as the gateway does.
pub(super) async fn in_force_in_store(address: SocketAddr) -> InForce {
    let store = Store::new(address, CALL_TIMEOUT_MS);
    match store.document(Kind::Configuration, CONFIGURATION_NAME, None).await {
        Ok(read) => match read.state {
            DocumentState::Present(Document { spec, .. }) => in_force_spec(&spec),
            DocumentState::Absent | DocumentState::Unchanged => {
                let message = "the store holds no configuration".to_owned();
                InForce::Unreadable { message }
            }
        },
        Err(error) => InForce::Unreachable { address, error },
    }
}

fn in_force_spec(spec: &[u8]) -> InForce {
    // The faults are counted and not quoted: the operator has the text of the other document.
    match configuration::decode(spec) {
        Ok(Decoded { configuration, unreadable }) => {
            let count = unreadable.len();
            let message = format!("routers leave out {count} entries that can't be decoded");
            let finding = Finding::new(Severity::Warning, "configuration in force", message);
            let findings = if count == 0 { Vec::new() } else { vec![finding] };
            InForce::Known { configuration, findings }
        }
        Err(_) => InForce::Unreadable { message: "it can't be decoded".to_owned() },
    }
}
