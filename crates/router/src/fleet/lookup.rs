//! Asks a few agents how well they could serve a prompt.

use std::time::Duration;

use futures_util::future::join_all;
use samphirespread_prefix::{Prompt, Standing, choose, sample};
use samphirespread_wire::{
    HelloSource, Pool,
    message::{Lookup, LookupReply, Reply, Request},
};
use tokio::time::timeout;

use super::{Candidate, PromptRef};

// Regions are within this round trip of each other; a slower answer is no use for a first token.
const LOOKUP_TIMEOUT_MS: u64 = 150;

/// The candidate that would give the first token soonest, with what it said.
pub(crate) struct Best<'a> {
    pub(crate) candidate: &'a Candidate,
    pub(crate) reply: Option<LookupReply>,
}

/// Asks all candidates at once and returns the best, or `None` if none would take the prompt.
///
/// One candidate alone is not asked, since the answer would change nothing.
pub(crate) async fn look_up<'a, H: HelloSource>(
    pool: &Pool<H>,
    prompt: &PromptRef<'_>,
    candidates: &'a [Candidate],
) -> Option<Best<'a>> {
    if let [only] = candidates {
        return Some(Best { candidate: only, reply: None });
    }
    let request =
        Request::Lookup(Lookup { sampled: sample(prompt.blocks), prompt_tokens: prompt.tokens });
    let replies = join_all(candidates.iter().map(|candidate| ask(pool, candidate, &request))).await;
    let standings: Vec<Standing> = replies.iter().map(standing).collect();
    let prompt: Prompt<'_> = prompt.as_prompt();
    let best = choose(&prompt, &standings)?;
    Some(Best { candidate: &candidates[best], reply: replies.into_iter().nth(best).flatten() })
}

async fn ask<H: HelloSource>(
    pool: &Pool<H>,
    candidate: &Candidate,
    request: &Request,
) -> Option<LookupReply> {
    let exchange = async {
        let connection = pool.get(&candidate.address).await.ok()?;
        match connection.call(request).await.ok()? {
            Reply::Lookup(reply) => Some(reply),
            _ => None,
        }
    };
    timeout(Duration::from_millis(LOOKUP_TIMEOUT_MS), exchange).await.ok().flatten()
}

fn standing(reply: &Option<LookupReply>) -> Standing {
    let Some(reply) = reply else { return Standing::default() };
    Standing {
        cached_blocks: reply.standing.cached_blocks,
        wait_ms: reply.standing.wait_ms,
        prefill_us_per_token: reply.standing.prefill_us_per_token,
        takes_work: reply.takes_work,
    }
}
