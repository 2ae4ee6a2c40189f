//! Prefix-aware placement of prompts: block hashing, indexes of engine caches, and the choice of
//! the worker that runs a prompt.
//!
//! A router splits the prompt into blocks, selects a few candidate workers, looks the prompt up at
//! their agents, and chooses one of them:
//!
//! ```
//! use rand::{SeedableRng, rngs::StdRng};
//! use samphirespread_core::prelude::*;
//! use samphirespread_prefix::{
//!     CandidateState, Placement, PrefixAffinity, PrefixAffinityConfig, PrefixHasher, Prompt,
//!     Worker, WorkerSet, choose,
//! };
//!
//! let hasher = PrefixHasher::new(
//!     &TeamName::new("roads"),
//!     &ModelName::new("draft"),
//!     &WeightsVersion::new("v1"),
//! );
//! let text = "clear ".repeat(4_000);
//! let blocks = hasher.blocks(text.as_bytes());
//! let prompt = Prompt {
//!     blocks: &blocks,
//!     tokens: 6_000,
//!     block_tokens: hasher.block_tokens(),
//! };
//! let names = ["w1", "w2", "w3"].map(|name| Worker::new(InstanceName::new(name), "north"));
//! let workers = WorkerSet::new(names.to_vec());
//!
//! let mut placement = PrefixAffinity::new(PrefixAffinityConfig::default());
//! let mut rng = StdRng::seed_from_u64(1);
//! let candidates = placement.candidates(&prompt, &workers, MonoTime::from_ms(1), &mut rng);
//! let answers: Vec<CandidateState> = candidates
//!     .iter()
//!     .map(|_| CandidateState { takes_work: true, ..CandidateState::default() })
//!     .collect();
//! assert_eq!(choose(&prompt, &answers), Some(0));
//! ```
//!
//! # Parts
//!
//! - [`PrefixHasher`] computes the keys of a prompt's blocks, salted by team, model and version.
//! - [`sample`] selects the few blocks of a prompt that a lookup contains.
//! - [`Residency`] is an agent's index of the blocks in its engine's cache.
//! - [`PrefixTraffic`] is an agent's record of which prefixes are shared and how much work they
//!   cause. Its hints are sent to routers with answers.
//! - [`Placement`] is the strategy by which a router selects candidates. [`PrefixAffinity`] is the
//!   one in use; [`RoundRobin`], [`LeastLoad`] and [`FirstBlock`] are baselines for measurements.
//! - [`block_source`] decides whether to fetch blocks or to compute them.
//!
//! # Costs and limits
//!
//! Nothing here reads a clock or opens a socket, and random numbers for decisions come from a
//! generator that the caller passes. Routers have no index of engine caches: their state is the
//! worker sets and a bounded table of hints. All tables are bounded. Keys are 64-bit hashes. Two
//! prefixes of one team may collide, which misplaces a prompt; an engine that uses the keys for its
//! own cache must rely on its salt and on its own check of the tokens.

mod decay;
mod error;
mod fetch;
mod hasher;
mod key_map;
mod placement;
mod prefix_traffic;
mod residency;
mod sample;

pub use crate::{
    error::PrefixError,
    fetch::{BlockSource, TransferCost, block_source},
    hasher::{BYTES_PER_TOKEN, DEFAULT_BLOCK_BYTES, PrefixHasher},
    placement::{
        CandidateState, Candidates, FirstBlock, HashRing, HotPrefixes, LeastLoad, MAX_CANDIDATES,
        Placement, PrefixAffinity, PrefixAffinityConfig, Prompt, RoundRobin, Worker, WorkerSet,
        choose,
    },
    prefix_traffic::{Hint, PrefixTraffic, PrefixTrafficConfig},
    residency::{Applied, Residency},
    sample::{MAX_SAMPLED_BLOCKS, SampledBlock, sample},
};
