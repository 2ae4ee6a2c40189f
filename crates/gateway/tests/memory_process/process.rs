//! A gateway process on loopback, for tests that look at its memory.

use std::{
    io::{BufRead, BufReader},
    net::SocketAddr,
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::mpsc::{Receiver, channel},
    thread,
    time::Duration,
};

use serde_json::Value;

/// The memory of the machine that the settings name, in bytes.
const MEMORY_BYTES: u64 = 110_000_000;
/// How long a test waits for anything before it fails.
const TIMEOUT: Duration = Duration::from_secs(20);

/// A gateway process.
pub(crate) struct Gateway {
    child: Child,
    lines: Receiver<Value>,
    settings: PathBuf,
    callers: SocketAddr,
}

impl Gateway {
    /// Starts the process and waits until it knows the server `d1`.
    pub(crate) fn start(name: &str, store: SocketAddr) -> Self {
        let text = format!(
            "[instance]\nname = {name}\nregion = khomas\nfailure_domain = khomas-1\n\
             [capacity]\nmemory_mb = 110\n\
             [listen]\ncallers = 127.0.0.1:0\nreadiness = 127.0.0.1:0\npeers = 127.0.0.1:0\n\
             admin = 127.0.0.1:0\n[store]\naddress = {store}\npoll_ms = 50\n"
        );
        let file = format!("samphirespread-entries-{name}-{}.ini", std::process::id());
        let settings = std::env::temp_dir().join(file);
        std::fs::write(&settings, text).unwrap();
        let mut child = Command::new(env!("CARGO_BIN_EXE_samphirespread-gateway"))
            .arg("--settings")
            .arg(&settings)
            .stdout(Stdio::piped())
            .spawn()
            .unwrap();
        let log = BufReader::new(child.stdout.take().unwrap());
        let (sender, lines) = channel();
        thread::spawn(move || {
            let read = log.lines().map_while(Result::ok);
            let mut read = read.filter_map(|line| serde_json::from_str(&line).ok());
            while read.next().is_some_and(|line| sender.send(line).is_ok()) {}
        });
        let callers = SocketAddr::from(([127, 0, 0, 1], 0));
        let mut gateway = Self { child, lines, settings, callers };
        let started = gateway.logged("started", |_| true);
        gateway.callers = started["callers"].as_str().unwrap().parse().unwrap();
        gateway.logged("server appeared", |line| line["server"] == "d1");
        gateway
    }

    /// The address for callers.
    pub(crate) fn callers(&self) -> SocketAddr {
        self.callers
    }

    /// Reads the log until a line with `message` that `is_it` accepts comes, and returns it.
    pub(crate) fn logged(&self, message: &str, is_it: impl Fn(&Value) -> bool) -> Value {
        loop {
            let line = self.lines.recv_timeout(TIMEOUT);
            let line = line.unwrap_or_else(|error| panic!("no line `{message}`: {error}"));
            if line["msg"] == message && is_it(&line) {
                return line;
            }
        }
    }

    /// Asserts that the process has stayed within its memory.
    pub(crate) fn assert_within_memory(&self, what: &str) {
        let peak_bytes = self.peak_bytes();
        assert!(peak_bytes < MEMORY_BYTES, "{what}: {} MB", peak_bytes / 1_000_000);
    }

    /// The most memory that the process has had, in bytes.
    fn peak_bytes(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap();
        let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).unwrap();
        peak.trim().trim_end_matches("kB").trim().parse::<u64>().unwrap() * 1_024
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        // The process may have ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.settings);
    }
}
