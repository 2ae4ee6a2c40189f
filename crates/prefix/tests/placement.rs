//! Tests of block keys, preferred workers, hot prefixes and hints.

use rand::{SeedableRng, rngs::StdRng};
use samphirespread_core::prelude::*;
use samphirespread_prefix::{
    HashRing, Hint, Placement, PrefixAffinity, PrefixAffinityConfig, PrefixError, PrefixHasher,
    PrefixTraffic, PrefixTrafficConfig, Prompt, Worker, WorkerSet,
};

const NOW: MonoTime = MonoTime::from_ms(1_000);

fn worker_set(count: usize) -> WorkerSet {
    let domains = ["north", "middle", "south"];
    let worker = |index: usize| {
        Worker::new(InstanceName::new(format!("w{index}")), domains[index % domains.len()])
    };
    WorkerSet::new((0..count).map(worker).collect())
}

fn hasher(team: &str, version: &str) -> PrefixHasher {
    let model = ModelName::new("draft");
    PrefixHasher::new(&TeamName::new(team), &model, &WeightsVersion::new(version))
}

fn prompt(blocks: &[BlockKey]) -> Prompt<'_> {
    Prompt { blocks, tokens: blocks.len() as u64 * 2_048, block_tokens: 2_048 }
}

#[test]
fn block_keys_depend_on_the_whole_prefix() {
    let hasher = hasher("roads", "v1").block_bytes(4).expect("four bytes are a valid block size");

    let first = hasher.blocks(b"aaaabbbbcccc");
    let second = hasher.blocks(b"xaaabbbbcc");

    assert_eq!(first.len(), 3);
    assert_eq!(second.len(), 2, "an incomplete last block has no key");
    assert_ne!(first[1], second[1], "an equal block after a different prefix has a different key");
}

#[test]
fn block_keys_differ_by_team_and_version() {
    let text = vec![b'x'; 8_192];

    let keys = [("roads", "v1"), ("ledgers", "v1"), ("roads", "v2"), ("road", "sv1")]
        .map(|(team, version)| hasher(team, version).blocks(&text)[0]);

    for (index, key) in keys.iter().enumerate() {
        assert!(!keys[..index].contains(key));
    }
}

#[test]
fn refuses_a_block_size_of_zero() {
    let error = hasher("roads", "v1").block_bytes(0).expect_err("a block of zero bytes is refused");

    assert_eq!(error, PrefixError::EmptyBlock);
    assert_eq!(error.to_string(), "a cache block must hold at least one byte");
}

#[test]
fn preferred_workers_do_not_depend_on_the_order_of_the_list() {
    let names = ["w0", "w1", "w2", "w3", "w4"];
    let reversed = ["w4", "w3", "w2", "w1", "w0"];
    let (one, other) = (HashRing::new(names), HashRing::new(reversed));

    for key in (0..1_000).map(BlockKey) {
        let preferred: Vec<&str> = one.preferred_workers(key).map(|index| names[index]).collect();
        let same: Vec<&str> = other.preferred_workers(key).map(|index| reversed[index]).collect();

        assert_eq!(preferred, same);
        assert_eq!(preferred.len(), names.len());
    }
}

#[test]
fn removing_a_worker_moves_only_its_own_keys() {
    let names = ["w0", "w1", "w2", "w3", "w4"];
    let all = HashRing::new(names);
    let without_w4 = HashRing::new(names[..4].iter().copied());

    for key in (0..1_000).map(BlockKey) {
        let before = all.preferred_workers(key).next();
        let after = without_w4.preferred_workers(key).next();

        if before != Some(4) {
            assert_eq!(before, after);
        }
    }
}

