//! The log of one request: a single line when it went well, otherwise every decision on the way.

use std::sync::Arc;

use samphirespread_core::prelude::*;
use samphirespread_logging::event;
use samphirespread_routing::{choice::Estimate, sources::SourceKind};
use slog::{info, warn};

use crate::{answers::NotRun, gateway::Core, metrics::count};

/// Steps kept of one request; later ones are counted only.
const MAX_STEPS: usize = 24;

/// One decision or event of a request.
#[derive(Clone, Debug)]
pub(crate) enum Step {
    /// A backend server was chosen.
    Chose(Choice),
    /// No connection could be opened.
    NoConnection { server: Arc<str>, error: String, avoid_ms: u64 },
    /// The server said that it has not run the request.
    SaidNotRun { server: Arc<str>, status: u16 },
    /// The server failed the request, or its answer was of no use.
    Failed { server: Arc<str>, cause: String, may_repeat: bool },
    /// A repeat was not allowed by the budget.
    BudgetSpent { slack: u64 },
    /// A stream goes on elsewhere after an event.
    Resumes { after: u64 },
    /// Its run is to be moved to another engine.
    Moves { from: Arc<str>, to: Arc<str> },
    /// Its run is to be moved and can't be now.
    Stays { server: Arc<str>, cause: &'static str },
    /// Its run was stopped and goes on from its memory.
    GoesOn { server: Arc<str> },
}

/// A choice of a backend server, and what it rests on.
#[derive(Clone, Debug)]
pub(crate) struct Choice {
    pub(crate) server: Arc<str>,
    pub(crate) candidates: usize,
    pub(crate) near: bool,
    pub(crate) newest: bool,
    /// The weights, where it is an engine.
    pub(crate) version: Option<u64>,
    pub(crate) estimate: Option<Estimate>,
    pub(crate) report_age_ms: Option<u64>,
    pub(crate) list_age_ms: Option<u64>,
}

impl Choice {
    fn expected_ms(&self) -> Option<u64> {
        self.estimate.map(|estimate| whole(estimate.first_event_ms))
    }
}

fn source_name(kind: SourceKind) -> &'static str {
    match kind {
        SourceKind::Store => "store",
        SourceKind::Engine(_) => "engine",
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "an estimate is positive and short"
)]
fn whole(ms: f64) -> u64 {
    ms as u64
}

