//! A request travels from a caller over a router and an agent to an engine, and its answer back,
//! all as separate processes.

use http::Method;
use samphirespread_standin::{caller::CompletionRequest, text};
use samphirespread_testkit::{DEFAULT_MODEL, Fleet};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

#[tokio::test]
async fn a_stream_comes_back_whole() {
    let fleet = Fleet::builder().routers(1).agents(2).start().await;
    let request = CompletionRequest::new(DEFAULT_MODEL, "Is the trunk road clear?", 40);

    let answer = fleet.caller(0).complete(&request).await.unwrap();

    assert!(answer.is_complete(), "{answer:?}");
    assert_eq!(answer.text, text::answer(&request.prompt, 40));
}

#[tokio::test]
async fn a_whole_answer_equals_the_stream() {
    let fleet = Fleet::builder().routers(1).agents(1).start().await;
    let request = CompletionRequest::new(DEFAULT_MODEL, "Draft a reclaim letter.", 25);
    let whole = CompletionRequest { stream: false, ..request.clone() };

    let streamed = fleet.caller(0).complete(&request).await.unwrap();
    let answer = fleet.caller(0).complete(&whole).await.unwrap();

    assert_eq!(answer.text, streamed.text);
    assert_eq!(answer.finish_reason.as_deref(), Some("length"));
}

#[tokio::test]
async fn a_wrong_key_is_refused_and_nothing_runs() {
    let fleet = Fleet::builder().routers(1).agents(1).start().await;
    let request = CompletionRequest::new(DEFAULT_MODEL, "Let me in.", 5);

    let answer = fleet.anonymous(0).key("no-such-key").complete(&request).await.unwrap();

    let refusal = answer.refusal.unwrap();
    assert_eq!((answer.status, refusal.code.as_str()), (401, "unknown_key"));
    assert!(refusal.not_run);
    assert!(fleet.agents[0].engine.record().streams.is_empty());
}

#[tokio::test]
async fn an_unknown_model_and_an_unknown_path_are_named() {
    let fleet = Fleet::builder().routers(1).agents(1).start().await;
    let request = CompletionRequest::new("no-such-model", "Hello.", 5);

    let model = fleet.caller(0).complete(&request).await.unwrap().refusal.unwrap();
    let path = fleet.caller(0).call(Method::GET, "/no/such/path", "").await.unwrap();

    assert_eq!(model.code, "unknown_model");
    assert!(model.message.contains("no-such-model"), "{}", model.message);
    assert_eq!(path.refusal().unwrap().code, "unknown_route");
}

#[tokio::test]
async fn broken_and_huge_bodies_are_refused_and_the_router_serves_on() {
    let builder = Fleet::builder().routers(1).agents(1);
    let fleet = builder.router_setting("request", "max_body_bytes", "4096").start().await;
    let caller = fleet.caller(0);
    let path = "/v1/chat/completions";

    let broken = caller.call(Method::POST, path, "{\"model\":").await.unwrap();
    let huge = caller.call(Method::POST, path, "x".repeat(5_000)).await.unwrap();
    let request = CompletionRequest::new(DEFAULT_MODEL, "Still there?", 3);
    let after = caller.complete(&request).await.unwrap();

    assert_eq!(
        (broken.status.as_u16(), broken.refusal().unwrap().code.as_str()),
        (400, "invalid_request")
    );
    assert_eq!(
        (huge.status.as_u16(), huge.refusal().unwrap().code.as_str()),
        (413, "body_too_large")
    );
    assert!(after.is_complete(), "{after:?}");
}

#[tokio::test]
async fn slow_and_huge_headers_are_cut_and_the_router_serves_on() {
    let builder = Fleet::builder().routers(1).agents(1);
    let builder = builder.router_setting("request", "header_timeout_ms", "100");
    let fleet = builder.router_setting("request", "max_header_bytes", "8192").start().await;
    let address = fleet.routers[0].daemon.callers();
    let mut slow = TcpStream::connect(address).await.unwrap();
    let mut huge = TcpStream::connect(address).await.unwrap();

    slow.write_all(b"GET /v1/models HTTP/1.1\r\nhost: a\r\n").await.unwrap();
    let mut slow_answer = Vec::new();
    slow.read_to_end(&mut slow_answer).await.unwrap();
    let header = format!("GET /v1/models HTTP/1.1\r\nx-long: {}", "x".repeat(20_000));
    // The router may cut the connection before it has taken all.
    let _ = huge.write_all(header.as_bytes()).await;
    let mut huge_answer = [0; 12];
    let huge_answered = huge.read_exact(&mut huge_answer).await;
    let request = CompletionRequest::new(DEFAULT_MODEL, "Still there?", 3);
    let after = fleet.caller(0).complete(&request).await.unwrap();

    assert!(!String::from_utf8_lossy(&slow_answer).contains("200"), "{slow_answer:?}");
    assert!(huge_answered.is_err() || huge_answer == *b"HTTP/1.1 431", "{huge_answer:?}");
    assert!(after.is_complete(), "{after:?}");
}
