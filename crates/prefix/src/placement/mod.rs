//! The choice of the workers that are candidates for a prompt, and of the one that runs it.

mod affinity;
mod baseline;
mod choice;
mod hot;
mod ring;
mod workers;

use rand::Rng;
use samphirespread_core::prelude::*;

use crate::Hint;

pub use self::{
    affinity::{PrefixAffinity, PrefixAffinityConfig},
    baseline::{FirstBlock, LeastLoad, RoundRobin},
    choice::{CandidateState, choose},
    hot::HotPrefixes,
    ring::HashRing,
    workers::{Worker, WorkerSet},
};

/// The maximum number of candidates for one prompt.
pub const MAX_CANDIDATES: usize = 3;

/// The properties of a prompt that its placement depends on.
#[derive(Clone, Copy, Debug)]
pub struct Prompt<'a> {
    /// The keys of the prompt's blocks, first block first.
    pub blocks: &'a [BlockKey],
    /// The number of tokens in the whole prompt.
    pub tokens: u64,
    /// The number of tokens in one block.
    pub block_tokens: u32,
}

/// Up to [`MAX_CANDIDATES`] distinct indices of workers in a [`WorkerSet`], most preferred first.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Candidates {
    indices: [u32; MAX_CANDIDATES],
    len: u8,
}

impl Candidates {
    /// Adds an index unless it is in the list already or the list is full.
    pub fn push(&mut self, index: usize) {
        let index = index as u32;
        if self.is_full() || self.indices[..usize::from(self.len)].contains(&index) {
            return;
        }
        self.indices[usize::from(self.len)] = index;
        self.len += 1;
    }

    /// Returns whether the list is full.
    pub fn is_full(&self) -> bool {
        usize::from(self.len) == MAX_CANDIDATES
    }

    /// Returns the number of candidates.
    pub fn len(&self) -> usize {
        usize::from(self.len)
    }

    /// Returns whether there are no candidates.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Returns the indices, most preferred first.
    pub fn iter(&self) -> impl Iterator<Item = usize> + '_ {
        self.indices[..self.len()].iter().map(|index| *index as usize)
    }
}

/// A strategy that chooses the candidate workers for prompts.
pub trait Placement {
    /// Returns the workers to look the prompt up at or to send it to, most preferred first. Only
    /// workers that accept prompts are returned; there are no candidates if no worker does.
    fn candidates<R: Rng + ?Sized>(
        &mut self,
        prompt: &Prompt<'_>,
        workers: &WorkerSet,
        now: MonoTime,
        rng: &mut R,
    ) -> Candidates;

    /// Records a hint that came with an answer about this prompt.
    fn record_hint(&mut self, _prompt: &Prompt<'_>, _hint: Hint, _now: MonoTime) {}
}
