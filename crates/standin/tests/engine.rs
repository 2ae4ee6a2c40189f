//! The stand-in engine through the real client.

use samphirespread_core::prelude::*;
use samphirespread_engine::{
    EngineClient, EngineClientConfig, EngineError, Lines,
    api::{BlockTransfer, CacheChange, FinishReason, LoadWeights, StartStream, StreamLine, Usage},
};
use samphirespread_standin::{
    engine::{Engine, EngineConfig},
    text::answer,
    weight_store::WeightStore,
};

const BLOCK_BYTES: u32 = 64;

fn config() -> EngineConfig {
    EngineConfig::new("reader", "v1").decode_step_us(500).prefill_us_per_token(1)
}

fn client(engine: &Engine) -> EngineClient {
    EngineClient::new(EngineClientConfig::new(engine.address().to_string()).silence_ms(2_000))
}

fn start(id: &str, prompt: &str, max_output_tokens: u32) -> StartStream {
    StartStream {
        id: id.to_owned(),
        fence: FencingNumber(1),
        model: ModelName::new("reader"),
        version: WeightsVersion::new("v1"),
        cache_salt: "team-a".to_owned(),
        priority: 1,
        prompt: prompt.to_owned(),
        max_output_tokens,
        block_keys: (0..prompt.len() as u64 / u64::from(BLOCK_BYTES)).map(BlockKey).collect(),
        block_bytes: BLOCK_BYTES,
        sampling: String::new(),
    }
}

/// Text of several blocks.
fn long_prompt() -> String {
    "All work and no play makes a dull day. ".repeat(10)
}

struct Answer {
    incarnation: Option<Incarnation>,
    first_seq: Option<u64>,
    text: String,
    end: Option<(FinishReason, Usage)>,
}

async fn read(lines: &mut Lines<StreamLine>, most: usize) -> Result<Answer, EngineError> {
    let mut answer = Answer { incarnation: None, first_seq: None, text: String::new(), end: None };
    let mut outputs = 0;
    while outputs < most {
        match lines.next().await? {
            None => break,
            Some(StreamLine::Started { incarnation }) => answer.incarnation = Some(incarnation),
            Some(StreamLine::Output { seq, text, .. }) => {
                outputs += 1;
                answer.first_seq.get_or_insert(seq);
                answer.text += &text;
            }
            Some(StreamLine::Finished { reason, usage, .. }) => answer.end = Some((reason, usage)),
            Some(StreamLine::Failed { message }) => panic!("failed: {message}"),
        }
    }
    Ok(answer)
}

async fn run(engine: &Engine, start: &StartStream) -> Answer {
    let mut lines = client(engine).start(start).await.expect("the stream starts");
    read(&mut lines, usize::MAX).await.expect("the stream is whole")
}

#[tokio::test]
async fn a_stream_is_the_continuation_of_its_prompt() {
    let engine = Engine::start(config()).await.unwrap();

    let whole = run(&engine, &start("r.0", "Once", 20)).await;

    let usage = Usage { prompt_tokens: 1, cached_tokens: 0, output_tokens: 20 };
    assert_eq!(whole.incarnation, Some(Incarnation(1)));
    assert_eq!(whole.text, answer("Once", 20));
    assert_eq!(whole.end, Some((FinishReason::Length, usage)));
}

#[tokio::test]
async fn a_stream_is_resumed_where_it_was_left() {
    let engine = Engine::start(config()).await.unwrap();
    let client = client(&engine);
    let mut lines = client.start(&start("r.0", "Once", 50)).await.unwrap();
    let first = read(&mut lines, 10).await.unwrap();
    drop(lines);

    let mut lines = client.resume("r.0", 10).await.unwrap();
    let rest = read(&mut lines, usize::MAX).await.unwrap();

    assert_eq!(rest.first_seq, Some(10));
    assert_eq!(first.text + &rest.text, answer("Once", 50));
}

