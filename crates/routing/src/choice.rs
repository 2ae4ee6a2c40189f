//! Choice of the backend server for one request.
//!
//! The cost of a server is the estimated time to the first event of the response, plus penalties
//! for side effects of choosing it, all in milliseconds. The server with the lowest cost is chosen.
//! An engine "reads" a prompt when it computes the prompt's cached state (prefill). Running time:
//! one pass over the servers of a service.

use crate::{
    model::{Engine, Generation},
    server_speed::{self, Pace},
    sources::{Source, SourceKind, transfer_ms},
};

/// Added to the estimate for each request that runs on the engine.
const MS_PER_RUNNING_REQUEST: f64 = 1.0;
/// Added to the estimate for each request that waits at the engine.
const MS_PER_WAITING_REQUEST: f64 = 25.0;
/// A fetch may take this many times as long as reading the same tokens, because an engine that
/// reads a prompt delays its other requests.
const MAX_FETCH_TO_READ_RATIO: f64 = 3.0;
/// A fetch that takes less than this is always allowed, however short the parts are.
const ALWAYS_ALLOWED_FETCH_MS: f64 = 150.0;
/// Penalty for an engine that is not the preferred one for the prompt's parts. It stands for the
/// load that another copy of the parts puts on the engines' memory and on the store's link.
const NOT_PREFERRED_ENGINE_MS: f64 = 80.0;
/// A request may wait up to this many times as long as estimated.
const MAX_WAIT_FACTOR: f64 = 3.0;
/// Penalty for a server outside the router's failure domain.
pub(crate) const CROSS_DOMAIN_MS: f64 = 2.0;
/// Replaces [`CROSS_DOMAIN_MS`] where the prompt's shared parts have a preferred engine in the
/// router's own domain. It exceeds the time to fetch the parts there, so that prompts don't cross
/// domains to reach them.
const CROSS_DOMAIN_DESPITE_LOCAL_ENGINE_MS: f64 = 12.0;
/// A failure domain has its own preferred engines only if their memory holds this many prompts of
/// the request's size.
const MIN_PROMPTS_IN_DOMAIN_MEMORY: u64 = 64;
/// The longest fetch of shared parts that is cheaper than sending the prompt to another failure
/// domain.
const MAX_FETCH_WITHIN_DOMAIN_MS: f64 = 5.0;
/// Penalty for an engine with older weights, for a request that should run on the newest ones.
const OLD_WEIGHTS_MS: f64 = 150.0;
/// Penalty for an engine with the newest weights, for a request beyond the share of the requests
/// that such engines can take.
const BEYOND_NEWEST_SHARE_MS: f64 = 60.0;
/// Penalty for an engine whose memory the request would fill beyond [`MAX_MEMORY_FILL`].
const FULL_MEMORY_MS: f64 = 2_000.0;
/// Penalty for a server that failed recently.
const RECENT_FAILURE_MS: f64 = 5_000.0;
/// The fraction of an engine's memory that may be filled without a penalty.
pub(crate) const MAX_MEMORY_FILL: f64 = 0.85;
/// Penalty for each request beyond the slots of a plain server.
const MS_PER_QUEUED_CALL: f64 = 20.0;
/// Penalty for each request that runs or waits at a plain server.
pub(crate) const MS_PER_CALL: f64 = 4.0;

/// The work that one request causes at an engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Work {
    /// The length of the prompt.
    pub prompt_tokens: u64,
    /// The length of the prompt's beginning that other requests share.
    pub shared_tokens: u64,
    /// The memory that the request takes while it runs.
    pub footprint_tokens: u64,
    /// Time to the first event at a lightly loaded engine, without the time to read the prompt.
    pub base_ms: f64,
    /// Prompt tokens that an engine reads in a millisecond.
    pub read_tokens_per_ms: f64,
    /// Whether the request is within the share that the engines with the newest weights can take.
    pub prefers_newest: bool,
    /// Whether the shared parts have a preferred engine in the router's own failure domain, see
    /// [`has_local_preferred_engine`].
    pub has_local_preferred_engine: bool,
}

