//! Tests of a connection that is kept between calls, while its server drops it.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use http::{Method, Request, StatusCode};
use http_body_util::Full;
use samphirespread_outbound::{CallError, CallLimits, KeptConnection, Repeatability};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    time,
};

/// A server drops a connection that was idle for so long, and a client no longer trusts it.
const REST: Duration = Duration::from_millis(200);
const ANSWER: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";

/// What a server has seen.
#[derive(Clone, Debug, Default)]
struct Seen {
    connections: Arc<AtomicUsize>,
    requests: Arc<AtomicUsize>,
}

impl Seen {
    fn counts(&self) -> (usize, usize) {
        (self.connections.load(Ordering::SeqCst), self.requests.load(Ordering::SeqCst))
    }
}

/// Starts a server that drops a connection after `kept` requests: what arrives on it next resets it
/// unread.
async fn start(kept: usize) -> (SocketAddr, Seen) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let seen = Seen::default();
    let counts = seen.clone();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            counts.connections.fetch_add(1, Ordering::SeqCst);
            tokio::spawn(serve(stream, kept, counts.clone()));
        }
    });
    (address, seen)
}

async fn serve(mut stream: TcpStream, kept: usize, seen: Seen) {
    for _ in 0..kept {
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            let Ok(byte) = stream.read_u8().await else { return };
            head.push(byte);
        }
        seen.requests.fetch_add(1, Ordering::SeqCst);
        stream.write_all(ANSWER).await.unwrap();
    }
    stream.peek(&mut [0]).await.unwrap();
    stream.set_zero_linger().unwrap();
}

async fn call(
    kept: &mut KeptConnection,
    repeatability: Repeatability,
) -> Result<(StatusCode, Bytes), CallError> {
    let method = match repeatability {
        Repeatability::Repeatable => Method::GET,
        Repeatability::Once => Method::POST,
    };
    let request = Request::builder().method(method).uri("/").header("host", "a");
    let limits = CallLimits { open_ms: 1_000, max_bytes: 100 };
    kept.call(request.body(Full::default()).unwrap(), repeatability, limits).await
}

/// Guards against a read that fails as the server had dropped the idle connection.
#[tokio::test]
async fn a_read_is_made_again_if_its_connection_was_dropped() {
    let (address, seen) = start(1).await;
    let mut kept = KeptConnection::new(address);
    call(&mut kept, Repeatability::Repeatable).await.unwrap();

    let (status, body) = call(&mut kept, Repeatability::Repeatable).await.unwrap();

    assert_eq!((status, &body[..]), (StatusCode::OK, &b"ok"[..]));
    assert_eq!(seen.counts(), (2, 2));
}

/// Guards against a call that must not be repeated and is made on a connection that may have been dropped.
#[tokio::test]
async fn a_call_that_must_not_be_repeated_is_made_on_a_new_connection_after_a_rest() {
    let (address, seen) = start(1).await;
    let mut kept = KeptConnection::new(address);
    call(&mut kept, Repeatability::Repeatable).await.unwrap();
    time::sleep(REST).await;

    call(&mut kept, Repeatability::Once).await.unwrap();

    assert_eq!(seen.counts(), (2, 2));
}

/// Guards against a call that is made twice although it must not be.
#[tokio::test]
async fn a_call_that_must_not_be_repeated_fails_if_its_connection_breaks() {
    let (address, seen) = start(1).await;
    let mut kept = KeptConnection::new(address);
    call(&mut kept, Repeatability::Repeatable).await.unwrap();

    let failed = call(&mut kept, Repeatability::Once).await;

    assert!(matches!(failed, Err(CallError::NotAnswered(_))), "{failed:?}");
    assert_eq!(seen.counts(), (1, 1));
}

/// Guards against a new connection for each call.
#[tokio::test]
async fn calls_share_a_connection_that_is_kept() {
    let (address, seen) = start(10).await;
    let mut kept = KeptConnection::new(address);

    for _ in 0..3 {
        call(&mut kept, Repeatability::Repeatable).await.unwrap();
        call(&mut kept, Repeatability::Once).await.unwrap();
    }
    time::sleep(REST).await;
    call(&mut kept, Repeatability::Repeatable).await.unwrap();

    assert_eq!(seen.counts(), (1, 7));
}
