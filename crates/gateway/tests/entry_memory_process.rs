//! The memory of a `samphirespread-gateway` process whose lists in the store have entries of another
//! writer.

use std::{
    io::{BufRead, BufReader},
    net::SocketAddr,
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::mpsc::{Receiver, channel},
    thread,
    time::{Duration, Instant},
};

use samphirespread_standin::published::{ObjectStore, Worker, WorkerConfig};
use serde_json::{Value, json};

/// The memory of the smallest machine that gateways are given, as in the test's settings.
const MEMORY_BYTES: u64 = 110_000_000;
/// Entries of the other writer, and their size, which is what the store takes at most.
const FOREIGN_ENTRIES: usize = 8;
const FOREIGN_BYTES: usize = 1_000_000;
/// How long a test waits for anything before it fails.
const TIMEOUT: Duration = Duration::from_secs(20);

/// A gateway process.
struct Gateway {
    child: Child,
    lines: Receiver<Value>,
    settings: PathBuf,
}

impl Gateway {
    /// Starts the process and waits until it knows the first server.
    fn start(name: &str, store: SocketAddr) -> Self {
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
        let gateway = Self { child, lines, settings };
        gateway.logged("server appeared", |line| line["server"] == "d1");
        gateway
    }

    /// Reads the log until a line with `message` that `is_it` accepts comes.
    fn logged(&self, message: &str, is_it: impl Fn(&Value) -> bool) {
        loop {
            let line = self.lines.recv_timeout(TIMEOUT);
            let line = line.unwrap_or_else(|error| panic!("no line `{message}`: {error}"));
            if line["msg"] == message && is_it(&line) {
                return;
            }
        }
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

fn configuration() -> Value {
    json!({ "version": 1,
        "routes": [{ "name": "issue", "hostname": "desk.example", "pathPrefix": "/issue/",
            "routeType": "unsafe", "timeoutMs": 9000, "targetLatencyMs": 300, "priority": 1,
            "service": "desk", "maxAttempts": 1, "anonymous": true, "resumable": false }],
        "services": [{ "name": "desk", "maxConns": 100 }] })
}

/// Repeats a text up to the size of an entry.
fn repeated(text: &str) -> String {
    text.repeat(FOREIGN_BYTES / text.len() - 1)
}

/// Specs of large entries, with what takes their space.
fn large_specs() -> Vec<(&'static str, String)> {
    let server_with = |service: &str, state: &str, more: &str| {
        format!(
            r#"{{"service":"{service}","address":"127.0.0.1:9","zone":"khomas-1","version":"v1",
                "slots":6,"state":"{state}","models":[],"seq":1,"born":1{more}}}"#
        )
    };
    let numbers = format!("[0{}]", repeated(",0"));
    let text = repeated("x");
    vec![
        ("numbers", format!(r#"{{"source":"meter","samples":{numbers}}}"#)),
        ("objects", format!("[{}0]", repeated(r#"{"":0},"#))),
        ("server with numbers", server_with("other", "ready", &format!(r#","samples":{numbers}"#))),
        ("service name", server_with(&text, "ready", "")),
        ("unknown state", server_with("desk", &text, "")),
    ]
}

struct Site {
    store: ObjectStore,
    worker: Worker,
}

impl Site {
    fn start() -> Self {
        let store = ObjectStore::start().unwrap();
        store.put("config", "main", configuration());
        let worker = Worker::start(WorkerConfig::new("d1", "desk")).unwrap();
        store.put("servers", "d1", worker.entry("ready"));
        Self { store, worker }
    }

    /// Lists a server under this name, and waits until the gateway has seen it.
    fn list_server(&self, name: &str, gateway: &Gateway) {
        self.store.put("servers", name, self.worker.entry("ready"));
        gateway.logged("server appeared", |line| line["server"] == name);
    }
}

/// Asserts that a gateway has stayed within its memory.
fn assert_within_memory(gateway: &Gateway, what: &str) {
    let peak_bytes = gateway.peak_bytes();
    assert!(peak_bytes < MEMORY_BYTES, "{what}: {} MB", peak_bytes / 1_000_000);
}

/// Guards against gateways that keep what another writer has in the list of servers, in place of
/// what they need of it, and end over their memory.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn large_entries_of_another_writer_take_no_memory() {
    for (kind, spec) in large_specs() {
        let site = Site::start();
        let told = Gateway::start("r1", site.store.address());

        for number in 0..FOREIGN_ENTRIES {
            site.store.put_text("servers", &format!("meter-{number}"), &spec);
            site.list_server(&format!("after-{number}"), &told);
        }
        let started_among = Gateway::start("r2", site.store.address());
        site.list_server("last", &started_among);

        assert_within_memory(&told, &format!("{kind}, told one by one"));
        assert_within_memory(&started_among, &format!("{kind}, started among them"));
    }
}

/// Guards against gateways that read such entries of other kinds as they are.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn large_entries_of_other_kinds_take_no_memory() {
    let (_, spec) = large_specs().swap_remove(1);
    for kind in [
        "versions",
        "rollouts",
        "config",
        "samphirespread-routers",
        "samphirespread-rollouts",
        "samphirespread-streams",
        "samphirespread-software",
        "samphirespread-crash-verdicts",
        "samphirespread-order-leases",
    ] {
        let site = Site::start();
        let told = Gateway::start("r3", site.store.address());

        // The records of which there is one have these names.
        for name in ["versions", "verdicts", "orders", "a", "b", "c"] {
            site.store.put_text(kind, name, &spec);
        }
        site.list_server("after", &told);
        let started_among = Gateway::start("r4", site.store.address());
        site.list_server("last", &started_among);

        assert_within_memory(&told, &format!("{kind}, told"));
        assert_within_memory(&started_among, &format!("{kind}, started among them"));
    }
}

/// Guards against a list that is never read again, as its changes since the last read are too long.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn more_changes_than_fit_in_an_answer_are_listed() {
    let site = Site::start();
    let gateway = Gateway::start("r5", site.store.address());
    let (_, spec) = large_specs().swap_remove(0);

    site.store.set_frozen(true);
    for number in 0..2 * FOREIGN_ENTRIES {
        site.store.put_text("servers", &format!("meter-{number}"), &spec);
    }
    site.store.set_frozen(false);

    site.list_server("after", &gateway);
    assert_within_memory(&gateway, "16 entries at once");
}

/// Guards against the memory for the errors of entries, which quote what another writer has stored.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn errors_of_large_entries_take_no_memory() {
    const REWRITES: usize = 100;
    let site = Site::start();
    let gateway = Gateway::start("r6", site.store.address());
    let (_, spec) = large_specs().swap_remove(4);

    for number in 0..REWRITES {
        // Each error is another one.
        let spec = spec.replace(r#""state":"x"#, &format!(r#""state":"{number}"#));
        site.store.put_text("servers", &format!("meter-{number}"), &spec);
        site.list_server(&format!("after-{number}"), &gateway);
        site.store.remove("servers", &format!("meter-{number}"));
    }

    assert_within_memory(&gateway, "errors");
}

/// Guards against gateways that many small entries of another writer take over their memory.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn many_small_entries_of_another_writer_take_little_memory() {
    const ENTRIES: usize = 96_000;
    let unnamed_service = json!({ "service": "host-agent", "address": "127.0.0.1:9", "zone": "khomas-1",
        "version": "v1", "slots": 6, "state": "ready", "models": [], "seq": 1, "born": 1 });
    let no_server = json!({ "source": "meter", "samples": [0, 0, 0, 0], "unit": { "name": "s" } });
    for (kind, spec) in [("no server", no_server), ("an unnamed service", unnamed_service)] {
        let site = Site::start();
        for number in 0..ENTRIES {
            site.store.put("servers", &format!("meter-{number:05}"), spec.clone());
        }

        let gateway = Gateway::start("r7", site.store.address());
        site.list_server("z-last", &gateway);

        assert_within_memory(&gateway, kind);
    }
}

/// Guards against sound servers that pay for the entries of another writer: one that drains is known
/// within the platform's bound on drains.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_server_that_drains_is_known_in_time_beside_large_entries() {
    const DRAIN_BOUND: Duration = Duration::from_secs(2);
    let site = Site::start();
    let gateway = Gateway::start("r8", site.store.address());
    let (_, spec) = large_specs().swap_remove(1);

    for number in 0..FOREIGN_ENTRIES {
        let id = format!("d-{number}");
        site.list_server(&id, &gateway);
        site.store.put_text("servers", &format!("meter-{number}"), &spec);
        site.store.put("servers", &id, site.worker.entry("draining"));
        let written = Instant::now();
        gateway.logged("server drains", |line| line["server"] == id.as_str());

        assert!(written.elapsed() < DRAIN_BOUND, "{:?}", written.elapsed());
    }
}
