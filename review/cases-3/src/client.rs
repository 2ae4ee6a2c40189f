//! A client: one request on a new connection, and what came back.

use std::{net::SocketAddr, time::Duration};

use tokio::{net::TcpStream, time};

use crate::{
    http::{Head, Wire},
    record::Record,
};

pub const HOST: &str = "desk.example";

/// A request for a stream.
#[derive(Clone, Debug)]
pub struct Request {
    pub id: String,
    pub path: String,
    pub key: String,
    /// The parts of its prompt.
    pub parts: String,
    pub prompt_tokens: u64,
    pub events: u64,
    pub deadline_ms: u64,
    /// The longest pause for which this client waits.
    pub gap_ms: u64,
}

/// What a client got.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    pub status: u16,
    /// The lines of data, in order.
    pub events: Vec<String>,
    /// Whether the answer ended as a whole one.
    pub is_whole: bool,
    /// Whether the client left as nothing came for too long.
    pub left: bool,
}

/// Sends a request and reads its answer.
pub async fn send(gateway: SocketAddr, request: &Request, record: &Record) -> Answer {
    record.line(&format!("client sends {} ({})", request.id, request.path));
    let mut answer = Answer::default();
    let exchange = exchange(gateway, request, &mut answer);
    let limit = Duration::from_millis(request.deadline_ms);
    let ended = time::timeout(limit, exchange).await;
    let end = match &ended {
        Ok(Ok(())) => "ends".to_owned(),
        Ok(Err(error)) => format!("breaks off: {error}"),
        Err(_) => "is not whole at the deadline".to_owned(),
    };
    record.line(&format!(
        "client got {}: status {}, {} events, last {:?}, the answer {end}",
        request.id,
        answer.status,
        answer.events.len(),
        answer.events.last()
    ));
    answer
}

async fn exchange(
    gateway: SocketAddr,
    request: &Request,
    answer: &mut Answer,
) -> std::io::Result<()> {
    let body = "{\"prompt\":\"overhang\"}";
    let head = format!(
        "POST {} HTTP/1.1\r\nHost: {HOST}\r\nX-Samphirespread-Attempt-Id: {}\r\n\
         X-Samphirespread-Model: {}\r\nX-Samphirespread-Token-Usage: {},{}\r\n\
         X-Samphirespread-Prompt-Prefix: {}\r\nX-Samphirespread-Deadline-Ms: {}\r\n\
         Authorization: Token {}\r\nContent-Length: {}\r\n\r\n{body}",
        request.path,
        request.id,
        crate::engine::MODEL,
        request.prompt_tokens,
        request.events,
        request.parts,
        request.deadline_ms,
        request.key,
        body.len()
    );
    let mut wire = Wire::new(TcpStream::connect(gateway).await?);
    wire.write(head.as_bytes()).await?;
    let head: Head = wire.head().await?.ok_or(std::io::ErrorKind::UnexpectedEof)?;
    answer.status = head.status();
    if !head.header("transfer-encoding").eq_ignore_ascii_case("chunked") {
        wire.body(head.header("content-length").parse().unwrap_or(0)).await?;
        answer.is_whole = true;
        return Ok(());
    }
    let mut text = String::new();
    loop {
        let gap = Duration::from_millis(request.gap_ms);
        let Ok(chunk) = time::timeout(gap, wire.chunk()).await else {
            answer.left = true;
            return Err(std::io::Error::other("the client leaves after a gap"));
        };
        let chunk = chunk?;
        if chunk.is_empty() {
            answer.is_whole = true;
            return Ok(());
        }
        text.push_str(&String::from_utf8_lossy(&chunk));
        while let Some(end) = text.find("\n\n") {
            let event: String = text.drain(..end + 2).collect();
            let data = event.lines().find_map(|line| line.strip_prefix("data: "));
            answer.events.push(data.unwrap_or_default().to_owned());
        }
    }
}

/// Waits until a gateway says that it is ready.
pub async fn wait_until_ready(readiness: SocketAddr) -> std::io::Result<()> {
    for _ in 0..200 {
        if is_ready(readiness).await {
            return Ok(());
        }
        time::sleep(Duration::from_millis(100)).await;
    }
    Err(std::io::Error::other("a gateway doesn't become ready"))
}

async fn is_ready(readiness: SocketAddr) -> bool {
    let Ok(stream) = TcpStream::connect(readiness).await else { return false };
    let mut wire = Wire::new(stream);
    let asked = wire.write(b"GET /-/ready HTTP/1.1\r\nHost: ready\r\n\r\n").await;
    asked.is_ok() && matches!(wire.head().await, Ok(Some(head)) if head.status() == 200)
}
