//! A backend server that answers byte by byte, and that ends and starts again as a process does.

use std::{
    net::{Ipv4Addr, SocketAddr},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering::SeqCst},
    },
    time::{Duration, Instant},
};

use serde_json::{Value, json};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpSocket, TcpStream},
    task::{JoinHandle, JoinSet},
    time,
};

use crate::site::{WORKER_PORT, cant_run};

pub const MODEL: &str = "draft-model";

#[derive(Clone, Debug)]
pub struct WorkerPlan {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub is_engine: bool,
    /// Events of a stream, and the time before each.
    pub events: u64,
    pub event_ms: u64,
    /// Work of a plain request.
    pub work_ms: u64,
}

/// A request that reached a worker.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub at: Instant,
    pub attempt: String,
    pub path: String,
    pub last_event: Option<u64>,
    pub ran: bool,
    pub software: String,
    /// Whether its whole answer was written.
    pub ended: bool,
}

pub struct Worker {
    pub plan: WorkerPlan,
    pub ip: Ipv4Addr,
    shared: Arc<Shared>,
    running: Option<JoinHandle<()>>,
}

struct Shared {
    plan: WorkerPlan,
    software: Mutex<String>,
    born: AtomicU64,
    is_in_trouble: AtomicBool,
    arrivals: Mutex<Vec<Arrival>>,
    endless_bytes: AtomicU64,
    /// The version of its weights.
    weights: AtomicU64,
    orders: AtomicU64,
    /// Whether it carries out an order: its runs end first, then it loads.
    is_busy: AtomicBool,
    running: AtomicU64,
    waiting: AtomicU64,
    /// How long a request waits before it begins.
    begin_ms: AtomicU64,
}

/// Events of an answer on a path that begins with `/verdict/`.
const VERDICT_EVENTS: u64 = 9;
/// Time to load weights.
const LOAD_MS: u64 = 1_100;

impl Worker {
    pub fn new(plan: WorkerPlan, ip: Ipv4Addr) -> Self {
        let shared = Shared {
            plan: plan.clone(),
            software: Mutex::new("v1".to_owned()),
            born: AtomicU64::new(unix_ms()),
            is_in_trouble: AtomicBool::new(false),
            arrivals: Mutex::default(),
            endless_bytes: AtomicU64::new(0),
            weights: AtomicU64::new(1),
            orders: AtomicU64::new(0),
            is_busy: AtomicBool::new(false),
            running: AtomicU64::new(0),
            waiting: AtomicU64::new(0),
            begin_ms: AtomicU64::new(0),
        };
        Self { plan, ip, shared: Arc::new(shared), running: None }
    }

    pub fn address(&self) -> SocketAddr {
        SocketAddr::from((self.ip, WORKER_PORT))
    }

    /// Starts its process, under the same id at each start.
    pub fn start(&mut self) {
        self.shared.born.store(unix_ms(), SeqCst);
        let socket = TcpSocket::new_v4().expect("a socket");
        socket.set_reuseaddr(true).expect("a socket");
        if let Err(error) = socket.bind(self.address()) {
            cant_run(&format!("{}: {error}", self.address()));
        }
        let listener = socket.listen(1_024).expect("a listener");
        self.running = Some(tokio::spawn(accept(listener, self.shared.clone())));
    }

    /// Ends its process: the kernel closes its connections and its port.
    pub async fn crash(&mut self) {
        let Some(running) = self.running.take() else { return };
        running.abort();
        let _ = running.await;
    }

    pub fn set_software(&self, version: &str) {
        version.clone_into(&mut self.shared.software.lock().unwrap());
    }

    pub fn set_in_trouble(&self, is_in_trouble: bool) {
        self.shared.is_in_trouble.store(is_in_trouble, SeqCst);
    }

    pub fn set_begin_ms(&self, begin_ms: u64) {
        self.shared.begin_ms.store(begin_ms, SeqCst);
    }

    pub fn weights(&self) -> u64 {
        self.shared.weights.load(SeqCst)
    }

    pub fn is_busy(&self) -> bool {
        self.shared.is_busy.load(SeqCst)
    }

    pub fn arrivals(&self) -> Vec<Arrival> {
        self.shared.arrivals.lock().unwrap().clone()
    }

    pub fn endless_bytes(&self) -> u64 {
        self.shared.endless_bytes.load(SeqCst)
    }

    /// Its entry in the store.
    pub fn entry(&self, state: &str) -> Value {
        let models = match self.plan.is_engine {
            true => json!([{ "name": MODEL, "version": self.shared.weights.load(SeqCst), "adapters": [] }]),
            false => json!([]),
        };
        json!({ "service": self.plan.service, "address": self.address().to_string(),
            "zone": self.plan.zone, "version": *self.shared.software.lock().unwrap(), "slots": 64,
            "state": state, "coldRemainingMs": 0, "models": models, "stage": "unified", "seq": 1,
            "born": self.shared.born.load(SeqCst) })
    }
}

