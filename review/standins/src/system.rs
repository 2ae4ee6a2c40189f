//! Starts the project's programs as the deploy file says, as separate processes on loopback
//! addresses.

use std::{
    collections::BTreeMap,
    fs::{self, File},
    io,
    net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    thread,
    time::{Duration, Instant},
};

use crate::http;

/// The bounds of the users' first site.
const BOUNDS: [(&str, &str); 11] = [
    ("bounds.revokeMs", "5000"),
    ("bounds.configApplyMs", "2000"),
    ("bounds.drainMs", "2000"),
    ("bounds.graceS", "8"),
    ("bounds.versionMs", "12000"),
    ("bounds.leaseMs", "3000"),
    ("bounds.retryBudgetRatio", "0.2"),
    ("bounds.budgetWindowS", "10"),
    ("bounds.retrySlack", "56"),
    ("bounds.quotaSlack", "110000"),
    ("limits.cpuShare", "0.19"),
];

/// The machines of one run. Each has its own loopback address; ports are the same on all of them.
pub struct Network {
    prefix: [u8; 2],
    ports: Ports,
}

/// The numbers of ports that were free on one of the addresses.
#[derive(Clone, Copy)]
struct Ports {
    callers: u16,
    readiness: u16,
    peers: u16,
    admin: u16,
    worker: u16,
    store: u16,
}

impl Network {
    pub fn new() -> io::Result<Self> {
        let process = std::process::id();
        let second = 64 + u8::try_from(process % 128).unwrap_or(0);
        let third = u8::try_from(process / 128 % 250).unwrap_or(0);
        let ip = Ipv4Addr::new(127, second, third, 250);
        let listeners: Vec<TcpListener> =
            (0..5).map(|_| TcpListener::bind((ip, 0))).collect::<io::Result<_>>()?;
        let port = |index: usize| listeners[index].local_addr().map(|address| address.port());
        let peers = UdpSocket::bind((ip, 0))?.local_addr()?.port();
        let ports = Ports {
            callers: port(0)?,
            readiness: port(1)?,
            peers,
            admin: port(2)?,
            worker: port(3)?,
            store: port(4)?,
        };
        Ok(Self { prefix: [second, third], ports })
    }

    fn ip(&self, machine: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.prefix[0], self.prefix[1], machine)
    }

    /// The address of the worker on a machine.
    pub fn worker(&self, machine: u8) -> SocketAddr {
        (self.ip(machine), self.ports.worker).into()
    }

    /// The address of the platform's store.
    pub fn store(&self) -> SocketAddr {
        (self.ip(1), self.ports.store).into()
    }
}

/// A running program. It is killed when dropped.
pub struct Program {
    child: Child,
    run: Vec<String>,
    settings: PathBuf,
    log: PathBuf,
    callers: SocketAddr,
    readiness: SocketAddr,
}

/// The words of a role's command in the deploy file.
fn command_of(role: &str) -> io::Result<Vec<String>> {
    let text = fs::read_to_string("deploy/system.toml")?;
    let section = text.split(&format!("[roles.{role}]")).nth(1).unwrap_or_default();
    let line = section.lines().find_map(|line| line.strip_prefix("run = "));
    let line = line.ok_or_else(|| io::Error::other("the deploy file has no such role"))?;
    Ok(line.trim().trim_matches('"').split(' ').map(str::to_owned).collect())
}

/// Fills in a template. Each section stands in one line and has one value.
fn fill_in(template: &str, values: &BTreeMap<String, String>) -> String {
    let mut text = String::new();
    for line in template.lines() {
        let mut line = line.to_owned();
        if let Some(rest) = line.strip_prefix("{{#") {
            let (name, rest) = rest.split_once("}}").unwrap_or_default();
            let inner = rest.split("{{/").next().unwrap_or_default();
            line = if values.contains_key(name) { inner.to_owned() } else { continue };
        }
        for (name, value) in values {
            line = line.replace(&format!("{{{{{name}}}}}"), value);
        }
        text.push_str(&line);
        text.push('\n');
    }
    text
}

impl Program {
    /// Starts a role on a machine.
    pub fn start(
        role: &str,
        name: &str,
        zone: &str,
        machine: u8,
        network: &Network,
        folder: &Path,
    ) -> io::Result<Self> {
        let (ip, ports) = (network.ip(machine), network.ports);
        let mut values: BTreeMap<String, String> =
            BOUNDS.iter().map(|(key, value)| ((*key).to_owned(), (*value).to_owned())).collect();
        for (key, value) in [
            ("nodeName", name.to_owned()),
            ("region", "khomas".to_owned()),
            ("zone", zone.to_owned()),
            ("ip", ip.to_string()),
            ("listen.front", format!("{ip}:{}", ports.callers)),
            ("listen.readyAddr", format!("{ip}:{}", ports.readiness)),
            ("internalPorts.0", ports.peers.to_string()),
            ("internalPorts.1", ports.admin.to_string()),
            ("platform.address", network.store().to_string()),
            ("app", network.worker(machine).to_string()),
        ] {
            values.insert(key.to_owned(), value);
        }
        let template = fs::read_to_string(format!("deploy/{role}.ini"))?;
        let settings = folder.join(format!("{name}.ini"));
        fs::write(&settings, fill_in(&template, &values))?;
        let (run, log) = (command_of(role)?, folder.join(format!("{name}.log")));
        let child = spawn(&run, &settings, &log)?;
        Ok(Self {
            child,
            run,
            settings,
            log,
            callers: (ip, ports.callers).into(),
            readiness: (ip, ports.readiness).into(),
        })
    }

    pub fn callers(&self) -> SocketAddr {
        self.callers
    }

    pub fn is_ready(&self) -> bool {
        let address = self.readiness;
        let answer = http::call(
            address,
            "GET",
            "/-/ready",
            &[("Host", "ready")],
            b"",
            Duration::from_millis(500),
        );
        answer.is_ok_and(|answer| answer.status == 200)
    }

    pub fn wait_until_ready(&self) -> io::Result<()> {
        let until = Instant::now() + Duration::from_secs(20);
        while !self.is_ready() {
            if Instant::now() > until {
                return Err(io::Error::other("a program did not get ready"));
            }
            thread::sleep(Duration::from_millis(50));
        }
        Ok(())
    }

    /// Starts it again with the same settings.
    pub fn restart(&mut self) -> io::Result<()> {
        self.kill();
        self.child = spawn(&self.run, &self.settings, &self.log)?;
        Ok(())
    }

    pub fn kill(&mut self) {
        // It may have ended by itself.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        self.kill();
    }
}

fn spawn(run: &[String], settings: &Path, log: &Path) -> io::Result<Child> {
    let log = File::options().create(true).append(true).open(log)?;
    let mut command = Command::new(&run[0]);
    command.args(&run[1..]).env_clear();
    for name in ["PATH", "HOME", "LANG"] {
        if let Ok(value) = std::env::var(name) {
            command.env(name, value);
        }
    }
    command.env("SAMPHIRESPREAD_CONFIG", settings);
    command.stdin(Stdio::null()).stdout(log.try_clone()?).stderr(log).spawn()
}
