//! Tests of an agent with the stand-in engine as its backend server.

mod support;

use samphirespread_core::prelude::*;
use samphirespread_standin::{
    engine::{Engine, EngineConfig},
    text,
};
use samphirespread_wire::message::{NotRunReason, Reply, Request, Resume};
use support::{
    TestAgent, attempt, dial, lookup, model_run, model_work, open_resume, open_run, read_answer,
    read_lines, until,
};

async fn engine() -> Engine {
    Engine::start(config()).await.unwrap()
}

/// An engine that is slow enough for a test to act while it decodes.
async fn slow_engine() -> Engine {
    Engine::start(config().decode_step_us(10_000)).await.unwrap()
}

fn config() -> EngineConfig {
    EngineConfig::new("reader", "v1").prefill_us_per_token(10).decode_step_us(500).load_lag_ms(0)
}

const PROMPT: &str = "Is the trunk road north cleared?";

#[tokio::test]
async fn relays_the_whole_answer_in_order() {
    let engine = engine().await;
    let agent = TestAgent::start("model", engine.address(), "").await;
    let connection = agent.connect().await;

    let answer = read_answer(&mut open_run(&connection, &model_run(1, PROMPT, 20)).await).await;

    assert_eq!(answer.text, text::answer(PROMPT, 20));
    assert_eq!(answer.lines, (0..20).collect::<Vec<u64>>());
    assert_eq!((answer.finished().length, answer.finished().output_tokens), (20, 20));
}

#[tokio::test]
async fn a_duplicate_run_request_starts_no_second_stream() {
    let engine = engine().await;
    let agent = TestAgent::start("model", engine.address(), "").await;
    let connection = agent.connect().await;
    let run = model_run(1, PROMPT, 20);

    let mut first = open_run(&connection, &run).await;
    let mut second = open_run(&connection, &run).await;
    let (first, second) = (read_answer(&mut first).await, read_answer(&mut second).await);

    assert_eq!(first.text, second.text);
    assert_eq!(engine.record().streams.len(), 1);
}

#[tokio::test]
async fn an_answer_is_resumed_on_a_new_connection() {
    let engine = slow_engine().await;
    let agent = TestAgent::start("model", engine.address(), "").await;
    let connection = agent.connect().await;
    let mut replies = open_run(&connection, &model_run(1, PROMPT, 30)).await;
    let begin = read_lines(&mut replies, 5).await;
    drop((replies, connection));

    let connection = dial(agent.peers).await;
    let rest = read_answer(&mut open_resume(&connection, attempt(1), 5).await).await;

    assert_eq!(begin + &rest.text, text::answer(PROMPT, 30));
    assert_eq!(rest.finished().length, 30);
    assert_eq!(engine.record().streams.len(), 1);
}

#[tokio::test]
async fn an_unknown_attempt_never_runs_after_it_was_reported_as_not_run() {
    let engine = engine().await;
    let agent = TestAgent::start("model", engine.address(), "").await;
    let connection = agent.connect().await;

    let resumed = read_answer(&mut open_resume(&connection, attempt(1), 0).await).await;
    let late = read_answer(&mut open_run(&connection, &model_run(1, PROMPT, 20)).await).await;

    assert_eq!(resumed.not_run().reason, NotRunReason::Unknown);
    assert_eq!(late.not_run().reason, NotRunReason::Unknown);
    assert!(engine.record().streams.is_empty());
}

#[tokio::test]
async fn a_resume_request_for_another_run_of_the_agent_is_not_answered_with_not_run() {
    let engine = engine().await;
    let agent = TestAgent::start("model", engine.address(), "").await;
    let connection = agent.connect().await;
    let resume = Resume { attempt: attempt(1), incarnation: Incarnation(1), from_seq: 0 };

    let mut replies = connection.open(&Request::Resume(resume)).await.unwrap();

    assert!(read_answer(&mut replies).await.may_have_run());
}

#[tokio::test]
async fn an_engine_crash_fails_the_attempt_as_possibly_run() {
    let engine = slow_engine().await;
    let agent = TestAgent::start("model", engine.address(), "").await;
    let connection = agent.connect().await;
    let mut replies = open_run(&connection, &model_run(1, PROMPT, 200)).await;
    read_lines(&mut replies, 3).await;

    engine.crash().await.unwrap();
    let answer = read_answer(&mut replies).await;

    assert!(answer.may_have_run());
}

#[tokio::test]
async fn reports_not_run_when_the_engine_is_down() {
    let engine = engine().await;
    let agent = TestAgent::start("model", engine.address(), "").await;
    let connection = agent.connect().await;
    engine.go_down().await.unwrap();

    let answer = read_answer(&mut open_run(&connection, &model_run(1, PROMPT, 20)).await).await;
    until(async || !lookup(&connection, &[]).await.takes_work).await;
    engine.come_back().unwrap();
    until(async || lookup(&connection, &[]).await.takes_work).await;
    let later = read_answer(&mut open_run(&connection, &model_run(2, PROMPT, 20)).await).await;

    assert_eq!(answer.not_run().reason, NotRunReason::EngineDown);
    assert_eq!(later.text, text::answer(PROMPT, 20));
}

