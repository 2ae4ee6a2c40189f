//! A connection to one server.

use std::{error::Error, io::ErrorKind, net::SocketAddr, time::Duration};

use bytes::{Bytes, BytesMut};
use displaydoc::Display;
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::{
    body::Incoming,
    client::conn::http1::{self, SendRequest},
};
use hyper_util::rt::TokioIo;
use tokio::{net::TcpStream, task::JoinHandle, time};

/// Maximum size of the read buffer, which has to hold a whole response head; bodies pass through it
/// in pieces.
const MAX_READ_BUFFER_BYTES: usize = 64 * 1024;

/// The highest status that HTTP knows. A higher one is not the status of an answer; hyper rejects
/// only those below 100 and of more than three digits.
const MAX_STATUS: u16 = 599;

/// Why a connection could not be opened. Nothing was sent.
#[derive(Debug, Display)]
#[non_exhaustive]
pub enum OpenError {
    /// connecting timed out after {timeout_ms} ms
    TimedOut {
        /// The time limit, in milliseconds.
        timeout_ms: u64,
    },
    /// the connection could not be opened: {0}
    Refused(String),
    /// the connection failed while it was opened: {0}
    Failed(String),
}

impl Error for OpenError {}

/// Why a request or the reading of its response failed.
#[derive(Debug, Display)]
#[non_exhaustive]
pub enum SendError {
    /// the connection was closed before the request was sent
    NotSent,
    /// the connection broke after the request was sent: {0}
    Broken(String),
    /// the bytes of the answer are none that HTTP knows: {0}
    Malformed(String),
    /// nothing arrived for {limit_ms} ms
    Silent {
        /// The time limit, in milliseconds.
        limit_ms: u64,
    },
    /// the answer was not whole after {limit_ms} ms
    TooSlow {
        /// The time limit, in milliseconds.
        limit_ms: u64,
    },
    /// the answer is longer than {limit_bytes} bytes
    TooLong {
        /// The size limit, in bytes.
        limit_bytes: usize,
    },
}

impl Error for SendError {}

/// Time limits of an exchange whose answer may be large.
///
/// A large answer takes long on a slow link, so what ends the exchange early is silence.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ExchangeLimits {
    /// Time until the head of the answer, in milliseconds.
    pub head_ms: u64,
    /// Time between two pieces of its body, in milliseconds.
    pub silence_ms: u64,
    /// Time for the whole exchange, in milliseconds.
    pub whole_ms: u64,
}

/// A connection that carries one request at a time.
///
/// Dropping it resets the connection, even while a response body is being read. The reset discards
/// bytes that have not reached the server yet. Otherwise, an abandoned request could arrive seconds
/// later, after an interruption of the network.
#[derive(Debug)]
pub struct Connection {
    sender: SendRequest<Full<Bytes>>,
    io_task: JoinHandle<()>,
}

impl Connection {
    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// Returns an error if the server refuses the connection or does not answer within
    /// `timeout_ms`.
    pub async fn open(address: SocketAddr, timeout_ms: u64) -> Result<Self, OpenError> {
        let timeout = Duration::from_millis(timeout_ms);
        let failed = |error: &dyn Error| OpenError::Failed(error.to_string());
        let stream = time::timeout(timeout, TcpStream::connect(address))
            .await
            .map_err(|_| OpenError::TimedOut { timeout_ms })?
            .map_err(|error| match error.kind() {
                ErrorKind::ConnectionRefused => OpenError::Refused(error.to_string()),
                _ => failed(&error),
            })?;
        stream.set_nodelay(true).map_err(|error| failed(&error))?;
        stream.set_zero_linger().map_err(|error| failed(&error))?;
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(MAX_READ_BUFFER_BYTES)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(|error| failed(&error))?;
        let io_task = tokio::spawn(async move {
            // The pending request receives and reports the error.
            let _ = connection.await;
        });
        Ok(Self { sender, io_task })
    }

    /// Sends a request and waits for the head of its response.
    ///
    /// # Errors
    ///
    /// Returns [`SendError::NotSent`] if it is certain that no byte was written,
    /// [`SendError::Broken`] if the connection breaks before the head is whole, and
    /// [`SendError::Malformed`] if the head is none that HTTP knows.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, SendError> {
        self.sender.ready().await.map_err(|_| SendError::NotSent)?;
        let response = self.sender.try_send_request(request).await.map_err(|mut failure| {
            match failure.take_message() {
                Some(_) => SendError::NotSent,
                None if failure.error().is_parse() => {
                    SendError::Malformed(failure.error().to_string())
                }
                None => SendError::Broken(failure.error().to_string()),
            }
        })?;
        match response.status().as_u16() {
            ..=MAX_STATUS => Ok(response),
            status => Err(SendError::Malformed(format!("the status {status}"))),
        }
    }

    /// Sends a request and reads the whole response.
    ///
    /// # Errors
    ///
    /// Returns an error if no response head arrives, or if the body is incomplete or larger than
    /// `max_bytes`.
    pub async fn exchange(
        &mut self,
        request: Request<Full<Bytes>>,
        max_bytes: usize,
    ) -> Result<(StatusCode, Bytes), SendError> {
        let response = self.send(request).await?;
        let status = response.status();
        let body = Limited::new(response.into_body(), max_bytes)
            .collect()
            .await
            .map_err(|error| SendError::Broken(error.to_string()))?;
        Ok((status, body.to_bytes()))
    }

    /// Sends a request and reads the whole response, which may take long as long as it keeps coming.
    ///
    /// # Errors
    ///
    /// Like [`Connection::exchange`], and when a time limit is exceeded.
    pub async fn exchange_within(
        &mut self,
        request: Request<Full<Bytes>>,
        max_bytes: usize,
        limits: ExchangeLimits,
    ) -> Result<Response<Bytes>, SendError> {
        let limit_ms = limits.whole_ms;
        let exchange = self.exchange_until_silent(request, max_bytes, limits);
        let result = time::timeout(Duration::from_millis(limit_ms), exchange).await;
        result.unwrap_or(Err(SendError::TooSlow { limit_ms }))
    }

    async fn exchange_until_silent(
        &mut self,
        request: Request<Full<Bytes>>,
        max_bytes: usize,
        limits: ExchangeLimits,
    ) -> Result<Response<Bytes>, SendError> {
        let response = within(limits.head_ms, self.send(request)).await??;
        let (parts, body) = response.into_parts();
        let mut body = Limited::new(body, max_bytes);
        let mut whole = BytesMut::new();
        while let Some(frame) = within(limits.silence_ms, body.frame()).await? {
            let frame = frame.map_err(|error| match error.is::<LengthLimitError>() {
                true => SendError::TooLong { limit_bytes: max_bytes },
                false => SendError::Broken(error.to_string()),
            })?;
            whole.extend_from_slice(&frame.into_data().unwrap_or_default());
        }
        Ok(Response::from_parts(parts, whole.freeze()))
    }

    /// Whether the previous exchange is complete and the connection is still open.
    pub fn is_reusable(&self) -> bool {
        self.sender.is_ready() && !self.io_task.is_finished()
    }
}

async fn within<T>(limit_ms: u64, event: impl Future<Output = T>) -> Result<T, SendError> {
    let result = time::timeout(Duration::from_millis(limit_ms), event).await;
    result.map_err(|_| SendError::Silent { limit_ms })
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.io_task.abort();
    }
}
