//! The choice among looked-up workers.

use super::Prompt;

/// What a worker's agent said about a prompt.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Standing {
    /// Leading blocks of the prompt that are cached.
    pub cached_blocks: u32,
    /// Estimated wait before this prompt's prefill begins.
    pub wait_ms: u32,
    /// Prefill speed.
    pub prefill_us_per_token: u32,
    /// Whether the agent would accept the prompt.
    pub takes_work: bool,
}

impl Standing {
    /// Tokens of the prompt that would have to be computed.
    pub fn missing_tokens(&self, prompt: &Prompt<'_>) -> u64 {
        let cached = u64::from(self.cached_blocks) * u64::from(prompt.block_tokens);
        prompt.tokens.saturating_sub(cached)
    }

    /// Estimated time to the first token.
    pub fn first_token_us(&self, prompt: &Prompt<'_>) -> u64 {
        let prefill_us = self.missing_tokens(prompt) * u64::from(self.prefill_us_per_token);
        u64::from(self.wait_ms) * 1_000 + prefill_us
    }

    /// Time to the first token, with half the prefill once more for the prompts that wait behind it
    /// and for the blocks that it evicts.
    fn cost_us(&self, prompt: &Prompt<'_>) -> u64 {
        let prefill_us = self.missing_tokens(prompt) * u64::from(self.prefill_us_per_token);
        self.first_token_us(prompt) + prefill_us / 2
    }
}

/// The standing with the least cost in wait and prefill of missing tokens, or `None` if no agent
/// would accept. Equal ones go to the one named first.
///
/// ```
/// use samphirespread_prefix::{Prompt, Standing, choose};
///
/// let prompt = Prompt { blocks: &[], tokens: 4_096, block_tokens: 2_048 };
/// let idle = Standing { prefill_us_per_token: 100, takes_work: true, ..Standing::default() };
/// let home = Standing { cached_blocks: 2, wait_ms: 300, ..idle };
/// assert_eq!(choose(&prompt, &[idle, home]), Some(1));
/// assert_eq!(choose(&prompt, &[idle, Standing { wait_ms: 700, ..home }]), Some(0));
/// ```
pub fn choose(prompt: &Prompt<'_>, standings: &[Standing]) -> Option<usize> {
    let accepting = standings.iter().enumerate().filter(|(_, standing)| standing.takes_work);
    accepting.min_by_key(|(_, standing)| standing.cost_us(prompt)).map(|(index, _)| index)
}
