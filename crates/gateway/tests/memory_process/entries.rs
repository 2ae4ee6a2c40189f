//! Gateways whose lists in the store have entries of another writer.

use std::time::{Duration, Instant};

use samphirespread_standin::published::{ObjectStore, Worker, WorkerConfig};
use serde_json::{Value, json};

use crate::process::Gateway;

/// Entries of the other writer, and their size, which is what the store takes at most.
const FOREIGN_ENTRIES: usize = 8;
const FOREIGN_BYTES: usize = 1_000_000;

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

        told.assert_within_memory(&format!("{kind}, told one by one"));
        started_among.assert_within_memory(&format!("{kind}, started among them"));
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

        told.assert_within_memory(&format!("{kind}, told"));
        started_among.assert_within_memory(&format!("{kind}, started among them"));
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
    gateway.assert_within_memory("16 entries at once");
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

    gateway.assert_within_memory("errors");
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

        gateway.assert_within_memory(kind);
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
