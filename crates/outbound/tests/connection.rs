//! Test of the reset of a connection whose request was abandoned.

use std::io::ErrorKind;

use bytes::Bytes;
use http_body_util::Full;
use samphirespread_outbound::Connection;
use tokio::{io::AsyncReadExt, net::TcpListener};

/// Guards against an abandoned request that reaches the server late: if the network is interrupted,
/// an orderly close keeps sending the request's bytes until the network is back.
#[tokio::test]
async fn resets_the_connection_of_an_abandoned_request() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let mut connection = Connection::open(address, 1_000).await.unwrap();
    let (mut server, _) = listener.accept().await.unwrap();
    let request = http::Request::post("/").header("host", "a").body(Full::new(Bytes::from("b")));
    let request_task =
        tokio::spawn(async move { connection.send(request.unwrap()).await.map(drop) });
    let mut head = [0; 4];
    server.read_exact(&mut head).await.unwrap();

    request_task.abort();

    let mut rest = Vec::new();
    let error = server.read_to_end(&mut rest).await.unwrap_err();
    assert_eq!(error.kind(), ErrorKind::ConnectionReset);
}
