//! The operator makes a tenant dedicated whose prompts the workers keep already.

use std::{io, sync::Arc, thread, time::Duration};

use serde_json::{Value, json};

use crate::{
    Case, Verdict,
    engine_worker::{EngineWorker, Findings, Found, MODEL},
    http,
    record::Record,
    store::Store,
    system::{Network, Program},
};

const WALLED: (&str, &str) = ("tenant-a", "key-a-5f2c71d09be4");
const OTHER: (&str, &str) = ("tenant-b", "key-b-91ab3c07e5fd");
const CONFIG_APPLY_MS: u64 = 2_000;
/// The shared parts of prompts that tenants ask about.
const DOCUMENTS: usize = 10;
const ROUNDS_AFTER: usize = 10;

fn configuration(version: u64, is_dedicated: bool) -> Value {
    json!({
        "version": version,
        "routes": [{ "name": "draft", "hostname": "desk.example", "pathPrefix": "/draft/",
            "routeType": "stream", "timeoutMs": 4_000, "targetLatencyMs": 300, "priority": 1,
            "gapTargetMs": 250, "service": "lm", "maxAttempts": 1, "anonymous": false,
            "resumable": false, "sessionAffinity": true }],
        "services": [{ "name": "lm", "maxConns": 370, "healthPath": "/health",
            "engine": { "slots": 64, "kvCapacityTokens": 164_393, "tokenKvBytes": 18_432,
                "linkMbps": 370_000.0, "moves": false } }],
        "tenants": [
            { "name": WALLED.0, "apiKeys": [WALLED.1], "dedicated": is_dedicated },
            { "name": OTHER.0, "apiKeys": [OTHER.1], "dedicated": false },
        ],
        "limits": { "maxHeaderBytes": 16_384, "maxBodyBytes": 4_194_304,
            "headerTimeoutMs": 5_000, "idleTimeoutMs": 15_000 },
    })
}

struct Callers<'a> {
    record: &'a Record,
    routers: &'a [Program],
    sent: usize,
    served: usize,
}

impl Callers<'_> {
    /// A tenant asks about each document once.
    fn ask(&mut self, (tenant, key): (&str, &str)) {
        for document in 0..DOCUMENTS {
            self.sent += 1;
            let id = format!("request-{}-{tenant}", self.sent);
            let router = self.routers[self.sent % self.routers.len()].callers();
            let authorization = format!("Token {key}");
            let prefix =
                format!("{:x}:1500,{:x}:100", 0x5c1e_0000 + document, 0x91bd_0000 + self.sent);
            let headers = [
                ("Host", "desk.example"),
                ("X-Samphirespread-Attempt-Id", id.as_str()),
                ("X-Samphirespread-Deadline-Ms", "4000"),
                ("X-Samphirespread-Model", MODEL),
                ("X-Samphirespread-Token-Usage", "1600,40"),
                ("X-Samphirespread-Prompt-Prefix", prefix.as_str()),
                ("Authorization", authorization.as_str()),
            ];
            let timeout = Duration::from_secs(4);
            let answer = http::call(router, "POST", "/draft/x", &headers, b"{}", timeout);
            let status = answer.map(|answer| answer.status);
            self.record.line(&format!("answered  {id}: {status:?}"));
            self.served += usize::from(matches!(status, Ok(200)));
        }
    }
}

pub fn run(case: &Case) -> io::Result<Verdict> {
    let (record, network) = (&case.record, Network::new()?);
    let store = Store::start(network.store())?;
    let findings: Findings = Arc::default();
    let (mut sidecars, mut routers) = (Vec::new(), Vec::new());
    for (id, zone, machine) in [("i-1", "a", 21), ("i-2", "b", 22)] {
        let worker = EngineWorker::start(id, zone, network.worker(machine), &findings, record)?;
        store.put("servers", &worker.id, &worker.entry());
        let (name, folder) = (format!("side-{zone}-1"), &case.folder);
        sidecars.push(Program::start("sidecar", &name, zone, machine, &network, folder)?);
    }
    store.put("versions", MODEL, &json!({ "model": MODEL, "version": 1 }));
    store.put("config", "main", &configuration(5, false));
    for (name, zone, machine) in [("front-a-1", "a", 11), ("front-b-1", "b", 12)] {
        let folder = &case.folder;
        routers.push(Program::start("gateway", name, zone, machine, &network, folder)?);
    }
    for router in &routers {
        router.wait_until_ready()?;
    }
    thread::sleep(Duration::from_secs(4));
    let mut callers = Callers { record, routers: &routers, sent: 0, served: 0 };
    // Each tenant shares what it likes with the other so far.
    callers.ask(WALLED);
    callers.ask(OTHER);
    let mut confirmed_ms = record.now_ms();
    if case.has_trouble {
        let revision = store.put("config", "main", &configuration(8, true));
        confirmed_ms = record.now_ms();
        record.line(&format!(
            "operator: version 8, {} is dedicated, confirmed at {revision}",
            WALLED.0
        ));
    }
    thread::sleep(Duration::from_millis(2 * CONFIG_APPLY_MS));
    let asked_from_ms = record.now_ms();
    assert!(asked_from_ms > confirmed_ms + CONFIG_APPLY_MS);
    for _ in 0..ROUNDS_AFTER {
        callers.ask(OTHER);
        callers.ask(WALLED);
        thread::sleep(Duration::from_millis(200));
    }
    let (sent, served) = (callers.sent, callers.served);
    drop(routers);
    if served < sent / 2 {
        return Err(io::Error::other("most requests were not served"));
    }
    let findings = findings.lock().unwrap();
    Ok(judge(&findings, asked_from_ms, case.has_trouble, (sent, served), record))
}

/// WALL: no request uses what a request of another tenant made, where one of the two is dedicated.
fn judge(
    findings: &[Found],
    from_ms: u64,
    is_dedicated: bool,
    (sent, served): (usize, usize),
    record: &Record,
) -> Verdict {
    let is_walled = |tenant: &str| is_dedicated && tenant == WALLED.0;
    let is_wrong = |found: &&Found| {
        found.at_ms >= from_ms
            && found.tenant != found.made_by
            && (is_walled(&found.tenant) || is_walled(&found.made_by))
    };
    let wrong: Vec<&Found> = findings.iter().filter(is_wrong).collect();
    for found in &wrong {
        let Found { request, tenant, part, made_by, .. } = found;
        record.line(&format!("broken: {request} of {tenant} uses {part}, which {made_by} made"));
    }
    let later = findings.iter().filter(|found| found.at_ms >= from_ms).count();
    let reason = format!(
        "of {later} uses of kept parts, {} cross the wall around {}; {served} of {sent} requests \
         were served",
        wrong.len(),
        WALLED.0
    );
    Verdict { is_broken: !wrong.is_empty(), reason }
}
