//! What a router records is what the load tool sends again.

use bytes::Bytes;
use http_body_util::{BodyExt, Empty};
use hyper_util::{client::legacy::Client, rt::TokioExecutor};
use samphirespread_bench::load::{LoadRun, RouterTarget, Target, TraceRecord};
use samphirespread_testkit::{DEFAULT_TEAM, Fleet, steps::request};

const REQUESTS: usize = 4;
const BLOCK_BYTES: u32 = 256;

/// Reads so many lines of a router's trace while the requests are sent.
async fn record(fleet: &Fleet, prompts: &[String]) -> Vec<TraceRecord> {
    let client: Client<_, Empty<Bytes>> = Client::builder(TokioExecutor::new()).build_http();
    let uri = format!("http://{}/trace", fleet.routers[0].daemon.admin());
    let mut trace = client.get(uri.parse().expect("the address is valid")).await.unwrap();
    for prompt in prompts {
        fleet.caller(0).complete(&request(prompt, 2)).await.unwrap();
    }

    let mut text = Vec::new();
    while text.iter().filter(|byte| **byte == b'\n').count() < prompts.len() {
        let frame = trace.frame().await.expect("the trace goes on").unwrap();
        text.extend_from_slice(&frame.into_data().unwrap_or_default());
    }
    let lines = text.split(|byte| *byte == b'\n').filter(|line| !line.is_empty());
    lines.map(|line| serde_json::from_slice(line).expect("the line is a record")).collect()
}

#[tokio::test]
async fn a_recorded_trace_can_be_sent_again_and_shares_the_same_prefixes() {
    let fleet = Fleet::builder().agents(1).block_bytes(BLOCK_BYTES).start().await;
    let shared = "The same ledger page for everyone. ".repeat(30);
    let prompts: Vec<String> =
        (0..REQUESTS).map(|index| format!("{shared}Question {index}?")).collect();

    let records = record(&fleet, &prompts).await;
    let target = RouterTarget::new(&fleet.routers[0].daemon.callers().to_string())
        .key(DEFAULT_TEAM, &fleet.key(DEFAULT_TEAM));
    let load = LoadRun::new(records.clone())
        .target("router", Target::Router(Box::new(target)))
        .block_bytes(BLOCK_BYTES as usize);
    let report = load.run(|_| ()).await.unwrap();

    assert_eq!(records.len(), REQUESTS);
    assert!(records.iter().all(|record| record.team == DEFAULT_TEAM));
    assert!(records.iter().all(|record| record.blocks == records[0].blocks));
    assert_eq!(report.targets[0].complete, REQUESTS as u64, "{report}");
    assert!(report.targets[0].prefix_hit_rate > 0.5, "{report}");
}
