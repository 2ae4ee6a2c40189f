//! Tests with connections of an agent that break or go silent.

mod support;

use samphirespread_standin::{
    engine::{Engine, EngineConfig},
    link::Link,
    text,
};
use support::{
    TestAgent, attempt, dial, lookup, model_run, open_resume, open_run, read_answer, read_lines,
    until,
};

const PROMPT: &str = "Is the trunk road north cleared?";

async fn slow_engine() -> Engine {
    let config = EngineConfig::new("reader", "v1").decode_step_us(10_000).load_lag_ms(0);
    Engine::start(config).await.unwrap()
}

#[tokio::test]
async fn resumes_a_broken_engine_stream_at_the_next_line() {
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
async fn resumes_a_silent_engine_stream_at_the_next_line() {
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
async fn a_router_resumes_an_answer_on_a_new_connection_when_the_first_is_silent() {
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

#[tokio::test]
async fn an_agent_shuts_down_although_a_router_is_silent() {
    let engine = slow_engine().await;
    let more = "[drain]\ntimeout_ms = 15000\n";
    let agent = TestAgent::start("model", engine.address(), more).await;
    drop(agent.connect().await);
    let link = Link::start(agent.peers).await.unwrap();
    let silent = dial(link.address()).await;
    let mut replies = open_run(&silent, &model_run(1, PROMPT, 50)).await;
    read_lines(&mut replies, 1).await;

    link.silence();
    agent.shutdown.cancel();
    let exit = agent.running.await.unwrap();

    assert!(exit.is_ok());
    assert_eq!(engine.totals().output_tokens, 50, "the running attempt was finished");
}

#[tokio::test]
async fn a_frozen_engine_fails_the_attempt_as_possibly_run_and_gets_its_cancel_later() {
    // With this linger time, the engine itself continues a stream that has no reader.
    let config = EngineConfig::new("reader", "v1").decode_step_us(10_000).linger_ms(600_000);
    let engine = Engine::start(config.load_lag_ms(0)).await.unwrap();
    let agent = TestAgent::start("model", engine.address(), "").await;
    let connection = agent.connect().await;
    let mut replies = open_run(&connection, &model_run(1, PROMPT, 100_000)).await;
    read_lines(&mut replies, 1).await;

    engine.set_frozen(true);
    let answer = read_answer(&mut replies).await;
    let takes_work_frozen = lookup(&connection, &[]).await.takes_work;
    engine.set_frozen(false);

    assert!(answer.may_have_run());
    assert!(!takes_work_frozen);
    until(async || engine.totals().cancelled == 1).await;
}
