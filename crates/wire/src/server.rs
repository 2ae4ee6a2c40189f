//! The server end of a connection, which answers requests.

use std::{
    future::{Future, poll_fn},
    io,
    net::SocketAddr,
    time::Duration,
};

use bytes::Bytes;
use h2::{RecvStream, SendStream, server};
use http::{Response, StatusCode};
use tokio::{
    io::{AsyncRead, AsyncWrite},
    net::{TcpListener, TcpStream},
    task::JoinSet,
    time::timeout,
};
use tokio_util::sync::CancellationToken;

use crate::{
    WireConfig, WireError,
    codec::{self, Decoder},
    linger::Lingering,
    message::{Reply, Request},
    proof::{self, NONCE_BYTES, Nonces, PROOF_BYTES, Side},
};

pub(crate) const EXCHANGE_PATH: &str = "/exchange";
pub(crate) const PROOF_PATH: &str = "/proof";

const STREAM_WINDOW_BYTES: u32 = 1024 * 1024;
const CONNECTION_WINDOW_BYTES: u32 = 16 * 1024 * 1024;
const MAX_CONCURRENT_STREAMS: u32 = 16 * 1024;

/// Time for the open connections to end before others are accepted after the shutdown.
const LATE_ACCEPT_DELAY_MS: u64 = 100;

/// Time in which a peer can open exchanges on a connection that it makes after the shutdown.
const LATE_CONNECTION_MS: u64 = 300;

/// Delay after a failed accept, in which file descriptors can be freed.
const ACCEPT_RETRY_DELAY_MS: u64 = 20;

/// Answers the requests of peers.
pub trait Handler: Clone + Send + Sync + 'static {
    /// Answers one request. The exchange ends when `replies` is dropped. If the peer cancels the
    /// exchange, [`ReplySender::closed`] returns and sends fail.
    fn handle(&self, request: Request, replies: ReplySender) -> impl Future<Output = ()> + Send;
}

/// Sends the replies of one exchange.
#[derive(Debug)]
pub struct ReplySender {
    stream: SendStream<Bytes>,
    next_seq: u64,
    max_frame_bytes: usize,
}

impl ReplySender {
    /// Sends one reply.
    ///
    /// # Errors
    ///
    /// [`WireError::Http`] or [`WireError::Truncated`] if the peer has cancelled the exchange or
    /// the connection has failed, [`WireError::FrameTooLong`] if the reply exceeds the maximum
    /// frame size.
    pub async fn send(&mut self, reply: &Reply) -> Result<(), WireError> {
        let frame = codec::encode(self.next_seq, reply)?;
        if frame.len() - codec::LENGTH_BYTES > self.max_frame_bytes {
            return Err(WireError::FrameTooLong {
                bytes: frame.len(),
                max_bytes: self.max_frame_bytes,
            });
        }
        self.next_seq += 1;
        send_bytes(&mut self.stream, frame, false).await
    }

    /// Waits until the peer cancels the exchange or the connection fails.
    pub async fn closed(&mut self) {
        // Both a reset and an error mean that the peer no longer reads the replies.
        let _ = poll_fn(|context| self.stream.poll_reset(context)).await;
    }
}

impl Drop for ReplySender {
    fn drop(&mut self) {
        if std::thread::panicking() {
            self.stream.send_reset(h2::Reason::INTERNAL_ERROR);
            return;
        }
        // This fails only if the peer has gone away, in which case the stream needs no end marker.
        let _ = self.stream.send_data(Bytes::new(), true);
    }
}

