//! Runs one case of the review: `review-standins CASE FOLDER`. Exits with 1 if the rule was broken,
//! 0 if it held, and 2 if the case couldn't run. With `TROUBLE=0` the disruption is left out.

mod dedicated_tenant;
mod engine_worker;
mod http;
mod kill_of_all;
mod plain_worker;
mod record;
mod repeated_event;
mod store;
mod stream_worker;
mod system;
mod upgrade_in_place;
mod withdrawn_key;

use std::{path::PathBuf, process::ExitCode};

use record::Record;

/// How a case ended.
pub struct Verdict {
    pub is_broken: bool,
    pub reason: String,
}

/// What a case needs to run.
pub struct Case {
    pub record: Record,
    /// For settings and logs.
    pub folder: PathBuf,
    pub has_trouble: bool,
}

fn run(arguments: &[String]) -> std::io::Result<Verdict> {
    let [_, name, folder] = arguments else {
        return Err(std::io::Error::other("usage: review-standins CASE FOLDER"));
    };
    let record = Record::create(&PathBuf::from(folder).join("record.txt"))?;
    let temporary = std::env::temp_dir().join(format!("review-{name}-{}", std::process::id()));
    std::fs::create_dir_all(&temporary)?;
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    record.line(&format!("case {name}, with the disruption: {has_trouble}"));
    let case = Case { record: record.clone(), folder: temporary.clone(), has_trouble };
    let verdict = match name.as_str() {
        "dedicated-tenant" => dedicated_tenant::run(&case),
        "kill-of-all" => kill_of_all::run(&case),
        "repeated-event" => repeated_event::run(&case),
        "upgrade-in-place" => upgrade_in_place::run(&case),
        "withdrawn-key" => withdrawn_key::run(&case),
        _ => Err(std::io::Error::other("no such case")),
    };
    if std::env::var("KEEP_LOGS").is_err() {
        // What is left there harms nobody.
        let _ = std::fs::remove_dir_all(&temporary);
    }
    if let Ok(verdict) = &verdict {
        let word = if verdict.is_broken { "BROKEN" } else { "held" };
        record.line(&format!("{word}: {}", verdict.reason));
    }
    verdict
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    // What stops a case by surprise says nothing of the rule.
    let result = std::panic::catch_unwind(|| run(&arguments))
        .unwrap_or_else(|_| Err(std::io::Error::other("a stand-in stopped")));
    match result {
        Ok(verdict) => {
            println!("{}: {}", if verdict.is_broken { "BROKEN" } else { "held" }, verdict.reason);
            ExitCode::from(u8::from(verdict.is_broken))
        }
        Err(error) => {
            println!("the case couldn't run: {error}");
            ExitCode::from(2)
        }
    }
}
