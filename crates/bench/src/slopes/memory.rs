//! Memory of the tables of routers and agents.

use samphirespread_core::prelude::*;
use samphirespread_engine::api::BlockList;
use samphirespread_prefix::{
    Placement, PrefixAffinity, PrefixAffinityConfig, PrefixTraffic, PrefixTrafficConfig, Prompt,
    Residency, Worker, WorkerSet,
};

use rand::{SeedableRng, rngs::StdRng};

use super::{Measured, SlopeError, process::mean_bytes};

const COPIES: usize = 16;
const NOW: MonoTime = MonoTime::from_ms(1);

fn key(number: u64) -> BlockKey {
    BlockKey(number.wrapping_mul(0x9e37_79b9_7f4a_7c15))
}

fn residency(blocks: u64) -> Residency {
    let keys = (0..blocks).map(key).collect();
    let mut residency = Residency::new();
    residency.re_read(&BlockList { incarnation: Incarnation(1), next_seq: 0, keys });
    residency
}

/// A full record: entries fill both of its halves.
fn heat(blocks: usize) -> PrefixTraffic {
    let mut heat = PrefixTraffic::new(PrefixTrafficConfig::default().max_blocks(blocks));
    for number in 0..blocks as u64 {
        heat.observe(&[key(number)], 1, NOW);
    }
    heat
}

fn placement(blocks: usize) -> PrefixAffinity {
    let mut placement = PrefixAffinity::new(PrefixAffinityConfig::default().max_blocks(blocks));
    let workers = workers(3);
    let mut rng = StdRng::seed_from_u64(1);
    for number in 0..blocks as u64 {
        let blocks = [key(number)];
        let prompt = Prompt { blocks: &blocks, tokens: 2_048, block_tokens: 2_048 };
        placement.candidates(&prompt, &workers, NOW, &mut rng);
    }
    placement
}

fn workers(count: usize) -> WorkerSet {
    let worker = |index| Worker::new(InstanceName::new(format!("worker-{index}")), "domain-1");
    WorkerSet::new((0..count).map(worker).collect())
}

/// Resident bytes of each table at several sizes.
///
/// # Errors
///
/// Fails if the process can't read its own figures.
pub fn memory_rows() -> Result<Vec<Measured>, SlopeError> {
    let mut rows = Vec::new();
    for blocks in [18_000, 36_000, 72_000] {
        let bytes = mean_bytes(COPIES, || residency(blocks as u64))?;
        rows.push(Measured::new("residency, bytes by cached blocks", blocks, bytes));
    }
    for blocks in [16_384, 32_768, 65_536] {
        let bytes = mean_bytes(COPIES, || heat(blocks))?;
        rows.push(Measured::new("heat, bytes by limit of blocks", blocks, bytes));
        let bytes = mean_bytes(COPIES, || placement(blocks))?;
        rows.push(Measured::new("hot prefixes, bytes by limit of blocks", blocks, bytes));
    }
    for count in [186, 1_116, 6_700] {
        let bytes = mean_bytes(COPIES, || workers(count))?;
        rows.push(Measured::new("set of workers with ring, bytes by workers", count, bytes));
    }
    Ok(rows)
}
