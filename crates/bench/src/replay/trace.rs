//! Recorded traces: one JSON object a line.

use std::{fs, io::Write, path::Path};

use rand::{Rng, SeedableRng, rngs::StdRng};
use samphirespread_core::prelude::*;
use serde::{Deserialize, Serialize};

use super::{
    ReplayError,
    deployment::{BLOCK_TOKENS, Traffic},
};

/// One request of a trace.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Arrival after the start of the trace.
    pub at_ms: u64,
    /// The team's number.
    pub team: u8,
    /// Nested prefixes of the prompt, outermost first.
    pub levels: Vec<LevelRecord>,
    /// Tokens after the last prefix, which no other prompt has.
    pub rest_tokens: u32,
    /// Tokens generated.
    pub output_tokens: u32,
}

/// One nested prefix.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LevelRecord {
    /// Names the text of the prefix below its parent.
    pub id: u32,
    /// Length of the text in blocks.
    pub blocks: u32,
}

impl Record {
    /// Tokens of the whole prompt.
    pub fn prompt_tokens(&self) -> u64 {
        let blocks: u32 = self.levels.iter().map(|level| level.blocks).sum();
        u64::from(blocks) * u64::from(BLOCK_TOKENS) + u64::from(self.rest_tokens)
    }

    /// The block keys. Documents with ids below `shifted_below` have other texts.
    pub fn block_keys(&self, serial: usize, shifted_below: u32) -> Vec<BlockKey> {
        const SHIFTED_IDS: u32 = 5_000;
        let mut keys = Vec::new();
        let mut previous = mix(u64::from(self.team) + 1, 0);
        for (depth, level) in self.levels.iter().enumerate() {
            let is_shifted = depth == 1 && level.id < shifted_below;
            let id = if is_shifted { level.id + SHIFTED_IDS } else { level.id };
            for block in 0..level.blocks {
                let text = u64::from(id) << 32 | u64::from(block) << 8 | depth as u64;
                previous = mix(previous, text);
                keys.push(BlockKey(previous));
            }
        }
        for block in 0..self.rest_tokens / BLOCK_TOKENS {
            previous = mix(previous, (serial as u64) << 32 | u64::from(block) | 1 << 63);
            keys.push(BlockKey(previous));
        }
        keys
    }
}

/// Chains a value to a hash, as the hash of a block's text would.
fn mix(previous: u64, value: u64) -> u64 {
    let mut state = previous ^ value.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    state = (state ^ (state >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    state = (state ^ (state >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    state ^ (state >> 31)
}

/// Generates a trace from the seed in `traffic`.
pub fn generate(traffic: &Traffic) -> Vec<Record> {
    let mut rng = StdRng::seed_from_u64(traffic.seed);
    let documents = Zipf::new(traffic.documents, traffic.skew);
    let sections = Zipf::new(traffic.sections, traffic.skew);
    let mut at_ms = 0.0;
    let mut records = Vec::new();
    loop {
        at_ms += exponential(&mut rng, 1_000.0 / traffic.requests_per_s);
        if at_ms >= traffic.length_ms as f64 {
            return records;
        }
        let team = pick_team(&mut rng, &traffic.team_percent);
        records.push(Record {
            at_ms: at_ms as u64,
            team,
            levels: pick_levels(&mut rng, team, &documents, &sections),
            rest_tokens: 200 + exponential(&mut rng, 1_200.0).min(9_000.0) as u32,
            output_tokens: 8 + exponential(&mut rng, 110.0).min(600.0) as u32,
        });
    }
}

fn pick_team(rng: &mut StdRng, percent: &[u32]) -> u8 {
    let mut left = rng.random_range(0..percent.iter().sum());
    for (team, share) in percent.iter().enumerate() {
        if left < *share {
            return team as u8;
        }
        left -= share;
    }
    0
}

/// Lengths of levels follow from their ids, so that equal ids are equal texts.
fn pick_levels(rng: &mut StdRng, team: u8, documents: &Zipf, sections: &Zipf) -> Vec<LevelRecord> {
    let length = |id: u32, least: u32, spread: u64| {
        least + (mix(u64::from(team) + 77, u64::from(id)) % spread) as u32
    };
    let system = rng.random_range(0..2);
    let mut levels = vec![LevelRecord { id: system, blocks: length(system, 2, 3) }];
    if rng.random_bool(0.1) {
        return levels;
    }
    let document = documents.pick(rng) as u32;
    levels.push(LevelRecord { id: document, blocks: length(100 + document, 3, 9) });
    if rng.random_bool(0.2) {
        return levels;
    }
    let section = sections.pick(rng) as u32;
    let blocks = length(1_000 + document * 100 + section, 2, 6);
    levels.push(LevelRecord { id: section, blocks });
    levels
}

fn exponential(rng: &mut StdRng, mean: f64) -> f64 {
    -mean * (1.0 - rng.random::<f64>()).ln()
}

/// Draws ranks with a popularity that falls as a power of the rank.
struct Zipf {
    cumulated: Vec<f64>,
}

impl Zipf {
    fn new(ranks: usize, exponent: f64) -> Self {
        let mut sum = 0.0;
        let weight = |rank: usize| (rank as f64 + 1.0).powf(-exponent);
        let cumulated = (0..ranks)
            .map(|rank| {
                sum += weight(rank);
                sum
            })
            .collect();
        Self { cumulated }
    }

    fn pick(&self, rng: &mut StdRng) -> usize {
        let total = self.cumulated.last().copied().unwrap_or(1.0);
        let drawn = rng.random::<f64>() * total;
        self.cumulated.partition_point(|sum| *sum <= drawn).min(self.cumulated.len() - 1)
    }
}

/// Reads a trace.
///
/// # Errors
///
/// Fails if the file can't be read or a line is no record.
pub fn read(path: &Path) -> Result<Vec<Record>, ReplayError> {
    let text = fs::read_to_string(path).map_err(|_| ReplayError::Read(path.into()))?;
    let parse = |(number, line)| {
        serde_json::from_str(line).map_err(|_| ReplayError::Line { number: number + 1 })
    };
    text.lines().enumerate().map(parse).collect()
}

/// Writes a trace.
///
/// # Errors
///
/// Fails if the file can't be written.
pub fn write(path: &Path, records: &[Record]) -> Result<(), ReplayError> {
    let failed = |_| ReplayError::Write(path.into());
    let mut file = std::io::BufWriter::new(fs::File::create(path).map_err(failed)?);
    for record in records {
        let line = serde_json::to_string(record).map_err(|_| ReplayError::Write(path.into()))?;
        writeln!(file, "{line}").map_err(failed)?;
    }
    file.flush().map_err(failed)
}
