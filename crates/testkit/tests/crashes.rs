//! Requests that crash the engines that run them, on the OpenAI interface.

use std::time::Duration;

use samphirespread_testkit::{Fleet, steps::request};
use tokio::time;

/// A prompt with this text crashes an engine as soon as it runs there.
const GUILTY_TEXT: &str = "the ledger page that nobody can read";
/// Engines that it may crash.
const ALLOWED_CRASHES: usize = 8;
/// How often its callers send it.
const REQUESTS: usize = 10;
/// How long a caller waits for an answer.
const CALLER_PATIENCE: Duration = Duration::from_secs(3);

/// Each request, and each of its resumptions, went to the next engine.
#[tokio::test]
async fn a_prompt_that_crashes_engines_is_no_longer_sent_by_routers() {
    let fleet = Fleet::builder().agents(3).start().await;
    let caller = fleet.caller(0);
    let guilty = request(GUILTY_TEXT, 50);

    let mut crashes = 0;
    for _ in 0..REQUESTS {
        let answer = time::timeout(CALLER_PATIENCE, caller.complete(&guilty));
        tokio::pin!(answer);
        loop {
            tokio::select! {
                _ = &mut answer => break,
                crashed = crash_guilty_engines(&fleet) => crashes += crashed,
            }
        }
    }

    assert!(crashes <= ALLOWED_CRASHES, "{crashes} crashes");
}

/// Crashes the engines that run the guilty prompt now. Returns how many these are.
async fn crash_guilty_engines(fleet: &Fleet) -> usize {
    time::sleep(Duration::from_millis(2)).await;
    let mut crashes = 0;
    for agent in &fleet.agents {
        let run = agent.engine.incarnation();
        let streams = agent.engine.record().streams;
        let is_guilty =
            streams.iter().any(|it| it.incarnation == run && it.prompt.contains(GUILTY_TEXT));
        if is_guilty {
            agent.engine.crash().await.unwrap();
            crashes += 1;
        }
    }
    crashes
}