#[tokio::test]
async fn a_shared_prefix_is_reused_under_its_salt_only() {
    let engine = Engine::start(config()).await.unwrap();
    let prompt = long_prompt();
    let other_team = StartStream { cache_salt: "team-b".to_owned(), ..start("c.0", &prompt, 1) };

    let first = run(&engine, &start("a.0", &prompt, 1)).await;
    let second = run(&engine, &start("b.0", &prompt, 1)).await;
    let third = run(&engine, &other_team).await;

    let cached = [first, second, third].map(|answer| answer.end.unwrap().1.cached_tokens);
    assert_eq!(cached, [0, 96, 0]);
    let reuses = engine.record().reuses;
    assert_eq!(reuses.len(), 6);
    assert!(reuses.iter().all(|reuse| reuse.stream == "b.0" && reuse.salt == reuse.owner_salt));
}

#[tokio::test]
async fn a_full_cache_loses_the_least_recently_used_blocks() {
    let engine = Engine::start(config().capacity_blocks(6)).await.unwrap();
    let other = StartStream { cache_salt: "team-b".to_owned(), ..start("b.0", &long_prompt(), 1) };

    run(&engine, &start("a.0", &long_prompt(), 1)).await;
    run(&engine, &other).await;
    let again = run(&engine, &start("c.0", &long_prompt(), 1)).await;

    assert_eq!(again.end.unwrap().1.cached_tokens, 0);
    assert_eq!(engine.load().cached_blocks, 6);
}

#[tokio::test]
async fn a_crash_ends_streams_and_empties_the_cache() {
    let engine = Engine::start(config()).await.unwrap();
    let client = client(&engine);
    let mut lines = client.start(&start("r.0", &long_prompt(), 10_000)).await.unwrap();
    read(&mut lines, 3).await.unwrap();

    engine.crash().await.unwrap();

    let lost = read(&mut lines, usize::MAX).await.err();
    assert!(matches!(lost, Some(EngineError::Lost { .. })), "{lost:?}");
    assert_eq!(client.resume("r.0", 3).await.err(), Some(EngineError::UnknownStream));
    let blocks = client.blocks().await.unwrap();
    assert_eq!((blocks.incarnation, blocks.keys), (Incarnation(2), Vec::new()));
}

#[tokio::test]
async fn an_engine_that_is_down_is_certain_not_to_run() {
    let engine = Engine::start(config()).await.unwrap();
    let client = client(&engine);
    engine.go_down().await.unwrap();

    let refused = client.start(&start("r.0", "Once", 1)).await.unwrap_err();
    engine.come_back().unwrap();
    let back = run(&engine, &start("r.0", "Once", 1)).await;

    assert!(matches!(refused, EngineError::Unreachable { .. }), "{refused:?}");
    assert!(!refused.may_have_run());
    assert_eq!(back.incarnation, Some(Incarnation(2)));
}

#[tokio::test]
async fn a_frozen_engine_counts_as_silent() {
    let engine = Engine::start(config()).await.unwrap();
    let config = EngineClientConfig::new(engine.address().to_string());
    let client = EngineClient::new(config.timeout_ms(300).silence_ms(300));
    let mut lines = client.start(&start("r.0", "Once", 100_000)).await.unwrap();
    read(&mut lines, 1).await.unwrap();

    engine.set_frozen(true);

    let silent = read(&mut lines, usize::MAX).await.err();
    assert_eq!(silent, Some(EngineError::Silent { silence_ms: 300 }));
    assert!(client.load().await.unwrap_err().may_have_run());
    engine.set_frozen(false);
    assert_eq!(client.load().await.unwrap().running, 1);
}

#[tokio::test]
async fn a_cancelled_stream_ends_and_never_starts_later() {
    let engine = Engine::start(config()).await.unwrap();
    let client = client(&engine);
    let mut lines = client.start(&start("r.0", "Once", 100_000)).await.unwrap();
    read(&mut lines, 1).await.unwrap();

    client.cancel("r.0").await.unwrap();
    let unknown = client.cancel("r.1").await;
    let late = client.start(&start("r.1", "Once", 1)).await;

    let end = read(&mut lines, usize::MAX).await.unwrap().end.unwrap();
    assert_eq!(end.0, FinishReason::Cancelled);
    assert_eq!(unknown, Err(EngineError::UnknownStream));
    assert_eq!(late.err(), Some(EngineError::Cancelled));
    assert_eq!(engine.load().running, 0);
}

