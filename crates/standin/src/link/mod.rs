//! A TCP relay that can be cut, go silent, delay, and carry a limited number of bytes per second.

use std::{
    io,
    net::{Ipv4Addr, SocketAddr},
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
        tcp::{ReadHalf, WriteHalf},
    },
    sync::mpsc,
    time::Instant,
};
use tokio_util::sync::CancellationToken;

const CHUNK_BYTES: usize = 64 * 1024;
const CHUNKS_IN_FLIGHT: usize = 64;
/// The size of a chunk on a link with a rate, small enough that several connections share it.
const PACED_CHUNK_BYTES: usize = 1_400;

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
    target: Mutex<SocketAddr>,
    down: AtomicBool,
    delay_ms: AtomicU64,
    /// Bytes per second from the target, over all connections; 0 stands for any number.
    rate_bytes_per_s: AtomicU64,
    /// When the bytes from the target that were accepted so far have left the link.
    link_free: Mutex<Instant>,
    connections: Mutex<Vec<Connection>>,
    stop: CancellationToken,
}

#[derive(Clone, Debug)]
struct Connection {
    cut: CancellationToken,
    /// Set before a cut that is to reset both ends.
    resets: Arc<AtomicBool>,
    /// No byte passes on from the end that connected.
    silent_near: CancellationToken,
    /// No byte passes on from the target.
    silent_far: CancellationToken,
}

impl Connection {
    fn new(stop: &CancellationToken) -> Self {
        Self {
            cut: stop.child_token(),
            resets: Arc::default(),
            silent_near: CancellationToken::new(),
            silent_far: CancellationToken::new(),
        }
    }
}

/// A direction through a relay.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Direction {
    /// From the end that connected to the target.
    ToTarget,
    /// From the target.
    FromTarget,
}

impl Link {
    /// Relays from a port of its own to a target.
    ///
    /// # Errors
    ///
    /// When no port can be had.
    pub async fn start(target: SocketAddr) -> io::Result<Self> {
        Self::start_at(Ipv4Addr::LOCALHOST, target).await
    }

    /// Relays from a port of a loopback address to a target.
    ///
    /// # Errors
    ///
    /// When no port can be had.
    pub async fn start_at(ip: Ipv4Addr, target: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(SocketAddr::from((ip, 0))).await?;
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared {
            target: Mutex::new(target),
            down: AtomicBool::new(false),
            delay_ms: AtomicU64::new(0),
            rate_bytes_per_s: AtomicU64::new(0),
            link_free: Mutex::new(Instant::now()),
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
            let is_silent =
                connection.silent_near.is_cancelled() || connection.silent_far.is_cancelled();
            !connection.cut.is_cancelled() && !is_silent
        };
        connections.iter().filter(live).count()
    }

    /// Closes all connections. New ones work.
    pub fn cut(&self) {
        self.shared.lock().drain(..).for_each(|connection| connection.cut.cancel());
    }

    /// Resets all connections. New ones work.
    pub fn reset(&self) {
        for connection in self.shared.lock().drain(..) {
            connection.resets.store(true, Ordering::SeqCst);
            connection.cut.cancel();
        }
    }

    /// From now on no byte passes on any open connection, and neither end is told. New ones work.
    pub fn silence(&self) {
        self.silence_one_way(Direction::ToTarget);
        self.silence_one_way(Direction::FromTarget);
    }

    /// From now on no byte passes that way on any open connection. New ones work.
    pub fn silence_one_way(&self, direction: Direction) {
        for connection in self.shared.lock().iter() {
            match direction {
                Direction::ToTarget => connection.silent_near.cancel(),
                Direction::FromTarget => connection.silent_far.cancel(),
            }
        }
    }

    /// Relays connections to come to another target, as where an address is used again.
    pub fn set_target(&self, target: SocketAddr) {
        *self.shared.target.lock().unwrap_or_else(PoisonError::into_inner) = target;
    }