fn unix_ms() -> u64 {
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    u64::try_from(since.expect("a time after 1970").as_millis()).expect("a time in range")
}

async fn accept(listener: TcpListener, shared: Arc<Shared>) {
    // Dropping the set ends the connections.
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                if let Ok((stream, _)) = accepted {
                    let _ = stream.set_nodelay(true);
                    connections.spawn(serve(stream, shared.clone()));
                }
            }
            Some(_) = connections.join_next(), if !connections.is_empty() => {}
        }
    }
}

struct Request {
    path: String,
    headers: Vec<(String, String)>,
    body: Vec<u8>,
}

impl Request {
    fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known == name);
        found.map(|(_, value)| value.as_str())
    }
}

async fn read_request(stream: &mut TcpStream, bytes: &mut Vec<u8>) -> Option<Request> {
    loop {
        if let Some(end) = bytes.windows(4).position(|window| window == b"\r\n\r\n") {
            let text = String::from_utf8_lossy(&bytes[..end]).into_owned();
            let mut lines = text.split("\r\n");
            let path = lines.next()?.split(' ').nth(1)?.to_owned();
            let headers = lines
                .filter_map(|line| line.split_once(':'))
                .map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned()))
                .collect();
            let mut request = Request { path, headers, body: Vec::new() };
            let length: usize =
                request.header("content-length").and_then(|it| it.parse().ok()).unwrap_or(0);
            if bytes.len() >= end + 4 + length {
                request.body = bytes.drain(..end + 4 + length).skip(end + 4).collect();
                return Some(request);
            }
        }
        let mut piece = [0; 8_192];
        match stream.read(&mut piece).await {
            Ok(0) | Err(_) => return None,
            Ok(count) => bytes.extend_from_slice(&piece[..count]),
        }
    }
}

async fn serve(mut stream: TcpStream, shared: Arc<Shared>) {
    let mut bytes = Vec::new();
    while let Some(request) = read_request(&mut stream, &mut bytes).await {
        let goes_on = match request.path.as_str() {
            "/-/report" => report(&mut stream, &shared).await,
            "/-/order" => order(&mut stream, &shared, &request).await,
            path if path.starts_with("/-/") => {
                write(&mut stream, "404 Not Found", &[], "{}").await
            }
            _ => answer(&mut stream, &shared, &request).await,
        };
        if !goes_on {
            return;
        }
    }
}

async fn write(stream: &mut TcpStream, status: &str, headers: &[(&str, &str)], body: &str) -> bool {
    let mut text = format!("HTTP/1.1 {status}\r\ncontent-length: {}\r\n", body.len());
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str("\r\n");
    text.push_str(body);
    stream.write_all(text.as_bytes()).await.is_ok()
}

async fn report(stream: &mut TcpStream, shared: &Shared) -> bool {
    let report = json!({ "stage": "unified", "born": shared.born.load(SeqCst),
        "models": [{ "name": MODEL, "version": shared.weights.load(SeqCst), "adapters": [] }],
        "busy": shared.is_busy.load(SeqCst), "seq": shared.orders.load(SeqCst),
        "numWaiting": shared.waiting.load(SeqCst), "numRunning": shared.running.load(SeqCst), "kvUsed": 0, "kvTotal": 164_393, "handles": 0 });
    write(stream, "200 OK", &[("content-type", "application/json")], &report.to_string()).await
}

/// Takes an order to load weights, in the mode `wait`.
async fn order(stream: &mut TcpStream, shared: &Arc<Shared>, request: &Request) -> bool {
    let order: Value = serde_json::from_slice(&request.body).unwrap_or_default();
    let version = order["version"].as_u64().unwrap_or(0);
    let is_expected = order["expect"].as_u64().is_none_or(|expected| expected == shared.orders.load(SeqCst));
    let status = if shared.is_busy.load(SeqCst) || !is_expected {
        "409 Conflict"
    } else if version <= shared.weights.load(SeqCst) {
        "200 OK"
    } else {
        shared.orders.fetch_add(1, SeqCst);
        shared.is_busy.store(true, SeqCst);
        let shared = shared.clone();
        tokio::spawn(async move {
            while shared.running.load(SeqCst) > 0 {
                time::sleep(Duration::from_millis(5)).await;
            }
            time::sleep(Duration::from_millis(LOAD_MS)).await;
            shared.weights.store(version, SeqCst);
            shared.is_busy.store(false, SeqCst);
        });
        "202 Accepted"
    };
    write(stream, status, &[("content-type", "application/json")], "{}").await
}

/// Counts a request as waiting or running until it is dropped.
struct Counted(Arc<Shared>, fn(&Shared) -> &AtomicU64);

