//! A caller that writes HTTP/1.1 byte by byte and tells exactly how an answer ended.

use std::{io, net::SocketAddr};

use serde_json::Value;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

/// One HTTP/1.1 connection.
#[derive(Debug)]
pub struct RawConnection {
    stream: TcpStream,
    received: Vec<u8>,
}

/// An answer, read as far as it came.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RawAnswer {
    /// The HTTP status.
    pub status: u16,
    /// The status line and the headers.
    pub head: String,
    /// The body, without the framing of chunks.
    pub body: String,
    /// Whether the body came to the end that its framing says.
    pub framed_whole: bool,
}

/// What a request came to, as its caller sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Seen {
    /// A whole answer.
    Whole,
    /// A refusal that says that the request has not run.
    NotRun {
        /// The error's code.
        code: String,
    },
    /// A final answer that says that the answer is not complete, or that the request may have run.
    Told {
        /// The error's code.
        code: String,
    },
    /// No connection could be opened.
    NoConnection,
    /// The connection ended before the end of an answer.
    Lost(String),
}

impl RawConnection {
    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// When the port is closed.
    pub async fn open(address: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        Ok(Self { stream, received: Vec::new() })
    }

    /// Writes bytes.
    ///
    /// # Errors
    ///
    /// When the connection is closed.
    pub async fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes).await
    }

    /// Returns whether the other end has closed the connection while nothing was asked.
    pub fn is_closed(&self) -> bool {
        let mut byte = [0];
        match self.stream.try_read(&mut byte) {
            Err(error) => error.kind() != io::ErrorKind::WouldBlock,
            Ok(_) => true,
        }
    }

    /// Reads one answer to its end, or as far as it comes. `None` when not even a head came.
    pub async fn answer(&mut self) -> Option<RawAnswer> {
        let head_end = loop {
            if let Some(at) = find(&self.received, b"\r\n\r\n") {
                break at + 4;
            }
            if !self.read().await {
                return None;
            }
        };
        let head = String::from_utf8_lossy(&self.received[..head_end]).into_owned();
        self.received.drain(..head_end);
        let status = head.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0);
        let lower = head.to_ascii_lowercase();
        let (body, framed_whole) = if lower.contains("transfer-encoding: chunked") {
            self.chunks().await
        } else {
            let length = lower.lines().find_map(|line| line.strip_prefix("content-length: "));
            self.sized(length.and_then(|length| length.trim().parse().ok()).unwrap_or(0)).await
        };
        let body = String::from_utf8_lossy(&body).into_owned();
        Some(RawAnswer { status, head, body, framed_whole })
    }

    async fn sized(&mut self, bytes: usize) -> (Vec<u8>, bool) {
        while self.received.len() < bytes {
            if !self.read().await {
                return (std::mem::take(&mut self.received), false);
            }
        }
        (self.received.drain(..bytes).collect(), true)
    }

    async fn chunks(&mut self) -> (Vec<u8>, bool) {
        let mut body = Vec::new();
        loop {
            let Some(line_end) = find(&self.received, b"\r\n") else {
                if self.read().await {
                    continue;
                }
                return (body, false);
            };
            let size = std::str::from_utf8(&self.received[..line_end]).unwrap_or_default();
            let size = usize::from_str_radix(size.trim(), 16).unwrap_or(0);
            self.received.drain(..line_end + 2);
            let (chunk, whole) = self.sized(size + 2).await;
            body.extend_from_slice(&chunk[..chunk.len().min(size)]);
            if !whole || size == 0 {
                return (body, whole);
            }
        }
    }

    async fn read(&mut self) -> bool {
        let mut buffer = [0; 16 * 1024];
        match self.stream.read(&mut buffer).await {
            Ok(count) if count > 0 => {
                self.received.extend_from_slice(&buffer[..count]);
                true
            }
            _ => false,
        }
    }
}

impl RawAnswer {
    /// Returns the answer's error, which a stream carries in its last event.
    pub fn error(&self) -> Option<Value> {
        let text = match self.body.rsplit_once("event: error\ndata: ") {
            Some((_, event)) => event,
            None if self.status >= 400 => self.body.as_str(),
            None => return None,
        };
        let value: Value = serde_json::from_str(text.trim()).ok()?;
        value.get("error").cloned()
    }

    /// Returns whether the answer says that the request has not run.
    pub fn says_not_run(&self) -> bool {
        self.error().is_some_and(|error| error["not_run"] == Value::Bool(true))
    }

    /// Returns what the answer comes to.
    pub fn seen(&self) -> Seen {
        if !self.framed_whole {
            return Seen::Lost(format!("{} {:?}", self.status, self.body));
        }
        let code = |error: &Value| error["code"].as_str().unwrap_or_default().to_owned();
        match self.error() {
            Some(error) if self.says_not_run() => Seen::NotRun { code: code(&error) },
            Some(error) => Seen::Told { code: code(&error) },
            None if self.status != 200 => Seen::Lost(format!("{} {:?}", self.status, self.body)),
            None if is_stream(&self.head) && !self.body.ends_with("data: [DONE]\n\n") => {
                Seen::Lost(format!("a stream without its end: {:?}", self.body))
            }
            None => Seen::Whole,
        }
    }
}

/// Returns the bytes of a request.
pub fn post(path: &str, key: &str, headers: &[(&str, &str)], body: &str) -> Vec<u8> {
    let mut head = format!(
        "POST {path} HTTP/1.1\r\nhost: router\r\nauthorization: Bearer {key}\r\ncontent-length: {}\r\n",
        body.len()
    );
    for (name, value) in headers {
        head += &format!("{name}: {value}\r\n");
    }
    format!("{head}\r\n{body}").into_bytes()
}

fn is_stream(head: &str) -> bool {
    head.to_ascii_lowercase().contains("content-type: text/event-stream")
}

fn find(bytes: &[u8], wanted: &[u8]) -> Option<usize> {
    bytes.windows(wanted.len()).position(|window| window == wanted)
}
