//! One program as a process, from its start to its end and on.

use std::{
    fs::OpenOptions,
    io,
    path::{Path, PathBuf},
    process::Stdio,
};

use rustix::process::{Pid, Signal, kill_process};
use tokio::process::{Child, Command};

/// A program that is started, signalled and started again.
#[derive(Debug)]
pub(crate) struct Program {
    binary: PathBuf,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

impl Program {
    /// A program that is not started yet. Its settings and its log lie in a directory.
    pub(crate) fn new(binary: PathBuf, directory: &Path, name: &str) -> Self {
        let settings = directory.join(format!("{name}.ini"));
        Self { binary, log: settings.with_extension("log"), settings, child: None }
    }

    /// Writes the settings file.
    pub(crate) fn configure(&self, settings: &str) -> io::Result<()> {
        std::fs::write(&self.settings, settings)
    }

    /// Starts it. What it writes goes to its log, after what earlier runs wrote.
    pub(crate) fn start(&mut self) -> io::Result<()> {
        let log = OpenOptions::new().create(true).append(true).open(&self.log)?;
        let child = Command::new(&self.binary)
            .arg("--settings")
            .arg(&self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .kill_on_drop(true)
            .spawn()
            .map_err(|error| io::Error::new(error.kind(), self.not_started(&error)))?;
        self.child = Some(child);
        Ok(())
    }

    fn not_started(&self, error: &io::Error) -> String {
        format!("{}: {error}; build it with `cargo build --bins`", self.binary.display())
    }

    /// Sends a signal to this run. Nothing happens once it has ended.
    pub(crate) fn signal(&self, signal: Signal) {
        let id = self.child.as_ref().and_then(Child::id);
        let id = id.and_then(|id| Pid::from_raw(i32::try_from(id).ok()?));
        if let Some(id) = id {
            // The process may end at this moment, which is what the caller will see next.
            let _ = kill_process(id, signal);
        }
    }

    /// The most memory that this run has had so far, in bytes, if the kernel says so.
    pub(crate) fn peak_memory_bytes(&self) -> Option<u64> {
        let id = self.child.as_ref().and_then(Child::id)?;
        let status = std::fs::read_to_string(format!("/proc/{id}/status")).ok()?;
        let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:"))?;
        let kib: u64 = peak.trim().strip_suffix("kB")?.trim().parse().ok()?;
        Some(kib * 1_024)
    }

    /// Whether it has ended since it was last started.
    pub(crate) fn has_ended(&mut self) -> bool {
        let Some(child) = &mut self.child else { return false };
        let has_ended = matches!(child.try_wait(), Ok(Some(_)));
        if has_ended {
            self.child = None;
        }
        has_ended
    }

    /// Whether it runs.
    pub(crate) fn is_running(&self) -> bool {
        self.child.is_some()
    }
}
