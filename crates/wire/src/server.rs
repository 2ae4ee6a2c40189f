//! The answering end of a connection.

use std::{
    future::{Future, poll_fn},
    time::Duration,
};

use bytes::Bytes;
use h2::{RecvStream, SendStream, server};
use http::{Response, StatusCode};
use tokio::{
    io::{AsyncRead, AsyncWrite},
    net::TcpListener,
    task::JoinSet,
    time::timeout,
};
use tokio_util::sync::CancellationToken;

use crate::{
    WireConfig, WireError,
    codec::{self, Decoder},
    message::{Reply, Request},
    proof::{self, NONCE_BYTES, Nonces, PROOF_BYTES, Side},
};

pub(crate) const EXCHANGE_PATH: &str = "/exchange";
pub(crate) const PROOF_PATH: &str = "/proof";

const STREAM_WINDOW_BYTES: u32 = 1024 * 1024;
const CONNECTION_WINDOW_BYTES: u32 = 16 * 1024 * 1024;
const MAX_STREAMS: u32 = 16 * 1024;
const ACCEPT_PAUSE_MS: u64 = 20; // lets descriptors be freed when accepting fails

/// Answers the requests of peers.
pub trait Handler: Clone + Send + Sync + 'static {
    /// Answers one request. The exchange ends when the future does; a peer that no longer listens
    /// shows in [`ReplySender::closed`] and in failing sends.
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
    /// [`WireError::Http`] if the peer no longer listens, [`WireError::FrameTooLong`] for a reply that
    /// does not fit.
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

    /// Returns once the peer no longer listens.
    pub async fn closed(&mut self) {
        // Both outcomes mean that the peer is gone.
        let _ = poll_fn(|context| self.stream.poll_reset(context)).await;
    }
}

impl Drop for ReplySender {
    fn drop(&mut self) {
        if std::thread::panicking() {
            self.stream.send_reset(h2::Reason::INTERNAL_ERROR);
            return;
        }
        // Fails only when the peer is gone, which then needs no end.
        let _ = self.stream.send_data(Bytes::new(), true);
    }
}

/// Accepts connections until `shutdown`, then lets open exchanges finish.
///
/// # Errors
///
/// None at present; a connection that fails ends alone.
pub async fn serve<H: Handler>(
    listener: TcpListener,
    config: WireConfig,
    handler: H,
    shutdown: CancellationToken,
) -> Result<(), WireError> {
    let mut connections = JoinSet::new();
    loop {
        let accepted = tokio::select! {
            () = shutdown.cancelled() => break,
            accepted = listener.accept() => accepted,
            Some(_) = connections.join_next(), if !connections.is_empty() => continue,
        };
        let Ok((socket, _)) = accepted else {
            tokio::time::sleep(Duration::from_millis(ACCEPT_PAUSE_MS)).await;
            continue;
        };
        if socket.set_nodelay(true).is_err() {
            continue;
        }
        let (config, handler, shutdown) = (config.clone(), handler.clone(), shutdown.clone());
        connections.spawn(async move {
            // A peer that breaks the protocol or goes away concerns its own connection only.
            let _ = serve_connection(socket, &config, handler, shutdown).await;
        });
    }
    drop(listener);
    while connections.join_next().await.is_some() {}
    Ok(())
}

/// Serves one connection over a byte stream.
///
/// # Errors
///
/// [`WireError::Http`] when the connection fails, [`WireError::Unproven`] when the peer did not prove the
/// secret in time.
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
        .max_concurrent_streams(MAX_STREAMS);
    let limit = Duration::from_millis(config.connect_timeout_ms);
    let unproven = || WireError::Unproven { address: String::new() };
    let proving = async {
        let mut connection = builder.handshake(io).await?;
        expect_proof(&mut connection, config).await?;
        Ok::<_, WireError>(connection)
    };
    let mut connection = timeout(limit, proving).await.map_err(|_| unproven())??;
    // Exchanges outlive the loop below, so that a reply in flight is not cut.
    let mut leaving = false;
    loop {
        let accepted = tokio::select! {
            accepted = connection.accept() => accepted,
            () = shutdown.cancelled(), if !leaving => {
                leaving = true;
                connection.graceful_shutdown();
                continue;
            }
        };
        let Some(accepted) = accepted else { return Ok(()) };
        let (request, respond) = accepted?;
        tokio::spawn(exchange(
            request.into_body(),
            respond,
            config.max_frame_bytes,
            handler.clone(),
        ));
    }
}

async fn exchange<H: Handler>(
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

type Accepting<S> = server::Connection<S, Bytes>;

async fn expect_proof<S>(
    connection: &mut Accepting<S>,
    config: &WireConfig,
) -> Result<(), WireError>
where
    S: AsyncRead + AsyncWrite + Send + Unpin + 'static,
{
    let unproven = || WireError::Unproven { address: String::new() };
    let (challenge, mut respond) = accept_raw(connection, NONCE_BYTES).await?;
    let client: [u8; NONCE_BYTES] = challenge.as_ref().try_into().map_err(|_| unproven())?;
    let nonces = Nonces { client, server: proof::fresh_nonce() };
    let mut answer = Vec::with_capacity(NONCE_BYTES + PROOF_BYTES);
    answer.extend_from_slice(&nonces.server);
    answer.extend_from_slice(&proof::prove(&config.secret, Side::Server, &nonces));
    respond.send_response(Response::new(()), false)?.send_data(answer.into(), true)?;
    let (answer, mut respond) = accept_raw(connection, PROOF_BYTES).await?;
    if !proof::verify(&config.secret, Side::Client, &nonces, &answer) {
        refuse(&mut respond, StatusCode::UNAUTHORIZED);
        connection.graceful_shutdown();
        // Drives the refusal out; whatever else the peer sends is refused too.
        while let Some(Ok((_, mut respond))) = connection.accept().await {
            refuse(&mut respond, StatusCode::UNAUTHORIZED);
        }
        return Err(unproven());
    }
    respond.send_response(Response::new(()), true)?;
    Ok(())
}

async fn accept_raw<S>(
    connection: &mut Accepting<S>,
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
        // The connection makes progress only while it is polled.
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
    // A peer that is gone needs no refusal.
    let _ = respond.send_response(response, true);
}

/// Sends bytes as the peer's flow control window allows.
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
