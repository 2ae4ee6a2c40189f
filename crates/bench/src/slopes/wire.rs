//! Bytes and processor time of messages between router and agent, on a loopback connection.

use std::{
    io,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    task::{Context, Poll},
    time::Duration,
};

use samphirespread_core::prelude::*;
use samphirespread_prefix::sample;
use samphirespread_wire::{
    Connection, Handler, HelloSource, ReplySender, Secret, WireConfig,
    message::{
        AgentConfig, Estimate, Hello, Lookup, LookupReply, ObjectVersion, PrefixHint, Reply,
        Request, WantedWeights,
    },
    serve_connection,
};
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::{TcpListener, TcpStream},
};
use tokio_util::sync::CancellationToken;

use super::{
    Measured, SlopeError,
    process::{processor_ns, resident_bytes},
};

const CALLS: u64 = 10_000;
const SETTLE: Duration = Duration::from_millis(10);

/// A byte stream that counts what passes both ways.
struct Counted {
    socket: TcpStream,
    bytes: Arc<AtomicU64>,
}

impl AsyncRead for Counted {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let poll = Pin::new(&mut self.socket).poll_read(context, buffer);
        let read = buffer.filled().len() - before;
        self.bytes.fetch_add(read as u64, Ordering::Relaxed);
        poll
    }
}

impl AsyncWrite for Counted {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let poll = Pin::new(&mut self.socket).poll_write(context, bytes);
        if let Poll::Ready(Ok(written)) = poll {
            self.bytes.fetch_add(written as u64, Ordering::Relaxed);
        }
        poll
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_shutdown(context)
    }
}

