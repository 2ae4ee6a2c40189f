//! Runs the commands, with one function for each.

use std::{
    fs::File,
    io::{self, BufRead, BufReader, Write},
    path::PathBuf,
    time::Duration,
};

use samphirespread_bench::load::LoadArguments;
use samphirespread_config::{
    Applied, ApplyError, Changes, Config, ConfigBuilder, ConfigErrors, Document, KeyBuilder,
    KeyText, Submission, TeamBuilder,
};
use samphirespread_core::prelude::*;
use samphirespread_explain::Logs;
use samphirespread_platform::{
    StorePlatform,
    api::{LiveState, Role},
};
use samphirespread_settings::{
    AgentSettings, GatewaySettings, LogFormat, LogLevel, LogSettings, RouterSettings,
    SidecarSettings,
};
use tokio::{
    signal::unix::{SignalKind, signal},
    time::{Instant, sleep},
};

use crate::{
    args::{
        ApplyArguments, CheckArguments, Command, Daemon, DumpArguments, ExplainArguments,
        KeyCommand, PlatformArguments, RolloutsArguments, StatusArguments,
    },
    check_platform,
    dev::DevFleet,
    documents::load,
    exit::Exit,
    http,
    rollouts::{self, RolloutStatus},
    status::{self, InstanceStatus},
    submit::{RetryPolicy, SubmitError, read_snapshot, submit},
};

/// Time between two queries of all instances while `apply` waits for them.
const STATUS_POLL_INTERVAL_MS: u64 = 200;
/// Number of log lines between two progress messages.
const PROGRESS_INTERVAL_LINES: u64 = 1_000_000;

pub(crate) async fn run(command: Command) -> Exit {
    match command {
        Command::Dev { port } => dev(port).await,
        Command::Bench(arguments) => bench(&arguments).await,
        Command::Check(arguments) => check(&arguments),
        Command::CheckPlatform(arguments) => check_platform::run(&arguments).await,
        Command::Apply(arguments) => apply(&arguments).await,
        Command::Status(arguments) => status(&arguments).await,
        Command::Dump(arguments) => dump(&arguments).await,
        Command::Rollouts(arguments) => rollouts(&arguments).await,
        Command::Explain(arguments) => explain(&arguments),
        Command::TopCauses { files } => match read_logs(&files) {
            Ok(logs) => print(&samphirespread_explain::top_causes(&logs)),
            Err(exit) => exit,
        },
        Command::Key(KeyCommand::New { id, team }) => new_key(&id, &team),
        Command::Settings { daemon: Daemon::Router } => print(&RouterSettings::example()),
        Command::Settings { daemon: Daemon::Agent } => print(&AgentSettings::example()),
        Command::Settings { daemon: Daemon::Gateway } => print(&GatewaySettings::example()),
        Command::Settings { daemon: Daemon::Sidecar } => print(&SidecarSettings::example()),
    }
}

fn explain(arguments: &ExplainArguments) -> Exit {
    match read_logs(&arguments.files) {
        Ok(logs) => {
            print(&samphirespread_explain::explain(&logs, &arguments.request, arguments.window_ms))
        }
        Err(exit) => exit,
    }
}

/// Reads logs from files, or from standard input, and prints progress to standard error.
fn read_logs(files: &[PathBuf]) -> Result<Logs, Exit> {
    let mut logs = Logs::default();
    let standard_input = [PathBuf::from("-")];
    let files = if files.is_empty() { &standard_input } else { files };
    for path in files {
        let read = if path.as_os_str() == "-" {
            read_log(io::stdin().lock(), &mut logs)
        } else {
            File::open(path).and_then(|file| read_log(BufReader::new(file), &mut logs))
        };
        if let Err(error) = read {
            print_diagnostic(&format!("{}: {error}", path.display()));
            return Err(Exit::Usage);
        }
    }
    Ok(logs)
}

fn read_log(mut log: impl BufRead, logs: &mut Logs) -> io::Result<()> {
    let mut line = Vec::new();
    for number in 1_u64.. {
        line.clear();
        if log.read_until(b'\n', &mut line)? == 0 {
            break;
        }
        logs.read_line(&String::from_utf8_lossy(&line));
        if number % PROGRESS_INTERVAL_LINES == 0 {
            print_diagnostic(&format!("{number} lines read"));
        }
    }
    Ok(())
}

/// Prints text that is not part of the result.
#[expect(clippy::print_stderr, reason = "standard output holds only the result")]
fn print_diagnostic(text: &str) {
    eprintln!("{text}");
}

/// Prints a result. If the pipe is closed, the command ends without a message.
pub(crate) fn print(text: &str) -> Exit {
    let mut out = io::stdout().lock();
    match out.write_all(text.as_bytes()).and_then(|()| out.flush()) {
        Ok(()) => Exit::Done,
        Err(_) => Exit::Refused,
    }
}

#[expect(clippy::print_stderr, reason = "messages that are not results go to standard error")]
pub(crate) fn print_message(message: impl std::fmt::Display) {
    eprintln!("{message}");
}

fn refuse(message: impl std::fmt::Display) -> Exit {
    print_message(message);
    Exit::Refused
}

