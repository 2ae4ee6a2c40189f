//! A model worker: streams of events, reports, and runs that are moved to another worker.

use std::{
    collections::HashMap,
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard},
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use serde_json::{Value, json};
use tokio::{
    net::{TcpSocket, TcpStream},
    sync::watch,
    task::JoinHandle,
    time,
};

use crate::{
    http::{Head, Wire},
    record::Record,
};

pub const MODEL: &str = "reader";
/// Time limit for a connection that fills up the queue of a dark worker.
const FILLER_TIMEOUT: Duration = Duration::from_millis(20);
/// A prompt is long from this length on.
pub const LONG_PROMPT_TOKENS: u64 = 9_000;

/// Copies of the memory of runs at all engines: the request that each handle belongs to.
pub type Copies = Arc<Mutex<HashMap<String, String>>>;

/// A run as its worker saw it.
#[derive(Clone, Debug)]
pub struct Run {
    pub request: String,
    /// The parts of the prompt.
    pub parts: String,
    pub at_ms: u64,
    /// Whether it goes on from a copy of a run's memory.
    pub is_moved: bool,
}

/// The link over which a worker copies the memory of its runs, one copy after the other.
#[derive(Clone, Copy, Debug)]
pub struct CopyLink {
    /// The time that the memory of one token takes.
    pub token_us: f64,
}

/// The figures of a worker.
#[derive(Clone, Copy, Debug)]
pub struct EngineSize {
    pub memory_tokens: u64,
    pub token_bytes: u64,
    pub link_mbps: u64,
    /// The memory that each run of the case takes.
    pub run_tokens: u64,
}

/// The workers of ovcw-notices, with runs of `notice-draft`.
pub const NOTICES: EngineSize =
    EngineSize { memory_tokens: 164_393, token_bytes: 18_432, link_mbps: 370_000, run_tokens: 840 };

#[derive(Default)]
struct State {
    software: String,
    born_unix_ms: u64,
    /// Running requests, each with the switch that stops it.
    running: HashMap<String, watch::Sender<bool>>,
    /// The prompt tokens of each of them.
    prompt_tokens: HashMap<String, u64>,
    /// Runs whose memory was copied once.
    copied_once: Vec<String>,
    runs: Vec<Run>,
    is_draining: bool,
    sequence: u64,
    is_dark: bool,
    /// Counts the starts after it was dark.
    boot: u64,
}

pub struct Engine {
    pub id: String,
    pub address: SocketAddr,
    pub zone: String,
    pub event_ms: u64,
    copies: Copies,
    copy_link: Mutex<CopyLink>,
    size: EngineSize,
    /// Connections that may wait to be accepted.
    backlog: u32,
    /// Connections that fill up that queue while it is dark, so that nobody else connects.
    fillers: Mutex<Vec<std::net::TcpStream>>,
    /// One copy at a time.
    link: tokio::sync::Mutex<()>,
    state: Mutex<State>,
    record: Record,
    /// Set to true when the process ends: its connections are reset.
    process: Mutex<Option<(watch::Sender<bool>, JoinHandle<()>)>>,
    /// Where the first run with a long prompt goes that a call has stopped.
    pub first_stop: watch::Sender<Option<String>>,
    /// A part of prompts that crashes this worker when it begins to write an answer on it.
    pub crashing_part: Mutex<Option<String>>,
    /// After this time it drops an idle channel without notice: what is sent next there is reset.
    pub idle_drop_ms: Mutex<Option<u64>>,
    /// Told when that happens.
    pub crashed: watch::Sender<u64>,
}

impl Engine {
    pub fn new(
        id: &str,
        address: SocketAddr,
        zone: &str,
        event_ms: u64,
        (copies, copy_link, size, backlog): (Copies, CopyLink, EngineSize, u32),
        record: &Record,
    ) -> Arc<Self> {
        Arc::new(Self {
            id: id.to_owned(),
            address,
            zone: zone.to_owned(),
            event_ms,
            copies,
            copy_link: Mutex::new(copy_link),
            size,
            backlog,
            fillers: Mutex::default(),
            link: tokio::sync::Mutex::default(),
            state: Mutex::default(),
            record: record.clone(),
            process: Mutex::default(),
            first_stop: watch::Sender::new(None),
            crashing_part: Mutex::default(),
            idle_drop_ms: Mutex::default(),
            crashed: watch::Sender::new(0),
        })
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap()
    }

