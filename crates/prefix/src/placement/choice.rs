//! The choice among the workers that answered a lookup.

use super::Prompt;

/// The answer of a worker's agent to the lookup of a prompt.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CandidateState {
    /// The number of leading blocks of the prompt that are cached or expected to be.
    pub cached_blocks: u32,
    /// The estimated wait before this prompt's prefill begins.
    pub wait_ms: u32,
    /// The time that the prefill of one token takes.
    pub prefill_us_per_token: u32,
    /// Whether the agent would accept the prompt.
    pub takes_work: bool,
}

impl CandidateState {
    /// Returns the number of tokens of the prompt that would have to be computed.
    pub fn missing_tokens(&self, prompt: &Prompt<'_>) -> u64 {
        let cached_tokens = u64::from(self.cached_blocks) * u64::from(prompt.block_tokens);
        prompt.tokens.saturating_sub(cached_tokens)
    }

    /// Returns the estimated time to the first token.
    pub fn first_token_us(&self, prompt: &Prompt<'_>) -> u64 {
        let prefill_us = self.missing_tokens(prompt) * u64::from(self.prefill_us_per_token);
        u64::from(self.wait_ms) * 1_000 + prefill_us
    }

    /// Returns the time to the first token plus half of the prefill time. The addition stands for
    /// the delay of prompts that wait behind this one and for the blocks that it evicts.
    fn cost_us(&self, prompt: &Prompt<'_>) -> u64 {
        let prefill_us = self.missing_tokens(prompt) * u64::from(self.prefill_us_per_token);
        self.first_token_us(prompt) + prefill_us / 2
    }
}

/// Returns the index of the answer with the lowest cost of wait and prefill, or `None` if no agent
/// would accept the prompt. Of equal answers the first one is chosen.
///
/// ```
/// use samphirespread_prefix::{CandidateState, Prompt, choose};
///
/// let prompt = Prompt { blocks: &[], tokens: 4_096, block_tokens: 2_048 };
/// let idle = CandidateState {
///     prefill_us_per_token: 100,
///     takes_work: true,
///     ..CandidateState::default()
/// };
/// let cached = CandidateState { cached_blocks: 2, wait_ms: 300, ..idle };
/// assert_eq!(choose(&prompt, &[idle, cached]), Some(1));
/// assert_eq!(choose(&prompt, &[idle, CandidateState { wait_ms: 700, ..cached }]), Some(0));
/// ```
pub fn choose(prompt: &Prompt<'_>, answers: &[CandidateState]) -> Option<usize> {
    let accepting = answers.iter().enumerate().filter(|(_, answer)| answer.takes_work);
    accepting.min_by_key(|(_, answer)| answer.cost_us(prompt)).map(|(index, _)| index)
}
