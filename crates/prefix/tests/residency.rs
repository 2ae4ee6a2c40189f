//! Tests of the cache index, also with random sequences of cache events, gaps, crashes and
//! re-reads, after which the index is compared with a simulated engine.

use std::collections::BTreeSet;

use proptest::{
    prelude::*,
    test_runner::{Config, RngAlgorithm, TestRng, TestRunner},
};
use samphirespread_core::prelude::*;
use samphirespread_engine::api::{BlockList, CacheChange, CacheEvent};
use samphirespread_prefix::{Applied, Residency};

const DEFAULT_CASES: u32 = 256;
const DEFAULT_SEED: u64 = 5;

#[derive(Clone, Debug)]
enum Step {
    Store(Vec<u64>),
    Evict(u64),
    LoseNext,
    Deliver(usize),
    Repeat,
    Crash,
    ReRead,
}

/// A simulated engine with a queue of undelivered events.
#[derive(Default)]
struct Engine {
    incarnation: Incarnation,
    next_seq: u64,
    blocks: BTreeSet<BlockKey>,
    undelivered: Vec<CacheEvent>,
}

impl Engine {
    fn publish(&mut self, change: CacheChange) {
        let event = CacheEvent { incarnation: self.incarnation, seq: self.next_seq, change };
        self.undelivered.push(event);
        self.next_seq += 1;
    }

    fn list(&self) -> BlockList {
        BlockList {
            incarnation: self.incarnation,
            next_seq: self.next_seq,
            keys: self.blocks.iter().copied().collect(),
        }
    }
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

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        4 => prop::collection::vec(0..40_u64, 1..6).prop_map(Step::Store),
        3 => (0..40_u64).prop_map(Step::Evict),
        1 => Just(Step::LoseNext),
        5 => (1..4_usize).prop_map(Step::Deliver),
        1 => Just(Step::Repeat),
        1 => Just(Step::Crash),
        2 => Just(Step::ReRead),
    ];
    prop::collection::vec(step, 1..120)
}

fn run_steps(steps: Vec<Step>) -> Result<(), TestCaseError> {
    let mut engine = Engine::default();
    let mut residency = Residency::new();
    let mut last: Option<CacheEvent> = None;
    for step in steps {
        match step {
            Step::Store(keys) => {
                let keys: Vec<BlockKey> = keys.into_iter().map(BlockKey).collect();
                engine.blocks.extend(&keys);
                engine.publish(CacheChange::Stored(keys));
            }
            Step::Evict(key) => {
                engine.blocks.remove(&BlockKey(key));
                engine.publish(CacheChange::Evicted(vec![BlockKey(key)]));
            }
            Step::LoseNext => {
                if !engine.undelivered.is_empty() {
                    engine.undelivered.remove(0);
                }
            }
            Step::Deliver(count) => {
                let count = count.min(engine.undelivered.len());
                for event in engine.undelivered.drain(..count) {
                    residency.apply(&event);
                    last = Some(event);
                }
            }
            Step::Repeat => {
                if let Some(event) = &last {
                    prop_assert_eq!(residency.apply(event), Applied::Known);
                }
            }
            Step::Crash => {
                engine.incarnation = Incarnation(engine.incarnation.0 + 1);
                engine.next_seq = 0;
                engine.blocks.clear();
            }
            Step::ReRead => {
                prop_assert!(residency.re_read(&engine.list()));
            }
        }
        let caught_up = residency.incarnation() == engine.incarnation
            && residency.next_seq() == engine.next_seq;
        if caught_up && !residency.needs_re_read() {
            prop_assert_eq!(residency.len(), engine.blocks.len());
            let keys: Vec<BlockKey> = engine.blocks.iter().copied().collect();
            prop_assert_eq!(residency.leading_blocks(&keys) as usize, keys.len());
        }
    }
    Ok(())
}

#[test]
fn index_without_gaps_equals_the_cache_once_all_events_are_applied() {
    let mut runner = runner();

    let outcome = runner.run(&steps(), run_steps);

    outcome.expect("the index equals the engine's cache");
}

#[test]
fn a_later_run_empties_the_index() {
    let mut residency = Residency::new();
    let list = BlockList {
        incarnation: Incarnation(3),
        next_seq: 9,
        keys: vec![BlockKey(1), BlockKey(2)],
    };
    residency.re_read(&list);

    residency.start_run(Incarnation(4));

    assert!(residency.is_empty());
    assert!(!residency.re_read(&list), "a list of an older run must be refused");
    assert_eq!(residency.leading_blocks(&[BlockKey(1)]), 0);
}

#[test]
fn re_read_applies_kept_events_that_are_newer_than_the_list() {
    let event = |seq, key| CacheEvent {
        incarnation: Incarnation(1),
        seq,
        change: CacheChange::Stored(vec![BlockKey(key)]),
    };
    let mut residency = Residency::new();
    residency.apply(&event(0, 10));
    residency.apply(&event(2, 12));
    residency.apply(&event(3, 13));
    let list = BlockList {
        incarnation: Incarnation(1),
        next_seq: 3,
        keys: vec![BlockKey(10), BlockKey(11), BlockKey(12)],
    };

    residency.re_read(&list);

    assert!(!residency.needs_re_read());
    assert_eq!(residency.len(), 4);
    assert_eq!(residency.next_seq(), 4);
}

#[test]
fn expected_blocks_count_as_leading_until_removed() {
    let mut residency = Residency::new();
    let (one, other) = ([BlockKey(1), BlockKey(2)], [BlockKey(1), BlockKey(3)]);

    residency.add_expected(&one);
    residency.add_expected(&other);
    let both = residency.leading_blocks(&one);
    residency.remove_expected(&one);
    let after_one = residency.leading_blocks(&one);
    residency.remove_expected(&other);

    assert_eq!((both, after_one), (2, 1));
    assert_eq!(residency.leading_blocks(&one), 0);
}
