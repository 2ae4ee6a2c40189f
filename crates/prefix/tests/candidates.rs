//! Property tests of the candidates that placements return for random worker sets, prompts and
//! hints.

use std::collections::BTreeSet;

use proptest::{
    prelude::*,
    test_runner::{Config, RngAlgorithm, TestRng, TestRunner},
};
use rand::{SeedableRng, rngs::StdRng};
use samphirespread_core::prelude::*;
use samphirespread_prefix::{
    FirstBlock, HashRing, Hint, LeastLoad, MAX_CANDIDATES, Placement, PrefixAffinity,
    PrefixAffinityConfig, Prompt, RoundRobin, Worker, WorkerSet,
};

const DEFAULT_CASES: u32 = 128;
const DEFAULT_SEED: u64 = 7;

/// A prompt that arrives at a router, with the workers' states and the hint about the prompt.
#[derive(Clone, Debug)]
struct Arrival {
    blocks: Vec<u64>,
    takes_work: Vec<bool>,
    hint: (u32, u8),
    later_ms: u64,
}

fn env_number<T: std::str::FromStr>(name: &str, default: T) -> T {
    std::env::var(name).ok().and_then(|text| text.parse().ok()).unwrap_or(default)
}

fn runner() -> TestRunner {
    let config = Config {
        cases: env_number("SAMPHIRESPREAD_CASES", DEFAULT_CASES),
        failure_persistence: None,
        ..Config::default()
    };
    let seed: u64 = env_number("SAMPHIRESPREAD_SEED", DEFAULT_SEED);
    let mut bytes = [0; 32];
    bytes[..8].copy_from_slice(&seed.to_le_bytes());
    TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &bytes))
}

fn arrivals() -> impl Strategy<Value = Vec<Arrival>> {
    let arrival = (
        prop::collection::vec(0..6_u64, 0..8),
        prop::collection::vec(any::<bool>(), 0..12),
        (0..12_u32, 0..9_u8),
        0..400_000_u64,
    );
    let arrival = arrival.prop_map(|(blocks, takes_work, hint, later_ms)| Arrival {
        blocks,
        takes_work,
        hint,
        later_ms,
    });
    prop::collection::vec(arrival, 1..60)
}

fn workers(takes_work: &[bool]) -> WorkerSet {
    let worker = |(index, takes_work): (usize, &bool)| Worker {
        takes_work: *takes_work,
        ..Worker::new(InstanceName::new(format!("w{index}")), "north")
    };
    WorkerSet::new(takes_work.iter().enumerate().map(worker).collect())
}

fn check_candidates<P: Placement>(
    mut placement: P,
    arrivals: &[Arrival],
) -> Result<(), TestCaseError> {
    let mut rng = StdRng::seed_from_u64(1);
    let mut now = MonoTime::ZERO;
    for arrival in arrivals {
        now = now.plus_ms(arrival.later_ms);
        let workers = workers(&arrival.takes_work);
        let blocks: Vec<BlockKey> = arrival.blocks.iter().copied().map(BlockKey).collect();
        let prompt = Prompt { blocks: &blocks, tokens: 10_000, block_tokens: 2_048 };
        let (shared_blocks, replicas) = arrival.hint;
        placement.record_hint(&prompt, Hint { shared_blocks, replicas }, now);

        let candidates = placement.candidates(&prompt, &workers, now, &mut rng);

        let distinct: BTreeSet<usize> = candidates.iter().collect();
        prop_assert_eq!(distinct.len(), candidates.len());
        prop_assert!(candidates.len() <= MAX_CANDIDATES);
        prop_assert!(distinct.iter().all(|index| workers.get(*index).takes_work));
        let any_takes_work = arrival.takes_work.contains(&true);
        prop_assert_eq!(!candidates.is_empty(), any_takes_work);
    }
    Ok(())
}

#[test]
fn every_placement_returns_distinct_workers_that_take_work() {
    let mut runner = runner();

    let outcome = runner.run(&arrivals(), |arrivals| {
        check_candidates(PrefixAffinity::new(PrefixAffinityConfig::default()), &arrivals)?;
        check_candidates(RoundRobin::default(), &arrivals)?;
        check_candidates(LeastLoad, &arrivals)?;
        check_candidates(FirstBlock, &arrivals)
    });

    outcome.expect("every placement returns valid candidates");
}

#[test]
fn hash_ring_gives_no_worker_more_than_twice_its_share() {
    const WORKERS: usize = 186;
    const KEYS: u64 = 100_000;
    let names: Vec<String> = (0..WORKERS).map(|index| format!("worker-{index}")).collect();
    let ring = HashRing::new(names.iter().map(String::as_str));
    let mut counts = [0_u64; WORKERS];

    for worker in (0..KEYS).filter_map(|key| ring.preferred_workers(BlockKey(key)).next()) {
        counts[worker] += 1;
    }

    let fair_share = KEYS / WORKERS as u64;
    assert!(counts.iter().all(|count| *count > 0 && *count < 2 * fair_share), "{counts:?}");
}
