//! Connections that break or go silent around an agent.

mod support;

use samphirespread_standin::{
    engine::{Engine, EngineConfig},
    link::Link,
    text,
};
use support::{
    TestAgent, attempt, dial, model_run, open_resume, open_run, read_answer, read_lines,
};

const PROMPT: &str = "Is the trunk road north cleared?";

async fn slow_engine() -> Engine {
    let config = EngineConfig::new("reader", "v1").decode_step_us(10_000).load_lag_ms(0);
    Engine::start(config).await.unwrap()
}

#[tokio::test]
async fn a_cut_connection_to_the_engine_is_resumed_at_the_next_line() {
    let engine = slow_engine().await;
    let link = Link::start(engine.address()).await.unwrap();
    let agent = TestAgent::start("model", link.address(), "").await;
    let connection = agent.connect().await;
    let mut replies = open_run(&connection, &model_run(1, PROMPT, 60)).await;
    let begin = read_lines(&mut replies, 5).await;

    link.cut();
    let rest = read_answer(&mut replies).await;

    assert_eq!(begin + &rest.text, text::answer(PROMPT, 60));
    assert_eq!(rest.finished().length, 60);
    assert_eq!(engine.record().streams.len(), 1);
}

#[tokio::test]
async fn a_silent_connection_to_the_engine_is_resumed_at_the_next_line() {
    let engine = slow_engine().await;
    let link = Link::start(engine.address()).await.unwrap();
    let agent = TestAgent::start("model", link.address(), "").await;
    let connection = agent.connect().await;
    let mut replies = open_run(&connection, &model_run(1, PROMPT, 60)).await;
    let begin = read_lines(&mut replies, 5).await;

    link.silence();
    let rest = read_answer(&mut replies).await;

    assert_eq!(begin + &rest.text, text::answer(PROMPT, 60));
    assert_eq!(engine.record().streams.len(), 1);
}

#[tokio::test]
async fn a_silent_connection_of_a_router_is_resumed_on_another() {
    let engine = slow_engine().await;
    let agent = TestAgent::start("model", engine.address(), "").await;
    drop(agent.connect().await);
    let link = Link::start(agent.peers).await.unwrap();
    let connection = dial(link.address()).await;
    let mut replies = open_run(&connection, &model_run(1, PROMPT, 60)).await;
    let begin = read_lines(&mut replies, 5).await;

    link.silence();
    let other = dial(link.address()).await;
    let rest = read_answer(&mut open_resume(&other, attempt(1), 5).await).await;

    assert_eq!(begin + &rest.text, text::answer(PROMPT, 60));
    assert_eq!(engine.record().streams.len(), 1);
}
