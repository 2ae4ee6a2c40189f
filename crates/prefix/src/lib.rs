//! Prefix blocks of prompts: hashing, what an engine has cached, and where a prompt runs.
//!
//! A router cuts the prompt into blocks, names a few workers, asks their agents how they stand,
//! and chooses:
//!
//! ```
//! use rand::{SeedableRng, rngs::StdRng};
//! use samphirespread_core::prelude::*;
//! use samphirespread_prefix::{
//!     HomeConfig, HomePlacement, Placement, PrefixHasher, Prompt, Standing, Worker, WorkerSet,
//!     choose,
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
//! let mut placement = HomePlacement::new(HomeConfig::default());
//! let mut rng = StdRng::seed_from_u64(1);
//! let candidates = placement.candidates(&prompt, &workers, MonoTime::from_ms(1), &mut rng);
//! let standings: Vec<Standing> = candidates
//!     .iter()
//!     .map(|_| Standing { takes_work: true, ..Standing::default() })
//!     .collect();
//! assert_eq!(choose(&prompt, &standings), Some(0));
//! ```
//!
//! # Parts
//!
//! - [`PrefixHasher`] gives the keys of a prompt's blocks, salted by team, model and version.
//! - [`sample`] chooses the few blocks of a prompt that a lookup names.
//! - [`Residency`] is the agent's index of its engine's cache.
//! - [`Heat`] is the agent's record of which prefixes are shared and how hot they are. Its hints
//!   travel to routers on answers.
//! - [`Placement`] is what a router asks; [`HomePlacement`] is the one in use, and [`RoundRobin`],
//!   [`LeastLoad`] and [`FirstBlock`] are there to measure against.
//! - [`block_source`] weighs fetching blocks against computing them.
//!
//! # Costs and limits
//!
//! Nothing here reads a clock, draws a random number for a decision or opens a socket. Routers hold
//! no residency: their state is the worker sets and a bounded table of hints. All tables are
//! bounded. Keys are 64-bit hashes: two prefixes of one team may collide, which misplaces a prompt;
//! an engine that takes the keys for its own cache relies on its salt and on its own check of the
//! tokens.

mod decay;
mod error;
mod fetch;
mod hasher;
mod heat;
mod key_map;
mod placement;
mod residency;
mod sample;

pub use crate::{
    error::PrefixError,
    fetch::{BlockSource, TransferCost, block_source},
    hasher::{BYTES_PER_TOKEN, DEFAULT_BLOCK_BYTES, PrefixHasher},
    heat::{Heat, HeatConfig, Hint},
    placement::{
        Candidates, FirstBlock, HomeConfig, HomePlacement, HomeRing, HotPrefixes, LeastLoad,
        MAX_CANDIDATES, Placement, Prompt, RoundRobin, Standing, Worker, WorkerSet, choose,
    },
    residency::{Applied, Residency},
    sample::{MAX_SAMPLED_BLOCKS, SampledBlock, sample},
};