#[tokio::test]
async fn an_abandoned_stream_is_given_up_after_a_while() {
    let engine = Engine::start(config().linger_ms(50)).await.unwrap();
    let client = client(&engine);
    let lines = client.start(&start("r.0", "Once", 100_000)).await.unwrap();

    drop(lines);
    while engine.load().running > 0 {
        tokio::time::sleep(std::time::Duration::from_millis(10)).await;
    }

    assert_eq!(client.resume("r.0", 0).await.err(), Some(EngineError::UnknownStream));
    assert_eq!(engine.totals().cancelled, 1);
}

#[tokio::test]
async fn old_fencing_numbers_are_refused_only_where_they_are_checked() {
    let checking = Engine::start(config()).await.unwrap();
    let ignoring = Engine::start(config().checks_fencing(false)).await.unwrap();
    let newer = StartStream { fence: FencingNumber(2), ..start("r.1", "Once", 1) };
    let older = start("r.0", "Once", 1);

    run(&checking, &newer).await;
    run(&ignoring, &newer).await;
    let refused = client(&checking).start(&older).await;
    let taken = client(&ignoring).start(&older).await;

    assert_eq!(refused.err(), Some(EngineError::Fenced));
    assert!(taken.is_ok());
}

#[tokio::test]
async fn lower_priorities_run_first() {
    let engine = Engine::start(config().batch_limit(1)).await.unwrap();
    let client = client(&engine);
    let mut first = client.start(&start("a.0", "Once", 100)).await.unwrap();
    let mut draft =
        client.start(&StartStream { priority: 5, ..start("b.0", "Draft", 1) }).await.unwrap();
    let mut truck =
        client.start(&StartStream { priority: 0, ..start("c.0", "Truck", 50) }).await.unwrap();

    for lines in [&mut first, &mut draft, &mut truck] {
        read(lines, usize::MAX).await.unwrap();
    }

    assert_eq!(engine.record().begun, ["a.0", "c.0", "b.0"]);
}

#[tokio::test]
async fn cache_events_are_numbered_and_leave_gaps() {
    let engine = Engine::start(config().event_delay_ms(20)).await.unwrap();
    let mut events = client(&engine).events(0).await.unwrap();
    let cleared = events.next().await.unwrap().unwrap();
    engine.drop_next_events(2);

    run(&engine, &start("a.0", &long_prompt(), 1)).await;
    let stored = events.next().await.unwrap().unwrap();

    assert_eq!((cleared.seq, cleared.change), (0, CacheChange::Cleared));
    assert_eq!((stored.seq, stored.change), (3, CacheChange::Stored(vec![BlockKey(2)])));
}

#[tokio::test]
async fn new_weights_refuse_streams_of_the_old_version() {
    let engine = Engine::start(config().weight_store(WeightStore::new(20, 3))).await.unwrap();
    let client = client(&engine);
    let order = LoadWeights {
        fence: FencingNumber(3),
        model: ModelName::new("reader"),
        version: WeightsVersion::new("v2"),
    };
    let old_order = LoadWeights { fence: FencingNumber(2), ..order.clone() };

    client.load_weights(&order).await.unwrap();

    let refused = client.start(&start("r.0", "Once", 1)).await;
    assert_eq!(refused.err(), Some(EngineError::WrongWeights));
    assert_eq!(client.load_weights(&old_order).await, Err(EngineError::Fenced));
}

#[tokio::test]
async fn exported_blocks_serve_on_another_engine() {
    let from = Engine::start(config()).await.unwrap();
    let to = Engine::start(config()).await.unwrap();
    run(&from, &start("a.0", &long_prompt(), 1)).await;
    let wanted = BlockTransfer {
        cache_salt: "team-a".to_owned(),
        version: WeightsVersion::new("v1"),
        keys: (0..9).map(BlockKey).collect(),
    };

    let exported = client(&from).export(&wanted).await.unwrap();
    client(&to).import(&exported).await.unwrap();
    let reused = run(&to, &start("b.0", &long_prompt(), 1)).await;

    assert_eq!(exported.keys.len(), 6);
    assert_eq!(reused.end.unwrap().1.cached_tokens, 96);
}

#[tokio::test]
async fn requests_are_recorded_with_their_headers() {
    let engine = Engine::start(config()).await.unwrap();

    run(&engine, &start("a.0", "A secret of mine", 1)).await;

    let requests = engine.requests();
    assert!(requests.iter().any(|request| request.contains("A secret of mine")));
    assert!(requests.iter().any(|request| request.contains("application/json")));
    assert!(!requests.iter().any(|request| request.contains("another")));
}
