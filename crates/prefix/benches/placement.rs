//! Benchmarks of one placement and its parts, by number of workers and blocks.

#![expect(missing_docs, reason = "criterion_group! makes public functions without documentation")]

use std::hint::black_box;

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use rand::{SeedableRng, rngs::StdRng};
use samphirespread_core::prelude::*;
use samphirespread_prefix::{
    CandidateState, Hint, Placement, PrefixAffinity, PrefixAffinityConfig, PrefixHasher, Prompt,
    Worker, WorkerSet, choose,
};

const WORKER_COUNTS: [usize; 3] = [18, 186, 6_700];
const BLOCK_COUNTS: [usize; 3] = [16, 64, 512];
const OTHER_PREFIXES: u64 = 20_000;
const PROMPTS: u64 = 64;
const NOW: MonoTime = MonoTime::from_ms(1_000);

fn worker_set(count: usize) -> WorkerSet {
    let worker = |index| Worker::new(InstanceName::new(format!("worker-{index}")), "north");
    WorkerSet::new((0..count).map(worker).collect())
}

/// Returns prompts of which groups of four share their first half.
fn prompts(blocks: usize) -> Vec<Vec<BlockKey>> {
    let key = |prompt: u64, index: usize| {
        let group = if index < blocks / 2 { prompt / 4 } else { PROMPTS + prompt };
        let seed = group << 32 | index as u64;
        BlockKey(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15))
    };
    (0..PROMPTS).map(|prompt| (0..blocks).map(|index| key(prompt, index)).collect()).collect()
}

fn prompt_of(blocks: &[BlockKey]) -> Prompt<'_> {
    Prompt { blocks, tokens: blocks.len() as u64 * 2_048, block_tokens: 2_048 }
}

/// Returns a placement that has recorded many other prefixes, and these prompts so often that their
/// shared halves are hot.
fn warm_placement(prompts: &[Vec<BlockKey>], set: &WorkerSet) -> PrefixAffinity {
    let mut placement = PrefixAffinity::new(PrefixAffinityConfig::default());
    let mut rng = StdRng::seed_from_u64(2);
    for other in 0..OTHER_PREFIXES {
        let blocks = [BlockKey(other.wrapping_mul(0xd6e8_feb8_6659_fd93))];
        placement.candidates(&prompt_of(&blocks), set, NOW, &mut rng);
    }
    for blocks in prompts.iter().cycle().take(prompts.len() * 20) {
        placement.candidates(&prompt_of(blocks), set, NOW, &mut rng);
        let hint = Hint { shared_blocks: blocks.len() as u32 / 2, replicas: 4 };
        placement.record_hint(&prompt_of(blocks), hint, NOW);
    }
    placement
}

/// Measures the selection of candidates and the choice among them, without the lookups between.
fn bench_place(c: &mut Criterion) {
    let mut group = c.benchmark_group("place");
    for workers in WORKER_COUNTS {
        let set = worker_set(workers);
        for blocks in BLOCK_COUNTS {
            let prompts = prompts(blocks);
            let mut placement = warm_placement(&prompts, &set);
            let mut rng = StdRng::seed_from_u64(1);
            let mut next = 0;
            let id = BenchmarkId::new(format!("{workers}_workers"), format!("{blocks}_blocks"));
            group.bench_function(id, |b| {
                b.iter(|| {
                    next = (next + 1) % prompts.len();
                    let prompt = prompt_of(&prompts[next]);
                    let candidates = placement.candidates(&prompt, &set, NOW, &mut rng);
                    let answers =
                        [CandidateState { takes_work: true, ..CandidateState::default() }; 3];
                    black_box(choose(&prompt, &answers[..candidates.len()]))
                });
            });
        }
    }
    group.finish();
}

/// Measures rendezvous hashing, which scores every worker, for two prefixes. The hash ring is used
/// instead of it.
fn bench_score_all(c: &mut Criterion) {
    let mut group = c.benchmark_group("score_all_workers_for_two_levels");
    for workers in WORKER_COUNTS {
        let set = worker_set(workers);
        let mut key = 0_u64;
        group.bench_function(BenchmarkId::from_parameter(workers), |b| {
            b.iter(|| {
                key += 1;
                for prefix in [key, key << 32] {
                    let best = set.workers().iter().enumerate().max_by_key(|(_, worker)| {
                        rendezvous::score(&prefix.to_le_bytes(), worker.name.as_str())
                    });
                    black_box(best);
                }
            });
        });
    }
    group.finish();
}

fn bench_build_worker_set(c: &mut Criterion) {
    let mut group = c.benchmark_group("build_worker_set");
    group.sample_size(10);
    for workers in WORKER_COUNTS {
        let set = worker_set(workers);
        group.bench_function(BenchmarkId::from_parameter(workers), |b| {
            b.iter(|| black_box(WorkerSet::new(set.workers().to_vec())));
        });
    }
    group.finish();
}

fn bench_hash(c: &mut Criterion) {
    let mut group = c.benchmark_group("hash_prompt");
    let team = TeamName::new("roads");
    let hasher = PrefixHasher::new(&team, &ModelName::new("draft"), &WeightsVersion::new("v1"));
    for blocks in BLOCK_COUNTS {
        let prompt = vec![b'x'; blocks * hasher.bytes_per_block() as usize];
        group.bench_function(BenchmarkId::from_parameter(blocks), |b| {
            b.iter(|| black_box(hasher.blocks(&prompt)));
        });
    }
    group.finish();
}

criterion_group!(benches, bench_place, bench_score_all, bench_build_worker_set, bench_hash);
criterion_main!(benches);