    /// Starts its process with a version of its software. It knows nothing of before.
    pub async fn start(self: &Arc<Self>, software: &str) -> io::Result<()> {
        let socket = TcpSocket::new_v4()?;
        socket.set_reuseaddr(true)?;
        socket.bind(self.address)?;
        let listener = socket.listen(self.backlog)?;
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        {
            let mut state = self.lock();
            let runs = std::mem::take(&mut state.runs);
            *state = State {
                software: software.to_owned(),
                born_unix_ms: unix.as_millis() as u64,
                runs,
                ..State::default()
            };
        }
        let ended = watch::Sender::new(false);
        let (engine, end) = (self.clone(), ended.clone());
        let task = tokio::spawn(async move {
            let mut has_ended = end.subscribe();
            loop {
                while engine.is_dark() {
                    time::sleep(Duration::from_millis(10)).await;
                }
                tokio::select! {
                    accepted = listener.accept() => {
                        if let Ok((stream, _)) = accepted {
                            tokio::spawn(connection(engine.clone(), stream, end.subscribe()));
                        }
                    }
                    _ = has_ended.changed() => return,
                }
            }
        });
        *self.process.lock().unwrap() = Some((ended, task));
        self.record.line(&format!(
            "worker {} starts at {} with software {software}",
            self.id, self.address
        ));
        Ok(())
    }

    /// Loses power: nothing is sent any more, not even the end of its connections, and connecting is not
    /// answered.
    /// [`start_again`](Self::start_again) ends that.
    pub fn go_dark(&self) {
        let mut state = self.lock();
        state.is_dark = true;
        state.running.clear();
        drop(state);
        for _ in 0..=self.backlog {
            // The kernel answers the first ones, which nobody accepts.
            let filler = std::net::TcpStream::connect_timeout(&self.address, FILLER_TIMEOUT);
            let Ok(filler) = filler else { break };
            self.fillers.lock().unwrap().push(filler);
        }
        self.record.line(&format!("worker {} goes dark", self.id));
    }

    /// Comes back after it was dark. Its old connections stay silent for good.
    pub fn start_again(&self) {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let mut state = self.lock();
        (state.is_dark, state.boot) = (false, state.boot + 1);
        state.born_unix_ms = unix.as_millis() as u64;
        state.sequence = 0;
        drop(state);
        self.fillers.lock().unwrap().clear();
        self.record.line(&format!("worker {} is back", self.id));
    }

    pub fn is_dark(&self) -> bool {
        self.lock().is_dark
    }

    /// Waits for good if the process that had this connection has lost power.
    async fn hang_if_dark(&self, boot: u64) {
        let is_silent = {
            let state = self.lock();
            state.is_dark || state.boot != boot
        };
        if is_silent {
            std::future::pending::<()>().await;
        }
    }

    /// Reads the head of the next request, unless the channel was idle for too long before.
    async fn next_head(
        &self,
        wire: &mut Wire,
        idle_since: Option<time::Instant>,
    ) -> io::Result<Option<Head>> {
        wire.stream.readable().await?;
        let drop_ms = *self.idle_drop_ms.lock().unwrap();
        let idle = idle_since.map(|since| since.elapsed());
        if drop_ms.zip(idle).is_some_and(|(ms, idle)| idle > Duration::from_millis(ms)) {
            self.record
                .line(&format!("worker {}: a channel that it had dropped is reset", self.id));
            return Err(io::Error::other("the channel was dropped"));
        }
        wire.head().await
    }

    /// What it writes of itself into the store.
    pub fn entry(&self) -> Value {
        let mut state = self.lock();
        state.sequence += 1;
        let availability = if state.is_draining { "draining" } else { "ready" };
        json!({ "service": "canopy-lm", "address": self.address.to_string(), "zone": self.zone,
                "version": state.software, "slots": 64, "state": availability,
                "coldRemainingMs": 0, "seq": state.sequence, "born": state.born_unix_ms,
                "stage": "unified",
                "models": [{ "name": MODEL, "version": 1, "adapters": [] }] })
    }

    pub fn is_running(&self) -> bool {
        self.process.lock().unwrap().is_some()
    }