#[test]
fn workers_that_take_no_work_are_never_candidates() {
    let mut workers = worker_set(6);
    for index in [0, 2, 3] {
        workers.set_takes_work(index, false);
    }
    let mut placement = PrefixAffinity::new(PrefixAffinityConfig::default());
    let mut rng = StdRng::seed_from_u64(1);

    for key in 0..500 {
        let blocks = [BlockKey(key), BlockKey(key + 1_000)];
        placement.record_hint(&prompt(&blocks), Hint { shared_blocks: 2, replicas: 4 }, NOW);
        let candidates = placement.candidates(&prompt(&blocks), &workers, NOW, &mut rng);

        assert!(!candidates.is_empty());
        assert!(candidates.iter().all(|index| workers.get(index).takes_work));
    }
}

#[test]
fn an_empty_worker_set_has_no_candidates() {
    let mut placement = PrefixAffinity::new(PrefixAffinityConfig::default());
    let mut rng = StdRng::seed_from_u64(1);

    let candidates = placement.candidates(&prompt(&[BlockKey(1)]), &worker_set(0), NOW, &mut rng);

    assert!(candidates.is_empty());
}

/// Returns prompts that consist of a shared system prompt of two blocks, one of 50 documents, and a
/// block of their own.
fn documents(prompts: u64) -> Vec<Vec<BlockKey>> {
    let blocks = |prompt: u64| {
        let document = 1_000 + prompt % 50;
        let own = 1_000_000 + prompt;
        [1, 2, document, document + 500, own].map(BlockKey).to_vec()
    };
    (0..prompts).map(blocks).collect()
}

fn candidates_of(placement: &mut PrefixAffinity, blocks: &[BlockKey], seed: u64) -> Vec<usize> {
    let mut rng = StdRng::seed_from_u64(seed);
    let workers = worker_set(18);
    placement.candidates(&prompt(blocks), &workers, NOW, &mut rng).iter().collect()
}

#[test]
fn prompts_with_a_hot_prefix_are_spread_by_document() {
    let mut placement = PrefixAffinity::new(PrefixAffinityConfig::default());
    let mut rng = StdRng::seed_from_u64(1);
    let workers = worker_set(18);
    for blocks in documents(500) {
        placement.candidates(&prompt(&blocks), &workers, NOW, &mut rng);
    }

    let mut groups: Vec<Vec<usize>> =
        documents(50).iter().map(|blocks| candidates_of(&mut placement, blocks, 1)).collect();
    groups.sort();
    groups.dedup();

    assert!(groups.len() > 20, "only {} groups of workers", groups.len());
}

#[test]
fn traffic_of_another_worker_set_does_not_lower_the_share_of_a_hot_prefix() {
    let mut placement = PrefixAffinity::new(PrefixAffinityConfig::default());
    let mut rng = StdRng::seed_from_u64(1);
    let (busy, quiet) = (worker_set(40), worker_set(18));
    for other in 0..20_000 {
        let blocks = [BlockKey(1_000_000 + other)];
        placement.candidates(&prompt(&blocks), &busy, NOW, &mut rng);
    }
    for blocks in documents(500) {
        placement.candidates(&prompt(&blocks), &quiet, NOW, &mut rng);
    }

    let mut groups: Vec<Vec<usize>> =
        documents(50).iter().map(|blocks| candidates_of(&mut placement, blocks, 1)).collect();
    groups.sort();
    groups.dedup();

    assert!(groups.len() > 20, "only {} groups of workers", groups.len());
}

#[test]
fn routers_that_saw_different_prompts_choose_the_same_workers() {
    let routers = [0, 1].map(|parity| {
        let mut placement = PrefixAffinity::new(PrefixAffinityConfig::default());
        for blocks in documents(1_000).iter().skip(parity).step_by(2) {
            candidates_of(&mut placement, blocks, 1);
        }
        placement
    });

    let [mut one, mut other] = routers;
    let same = documents(50)
        .iter()
        .filter(|blocks| candidates_of(&mut one, blocks, 1) == candidates_of(&mut other, blocks, 2))
        .count();

    assert_eq!(same, 50);
}

