//! Chooses the agent of the next attempt.

use std::time::Duration;

use samphirespread_core::prelude::*;
use samphirespread_dispatch::Event;
use samphirespread_wire::message::Standing;
use tokio::time::{Instant, sleep, sleep_until};

use super::runner::{Runner, Target};
use crate::fleet::{Candidate, LookupPace, PromptRef, Report, look_up};

// Rounds of lookups go on for this long while agents stay silent and others are left to ask.
const CHOOSE_LIMIT_MS: u64 = 1_500;
// An engine that crashed is back within seconds, or not soon.
const BEGUN_WAIT_MS: u64 = 5_000;
const BEGUN_POLL_MS: u64 = 100;
const NO_BACKEND_RETRY_AFTER_MS: u32 = 1_000;

impl Runner {
    /// Chooses an agent and makes it the target.
    ///
    /// A request that has not run gets its refusal once every agent was asked. One that has begun
    /// waits, also for agents that failed it, which may be back soon.
    pub(super) async fn choose(&mut self) -> Event {
        self.exchange = None;
        self.target = None;
        let tried = self.machine.tried().iter();
        let tried = tried.filter(|agent| !self.forgiven.contains(agent)).cloned().collect();
        if let Some(agent) = self.ask_in_rounds(tried).await {
            return Event::Chosen { agent };
        }
        if self.machine.may_have_run() {
            return self.wait_for_an_agent().await;
        }
        Event::NoAgentAvailable { retry_after_ms: NO_BACKEND_RETRY_AFTER_MS }
    }

    async fn wait_for_an_agent(&mut self) -> Event {
        let give_up = Instant::now() + Duration::from_millis(BEGUN_WAIT_MS);
        while Instant::now() < give_up {
            tokio::select! {
                () = sleep(Duration::from_millis(BEGUN_POLL_MS)) => {}
                () = self.pieces.closed() => return Event::CallerGone,
                () = sleep_until(self.deadline) => return Event::DeadlinePassed,
            }
            if let Some(agent) = self.ask_in_rounds(Vec::new()).await {
                return Event::Chosen { agent };
            }
        }
        Event::NoAgentAvailable { retry_after_ms: NO_BACKEND_RETRY_AFTER_MS }
    }

    /// Asks the best guesses first and then, while nobody accepts, all others in turn.
    async fn ask_in_rounds(&mut self, mut passed_over: Vec<InstanceName>) -> Option<InstanceName> {
        let give_up = Instant::now() + Duration::from_millis(CHOOSE_LIMIT_MS);
        let mut silent = Vec::new();
        while Instant::now() < give_up {
            let candidates = self.candidates(&passed_over);
            if candidates.is_empty() {
                break;
            }
            let round = self.ask(&candidates, LookupPace::Prompt, &mut silent).await;
            if let Some(agent) = round {
                self.suspend(&silent);
                return Some(agent);
            }
            passed_over.extend(candidates.into_iter().map(|candidate| candidate.name));
        }
        // When nobody answers in time, a late answer still beats a refusal.
        let late = std::mem::take(&mut silent);
        self.ask(&late, LookupPace::Late, &mut silent).await
    }

    fn candidates(&self, passed_over: &[InstanceName]) -> Vec<Candidate> {
        let now = self.shared.clock.now();
        self.shared.placer.candidates(&self.job.route, &self.prompt(), passed_over, now)
    }

    /// Asks these agents at once, and makes the best one the target.
    async fn ask(
        &mut self,
        candidates: &[Candidate],
        pace: LookupPace,
        silent: &mut Vec<Candidate>,
    ) -> Option<InstanceName> {
        let found = look_up(&self.shared.pool, &self.prompt(), candidates, pace).await;
        silent.extend(found.silent.iter().map(|place| candidates[*place].clone()));
        let now = self.shared.clock.now();
        for answer in &found.answers {
            let report = Report::from(&answer.reply.standing);
            let agent = &candidates[answer.place].name;
            self.shared.placer.learn(&self.job.route, &self.prompt(), agent, report, now);
            self.shared.note_peer_generation(answer.reply.generation);
        }
        let best = candidates.get(found.best?)?;
        if let Some(answer) = found.answers.iter().find(|answer| Some(answer.place) == found.best) {
            let cost_ms = prefill_ms(&self.prompt(), &answer.reply.standing);
            self.shared.placer.note_sent(&self.job.route, &best.name, cost_ms, now);
        }
        self.target = Some(Target {
            candidate: best.clone(),
            connection: None,
            incarnation: Incarnation::default(),
        });
        Some(best.name.clone())
    }

    // Others have answered, so it is not the network of this router that is slow.
    fn suspend(&self, silent: &[Candidate]) {
        for candidate in silent {
            self.shared.placer.suspend(&candidate.name, self.shared.clock.now());
        }
    }
}

/// Time that the agent's engine will spend on the blocks that it lacks.
fn prefill_ms(prompt: &PromptRef<'_>, standing: &Standing) -> u32 {
    let cached_tokens = u64::from(standing.cached_blocks) * u64::from(prompt.block_tokens);
    let missing_tokens = prompt.tokens.saturating_sub(cached_tokens);
    let us = missing_tokens.saturating_mul(standing.prefill_us_per_token.into());
    u32::try_from(us / 1_000).unwrap_or(u32::MAX)
}
