//! The project's own programs as processes on loopback addresses.

use std::{
    fs, io,
    net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
};

use rustix::process::{Pid, Signal, kill_process};

/// A program, its settings and its process. The process ends with it.
pub struct Program {
    binary: &'static str,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

impl Program {
    fn new(name: &str, binary: &'static str, directory: &Path, settings: &str) -> io::Result<Self> {
        let path = directory.join(format!("{name}.ini"));
        fs::write(&path, settings)?;
        let log = path.with_extension("log");
        Ok(Self { binary, settings: path, log, child: None })
    }

    /// Starts it with the command of the deploy file, in the root of the repository.
    pub fn start(&mut self) -> io::Result<()> {
        let log = fs::OpenOptions::new().create(true).append(true).open(&self.log)?;
        let child = Command::new(self.binary)
            .env("SAMPHIRESPREAD_CONFIG", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.child = Some(child);
        Ok(())
    }

    pub fn signal(&self, signal: Signal) {
        let id = self.child.as_ref().and_then(|child| Pid::from_raw(child.id() as i32));
        if let Some(id) = id {
            // It may have ended already.
            let _ = kill_process(id, signal);
        }
    }

    /// Kills it and waits for its end.
    pub fn kill(&mut self) {
        self.signal(Signal::KILL);
        if let Some(mut child) = self.child.take() {
            let _ = child.wait();
        }
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Loopback addresses of one run, apart from those of other runs.
#[derive(Clone, Copy)]
pub struct Block {
    second: u8,
    /// The port for datagrams between the system's processes, the same on all machines.
    peers_port: u16,
}

impl Block {
    pub fn new() -> io::Result<Self> {
        let second = 20 + (std::process::id() % 200) as u8;
        let socket = UdpSocket::bind((Ipv4Addr::new(127, second, 1, 250), 0))?;
        Ok(Self { second, peers_port: socket.local_addr()?.port() })
    }

    pub fn front(self, index: usize) -> Ipv4Addr {
        Ipv4Addr::new(127, self.second, 1, index as u8 + 1)
    }

    pub fn side(self, index: usize) -> Ipv4Addr {
        Ipv4Addr::new(127, self.second, 2, index as u8 + 1)
    }
}

/// An address with a port that is free now.
pub fn free_address(ip: Ipv4Addr) -> io::Result<SocketAddr> {
    TcpListener::bind((ip, 0))?.local_addr()
}

/// A gateway, and where its callers connect and readiness is asked for.
pub struct Gateway {
    pub program: Program,
    pub callers: SocketAddr,
    pub readiness: SocketAddr,
}

/// Prepares a gateway with the settings that `deploy/gateway.ini` becomes on a front machine of the
/// small deployments.
pub fn gateway(
    block: Block,
    index: usize,
    zone: &str,
    store: SocketAddr,
    directory: &Path,
) -> io::Result<Gateway> {
    let ip = block.front(index);
    let (callers, readiness, admin) = (free_address(ip)?, free_address(ip)?, free_address(ip)?);
    let settings = format!(
        "[instance]\nname = front-{index}\nregion = khomas\nfailure_domain = {zone}\n\
         [capacity]\nprocessor_share = 0.19\nmemory_mb = 110\n\
         [listen]\ncallers = {callers}\nreadiness = {readiness}\npeers = {ip}:{port}\nadmin = {admin}\n\
         [store]\naddress = {store}\n\
         [bounds]\nkey_withdrawal_ms = 5000\nconfiguration_ms = 2000\nserver_drain_ms = 2000\n\
         grace_s = 8\nrollout_ms = 12000\norder_lease_ms = 3000\nretry_ratio = 0.2\n\
         retry_window_s = 10\nretry_slack = 56\nquota_slack = 110000\n\
         [decisions]\ncontracts = base,drain,config,cost,retry,recover,kvcache,stream,engine,tenants,quota,platform\n",
        port = block.peers_port,
    );
    let program = Program::new(
        &format!("front-{index}"),
        "target/release/samphirespread-gateway",
        directory,
        &settings,
    )?;
    Ok(Gateway { program, callers, readiness })
}

/// Prepares the sidecar of an engine.
pub fn sidecar(
    block: Block,
    index: usize,
    zone: &str,
    engine: SocketAddr,
    directory: &Path,
) -> io::Result<Program> {
    let ip = block.side(index);
    let admin = free_address(ip)?;
    let settings = format!(
        "[instance]\nname = side-{index}\nregion = khomas\nfailure_domain = {zone}\n\
         [listen]\npeers = {ip}:{port}\nadmin = {admin}\n[engine]\naddress = {engine}\n",
        port = block.peers_port,
    );
    Program::new(
        &format!("side-{index}"),
        "target/release/samphirespread-sidecar",
        directory,
        &settings,
    )
}