#[test]
fn a_router_with_few_prompts_follows_hints() {
    let blocks = [1, 2, 3].map(BlockKey);
    let mut placement = PrefixAffinity::new(PrefixAffinityConfig::default());
    let without_hint = candidates_of(&mut placement, &blocks, 1);
    let preferred_workers_of = |key: u64| -> Vec<usize> {
        worker_set(18).ring().preferred_workers(BlockKey(key)).take(3).collect()
    };

    placement.record_hint(&prompt(&blocks), Hint { shared_blocks: 2, replicas: 3 }, NOW);
    let with_hint = candidates_of(&mut placement, &blocks, 1);

    assert_eq!(without_hint, preferred_workers_of(1));
    assert_eq!(with_hint, preferred_workers_of(3));
}

#[test]
fn a_hot_prompt_without_further_blocks_gets_more_workers() {
    let mut placement = PrefixAffinity::new(PrefixAffinityConfig::default());
    let blocks = [1, 2].map(BlockKey);

    let mut chosen: Vec<usize> =
        (0..500).flat_map(|seed| candidates_of(&mut placement, &blocks, seed)).collect();
    chosen.sort_unstable();
    chosen.dedup();

    assert!(chosen.len() >= 9, "only {} workers", chosen.len());
}

#[test]
fn the_record_of_hot_prefixes_is_bounded_and_expires() {
    let workers = worker_set(3);
    let config = PrefixAffinityConfig::default().max_blocks(100).half_life_ms(1_000);
    let mut placement = PrefixAffinity::new(config);
    let mut rng = StdRng::seed_from_u64(1);
    let hint = Hint { shared_blocks: 1, replicas: 2 };
    for key in 0..10_000 {
        let blocks = [BlockKey(key)];
        placement.record_hint(&prompt(&blocks), hint, NOW);
        placement.candidates(&prompt(&blocks), &workers, NOW, &mut rng);
        assert!(placement.hot_prefixes().len() <= 112);
    }

    let later = NOW.plus_ms(60_000);
    placement.candidates(&prompt(&[BlockKey(1)]), &workers, later, &mut rng);

    assert_eq!(placement.hot_prefixes().len(), 1);
}

#[test]
fn replicas_in_hints_follow_the_load_of_a_prefix() {
    let mut traffic =
        PrefixTraffic::new(PrefixTrafficConfig::default().half_life_ms(1_000).max_replicas(8));
    let blocks = [BlockKey(1)];
    let observe = |traffic: &mut PrefixTraffic, from_ms: u64, cost_us: u64| {
        (0..400).fold(Hint::default(), |_, step| {
            traffic.observe(&blocks, cost_us, MonoTime::from_ms(from_ms + step * 100))
        })
    };

    let busy = observe(&mut traffic, 0, 95_000);
    let calm = observe(&mut traffic, 40_000, 1_000);

    assert_eq!(busy, Hint { shared_blocks: 1, replicas: 4 });
    assert_eq!(calm, Hint { shared_blocks: 1, replicas: 1 });
}

#[test]
fn the_record_of_prefix_traffic_is_bounded() {
    let mut traffic = PrefixTraffic::new(PrefixTrafficConfig::default().max_blocks(1_000));

    for key in 0..20_000 {
        traffic.observe(&[BlockKey(key), BlockKey(key + 1_000_000)], 10, NOW);
        assert!(traffic.len() <= 1_000);
    }
}

#[test]
fn a_run_after_its_lookup_does_not_count_twice() {
    let mut traffic = PrefixTraffic::new(PrefixTrafficConfig::default());
    let blocks = [BlockKey(1), BlockKey(2)];

    traffic.observe(&blocks, 0, NOW);
    let run = traffic.observe(&blocks, 5_000, NOW);
    let second_run = traffic.observe(&blocks, 5_000, NOW);

    assert_eq!(run.shared_blocks, 0);
    assert_eq!(second_run.shared_blocks, 2);
}
