//! The recorded traces and the outcome of placing them.

use std::path::PathBuf;

use samphirespread_bench::replay::{
    AllKnowing, DEPLOYMENTS, Deployment, Dispatch, Outcome, Replay, ReplayPlacement, Scenario,
    replay, trace,
};
use samphirespread_prefix::{
    FirstBlock, LeastLoad, PrefixAffinity, PrefixAffinityConfig, RoundRobin,
};

fn recorded(deployment: &Deployment) -> Vec<trace::Record> {
    let file = format!("traces/{}.jsonl", deployment.name);
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join(file);
    trace::read(&path).expect("the trace is committed")
}

fn run<P: ReplayPlacement + Clone>(
    deployment: &Deployment,
    records: &[trace::Record],
    scenario: Scenario,
    dispatch: Dispatch,
    placement: &P,
) -> Outcome {
    replay(Replay { deployment, scenario, dispatch, store: None, records }, placement)
}

fn homes() -> PrefixAffinity {
    PrefixAffinity::new(PrefixAffinityConfig::default())
}

#[test]
fn recorded_traces_come_from_their_seeds() {
    for deployment in &DEPLOYMENTS {
        let generated = trace::generate(&deployment.traffic);

        assert_eq!(recorded(deployment), generated, "{}", deployment.name);
    }
}

#[test]
fn the_same_trace_gives_the_same_outcome() {
    let deployment = &DEPLOYMENTS[1];
    let records = recorded(deployment);

    let outcomes =
        [0, 1].map(|_| run(deployment, &records, Scenario::LostEvents, Dispatch::Lookup, &homes()));

    assert_eq!(outcomes[0], outcomes[1]);
}

#[test]
fn every_request_gets_its_first_token_through_a_crash() {
    let deployment = &DEPLOYMENTS[0];
    let records = recorded(deployment);

    let calm = run(deployment, &records, Scenario::Calm, Dispatch::Lookup, &homes());
    let crash = run(deployment, &records, Scenario::EngineCrash, Dispatch::Lookup, &homes());

    assert_eq!(crash.requests(), calm.requests());
}

#[test]
fn homes_come_close_to_the_all_knowing_placement() {
    for deployment in &DEPLOYMENTS {
        let records = recorded(deployment);
        let calm = Scenario::Calm;

        let homes = run(deployment, &records, calm, Dispatch::Lookup, &homes());
        let best = run(deployment, &records, calm, Dispatch::Direct, &AllKnowing::greedy());

        let name = deployment.name;
        assert!(homes.hit_rate() >= 0.95 * best.hit_rate(), "hit rate on {name}");
        let (p99_ms, best_p99_ms) = (homes.first_token_ms(0.99), best.first_token_ms(0.99));
        assert!(p99_ms <= 1.1 * best_p99_ms, "p99 on {name}: {p99_ms} ms, {best_p99_ms} ms");
    }
}

#[test]
fn homes_beat_every_baseline() {
    for deployment in &DEPLOYMENTS {
        let records = recorded(deployment);
        let calm = Scenario::Calm;

        let homes = run(deployment, &records, calm, Dispatch::Lookup, &homes());
        let direct = Dispatch::Direct;
        let baselines = [
            run(deployment, &records, calm, direct, &RoundRobin::default()),
            run(deployment, &records, calm, direct, &LeastLoad),
            run(deployment, &records, calm, direct, &FirstBlock),
        ];

        for baseline in &baselines {
            assert!(homes.first_token_ms(0.99) < baseline.first_token_ms(0.99));
            assert!(homes.hit_rate() > baseline.hit_rate());
        }
    }
}
