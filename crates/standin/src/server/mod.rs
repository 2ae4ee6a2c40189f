//! The HTTP server below every stand-in, with the faults that all of them share.

mod gate;

use std::{
    convert::Infallible,
    io,
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use axum::{Router, body::Body};
use http::{Request, Response};
use hyper::{body::Incoming, server::conn::http1, service::Service, service::service_fn};
use hyper_util::{rt::TokioIo, service::TowerToHyperService};
use tokio::{
    net::{TcpListener, TcpSocket, TcpStream},
    task::JoinHandle,
};
use tokio_util::{sync::CancellationToken, task::TaskTracker};

use self::gate::{Gate, Gated, IdleDrop};

const BACKLOG: u32 = 1024;

/// An answer with this extension is dropped, and its connection is closed.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LostAnswer;

/// A server on a port of its own that can stop, come back, freeze and be slow.
#[derive(Debug)]
pub(crate) struct Server {
    address: SocketAddr,
    router: Router,
    faults: Faults,
    run: Mutex<Option<Run>>,
    /// Holds the port without listening, so that it stays the server's own while it is down.
    _reserved: TcpSocket,
}

#[derive(Clone, Debug, Default)]
struct Faults {
    /// The gate of the connections to come.
    gate: Arc<Mutex<Gate>>,
    slow_ms: Arc<AtomicU64>,
    idle_drop: IdleDrop,
}

impl Faults {
    fn gate(&self) -> MutexGuard<'_, Gate> {
        self.gate.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

#[derive(Debug)]
struct Run {
    stop: CancellationToken,
    accept: JoinHandle<()>,
    connections: TaskTracker,
}

impl Server {
    /// Serves on a port that the kernel chooses.
    pub(crate) fn start(router: Router) -> io::Result<Self> {
        let reserved = bind(SocketAddr::from(([127, 0, 0, 1], 0)))?;
        let address = reserved.local_addr()?;
        let server = Self {
            address,
            router,
            faults: Faults::default(),
            run: Mutex::new(None),
            _reserved: reserved,
        };
        server.resume()?;
        Ok(server)
    }

    /// Where the server listens.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Closes all connections and refuses new ones. No request is handled once it returns.
    pub(crate) async fn stop(&self) {
        let run = self.run.lock().unwrap_or_else(PoisonError::into_inner).take();
        let Some(run) = run else { return };

        run.stop.cancel();
        // The task only ends by the token, so a join error can't matter here.
        let _ = run.accept.await;
        run.connections.close();
        run.connections.wait().await;
    }

    /// Closes all connections and refuses new ones, without waiting for what is being handled.
    pub(crate) fn begin_to_stop(&self) {
        let run = self.run.lock().unwrap_or_else(PoisonError::into_inner).take();
        if let Some(run) = run {
            run.stop.cancel();
        }
    }

    /// Listens again after [`stop`](Self::stop).
    pub(crate) fn resume(&self) -> io::Result<()> {
        let mut current = self.run.lock().unwrap_or_else(PoisonError::into_inner);
        if current.is_some() {
            return Ok(());
        }

        let listener = bind(self.address)?.listen(BACKLOG)?;
        let stop = CancellationToken::new();
        let connections = TaskTracker::new();
        let accept = tokio::spawn(accept(
            listener,
            self.router.clone(),
            self.faults.clone(),
            stop.clone(),
            connections.clone(),
        ));
        *current = Some(Run { stop, accept, connections });
        Ok(())
    }

    /// While frozen, connections are taken and stay open without a byte moving.
    pub(crate) fn set_frozen(&self, frozen: bool) {
        self.faults.gate().set_frozen(frozen);
    }

    /// Lets no byte through on the connections that are open now, for good. New ones work.
    pub(crate) fn silence_open_connections(&self) {
        let silenced = std::mem::take(&mut *self.faults.gate());
        silenced.set_frozen(true);
    }

    /// Drops connections that were idle for this long, without notice: what arrives on one next resets it
    /// unread. `None` keeps them.
    pub(crate) fn drop_idle_after(&self, after_ms: Option<u64>) {
        self.faults.idle_drop.set(after_ms);
    }

    /// Delays every answer.
    pub(crate) fn set_slow_ms(&self, slow_ms: u64) {
        self.faults.slow_ms.store(slow_ms, Ordering::SeqCst);
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        let run = self.run.get_mut().unwrap_or_else(PoisonError::into_inner);
        if let Some(run) = run {
            run.stop.cancel();
        }
    }
}

/// Binds beside other sockets of this server. Only the one that listens gets connections.
fn bind(address: SocketAddr) -> io::Result<TcpSocket> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.set_reuseport(true)?;
    socket.bind(address)?;
    Ok(socket)
}

async fn accept(
    listener: TcpListener,
    router: Router,
    faults: Faults,
    stop: CancellationToken,
    connections: TaskTracker,
) {
    loop {
        let accepted = tokio::select! {
            () = stop.cancelled() => return,
            accepted = listener.accept() => accepted,
        };
        let Ok((stream, _)) = accepted else { continue };
        connections.spawn(connection(stream, router.clone(), faults.clone(), stop.clone()));
    }
}

async fn connection(stream: TcpStream, router: Router, faults: Faults, stop: CancellationToken) {
    // A delayed segment would only add latency, so a failure to set this is harmless.
    let _ = stream.set_nodelay(true);
    let inner = TowerToHyperService::new(router);
    let slow_ms = Arc::clone(&faults.slow_ms);
    let service = service_fn(move |request: Request<Incoming>| {
        let answer = inner.call(request);
        let slow_ms = slow_ms.load(Ordering::SeqCst);
        async move { finish(answer.await, slow_ms).await }
    });
    let gate = faults.gate().clone();
    let io = TokioIo::new(Gated::new(gate, faults.idle_drop, stream));
    let serving = http1::Builder::new().serve_connection(io, service);
    tokio::select! {
        () = stop.cancelled() => {}
        // A broken connection is the client's to notice.
        _ = serving => {}
    }
}

async fn finish(
    answer: Result<Response<Body>, Infallible>,
    slow_ms: u64,
) -> io::Result<Response<Body>> {
    if slow_ms > 0 {
        tokio::time::sleep(Duration::from_millis(slow_ms)).await;
    }
    let Ok(response) = answer;
    if response.extensions().get::<LostAnswer>().is_some() {
        return Err(io::Error::other("the answer was lost"));
    }
    Ok(response)
}