/// Accepts connections until `shutdown` is cancelled, then waits for open exchanges to finish.
///
/// While it waits, it still accepts connections, for a short time each: a peer whose connection is
/// lost or silent comes back on another one for the rest of its replies.
///
/// # Errors
///
/// None at present. A failed connection doesn't affect the others.
pub async fn serve<H: Handler>(
    listener: TcpListener,
    config: WireConfig,
    handler: H,
    shutdown: CancellationToken,
) -> Result<(), WireError> {
    // Connections that were accepted before the shutdown, and after it.
    let (mut connections, mut late) = (JoinSet::new(), JoinSet::new());
    loop {
        if shutdown.is_cancelled() && connections.is_empty() {
            break;
        }
        let accepted = tokio::select! {
            accepted = accept(&listener, &shutdown) => accepted,
            Some(_) = connections.join_next(), if !connections.is_empty() => continue,
            Some(_) = late.join_next(), if !late.is_empty() => continue,
        };
        let Ok((socket, _)) = accepted else {
            tokio::time::sleep(Duration::from_millis(ACCEPT_RETRY_DELAY_MS)).await;
            continue;
        };
        if socket.set_nodelay(true).is_err() {
            continue;
        }
        let (config, handler) = (config.clone(), handler.clone());
        // The errors are dropped: a peer that violates the protocol or goes away affects only its
        // own connection.
        if !shutdown.is_cancelled() {
            let shutdown = shutdown.clone();
            connections.spawn(async move {
                let _ = serve_connection(socket, &config, handler, shutdown).await;
            });
            continue;
        }
        late.spawn(async move {
            let shutdown = CancellationToken::new();
            let serving = serve_connection(socket, &config, handler, shutdown.clone());
            let closing = async {
                tokio::time::sleep(Duration::from_millis(LATE_CONNECTION_MS)).await;
                shutdown.cancel();
            };
            let _ = tokio::join!(serving, closing);
        });
    }
    drop(listener);
    while late.join_next().await.is_some() {}
    Ok(())
}

/// Accepts a connection. After the shutdown, one is accepted only if the open ones don't end soon:
/// a peer that merely turns away needs no other one.
async fn accept(
    listener: &TcpListener,
    shutdown: &CancellationToken,
) -> io::Result<(TcpStream, SocketAddr)> {
    tokio::select! {
        biased;
        () = shutdown.cancelled() => {}
        accepted = listener.accept() => return accepted,
    }
    tokio::time::sleep(Duration::from_millis(LATE_ACCEPT_DELAY_MS)).await;
    listener.accept().await
}

/// Serves one connection over a byte stream.
///
/// # Errors
///
/// [`WireError::Http`] if the connection fails, [`WireError::Unproven`] if the peer does not prove
/// that it knows the secret within the connect timeout. A malformed proof message gives
/// [`WireError::Truncated`] or [`WireError::FrameTooLong`].
pub async fn serve_connection<S, H>(
    io: S,
    config: &WireConfig,
    handler: H,
    shutdown: CancellationToken,
) -> Result<(), WireError>
where
    S: AsyncRead + AsyncWrite + Send + Unpin + 'static,
    H: Handler,
{
    let mut builder = server::Builder::new();
    builder
        .initial_window_size(STREAM_WINDOW_BYTES)
        .initial_connection_window_size(CONNECTION_WINDOW_BYTES)
        .max_concurrent_streams(MAX_CONCURRENT_STREAMS);
    let connect_timeout = Duration::from_millis(config.connect_timeout_ms);
    let unproven = || WireError::Unproven { address: String::new() };
    let handshake = async {
        let mut connection = builder.handshake(Lingering::new(io)).await?;
        prove_mutually(&mut connection, config).await?;
        Ok::<_, WireError>(connection)
    };
    let mut connection = timeout(connect_timeout, handshake).await.map_err(|_| unproven())??;
    // Each exchange runs in its own task, which may outlive the loop below, so that no reply is cut
    // short.
    let mut draining = false;
    loop {
        let accepted = tokio::select! {
            accepted = connection.accept() => accepted,
            () = shutdown.cancelled(), if !draining => {
                draining = true;
                connection.graceful_shutdown();
                continue;
            }
        };
        let Some(accepted) = accepted else { return Ok(()) };
        let (request, respond) = accepted?;
        tokio::spawn(serve_exchange(
            request.into_body(),
            respond,
            config.max_frame_bytes,
            handler.clone(),
        ));
    }
}

async fn serve_exchange<H: Handler>(
    body: RecvStream,
    mut respond: server::SendResponse<Bytes>,
    max_frame_bytes: usize,
    handler: H,
) {
    let Ok(request) = read_request(body, max_frame_bytes).await else {
        refuse(&mut respond, StatusCode::BAD_REQUEST);
        return;
    };
    let Ok(stream) = respond.send_response(Response::new(()), false) else { return };
    handler.handle(request, ReplySender { stream, next_seq: 0, max_frame_bytes }).await;
}