    /// While down, new connections are closed at once. Open ones stay.
    pub fn set_down(&self, down: bool) {
        self.shared.down.store(down, Ordering::SeqCst);
    }

    /// Limits the bytes per second that all connections together carry from the target. 0 stands for
    /// any number.
    pub fn set_rate_bytes_per_s(&self, rate_bytes_per_s: u64) {
        self.shared.rate_bytes_per_s.store(rate_bytes_per_s, Ordering::SeqCst);
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

    /// Waits until the link has carried these bytes from the target, if it has a rate.
    async fn carry(&self, bytes: usize) {
        let rate_bytes_per_s = self.rate_bytes_per_s.load(Ordering::SeqCst);
        if rate_bytes_per_s == 0 {
            return;
        }
        let took = Duration::from_micros(bytes as u64 * 1_000_000 / rate_bytes_per_s);
        let carried = {
            let mut link_free = self.link_free.lock().unwrap_or_else(PoisonError::into_inner);
            *link_free = Instant::now().max(*link_free) + took;
            *link_free
        };
        tokio::time::sleep_until(carried).await;
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

        let connection = Connection::new(&shared.stop);
        let mut connections = shared.lock();
        connections.retain(|connection| !connection.cut.is_cancelled());
        connections.push(connection.clone());
        drop(connections);
        tokio::spawn(relay(near, Arc::clone(&shared), connection));
    }
}

async fn relay(near: TcpStream, shared: Arc<Shared>, connection: Connection) {
    // A broken end closes the other one, which its peer notices.
    let _ = relay_both(near, &shared, &connection).await;
    connection.cut.cancel();
}

async fn relay_both(
    mut near: TcpStream,
    shared: &Shared,
    connection: &Connection,
) -> io::Result<()> {
    let target = *shared.target.lock().unwrap_or_else(PoisonError::into_inner);
    let mut far = TcpStream::connect(target).await?;
    near.set_nodelay(true)?;
    far.set_nodelay(true)?;
    let relayed = {
        let (near_read, near_write) = near.split();
        let (far_read, far_write) = far.split();
        tokio::select! {
            () = connection.cut.cancelled() => Ok(()),
            relayed = async { tokio::try_join!(
                relay_one(near_read, far_write, shared, &connection.silent_near, Direction::ToTarget),
                relay_one(far_read, near_write, shared, &connection.silent_far, Direction::FromTarget),
            ) } => relayed.map(drop),
        }
    };
    if connection.resets.load(Ordering::SeqCst) {
        near.set_zero_linger()?;
        far.set_zero_linger()?;
    }
    relayed
}

async fn relay_one(
    read: ReadHalf<'_>,
    write: WriteHalf<'_>,
    shared: &Shared,
    silent: &CancellationToken,
    direction: Direction,
) -> io::Result<()> {
    let (sender, receiver) = mpsc::channel(CHUNKS_IN_FLIGHT);
    let paced = (direction == Direction::FromTarget).then_some(shared);
    tokio::try_join!(
        read_chunks(read, sender, shared, silent),
        write_chunks(write, receiver, paced, silent),
    )?;
    Ok(())
}

async fn read_chunks(
    mut read: ReadHalf<'_>,
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
    mut write: WriteHalf<'_>,
    mut receiver: mpsc::Receiver<(Instant, Bytes)>,
    paced: Option<&Shared>,
    silent: &CancellationToken,
) -> io::Result<()> {
    while let Some((due, chunk)) = receiver.recv().await {
        tokio::time::sleep_until(due).await;
        for piece in chunk.chunks(PACED_CHUNK_BYTES) {
            if let Some(link) = paced {
                link.carry(piece.len()).await;
            }
            if silent.is_cancelled() {
                std::future::pending::<()>().await;
            }
            write.write_all(piece).await?;
        }
    }
    write.shutdown().await
}
