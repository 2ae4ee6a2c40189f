//! A worker that streams, and that can crash and start again under its id and address.

use std::{
    io::{self, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

use serde_json::{Value, json};

use crate::{
    http::{self, Request, Then},
    plain_worker::unix_ms,
    record::Record,
};

/// The model that each of these workers holds.
pub const MODEL: &str = "model-a";
/// Time between two events.
const EVENT_INTERVAL: Duration = Duration::from_millis(100);
const ACCEPT_INTERVAL: Duration = Duration::from_millis(2);

/// One boot of a worker.
pub struct StreamWorker {
    pub id: String,
    address: SocketAddr,
    zone: String,
    software: u64,
    /// The number of events of a stream.
    events: u64,
    born: u64,
    boot: Arc<Boot>,
    record: Record,
}

#[derive(Default)]
struct Boot {
    has_ended: AtomicBool,
    connections: Mutex<Vec<TcpStream>>,
}

impl StreamWorker {
    pub fn start(
        id: &str,
        zone: &str,
        address: SocketAddr,
        software: u64,
        events: u64,
        record: &Record,
    ) -> io::Result<Self> {
        let born = unix_ms();
        let listener = TcpListener::bind(address)?;
        listener.set_nonblocking(true)?;
        let boot = Arc::new(Boot::default());
        let (own, served, writes) = (id.to_owned(), boot.clone(), record.clone());
        thread::spawn(move || {
            while !served.has_ended.load(Ordering::Relaxed) {
                let Ok((stream, _)) = listener.accept() else {
                    thread::sleep(ACCEPT_INTERVAL);
                    continue;
                };
                let (own, boot, record) = (own.clone(), served.clone(), writes.clone());
                if stream.set_nonblocking(false).is_err() {
                    continue;
                }
                if let Ok(copy) = stream.try_clone() {
                    boot.connections.lock().unwrap().push(copy);
                }
                thread::spawn(move || {
                    let handler = |request: Request, stream: &mut TcpStream| {
                        if request.path() == "/-/report" {
                            return http::answer(stream, 200, &[], report(born).as_bytes());
                        }
                        let numbers = (software, events);
                        answer(&own, numbers, &boot, &request, stream, &record)
                    };
                    // A connection that breaks off ends its thread.
                    let _ = http::serve_connection(stream, &handler);
                });
            }
        });
        let (id, zone, record) = (id.to_owned(), zone.to_owned(), record.clone());
        record.line(&format!("worker    {id} starts with software {software}"));
        Ok(Self { id, address, zone, software, events, born, boot, record })
    }

    /// Its entry in the store.
    pub fn entry(&self) -> Value {
        json!({ "service": "drafting", "address": self.address.to_string(), "zone": self.zone,
            "version": self.software.to_string(), "slots": 64, "state": "ready",
            "coldRemainingMs": 0, "seq": 1,
            "models": [{ "name": MODEL, "version": 1, "adapters": [] }], "born": self.born })
    }

    /// Ends at once, as a killed process does: its port and its connections close.
    pub fn crash(&self) {
        self.boot.has_ended.store(true, Ordering::Relaxed);
        thread::sleep(2 * ACCEPT_INTERVAL);
        for connection in self.boot.connections.lock().unwrap().drain(..) {
            // It may be closed already.
            let _ = connection.shutdown(Shutdown::Both);
        }
        self.record.line(&format!("worker    {} with software {} crashes", self.id, self.software));
    }

    /// Starts again under the same id and address.
    pub fn start_again(&self, software: u64) -> io::Result<Self> {
        Self::start(&self.id, &self.zone, self.address, software, self.events, &self.record)
    }
}

/// What a worker says of itself.
fn report(born: u64) -> String {
    let report = json!({ "stage": "unified", "busy": false, "seq": 0, "numWaiting": 0,
        "models": [{ "name": MODEL, "version": 1, "adapters": [] }], "numRunning": 0,
        "kvUsed": 0, "kvTotal": 164_393, "handles": 0, "born": born });
    report.to_string()
}

fn answer(
    own: &str,
    (software, events): (u64, u64),
    boot: &Boot,
    request: &Request,
    stream: &mut TcpStream,
    record: &Record,
) -> io::Result<Then> {
    if request.header("X-Samphirespread-Expect-Instance").is_some_and(|expected| expected != own) {
        return http::answer(stream, 421, &[("X-Samphirespread-Instance-Id", own)], b"");
    }
    let id = request.header("X-Samphirespread-Attempt-Id").unwrap_or_default();
    let last: u64 = request.header("Last-Event-Id").and_then(|text| text.parse().ok()).unwrap_or(0);
    record.line(&format!("run       {id} at {own} with software {software} after event {last}"));
    let head = format!(
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\
         X-Samphirespread-Attempt-Id: {id}\r\n\
         X-Samphirespread-Response-Seal: 3e1b.07.5a2.600.0.c9f2a4d1\r\n\r\n"
    );
    stream.write_all(head.as_bytes())?;
    for number in last + 1..=events {
        if boot.has_ended.load(Ordering::Relaxed) {
            return Err(io::ErrorKind::ConnectionAborted.into());
        }
        let event = format!("id: {number}\ndata: text {number} of software {software}\n\n");
        write!(stream, "{:x}\r\n{event}\r\n", event.len())?;
        if number < events {
            thread::sleep(EVENT_INTERVAL);
        }
    }
    stream.write_all(b"0\r\n\r\n")?;
    Ok(Then::Keep)
}
