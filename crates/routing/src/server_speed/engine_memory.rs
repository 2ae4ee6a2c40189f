//! Engines whose memory a long prompt would fill.

use crate::choice::{EngineView, MAX_MEMORY_FILL, Work};

/// Prompts from this length on are long. It is well above the prompts of interactive requests (about
/// 800 tokens), which engines can place until their memory is nearly full.
const MIN_LONG_PROMPT_TOKENS: u64 = 2_000;

/// Whether a long prompt would fill the engine's memory so far that the engine preempts running
/// requests. What was sent since the engine's last report counts as used.
///
/// This holds only for engines that state their pace.
pub(crate) fn is_full_for(view: &EngineView, work: &Work) -> bool {
    let is_long = work.prompt_tokens >= MIN_LONG_PROMPT_TOKENS;
    let filled_tokens = view.used_tokens.saturating_add(work.footprint_tokens);
    view.pace.is_some() && is_long && exceeds(filled_tokens, view.memory_tokens)
}

#[expect(clippy::cast_precision_loss, reason = "token counts are far below 2^52")]
fn exceeds(filled_tokens: u64, memory_tokens: u64) -> bool {
    filled_tokens as f64 > MAX_MEMORY_FILL * memory_tokens as f64
}
