//! Chooses the agent for the next attempt.

use std::time::Duration;

use samphirespread_core::prelude::*;
use samphirespread_dispatch::Event;
use samphirespread_wire::message::Estimate;
use tokio::time::{Instant, sleep, sleep_until};

use super::runner::{Runner, Target};
use crate::fleet::{Candidate, LookupTimeout, PromptRef, Report, look_up};

// Rounds of lookups are repeated for this long while no agent accepts and others are left to ask.
const LOOKUP_ROUNDS_TIMEOUT_MS: u64 = 1_500;
// How long a request that has begun waits for an agent. An engine that crashed is either back
// within seconds or not soon.
const STARTED_REQUEST_WAIT_MS: u64 = 5_000;
const STARTED_REQUEST_POLL_MS: u64 = 100;
const NO_BACKEND_RETRY_AFTER_MS: u32 = 1_000;

impl Runner {
    /// Chooses an agent and makes it the target.
    ///
    /// A request that has not run is refused once every agent was asked. One that may have run
    /// waits, also for agents that failed it, since they may be back soon.
    pub(super) async fn choose(&mut self) -> Event {
        self.exchange = None;
        self.target = None;
        let tried = self.machine.tried().iter();
        let tried = tried.filter(|agent| !self.retryable_agents.contains(agent)).cloned().collect();
        if let Some(agent) = self.ask_in_rounds(tried).await {
            return Event::Chosen { agent };
        }
        if self.machine.may_have_run() {
            return self.wait_for_agent().await;
        }
        Event::NoAgentAvailable { retry_after_ms: NO_BACKEND_RETRY_AFTER_MS }
    }

    async fn wait_for_agent(&mut self) -> Event {
        let give_up = Instant::now() + Duration::from_millis(STARTED_REQUEST_WAIT_MS);
        while Instant::now() < give_up {
            tokio::select! {
                () = sleep(Duration::from_millis(STARTED_REQUEST_POLL_MS)) => {}
                () = self.pieces.closed() => return Event::CallerGone,
                () = sleep_until(self.deadline) => return Event::DeadlinePassed,
            }
            if let Some(agent) = self.ask_in_rounds(Vec::new()).await {
                return Event::Chosen { agent };
            }
        }
        Event::NoAgentAvailable { retry_after_ms: NO_BACKEND_RETRY_AFTER_MS }
    }

    /// Asks the agents that are expected to be best first. While none accepts, asks the others in
    /// further rounds.
    async fn ask_in_rounds(&mut self, mut excluded: Vec<InstanceName>) -> Option<InstanceName> {
        let give_up = Instant::now() + Duration::from_millis(LOOKUP_ROUNDS_TIMEOUT_MS);
        let mut silent = Vec::new();
        while Instant::now() < give_up {
            let candidates = self.candidates(&excluded);
            if candidates.is_empty() {
                break;
            }
            let chosen = self.ask(&candidates, LookupTimeout::Short, &mut silent).await;
            if let Some(agent) = chosen {
                self.suspend(&silent);
                return Some(agent);
            }
            excluded.extend(candidates.into_iter().map(|candidate| candidate.name));
        }
        // If no agent answers in time, a late answer is still better than a refusal.
        let silent_so_far = std::mem::take(&mut silent);
        self.ask(&silent_so_far, LookupTimeout::Long, &mut silent).await
    }

    fn candidates(&self, excluded: &[InstanceName]) -> Vec<Candidate> {
        let now = self.shared.clock.now();
        self.shared.placer.candidates(&self.job.route, &self.prompt(), excluded, now)
    }

    /// Asks these agents in parallel and makes the best one the target.
    async fn ask(
        &mut self,
        candidates: &[Candidate],
        lookup_timeout: LookupTimeout,
        silent: &mut Vec<Candidate>,
    ) -> Option<InstanceName> {
        let found = look_up(&self.shared.pool, &self.prompt(), candidates, lookup_timeout).await;
        silent.extend(found.silent.iter().map(|index| candidates[*index].clone()));
        let now = self.shared.clock.now();
        for answer in &found.answers {
            let report = Report::from(&answer.reply.estimate);
            let agent = &candidates[answer.candidate_index].name;
            self.shared.placer.record_report(&self.job.route, &self.prompt(), agent, report, now);
            self.shared.note_peer_generation(answer.reply.generation);
        }
        let best = candidates.get(found.best?)?;
        if let Some(answer) =
            found.answers.iter().find(|answer| Some(answer.candidate_index) == found.best)
        {
            let cost_ms = prefill_ms(&self.prompt(), &answer.reply.estimate);
            self.shared.placer.record_sent(&self.job.route, &best.name, cost_ms, now);
        }
        self.target = Some(Target {
            candidate: best.clone(),
            connection: None,
            incarnation: Incarnation::default(),
        });
        Some(best.name.clone())
    }

    /// Suspends agents that didn't answer. Another agent has answered, so the cause is not the
    /// network of this router.
    fn suspend(&self, silent: &[Candidate]) {
        for candidate in silent {
            self.shared.placer.suspend(&candidate.name, self.shared.clock.now());
        }
    }
}

/// Returns the time that the agent's engine needs to compute the blocks that it has not cached.
fn prefill_ms(prompt: &PromptRef<'_>, estimate: &Estimate) -> u32 {
    let cached_tokens = u64::from(estimate.cached_blocks) * u64::from(prompt.block_tokens);
    let missing_tokens = prompt.tokens.saturating_sub(cached_tokens);
    let us = missing_tokens.saturating_mul(estimate.prefill_us_per_token.into());
    u32::try_from(us / 1_000).unwrap_or(u32::MAX)
}
