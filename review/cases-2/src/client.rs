//! Clients: each request is sent on a connection of its own, and what comes back is kept.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpSocket, TcpStream},
    time,
};

use crate::worker::MODEL;

pub const HOST: &str = "desk.example";
pub const KEY: &str = "wu3fexd9dnn2ctnfzs98";

#[derive(Clone, Debug)]
pub struct Call {
    pub path: String,
    pub attempt: String,
    pub deadline_ms: u64,
    pub is_generation: bool,
    /// Headers besides the usual ones.
    pub more: String,
}

/// How fast a client reads.
#[derive(Clone, Copy, Debug)]
pub struct Reading {
    pub buffer_bytes: u32,
    pub piece_bytes: usize,
    pub pause_ms: u64,
}

#[derive(Clone, Debug)]
pub struct Answer {
    pub sent: Instant,
    pub ended: Instant,
    /// None if the connection ended before a whole head.
    pub status: Option<u16>,
    pub head: String,
    pub body: Vec<u8>,
    /// Whether the body came to its proper end.
    pub is_whole: bool,
    pub connected: bool,
}

impl Answer {
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

pub async fn send(address: SocketAddr, call: &Call, reading: Option<Reading>) -> Answer {
    let mut answer = Answer {
        sent: Instant::now(),
        ended: Instant::now(),
        status: None,
        head: String::new(),
        body: Vec::new(),
        is_whole: false,
        connected: false,
    };
    let limit = Duration::from_millis(call.deadline_ms);
    let _ = time::timeout(limit, exchange(address, call, reading, &mut answer)).await;
    answer.ended = Instant::now();
    answer
}

/// Sends two requests, one after the other on one channel. Returns what came of the second; the first has to
/// be answered whole.
pub async fn send_kept(address: SocketAddr, first: &Call, second: &Call) -> Option<Answer> {
    let mut stream = TcpStream::connect(address).await.ok()?;
    let mut answers = Vec::new();
    for call in [first, second] {
        let mut answer = Answer {
            sent: Instant::now(),
            ended: Instant::now(),
            status: None,
            head: String::new(),
            body: Vec::new(),
            is_whole: false,
            connected: true,
        };
        let limit = Duration::from_millis(call.deadline_ms);
        let exchange = async {
            stream.write_all(text_of(call).as_bytes()).await.ok()?;
            read_answer(&mut stream, None, &mut answer).await
        };
        let _ = time::timeout(limit, exchange).await;
        answer.ended = Instant::now();
        let is_whole = answer.is_whole;
        answers.push(answer);
        if !is_whole {
            break;
        }
    }
    (answers.len() == 2).then(|| answers.pop())?
}

async fn exchange(
    address: SocketAddr,
    call: &Call,
    reading: Option<Reading>,
    answer: &mut Answer,
) -> Option<()> {
    let socket = TcpSocket::new_v4().ok()?;
    if let Some(reading) = reading {
        socket.set_recv_buffer_size(reading.buffer_bytes).ok()?;
    }
    let mut stream = socket.connect(address).await.ok()?;
    answer.connected = true;
    stream.write_all(text_of(call).as_bytes()).await.ok()?;
    read_answer(&mut stream, reading, answer).await
}

fn text_of(call: &Call) -> String {
    let body = "a text";
    let generation = match call.is_generation {
        true => format!(
            "X-Samphirespread-Model: {MODEL}\r\nX-Samphirespread-Token-Usage: 628,49\r\n\
             X-Samphirespread-Prompt-Prefix: 5c1e07a2:119,{:08x}:79,{:08x}:430\r\n",
            hash(&call.attempt) % 400,
            hash(&call.attempt)
        ),
        false => String::new(),
    };
    format!(
        "POST {} HTTP/1.1\r\nHost: {HOST}\r\nX-Samphirespread-Attempt-Id: {}\r\n\
         X-Samphirespread-Deadline-Ms: {}\r\nAuthorization: Token {KEY}\r\n{generation}{}\
         Content-Length: {}\r\n\r\n{body}",
        call.path,
        call.attempt,
        call.deadline_ms,
        call.more,
        body.len()
    )
}

fn hash(text: &str) -> u32 {
    text.bytes().fold(2_166_136_261, |hash, byte| (hash ^ u32::from(byte)).wrapping_mul(16_777_619))
}

async fn read_some(stream: &mut TcpStream, reading: Option<Reading>, into: &mut Vec<u8>) -> Option<()> {
    let mut piece = vec![0; reading.map_or(16 * 1_024, |reading| reading.piece_bytes)];
    if let Some(reading) = reading {
        time::sleep(Duration::from_millis(reading.pause_ms)).await;
    }
    match stream.read(&mut piece).await {
        Ok(0) | Err(_) => None,
        Ok(count) => {
            into.extend_from_slice(&piece[..count]);
            Some(())
        }
    }
}

async fn read_answer(
    stream: &mut TcpStream,
    reading: Option<Reading>,
    answer: &mut Answer,
) -> Option<()> {
    let mut bytes = Vec::new();
    let end = loop {
        if let Some(end) = bytes.windows(4).position(|window| window == b"\r\n\r\n") {
            break end;
        }
        read_some(stream, reading, &mut bytes).await?;
    };
    answer.head = String::from_utf8_lossy(&bytes[..end]).to_lowercase();
    answer.status = answer.head.split(' ').nth(1).and_then(|status| status.parse().ok());
    bytes.drain(..end + 4);
    let length = answer.head.lines().find_map(|line| line.strip_prefix("content-length:"));
    if let Some(length) = length.and_then(|length| length.trim().parse::<usize>().ok()) {
        while bytes.len() < length {
            let is_open = read_some(stream, reading, &mut bytes).await;
            answer.body.clone_from(&bytes);
            is_open?;
        }
        answer.body = bytes;
        answer.is_whole = true;
        return Some(());
    }
    // Chunks.
    loop {
        let line = loop {
            if let Some(line) = bytes.windows(2).position(|window| window == b"\r\n") {
                break line;
            }
            read_some(stream, reading, &mut bytes).await?;
        };
        let size = std::str::from_utf8(&bytes[..line]).ok()?;
        let size = usize::from_str_radix(size.trim(), 16).ok()?;
        bytes.drain(..line + 2);
        while bytes.len() < size + 2 {
            read_some(stream, reading, &mut bytes).await?;
        }
        answer.body.extend_from_slice(&bytes[..size]);
        bytes.drain(..size + 2);
        if size == 0 {
            answer.is_whole = true;
            return Some(());
        }
    }
}
