//! Lets open requests finish before the router exits, and tells which ones are open.

use std::{
    collections::BTreeMap,
    sync::{
        Arc, Mutex, MutexGuard, OnceLock, PoisonError,
        atomic::{AtomicU8, AtomicU64, Ordering},
    },
};

use samphirespread_core::prelude::*;
use samphirespread_routing::{
    drain::DrainSchedule,
    durations::{Caution, RequestDurations},
};
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

/// Counts the running requests, lists the open ones and holds whether the router is leaving.
#[derive(Debug)]
pub(crate) struct Drain {
    leaving: CancellationToken,
    runs_ended: CancellationToken,
    answers_ended: CancellationToken,
    schedule: OnceLock<DrainSchedule>,
    durations: Mutex<RequestDurations>,
    running: watch::Sender<usize>,
    open: Arc<OpenRequests>,
}

/// The open requests, and their number for those who wait for the last one.
#[derive(Debug)]
struct OpenRequests {
    table: Mutex<OpenTable>,
    count: watch::Sender<usize>,
}

type OpenTable = BTreeMap<RequestId, Arc<OpenState>>;

impl Default for Drain {
    fn default() -> Self {
        Self {
            leaving: CancellationToken::new(),
            runs_ended: CancellationToken::new(),
            answers_ended: CancellationToken::new(),
            schedule: OnceLock::new(),
            durations: Mutex::default(),
            running: watch::Sender::new(0),
            open: Arc::new(OpenRequests { table: Mutex::default(), count: watch::Sender::new(0) }),
        }
    }
}

/// Counts one running request until it is dropped.
#[derive(Debug)]
pub(crate) struct Running(watch::Sender<usize>);

/// How far an open request has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Phase {
    /// Its body is being read, or its admission is being decided.
    Taking,
    /// It runs or waits for a run; no part of the answer has come.
    Running,
    /// A part of the answer has come.
    Answering,
}

impl Phase {
    pub(crate) const ALL: [Self; 3] = [Self::Taking, Self::Running, Self::Answering];

    /// Returns the name for logs and metrics.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            Self::Taking => "taking",
            Self::Running => "running",
            Self::Answering => "answering",
        }
    }
}

/// Lists one request as open until it is dropped.
#[derive(Debug)]
pub(crate) struct OpenRequest {
    id: RequestId,
    state: Arc<OpenState>,
    all: Arc<OpenRequests>,
}

#[derive(Debug)]
struct OpenState {
    arrived: MonoTime,
    phase: AtomicU8,
    pieces: AtomicU64,
    target: OnceLock<Target>,
}

/// What decides how long a request may take.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TimeNeed<'a> {
    pub(crate) route: &'a str,
    /// The bound on its output, or zero for a call of a plain service.
    pub(crate) max_output_tokens: u64,
    /// The longest time that it may take.
    pub(crate) deadline_ms: u64,
}

/// The route and the team of a request, once they are known.
#[derive(Clone, Debug, Default)]
pub(crate) struct Target {
    pub(crate) route: String,
    pub(crate) team: String,
}

/// A request that is open.
#[derive(Clone, Debug)]
pub(crate) struct OpenReport {
    pub(crate) id: RequestId,
    pub(crate) phase: Phase,
    pub(crate) target: Target,
    /// The number of pieces of the answer that have come.
    pub(crate) pieces: u64,
    pub(crate) age_ms: u64,
}

impl Drain {
    /// Counts one more running request.
    pub(crate) fn enter(&self) -> Running {
        self.running.send_modify(|running| *running += 1);
        Running(self.running.clone())
    }

    /// Returns the number of running requests.
    pub(crate) fn running(&self) -> usize {
        *self.running.borrow()
    }

    /// Lists a request as open.
    pub(crate) fn open(&self, id: RequestId, arrived: MonoTime) -> OpenRequest {
        let state = Arc::new(OpenState {
            arrived,
            phase: AtomicU8::new(Phase::Taking as u8),
            pieces: AtomicU64::new(0),
            target: OnceLock::new(),
        });
        self.open.change(|table| drop(table.insert(id, Arc::clone(&state))));
        OpenRequest { id, state, all: Arc::clone(&self.open) }
    }

    /// Returns the number of open requests in each phase.
    pub(crate) fn open_by_phase(&self) -> [(Phase, usize); 3] {
        let table = lock(&self.open.table);
        Phase::ALL
            .map(|phase| (phase, table.values().filter(|state| state.phase() == phase).count()))
    }

    /// Returns the open requests, those that arrived first at the front.
    pub(crate) fn open_requests(&self, now: MonoTime) -> Vec<OpenReport> {
        let mut reports: Vec<_> =
            lock(&self.open.table).iter().map(|(id, state)| state.report(*id, now)).collect();
        reports.sort_by_key(|report| std::cmp::Reverse(report.age_ms));
        reports
    }

