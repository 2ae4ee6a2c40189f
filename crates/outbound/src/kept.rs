//! A connection that is kept between the calls of one task.

use std::{
    error::Error,
    net::SocketAddr,
    time::{Duration, Instant},
};

use bytes::Bytes;
use displaydoc::Display;
use http::{Request, StatusCode};
use http_body_util::Full;

use crate::{Connection, OpenError, SendError};

/// A connection that has been idle for no longer is taken to be open.
const MAX_TRUSTED_IDLE: Duration = Duration::from_millis(100);

/// Whether a call may reach the server twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeatability {
    /// It may, as a read may.
    Repeatable,
    /// It must not.
    Once,
}

/// Limits of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallLimits {
    /// Timeout for opening a connection, in milliseconds.
    pub open_ms: u64,
    /// The size limit of the response body, in bytes.
    pub max_bytes: usize,
}

/// Why a call failed.
#[derive(Debug, Display)]
#[non_exhaustive]
pub enum CallError {
    /// {0}
    NotOpened(OpenError),
    /// {0}
    NotAnswered(SendError),
}

impl Error for CallError {}

/// A connection to one address that is kept between calls.
///
/// Its server may drop it without notice while it is idle, and resets what is sent next. A repeatable
/// call is then made once more on a new connection. A call that must not be repeated is made on a new one
/// in the first place, unless another call has just ended.
///
/// # Limits
///
/// Only opening a connection has a timeout. A call that is cancelled resets its connection.
#[derive(Debug)]
pub struct KeptConnection {
    address: SocketAddr,
    idle: Option<Idle>,
}

#[derive(Debug)]
struct Idle {
    connection: Connection,
    since: Instant,
}

impl KeptConnection {
    /// Creates it without opening a connection.
    pub fn new(address: SocketAddr) -> Self {
        Self { address, idle: None }
    }

    /// The address that it leads to.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sends a request and reads the whole response.
    ///
    /// # Errors
    ///
    /// Returns an error if no connection can be opened, if no response arrives, or if its body is
    /// incomplete or too large. After [`CallError::NotAnswered`], the server may have received the request.
    pub async fn call(
        &mut self,
        request: Request<Full<Bytes>>,
        repeatability: Repeatability,
        limits: CallLimits,
    ) -> Result<(StatusCode, Bytes), CallError> {
        if let Some(connection) = self.take_idle(repeatability) {
            match self.exchange(connection, request.clone(), limits).await {
                Err(SendError::NotSent) => {}
                Err(SendError::Broken(_)) if repeatability == Repeatability::Repeatable => {}
                result => return result.map_err(CallError::NotAnswered),
            }
        }
        let opened = Connection::open(self.address, limits.open_ms).await;
        let connection = opened.map_err(CallError::NotOpened)?;
        self.exchange(connection, request, limits).await.map_err(CallError::NotAnswered)
    }

    fn take_idle(&mut self, repeatability: Repeatability) -> Option<Connection> {
        let Idle { connection, since } = self.idle.take()?;
        let is_trusted =
            repeatability == Repeatability::Repeatable || since.elapsed() <= MAX_TRUSTED_IDLE;
        (is_trusted && connection.is_reusable()).then_some(connection)
    }

    async fn exchange(
        &mut self,
        mut connection: Connection,
        request: Request<Full<Bytes>>,
        limits: CallLimits,
    ) -> Result<(StatusCode, Bytes), SendError> {
        let response = connection.exchange(request, limits.max_bytes).await?;
        self.idle = Some(Idle { connection, since: Instant::now() });
        Ok(response)
    }
}
