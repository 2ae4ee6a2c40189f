//! Asks a few agents how well they could serve a prompt.

use std::time::Duration;

use futures_util::{StreamExt, stream::FuturesUnordered};
use samphirespread_prefix::{CandidateState, Prompt, choose, sample};
use samphirespread_wire::{
    HelloSource, Pool,
    message::{Lookup, LookupReply, Reply, Request},
};
use tokio::time::{Instant, timeout_at};

use super::{Candidate, PromptRef};

// Regions are within this round trip of each other; a slower answer is no use for a first token.
const LOOKUP_TIMEOUT_MS: u64 = 150;
// For a round in which nobody else is left to ask.
const LATE_LOOKUP_TIMEOUT_MS: u64 = 1_000;
// Once one agent accepts, the others have this long, so that one that is frozen delays nobody.
const GRACE_MS: u64 = 40;

/// How long answers are waited for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LookupPace {
    /// As long as a good first token allows.
    Prompt,
    /// Longer, since there is nobody else.
    Late,
}

/// What a round of lookups found. Places are those of the candidates.
#[derive(Debug, Default)]
pub(crate) struct Found {
    /// The candidate that would give the first token soonest, if any would take the prompt.
    pub(crate) best: Option<usize>,
    /// The answers.
    pub(crate) answers: Vec<Answer>,
    /// Candidates that gave no answer for the whole time.
    pub(crate) silent: Vec<usize>,
}

/// What one candidate answered.
#[derive(Debug)]
pub(crate) struct Answer {
    pub(crate) place: usize,
    pub(crate) reply: LookupReply,
}

/// Asks all candidates at once and weighs their answers.
///
/// One candidate alone is not asked in a prompt round, since the answer would change nothing.
pub(crate) async fn look_up<H: HelloSource>(
    pool: &Pool<H>,
    prompt: &PromptRef<'_>,
    candidates: &[Candidate],
    pace: LookupPace,
) -> Found {
    if candidates.len() == 1 && pace == LookupPace::Prompt {
        return Found { best: Some(0), ..Found::default() };
    }
    let request =
        Request::Lookup(Lookup { sampled: sample(prompt.blocks), prompt_tokens: prompt.tokens });
    let mut found = ask_all(pool, candidates, &request, pace).await;
    let standings: Vec<CandidateState> = found.answers.iter().map(standing).collect();
    let prompt: Prompt<'_> = prompt.as_prompt();
    found.best = choose(&prompt, &standings).map(|index| found.answers[index].place);
    found
}

async fn ask_all<H: HelloSource>(
    pool: &Pool<H>,
    candidates: &[Candidate],
    request: &Request,
    pace: LookupPace,
) -> Found {
    let limit_ms = match pace {
        LookupPace::Prompt => LOOKUP_TIMEOUT_MS,
        LookupPace::Late => LATE_LOOKUP_TIMEOUT_MS,
    };
    let mut deadline = Instant::now() + Duration::from_millis(limit_ms);
    let mut waiting: Vec<usize> = (0..candidates.len()).collect();
    let mut found = Found::default();
    let mut asked: FuturesUnordered<_> = candidates
        .iter()
        .enumerate()
        .map(|(place, candidate)| async move { (place, ask(pool, candidate, request).await) })
        .collect();
    let mut in_grace = false;
    while let Ok(Some((place, reply))) = timeout_at(deadline, asked.next()).await {
        waiting.retain(|other| *other != place);
        let Some(reply) = reply else {
            found.silent.push(place);
            continue;
        };
        if reply.takes_work && !in_grace {
            in_grace = true;
            deadline = deadline.min(Instant::now() + Duration::from_millis(GRACE_MS));
        }
        found.answers.push(Answer { place, reply });
    }
    if !in_grace {
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

fn standing(answer: &Answer) -> CandidateState {
    let standing = &answer.reply.estimate;
    CandidateState {
        cached_blocks: standing.cached_blocks,
        wait_ms: standing.wait_ms,
        prefill_us_per_token: standing.prefill_us_per_token,
        takes_work: answer.reply.takes_work,
    }
}