async fn read_request(mut body: RecvStream, max_frame_bytes: usize) -> Result<Request, WireError> {
    let mut decoder = Decoder::new(max_frame_bytes);
    while let Some(data) = body.data().await {
        let data = data?;
        body.flow_control().release_capacity(data.len())?;
        decoder.extend(&data);
        if let Some(request) = decoder.next_message()? {
            return Ok(request);
        }
    }
    Err(WireError::Truncated)
}

type ServerConnection<S> = server::Connection<S, Bytes>;

async fn prove_mutually<S>(
    connection: &mut ServerConnection<S>,
    config: &WireConfig,
) -> Result<(), WireError>
where
    S: AsyncRead + AsyncWrite + Send + Unpin + 'static,
{
    let unproven = || WireError::Unproven { address: String::new() };
    let (challenge, mut respond) = accept_proof_message(connection, NONCE_BYTES).await?;
    let client: [u8; NONCE_BYTES] = challenge.as_ref().try_into().map_err(|_| unproven())?;
    let nonces = Nonces { client, server: proof::fresh_nonce() };
    let mut answer = Vec::with_capacity(NONCE_BYTES + PROOF_BYTES);
    answer.extend_from_slice(&nonces.server);
    answer.extend_from_slice(&proof::prove(&config.secret, Side::Server, &nonces));
    respond.send_response(Response::new(()), false)?.send_data(answer.into(), true)?;
    let (answer, mut respond) = accept_proof_message(connection, PROOF_BYTES).await?;
    if !proof::verify(&config.secret, Side::Client, &nonces, &answer) {
        refuse(&mut respond, StatusCode::UNAUTHORIZED);
        connection.graceful_shutdown();
        // The refusal is sent only while the connection is polled. All further requests are
        // refused too.
        while let Some(Ok((_, mut respond))) = connection.accept().await {
            refuse(&mut respond, StatusCode::UNAUTHORIZED);
        }
        return Err(unproven());
    }
    respond.send_response(Response::new(()), true)?;
    Ok(())
}

async fn accept_proof_message<S>(
    connection: &mut ServerConnection<S>,
    max_bytes: usize,
) -> Result<(Bytes, server::SendResponse<Bytes>), WireError>
where
    S: AsyncRead + AsyncWrite + Send + Unpin + 'static,
{
    let Some(accepted) = connection.accept().await else { return Err(WireError::Truncated) };
    let (request, mut respond) = accepted?;
    if request.uri().path() != PROOF_PATH {
        refuse(&mut respond, StatusCode::UNAUTHORIZED);
        return Err(WireError::Unproven { address: String::new() });
    }
    let mut body = request.into_body();
    let mut collected = Vec::with_capacity(max_bytes);
    loop {
        // The body arrives only while the connection is polled.
        let data = tokio::select! {
            data = body.data() => data,
            _ = poll_fn(|context| connection.poll_closed(context)) => None,
        };
        let Some(data) = data else { break };
        let data = data?;
        body.flow_control().release_capacity(data.len())?;
        collected.extend_from_slice(&data);
        if collected.len() > max_bytes {
            return Err(WireError::FrameTooLong { bytes: collected.len(), max_bytes });
        }
    }
    Ok((collected.into(), respond))
}

fn refuse(respond: &mut server::SendResponse<Bytes>, status: StatusCode) {
    let mut response = Response::new(());
    *response.status_mut() = status;
    // An error means that the peer has gone away and needs no refusal.
    let _ = respond.send_response(response, true);
}

/// Sends bytes as fast as the peer's flow control window allows.
pub(crate) async fn send_bytes(
    stream: &mut SendStream<Bytes>,
    mut bytes: Bytes,
    end: bool,
) -> Result<(), WireError> {
    while !bytes.is_empty() {
        stream.reserve_capacity(bytes.len());
        let available = match stream.capacity() {
            0 => poll_fn(|context| stream.poll_capacity(context))
                .await
                .ok_or(WireError::Truncated)??,
            available => available,
        };
        let chunk = bytes.split_to(available.min(bytes.len()));
        let last = bytes.is_empty();
        stream.send_data(chunk, end && last)?;
    }
    Ok(())
}
