//! Benchmarks of keeping the index of an engine's cache up to date, and of looking a prompt up in
//! it.

#![expect(missing_docs, reason = "criterion_group! makes public functions without documentation")]

use std::hint::black_box;

use criterion::{BenchmarkId, Criterion, Throughput, criterion_group, criterion_main};
use samphirespread_core::prelude::*;
use samphirespread_engine::api::{BlockList, CacheChange, CacheEvent};
use samphirespread_prefix::{PrefixTraffic, PrefixTrafficConfig, Residency};

const CACHED_BLOCKS: [u64; 3] = [18_000, 36_000, 72_000];
const BLOCK_COUNTS: [u64; 3] = [16, 64, 512];
const EVENTS_PER_S: u64 = 130;

fn key(number: u64) -> BlockKey {
    BlockKey(number.wrapping_mul(0x9e37_79b9_7f4a_7c15))
}

fn residency_with(blocks: u64) -> Residency {
    let mut residency = Residency::new();
    residency.re_read(&BlockList {
        incarnation: Incarnation(1),
        next_seq: 0,
        keys: (0..blocks).map(key).collect(),
    });
    residency
}

/// Measures one second of events, which alternately store a new block and evict the oldest.
fn bench_events(c: &mut Criterion) {
    let mut group = c.benchmark_group("one_second_of_events");
    group.throughput(Throughput::Elements(EVENTS_PER_S));
    for blocks in CACHED_BLOCKS {
        let mut residency = residency_with(blocks);
        let mut seq = 0;
        group.bench_function(BenchmarkId::from_parameter(blocks), |b| {
            b.iter(|| {
                for _ in 0..EVENTS_PER_S {
                    let change = if seq % 2 == 0 {
                        CacheChange::Stored(vec![key(blocks + seq / 2)])
                    } else {
                        CacheChange::Evicted(vec![key(seq / 2)])
                    };
                    residency.apply(&CacheEvent { incarnation: Incarnation(1), seq, change });
                    seq += 1;
                }
            });
        });
        assert_eq!(residency.next_seq(), seq);
    }
    group.finish();
}

fn bench_re_read(c: &mut Criterion) {
    let mut group = c.benchmark_group("re_read");
    group.sample_size(20);
    for blocks in CACHED_BLOCKS {
        let list = BlockList {
            incarnation: Incarnation(1),
            next_seq: 0,
            keys: (0..blocks).map(key).collect(),
        };
        let mut residency = Residency::new();
        group.bench_function(BenchmarkId::from_parameter(blocks), |b| {
            b.iter(|| black_box(residency.re_read(&list)));
        });
    }
    group.finish();
}

fn bench_lookup(c: &mut Criterion) {
    let mut group = c.benchmark_group("lookup");
    let residency = residency_with(CACHED_BLOCKS[2]);
    for blocks in BLOCK_COUNTS {
        let prompt: Vec<BlockKey> = (1_000..1_000 + blocks).map(key).collect();
        group.bench_function(BenchmarkId::new("residency", blocks), |b| {
            b.iter(|| black_box(residency.leading_blocks(&prompt)));
        });
        let mut traffic = PrefixTraffic::new(PrefixTrafficConfig::default());
        let mut now = MonoTime::ZERO;
        group.bench_function(BenchmarkId::new("heat", blocks), |b| {
            b.iter(|| {
                now = now.plus_ms(1);
                black_box(traffic.observe(&prompt, 1_000, now))
            });
        });
    }
    group.finish();
}

criterion_group!(benches, bench_events, bench_re_read, bench_lookup);
criterion_main!(benches);
