//! Loads against a stand-in engine.

use std::time::Duration;

use samphirespread_bench::load::{
    EngineTarget, LoadReport, LoadRun, Pacing, Target, TeamTraffic, TraceRecord, Traffic,
    read_trace, write_trace,
};
use samphirespread_standin::engine::{Engine, EngineConfig};

fn traffic(requests: usize) -> Traffic {
    Traffic::new("ledger")
        .seed(7)
        .requests(requests)
        .requests_per_s(500.0)
        .prefix_blocks(2, 1)
        .rest_tokens(16)
        .output_tokens(4)
        .team(TeamTraffic::new("large", 8.0))
        .team(TeamTraffic::new("small", 1.0))
}

async fn engine() -> Engine {
    let config = EngineConfig::new("ledger", "v1").decode_step_us(200).prefill_us_per_token(0);
    Engine::start(config).await.expect("a port is free")
}

async fn run(engine: &Engine, load: LoadRun) -> LoadReport {
    let target = EngineTarget::new(&engine.address().to_string(), "v1");
    load.target("direct", Target::Engine(target)).run(|_| ()).await.expect("the load runs")
}

#[test]
fn equal_seeds_give_equal_skewed_traffic() {
    let records = traffic(2_000).generate();

    let large = records.iter().filter(|record| record.team == "large").count();
    let prefixes: std::collections::HashSet<u64> =
        records.iter().map(|record| record.blocks[0]).collect();
    assert_eq!(records, traffic(2_000).generate());
    assert_ne!(records, traffic(2_000).seed(8).generate());
    assert!(large > 1_500 && large < 1_950, "{large}");
    assert!(prefixes.len() <= 40, "{}", prefixes.len());
    assert!(records.is_sorted_by_key(|record| record.at_ms));
}

#[test]
fn a_trace_is_read_as_it_was_written() {
    let path = std::env::temp_dir().join(format!("samphirespread-trace-{}", std::process::id()));
    let records = traffic(50).generate();

    write_trace(&path, &records).unwrap();
    let read: Vec<TraceRecord> = read_trace(&path).unwrap();
    std::fs::write(&path, "{\"at_ms\": \"soon\"}\n").unwrap();
    let broken = read_trace(&path).unwrap_err().to_string();

    std::fs::remove_file(&path).unwrap();
    assert_eq!(read, records);
    assert!(broken.contains("line 1"), "{broken}");
}

#[tokio::test]
async fn an_open_load_reports_what_the_engine_did() {
    let engine = engine().await;

    let report = run(&engine, LoadRun::new(traffic(100).generate())).await;

    let target = &report.targets[0];
    let totals = engine.totals();
    assert_eq!((target.sent, target.complete), (100, 100), "{report}");
    assert_eq!(target.first_token.count, 100);
    assert_eq!(target.between_tokens.count, 300);
    assert_eq!(target.recomputed_tokens, totals.prompt_tokens - totals.cached_tokens);
    assert!(target.prefix_hit_rate > 0.3, "{report}");
    assert_eq!(report.teams.len(), 2);
    assert!(report.to_json().contains("\"p99_ms\""));
}

#[tokio::test]
async fn latencies_are_no_shorter_than_the_engine_allows() {
    let config = EngineConfig::new("ledger", "v1").decode_step_us(30_000).prefill_us_per_token(0);
    let engine = Engine::start(config).await.unwrap();

    let report = run(&engine, LoadRun::new(traffic(10).generate())).await;

    let target = &report.targets[0];
    assert!(target.first_token.p50_ms >= 25.0, "{report}");
    assert!(target.between_tokens.p50_ms >= 25.0, "{report}");
}

#[tokio::test]
async fn a_closed_load_ends_with_its_time() {
    let engine = engine().await;
    let load = LoadRun::new(traffic(100_000).generate())
        .pacing(Pacing::Closed { concurrency: 4 })
        .max_time(Duration::from_millis(300));

    let report = run(&engine, load).await;

    assert!(report.not_sent > 0, "{report}");
    assert!(report.targets[0].complete > 0, "{report}");
}

#[tokio::test]
async fn a_broken_target_is_reported_and_not_fatal() {
    let engine = engine().await;
    engine.go_down().await.unwrap();

    let report = run(&engine, LoadRun::new(traffic(5).generate())).await;

    assert_eq!(report.targets[0].complete, 0);
    assert_eq!(report.targets[0].endings.values().sum::<u64>(), 5, "{report}");
}
