//! Gateways whose callers read slowly what a server writes without end.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    thread,
    time::{Duration, Instant},
};

use samphirespread_standin::published::ObjectStore;
use serde_json::{Value, json};

use crate::process::Gateway;

/// Callers with a stream each.
const CALLERS: usize = 60;
/// How long the server writes.
const WRITING: Duration = Duration::from_secs(5);
/// What each caller reads at once, and the pause after it: 40 KB a second.
const READ_BYTES: usize = 4_000;
const READ_PAUSE: Duration = Duration::from_millis(100);

fn configuration() -> Value {
    json!({ "version": 1,
        "routes": [{ "name": "stream", "hostname": "desk.example", "pathPrefix": "/stream/",
            "routeType": "stream", "timeoutMs": 20000, "targetLatencyMs": 300, "priority": 1,
            "service": "desk", "maxAttempts": 1, "anonymous": true, "resumable": false }],
        "services": [{ "name": "desk", "maxConns": 1000 }] })
}

/// Starts a server that answers each request with events of this size without end.
fn start_endless_server(event_bytes: usize) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        while let Ok((stream, _)) = listener.accept() {
            thread::spawn(move || write_without_end(stream, event_bytes));
        }
    });
    address
}

fn write_without_end(mut stream: TcpStream, event_bytes: usize) {
    let mut request = vec![0; 4_096];
    let Ok(count @ 1..) = stream.read(&mut request) else { return };
    let text = String::from_utf8_lossy(&request[..count]).to_lowercase();
    let id = text.lines().find_map(|line| line.strip_prefix("x-samphirespread-attempt-id:"));
    let head = format!(
        "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\nx-samphirespread-response-seal: seal\r\n\
         x-samphirespread-attempt-id: {}\r\n\r\n",
        id.unwrap_or_default().trim()
    );
    let event = format!("data: {}\n\n", "x".repeat(event_bytes));
    let mut sent = stream.write_all(head.as_bytes());
    while sent.is_ok() {
        sent = stream.write_all(event.as_bytes());
    }
}

/// Reads a stream slowly until the server has written for long enough or it ends.
fn read_slowly(callers: SocketAddr, number: usize) {
    let mut stream = TcpStream::connect(callers).unwrap();
    let request = format!(
        "POST /stream/a HTTP/1.1\r\nhost: desk.example\r\nx-samphirespread-attempt-id: s{number}\r\n\
         x-samphirespread-deadline-ms: 20000\r\ncontent-length: 0\r\n\r\n"
    );
    stream.write_all(request.as_bytes()).unwrap();
    let begun = Instant::now();
    let mut piece = [0; READ_BYTES];
    while begun.elapsed() < WRITING && stream.read(&mut piece).is_ok_and(|count| count > 0) {
        thread::sleep(READ_PAUSE);
    }
}

/// Guards against complete events that wait for slow callers and that nothing counts.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn complete_events_for_slow_callers_do_not_fill_the_memory() {
    for event_bytes in [700_000, 60_000, 3_000] {
        let store = ObjectStore::start().unwrap();
        store.put("config", "main", configuration());
        let server = start_endless_server(event_bytes);
        let entry = json!({ "service": "desk", "address": server.to_string(), "zone": "khomas-1",
            "version": "v1", "slots": 1000, "state": "ready", "models": [], "seq": 1, "born": 1 });
        store.put("servers", "d1", entry);
        let gateway = Gateway::start(&format!("stream-{event_bytes}"), store.address());
        let callers = gateway.callers();
        thread::sleep(Duration::from_millis(500));

        let readers: Vec<_> = (0..CALLERS)
            .map(|number| thread::spawn(move || read_slowly(callers, number)))
            .collect();
        readers.into_iter().for_each(|reader| reader.join().unwrap());

        gateway.assert_within_memory(&format!("events of {event_bytes} bytes"));
    }
}
