//! As much of HTTP/1.1 as the stand-ins need: heads, bodies with a length, and chunked bodies.

use std::io;

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

const MAX_HEAD_BYTES: usize = 64 * 1024;

/// The head of a request or of an answer.
#[derive(Clone, Debug, Default)]
pub struct Head {
    /// The request line or the status line.
    pub first_line: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    /// The value of a header as text; empty if there is none.
    pub fn header(&self, name: &str) -> String {
        let found = self.headers.iter().find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.clone()).unwrap_or_default()
    }

    /// The second word of the first line: a request's path, an answer's status.
    pub fn second_word(&self) -> &str {
        self.first_line.split(' ').nth(1).unwrap_or_default()
    }

    pub fn status(&self) -> u16 {
        self.second_word().parse().unwrap_or(0)
    }
}

/// A connection with what was read from it and not used yet.
pub struct Wire {
    pub stream: TcpStream,
    unused: Vec<u8>,
}

impl Wire {
    pub fn new(stream: TcpStream) -> Self {
        Self { stream, unused: Vec::new() }
    }

    /// Reads more. Returns false at the end of the connection.
    async fn fill(&mut self) -> io::Result<bool> {
        let mut piece = [0; 16 * 1024];
        let length = self.stream.read(&mut piece).await?;
        self.unused.extend_from_slice(&piece[..length]);
        Ok(length > 0)
    }

    /// Reads a head. `None` at the end of the connection.
    pub async fn head(&mut self) -> io::Result<Option<Head>> {
        loop {
            if let Some(end) = find(&self.unused, b"\r\n\r\n") {
                let bytes: Vec<u8> = self.unused.drain(..end + 4).collect();
                return Ok(Some(parse(&bytes[..end])));
            }
            if self.unused.len() > MAX_HEAD_BYTES {
                return Err(io::Error::other("the head is too long"));
            }
            if !self.fill().await? {
                return Ok(None);
            }
        }
    }

    /// Reads a body of that length.
    pub async fn body(&mut self, length: usize) -> io::Result<Vec<u8>> {
        while self.unused.len() < length {
            if !self.fill().await? {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.unused.drain(..length).collect())
    }

    /// Reads a chunk. It is empty if it is the last one.
    pub async fn chunk(&mut self) -> io::Result<Vec<u8>> {
        let end = loop {
            if let Some(end) = find(&self.unused, b"\r\n") {
                break end;
            }
            if !self.fill().await? {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        };
        let line: Vec<u8> = self.unused.drain(..end + 2).collect();
        let length = String::from_utf8_lossy(&line[..end]).into_owned();
        let length = usize::from_str_radix(length.trim(), 16).map_err(io::Error::other)?;
        let mut chunk = self.body(length + 2).await?;
        chunk.truncate(length);
        Ok(chunk)
    }

    pub async fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes).await
    }
}

fn find(bytes: &[u8], what: &[u8]) -> Option<usize> {
    bytes.windows(what.len()).position(|window| window == what)
}

fn parse(bytes: &[u8]) -> Head {
    let mut head = Head::default();
    for (number, line) in bytes.split(|byte| *byte == b'\n').enumerate() {
        let line = line.strip_suffix(b"\r").unwrap_or(line);
        if number == 0 {
            head.first_line = String::from_utf8_lossy(line).into_owned();
        } else if let Some(colon) = line.iter().position(|byte| *byte == b':') {
            let name = String::from_utf8_lossy(&line[..colon]).into_owned();
            let value = String::from_utf8_lossy(line[colon + 1..].trim_ascii()).into_owned();
            head.headers.push((name, value));
        }
    }
    head
}
