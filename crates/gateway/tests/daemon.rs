//! The program itself: signals and its settings file.

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

/// A gateway as a process, killed when dropped.
struct Daemon {
    child: Child,
    lines: Receiver<String>,
    settings: PathBuf,
}

/// How long a test waits for a line before it fails.
const PATIENCE: Duration = Duration::from_secs(20);

impl Daemon {
    fn start(name: &str, store: &ObjectStore) -> Self {
        let file = format!("samphirespread-gateway-{name}-{}.ini", std::process::id());
        let settings = std::env::temp_dir().join(file);
        std::fs::write(&settings, text(store, 56)).unwrap();
        let mut child = Command::new(env!("CARGO_BIN_EXE_samphirespread-gateway"))
            .arg("--settings")
            .arg(&settings)
            .stdout(Stdio::piped())
            .spawn()
            .unwrap();
        let lines = lines_of(child.stdout.take().unwrap());
        let mut daemon = Self { child, lines, settings };
        daemon.logged("started");
        daemon
    }

    /// Reads the log until a line with that message comes.
    fn logged(&mut self, message: &str) -> Value {
        loop {
            let line = self.lines.recv_timeout(PATIENCE).expect("the log goes on");
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
        // It may have ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.settings);
    }
}

/// The lines of a daemon's log, as they come.
fn lines_of(log: ChildStdout) -> Receiver<String> {
    let (sender, lines) = channel();
    std::thread::spawn(move || {
        let read = BufReader::new(log).lines().map_while(Result::ok);
        // The test may have ended, and then nobody wants the rest.
        read.take_while(|line| sender.send(line.clone()).is_ok()).for_each(drop);
    });
    lines
}

fn text(store: &ObjectStore, retry_slack: impl std::fmt::Display) -> String {
    format!(
        "[instance]\nname = r1\nregion = khomas\nfailure_domain = khomas-1\n\
         [listen]\ncallers = 127.0.0.1:0\nreadiness = 127.0.0.1:0\npeers = 127.0.0.1:0\n\
         admin = 127.0.0.1:0\n[store]\naddress = {}\n[bounds]\nretry_slack = {retry_slack}\n",
        store.address()
    )
}

/// The signal comes as early as anyone can send it who has seen the process start.
#[tokio::test(flavor = "multi_thread")]
async fn a_hang_up_right_after_the_start_ends_nothing() {
    let store = ObjectStore::start().unwrap();
    for run in 0..20 {
        let mut daemon = Daemon::start(&format!("early-hup-{run}"), &store);

        daemon.signal(Signal::HUP);

        daemon.logged("settings reloaded");
    }
}

/// A deployment that is played smaller states its bounds with fractions.
#[tokio::test(flavor = "multi_thread")]
async fn a_bound_with_a_fraction_is_taken() {
    let store = ObjectStore::start().unwrap();
    let mut daemon = Daemon::start("fraction", &store);

    std::fs::write(&daemon.settings, text(&store, 36.17)).unwrap();
    let reloaded = daemon.logged("settings reloaded");

    assert!(bounds(&reloaded).contains("retry_slack: 36.17"), "{reloaded}");
}

/// The file changes between the moment when the process reads it and that when it looks for changes.
#[tokio::test(flavor = "multi_thread")]
async fn a_change_right_after_the_start_is_not_missed() {
    let store = ObjectStore::start().unwrap();
    for slack in 80..83 {
        let mut daemon = Daemon::start(&format!("early-{slack}"), &store);

        std::fs::write(&daemon.settings, text(&store, slack)).unwrap();
        let reloaded = daemon.logged("settings reloaded");

        assert!(bounds(&reloaded).contains(&format!("retry_slack: {slack}")), "{reloaded}");
    }
}

fn bounds(line: &Value) -> &str {
    line["bounds"].as_str().expect("bounds")
}

#[tokio::test(flavor = "multi_thread")]
async fn a_hang_up_reads_the_settings_again_and_a_faulty_file_changes_nothing() {
    let store = ObjectStore::start().unwrap();
    let mut daemon = Daemon::start("hup", &store);

    std::fs::write(&daemon.settings, text(&store, 77)).unwrap();
    daemon.signal(Signal::HUP);
    let reloaded = daemon.logged("settings reloaded");
    std::fs::write(&daemon.settings, "[bounds]\nretry_slack = many\n").unwrap();
    daemon.signal(Signal::HUP);
    let refused = daemon.logged("settings refused");
    daemon.signal(Signal::TERM);
    daemon.logged("stopped");

    assert!(bounds(&reloaded).contains("retry_slack: 77"), "{reloaded}");
    assert!(refused["error"].as_str().unwrap().contains("retry_slack"), "{refused}");
    assert!(daemon.child.wait().unwrap().success());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_settings_file_that_changes_without_a_signal_is_read_as_well() {
    let store = ObjectStore::start().unwrap();
    let mut daemon = Daemon::start("silent", &store);

    std::fs::write(&daemon.settings, text(&store, 78)).unwrap();
    let reloaded = daemon.logged("settings reloaded");

    assert!(bounds(&reloaded).contains("retry_slack: 78"), "{reloaded}");
}
