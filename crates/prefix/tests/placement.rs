//! Homes, hints and the choice among candidates.

use rand::{SeedableRng, rngs::StdRng};
use samphirespread_core::prelude::*;
use samphirespread_prefix::{
    HashRing, Heat, HeatConfig, Hint, HomeConfig, HomePlacement, Placement, PrefixError,
    PrefixHasher, Prompt, Worker, WorkerSet,
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
fn keys_chain_over_the_whole_prefix() {
    let hasher = hasher("roads", "v1").block_bytes(4).expect("four bytes are a block");

    let first = hasher.blocks(b"aaaabbbbcccc");
    let second = hasher.blocks(b"xaaabbbbcc");

    assert_eq!(first.len(), 3);
    assert_eq!(second.len(), 2, "a short rest is not a block");
    assert_ne!(first[1], second[1], "an equal block after another prefix is another key");
}

#[test]
fn salts_differ_by_team_and_version() {
    let text = vec![b'x'; 8_192];

    let keys = [("roads", "v1"), ("ledgers", "v1"), ("roads", "v2"), ("road", "sv1")]
        .map(|(team, version)| hasher(team, version).blocks(&text)[0]);

    for (index, key) in keys.iter().enumerate() {
        assert!(!keys[..index].contains(key));
    }
}

#[test]
fn an_empty_block_is_refused() {
    let error = hasher("roads", "v1").block_bytes(0).expect_err("zero bytes are no block");

    assert_eq!(error, PrefixError::EmptyBlock);
    assert_eq!(error.to_string(), "a cache block must hold at least one byte");
}

#[test]
fn the_order_of_the_list_does_not_move_homes() {
    let names = ["w0", "w1", "w2", "w3", "w4"];
    let reversed = ["w4", "w3", "w2", "w1", "w0"];
    let (one, other) = (HashRing::new(names), HashRing::new(reversed));

    for key in (0..1_000).map(BlockKey) {
        let homes: Vec<&str> = one.preferred_workers(key).map(|place| names[place]).collect();
        let same: Vec<&str> = other.preferred_workers(key).map(|place| reversed[place]).collect();

        assert_eq!(homes, same);
        assert_eq!(homes.len(), names.len());
    }
}

#[test]
fn a_lost_worker_moves_only_its_own_keys() {
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
fn leaving_workers_are_never_candidates() {
    let mut workers = worker_set(6);
    for place in [0, 2, 3] {
        workers.set_takes_work(place, false);
    }
    let mut placement = HomePlacement::new(HomeConfig::default());
    let mut rng = StdRng::seed_from_u64(1);

    for key in 0..500 {
        let blocks = [BlockKey(key), BlockKey(key + 1_000)];
        placement.learn(&prompt(&blocks), Hint { shared_blocks: 2, replicas: 4 }, NOW);
        let candidates = placement.candidates(&prompt(&blocks), &workers, NOW, &mut rng);

        assert!(!candidates.is_empty());
        assert!(candidates.iter().all(|place| workers.get(place).takes_work));
    }
}

#[test]
fn no_worker_gives_no_candidate() {
    let mut placement = HomePlacement::new(HomeConfig::default());
    let mut rng = StdRng::seed_from_u64(1);

    let candidates = placement.candidates(&prompt(&[BlockKey(1)]), &worker_set(0), NOW, &mut rng);

    assert!(candidates.is_empty());
}

/// Prompts of many documents below one system prompt of two blocks.
fn documents(prompts: u64) -> Vec<Vec<BlockKey>> {
    let blocks = |prompt: u64| {
        let document = 1_000 + prompt % 50;
        let own = 1_000_000 + prompt;
        [1, 2, document, document + 500, own].map(BlockKey).to_vec()
    };
    (0..prompts).map(blocks).collect()
}

fn named(placement: &mut HomePlacement, blocks: &[BlockKey], seed: u64) -> Vec<usize> {
    let mut rng = StdRng::seed_from_u64(seed);
    let workers = worker_set(18);
    placement.candidates(&prompt(blocks), &workers, NOW, &mut rng).iter().collect()
}

#[test]
fn prompts_below_a_hot_prefix_spread_by_document() {
    let mut placement = HomePlacement::new(HomeConfig::default());
    let mut rng = StdRng::seed_from_u64(1);
    let workers = worker_set(18);
    for blocks in documents(500) {
        placement.candidates(&prompt(&blocks), &workers, NOW, &mut rng);
    }

    let mut homes: Vec<Vec<usize>> =
        documents(50).iter().map(|blocks| named(&mut placement, blocks, 1)).collect();
    homes.sort();
    homes.dedup();

    assert!(homes.len() > 20, "only {} groups of homes", homes.len());
}

#[test]
fn the_traffic_of_another_set_does_not_cool_a_hot_prefix() {
    let mut placement = HomePlacement::new(HomeConfig::default());
    let mut rng = StdRng::seed_from_u64(1);
    let (busy, quiet) = (worker_set(40), worker_set(18));
    for other in 0..20_000 {
        let blocks = [BlockKey(1_000_000 + other)];
        placement.candidates(&prompt(&blocks), &busy, NOW, &mut rng);
    }
    for blocks in documents(500) {
        placement.candidates(&prompt(&blocks), &quiet, NOW, &mut rng);
    }

    let mut homes: Vec<Vec<usize>> =
        documents(50).iter().map(|blocks| named(&mut placement, blocks, 1)).collect();
    homes.sort();
    homes.dedup();

    assert!(homes.len() > 20, "only {} groups of homes", homes.len());
}

#[test]
fn two_routers_that_saw_other_prompts_name_the_same_homes() {
    let routers = [0, 1].map(|parity| {
        let mut placement = HomePlacement::new(HomeConfig::default());
        for blocks in documents(1_000).iter().skip(parity).step_by(2) {
            named(&mut placement, blocks, 1);
        }
        placement
    });

    let [mut one, mut other] = routers;
    let same = documents(50)
        .iter()
        .filter(|blocks| named(&mut one, blocks, 1) == named(&mut other, blocks, 2))
        .count();

    assert_eq!(same, 50);
}

#[test]
fn a_router_that_saw_little_follows_hints() {
    let blocks = [1, 2, 3].map(BlockKey);
    let mut placement = HomePlacement::new(HomeConfig::default());
    let outer = named(&mut placement, &blocks, 1);
    let homes_of = |key: u64| -> Vec<usize> {
        worker_set(18).ring().preferred_workers(BlockKey(key)).take(3).collect()
    };

    placement.learn(&prompt(&blocks), Hint { shared_blocks: 2, replicas: 3 }, NOW);
    let inner = named(&mut placement, &blocks, 1);

    assert_eq!(outer, homes_of(1));
    assert_eq!(inner, homes_of(3));
}

#[test]
fn a_hot_prompt_without_deeper_blocks_gets_more_homes() {
    let mut placement = HomePlacement::new(HomeConfig::default());
    let blocks = [1, 2].map(BlockKey);

    let mut named: Vec<usize> =
        (0..500).flat_map(|seed| named(&mut placement, &blocks, seed)).collect();
    named.sort_unstable();
    named.dedup();

    assert!(named.len() >= 9, "only {} homes", named.len());
}

#[test]
fn the_record_of_hot_prefixes_ages_out_and_stays_bounded() {
    let workers = worker_set(3);
    let config = HomeConfig::default().max_blocks(100).half_life_ms(1_000);
    let mut placement = HomePlacement::new(config);
    let mut rng = StdRng::seed_from_u64(1);
    let hint = Hint { shared_blocks: 1, replicas: 2 };
    for key in 0..10_000 {
        let blocks = [BlockKey(key)];
        placement.learn(&prompt(&blocks), hint, NOW);
        placement.candidates(&prompt(&blocks), &workers, NOW, &mut rng);
        assert!(placement.hot_prefixes().len() <= 112);
    }

    let later = NOW.plus_ms(60_000);
    placement.candidates(&prompt(&[BlockKey(1)]), &workers, later, &mut rng);

    assert_eq!(placement.hot_prefixes().len(), 1);
}

#[test]
fn a_busy_prefix_gets_more_homes_and_loses_them_again() {
    let mut heat = Heat::new(HeatConfig::default().half_life_ms(1_000).max_replicas(8));
    let blocks = [BlockKey(1)];
    let observe = |heat: &mut Heat, from_ms: u64, cost_us: u64| {
        (0..400).fold(Hint::default(), |_, step| {
            heat.observe(&blocks, cost_us, MonoTime::from_ms(from_ms + step * 100))
        })
    };

    let busy = observe(&mut heat, 0, 95_000);
    let calm = observe(&mut heat, 40_000, 1_000);

    assert_eq!(busy, Hint { shared_blocks: 1, replicas: 4 });
    assert_eq!(calm, Hint { shared_blocks: 1, replicas: 1 });
}

#[test]
fn the_record_of_heat_stays_bounded() {
    let mut heat = Heat::new(HeatConfig::default().max_blocks(1_000));

    for key in 0..20_000 {
        heat.observe(&[BlockKey(key), BlockKey(key + 1_000_000)], 10, NOW);
        assert!(heat.len() <= 1_000);
    }
}

#[test]
fn a_run_after_its_lookup_is_one_prompt() {
    let mut heat = Heat::new(HeatConfig::default());
    let blocks = [BlockKey(1), BlockKey(2)];

    heat.observe(&blocks, 0, NOW);
    let run = heat.observe(&blocks, 5_000, NOW);
    let second_run = heat.observe(&blocks, 5_000, NOW);

    assert_eq!(run.shared_blocks, 0);
    assert_eq!(second_run.shared_blocks, 2);
}
