//! Checks a configuration of the users' platform before it is sent to the store.
//!
//! Each group of checks is a module that takes a decoded configuration and returns findings. Which
//! route, service and team serve a request is asked of [`Table`], as the gateway does.

mod arguments;
mod contradictory_limits;
mod differences;
mod findings;
mod output;
mod reading;
mod unreachable_entries;

use samphirespread_routing::table::Table;

pub(crate) use self::arguments::CheckPlatformArguments;
use self::{
    findings::{Finding, Severity, has_errors},
    reading::{Candidate, InForce},
};
use crate::{
    commands::{print, print_message},
    exit::Exit,
};

/// The number of names that a message lists.
const MAX_LISTED: usize = 10;

pub(crate) async fn run(arguments: &CheckPlatformArguments) -> Exit {
    let (text, in_force) = match read_files(arguments) {
        Ok(files) => files,
        Err(error) => {
            print_message(error);
            return Exit::Usage;
        }
    };
    let candidate = reading::candidate(&text);
    let in_force = match (in_force, arguments.store) {
        (Some(text), _) => reading::in_force(&text),
        (None, Some(address)) => reading::in_force_in_store(address).await,
        (None, None) => InForce::NotAsked,
    };
    let is_store_unreachable = matches!(in_force, InForce::Unreachable { .. });
    let findings = check(candidate, in_force);
    let printed = print(&output::render(&findings, arguments.format));
    print_message(output::summary(&findings));
    if printed != Exit::Done {
        return printed;
    }
    match (is_store_unreachable, has_errors(&findings)) {
        (true, _) => Exit::Unreachable,
        (false, true) => Exit::Refused,
        (false, false) => Exit::Done,
    }
}

/// Returns the texts of the configuration to check and of the one in force.
fn read_files(arguments: &CheckPlatformArguments) -> Result<(Vec<u8>, Option<Vec<u8>>), String> {
    let text = reading::read_file(&arguments.file)?;
    let in_force = arguments.in_force.as_deref().map(reading::read_file).transpose()?;
    Ok((text, in_force))
}

/// Returns all findings, the most severe ones first.
fn check(candidate: Candidate, in_force: InForce) -> Vec<Finding> {
    let Candidate { configuration, mut findings } = candidate;
    if let Some(configuration) = configuration {
        let table = Table::new(configuration);
        let rejected: Vec<String> = findings.iter().map(|finding| finding.entry.clone()).collect();
        findings.extend(unreachable_entries::findings(&table));
        findings.extend(contradictory_limits::findings(&table));
        if let InForce::Known { configuration, .. } = &in_force {
            let differences =
                differences::findings(configuration, table.configuration(), &rejected);
            findings.extend(differences);
        }
    }
    findings.extend(in_force.into_findings());
    findings.sort_by_key(|finding| finding.severity);
    findings
}

/// Returns a list as text, shortened so that a message stays readable.
fn list(items: impl IntoIterator<Item = impl ToString>) -> String {
    let mut items: Vec<String> = items.into_iter().map(|item| item.to_string()).collect();
    let left_out = items.len().saturating_sub(MAX_LISTED);
    items.truncate(MAX_LISTED);
    if left_out > 0 {
        items.push(format!("{left_out} more"));
    }
    items.join(", ")
}