    /// The number of requests that run with a prompt of this length or more.
    pub fn running(&self, min_tokens: u64) -> usize {
        let state = self.lock();
        let is_long =
            |id: &&String| state.prompt_tokens.get(*id).is_some_and(|it| *it >= min_tokens);
        state.running.keys().filter(is_long).count()
    }

    pub fn set_copy_link(&self, copy_link: CopyLink) {
        *self.copy_link.lock().unwrap() = copy_link;
    }

    pub fn begin_to_drain(&self) {
        self.lock().is_draining = true;
    }

    pub fn runs(&self) -> Vec<Run> {
        self.lock().runs.clone()
    }

    fn report(&self) -> Value {
        let state = self.lock();
        json!({ "stage": "unified", "born": state.born_unix_ms,
                "models": [{ "name": MODEL, "version": 1, "adapters": [] }], "busy": false,
                "seq": 0, "numWaiting": 0, "numRunning": state.running.len(),
                "kvUsed": self.size.run_tokens * state.running.len() as u64,
                "kvTotal": self.size.memory_tokens, "handles": 0 })
    }
}

/// Serves a connection until it ends, or the process does.
async fn connection(engine: Arc<Engine>, stream: TcpStream, mut ended: watch::Receiver<bool>) {
    let _ = stream.set_nodelay(true);
    // What ends early ends with a reset, as when a process crashes.
    let _ = stream.set_zero_linger();
    let mut wire = Wire::new(stream);
    tokio::select! {
        _ = serve(&engine, &mut wire) => {}
        _ = ended.changed() => {}
    }
}

async fn serve(engine: &Arc<Engine>, wire: &mut Wire) -> io::Result<()> {
    let boot = engine.lock().boot;
    engine.hang_if_dark(boot).await;
    let mut idle_since = None;
    while let Some(head) = engine.next_head(wire, idle_since).await? {
        engine.hang_if_dark(boot).await;
        let length = head.header("content-length").parse().unwrap_or(0);
        let body = wire.body(length).await?;
        let path = head.second_word().to_owned();
        match path.as_str() {
            "/-/report" => answer(wire, "200 OK", "", engine.report().to_string()).await?,
            "/-/kv-move" => copy_run(engine, wire, &body).await?,
            path if path.starts_with("/-/") => answer(wire, "200 OK", "", "{}".to_owned()).await?,
            _ => generate(engine, wire, &head, boot).await?,
        }
        idle_since = Some(time::Instant::now());
    }
    Ok(())
}

async fn answer(wire: &mut Wire, status: &str, headers: &str, body: String) -> io::Result<()> {
    let head = format!(
        "HTTP/1.1 {status}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n{headers}\r\n",
        body.len()
    );
    wire.write(format!("{head}{body}").as_bytes()).await
}

/// Copies a run's memory over the worker's link. The last call stops the run first.
async fn copy_run(engine: &Arc<Engine>, wire: &mut Wire, body: &[u8]) -> io::Result<()> {
    let call: Value = serde_json::from_slice(body).unwrap_or_default();
    let request = call["id"].as_str().unwrap_or_default().to_owned();
    let (stops, to) = (call["last"].as_bool().unwrap_or(false), call["to"].to_string());
    engine
        .record
        .line(&format!("worker {}: call to copy {request} to {to}, last: {stops}", engine.id));
    let stopped = engine.lock().running.get(&request).cloned();
    let Some(stopped) = stopped else {
        return answer(wire, "404 Not Found", "", "{}".to_owned()).await;
    };
    if stops {
        let tokens = engine.lock().prompt_tokens.get(&request).copied().unwrap_or(0);
        let is_long = tokens >= LONG_PROMPT_TOKENS;
        stopped.send_replace(true);
        engine.first_stop.send_if_modified(|first| {
            let is_first = first.is_none() && is_long;
            if is_first {
                *first = Some(to.clone());
            }
            is_first
        });
    }
    // A copy that waits is made also if nobody waits for its answer any more.
    let (copying, id) = (engine.clone(), request.clone());
    let copied = tokio::spawn(async move {
        let _turn = copying.link.lock().await;
        let is_new = !copying.lock().copied_once.contains(&id);
        let tokens = copying.lock().prompt_tokens.get(&id).copied().unwrap_or(0);
        // A second copy has only what is new.
        let copied_tokens = if is_new { tokens } else { 10 };
        let copy_us = copied_tokens as f64 * copying.copy_link.lock().unwrap().token_us;
        time::sleep(Duration::from_micros(copy_us as u64)).await;
        copying.lock().copied_once.push(id);
    });
    let _ = copied.await;
    let handle = format!("h-{}-{request}", engine.id);
    engine.copies.lock().unwrap().insert(handle.clone(), request.clone());
    engine.record.line(&format!("worker {}: {request} is copied, last: {stops}", engine.id));
    let body = json!({ "handle": handle, "createRevision": 0 }).to_string();
    answer(wire, "200 OK", "", body).await
}

