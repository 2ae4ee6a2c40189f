//! Tests of the sampled blocks in lookups, and of the answers that an agent derives from them.

use std::collections::BTreeSet;

use samphirespread_core::prelude::*;
use samphirespread_engine::api::BlockList;
use samphirespread_prefix::{
    MAX_SAMPLED_BLOCKS, PrefixTraffic, PrefixTrafficConfig, Residency, SampledBlock, sample,
};

const NOW: MonoTime = MonoTime::from_ms(1_000);

fn blocks(count: u64) -> Vec<BlockKey> {
    (1..=count).map(BlockKey).collect()
}

fn depths(sampled: &[SampledBlock]) -> Vec<u32> {
    sampled.iter().map(|block| block.depth).collect()
}

fn residency_of(keys: &[BlockKey]) -> Residency {
    let mut residency = Residency::new();
    let list = BlockList { incarnation: Incarnation(1), next_seq: 0, keys: keys.to_vec() };
    assert!(residency.re_read(&list));
    residency
}

#[test]
fn a_sample_is_bounded_and_ends_with_the_last_block() {
    for count in 0..=600 {
        let blocks = blocks(count);

        let sampled = sample(&blocks);

        let expected_len = blocks.len().min(MAX_SAMPLED_BLOCKS);
        let distinct: BTreeSet<u32> = depths(&sampled).into_iter().collect();
        assert_eq!((sampled.len(), distinct.len()), (expected_len, expected_len), "{count} blocks");
        assert!(depths(&sampled).is_sorted());
        assert_eq!(sampled.last().map(|block| block.key), blocks.last().copied());
        assert!(sampled.iter().all(|block| block.key == blocks[block.depth as usize - 1]));
    }
}

#[test]
fn samples_short_prompts_completely_and_long_ones_at_powers_of_two() {
    let sampled_depths = [0, 3, 8, 12, 64, 512].map(|count| depths(&sample(&blocks(count))));

    assert!(sampled_depths[0].is_empty());
    assert_eq!(sampled_depths[1], [1, 2, 3]);
    assert_eq!(sampled_depths[2], [1, 2, 3, 4, 5, 6, 7, 8]);
    assert_eq!(sampled_depths[3], [1, 2, 3, 4, 5, 6, 8, 12]);
    assert_eq!(sampled_depths[4], [1, 2, 3, 4, 8, 16, 32, 64]);
    assert_eq!(sampled_depths[5], [1, 2, 4, 8, 16, 32, 64, 512]);
}

#[test]
fn leading_depth_is_a_lower_bound_of_the_leading_blocks() {
    for count in 0..=130 {
        let blocks = blocks(count);
        let sampled = sample(&blocks);

        for cached in 0..=blocks.len() {
            let residency = residency_of(&blocks[..cached]);

            let depth = residency.leading_depth(&sampled);

            let deepest =
                depths(&sampled).into_iter().filter(|depth| *depth as usize <= cached).max();
            assert_eq!(depth, deepest.unwrap_or(0));
            assert!(depth <= residency.leading_blocks(&blocks));
        }
    }
}

#[test]
fn leading_depth_ignores_blocks_after_a_missing_one() {
    let blocks = blocks(64);
    let residency = residency_of(&[&blocks[..4], &blocks[8..]].concat());

    let depth = residency.leading_depth(&sample(&blocks));

    assert_eq!(depth, 4);
}

#[test]
fn leading_depth_includes_expected_blocks_until_they_are_removed() {
    let blocks = blocks(12);
    let mut residency = Residency::new();

    residency.add_expected(&blocks);
    let expected = residency.leading_depth(&sample(&blocks));
    residency.remove_expected(&blocks);
    let after_removal = residency.leading_depth(&sample(&blocks));

    assert_eq!((expected, after_removal), (12, 0));
}

#[test]
fn hint_for_a_sample_counts_all_blocks_of_the_prefix() {
    let mut traffic = PrefixTraffic::new(PrefixTrafficConfig::default());
    let first = blocks(64);
    let second: Vec<BlockKey> =
        first[..20].iter().copied().chain((1_000..1_044).map(BlockKey)).collect();

    traffic.observe_sample(&sample(&first), NOW);
    let hint = traffic.observe_sample(&sample(&second), NOW);

    assert_eq!(hint.shared_blocks, 16, "the last sampled depth among the 20 shared blocks");
}
