//! Starts the project's programs as the deploy file says, as separate processes on loopback
//! addresses.

use std::{
    collections::BTreeMap,
    fs::{self, File},
    io,
    net::{Ipv4Addr, SocketAddr},
    path::Path,
    process::{Child, Command, Stdio},
    thread,
    time::{Duration, Instant},
};

use crate::http;

pub const CALLER_PORT: u16 = 18_606;
const READINESS_PORT: u16 = 18_605;
const PEER_PORT: u16 = 17_600;
const ADMIN_PORT: u16 = 17_615;

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

/// The loopback addresses of one run: each machine has its own.
pub struct Network {
    prefix: [u8; 2],
}

impl Network {
    pub fn new() -> Self {
        let process = std::process::id();
        let second = 64 + u8::try_from(process % 128).unwrap_or(0);
        let third = u8::try_from(process / 128 % 250).unwrap_or(0);
        Self { prefix: [second, third] }
    }

    pub fn ip(&self, machine: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.prefix[0], self.prefix[1], machine)
    }
}

/// A running program. It is killed when dropped.
pub struct Program {
    child: Child,
    pub ip: Ipv4Addr,
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
    /// Starts a role on a machine. `more` holds further fields of the settings.
    pub fn start(
        role: &str,
        name: &str,
        zone: &str,
        ip: Ipv4Addr,
        store: SocketAddr,
        more: &[(&str, String)],
        folder: &Path,
    ) -> io::Result<Self> {
        let mut values: BTreeMap<String, String> =
            BOUNDS.iter().map(|(key, value)| ((*key).to_owned(), (*value).to_owned())).collect();
        for (key, value) in [
            ("nodeName", name.to_owned()),
            ("region", "khomas".to_owned()),
            ("zone", zone.to_owned()),
            ("ip", ip.to_string()),
            ("listen.front", format!("{ip}:{CALLER_PORT}")),
            ("listen.readyAddr", format!("{ip}:{READINESS_PORT}")),
            ("internalPorts.0", PEER_PORT.to_string()),
            ("internalPorts.1", ADMIN_PORT.to_string()),
            ("platform.address", store.to_string()),
        ] {
            values.insert(key.to_owned(), value);
        }
        for (key, value) in more {
            values.insert((*key).to_owned(), value.clone());
        }
        let template = fs::read_to_string(format!("deploy/{role}.ini"))?;
        let settings = folder.join(format!("{name}.ini"));
        fs::write(&settings, fill_in(&template, &values))?;
        let (run, log) = (command_of(role)?, folder.join(format!("{name}.log")));
        let child = spawn(&run, &settings, &log)?;
        Ok(Self { child, ip })
    }

    pub fn callers(&self) -> SocketAddr {
        SocketAddr::from((self.ip, CALLER_PORT))
    }

    pub fn is_ready(&self) -> bool {
        let address = SocketAddr::from((self.ip, READINESS_PORT));
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