impl Counted {
    fn new(shared: &Arc<Shared>, of: fn(&Shared) -> &AtomicU64) -> Self {
        of(shared).fetch_add(1, SeqCst);
        Self(shared.clone(), of)
    }
}

impl Drop for Counted {
    fn drop(&mut self) {
        (self.1)(&self.0).fetch_sub(1, SeqCst);
    }
}

async fn answer(stream: &mut TcpStream, shared: &Arc<Shared>, request: &Request) -> bool {
    let plan = &shared.plan;
    let attempt = request.header("x-samphirespread-attempt-id").unwrap_or_default().to_owned();
    let last_event = request.header("last-event-id").and_then(|it| it.parse().ok());
    let expected = request.header("x-samphirespread-expect-instance");
    let is_other = expected.is_some_and(|expected| expected != plan.id);
    let software = shared.software.lock().unwrap().clone();
    let index = {
        let mut arrivals = shared.arrivals.lock().unwrap();
        arrivals.push(Arrival {
            at: Instant::now(),
            attempt: attempt.clone(),
            path: request.path.clone(),
            last_event,
            ran: !is_other,
            software: software.clone(),
            ended: false,
        });
        arrivals.len() - 1
    };
    let mut headers = vec![
        ("x-samphirespread-attempt-id", attempt.as_str()),
        ("x-samphirespread-instance-id", plan.id.as_str()),
        ("x-samphirespread-instance-load", "1,0,64"),
    ];
    if is_other {
        headers.push(("x-samphirespread-not-executed", "1"));
        return write(stream, "421 Misdirected Request", &headers, "").await;
    }
    let version = request.header("x-samphirespread-expect-version").and_then(|it| it.parse().ok());
    let is_other_version = version.is_some_and(|version: u64| version != shared.weights.load(SeqCst));
    if plan.is_engine && (is_other_version || shared.is_busy.load(SeqCst)) {
        let status = if is_other_version { "421 Misdirected Request" } else { "503 Service Unavailable" };
        headers.push(("x-samphirespread-not-executed", "1"));
        shared.arrivals.lock().unwrap()[index].ran = false;
        return write(stream, status, &headers, "").await;
    }
    headers.push(("x-samphirespread-response-seal", "seal"));
    if !plan.is_engine {
        time::sleep(Duration::from_millis(plan.work_ms)).await;
        let is_written = write(stream, "200 OK", &headers, &format!("done {attempt}")).await;
        shared.arrivals.lock().unwrap()[index].ended = is_written;
        return is_written;
    }
    let mut head = String::from(
        "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\
         x-samphirespread-weight-versions: 1\r\n",
    );
    for (name, value) in &headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str("\r\n");
    if stream.write_all(head.as_bytes()).await.is_err() {
        return false;
    }
    if shared.is_in_trouble.load(SeqCst) {
        write_without_end(stream, shared).await;
        return false;
    }
    let begin_ms = shared.begin_ms.load(SeqCst);
    if begin_ms > 0 {
        let _waiting = Counted::new(shared, |shared| &shared.waiting);
        let mut more = [0; 1];
        // The end of the channel ends a request that waits.
        tokio::select! {
            () = time::sleep(Duration::from_millis(begin_ms)) => {}
            _ = stream.read(&mut more) => {
                shared.arrivals.lock().unwrap()[index].ran = false;
                return false;
            }
        }
    }
    let _running = Counted::new(shared, |shared| &shared.running);
    let events = if request.path.starts_with("/verdict/") { VERDICT_EVENTS } else { plan.events };
    for number in last_event.unwrap_or(0) + 1..=events {
        time::sleep(Duration::from_millis(plan.event_ms)).await;
        let event = format!("id: {number}\ndata: {software} {attempt} {number}\n\n");
        let chunk = format!("{:x}\r\n{event}\r\n", event.len());
        if stream.write_all(chunk.as_bytes()).await.is_err() {
            return false;
        }
    }
    let is_written = stream.write_all(b"0\r\n\r\n").await.is_ok();
    shared.arrivals.lock().unwrap()[index].ended = is_written;
    is_written
}

/// Bytes between two empty lines of what a worker in trouble writes.
const PAGE_BYTES: usize = 700_000;

/// Writes bytes that are no answer, until the caller closes: pages of a dump, each followed by an empty
/// line.
async fn write_without_end(stream: &mut TcpStream, shared: &Shared) {
    let mut page = b"d1d2d3d4d5d6d7d8\n".repeat(PAGE_BYTES / 17);
    page.push(b'\n');
    let head = format!("{:x}\r\n", page.len());
    loop {
        for piece in [head.as_bytes(), &page, b"\r\n"] {
            for part in piece.chunks(16 * 1_024) {
                if stream.write_all(part).await.is_err() {
                    return;
                }
                shared.endless_bytes.fetch_add(part.len() as u64, SeqCst);
            }
        }
    }
}
