//! The relay between a client and a stand-in engine.

use samphirespread_engine::{EngineClient, EngineClientConfig, EngineError};
use samphirespread_standin::{
    engine::{Engine, EngineConfig},
    link::Link,
};

async fn relayed() -> (Engine, Link, EngineClient) {
    let engine = Engine::start(EngineConfig::new("reader", "v1")).await.expect("a port is free");
    let link = Link::start(engine.address()).await.expect("a port is free");
    let config = EngineClientConfig::new(link.address().to_string());
    let client = EngineClient::new(config.timeout_ms(400).silence_ms(1_500));
    (engine, link, client)
}

#[tokio::test]
async fn a_silent_connection_stays_open_while_new_ones_work() {
    let (_engine, link, client) = relayed().await;
    let mut events = client.events(0).await.unwrap();
    events.next().await.unwrap();

    link.silence();

    let silent = events.next().await;
    assert_eq!(silent, Err(EngineError::Silent { silence_ms: 1_500 }));
    // The first call may meet an idle connection that went silent as well.
    let _ = client.load().await;
    assert!(client.load().await.is_ok());
}

#[tokio::test]
async fn a_cut_closes_connections_and_lets_new_ones_through() {
    let (_engine, link, client) = relayed().await;
    let mut events = client.events(0).await.unwrap();
    events.next().await.unwrap();

    link.cut();

    assert!(matches!(events.next().await, Err(EngineError::Lost { .. })));
    assert!(client.load().await.is_ok());
}

#[tokio::test]
async fn a_link_that_is_down_takes_no_new_connection() {
    let (_engine, link, client) = relayed().await;

    link.set_down(true);
    let refused = client.load().await;
    link.set_down(false);

    assert!(refused.is_err());
    assert!(client.load().await.is_ok());
}

#[tokio::test]
async fn a_delay_beyond_the_timeout_loses_the_answer() {
    let (_engine, link, client) = relayed().await;

    link.set_delay_ms(300);
    let late = client.load().await;
    link.set_delay_ms(0);

    assert_eq!(late, Err(EngineError::Silent { silence_ms: 400 }));
    assert!(client.load().await.is_ok());
}
