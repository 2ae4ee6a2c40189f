//! One daemon as a process.

use std::{
    net::SocketAddr,
    path::{Path, PathBuf},
    process::{ExitStatus, Stdio},
    time::Duration,
};

use tokio::{
    io::{AsyncBufReadExt, BufReader},
    process::{Child, ChildStdout, Command},
    time::timeout,
};

const READY_TIMEOUT: Duration = Duration::from_secs(20);
const MS_PER_TICK: u64 = 10;
const EXIT_TIMEOUT: Duration = Duration::from_secs(60);

/// A signal that a test sends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Signal {
    /// Asks for a drain.
    Term,
    /// Kills.
    Kill,
    /// Freezes.
    Stop,
    /// Thaws.
    Cont,
}

impl Signal {
    fn option(self) -> &'static str {
        match self {
            Self::Term => "-TERM",
            Self::Kill => "-KILL",
            Self::Stop => "-STOP",
            Self::Cont => "-CONT",
        }
    }
}

/// Where a daemon takes connections.
#[derive(Clone, Copy, Debug)]
struct Ready {
    peers: SocketAddr,
    admin: SocketAddr,
    callers: Option<SocketAddr>,
}

/// A variable of a daemon's environment.
#[derive(Clone, Debug)]
pub(crate) struct Variable {
    pub(crate) name: String,
    pub(crate) value: String,
}

/// One daemon as a process. It is killed when dropped.
#[derive(Debug)]
pub struct Daemon {
    binary: &'static str,
    settings: PathBuf,
    environment: Vec<Variable>,
    log: PathBuf,
    child: Child,
    ready: Ready,
}

impl Daemon {
    /// Starts a daemon with a settings file and waits until it is ready.
    ///
    /// # Panics
    ///
    /// When the daemon is not built, or does not get ready; the message shows its log.
    pub async fn start(binary: &'static str, settings: &Path) -> Self {
        Self::start_with(binary, settings, Vec::new()).await
    }

    pub(crate) async fn start_with(
        binary: &'static str,
        settings: &Path,
        environment: Vec<Variable>,
    ) -> Self {
        let log = settings.with_extension("log");
        let (child, ready) = spawn(binary, settings, &environment, &log).await;
        Self { binary, settings: settings.to_owned(), environment, log, child, ready }
    }

    /// Starts the daemon again with the same settings, after it has ended.
    ///
    /// # Panics
    ///
    /// As [`start`](Self::start).
    pub async fn restart(&mut self) {
        let (child, ready) = spawn(self.binary, &self.settings, &self.environment, &self.log).await;
        self.child = child;
        self.ready = ready;
    }

    /// Where the daemon takes connections of the system's other processes.
    pub fn peers(&self) -> SocketAddr {
        self.ready.peers
    }

    /// Where operators look.
    pub fn admin(&self) -> SocketAddr {
        self.ready.admin
    }

    /// Where callers connect.
    ///
    /// # Panics
    ///
    /// When the daemon is no router.
    pub fn callers(&self) -> SocketAddr {
        self.ready.callers.expect("the daemon is a router")
    }

    /// What the daemon logged, over all its runs.
    pub fn log(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }

    /// Processor time that the daemon has used in this run.
    ///
    /// # Panics
    ///
    /// When the daemon has ended.
    pub fn cpu_time(&self) -> Duration {
        let id = self.child.id().expect("the daemon runs");
        let stat = std::fs::read_to_string(format!("/proc/{id}/stat")).expect("the daemon runs");
        // The name in parentheses may hold spaces; user and system time come 12 fields after it.
        let fields = stat.rsplit_once(") ").map_or("", |(_, fields)| fields);
        let ticks =
            fields.split(' ').skip(11).take(2).filter_map(|field| field.parse::<u64>().ok());
        Duration::from_millis(ticks.sum::<u64>() * MS_PER_TICK)
    }

    /// Sends a signal. Nothing happens when the daemon has ended.
    ///
    /// # Panics
    ///
    /// When the `kill` command can't be run.
    pub async fn signal(&self, signal: Signal) {
        let Some(id) = self.child.id() else { return };
        let status = Command::new("kill").arg(signal.option()).arg(id.to_string()).status().await;
        status.expect("the kill command runs");
    }

    /// Kills the daemon and waits until it is gone.
    ///
    /// # Panics
    ///
    /// When it doesn't go.
    pub async fn kill(&mut self) {
        self.signal(Signal::Kill).await;
        self.wait().await;
    }

    /// Waits until the daemon ends.
    ///
    /// # Panics
    ///
    /// When it doesn't end.
    pub async fn wait(&mut self) -> ExitStatus {
        let exit = timeout(EXIT_TIMEOUT, self.child.wait()).await;
        exit.expect("the daemon ends in time").expect("the daemon can be waited for")
    }
}

async fn spawn(
    binary: &str,
    settings: &Path,
    environment: &[Variable],
    log: &Path,
) -> (Child, Ready) {
    let log_file = std::fs::OpenOptions::new()
        .create(true)
        .append(true)
        .open(log)
        .expect("the log file can be opened");
    let path = binary_path(binary);
    let mut child = Command::new(&path)
        .arg("--settings")
        .arg(settings)
        .envs(environment.iter().map(|variable| (&variable.name, &variable.value)))
        .stdin(Stdio::null())
        .stdout(Stdio::piped())
        .stderr(log_file)
        .kill_on_drop(true)
        .spawn()
        .unwrap_or_else(|error| panic!("{} doesn't start: {error}", path.display()));
    let stdout = child.stdout.take().expect("the output is a pipe");
    let ready = timeout(READY_TIMEOUT, read_ready(stdout, log.to_owned())).await;
    let Ok(Some(ready)) = ready else {
        let log = std::fs::read_to_string(log).unwrap_or_default();
        panic!("{binary} doesn't get ready; its log:\n{log}");
    };
    (child, ready)
}

/// Reads until the ready line. Later lines go into the log.
async fn read_ready(stdout: ChildStdout, log: PathBuf) -> Option<Ready> {
    let mut lines = BufReader::new(stdout).lines();
    loop {
        let line = lines.next_line().await.ok()??;
        let Some(ready) = parse_ready(&line) else { continue };
        tokio::spawn(async move {
            let Ok(file) = tokio::fs::OpenOptions::new().append(true).open(log).await else {
                return;
            };
            let mut rest = lines.into_inner();
            let mut file = file;
            // The daemon must not block on its output, and a lost line of log does no harm.
            let _ = tokio::io::copy(&mut rest, &mut file).await;
        });
        return Some(ready);
    }
}

fn parse_ready(line: &str) -> Option<Ready> {
    let fields = line.strip_prefix("ready ")?;
    let field = |name: &str| {
        let mut values = fields
            .split_whitespace()
            .filter_map(|field| field.strip_prefix(name)?.strip_prefix('='));
        values.next()?.parse().ok()
    };
    Some(Ready { peers: field("peers")?, admin: field("admin")?, callers: field("callers") })
}

/// Daemons are built into the directory above that of test executables.
fn binary_path(binary: &str) -> PathBuf {
    let own = std::env::current_exe().expect("the executable has a path");
    let mut directory = own.parent().expect("the executable is in a directory").to_owned();
    if directory.ends_with("deps") || directory.ends_with("examples") {
        directory.pop();
    }
    let path = directory.join(binary);
    assert!(path.exists(), "{binary} is not built: run `cargo build --workspace --bins` first");
    path
}