async fn dev(port: u16) -> Exit {
    let settings = LogSettings { format: LogFormat::Terminal, level: LogLevel::Warning };
    let fleet = match DevFleet::start(port, &samphirespread_logging::root(&settings)).await {
        Ok(fleet) => fleet,
        Err(error) => {
            print_message(error);
            return Exit::Unreachable;
        }
    };
    print_message("a platform, two engines, two agents and a router run until Ctrl-C; try:");
    let printed = print(&fleet.greeting());
    if printed == Exit::Done {
        wait_for_stop_signal().await;
    }
    fleet.stop().await;
    printed
}

/// Waits for SIGINT or SIGTERM. Returns at once if signal handlers cannot be installed.
async fn wait_for_stop_signal() {
    let (Ok(mut interrupt), Ok(mut terminate)) =
        (signal(SignalKind::interrupt()), signal(SignalKind::terminate()))
    else {
        return;
    };
    tokio::select! {
        _ = interrupt.recv() => {}
        _ = terminate.recv() => {}
    }
}

async fn bench(arguments: &LoadArguments) -> Exit {
    match arguments.run(|line| print_message(line)).await {
        Ok(report) if arguments.json => print(&format!("{}\n", report.to_json())),
        Ok(report) => print(&format!("{report}\n")),
        Err(error) => refuse(error),
    }
}

fn check(arguments: &CheckArguments) -> Exit {
    let documents = match load(&arguments.paths) {
        Ok(documents) => documents,
        Err(error) => return refuse(error),
    };
    let count = documents.len();
    match Config::from_documents(documents).validate() {
        Ok(()) => {
            print_message(format_args!("{count} documents, no faults"));
            Exit::Done
        }
        Err(errors) => refuse(errors),
    }
}

fn client(arguments: &PlatformArguments) -> StorePlatform {
    StorePlatform::new(arguments.platform, arguments.call_timeout_ms)
}

async fn apply(arguments: &ApplyArguments) -> Exit {
    let documents = match load(&arguments.paths) {
        Ok(documents) => documents,
        Err(error) => return refuse(error),
    };
    if documents.is_empty() && arguments.remove.is_empty() && arguments.submission.is_none() {
        print_message("nothing to apply: name files, or objects by --remove");
        return Exit::Usage;
    }
    let platform = client(&arguments.platform);
    let policy = RetryPolicy::new(arguments.timeout_ms);
    if arguments.dry_run {
        return dry_run(arguments, documents, &platform, policy).await;
    }
    let id = arguments.submission.clone().unwrap_or_else(new_submission_id);
    print_message(format_args!("submission {id}"));
    let submission = Submission::new(&id, documents)
        .remove(arguments.remove.iter().cloned())
        .exact(arguments.exact);
    match submit(&platform, submission, policy).await {
        Ok(applied) => report_accepted(arguments, &platform, &applied).await,
        Err(error) => {
            print_message(&error);
            exit_for(&error)
        }
    }
}

fn new_submission_id() -> String {
    format!("{:016x}", rand::random::<u64>())
}

fn exit_for(error: &SubmitError) -> Exit {
    match error {
        SubmitError::Unknown { .. } | SubmitError::Apply(ApplyError::OutcomeUnknown { .. }) => {
            Exit::Unknown
        }
        SubmitError::Unreachable { .. } => Exit::Unreachable,
        SubmitError::Apply(_) => Exit::Refused,
    }
}

async fn dry_run(
    arguments: &ApplyArguments,
    documents: Vec<Document>,
    platform: &StorePlatform,
    policy: RetryPolicy,
) -> Exit {
    let snapshot = match read_snapshot(platform, policy).await {
        Ok(snapshot) => snapshot,
        Err(error) => {
            print_message(&error);
            return exit_for(&error);
        }
    };
    let current = snapshot.config();
    let changes = if arguments.exact {
        Changes::between(current, &Config::from_documents(documents))
    } else {
        Changes::against(current, documents, arguments.remove.iter().cloned())
    };
    match validate(&changes, current) {
        Ok(()) => print(&changes_text(&changes)),
        Err(errors) => refuse(errors),
    }
}

fn validate(changes: &Changes, current: &Config) -> Result<(), ConfigErrors> {
    let after = changes
        .apply_to(current)
        .expect("changes apply to the configuration they were computed from");
    after.validate()
}

fn changes_text(changes: &Changes) -> String {
    let lines = changes.iter().map(|(name, change)| {
        let sign = match (&change.before, &change.after) {
            (None, _) => '+',
            (Some(_), Some(_)) => '~',
            (Some(_), None) => '-',
        };
        format!("{sign} {name}\n")
    });
    lines.collect()
}