#[tokio::test]
async fn reports_not_run_when_the_engine_has_other_weights() {
    let engine = engine().await;
    let agent = TestAgent::start("model", engine.address(), "").await;
    let connection = agent.connect().await;
    let mut run = model_run(1, PROMPT, 20);
    let mut work = model_work(PROMPT, 20);
    work.version = WeightsVersion::new("v2");
    run.work = samphirespread_wire::message::Work::Model(work);

    let answer = read_answer(&mut open_run(&connection, &run).await).await;

    assert_eq!(answer.not_run().reason, NotRunReason::EngineDown);
}

#[tokio::test]
async fn a_cancelled_attempt_is_cancelled_at_the_engine() {
    let engine = slow_engine().await;
    let agent = TestAgent::start("model", engine.address(), "").await;
    let connection = agent.connect().await;
    let mut replies = open_run(&connection, &model_run(1, PROMPT, 1_000)).await;
    read_lines(&mut replies, 3).await;

    let reply = connection.call(&Request::Cancel(attempt(1))).await.unwrap();
    let answer = read_answer(&mut replies).await;

    assert_eq!(reply, Reply::Done);
    assert!(answer.may_have_run());
    until(async || engine.totals().cancelled == 1).await;
}

#[tokio::test]
async fn a_waiting_attempt_that_is_cancelled_never_runs() {
    let engine = slow_engine().await;
    let agent = TestAgent::start("model", engine.address(), "[queue]\nconcurrency = 1\n").await;
    let connection = agent.connect().await;
    let mut first = open_run(&connection, &model_run(1, PROMPT, 50)).await;
    read_lines(&mut first, 1).await;
    let mut second = open_run(&connection, &model_run(2, PROMPT, 50)).await;
    assert!(matches!(second.next().await.unwrap(), Some(Reply::Accepted(_))));

    connection.call(&Request::Cancel(attempt(2))).await.unwrap();
    let cancelled = read_answer(&mut second).await;
    read_answer(&mut first).await;

    assert_eq!(cancelled.not_run().reason, NotRunReason::Unknown);
    assert_eq!(engine.record().streams.len(), 1);
}

#[tokio::test]
async fn reports_not_run_when_an_attempt_waits_too_long() {
    let engine = slow_engine().await;
    let more = "[queue]\nconcurrency = 1\nmax_wait_ms = 50\n";
    let agent = TestAgent::start("model", engine.address(), more).await;
    let connection = agent.connect().await;
    let mut first = open_run(&connection, &model_run(1, PROMPT, 50)).await;
    read_lines(&mut first, 1).await;

    let second = read_answer(&mut open_run(&connection, &model_run(2, PROMPT, 50)).await).await;

    assert_eq!(second.not_run().reason, NotRunReason::QueueTimeout);
    assert!(second.not_run().retry_after_ms > 0);
}

#[tokio::test]
async fn reports_busy_when_the_queue_is_full() {
    let engine = slow_engine().await;
    let more = "[queue]\nconcurrency = 1\nmax_requests = 1\n";
    let agent = TestAgent::start("model", engine.address(), more).await;
    let connection = agent.connect().await;
    let mut first = open_run(&connection, &model_run(1, PROMPT, 50)).await;
    read_lines(&mut first, 1).await;
    let mut second = open_run(&connection, &model_run(2, PROMPT, 5)).await;
    second.next().await.unwrap();

    let third = read_answer(&mut open_run(&connection, &model_run(3, PROMPT, 5)).await).await;

    assert_eq!(third.not_run().reason, NotRunReason::Busy);
}

#[tokio::test]
async fn refuses_an_older_fence_of_a_request() {
    let engine = engine().await;
    let agent = TestAgent::start("model", engine.address(), "").await;
    let connection = agent.connect().await;
    let mut newer = model_run(1, PROMPT, 5);
    newer.attempt.number = 1;
    newer.fence = FencingNumber(2);
    read_answer(&mut open_run(&connection, &newer).await).await;

    let older = read_answer(&mut open_run(&connection, &model_run(1, PROMPT, 5)).await).await;

    assert_eq!(older.not_run().reason, NotRunReason::Unknown);
    assert_eq!(engine.record().streams.len(), 1);
}