/// What the router knows of one engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineView {
    /// Whether it is in the router's failure domain.
    pub is_near: bool,
    /// Whether it holds the newest weights.
    pub is_newest: bool,
    /// Whether it failed recently.
    pub is_avoided: bool,
    /// How much longer requests may start on its weights, in milliseconds.
    pub usable_ms: u64,
    /// Requests that run there.
    pub running: u32,
    /// Requests that wait there.
    pub waiting: u32,
    /// Memory of the running requests, including those sent since the engine's last report.
    pub used_tokens: u64,
    /// The size of its memory.
    pub memory_tokens: u64,
    /// Prompt tokens that are queued at the engine and not yet read.
    pub unread_tokens: u64,
    /// Shared tokens of this prompt that the router believes to be in the engine's memory.
    pub resident_tokens: u64,
    /// Where it may fetch shared parts.
    pub source: Option<Source>,
    /// Its rank in the order of preference for this prompt's parts; 0 is the preferred engine.
    pub preference_rank: usize,
    /// Its expected pace; `None` if it has never stated one.
    pub pace: Option<Pace>,
}

/// The estimated time to the first event at one engine, and the cost by which engines are compared.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Estimate {
    /// Prompt tokens that the engine will have to read.
    pub read_tokens: u64,
    /// The source from which the engine is expected to fetch shared parts, if any.
    pub expected_source: Option<SourceKind>,
    /// The source from which the engine is to fetch missing parts. It is set also if no fetch is
    /// expected, because the engine may lack parts that the router believes it has. Without a
    /// source, the engine reads what it lacks.
    pub fetch_source: Option<SourceKind>,
    /// The estimated time to the first event, in milliseconds.
    pub first_event_ms: f64,
    /// The estimated time plus all penalties.
    pub cost_ms: f64,
}

/// Whether the shared parts of a prompt get a preferred engine within one failure domain, in
/// addition to the one in the fleet.
///
/// This is worthwhile only if fetching the parts is faster than sending the prompt to another
/// domain, and the engines of the domain have memory for many prompts of that size. Otherwise the
/// copies evict each other.
pub fn has_local_preferred_engine(
    engine: &Engine,
    near_engines: usize,
    generation: &Generation,
) -> bool {
    let near_engines = u64::try_from(near_engines).unwrap_or(u64::MAX);
    let room_tokens = engine.memory_tokens.saturating_mul(near_engines);
    let has_room = room_tokens >= MIN_PROMPTS_IN_DOMAIN_MEMORY * generation.footprint_tokens();
    let transfer_ms = transfer_ms(engine, generation.shared_tokens(), engine.link_mbps, true);
    has_room && transfer_ms <= MAX_FETCH_WITHIN_DOMAIN_MS
}

/// Estimates the time to the first event and the cost of a request at one engine.
pub fn estimate(view: &EngineView, work: &Work) -> Estimate {
    let resident = work.shared_tokens.min(view.resident_tokens);
    let pace = view.pace.unwrap_or(Pace::NORMAL).ratio();
    let source = view.source.filter(|source| is_fetch_worthwhile(source, work, pace));
    let fetched = source.filter(|source| source.tokens > resident);
    let held = fetched.map_or(resident, |source| work.shared_tokens.min(source.tokens));
    let read_tokens = work.prompt_tokens.saturating_sub(held);
    let read_ms = tokens(read_tokens) / work.read_tokens_per_ms;
    let fetch_ms = fetched.map_or(0.0, |source| source.fetch_ms);
    let queue_ms = tokens(view.unread_tokens) / work.read_tokens_per_ms;
    let load_ms = f64::from(view.running) * MS_PER_RUNNING_REQUEST
        + f64::from(view.waiting) * MS_PER_WAITING_REQUEST;
    // A fetch is limited by the links, not by the engine.
    let first_event_ms =
        work.base_ms * pace + read_ms * pace + fetch_ms + queue_ms * pace + load_ms * pace;
    let cost_ms = first_event_ms + penalties_ms(view, work);
    Estimate {
        read_tokens,
        expected_source: fetched.map(|source| source.kind),
        fetch_source: source.map(|source| source.kind),
        first_event_ms,
        cost_ms,
    }
}

/// Whether a fetch is fast enough compared with reading the same tokens at the engine's pace.
fn is_fetch_worthwhile(source: &Source, work: &Work, pace: f64) -> bool {
    let reading_ms = tokens(work.shared_tokens.min(source.tokens)) / work.read_tokens_per_ms * pace;
    source.fetch_ms < (MAX_FETCH_TO_READ_RATIO * reading_ms).max(ALWAYS_ALLOWED_FETCH_MS)
}

