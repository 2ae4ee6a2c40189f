//! A worker of a plain service: answers each request whole after a short time of work.

use std::{
    io,
    net::SocketAddr,
    sync::{Arc, Mutex},
    thread,
    time::Duration,
};

use serde_json::{Value, json};

use crate::{
    http::{self, Then},
    record::Record,
};

const WORK: Duration = Duration::from_millis(15);

/// A request that a worker has run.
#[derive(Clone, Debug)]
pub struct Run {
    pub request: String,
}

pub type Runs = Arc<Mutex<Vec<Run>>>;

pub struct PlainWorker {
    pub id: String,
    address: SocketAddr,
    service: String,
    zone: String,
    born: u64,
}

impl PlainWorker {
    pub fn start(
        id: &str,
        service: &str,
        zone: &str,
        address: SocketAddr,
        runs: &Runs,
        record: &Record,
    ) -> io::Result<Self> {
        let (own, runs, record) = (id.to_owned(), runs.clone(), record.clone());
        let address = http::serve(address, move |request, stream| {
            let expected = request.header("X-Samphirespread-Expect-Instance");
            if expected.is_some_and(|expected| expected != own) {
                let headers = [("X-Samphirespread-Instance-Id", own.as_str())];
                return http::answer(stream, 421, &headers, b"");
            }
            let Some(id) = request.header("X-Samphirespread-Attempt-Id").map(str::to_owned) else {
                let headers = [("X-Samphirespread-Not-Executed", "1")];
                return http::answer(stream, 400, &headers, b"");
            };
            let tenant = request.header("X-Samphirespread-Tenant").unwrap_or("-");
            record.line(&format!("run       {id} at {own} for {tenant}"));
            runs.lock().unwrap().push(Run { request: id.clone() });
            thread::sleep(WORK);
            let headers = [
                ("X-Samphirespread-Attempt-Id", id.as_str()),
                ("X-Samphirespread-Response-Seal", "3e1b.07.5a2.600.0.c9f2a4d1"),
                ("X-Samphirespread-Instance-Load", "1,0,6"),
                ("Keep-Alive", "timeout=30"),
            ];
            http::answer(stream, 200, &headers, format!("answer to {id}").as_bytes())?;
            Ok(Then::Keep)
        })?;
        let (service, zone) = (service.to_owned(), zone.to_owned());
        Ok(Self { id: id.to_owned(), address, service, zone, born: unix_ms() })
    }

    /// Its entry in the store.
    pub fn entry(&self) -> Value {
        json!({ "service": self.service, "address": self.address.to_string(), "zone": self.zone,
            "version": "1", "slots": 6, "state": "ready", "coldRemainingMs": 0, "seq": 1,
            "born": self.born })
    }
}

pub fn unix_ms() -> u64 {
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    since.map_or(0, |since| u64::try_from(since.as_millis()).unwrap_or(0))
}
