//! A TCP relay that can be cut, go silent and delay.

use std::{
    io,
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use bytes::{Bytes, BytesMut};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpListener, TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    sync::mpsc,
    time::Instant,
};
use tokio_util::sync::CancellationToken;

const CHUNK_BYTES: usize = 64 * 1024;
const CHUNKS_IN_FLIGHT: usize = 64;

/// A running relay. It ends when dropped.
///
/// ```
/// use samphirespread_standin::{
///     engine::{Engine, EngineConfig},
///     link::Link,
/// };
///
/// # tokio::runtime::Runtime::new().unwrap().block_on(async {
/// let engine = Engine::start(EngineConfig::new("reader", "v1")).await.unwrap();
/// let link = Link::start(engine.address()).await.unwrap();
///
/// link.silence();
///
/// assert_ne!(link.address(), engine.address());
/// # });
/// ```
#[derive(Debug)]
pub struct Link {
    address: SocketAddr,
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    target: SocketAddr,
    down: AtomicBool,
    delay_ms: AtomicU64,
    connections: Mutex<Vec<Connection>>,
    stop: CancellationToken,
}

#[derive(Clone, Debug)]
struct Connection {
    cut: CancellationToken,
    silent: CancellationToken,
}

impl Link {
    /// Relays from a port of its own to a target.
    ///
    /// # Errors
    ///
    /// When no port can be had.
    pub async fn start(target: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(SocketAddr::from(([127, 0, 0, 1], 0))).await?;
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared {
            target,
            down: AtomicBool::new(false),
            delay_ms: AtomicU64::new(0),
            connections: Mutex::new(Vec::new()),
            stop: CancellationToken::new(),
        });
        tokio::spawn(accept(listener, Arc::clone(&shared)));
        Ok(Self { address, shared })
    }

    /// Where the relay listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Connections that are open and not silent.
    pub fn live_connections(&self) -> usize {
        let connections = self.shared.lock();
        let live = |connection: &&Connection| {
            !connection.cut.is_cancelled() && !connection.silent.is_cancelled()
        };
        connections.iter().filter(live).count()
    }

    /// Closes all connections. New ones work.
    pub fn cut(&self) {
        self.shared.lock().drain(..).for_each(|connection| connection.cut.cancel());
    }

    /// From now on no byte passes on any open connection, and neither end is told. New ones work.
    pub fn silence(&self) {
        self.shared.lock().iter().for_each(|connection| connection.silent.cancel());
    }

    /// While down, new connections are closed at once. Open ones stay.
    pub fn set_down(&self, down: bool) {
        self.shared.down.store(down, Ordering::SeqCst);
    }

    /// Delays every byte in both directions by this much.
    pub fn set_delay_ms(&self, delay_ms: u64) {
        self.shared.delay_ms.store(delay_ms, Ordering::SeqCst);
    }
}

impl Drop for Link {
    fn drop(&mut self) {
        self.cut();
        self.shared.stop.cancel();
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, Vec<Connection>> {
        self.connections.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

async fn accept(listener: TcpListener, shared: Arc<Shared>) {
    loop {
        let accepted = tokio::select! {
            () = shared.stop.cancelled() => return,
            accepted = listener.accept() => accepted,
        };
        let Ok((near, _)) = accepted else { continue };
        if shared.down.load(Ordering::SeqCst) {
            continue;
        }

        let connection =
            Connection { cut: shared.stop.child_token(), silent: CancellationToken::new() };
        let mut connections = shared.lock();
        connections.retain(|connection| !connection.cut.is_cancelled());
        connections.push(connection.clone());
        drop(connections);
        tokio::spawn(relay(near, Arc::clone(&shared), connection));
    }
}

async fn relay(near: TcpStream, shared: Arc<Shared>, connection: Connection) {
    let cut = connection.cut.clone();
    tokio::select! {
        () = cut.cancelled() => {}
        // A broken end closes the other one, which its peer notices.
        _ = relay_both(near, &shared, &connection) => cut.cancel(),
    }
}

async fn relay_both(
    near: TcpStream,
    shared: &Arc<Shared>,
    connection: &Connection,
) -> io::Result<()> {
    let far = TcpStream::connect(shared.target).await?;
    near.set_nodelay(true)?;
    far.set_nodelay(true)?;
    let (near_read, near_write) = near.into_split();
    let (far_read, far_write) = far.into_split();
    tokio::try_join!(
        relay_one(near_read, far_write, shared, connection),
        relay_one(far_read, near_write, shared, connection),
    )?;
    Ok(())
}

async fn relay_one(
    read: OwnedReadHalf,
    write: OwnedWriteHalf,
    shared: &Arc<Shared>,
    connection: &Connection,
) -> io::Result<()> {
    let (sender, receiver) = mpsc::channel(CHUNKS_IN_FLIGHT);
    tokio::try_join!(
        read_chunks(read, sender, shared, &connection.silent),
        write_chunks(write, receiver, &connection.silent),
    )?;
    Ok(())
}

async fn read_chunks(
    mut read: OwnedReadHalf,
    sender: mpsc::Sender<(Instant, Bytes)>,
    shared: &Shared,
    silent: &CancellationToken,
) -> io::Result<()> {
    loop {
        let mut chunk = BytesMut::with_capacity(CHUNK_BYTES);
        let length = tokio::select! {
            () = silent.cancelled() => std::future::pending().await,
            length = read.read_buf(&mut chunk) => length?,
        };
        if length == 0 {
            return Ok(());
        }

        let delay = Duration::from_millis(shared.delay_ms.load(Ordering::SeqCst));
        if sender.send((Instant::now() + delay, chunk.freeze())).await.is_err() {
            return Ok(());
        }
    }
}

async fn write_chunks(
    mut write: OwnedWriteHalf,
    mut receiver: mpsc::Receiver<(Instant, Bytes)>,
    silent: &CancellationToken,
) -> io::Result<()> {
    while let Some((due, chunk)) = receiver.recv().await {
        tokio::time::sleep_until(due).await;
        if silent.is_cancelled() {
            std::future::pending::<()>().await;
        }
        write.write_all(&chunk).await?;
    }
    write.shutdown().await
}
