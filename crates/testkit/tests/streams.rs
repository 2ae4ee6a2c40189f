//! Every stream arrives complete and in order, whatever fails between the caller and an engine.

use samphirespread_standin::engine::EngineConfig;
use samphirespread_testkit::{
    DEFAULT_MODEL, DEFAULT_VERSION, Fleet, FleetBuilder, Signal,
    steps::{Begun, assert_whole, busy_agent, request},
};

const TOKENS: u32 = 300;

fn fleet() -> FleetBuilder {
    // Slow enough that a failure falls into the middle of a stream.
    let engine = EngineConfig::new(DEFAULT_MODEL, DEFAULT_VERSION).decode_step_us(5_000);
    Fleet::builder()
        .agents(2)
        .engine(engine)
        .router_setting("peers", "heartbeat_ms", "100")
        .router_setting("peers", "silence_timeout_ms", "600")
        .agent_setting("peers", "silence_timeout_ms", "600")
}

#[tokio::test]
async fn the_kill_of_an_agent_is_not_seen_by_the_caller() {
    let mut fleet = fleet().start().await;
    let request = request("Clear the trunk road north of Otjiwarongo?", TOKENS);
    let begun = Begun::start(&fleet.caller(0), &request, 20).await;

    let busy = busy_agent(&fleet);
    fleet.agents[busy].daemon.kill().await;

    begun.finish_whole().await;
}

#[tokio::test]
async fn the_crash_of_an_engine_is_not_seen_by_the_caller() {
    let fleet = fleet().start().await;
    let request = request("Draft the notice to the landowner.", TOKENS);
    let begun = Begun::start(&fleet.caller(0), &request, 20).await;

    fleet.agents[busy_agent(&fleet)].engine.crash().await.unwrap();

    begun.finish_whole().await;
}

#[tokio::test]
async fn a_lone_engine_that_crashes_runs_the_rest_itself() {
    let fleet = fleet().agents(1).start().await;
    let request = request("Classify this receipt.", TOKENS);
    let begun = Begun::start(&fleet.caller(0), &request, 20).await;

    fleet.agents[0].engine.crash().await.unwrap();

    begun.finish_whole().await;
}

#[tokio::test]
async fn a_silent_connection_to_an_agent_is_not_seen_by_the_caller() {
    let fleet = fleet().agent_links().start().await;
    let request = request("Reclaim the toll receipts.", TOKENS);
    let begun = Begun::start(&fleet.caller(0), &request, 20).await;

    fleet.agents[busy_agent(&fleet)].agent_link.as_ref().unwrap().silence();

    begun.finish_whole().await;
}

#[tokio::test]
async fn a_silent_connection_to_an_engine_is_not_seen_by_the_caller() {
    let fleet = fleet().engine_links().start().await;
    let request = request("Reclaim the fuel receipts.", TOKENS);
    let begun = Begun::start(&fleet.caller(0), &request, 20).await;

    fleet.agents[busy_agent(&fleet)].engine_link.as_ref().unwrap().silence();

    begun.finish_whole().await;
}

#[tokio::test]
async fn cut_connections_are_not_seen_by_the_caller() {
    let fleet = fleet().agent_links().engine_links().start().await;
    let request = request("Reclaim the ferry receipts.", TOKENS);
    let begun = Begun::start(&fleet.caller(0), &request, 20).await;
    let agent = &fleet.agents[busy_agent(&fleet)];

    agent.agent_link.as_ref().unwrap().cut();
    agent.engine_link.as_ref().unwrap().cut();

    begun.finish_whole().await;
}

#[tokio::test]
async fn a_frozen_agent_is_not_seen_by_the_caller() {
    let fleet = fleet().start().await;
    let request = request("Is the stretch cleared?", TOKENS);
    let begun = Begun::start(&fleet.caller(0), &request, 20).await;
    let agent = &fleet.agents[busy_agent(&fleet)];

    agent.daemon.signal(Signal::Stop).await;
    begun.finish_whole().await;

    // The thawed agent must not disturb later answers.
    agent.daemon.signal(Signal::Cont).await;
    let later = fleet.caller(0).complete(&request).await.unwrap();
    assert_whole(&later, &request.prompt, TOKENS);
}

#[tokio::test]
async fn many_streams_survive_a_kill_and_a_crash_at_once() {
    let mut fleet = fleet().agents(3).start().await;
    let caller = fleet.caller(0);
    let mut streams = Vec::new();
    for index in 0..12 {
        let request = request(&format!("Ledger file {index}: summarise."), TOKENS);
        streams.push(Begun::start(&caller, &request, 3).await);
    }

    fleet.agents[0].daemon.kill().await;
    fleet.agents[1].engine.crash().await.unwrap();

    for stream in streams {
        stream.finish_whole().await;
    }
}

#[tokio::test]
async fn without_a_further_attempt_the_same_kill_cuts_the_stream() {
    let mut fleet = fleet().router_setting("request", "max_attempts", "1").start().await;
    let request = request("Clear the trunk road north of Otjiwarongo?", TOKENS);
    let begun = Begun::start(&fleet.caller(0), &request, 20).await;

    let busy = busy_agent(&fleet);
    fleet.agents[busy].daemon.kill().await;
    let answer = begun.finish().await;

    assert!(!answer.is_complete(), "{answer:?}");
    assert!(!answer.refusal.unwrap().not_run);
}

#[tokio::test]
async fn two_frozen_agents_of_four_make_no_request_fail() {
    let fleet = fleet().agents(4).start().await;
    let caller = fleet.caller(0);
    caller.complete(&request("Warm up.", 2)).await.unwrap();

    for agent in &fleet.agents[..2] {
        agent.daemon.signal(Signal::Stop).await;
    }
    let letters = (0..30).map(|index| request(&format!("Frozen letter {index}."), 3));
    let answers = letters.map(|letter| {
        let caller = caller.clone();
        tokio::spawn(async move { (caller.complete(&letter).await.unwrap(), letter) })
    });

    for answer in answers.collect::<Vec<_>>() {
        let (answer, letter) = answer.await.unwrap();
        assert_whole(&answer, &letter.prompt, 3);
    }
}
