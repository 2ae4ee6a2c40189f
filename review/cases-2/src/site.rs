//! The processes of a case: gateways and sidecars as real processes, each on a loopback address of its own.

use std::{
    fs::File,
    net::Ipv4Addr,
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{Mutex, PoisonError},
    time::{Duration, Instant},
};

use rustix::process::{Pid, Signal, kill_process};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time,
};

pub const CALLERS_PORT: u16 = 8606;
pub const READY_PORT: u16 = 8605;
pub const PEERS_PORT: u16 = 7600;
pub const ADMIN_PORT: u16 = 7615;
pub const WORKER_PORT: u16 = 8747;

/// Loopback addresses that no other run uses at the same time: they follow from the process's id.
#[derive(Clone, Copy, Debug)]
pub struct Addresses {
    pid: u32,
}

impl Addresses {
    pub fn new() -> Self {
        Self { pid: std::process::id() }
    }

    pub fn at(self, number: u8) -> Ipv4Addr {
        let [.., high, low] = self.pid.to_be_bytes();
        Ipv4Addr::new(127, 64 | (high & 63), low, number)
    }
}

/// The root of the repository, from which the programs are started.
pub fn repository() -> PathBuf {
    let here = Path::new(env!("CARGO_MANIFEST_DIR"));
    here.ancestors().nth(2).expect("the crate is in review/").to_owned()
}

/// The ids of the processes that run. They stand in the file that `PIDS_FILE` names as well, so that `run-case.sh`
/// can end them if this program is killed.
static RUNNING: Mutex<Vec<u32>> = Mutex::new(Vec::new());

fn change_running(change: impl FnOnce(&mut Vec<u32>)) {
    let mut running = RUNNING.lock().unwrap_or_else(PoisonError::into_inner);
    change(&mut running);
    let Some(file) = std::env::var_os("PIDS_FILE") else { return };
    let lines: String = running.iter().map(|pid| format!("{pid}\n")).collect();
    // Without the file, only a kill of this program leaves processes behind.
    let _ = std::fs::write(file, lines);
}

/// A process of the project, started with the command of the deploy file.
pub struct Process {
    program: &'static str,
    pub name: String,
    pub ip: Ipv4Addr,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

impl Process {
    pub fn gateway(name: &str, zone: &str, ip: Ipv4Addr, store: std::net::SocketAddr, folder: &Path) -> Self {
        // As deploy/gateway.ini is filled in for a front machine of ovcw-notices.
        let text = format!(
            "[instance]\nname = {name}\nregion = khomas\nfailure_domain = {zone}\n\
             [capacity]\nprocessor_share = 0.19\nmemory_mb = 110\n\
             [listen]\ncallers = {ip}:{CALLERS_PORT}\nreadiness = {ip}:{READY_PORT}\n\
             peers = {ip}:{PEERS_PORT}\nadmin = {ip}:{ADMIN_PORT}\n\
             [store]\naddress = {store}\n\
             [bounds]\nkey_withdrawal_ms = 5000\nconfiguration_ms = 2000\nserver_drain_ms = 2000\n\
             grace_s = 8\nrollout_ms = 12000\norder_lease_ms = 3000\nretry_ratio = 0.2\n\
             retry_window_s = 10\nretry_slack = 56\nquota_slack = 110000\n\
             [decisions]\n\
             contracts = base,drain,config,cost,retry,recover,kvcache,stream,engine,tenants,quota,platform\n"
        );
        Self::new("samphirespread-gateway", name, ip, &text, folder)
    }

    pub fn sidecar(name: &str, zone: &str, ip: Ipv4Addr, folder: &Path) -> Self {
        let text = format!(
            "[instance]\nname = {name}\nregion = khomas\nfailure_domain = {zone}\n\
             [listen]\npeers = {ip}:{PEERS_PORT}\nadmin = {ip}:{ADMIN_PORT}\n\
             [engine]\naddress = {ip}:{WORKER_PORT}\n"
        );
        Self::new("samphirespread-sidecar", name, ip, &text, folder)
    }

    fn new(program: &'static str, name: &str, ip: Ipv4Addr, text: &str, folder: &Path) -> Self {
        let settings = folder.join(format!("{name}.ini"));
        std::fs::write(&settings, text).expect("the settings can be written");
        let log = folder.join(format!("{name}.log"));
        Self { program, name: name.to_owned(), ip, settings, log, child: None }
    }

    pub fn start(&mut self) {
        let log = File::options().create(true).append(true).open(&self.log).expect("a log file");
        let errors = log.try_clone().expect("a log file");
        let child = Command::new(format!("target/release/{}", self.program))
            .current_dir(repository())
            .env("SAMPHIRESPREAD_CONFIG", &self.settings)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn();
        let child = child.unwrap_or_else(|error| cant_run(&format!("{}: {error}", self.program)));
        change_running(|running| running.push(child.id()));
        self.child = Some(child);
    }

    pub fn pid(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    pub fn kill(&mut self) {
        let Some(mut child) = self.child.take() else { return };
        let _ = child.kill();
        let _ = child.wait();
        change_running(|running| running.retain(|pid| *pid != child.id()));
    }

    /// Memory of the process that no file backs, in bytes.
    pub fn anonymous_bytes(&self) -> u64 {
        let Some(pid) = self.pid() else { return 0 };
        let text = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
        let line = text.lines().find_map(|line| line.strip_prefix("RssAnon:")).unwrap_or_default();
        let kib: u64 = line.trim().trim_end_matches("kB").trim().parse().unwrap_or(0);
        kib * 1_024
    }

    pub async fn is_ready(&self) -> bool {
        let call = async {
            let mut stream = TcpStream::connect((self.ip, READY_PORT)).await.ok()?;
            let text = format!("GET /-/ready HTTP/1.1\r\nhost: {}\r\nconnection: close\r\n\r\n", self.ip);
            stream.write_all(text.as_bytes()).await.ok()?;
            let mut head = [0; 12];
            stream.read_exact(&mut head).await.ok()?;
            Some(head.ends_with(b"200"))
        };
        time::timeout(Duration::from_secs(1), call).await.ok().flatten().unwrap_or(false)
    }

    pub async fn until_ready(&self) {
        let begun = Instant::now();
        while !self.is_ready().await {
            if begun.elapsed() > Duration::from_secs(20) {
                cant_run(&format!("{} does not become ready", self.name));
            }
            time::sleep(Duration::from_millis(50)).await;
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Ends the script as one that couldn't run.
pub fn cant_run(why: &str) -> ! {
    eprintln!("could not run: {why}");
    let running = RUNNING.lock().map(|running| running.clone()).unwrap_or_default();
    for pid in running.into_iter().filter_map(|pid| Pid::from_raw(i32::try_from(pid).ok()?)) {
        let _ = kill_process(pid, Signal::KILL);
    }
    std::process::exit(2);
}
