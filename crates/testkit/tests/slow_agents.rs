//! Agents that answer late are waited for; they are no reason to refuse.

use std::time::Duration;

use samphirespread_testkit::{Fleet, Signal, steps::request};
use tokio::time::sleep;

const PAUSE: Duration = Duration::from_millis(400);

#[tokio::test]
async fn a_request_that_meets_only_paused_agents_is_served_once_they_answer() {
    let fleet = Fleet::builder().routers(1).agents(3).block_bytes(64).start().await;
    let caller = fleet.caller(0);
    assert!(caller.complete(&request("Warm up.", 2)).await.unwrap().is_complete());
    for agent in &fleet.agents {
        agent.daemon.signal(Signal::Stop).await;
    }

    // A prompt of several blocks has three homes, which are all asked.
    let prompt = "Is the stretch cleared? ".repeat(20);
    let calling = tokio::spawn(async move { caller.complete(&request(&prompt, 5)).await });
    sleep(PAUSE).await;
    for agent in &fleet.agents {
        agent.daemon.signal(Signal::Cont).await;
    }
    let answer = calling.await.unwrap().unwrap();

    assert!(answer.is_complete(), "{answer:?}");
}