/// Prints an accepted submission, then waits up to `--wait-ms` for every instance to apply it.
async fn report_accepted(
    arguments: &ApplyArguments,
    platform: &StorePlatform,
    applied: &Applied,
) -> Exit {
    let generation = applied.generation;
    let printed = print(&format!("{}generation {generation}\n", changes_text(&applied.changes)));
    if printed != Exit::Done || arguments.wait_ms == 0 {
        return printed;
    }
    let end = Instant::now() + Duration::from_millis(arguments.wait_ms);
    let admin_port = arguments.fleet.admin_port;
    let timeout_ms = arguments.platform.call_timeout_ms;
    loop {
        let result = status::instances(platform, admin_port, timeout_ms).await;
        let all = match &result {
            Ok(statuses) => {
                let count = status::count(statuses, generation);
                count.in_force == count.total
            }
            Err(_) => false,
        };
        if all || Instant::now() >= end {
            return report_rollout(&result, generation, all);
        }
        sleep(Duration::from_millis(STATUS_POLL_INTERVAL_MS)).await;
    }
}

fn report_rollout(
    result: &Result<Vec<InstanceStatus>, samphirespread_platform::PlatformError>,
    generation: Generation,
    all: bool,
) -> Exit {
    match result {
        Ok(statuses) => {
            let count = status::count(statuses, generation);
            let printed =
                print(&format!("in force on {} of {} instances\n", count.in_force, count.total));
            for status in statuses.iter().filter(|status| !has_in_force(status, generation)) {
                print_message(status_line(status).trim_end());
            }
            if all { printed } else { Exit::NotEverywhere }
        }
        Err(error) => {
            print_message(format_args!("accepted, but the live list can't be read: {error}"));
            Exit::NotEverywhere
        }
    }
}

fn has_in_force(status: &InstanceStatus, generation: Generation) -> bool {
    status.generation.as_ref().is_ok_and(|in_force| *in_force >= generation)
}

fn status_line(status: &InstanceStatus) -> String {
    let role = match status.role {
        Role::Router => "router",
        Role::Agent => "agent",
    };
    let state = match status.state {
        LiveState::Live => "live",
        LiveState::Leaving => "leaving",
    };
    let name = &status.name;
    match &status.generation {
        Ok(generation) => format!("{name} {role} {state} generation {generation}\n"),
        Err(error) => format!("{name} {role} {state} unknown: {error}\n"),
    }
}

async fn status(arguments: &StatusArguments) -> Exit {
    let platform = client(&arguments.platform);
    let timeout_ms = arguments.platform.call_timeout_ms;
    let head = match read_snapshot(&platform, RetryPolicy::new(timeout_ms)).await {
        Ok(snapshot) => snapshot.generation(),
        Err(error) => {
            print_message(&error);
            return exit_for(&error);
        }
    };
    match status::instances(&platform, arguments.fleet.admin_port, timeout_ms).await {
        Ok(statuses) => report_status(&statuses, head),
        Err(error) => {
            print_message(&error);
            Exit::Unreachable
        }
    }
}

fn report_status(statuses: &[InstanceStatus], head: Generation) -> Exit {
    let count = status::count(statuses, head);
    let lines: String = statuses.iter().map(status_line).collect();
    let text = format!(
        "platform generation {head}\n{lines}in force on {} of {} instances\n",
        count.in_force, count.total
    );
    let printed = print(&text);
    if count.in_force == count.total { printed } else { Exit::NotEverywhere }
}

async fn dump(arguments: &DumpArguments) -> Exit {
    let timeout_ms = arguments.call_timeout_ms;
    if let Some(admin) = arguments.source.admin {
        return match http::dump(admin, timeout_ms).await {
            Ok(state) => print(&format!("{state:#}\n")),
            Err(error) => {
                print_message(format_args!("{admin}: {error}"));
                Exit::Unreachable
            }
        };
    }
    let Some(address) = arguments.source.platform else { return Exit::Usage };
    let platform = StorePlatform::new(address, timeout_ms);
    match read_snapshot(&platform, RetryPolicy::new(timeout_ms)).await {
        Ok(snapshot) => {
            print_message(format_args!("generation {}", snapshot.generation()));
            print(&snapshot.config().to_text())
        }
        Err(error) => {
            print_message(&error);
            exit_for(&error)
        }
    }
}

async fn rollouts(arguments: &RolloutsArguments) -> Exit {
    let mut text = String::new();
    let mut is_complete = true;
    for admin in &arguments.admin {
        match rollouts::read(*admin, arguments.call_timeout_ms).await {
            Ok(rollouts) if rollouts.is_empty() => text += &format!("{admin} no orders\n"),
            Ok(rollouts) => {
                let line = |rollout: &RolloutStatus| format!("{admin} {rollout}\n");
                text.extend(rollouts.iter().map(line));
            }
            Err(error) => {
                is_complete = false;
                print_message(format_args!("{admin}: {error}"));
            }
        }
    }
    let printed = print(&text);
    if is_complete { printed } else { Exit::Unreachable }
}

fn new_key(id: &str, team: &str) -> Exit {
    let text = KeyText::generate(&mut rand::rng());
    let key = KeyBuilder::from_text(id, team, text.expose());
    let single_key_config = ConfigBuilder::new().team(TeamBuilder::new(team)).key(key.clone());
    if let Err(errors) = single_key_config.build() {
        return refuse(errors);
    }
    let document = key.document();
    print_message(format_args!("the key, shown this once: {}", text.expose()));
    print(&format!("{}\n", document.to_text()))
}
