//! Choosing the backend servers that are asked for a prompt, and the one that runs it.

mod baseline;
mod choice;
mod home;
mod hot;
mod ring;
mod workers;

use rand::Rng;
use samphirespread_core::prelude::*;

use crate::Hint;

pub use self::{
    baseline::{FirstBlock, LeastLoad, RoundRobin},
    choice::{Standing, choose},
    home::{HomeConfig, HomePlacement},
    hot::HotPrefixes,
    ring::HomeRing,
    workers::{Worker, WorkerSet},
};

/// Candidates at most for one prompt.
pub const MAX_CANDIDATES: usize = 3;

/// A prompt as placement sees it.
#[derive(Clone, Copy, Debug)]
pub struct Prompt<'a> {
    /// The keys of the prompt's blocks, first block first.
    pub blocks: &'a [BlockKey],
    /// Tokens of the whole prompt.
    pub tokens: u64,
    /// Tokens in one block.
    pub block_tokens: u32,
}

/// Up to [`MAX_CANDIDATES`] distinct places in a [`WorkerSet`], best guess first.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Candidates {
    places: [u32; MAX_CANDIDATES],
    len: u8,
}

impl Candidates {
    /// Adds a place unless it is there already or the list is full.
    pub fn push(&mut self, place: usize) {
        let place = place as u32;
        if self.is_full() || self.places[..usize::from(self.len)].contains(&place) {
            return;
        }
        self.places[usize::from(self.len)] = place;
        self.len += 1;
    }

    /// Whether no more places fit.
    pub fn is_full(&self) -> bool {
        usize::from(self.len) == MAX_CANDIDATES
    }

    /// Number of candidates.
    pub fn len(&self) -> usize {
        usize::from(self.len)
    }

    /// Whether no worker takes work.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// The places, best guess first.
    pub fn iter(&self) -> impl Iterator<Item = usize> + '_ {
        self.places[..self.len()].iter().map(|place| *place as usize)
    }
}

/// A way to place prompts.
pub trait Placement {
    /// Workers to look up or to send the prompt to, best guess first. Only workers that take work
    /// are named; none if there is none.
    fn candidates<R: Rng + ?Sized>(
        &mut self,
        prompt: &Prompt<'_>,
        workers: &WorkerSet,
        now: MonoTime,
        rng: &mut R,
    ) -> Candidates;

    /// Takes in a hint that came with an answer about this prompt.
    fn learn(&mut self, _prompt: &Prompt<'_>, _hint: Hint, _now: MonoTime) {}
}
