//! Logs one request: a single line if it was served without trouble, otherwise also each of its
//! steps.

use std::sync::Arc;

use samphirespread_core::prelude::*;
use samphirespread_logging::event;
use samphirespread_routing::{choice::Estimate, sources::SourceKind, stopping::Try};
use slog::{info, warn};

use crate::{answers::NotRun, drain::CUT_BY_DRAIN, gateway::Core, metrics::count};

/// Maximum number of steps kept for one request; later ones are only counted.
const MAX_STEPS: usize = 24;

/// One decision or event of a request.
#[derive(Clone, Debug)]
pub(crate) enum Step {
    /// A backend server was chosen.
    Chose(Choice),
    /// No connection to the server could be opened.
    NoConnection { server: Arc<str>, error: String, avoid_ms: u64 },
    /// The server answered that it has not run the request.
    Refused { server: Arc<str>, status: u16 },
    /// The server broke off, or its answer was unusable.
    Failed { server: Arc<str>, cause: String, may_repeat: bool },
    /// The retry budget did not allow another send.
    BudgetSpent { slack: u64 },
    /// The caller takes up the stream that began with the request `resumes`, after the event with this
    /// id.
    TakenUp { resumes: Option<String>, after: u64 },
    /// The stream is resumed at another server after the event with this id.
    StreamResumed { after: u64 },
    /// A move of the request's run to another engine has begun.
    MoveStarted { from: Arc<str>, to: Arc<str> },
    /// The request's run is to be moved but can't be now.
    MoveDeferred { server: Arc<str>, cause: &'static str },
    /// No engine continued the run that this router has stopped.
    StoppedRunLeft(LeftRun),
    /// The request's stopped run is continued from a copy of its memory.
    RunContinued { server: Arc<str> },
}

/// A run that this router has stopped and that no engine continued.
#[derive(Clone, Debug)]
pub(crate) struct LeftRun {
    /// The engine that stopped it.
    pub(crate) source: Arc<str>,
    /// The engine that was to continue it.
    pub(crate) destination: Arc<str>,
    /// The engines that refused to continue it, separated by commas.
    pub(crate) refused: String,
    /// Why the stream can't be resumed by a new run; `None` if it can.
    pub(crate) obstacle: Option<RunObstacle>,
}

/// Why the stream of a stopped run was not resumed by a new run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RunObstacle {
    /// The request has had as many runs as its route allows.
    RunsUsedUp,
    /// The request was sent as often as a request may be.
    SendsUsedUp,
    /// The deadline is too near.
    NoTimeLeft,
    /// A new run was tried. This is why it did not begin.
    NotBegun(&'static str),
    /// A server answered the new run with something else than the rest of the stream.
    WrongAnswer,
}

impl RunObstacle {
    /// Whether a new run may begin later.
    pub(crate) fn as_try(self) -> Try {
        match self {
            Self::NotBegun("no other server" | "retry budget" | "crash cause") => Try::NotYet,
            _ => Try::Never,
        }
    }

    /// Its name in metrics.
    fn name(self) -> &'static str {
        match self {
            Self::RunsUsedUp => "runs_used_up",
            Self::SendsUsedUp => "sends_used_up",
            Self::NoTimeLeft => "no_time_left",
            Self::WrongAnswer => "wrong_answer",
            Self::NotBegun("retry budget") => "retry_budget",
            Self::NotBegun("no other server") => "no_server",
            Self::NotBegun("too many sends") => "too_many_sends",
            Self::NotBegun("crash cause") => "crash_cause",
            Self::NotBegun("deadline") => "deadline",
            Self::NotBegun("timeout") => "timeout",
            Self::NotBegun(_) => "server_failed",
        }
    }

    /// Its name as the cause of a stream's end.
    fn cut_cause(self) -> &'static str {
        match self.name() {
            "runs_used_up" => "stopped run lost: the route allows no other run",
            "sends_used_up" | "too_many_sends" => "stopped run lost: too many sends",
            "no_time_left" | "deadline" => "stopped run lost: no time left",
            "wrong_answer" => "stopped run lost: wrong answer",
            "retry_budget" => "stopped run lost: retry budget",
            "no_server" => "stopped run lost: no other server",
            "crash_cause" => "stopped run lost: crash cause",
            "timeout" => "stopped run lost: timeout",
            _ => "stopped run lost: the server broke off",
        }
    }
}

