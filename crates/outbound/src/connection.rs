//! One connection.

use std::{error::Error, net::SocketAddr, time::Duration};

use bytes::Bytes;
use displaydoc::Display;
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::{
    body::Incoming,
    client::conn::http1::{self, SendRequest},
};
use hyper_util::rt::TokioIo;
use tokio::{net::TcpStream, task::JoinHandle, time};

/// The largest buffer for a response head, in bytes; bodies pass through it piece by piece.
const MAX_BUFFER_BYTES: usize = 64 * 1024;

/// Why a connection could not be opened. Nothing was sent.
#[derive(Debug, Display)]
#[non_exhaustive]
pub enum OpenError {
    /// no connection within {timeout_ms} ms
    TimedOut {
        /// The time that was allowed.
        timeout_ms: u64,
    },
    /// no connection: {0}
    Refused(String),
}

impl Error for OpenError {}

/// Why a request got no response head.
#[derive(Debug, Display)]
#[non_exhaustive]
pub enum SendError {
    /// the connection had ended before the request was sent
    NotSent,
    /// the connection broke after the request was sent: {0}
    Broken(String),
}

impl Error for SendError {}

/// A connection that carries one request at a time.
///
/// Dropping it resets the connection, also while a response body is being read: bytes that have not
/// reached the server yet are dropped with it, so a request that was given up does not arrive
/// seconds later where the way to the server was cut meanwhile.
#[derive(Debug)]
pub struct Connection {
    sender: SendRequest<Full<Bytes>>,
    driver: JoinHandle<()>,
}

impl Connection {
    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// When the address refuses or does not answer within `timeout_ms`.
    pub async fn open(address: SocketAddr, timeout_ms: u64) -> Result<Self, OpenError> {
        let limit = Duration::from_millis(timeout_ms);
        let refused = |error: &dyn Error| OpenError::Refused(error.to_string());
        let stream = time::timeout(limit, TcpStream::connect(address))
            .await
            .map_err(|_| OpenError::TimedOut { timeout_ms })?
            .map_err(|error| refused(&error))?;
        stream.set_nodelay(true).map_err(|error| refused(&error))?;
        stream.set_zero_linger().map_err(|error| refused(&error))?;
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(MAX_BUFFER_BYTES)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(|error| refused(&error))?;
        let driver = tokio::spawn(async move {
            // A failure reaches the pending request, which reports it.
            let _ = connection.await;
        });
        Ok(Self { sender, driver })
    }

    /// Sends a request and waits for the head of its response.
    ///
    /// # Errors
    ///
    /// [`SendError::NotSent`] when it is certain that no byte was written.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, SendError> {
        self.sender.ready().await.map_err(|_| SendError::NotSent)?;
        self.sender.try_send_request(request).await.map_err(|mut failure| {
            match failure.take_message() {
                Some(_) => SendError::NotSent,
                None => SendError::Broken(failure.error().to_string()),
            }
        })
    }

    /// Sends a request and reads the whole of a short answer.
    ///
    /// # Errors
    ///
    /// When there is no head, or the body breaks off or is over `max_bytes`.
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

    /// Whether the previous exchange is over and the socket is still open.
    pub fn is_reusable(&self) -> bool {
        self.sender.is_ready() && !self.driver.is_finished()
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}