/// Returns the index of the engine with the lowest cost, and the estimate for it.
///
/// An engine that states its pace is not eligible for a long prompt that would fill its memory, unless
/// all others are full as well or failed recently.
pub fn choose_engine(views: &[Option<EngineView>], work: &Work) -> Option<(usize, Estimate)> {
    let (mut cheapest, mut with_room) = (None, None);
    for (index, view) in views.iter().enumerate() {
        let Some(view) = view else { continue };
        let estimate = estimate(view, work);
        if !starts_in_time(view, &estimate) {
            continue;
        }
        replace_if_cheaper(&mut cheapest, index, estimate);
        if !view.is_avoided && !server_speed::is_full_for(view, work) {
            replace_if_cheaper(&mut with_room, index, estimate);
        }
    }
    let is_full = |index: usize| {
        views[index].as_ref().is_some_and(|view| server_speed::is_full_for(view, work))
    };
    cheapest.filter(|(index, _)| !is_full(*index)).or(with_room).or(cheapest)
}

fn replace_if_cheaper(best: &mut Option<(usize, Estimate)>, index: usize, estimate: Estimate) {
    let is_cheaper = |best: &(usize, Estimate)| estimate.cost_ms.total_cmp(&best.1.cost_ms).is_lt();
    if best.as_ref().is_none_or(is_cheaper) {
        *best = Some((index, estimate));
    }
}

/// Whether a request would start before the engine's weights become too old, even if it waits
/// [`MAX_WAIT_FACTOR`] times as long as estimated.
pub(crate) fn starts_in_time(view: &EngineView, estimate: &Estimate) -> bool {
    MAX_WAIT_FACTOR * estimate.first_event_ms <= number(view.usable_ms)
}

fn penalties_ms(view: &EngineView, work: &Work) -> f64 {
    let mut added = 0.0;
    if view.preference_rank > 0 {
        added += NOT_PREFERRED_ENGINE_MS;
    }
    if !view.is_near {
        added += if work.has_local_preferred_engine {
            CROSS_DOMAIN_DESPITE_LOCAL_ENGINE_MS
        } else {
            CROSS_DOMAIN_MS
        };
    }
    match (work.prefers_newest, view.is_newest) {
        (true, false) => added += OLD_WEIGHTS_MS,
        (false, true) => added += BEYOND_NEWEST_SHARE_MS,
        _ => {}
    }
    let filled_tokens = tokens(view.used_tokens + work.footprint_tokens);
    if filled_tokens > MAX_MEMORY_FILL * tokens(view.memory_tokens) {
        added += FULL_MEMORY_MS;
    }
    if view.is_avoided {
        added += RECENT_FAILURE_MS;
    }
    added
}

/// What the router knows of one plain server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServerView {
    /// Whether it is in the router's failure domain.
    pub is_near: bool,
    /// Whether it failed recently.
    pub is_avoided: bool,
    /// Requests that run or wait there.
    pub load: u32,
    /// Requests that it runs at once.
    pub slots: u32,
}

/// Returns the index of the plain server with the lowest cost.
pub fn choose_server(views: &[Option<ServerView>]) -> Option<usize> {
    let costs = views.iter().enumerate().filter_map(|(index, view)| {
        let view = view.as_ref()?;
        Some((index, server_cost_ms(view)))
    });
    costs.min_by(|a, b| a.1.total_cmp(&b.1)).map(|(index, _)| index)
}

/// The part of the cost that stands for the wait for a slot.
pub(crate) fn server_wait_ms(view: &ServerView) -> f64 {
    let queued = (view.load + 1).saturating_sub(view.slots);
    f64::from(queued) * MS_PER_QUEUED_CALL
}

pub(crate) fn server_cost_ms(view: &ServerView) -> f64 {
    let mut cost = f64::from(view.load) * MS_PER_CALL + server_wait_ms(view);
    if !view.is_near {
        cost += CROSS_DOMAIN_MS;
    }
    if view.is_avoided {
        cost += RECENT_FAILURE_MS;
    }
    cost
}

#[expect(clippy::cast_precision_loss, reason = "token counts are far below 2^52")]
fn tokens(tokens: u64) -> f64 {
    tokens as f64
}

#[expect(clippy::cast_precision_loss, reason = "a limit beyond 2^52 ms is as good as none")]
fn number(ms: u64) -> f64 {
    ms as f64
}
