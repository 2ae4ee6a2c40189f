//! A small HTTP/1.1 server and client on blocking sockets, which gives the cases control over each
//! byte and each connection.

use std::{
    io::{self, BufRead, BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::Arc,
    thread,
    time::Duration,
};

/// A request that a server has read whole.
pub struct Request {
    pub method: String,
    pub target: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        find(&self.headers, name)
    }

    /// The path without the query.
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    pub fn query(&self, name: &str) -> Option<&str> {
        let query = self.target.split_once('?')?.1;
        query
            .split('&')
            .find_map(|pair| pair.split_once('=').filter(|(key, _)| *key == name))
            .map(|(_, value)| value)
    }
}

/// A response that a client has read whole.
pub struct Response {
    pub status: u16,
    pub body: Vec<u8>,
}

fn find<'a>(headers: &'a [(String, String)], name: &str) -> Option<&'a str> {
    headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name)).map(|(_, value)| value.as_str())
}

/// What a handler does with the connection after a request.
pub enum Then {
    Keep,
    Close,
}

/// Serves an address. The handler writes its answer itself.
pub fn serve<F>(address: SocketAddr, handler: F) -> io::Result<SocketAddr>
where
    F: Fn(Request, &mut TcpStream) -> io::Result<Then> + Send + Sync + 'static,
{
    let listener = TcpListener::bind(address)?;
    let bound = listener.local_addr()?;
    let handler = Arc::new(handler);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = handler.clone();
            thread::spawn(move || {
                // A connection that breaks off ends its thread; the callers record what they saw.
                let _ = serve_connection(stream, &*handler);
            });
        }
    });
    Ok(bound)
}

pub fn serve_connection<F>(mut stream: TcpStream, handler: &F) -> io::Result<()>
where
    F: Fn(Request, &mut TcpStream) -> io::Result<Then>,
{
    stream.set_nodelay(true)?;
    let mut reader = BufReader::new(stream.try_clone()?);
    while let Some((first, headers)) = read_head(&mut reader)? {
        let mut words = first.split(' ');
        let method = words.next().unwrap_or_default().to_owned();
        let target = words.next().unwrap_or_default().to_owned();
        let body = read_body(&mut reader, &headers, true)?;
        if let Then::Close = handler(Request { method, target, headers, body }, &mut stream)? {
            return Ok(());
        }
    }
    Ok(())
}

/// Writes a whole answer.
pub fn answer(
    stream: &mut TcpStream,
    status: u16,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<Then> {
    let mut text = format!("HTTP/1.1 {status} Status\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)?;
    Ok(Then::Keep)
}

type Head = (String, Vec<(String, String)>);

fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Head>> {
    let mut first = String::new();
    if reader.read_line(&mut first)? == 0 {
        return Ok(None);
    }
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(Some((first.trim_end().to_owned(), headers)));
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.push((name.trim().to_owned(), value.trim().to_owned()));
        }
    }
}

fn read_body(
    reader: &mut impl BufRead,
    headers: &[(String, String)],
    is_request: bool,
) -> io::Result<Vec<u8>> {
    let mut body = Vec::new();
    read_body_into(&mut body, reader, headers, is_request)?;
    Ok(body)
}

fn read_body_into(
    body: &mut Vec<u8>,
    reader: &mut impl BufRead,
    headers: &[(String, String)],
    is_request: bool,
) -> io::Result<()> {
    if find(headers, "transfer-encoding").is_some_and(|value| value.contains("chunked")) {
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line)? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            let size = line.trim().split(';').next().unwrap_or_default();
            let size = usize::from_str_radix(size, 16).map_err(|_| io::ErrorKind::InvalidData)?;
            let start = body.len();
            body.resize(start + size, 0);
            reader.read_exact(&mut body[start..])?;
            let mut end = String::new();
            reader.read_line(&mut end)?;
            if size == 0 {
                return Ok(());
            }
        }
    }
    match find(headers, "content-length") {
        Some(length) => {
            body.resize(length.parse().map_err(|_| io::ErrorKind::InvalidData)?, 0);
            reader.read_exact(body)?;
        }
        None if is_request => {}
        None => {
            reader.read_to_end(body)?;
        }
    }
    Ok(())
}

/// An answer, of which the end may be missing.
pub struct Partly {
    pub response: Response,
    pub is_complete: bool,
}

/// Sends a request on a new connection and reads the whole answer.
pub fn call(
    address: SocketAddr,
    method: &str,
    target: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    timeout: Duration,
) -> io::Result<Response> {
    let answer = call_partly(address, method, target, headers, body, timeout)?;
    if answer.is_complete { Ok(answer.response) } else { Err(io::ErrorKind::UnexpectedEof.into()) }
}

/// Sends a request on a new connection and reads the answer as far as it comes.
pub fn call_partly(
    address: SocketAddr,
    method: &str,
    target: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    timeout: Duration,
) -> io::Result<Partly> {
    let mut stream = TcpStream::connect_timeout(&address, timeout)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(timeout))?;
    stream.set_write_timeout(Some(timeout))?;
    let mut text = format!("{method} {target} HTTP/1.1\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    if method != "GET" {
        text.push_str(&format!("Content-Length: {}\r\n", body.len()));
    }
    text.push_str("\r\n");
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)?;
    let mut reader = BufReader::new(stream);
    let (first, headers) = read_head(&mut reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
    let status = first.split(' ').nth(1).and_then(|word| word.parse().ok());
    let status = status.ok_or(io::ErrorKind::InvalidData)?;
    let mut body = Vec::new();
    let is_complete = read_body_into(&mut body, &mut reader, &headers, false).is_ok();
    Ok(Partly { response: Response { status, body }, is_complete })
}