/// The choice of a backend server and the data behind it.
#[derive(Clone, Debug)]
pub(crate) struct Choice {
    pub(crate) server: Arc<str>,
    /// The version of its software.
    pub(crate) software: Arc<str>,
    pub(crate) candidates: usize,
    pub(crate) near: bool,
    pub(crate) newest: bool,
    /// The version of the weights, if the server is an engine.
    pub(crate) version: Option<u64>,
    pub(crate) estimate: Option<Estimate>,
    pub(crate) report_age_ms: Option<u64>,
    pub(crate) list_age_ms: Option<u64>,
}

impl Choice {
    fn expected_ms(&self) -> Option<u64> {
        self.estimate.map(|estimate| whole_ms(estimate.first_event_ms))
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
fn whole_ms(ms: f64) -> u64 {
    ms as u64
}

/// How a request ended.
#[derive(Clone, Debug)]
pub(crate) enum Outcome {
    /// The answer of a backend server was delivered.
    Served { status: u16 },
    /// The request was invalid or not permitted.
    Denied { status: u16, cause: &'static str },
    /// The request has not run.
    NotRun { reason: NotRun, retry_after_ms: u64 },
    /// The request may have run; the caller was told that its outcome is unknown.
    Unknown { status: u16, cause: &'static str },
    /// The caller closed the connection before the end.
    CallerGone,
    /// The stream ended before its last event.
    Cut { cause: &'static str },
    /// The stream ended before its last event, as this router had stopped its run and no other run
    /// followed.
    StoppedRunLost { obstacle: RunObstacle },
}

/// Collects what one request's log lines contain, and writes them when the request ends.
#[derive(Debug)]
pub(crate) struct RequestLog {
    core: Arc<Core>,
    id: String,
    route: Option<Arc<str>>,
    team: Option<TeamName>,
    generation: u64,
    contact_age_ms: u64,
    arrival: MonoTime,
    /// The server that was chosen last.
    server: Option<Arc<str>>,
    choice: Option<Choice>,
    first_event: Option<MonoTime>,
    /// The level of the team's quota bucket and the cost of the request, if that led to a refusal.
    over_quota: Option<(f64, f64)>,
    steps: Vec<(MonoTime, Step)>,
    dropped_steps: usize,
    is_ended: bool,
}

impl RequestLog {
    pub(crate) fn new(core: &Arc<Core>, id: &str, arrival: MonoTime) -> Self {
        core.drain.open_request();
        if core.drain.has_begun() {
            core.metrics.drain_arrivals.inc();
        }
        Self {
            core: core.clone(),
            id: id.to_owned(),
            route: None,
            team: None,
            generation: 0,
            contact_age_ms: 0,
            arrival,
            server: None,
            choice: None,
            first_event: None,
            over_quota: None,
            steps: Vec::new(),
            dropped_steps: 0,
            is_ended: false,
        }
    }

    /// Records which configuration decides on the request, and how long ago the store confirmed it.
    pub(crate) fn set_configuration(&mut self, generation: u64, contact_age_ms: u64) {
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
            Step::RunContinued { server } => self.server = Some(server.clone()),
            _ => {}
        }
        if self.steps.len() < MAX_STEPS {
            self.steps.push((at, step));
        } else {
            self.dropped_steps += 1;
        }
    }

    pub(crate) fn first_event(&mut self, at: MonoTime) {
        self.first_event.get_or_insert(at);
    }

    /// Records why the quota did not admit the request.
    pub(crate) fn over_quota(&mut self, level: f64, cost: f64) {
        self.over_quota = Some((level, cost));
    }

    /// Time from the request's arrival to the first event of its answer.
    pub(crate) fn first_event_ms(&self) -> Option<u64> {
        self.first_event.map(|at| at.ms_since(self.arrival))
    }

    /// Writes the outcome of the request to the log and the metrics. Only the first call has an
    /// effect.
    pub(crate) fn end(&mut self, outcome: &Outcome, is_late: bool) {
        if std::mem::replace(&mut self.is_ended, true) {
            return;
        }
        self.core.drain.close_request();
        let now = self.core.now();
        let is_cut_by_drain = matches!(outcome, Outcome::CallerGone) && self.core.drain.has_ended();
        let outcome = if is_cut_by_drain { &Outcome::Cut { cause: CUT_BY_DRAIN } } else { outcome };
        if let Outcome::Cut { cause: CUT_BY_DRAIN } | Outcome::Unknown { cause: CUT_BY_DRAIN, .. } =
            outcome
        {
            self.core.drain.count_cut();
        }
        self.count(outcome, is_late);
        let is_uneventful =
            matches!(outcome, Outcome::Served { .. }) && self.steps.len() <= 1 && !is_late;
        if !is_uneventful {
            self.write_steps();
        }
        self.write_end(now, outcome, is_late);
    }

    fn count(&self, outcome: &Outcome, is_late: bool) {
        let metrics = &self.core.metrics;
        let cause = match outcome {
            Outcome::Served { .. } if is_late => "served_late",
            Outcome::Served { .. } => "served",
            Outcome::Denied { .. } => "denied",
            Outcome::NotRun { reason, .. } => {
                count(&metrics.not_run, reason.name());
                "not_run"
            }
            Outcome::Unknown { .. } => "unknown",
            Outcome::CallerGone => "caller_gone",
            Outcome::Cut { .. } => "cut",
            Outcome::StoppedRunLost { obstacle } => {
                count(&metrics.stopped_runs_lost, obstacle.name());
                "cut"
            }
        };
        count(&metrics.ended, cause);
    }

    fn write_end(&self, now: MonoTime, outcome: &Outcome, is_late: bool) {
        let took_ms = now.ms_since(self.arrival);
        let (name, detail, status, retry_after_ms) = match outcome {
            Outcome::Served { status } => ("served", "", *status, None),
            Outcome::Denied { status, cause } => ("denied", *cause, *status, None),
            Outcome::NotRun { reason, retry_after_ms } => {
                ("not_run", reason.name(), 0, Some(*retry_after_ms))
            }
            Outcome::Unknown { status, cause } => ("unknown", *cause, *status, None),
            Outcome::CallerGone => ("caller_gone", "", 0, None),
            Outcome::Cut { cause } => ("cut", *cause, 0, None),
            Outcome::StoppedRunLost { obstacle } => ("cut", obstacle.cut_cause(), 0, None),
        };
        let estimate = self.choice.as_ref().and_then(|choice| choice.estimate);
        info!(self.core.log, "{}", event::REQUEST_ENDED; "request" => &self.id, "outcome" => name,
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
            "steps" => self.steps.len() + self.dropped_steps);
    }

    fn write_steps(&self) {
        for (at, step) in &self.steps {
            let at_ms = at.ms_since(self.arrival);
            match step {
                Step::Chose(choice) => {
                    info!(self.core.log, "{}", event::SERVER_CHOSEN; "request" => &self.id, "at_ms" => at_ms,
                        "server" => &*choice.server, "software" => &*choice.software,
                        "candidates" => choice.candidates,
                        "near" => choice.near, "newest" => choice.newest,
                        "version" => choice.version, "expected_ms" => choice.expected_ms(),
                        "cost_ms" => choice.estimate.map(|estimate| whole_ms(estimate.cost_ms)),
                        "report_age_ms" => choice.report_age_ms,
                        "list_age_ms" => choice.list_age_ms);
                }
                Step::NoConnection { server, error, avoid_ms } => {
                    warn!(self.core.log, "{}", event::NO_CONNECTION; "request" => &self.id, "at_ms" => at_ms,
                        "server" => &**server, "error" => error, "avoid_ms" => avoid_ms);
                }
                Step::Refused { server, status } => {
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
                Step::MoveStarted { from, to } => {
                    info!(self.core.log, "{}", event::RUN_MOVES; "request" => &self.id,
                        "at_ms" => at_ms, "server" => &**from, "to" => &**to);
                }
                Step::MoveDeferred { server, cause } => {
                    info!(self.core.log, "{}", event::RUN_STAYS; "request" => &self.id,
                        "at_ms" => at_ms, "server" => &**server, "cause" => cause);
                }
                Step::RunContinued { server } => {
                    info!(self.core.log, "{}", event::RUN_GOES_ON; "request" => &self.id,
                        "at_ms" => at_ms, "server" => &**server);
                }
                Step::StoppedRunLeft(run) => {
                    warn!(self.core.log, "{}", event::STOPPED_RUN_LEFT; "request" => &self.id,
                        "at_ms" => at_ms, "server" => &*run.source, "to" => &*run.destination,
                        "refused" => &run.refused, "resumes" => run.obstacle.is_none(),
                        "cause" => run.obstacle.map(RunObstacle::name));
                }
                Step::TakenUp { resumes, after } => {
                    info!(self.core.log, "{}", event::STREAM_TAKEN_UP; "request" => &self.id,
                        "at_ms" => at_ms, "resumes" => resumes.as_deref(), "after_event" => after);
                }
                Step::StreamResumed { after } => {
                    info!(self.core.log, "{}", event::STREAM_RESUMES; "request" => &self.id, "at_ms" => at_ms,
                        "after_event" => after);
                }
            }
        }
    }
}

impl Drop for RequestLog {
    /// A request that is dropped before its end is one whose caller closed the connection, unless
    /// the drain has ended, which closes all connections.
    fn drop(&mut self) {
        self.end(&Outcome::CallerGone, false);
    }
}
