//! A model worker that keeps parts of prompts, each under the text that the system sets, and knows
//! whose request made it.

use std::{
    collections::HashMap,
    io,
    net::SocketAddr,
    sync::{Arc, Mutex},
    thread,
    time::Duration,
};

use serde_json::{Value, json};

use crate::{http, plain_worker::unix_ms, record::Record};

pub const MODEL: &str = "model-a";
const WORK: Duration = Duration::from_millis(30);
const REPORT: &str = r#"{"stage":"unified","models":[{"name":"model-a","version":1,"adapters":[]}],
"busy":false,"seq":0,"numWaiting":0,"numRunning":0,"kvUsed":0,"kvTotal":164393,"handles":0}"#;

/// A shared part that a run has found.
#[derive(Clone, Debug)]
pub struct Found {
    pub request: String,
    pub tenant: String,
    pub part: String,
    /// The tenant whose request made the part.
    pub made_by: String,
    pub at_ms: u64,
}

pub type Findings = Arc<Mutex<Vec<Found>>>;

/// The tenants that made the parts that are kept under each text.
type Cache = HashMap<String, HashMap<String, String>>;

pub struct EngineWorker {
    pub id: String,
    pub address: SocketAddr,
    zone: String,
    born: u64,
}

impl EngineWorker {
    pub fn start(
        id: &str,
        zone: &str,
        address: SocketAddr,
        findings: &Findings,
        record: &Record,
    ) -> io::Result<Self> {
        let (own, findings, record) = (id.to_owned(), findings.clone(), record.clone());
        let cache: Mutex<Cache> = Mutex::default();
        let address = http::serve(address, move |request, stream| {
            if request.path() == "/-/report" {
                return http::answer(stream, 200, &[], REPORT.as_bytes());
            }
            if request.header("X-Samphirespread-Expect-Instance").is_some_and(|id| id != own) {
                let headers = [("X-Samphirespread-Instance-Id", own.as_str())];
                return http::answer(stream, 421, &headers, b"");
            }
            let text = |name| request.header(name).unwrap_or_default().to_owned();
            let id = text("X-Samphirespread-Attempt-Id");
            let tenant = text("X-Samphirespread-Tenant");
            let salt = text("X-Samphirespread-Cache-Salt");
            let prefix = text("X-Samphirespread-Prompt-Prefix");
            record.line(&format!(
                "run       {id} at {own} for {tenant}, salt {salt:?}, parts {prefix}"
            ));
            let mut parts: Vec<&str> = prefix.split(',').collect();
            // The last part belongs to the request itself.
            parts.pop();
            let mut cache = cache.lock().unwrap();
            let kept = cache.entry(salt).or_default();
            let mut is_found = true;
            for part in parts {
                is_found &= kept.contains_key(part);
                if is_found {
                    let found = Found {
                        request: id.clone(),
                        tenant: tenant.clone(),
                        part: part.to_owned(),
                        made_by: kept[part].clone(),
                        at_ms: record.now_ms(),
                    };
                    findings.lock().unwrap().push(found);
                } else {
                    kept.entry(part.to_owned()).or_insert_with(|| tenant.clone());
                }
            }
            drop(cache);
            thread::sleep(WORK);
            let headers = [
                ("X-Samphirespread-Attempt-Id", id.as_str()),
                ("X-Samphirespread-Response-Seal", "3e1b.07.5a2.600.0.c9f2a4d1"),
                ("X-Samphirespread-Weight-Versions", "1"),
                ("Content-Type", "text/event-stream"),
            ];
            let body = format!("id: 1\ndata: answer to {id}\n\n");
            http::answer(stream, 200, &headers, body.as_bytes())
        })?;
        Ok(Self { id: id.to_owned(), address, zone: zone.to_owned(), born: unix_ms() })
    }

    /// Its entry in the store.
    pub fn entry(&self) -> Value {
        json!({ "service": "lm", "address": self.address.to_string(), "zone": self.zone,
            "version": "1", "slots": 64, "state": "ready", "coldRemainingMs": 0, "seq": 0,
            "stage": "unified", "models": [{ "name": MODEL, "version": 1, "adapters": [] }],
            "born": self.born })
    }
}
