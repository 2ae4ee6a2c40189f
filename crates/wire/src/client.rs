//! The client end of a connection, which sends requests.

use std::{
    future::Future,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

use bytes::Bytes;
use futures_util::FutureExt;
use h2::{RecvStream, SendStream, client};
use tokio::{
    io::{AsyncRead, AsyncWrite},
    net::TcpStream,
    time::{MissedTickBehavior, interval, timeout},
};
use tokio_util::sync::{CancellationToken, DropGuard};

use crate::{
    HelloSource, WireConfig, WireError,
    codec::{self, Decoder},
    message::{Hello, Reply, Request},
    proof::{self, NONCE_BYTES, Nonces, PROOF_BYTES, Side},
    server::{EXCHANGE_PATH, PROOF_PATH, send_bytes},
};

const STREAM_WINDOW_BYTES: u32 = 1024 * 1024;
const CONNECTION_WINDOW_BYTES: u32 = 16 * 1024 * 1024;

/// An h2 connection to a peer that has proved that it knows the secret. Clones share the
/// connection.
#[derive(Clone, Debug)]
pub struct Connection {
    sender: client::SendRequest<Bytes>,
    shared: Arc<Shared>,
    peer: Arc<Hello>,
    // Stops the h2 driver and the heartbeats once the last clone and the last open exchange are
    // dropped.
    _close_guard: Arc<DropGuard>,
}

#[derive(Debug)]
struct Shared {
    config: WireConfig,
    started: Instant,
    last_arrival_ms: AtomicU64,
    open_exchanges: AtomicUsize,
    gone_away: AtomicBool,
    silent: AtomicBool,
    closed: CancellationToken,
}

impl Shared {
    fn record_arrival(&self) {
        self.last_arrival_ms.store(self.elapsed_ms(), Ordering::Relaxed);
    }

    fn elapsed_ms(&self) -> u64 {
        u64::try_from(self.started.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    fn close_reason(&self) -> WireError {
        if self.silent.load(Ordering::Relaxed) {
            return WireError::Silent { silence_ms: self.config.silence_timeout_ms };
        }
        WireError::Http { message: "the connection has ended".to_owned() }
    }

    fn ms_since_last_arrival(&self) -> u64 {
        self.elapsed_ms().saturating_sub(self.last_arrival_ms.load(Ordering::Relaxed))
    }
}

impl Connection {
    /// Connects to a peer. Both ends prove to each other that they know the secret.
    ///
    /// # Errors
    ///
    /// [`WireError::Connect`] if the connection fails or is not ready within the connect timeout,
    /// [`WireError::Unproven`] if either end rejects the other's proof.
    pub async fn dial<H: HelloSource>(
        address: &str,
        config: &WireConfig,
        hello: H,
    ) -> Result<Self, WireError> {
        let limit = Duration::from_millis(config.connect_timeout_ms);
        let failed = |message: String| WireError::Connect { address: address.to_owned(), message };
        let connecting = async {
            let socket =
                TcpStream::connect(address).await.map_err(|error| failed(error.to_string()))?;
            socket.set_nodelay(true).map_err(|error| failed(error.to_string()))?;
            Self::over(socket, address, config, hello).await
        };
        let connected = timeout(limit, connecting)
            .await
            .unwrap_or_else(|_| Err(failed(format!("no answer within {} ms", limit.as_millis()))));
        // Nothing but the proof was sent, whatever went wrong.
        connected.map_err(|error| if error.is_unsent() { error } else { failed(error.to_string()) })
    }

    /// Sets up a connection over a byte stream. Both ends prove to each other that they know the
    /// secret.
    ///
    /// # Errors
    ///
    /// [`WireError::Unproven`] if either end rejects the other's proof, or another [`WireError`] if
    /// the connection fails. Unlike [`Connection::dial`], this method has no time limit.
    pub async fn over<S, H>(
        io: S,
        address: &str,
        config: &WireConfig,
        hello: H,
    ) -> Result<Self, WireError>
    where
        S: AsyncRead + AsyncWrite + Send + Unpin + 'static,
        H: HelloSource,
    {
        let (sender, driver) = client::Builder::new()
            .initial_window_size(STREAM_WINDOW_BYTES)
            .initial_connection_window_size(CONNECTION_WINDOW_BYTES)
            .handshake::<_, Bytes>(io)
            .await?;
        let closed = CancellationToken::new();
        let mut connection = Self {
            sender,
            peer: Arc::new(hello.hello()),
            shared: Arc::new(Shared {
                config: config.clone(),
                started: Instant::now(),
                last_arrival_ms: AtomicU64::new(0),
                open_exchanges: AtomicUsize::new(0),
                gone_away: AtomicBool::new(false),
                silent: AtomicBool::new(false),
                closed: closed.clone(),
            }),
            _close_guard: Arc::new(closed.clone().drop_guard()),
        };
        let driver_closed = closed.clone();
        tokio::spawn(async move {
            tokio::select! {
                _ = driver => {}
                () = driver_closed.cancelled() => {}
            }
            driver_closed.cancel();
        });
        connection.prove_mutually(address).await?;
        connection.peer = Arc::new(connection.exchange_hellos(&hello).await?);
        tokio::spawn(keep_alive(connection.sender.clone(), Arc::clone(&connection.shared), hello));
        Ok(connection)
    }

    /// Returns the hello that the peer sent when the connection was set up.
    pub fn peer(&self) -> &Hello {
        &self.peer
    }

    /// Returns true if the connection is closed or the peer accepts no new exchanges on it.
    pub fn is_closed(&self) -> bool {
        self.shared.closed.is_cancelled() || self.shared.gone_away.load(Ordering::Relaxed)
    }

    /// Returns the number of exchanges that are open on this connection.
    pub fn open_exchanges(&self) -> usize {
        self.shared.open_exchanges.load(Ordering::Relaxed)
    }

    /// Sends a request and returns the stream of its replies.
    ///
    /// # Errors
    ///
    /// Any [`WireError`]. The peer may have received the request unless [`WireError::is_unsent`]
    /// returns true.
    pub async fn open(&self, request: &Request) -> Result<ReplyStream, WireError> {
        let frame = codec::encode(0, request)?;
        let max_bytes = self.shared.config.max_frame_bytes;
        if frame.len() - codec::LENGTH_BYTES > max_bytes {
            return Err(WireError::FrameTooLong { bytes: frame.len(), max_bytes });
        }
        let exchange = OpenExchange::new(self);
        let response = exchange
            .unless_closed(send_exchange(self.sender.clone(), EXCHANGE_PATH, frame))
            .await?
            .inspect_err(|error| self.record_failed_open(error))?;
        Ok(ReplyStream {
            response: Some(response),
            body: None,
            decoder: Decoder::new(max_bytes),
            exchange,
        })
    }

    /// Sends a request and returns its first reply.
    ///
    /// # Errors
    ///
    /// Any [`WireError`]; [`WireError::Truncated`] if the peer ended the stream without a reply.
    pub async fn call(&self, request: &Request) -> Result<Reply, WireError> {
        let mut replies = self.open(request).await?;
        replies.next().await?.ok_or(WireError::Truncated)
    }

    // A draining peer finishes its open exchanges, so the connection is marked but not closed.
    fn record_failed_open(&self, error: &WireError) {
        if *error == WireError::GoneAway {
            self.shared.gone_away.store(true, Ordering::Relaxed);
        }
    }

    async fn prove_mutually(&self, address: &str) -> Result<(), WireError> {
        let unproven = || WireError::Unproven { address: address.to_owned() };
        let client_nonce = proof::fresh_nonce();
        let challenge = Bytes::copy_from_slice(&client_nonce);
        let answer = self.send_proof_message(challenge).await?.ok_or_else(unproven)?;
        if answer.len() != NONCE_BYTES + PROOF_BYTES {
            return Err(unproven());
        }
        let (server_nonce, server_proof) = answer.split_at(NONCE_BYTES);
        let server: [u8; NONCE_BYTES] = server_nonce.try_into().map_err(|_| unproven())?;
        let nonces = Nonces { client: client_nonce, server };
        let secret = &self.shared.config.secret;
        if !proof::verify(secret, Side::Server, &nonces, server_proof) {
            return Err(unproven());
        }
        let client_proof = proof::prove(secret, Side::Client, &nonces);
        self.send_proof_message(Bytes::copy_from_slice(&client_proof))
            .await?
            .ok_or_else(unproven)?;
        self.shared.record_arrival();
        Ok(())
    }

    async fn exchange_hellos<H: HelloSource>(&self, hello: &H) -> Result<Hello, WireError> {
        match self.call(&Request::Heartbeat(hello.hello())).await? {
            Reply::Heartbeat(peer) => {
                hello.receive_hello(&peer);
                Ok(peer)
            }
            other => Err(WireError::Malformed {
                message: format!("unexpected reply to a heartbeat: {other:?}"),
            }),
        }
    }

    // Sends one message of the proof and returns the response. `None` means that the peer refused
    // it or that its response is too long.
    async fn send_proof_message(&self, body: Bytes) -> Result<Option<Bytes>, WireError> {
        let response = send_exchange(self.sender.clone(), PROOF_PATH, body).await?;
        let response = response.await?;
        if response.status() != http::StatusCode::OK {
            return Ok(None);
        }
        let mut body = response.into_body();
        let mut collected = Vec::new();
        while let Some(data) = body.data().await {
            let data = data?;
            body.flow_control().release_capacity(data.len())?;
            collected.extend_from_slice(&data);
            if collected.len() > NONCE_BYTES + PROOF_BYTES {
                return Ok(None);
            }
        }
        Ok(Some(collected.into()))
    }
}

async fn send_exchange(
    sender: client::SendRequest<Bytes>,
    path: &str,
    body: Bytes,
) -> Result<client::ResponseFuture, WireError> {
    let mut sender = sender.ready().await.map_err(|_| WireError::GoneAway)?;
    let request = http::Request::post(format!("http://peer{path}"))
        .body(())
        .map_err(|error| WireError::Http { message: error.to_string() })?;
    // Until its last byte is sent, the peer can't have read the request.
    let opened = sender.send_request(request, false).map_err(|_| WireError::GoneAway)?;
    let (response, mut stream): (_, SendStream<Bytes>) = opened;
    send_bytes(&mut stream, body, true).await.map_err(|_| WireError::GoneAway)?;
    Ok(response)
}

/// Sends heartbeats while exchanges are open, and closes the connection once nothing has arrived
/// for the silence timeout.
async fn keep_alive<H: HelloSource>(
    sender: client::SendRequest<Bytes>,
    shared: Arc<Shared>,
    hello: H,
) {
    let period = Duration::from_millis(shared.config.heartbeat_interval_ms.max(1));
    let mut ticks = interval(period);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut pending_heartbeat = None;
    loop {
        tokio::select! {
            () = shared.closed.cancelled() => return,
            _ = ticks.tick() => {}
        }
        if shared.open_exchanges.load(Ordering::Relaxed) == 0 {
            shared.record_arrival();
            continue;
        }
        if shared.ms_since_last_arrival() >= shared.config.silence_timeout_ms {
            shared.silent.store(true, Ordering::Relaxed);
            shared.closed.cancel();
            return;
        }
        let quiet = shared.ms_since_last_arrival() >= shared.config.heartbeat_interval_ms;
        let answered = pending_heartbeat
            .as_ref()
            .is_none_or(|task: &tokio::task::JoinHandle<()>| task.is_finished());
        if quiet && answered {
            pending_heartbeat = Some(tokio::spawn(send_heartbeat(
                sender.clone(),
                Arc::clone(&shared),
                hello.clone(),
            )));
        }
    }
}

async fn send_heartbeat<H: HelloSource>(
    sender: client::SendRequest<Bytes>,
    shared: Arc<Shared>,
    hello: H,
) {
    let exchange = async {
        let frame = codec::encode(0, &Request::Heartbeat(hello.hello()))?;
        let response = send_exchange(sender, EXCHANGE_PATH, frame).await?;
        let mut body = response.await?.into_body();
        let mut decoder = Decoder::new(shared.config.max_frame_bytes);
        while let Some(data) = body.data().await {
            let data = data?;
            body.flow_control().release_capacity(data.len())?;
            decoder.extend(&data);
            if let Some(Reply::Heartbeat(peer)) = decoder.next_message()? {
                shared.record_arrival();
                hello.receive_hello(&peer);
            }
        }
        Ok::<(), WireError>(())
    };
    tokio::select! {
        // A failed heartbeat needs no handling: if nothing else arrives, the silence timeout closes
        // the connection.
        _ = exchange => {}
        () = shared.closed.cancelled() => {}
    }
}

/// Counts one exchange as open until it is dropped.
#[derive(Debug)]
struct OpenExchange {
    shared: Arc<Shared>,
    _close_guard: Arc<DropGuard>,
}

impl OpenExchange {
    fn new(connection: &Connection) -> Self {
        let shared = Arc::clone(&connection.shared);
        if shared.open_exchanges.fetch_add(1, Ordering::Relaxed) == 0 {
            shared.record_arrival();
        }
        Self { shared, _close_guard: Arc::clone(&connection._close_guard) }
    }

    async fn unless_closed<F: Future>(&self, work: F) -> Result<F::Output, WireError> {
        // Polls `work` before the close signal: a peer that closes the connection right after its
        // last reply has sent a complete answer.
        tokio::pin!(work);
        let output = tokio::select! {
            biased;
            output = &mut work => output,
            () = self.shared.closed.cancelled() => {
                // The end of the connection may have decided the work in the meantime.
                let Some(output) = work.now_or_never() else {
                    return Err(self.shared.close_reason());
                };
                output
            }
        };
        if self.shared.silent.load(Ordering::Relaxed) {
            return Err(self.shared.close_reason());
        }
        Ok(output)
    }
}

impl Drop for OpenExchange {
    fn drop(&mut self) {
        self.shared.open_exchanges.fetch_sub(1, Ordering::Relaxed);
    }
}

/// A stream of the replies to one request. Dropping it cancels the exchange.
#[derive(Debug)]
pub struct ReplyStream {
    response: Option<client::ResponseFuture>,
    body: Option<RecvStream>,
    decoder: Decoder,
    exchange: OpenExchange,
}

impl ReplyStream {
    /// Waits for the next reply. Returns `None` once the peer has ended the stream.
    ///
    /// # Errors
    ///
    /// Any [`WireError`]. The stream can't be used after an error.
    pub async fn next(&mut self) -> Result<Option<Reply>, WireError> {
        loop {
            if let Some(reply) = self.decoder.next_message()? {
                return Ok(Some(reply));
            }
            let Some(data) = self.receive_data().await? else {
                return if self.decoder.is_empty() { Ok(None) } else { Err(WireError::Truncated) };
            };
            self.decoder.extend(&data);
        }
    }

    /// Returns the next reply if it has been received already, without waiting.
    ///
    /// # Errors
    ///
    /// The same as [`ReplyStream::next`].
    pub fn next_arrived(&mut self) -> Result<Option<Reply>, WireError> {
        self.decoder.next_message()
    }

    async fn receive_data(&mut self) -> Result<Option<Bytes>, WireError> {
        if let Some(response) = self.response.take() {
            let response = self.exchange.unless_closed(response).await??;
            if response.status() != http::StatusCode::OK {
                let message = format!("the peer answered with HTTP status {}", response.status());
                return Err(WireError::Http { message });
            }
            self.exchange.shared.record_arrival();
            self.body = Some(response.into_body());
        }
        let Some(body) = self.body.as_mut() else {
            return Ok(None);
        };
        let Some(data) = self.exchange.unless_closed(body.data()).await? else {
            return Ok(None);
        };
        let data = data?;
        self.exchange.shared.record_arrival();
        body.flow_control().release_capacity(data.len())?;
        Ok(Some(data))
    }
}
