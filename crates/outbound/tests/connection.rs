//! What a server sees of a request that was given up.

use std::io::ErrorKind;

use bytes::Bytes;
use http_body_util::Full;
use samphirespread_outbound::Connection;
use tokio::{io::AsyncReadExt, net::TcpListener};

/// The way to the server was cut when the caller left; an orderly close would keep the request's
/// bytes on their way until the link is back.
#[tokio::test]
async fn a_request_that_is_given_up_resets_its_connection() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let mut connection = Connection::open(address, 1_000).await.unwrap();
    let (mut server, _) = listener.accept().await.unwrap();
    let request = http::Request::post("/").header("host", "a").body(Full::new(Bytes::from("b")));
    let sending = tokio::spawn(async move { connection.send(request.unwrap()).await.map(drop) });
    let mut head = [0; 4];
    server.read_exact(&mut head).await.unwrap();

    sending.abort();

    let mut rest = Vec::new();
    let ended = server.read_to_end(&mut rest).await.unwrap_err();
    assert_eq!(ended.kind(), ErrorKind::ConnectionReset);
}
