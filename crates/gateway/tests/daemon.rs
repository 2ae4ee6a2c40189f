//! Tests of the `samphirespread-gateway` program: its signals and its settings file.

use std::{
    io::{BufRead, BufReader},
    path::PathBuf,
    process::{Child, ChildStdout, Command, Stdio},
    sync::mpsc::{Receiver, channel},
    time::Duration,
};

use rustix::process::{Pid, Signal, kill_process};
use samphirespread_standin::published::ObjectStore;
use serde_json::Value;

/// A gateway process, killed when dropped.
struct Daemon {
    child: Child,
    lines: Receiver<String>,
    settings: PathBuf,
}

/// How long a test waits for a line before it fails.
const LOG_LINE_TIMEOUT: Duration = Duration::from_secs(20);

impl Daemon {
    fn start(name: &str, store: &ObjectStore) -> Self {
        let file = format!("samphirespread-gateway-{name}-{}.ini", std::process::id());
        let settings = std::env::temp_dir().join(file);
        std::fs::write(&settings, settings_text(store, 56)).unwrap();
        let mut child = Command::new(env!("CARGO_BIN_EXE_samphirespread-gateway"))
            .arg("--settings")
            .arg(&settings)
            .stdout(Stdio::piped())
            .spawn()
            .unwrap();
        let lines = lines_of(child.stdout.take().unwrap());
        let mut daemon = Self { child, lines, settings };
        daemon.wait_for_line("started");
        daemon
    }

    /// Reads the log until a line with `message` comes, and returns the line.
    fn wait_for_line(&mut self, message: &str) -> Value {
        loop {
            let line = self.lines.recv_timeout(LOG_LINE_TIMEOUT).expect("another log line");
            let line: Value = serde_json::from_str(&line).expect("a line of JSON");
            if line["msg"] == message {
                return line;
            }
        }
    }

    fn signal(&self, signal: Signal) {
        let id = Pid::from_raw(i32::try_from(self.child.id()).unwrap()).unwrap();
        kill_process(id, signal).unwrap();
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        // The process may have ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.settings);
    }
}

/// Receives the lines of a daemon's log as they are written.
fn lines_of(log: ChildStdout) -> Receiver<String> {
    let (sender, lines) = channel();
    std::thread::spawn(move || {
        let read = BufReader::new(log).lines().map_while(Result::ok);
        // Sending fails once the test has ended; the remaining lines are not needed.
        read.take_while(|line| sender.send(line.clone()).is_ok()).for_each(drop);
    });
    lines
}

fn settings_text(store: &ObjectStore, retry_slack: impl std::fmt::Display) -> String {
    format!(
        "[instance]\nname = r1\nregion = khomas\nfailure_domain = khomas-1\n\
         [listen]\ncallers = 127.0.0.1:0\nreadiness = 127.0.0.1:0\npeers = 127.0.0.1:0\n\
         admin = 127.0.0.1:0\n[store]\naddress = {}\n[bounds]\nretry_slack = {retry_slack}\n",
        store.address()
    )
}

/// The signal arrives at the earliest moment at which a sender can know that the process has
/// started.
#[tokio::test(flavor = "multi_thread")]
async fn sighup_right_after_start_reloads_settings() {
    let store = ObjectStore::start().unwrap();
    for run in 0..20 {
        let mut daemon = Daemon::start(&format!("early-hup-{run}"), &store);

        daemon.signal(Signal::HUP);

        daemon.wait_for_line("settings reloaded");
    }
}

/// Scaled-down deployments have fractional bounds.
#[tokio::test(flavor = "multi_thread")]
async fn accepts_a_fractional_bound() {
    let store = ObjectStore::start().unwrap();
    let mut daemon = Daemon::start("fraction", &store);

    std::fs::write(&daemon.settings, settings_text(&store, 36.17)).unwrap();
    let reloaded = daemon.wait_for_line("settings reloaded");

    assert!(bounds(&reloaded).contains("retry_slack: 36.17"), "{reloaded}");
}

/// The file changes after the process has read it and before it first checks for changes.
#[tokio::test(flavor = "multi_thread")]
async fn notices_a_settings_change_right_after_start() {
    let store = ObjectStore::start().unwrap();
    for slack in 80..83 {
        let mut daemon = Daemon::start(&format!("early-{slack}"), &store);

        std::fs::write(&daemon.settings, settings_text(&store, slack)).unwrap();
        let reloaded = daemon.wait_for_line("settings reloaded");

        assert!(bounds(&reloaded).contains(&format!("retry_slack: {slack}")), "{reloaded}");
    }
}

fn bounds(line: &Value) -> &str {
    line["bounds"].as_str().expect("bounds")
}

#[tokio::test(flavor = "multi_thread")]
async fn sighup_reloads_settings_and_a_faulty_file_is_refused() {
    let store = ObjectStore::start().unwrap();
    let mut daemon = Daemon::start("hup", &store);

    std::fs::write(&daemon.settings, settings_text(&store, 77)).unwrap();
    daemon.signal(Signal::HUP);
    let reloaded = daemon.wait_for_line("settings reloaded");
    std::fs::write(&daemon.settings, "[bounds]\nretry_slack = many\n").unwrap();
    daemon.signal(Signal::HUP);
    let refused = daemon.wait_for_line("settings refused");
    daemon.signal(Signal::TERM);
    daemon.wait_for_line("stopped");

    assert!(bounds(&reloaded).contains("retry_slack: 77"), "{reloaded}");
    assert!(refused["error"].as_str().unwrap().contains("retry_slack"), "{refused}");
    assert!(daemon.child.wait().unwrap().success());
}

#[tokio::test(flavor = "multi_thread")]
async fn reloads_a_changed_settings_file_without_a_signal() {
    let store = ObjectStore::start().unwrap();
    let mut daemon = Daemon::start("silent", &store);

    std::fs::write(&daemon.settings, settings_text(&store, 78)).unwrap();
    let reloaded = daemon.wait_for_line("settings reloaded");

    assert!(bounds(&reloaded).contains("retry_slack: 78"), "{reloaded}");
}
