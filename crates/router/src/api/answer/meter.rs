//! Counts the tokens of an answer and settles the team's reservation.

use std::sync::Arc;

use samphirespread_core::prelude::*;
use samphirespread_dispatch::Outcome;

use crate::{
    drain::{OpenRequest, TimeNeed},
    limits::Grant,
    metrics::{AnswerLabels, TeamLabels},
    run::{Ending, Piece},
    state::Shared,
};

/// Measures one answer. When it is dropped, the prompt and the output delivered so far count as
/// used, unless the request is known not to have run.
pub(crate) struct Meter {
    shared: Arc<Shared>,
    team: TeamName,
    route: String,
    arrived: MonoTime,
    open: OpenRequest,
    first_piece_seen: bool,
    output_tokens: u64,
    max_output_tokens: u64,
    reserved_prompt_tokens: u64,
    grant: Option<Grant>,
}

impl Meter {
    /// Measures the answer to a request that is about to run.
    pub(crate) fn new(
        shared: Arc<Shared>,
        team: TeamName,
        route: String,
        arrived: MonoTime,
        open: OpenRequest,
    ) -> Self {
        open.record_run();
        Self {
            shared,
            team,
            route,
            arrived,
            open,
            first_piece_seen: false,
            output_tokens: 0,
            max_output_tokens: 0,
            reserved_prompt_tokens: 0,
            grant: None,
        }
    }

    /// Sets the bound on the answer's output.
    pub(crate) fn with_output_bound(mut self, max_output_tokens: u64) -> Self {
        self.max_output_tokens = max_output_tokens;
        self
    }

    /// Adds the reservation that is settled when the answer ends.
    pub(crate) fn with_grant(mut self, grant: Grant, prompt_tokens: u64) -> Self {
        self.grant = Some(grant);
        self.reserved_prompt_tokens = prompt_tokens;
        self
    }

    /// Counts the output tokens of a piece, and records the time to the first piece.
    pub(crate) fn record_piece(&mut self, piece: &Piece) {
        if let Piece::Lines(lines) = piece {
            self.output_tokens += lines.iter().map(|line| u64::from(line.tokens)).sum::<u64>();
        }
        if matches!(piece, Piece::End(_)) {
            return;
        }
        self.open.record_piece();
        if self.first_piece_seen {
            return;
        }
        self.first_piece_seen = true;
        let waited_us = self.shared.clock.now().us_since(self.arrived);
        self.shared.metrics.first_token_seconds.observe(waited_us as f64 / 1e6);
    }

    /// Updates the metrics at the end of an answer.
    pub(crate) fn end(&mut self, ending: &Ending, code: &'static str) {
        let labels = AnswerLabels {
            team: self.team.to_string(),
            route: self.route.clone(),
            code: code.to_owned(),
        };
        self.shared.metrics.answers.get_or_create(&labels).inc();
        let team = TeamLabels { team: self.team.to_string() };
        let metrics = &self.shared.metrics;
        metrics.prompt_tokens.get_or_create(&team).inc_by(ending.finished.prompt_tokens);
        metrics.cached_tokens.get_or_create(&team).inc_by(ending.finished.cached_tokens);
        metrics.output_tokens.get_or_create(&team).inc_by(self.output_tokens);
        if let Outcome::NotRun { .. } = ending.outcome {
            self.settle(0);
        }
    }

    fn settle(&mut self, used_tokens: u64) {
        if let Some(grant) = self.grant.take() {
            grant.settle(used_tokens);
        }
    }
}

impl Drop for Meter {
    fn drop(&mut self) {
        self.settle(self.reserved_prompt_tokens + self.output_tokens);
        if self.first_piece_seen {
            let need = TimeNeed {
                route: &self.route,
                max_output_tokens: self.max_output_tokens,
                deadline_ms: self.shared.settings.request.deadline_ms,
            };
            self.shared.drain.record_duration(&need, self.arrived, self.shared.clock.now());
        }
    }
}