/// How a request ended.
#[derive(Clone, Debug)]
pub(crate) enum End {
    /// The answer of a backend server was delivered.
    Served { status: u16 },
    /// It was wrong.
    Denied { status: u16, cause: &'static str },
    /// It has not run.
    NotRun { reason: NotRun, retry_after_ms: u64 },
    /// It may have run; the caller was told so.
    Unknown { status: u16, cause: &'static str },
    /// The caller left first.
    CallerGone,
    /// A stream ended early.
    Cut { cause: &'static str },
}

/// The log of one request.
#[derive(Debug)]
pub(crate) struct Story {
    core: Arc<Core>,
    id: String,
    route: Option<Arc<str>>,
    team: Option<TeamName>,
    generation: u64,
    contact_age_ms: u64,
    began: MonoTime,
    /// The server that was sent the request last.
    server: Option<Arc<str>>,
    choice: Option<Choice>,
    first_event: Option<MonoTime>,
    /// What the team's bucket held and the request costs, where that led to a refusal.
    over_quota: Option<(f64, f64)>,
    steps: Vec<(MonoTime, Step)>,
    steps_left_out: usize,
    is_ended: bool,
}

impl Story {
    pub(crate) fn new(core: &Arc<Core>, id: &str, began: MonoTime) -> Self {
        Self {
            core: core.clone(),
            id: id.to_owned(),
            route: None,
            team: None,
            generation: 0,
            contact_age_ms: 0,
            began,
            server: None,
            choice: None,
            first_event: None,
            over_quota: None,
            steps: Vec::new(),
            steps_left_out: 0,
            is_ended: false,
        }
    }

    /// Notes what the decision on the request rests on.
    pub(crate) fn rests_on(&mut self, generation: u64, contact_age_ms: u64) {
        self.generation = generation;
        self.contact_age_ms = contact_age_ms;
    }

    pub(crate) fn granted(&mut self, route: &Arc<str>, team: Option<&TeamName>) {
        self.route = Some(route.clone());
        self.team = team.cloned();
    }

    pub(crate) fn step(&mut self, at: MonoTime, step: Step) {
        match &step {
            Step::Chose(choice) => {
                self.server = Some(choice.server.clone());
                self.choice = Some(choice.clone());
            }
            Step::GoesOn { server } => self.server = Some(server.clone()),
            _ => {}
        }
        if self.steps.len() < MAX_STEPS {
            self.steps.push((at, step));
        } else {
            self.steps_left_out += 1;
        }
    }

    pub(crate) fn first_event(&mut self, at: MonoTime) {
        self.first_event.get_or_insert(at);
    }

    /// Notes why the quota did not let the request in.
    pub(crate) fn over_quota(&mut self, level: f64, cost: f64) {
        self.over_quota = Some((level, cost));
    }

    /// Time from the request to its first event.
    pub(crate) fn first_event_ms(&self) -> Option<u64> {
        self.first_event.map(|at| at.ms_since(self.began))
    }

    /// Writes the end of the request to log and metrics.
    pub(crate) fn end(&mut self, end: &End, is_late: bool) {
        if std::mem::replace(&mut self.is_ended, true) {
            return;
        }
        let now = self.core.now();
        self.count(end, is_late);
        let is_calm = matches!(end, End::Served { .. }) && self.steps.len() <= 1 && !is_late;
        if !is_calm {
            self.write_steps();
        }
        self.write_end(now, end, is_late);
    }

    fn count(&self, end: &End, is_late: bool) {
        let metrics = &self.core.metrics;
        let cause = match end {
            End::Served { .. } if is_late => "served_late",
            End::Served { .. } => "served",
            End::Denied { .. } => "denied",
            End::NotRun { reason, .. } => {
                count(&metrics.not_run, reason.name());
                "not_run"
            }
            End::Unknown { .. } => "unknown",
            End::CallerGone => "caller_gone",
            End::Cut { .. } => "cut",
        };
        count(&metrics.ended, cause);
    }

    fn write_end(&self, now: MonoTime, end: &End, is_late: bool) {
        let took_ms = now.ms_since(self.began);
        let (outcome, detail, status, retry_after_ms) = match end {
            End::Served { status } => ("served", "", *status, None),
            End::Denied { status, cause } => ("denied", *cause, *status, None),
            End::NotRun { reason, retry_after_ms } => {
                ("not_run", reason.name(), 0, Some(*retry_after_ms))
            }
            End::Unknown { status, cause } => ("unknown", *cause, *status, None),
            End::CallerGone => ("caller_gone", "", 0, None),
            End::Cut { cause } => ("cut", *cause, 0, None),
        };
        let estimate = self.choice.as_ref().and_then(|choice| choice.estimate);
        info!(self.core.log, "{}", event::REQUEST_ENDED; "request" => &self.id, "outcome" => outcome,
            "cause" => detail, "status" => status, "retry_after_ms" => retry_after_ms,
            "route" => self.route.as_deref(), "team" => self.team.as_ref().map(TeamName::as_str),
            "server" => self.server.as_deref(),
            "version" => self.choice.as_ref().and_then(|choice| choice.version),
            "expected_ms" => self.choice.as_ref().and_then(Choice::expected_ms),
            "reading_tokens" => estimate.map(|estimate| estimate.read_tokens),
            "fetches" => estimate.and_then(|estimate| estimate.expected_source).map(source_name),
            "generation" => self.generation, "contact_age_ms" => self.contact_age_ms,
            "first_event_ms" => self.first_event_ms(), "took_ms" => took_ms, "late" => is_late,
            "quota_level" => self.over_quota.map(|(level, _)| level.round()),
            "quota_cost" => self.over_quota.map(|(_, cost)| cost),
            "steps" => self.steps.len() + self.steps_left_out);
    }

    fn write_steps(&self) {
        for (at, step) in &self.steps {
            let at_ms = at.ms_since(self.began);
            match step {
                Step::Chose(choice) => {
                    info!(self.core.log, "{}", event::SERVER_CHOSEN; "request" => &self.id, "at_ms" => at_ms,
                        "server" => &*choice.server, "candidates" => choice.candidates,
                        "near" => choice.near, "newest" => choice.newest,
                        "version" => choice.version, "expected_ms" => choice.expected_ms(),
                        "cost_ms" => choice.estimate.map(|estimate| whole(estimate.cost_ms)),
                        "report_age_ms" => choice.report_age_ms,
                        "list_age_ms" => choice.list_age_ms);
                }
                Step::NoConnection { server, error, avoid_ms } => {
                    warn!(self.core.log, "{}", event::NO_CONNECTION; "request" => &self.id, "at_ms" => at_ms,
                        "server" => &**server, "error" => error, "avoid_ms" => avoid_ms);
                }
                Step::SaidNotRun { server, status } => {
                    info!(self.core.log, "{}", event::SERVER_REFUSED; "request" => &self.id, "at_ms" => at_ms,
                        "server" => &**server, "status" => status);
                }
                Step::Failed { server, cause, may_repeat } => {
                    warn!(self.core.log, "{}", event::SERVER_FAILED; "request" => &self.id, "at_ms" => at_ms,
                        "server" => &**server, "cause" => cause, "may_repeat" => may_repeat);
                }
                Step::BudgetSpent { slack } => {
                    info!(self.core.log, "{}", event::BUDGET_SPENT; "request" => &self.id,
                        "at_ms" => at_ms, "slack" => slack);
                }
                Step::Moves { from, to } => {
                    info!(self.core.log, "{}", event::RUN_MOVES; "request" => &self.id,
                        "at_ms" => at_ms, "server" => &**from, "to" => &**to);
                }
                Step::Stays { server, cause } => {
                    info!(self.core.log, "{}", event::RUN_STAYS; "request" => &self.id,
                        "at_ms" => at_ms, "server" => &**server, "cause" => cause);
                }
                Step::GoesOn { server } => {
                    info!(self.core.log, "{}", event::RUN_GOES_ON; "request" => &self.id,
                        "at_ms" => at_ms, "server" => &**server);
                }
                Step::Resumes { after } => {
                    info!(self.core.log, "{}", event::STREAM_RESUMES; "request" => &self.id, "at_ms" => at_ms,
                        "after_event" => after);
                }
            }
        }
    }
}

impl Drop for Story {
    /// A request that is dropped before its end is one whose caller closed the connection.
    fn drop(&mut self) {
        self.end(&End::CallerGone, false);
    }
}
