//! Traffic with nested, skewed prefixes and several teams, from a seed.

use rand::{Rng, SeedableRng, rngs::StdRng};

use super::{TraceRecord, prompt::mix};

const DEFAULT_REQUESTS: usize = 1_000;
const DEFAULT_REQUESTS_PER_S: f64 = 50.0;
const DEFAULT_DOCUMENTS: usize = 20;
const DEFAULT_SECTIONS: usize = 10;
const DEFAULT_SKEW: f64 = 1.1;
const DEFAULT_DOCUMENT_BLOCKS: usize = 4;
const DEFAULT_SECTION_BLOCKS: usize = 2;
const DEFAULT_REST_TOKENS: u64 = 256;
const DEFAULT_OUTPUT_TOKENS: u32 = 32;
const DEFAULT_BLOCK_TOKENS: u64 = 2_048;
const MS_PER_S: f64 = 1_000.0;

/// A team's part of the traffic.
#[derive(Clone, Debug, PartialEq)]
pub struct TeamTraffic {
    name: String,
    weight: f64,
}

impl TeamTraffic {
    /// A team that sends in proportion to its weight.
    pub fn new(name: &str, weight: f64) -> Self {
        Self { name: name.to_owned(), weight }
    }
}

/// Describes traffic. Every prompt is a document, a section of it and a rest of its own; some
/// documents and sections are far more asked for than others.
#[derive(Clone, Debug, PartialEq)]
pub struct Traffic {
    model: String,
    seed: u64,
    requests: usize,
    requests_per_s: f64,
    teams: Vec<TeamTraffic>,
    documents: usize,
    sections: usize,
    skew: f64,
    document_blocks: usize,
    section_blocks: usize,
    block_tokens: u64,
    rest_tokens: u64,
    output_tokens: u32,
}

impl Traffic {
    /// Traffic to one model.
    pub fn new(model: &str) -> Self {
        Self {
            model: model.to_owned(),
            seed: 1,
            requests: DEFAULT_REQUESTS,
            requests_per_s: DEFAULT_REQUESTS_PER_S,
            teams: Vec::new(),
            documents: DEFAULT_DOCUMENTS,
            sections: DEFAULT_SECTIONS,
            skew: DEFAULT_SKEW,
            document_blocks: DEFAULT_DOCUMENT_BLOCKS,
            section_blocks: DEFAULT_SECTION_BLOCKS,
            block_tokens: DEFAULT_BLOCK_TOKENS,
            rest_tokens: DEFAULT_REST_TOKENS,
            output_tokens: DEFAULT_OUTPUT_TOKENS,
        }
    }

    /// The seed. Equal seeds give equal traffic.
    #[must_use]
    pub fn seed(mut self, seed: u64) -> Self {
        self.seed = seed;
        self
    }

    /// Requests in all.
    #[must_use]
    pub fn requests(mut self, requests: usize) -> Self {
        self.requests = requests;
        self
    }

    /// Mean rate; arrivals are independent of each other.
    #[must_use]
    pub fn requests_per_s(mut self, requests_per_s: f64) -> Self {
        self.requests_per_s = requests_per_s;
        self
    }

    /// Adds a team.
    #[must_use]
    pub fn team(mut self, team: TeamTraffic) -> Self {
        self.teams.push(team);
        self
    }

    /// Blocks of a document and of each of its sections.
    #[must_use]
    pub fn prefix_blocks(mut self, document_blocks: usize, section_blocks: usize) -> Self {
        self.document_blocks = document_blocks;
        self.section_blocks = section_blocks;
        self
    }

    /// Tokens in one block.
    #[must_use]
    pub fn block_tokens(mut self, block_tokens: u64) -> Self {
        self.block_tokens = block_tokens.max(1);
        self
    }

    /// Tokens of a prompt that no other prompt has.
    #[must_use]
    pub fn rest_tokens(mut self, rest_tokens: u64) -> Self {
        self.rest_tokens = rest_tokens;
        self
    }

    /// Output tokens of each request.
    #[must_use]
    pub fn output_tokens(mut self, output_tokens: u32) -> Self {
        self.output_tokens = output_tokens;
        self
    }

    /// The requests of the traffic, by time.
    pub fn generate(&self) -> Vec<TraceRecord> {
        let mut rng = StdRng::seed_from_u64(self.seed);
        let teams = Weighted::new(self.teams.iter().map(|team| team.weight));
        let documents = Weighted::zipf(self.documents, self.skew);
        let sections = Weighted::zipf(self.sections, self.skew);
        let mut at_s = 0.0;
        let mut records = Vec::with_capacity(self.requests);
        for serial in 0..self.requests {
            at_s += -(1.0 - rng.random::<f64>()).ln() / self.requests_per_s;
            let team = teams.pick(&mut rng);
            let document = documents.pick(&mut rng);
            let section = sections.pick(&mut rng);
            let at_ms = (at_s * MS_PER_S) as u64;
            records.push(self.record(at_ms, serial, team, document, section));
        }
        records
    }

    fn record(
        &self,
        at_ms: u64,
        serial: usize,
        team: usize,
        document: usize,
        section: usize,
    ) -> TraceRecord {
        let mut blocks = Vec::new();
        let mut chain = mix(self.seed, team as u64);
        let mut push = |count: usize, name: u64| {
            for block in 0..count {
                chain = mix(chain, name.wrapping_add(block as u64));
                blocks.push(chain);
            }
        };
        push(self.document_blocks, mix(1, document as u64));
        push(self.section_blocks, mix(2, section as u64));
        let rest_blocks = self.rest_tokens / self.block_tokens;
        push(usize::try_from(rest_blocks).unwrap_or(0), mix(3, serial as u64));
        let prefix_tokens = (self.document_blocks + self.section_blocks) as u64 * self.block_tokens;
        let team = self.teams.get(team).map_or("", |team| team.name.as_str());
        TraceRecord {
            at_ms,
            team: team.to_owned(),
            model: self.model.clone(),
            blocks,
            prompt_tokens: prefix_tokens + self.rest_tokens,
            max_output_tokens: self.output_tokens,
        }
    }
}

/// Picks an index in proportion to its weight.
#[derive(Debug)]
struct Weighted {
    sums: Vec<f64>,
}

impl Weighted {
    fn new(weights: impl Iterator<Item = f64>) -> Self {
        let sums = weights.scan(0.0, |sum, weight| {
            *sum += weight;
            Some(*sum)
        });
        Self { sums: sums.collect() }
    }

    fn zipf(count: usize, skew: f64) -> Self {
        Self::new((1..=count).map(|rank| (rank as f64).powf(-skew)))
    }

    fn pick(&self, rng: &mut StdRng) -> usize {
        let total = self.sums.last().copied().unwrap_or(0.0);
        let at = rng.random::<f64>() * total;
        self.sums.partition_point(|sum| *sum <= at).min(self.sums.len().saturating_sub(1))
    }
}