#[derive(Clone)]
struct Named(&'static str);

impl HelloSource for Named {
    fn hello(&self) -> Hello {
        Hello {
            name: InstanceName::new(self.0),
            incarnation: Incarnation(1_700_000_000_000),
            generation: Generation(1_000_000),
            live_version: ObjectVersion::default(),
            leaving: false,
        }
    }

    fn receive_hello(&self, _peer: &Hello) {}
}

/// Answers lookups as an agent does, without its tables.
#[derive(Clone)]
struct Answers;

impl Handler for Answers {
    async fn handle(&self, request: Request, mut replies: ReplySender) {
        let reply = match request {
            Request::Lookup(_) => Reply::Lookup(LookupReply {
                generation: Generation(1_000_000),
                estimate: Estimate {
                    cached_blocks: 20,
                    wait_ms: 180,
                    prefill_us_per_token: 50,
                    hint: PrefixHint { shared_blocks: 12, replicas: 1 },
                },
                takes_work: true,
            }),
            Request::Heartbeat(_) => Reply::Heartbeat(Named("agent-1").hello()),
            _ => Reply::Done,
        };
        // A peer that left needs no answer.
        let _ = replies.send(&reply).await;
    }
}

fn lookup(blocks: usize, serial: u64) -> Request {
    let key = |index: u64| BlockKey((serial << 20 | index).wrapping_mul(0x9e37_79b9_7f4a_7c15));
    Request::Lookup(Lookup {
        sampled: sample(&(0..blocks as u64).map(key).collect::<Vec<_>>()),
        prompt_tokens: blocks as u64 * 2_048,
    })
}

fn failed(error: impl std::fmt::Display) -> SlopeError {
    SlopeError::Connection(error.to_string())
}

struct Pair {
    connection: Connection,
    bytes: Arc<AtomicU64>,
    setup_bytes: u64,
    stop: CancellationToken,
}

async fn connect() -> Result<Pair, SlopeError> {
    let listener = TcpListener::bind("127.0.0.1:0").await.map_err(failed)?;
    let address = listener.local_addr().map_err(failed)?.to_string();
    let config = WireConfig::new(Secret::new("a secret for one measurement"));
    let stop = CancellationToken::new();
    let (serve_config, token) = (config.clone(), stop.clone());
    tokio::spawn(async move {
        if let Ok((socket, _)) = listener.accept().await {
            // The end of the connection ends the measurement as well.
            let _ = serve_connection(socket, &serve_config, Answers, token).await;
        }
    });
    let bytes = Arc::new(AtomicU64::new(0));
    let socket = TcpStream::connect(&address).await.map_err(failed)?;
    socket.set_nodelay(true).map_err(failed)?;
    let counted = Counted { socket, bytes: Arc::clone(&bytes) };
    let connection =
        Connection::over(counted, &address, &config, Named("router-1")).await.map_err(failed)?;
    // Settings and window updates still travel for a moment.
    tokio::time::sleep(SETTLE).await;
    let setup_bytes = bytes.load(Ordering::Relaxed);
    Ok(Pair { connection, bytes, setup_bytes, stop })
}

async fn measure(rows: &mut Vec<Measured>) -> Result<(), SlopeError> {
    connections(rows).await?;
    let pair = connect().await?;
    rows.push(Measured::new("setting up a connection, bytes", 1, pair.setup_bytes as f64));
    for blocks in [0, 16, 64, 512] {
        let (bytes, ns) = (pair.bytes.load(Ordering::Relaxed), processor_ns()?);
        for serial in 0..CALLS {
            pair.connection.call(&lookup(blocks, serial)).await.map_err(failed)?;
        }
        let used_ns = processor_ns()? - ns;
        let sent = pair.bytes.load(Ordering::Relaxed) - bytes;
        let what = "one lookup and its answer, bytes both ways by blocks";
        rows.push(Measured::new(what, blocks, sent as f64 / CALLS as f64));
        let what = "one lookup and its answer, us of both ends by blocks";
        rows.push(Measured::new(what, blocks, used_ns as f64 / 1_000.0 / CALLS as f64));
    }
    let beat = Request::Heartbeat(Named("router-1").hello());
    for beats in [500, 1_000, 2_000] {
        let bytes = pair.bytes.load(Ordering::Relaxed);
        for _ in 0..beats {
            pair.connection.call(&beat).await.map_err(failed)?;
        }
        let sent = pair.bytes.load(Ordering::Relaxed) - bytes;
        rows.push(Measured::new("heartbeats, bytes both ways by number", beats, sent as f64));
    }
    let tell = Request::ConfigureAgent(AgentConfig {
        generation: Generation(1_000_000),
        weights: Some(WantedWeights {
            model: ModelName::new("model-35"),
            version: WeightsVersion::new("v1"),
        }),
    });
    for tells in [500, 1_000, 2_000] {
        let bytes = pair.bytes.load(Ordering::Relaxed);
        for _ in 0..tells {
            pair.connection.call(&tell).await.map_err(failed)?;
        }
        let sent = pair.bytes.load(Ordering::Relaxed) - bytes;
        let what = "telling an agent of a configuration, bytes both ways by number";
        rows.push(Measured::new(what, tells, sent as f64));
    }
    pair.stop.cancel();
    Ok(())
}

/// Memory of idle connections, both ends together.
async fn connections(rows: &mut Vec<Measured>) -> Result<(), SlopeError> {
    let mut kept = Vec::new();
    let before = resident_bytes()?;
    for count in [50, 100, 200, 400] {
        while kept.len() < count {
            let pair = connect().await?;
            // One exchange lets both ends allocate what they keep.
            pair.connection.call(&lookup(64, 1)).await.map_err(failed)?;
            kept.push(pair);
        }
        let grown = resident_bytes()?.saturating_sub(before);
        let what = "idle connections, resident bytes of both ends by number";
        rows.push(Measured::new(what, count, grown as f64));
    }
    for pair in kept {
        pair.stop.cancel();
    }
    Ok(())
}

/// Bytes and processor time of lookups and heartbeats, and memory of connections. Memory counts only
/// if nothing was freed before.
///
/// # Errors
///
/// Fails if the loopback connection does.
pub fn wire_rows() -> Result<Vec<Measured>, SlopeError> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(SlopeError::Process)?;
    let mut rows = Vec::new();
    runtime.block_on(measure(&mut rows))?;
    Ok(rows)
}