async fn generate(engine: &Arc<Engine>, wire: &mut Wire, head: &Head, boot: u64) -> io::Result<()> {
    let request = head.header("x-samphirespread-attempt-id");
    let echo = format!("X-Samphirespread-Attempt-Id: {request}\r\n");
    let not_run = format!("{echo}X-Samphirespread-Not-Executed: 1\r\n");
    let expected = head.header("x-samphirespread-expect-instance");
    let weights = head.header("x-samphirespread-expect-version");
    if (!expected.is_empty() && expected != engine.id) || (!weights.is_empty() && weights != "1") {
        return answer(wire, "421 Misdirected Request", &not_run, String::new()).await;
    }
    let from = head.header("kv-from");
    if !from.is_empty() {
        let handle = from.rsplit_once('/').map_or("", |(_, handle)| handle);
        let known = engine.copies.lock().unwrap().remove(handle);
        if known.as_deref() != Some(&request) {
            return answer(wire, "503 Service Unavailable", &not_run, String::new()).await;
        }
    }
    let usage = head.header("x-samphirespread-token-usage");
    let events: u64 =
        usage.split(',').nth(1).and_then(|text| text.trim().parse().ok()).unwrap_or(1);
    let last: u64 = head.header("last-event-id").parse().unwrap_or(0);
    let stop = watch::Sender::new(false);
    let mut stopped = stop.subscribe();
    let (software, run) = {
        let mut state = engine.lock();
        let run = Run {
            request: request.clone(),
            parts: head.header("x-samphirespread-prompt-prefix"),
            at_ms: engine.record.now_ms(),
            is_moved: !from.is_empty(),
        };
        state.runs.push(run.clone());
        state.running.insert(request.clone(), stop);
        let tokens = usage.split(',').next().and_then(|text| text.trim().parse().ok()).unwrap_or(0);
        state.prompt_tokens.insert(request.clone(), tokens);
        (state.software.clone(), run)
    };
    engine.record.line(&format!(
        "worker {} ({software}) runs {request} after event {last}, moved: {}",
        engine.id, run.is_moved
    ));
    let crashing_part = engine.crashing_part.lock().unwrap().clone();
    let crashes = crashing_part.is_some_and(|part| run.parts.contains(&part));
    let _end = EndOfRun { engine: engine.clone(), request: request.clone() };
    let begin = format!(
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n{echo}\
         X-Samphirespread-Response-Seal: seal-{request}\r\nTransfer-Encoding: chunked\r\n\r\n"
    );
    wire.write(begin.as_bytes()).await?;
    for number in last + 1..=events {
        let pause = time::sleep(Duration::from_millis(engine.event_ms));
        tokio::select! {
            () = pause => {}
            _ = stopped.changed() => {
                engine.record.line(&format!("worker {}: the run of {request} stops", engine.id));
                return Err(io::Error::other("the run has stopped"));
            }
            // The caller sends nothing more: what arrives is the end of the connection.
            _ = wire.stream.readable() => {
                engine.hang_if_dark(boot).await;
                return Err(io::Error::other("the caller has left"));
            }
        }
        engine.hang_if_dark(boot).await;
        let event = format!("id: {number}\ndata: {request} {number} {software} {}\n\n", engine.id);
        let chunk = format!("{:x}\r\n{event}\r\n", event.len());
        wire.write(chunk.as_bytes()).await?;
        if crashes {
            engine.go_dark();
            engine.crashed.send_modify(|crashes| *crashes += 1);
            engine.hang_if_dark(boot).await;
        }
    }
    wire.write(b"0\r\n\r\n").await
}

/// Notes the end of a run when it is dropped.
struct EndOfRun {
    engine: Arc<Engine>,
    request: String,
}

impl Drop for EndOfRun {
    fn drop(&mut self) {
        self.engine.lock().running.remove(&self.request);
    }
}
