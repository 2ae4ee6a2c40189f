//! Which blocks of a prompt a lookup names, and what an agent makes of them.

use std::collections::BTreeSet;

use samphirespread_core::prelude::*;
use samphirespread_engine::api::BlockList;
use samphirespread_prefix::{
    Heat, HeatConfig, MAX_SAMPLED_BLOCKS, Residency, SampledBlock, sample,
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

        let wanted = blocks.len().min(MAX_SAMPLED_BLOCKS);
        let distinct: BTreeSet<u32> = depths(&sampled).into_iter().collect();
        assert_eq!((sampled.len(), distinct.len()), (wanted, wanted), "{count} blocks");
        assert!(depths(&sampled).is_sorted());
        assert_eq!(sampled.last().map(|block| block.key), blocks.last().copied());
        assert!(sampled.iter().all(|block| block.key == blocks[block.depth as usize - 1]));
    }
}

#[test]
fn short_prompts_are_named_whole_and_long_ones_at_powers_of_two() {
    let named = [0, 3, 8, 12, 64, 512].map(|count| depths(&sample(&blocks(count))));

    assert!(named[0].is_empty());
    assert_eq!(named[1], [1, 2, 3]);
    assert_eq!(named[2], [1, 2, 3, 4, 5, 6, 7, 8]);
    assert_eq!(named[3], [1, 2, 3, 4, 5, 6, 8, 12]);
    assert_eq!(named[4], [1, 2, 3, 4, 8, 16, 32, 64]);
    assert_eq!(named[5], [1, 2, 4, 8, 16, 32, 64, 512]);
}

#[test]
fn the_depth_of_a_cached_prefix_is_a_lower_bound() {
    for count in 0..=130 {
        let blocks = blocks(count);
        let sampled = sample(&blocks);

        for cached in 0..=blocks.len() {
            let residency = residency_of(&blocks[..cached]);

            let depth = residency.leading_depth(&sampled);

            let deepest = depths(&sampled).into_iter().filter(|at| *at as usize <= cached).max();
            assert_eq!(depth, deepest.unwrap_or(0));
            assert!(depth <= residency.leading_blocks(&blocks));
        }
    }
}

#[test]
fn a_block_without_its_prefix_does_not_count() {
    let blocks = blocks(64);
    let residency = residency_of(&[&blocks[..4], &blocks[8..]].concat());

    let depth = residency.leading_depth(&sample(&blocks));

    assert_eq!(depth, 4);
}

#[test]
fn expected_blocks_count_in_a_sample() {
    let blocks = blocks(12);
    let mut residency = Residency::new();

    residency.expect(&blocks);
    let expected = residency.leading_depth(&sample(&blocks));
    residency.settle(&blocks);
    let settled = residency.leading_depth(&sample(&blocks));

    assert_eq!((expected, settled), (12, 0));
}

#[test]
fn heat_of_samples_is_told_as_a_depth() {
    let mut heat = Heat::new(HeatConfig::default());
    let first = blocks(64);
    let second: Vec<BlockKey> =
        first[..20].iter().copied().chain((1_000..1_044).map(BlockKey)).collect();

    heat.observe_sample(&sample(&first), NOW);
    let hint = heat.observe_sample(&sample(&second), NOW);

    assert_eq!(hint.shared_blocks, 16, "the deepest sampled block of the 20 shared ones");
}
