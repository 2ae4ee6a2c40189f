//! Asks a few agents how soon they could serve a prompt, and chooses the best.

use std::time::Duration;

use futures_util::{StreamExt, stream::FuturesUnordered};
use samphirespread_prefix::{CandidateState, Prompt, choose, sample};
use samphirespread_wire::{
    HelloSource, Pool,
    message::{Lookup, LookupReply, Reply, Request},
};
use tokio::time::{Instant, timeout_at};

use super::{Candidate, PromptRef};

// Regions are within this round trip of each other. A slower answer would delay the first token too
// much.
const LOOKUP_TIMEOUT_MS: u64 = 150;
// For a round after which no other agents are left to ask.
const LONG_LOOKUP_TIMEOUT_MS: u64 = 1_000;
// Time that the others have to answer once one agent accepts, so that a frozen agent doesn't delay
// the request.
const WAIT_AFTER_ACCEPT_MS: u64 = 40;

/// How long a round of lookups waits for answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LookupTimeout {
    /// As long as the time to the first token allows.
    Short,
    /// Longer, since no other agents are left to ask.
    Long,
}

/// The result of a round of lookups. Candidates are given by their index in the list.
#[derive(Debug, Default)]
pub(crate) struct Found {
    /// The candidate that would give the first token soonest, if any would take the prompt.
    pub(crate) best: Option<usize>,
    /// The answers that arrived in time.
    pub(crate) answers: Vec<Answer>,
    /// The candidates that failed, and if no agent accepted, those that didn't answer in time.
    pub(crate) silent: Vec<usize>,
}

/// The answer of one candidate.
#[derive(Debug)]
pub(crate) struct Answer {
    pub(crate) candidate_index: usize,
    pub(crate) reply: LookupReply,
}

/// Asks all candidates in parallel and chooses the best by their answers.
///
/// With the short timeout, a single candidate is not asked, since its answer would change nothing.
pub(crate) async fn look_up<H: HelloSource>(
    pool: &Pool<H>,
    prompt: &PromptRef<'_>,
    candidates: &[Candidate],
    lookup_timeout: LookupTimeout,
) -> Found {
    if candidates.len() == 1 && lookup_timeout == LookupTimeout::Short {
        return Found { best: Some(0), ..Found::default() };
    }
    let request =
        Request::Lookup(Lookup { sampled: sample(prompt.blocks), prompt_tokens: prompt.tokens });
    let mut found = ask_all(pool, candidates, &request, lookup_timeout).await;
    let states: Vec<CandidateState> = found.answers.iter().map(candidate_state).collect();
    let prompt: Prompt<'_> = prompt.as_prompt();
    found.best = choose(&prompt, &states).map(|index| found.answers[index].candidate_index);
    found
}

async fn ask_all<H: HelloSource>(
    pool: &Pool<H>,
    candidates: &[Candidate],
    request: &Request,
    lookup_timeout: LookupTimeout,
) -> Found {
    let limit_ms = match lookup_timeout {
        LookupTimeout::Short => LOOKUP_TIMEOUT_MS,
        LookupTimeout::Long => LONG_LOOKUP_TIMEOUT_MS,
    };
    let mut deadline = Instant::now() + Duration::from_millis(limit_ms);
    let mut waiting: Vec<usize> = (0..candidates.len()).collect();
    let mut found = Found::default();
    let mut asked: FuturesUnordered<_> = candidates
        .iter()
        .enumerate()
        .map(|(index, candidate)| async move { (index, ask(pool, candidate, request).await) })
        .collect();
    let mut any_accepted = false;
    while let Ok(Some((candidate_index, reply))) = timeout_at(deadline, asked.next()).await {
        waiting.retain(|other| *other != candidate_index);
        let Some(reply) = reply else {
            found.silent.push(candidate_index);
            continue;
        };
        if reply.takes_work && !any_accepted {
            any_accepted = true;
            deadline = deadline.min(Instant::now() + Duration::from_millis(WAIT_AFTER_ACCEPT_MS));
        }
        found.answers.push(Answer { candidate_index, reply });
    }
    if !any_accepted {
        found.silent.extend(waiting);
    }
    found
}

async fn ask<H: HelloSource>(
    pool: &Pool<H>,
    candidate: &Candidate,
    request: &Request,
) -> Option<LookupReply> {
    let connection = pool.get(&candidate.address).await.ok()?;
    match connection.call(request).await.ok()? {
        Reply::Lookup(reply) => Some(reply),
        _ => None,
    }
}

fn candidate_state(answer: &Answer) -> CandidateState {
    let estimate = &answer.reply.estimate;
    CandidateState {
        cached_blocks: estimate.cached_blocks,
        wait_ms: estimate.wait_ms,
        prefill_us_per_token: estimate.prefill_us_per_token,
        takes_work: answer.reply.takes_work,
    }
}
