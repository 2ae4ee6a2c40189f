//! Plays one case with the project's own programs as processes, and judges it.
//!
//! Arguments: the name of the case, and the file for the record. Exit codes: 0 if the rule held, 1 if
//! it was broken, 2 if the case could not run. With `TROUBLE=0` nothing is disturbed.

mod client;
mod crashes;
mod drain;
mod engine;
mod http;
mod idle;
mod programs;
mod record;
mod site;

use std::{path::Path, process::ExitCode, time::Duration};

use tokio::{
    signal::unix::{SignalKind, signal},
    time,
};

use crate::record::Record;

/// A case takes no longer than this.
const LIMIT: Duration = Duration::from_secs(110);

#[tokio::main]
async fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, record_path] = &arguments[..] else {
        eprintln!("arguments: CASE RECORD");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let directory = std::env::temp_dir().join(format!("review-3-{}", std::process::id()));
    let result = play(case, Path::new(record_path), &directory, has_trouble).await;
    if std::env::var("KEEP_LOGS").is_err() {
        // What is left of it does no harm.
        let _ = std::fs::remove_dir_all(&directory);
    }
    match result {
        Ok(true) => {
            println!("{case}: the rule held");
            ExitCode::SUCCESS
        }
        Ok(false) => {
            println!("{case}: the rule was broken");
            ExitCode::from(1)
        }
        Err(error) => {
            println!("{case}: could not run: {error}");
            ExitCode::from(2)
        }
    }
}

async fn play(
    case: &str,
    record_path: &Path,
    directory: &Path,
    has_trouble: bool,
) -> std::io::Result<bool> {
    std::fs::create_dir_all(directory)?;
    let record = Record::create(record_path)?;
    let judged = async {
        match case {
            "crashes" => crashes::run(directory, &record, has_trouble).await,
            "drain" => drain::run(directory, &record, has_trouble).await,
            "idle" => idle::run(directory, &record, has_trouble).await,
            _ => Err(std::io::Error::other("no such case")),
        }
    };
    // Whatever ends the run ends the processes that it started.
    let mut terminate = signal(SignalKind::terminate())?;
    let judged = tokio::select! {
        judged = judged => judged,
        () = time::sleep(LIMIT) => Err(std::io::Error::other("it takes too long")),
        _ = terminate.recv() => Err(std::io::Error::other("told to end")),
        _ = tokio::signal::ctrl_c() => Err(std::io::Error::other("told to end")),
    };
    record.line(&format!("result: {judged:?}"));
    judged
}