    /// Begins the drain. From now on only requests are taken that can end in time.
    pub(crate) fn leave(&self, schedule: DrainSchedule) {
        // Only the first call counts.
        let _ = self.schedule.set(schedule);
        self.leaving.cancel();
    }

    /// Returns whether the router is leaving.
    pub(crate) fn is_leaving(&self) -> bool {
        self.leaving.is_cancelled()
    }

    /// Returns for how long the router has been leaving, or zero.
    pub(crate) fn leaving_ms(&self, now: MonoTime) -> u64 {
        self.schedule.get().map_or(0, |schedule| now.ms_since(schedule.begun))
    }

    /// Returns whether every new request is refused.
    pub(crate) fn refuses_all(&self, now: MonoTime) -> bool {
        self.schedule.get().is_some_and(|schedule| now >= schedule.close_port)
    }

    /// Returns whether a request may run: the router isn't leaving, or the request can end in time.
    pub(crate) fn admits(&self, need: &TimeNeed<'_>, now: MonoTime) -> bool {
        let Some(schedule) = self.schedule.get() else { return true };
        let durations = lock(&self.durations);
        // A caller of this interface can't resume what is cut, so the longest duration counts.
        let (tokens, caution) = (need.max_output_tokens, Caution::Longest);
        let expected_ms = durations.expected_ms(need.route, tokens, caution, now);
        now < schedule.close_port
            && schedule.admits(now, now.plus_ms(need.deadline_ms), expected_ms)
    }

    /// Records how long a request took from its arrival to its end.
    pub(crate) fn record_duration(&self, need: &TimeNeed<'_>, arrived: MonoTime, now: MonoTime) {
        let (took_ms, tokens) = (now.ms_since(arrived), need.max_output_tokens);
        lock(&self.durations).observe(&Arc::from(need.route), took_ms, tokens, now);
    }

    /// Makes every open request end with the answer that can still be given. Their agents are asked
    /// whether they have run.
    pub(crate) fn end_runs(&self) {
        self.runs_ended.cancel();
    }

    /// Makes the requests end that still wait for their agents.
    pub(crate) fn end_answers(&self) {
        self.answers_ended.cancel();
    }

    /// Waits until open requests have to end.
    pub(crate) async fn runs_ended(&self) {
        self.runs_ended.cancelled().await;
    }

    /// Waits until requests may no longer wait for their agents.
    pub(crate) async fn answers_ended(&self) {
        self.answers_ended.cancelled().await;
    }

    /// Waits until no request is open and none is running.
    pub(crate) async fn wait_until_idle(&self) {
        let mut open = self.open.count.subscribe();
        let mut running = self.running.subscribe();
        // The waits can't fail, since `self` keeps the senders alive.
        let _ = open.wait_for(|open| *open == 0).await;
        let _ = running.wait_for(|running| *running == 0).await;
    }
}

impl OpenRequest {
    /// Records the route and the team of the request.
    pub(crate) fn set_target(&self, route: &str, team: &TeamName) {
        // A request has one target, so only the first call counts.
        let _ = self.state.target.set(Target { route: route.to_owned(), team: team.to_string() });
    }

    /// Records that the request was given to a run.
    pub(crate) fn record_run(&self) {
        self.state.phase.store(Phase::Running as u8, Ordering::Relaxed);
    }

    /// Records a piece of the answer.
    pub(crate) fn record_piece(&self) {
        self.state.phase.store(Phase::Answering as u8, Ordering::Relaxed);
        self.state.pieces.fetch_add(1, Ordering::Relaxed);
    }
}

impl OpenState {
    fn phase(&self) -> Phase {
        let phase = self.phase.load(Ordering::Relaxed);
        Phase::ALL[usize::from(phase).min(Phase::ALL.len() - 1)]
    }

    fn report(&self, id: RequestId, now: MonoTime) -> OpenReport {
        OpenReport {
            id,
            phase: self.phase(),
            target: self.target.get().cloned().unwrap_or_default(),
            pieces: self.pieces.load(Ordering::Relaxed),
            age_ms: now.ms_since(self.arrived),
        }
    }
}

impl OpenRequests {
    fn change(&self, change: impl FnOnce(&mut OpenTable)) {
        let mut table = lock(&self.table);
        change(&mut table);
        self.count.send_replace(table.len());
    }
}

fn lock<T>(shared: &Mutex<T>) -> MutexGuard<'_, T> {
    // Each change is a single call, so the value is consistent even after a panic.
    shared.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        self.all.change(|table| drop(table.remove(&self.id)));
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        self.0.send_modify(|running| *running -= 1);
    }
}