#[tokio::test]
async fn residency_follows_the_engine_and_its_runs() {
    let engine = engine().await;
    let agent = TestAgent::start("model", engine.address(), "").await;
    let connection = agent.connect().await;
    let prompt = "ledger ".repeat(4_000);
    let blocks = model_work(&prompt, 1).blocks;
    assert_eq!(blocks.len(), 3);

    read_answer(&mut open_run(&connection, &model_run(1, &prompt, 1)).await).await;
    until(async || lookup(&connection, &blocks).await.estimate.cached_blocks == 3).await;
    engine.crash().await.unwrap();

    until(async || lookup(&connection, &blocks).await.estimate.cached_blocks == 0).await;
}

#[tokio::test]
async fn the_blocks_of_a_running_prompt_count_as_cached_until_it_ends() {
    let engine = Engine::start(config().prefill_us_per_token(10_000)).await.unwrap();
    let agent = TestAgent::start("model", engine.address(), "").await;
    let connection = agent.connect().await;
    let prompt = "ledger ".repeat(4_000);
    let blocks = model_work(&prompt, 1).blocks;

    let mut replies = open_run(&connection, &model_run(1, &prompt, 1)).await;
    let accepted = replies.next().await.unwrap();
    let while_it_runs = lookup(&connection, &blocks).await.estimate;
    connection.call(&Request::Cancel(attempt(1))).await.unwrap();
    let answer = read_answer(&mut replies).await;
    let after = lookup(&connection, &blocks).await.estimate;

    assert!(matches!(accepted, Some(Reply::Accepted(_))));
    assert_eq!(while_it_runs.cached_blocks, 3);
    assert!(answer.may_have_run());
    assert_eq!(after.cached_blocks, 0);
}

#[tokio::test]
async fn a_leaving_agent_refuses_new_work_and_finishes_running_attempts() {
    let engine = slow_engine().await;
    let agent = TestAgent::start("model", engine.address(), "").await;
    let connection = agent.connect().await;
    let mut running = open_run(&connection, &model_run(1, PROMPT, 50)).await;
    read_lines(&mut running, 1).await;

    agent.shutdown.cancel();
    until(async || !lookup(&connection, &[]).await.takes_work).await;
    let refused = read_answer(&mut open_run(&connection, &model_run(2, PROMPT, 5)).await).await;
    let finished = read_answer(&mut running).await;
    drop((running, connection));
    let exit = agent.running.await.unwrap();

    assert_eq!(refused.not_run().reason, NotRunReason::Leaving);
    assert_eq!(finished.finished().length, 50);
    assert!(exit.is_ok());
}

#[tokio::test]
async fn abandons_an_attempt_without_followers() {
    let engine = slow_engine().await;
    let agent = TestAgent::start("model", engine.address(), "").await;
    let connection = agent.connect().await;
    let mut replies = open_run(&connection, &model_run(1, PROMPT, 10_000)).await;
    read_lines(&mut replies, 1).await;

    drop((replies, connection));

    until(async || engine.totals().cancelled == 1).await;
}

#[tokio::test]
async fn priority_orders_waiting_work_and_reaches_the_engine() {
    let engine = slow_engine().await;
    let agent = TestAgent::start("model", engine.address(), "[queue]\nconcurrency = 1\n").await;
    let connection = agent.connect().await;
    let mut first = open_run(&connection, &model_run(1, PROMPT, 20)).await;
    read_lines(&mut first, 1).await;
    let mut waiting = Vec::new();
    for (serial, priority) in [(2, 100), (3, 0)] {
        let mut run = model_run(serial, PROMPT, 1);
        run.priority = priority;
        let mut replies = open_run(&connection, &run).await;
        replies.next().await.unwrap();
        waiting.push(replies);
    }

    for replies in &mut waiting {
        read_answer(replies).await;
    }

    let streams = engine.record().streams;
    let priorities: Vec<u8> = streams.iter().map(|stream| stream.priority).collect();
    assert_eq!(
        priorities,
        [0, 0, 100],
        "the more urgent request starts before the one that arrived first"
    );
}

#[tokio::test]
async fn a_flood_from_one_team_leaves_room_for_another() {
    let engine = slow_engine().await;
    let more = "[queue]\nconcurrency = 1\nmax_requests = 4\n";
    let agent = TestAgent::start("model", engine.address(), more).await;
    let connection = agent.connect().await;
    let mut flood = Vec::new();
    for serial in 1..10 {
        flood.push(open_run(&connection, &model_run(serial, PROMPT, 20)).await);
    }
    let mut other = model_run(100, PROMPT, 1);
    other.team = TeamName::new("quiet");

    let answer = read_answer(&mut open_run(&connection, &other).await).await;
    let mut not_run = 0;
    for replies in &mut flood {
        not_run += usize::from(matches!(read_answer(replies).await.end, Some(Reply::NotRun(_))));
    }

    assert_eq!(answer.finished().length, 1);
    assert!(not_run > 0);
    assert_eq!(engine.record().streams.len(), 10 - not_run, "refused attempts did not run");
}
