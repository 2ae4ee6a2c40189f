//! Choice of the backend server for one request.
//!
//! Each server gets an estimate of the time to the first event in milliseconds, plus what choosing
//! it costs besides, also in milliseconds, and the lowest sum wins. Cost: one pass over the servers
//! of a service.

use crate::{
    model::{Engine, Generation},
    sources::{Kind, Source, transfer_ms},
};

/// What each running request adds to that.
const RUNNING_MS: f64 = 1.0;
/// What each request that waits at the engine adds.
const WAITING_MS: f64 = 25.0;
/// A fetch may take this many times as long as reading: an engine that reads keeps others waiting.
const READING_WEIGHT: f64 = 3.0;
/// A fetch that takes no longer than this is not given up, however short the parts.
const PATIENT_FETCH_MS: f64 = 150.0;
/// Added to an engine that is not the first choice for the prompt's parts: what a further copy of
/// them does to the memory of the engines and to the link of the store.
const AWAY_MS: f64 = 80.0;
/// A request waits for up to this many times as long as expected.
const LONGEST_WAIT: f64 = 3.0;
/// Added for another failure domain than the router's.
const CROSS_DOMAIN_MS: f64 = 2.0;
/// The same where the prompt's shared parts have a home in the router's own domain: more than it takes to
/// fetch them there, so that prompts don't cross domains for them.
const CROSS_DOMAIN_FROM_HOME_MS: f64 = 12.0;
/// Prompts of one size that the engines of a failure domain have to hold for a home of its own.
const PROMPTS_A_HOME: u64 = 64;
/// The longest fetch of shared parts that is cheaper than a prompt's way to another failure domain.
const HOME_FETCH_MS: f64 = 5.0;
/// Added to an engine whose weights are not the newest, for a request that should go to those.
const OLD_WEIGHTS_MS: f64 = 150.0;
/// Added to an engine with the newest weights, for a request beyond what such engines can take.
const BEYOND_SHARE_MS: f64 = 60.0;
/// Added to an engine whose memory the request would overfill.
const FULL_MS: f64 = 2_000.0;
/// Added to a server that failed lately.
const AVOIDED_MS: f64 = 5_000.0;
/// The part of an engine's memory up to which it is filled without a penalty.
const COMFORTABLE_PART: f64 = 0.85;
/// Added for each request beyond the slots of a plain server.
const QUEUED_CALL_MS: f64 = 20.0;
/// Added for each request that a plain server runs.
const RUNNING_CALL_MS: f64 = 4.0;

/// What one request asks of an engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Work {
    /// The length of the prompt.
    pub prompt_tokens: u64,
    /// The part of it that other requests have too.
    pub shared_tokens: u64,
    /// Memory while it runs.
    pub footprint_tokens: u64,
    /// Time to the first event at an engine with little to do, beside the reading.
    pub base_ms: f64,
    /// Prompt tokens that an engine reads in a millisecond.
    pub read_tokens_per_ms: f64,
    /// Whether the engines with the newest weights have room for it.
    pub prefers_newest: bool,
    /// Whether its shared parts have a home in the router's own failure domain, see [`has_near_home`].
    pub has_near_home: bool,
}

/// One engine, as the router sees it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineView {
    /// Whether it is in the router's failure domain.
    pub is_near: bool,
    /// Whether it holds the newest weights.
    pub is_newest: bool,
    /// Whether it failed lately.
    pub is_avoided: bool,
    /// The time for which requests may still begin on its weights, in milliseconds.
    pub usable_ms: u64,
    /// Requests that run there.
    pub running: u32,
    /// Requests that wait there.
    pub waiting: u32,
    /// Memory that running requests hold, with those sent since the last report.
    pub used_tokens: u64,
    /// All of its memory.
    pub memory_tokens: u64,
    /// Prompt tokens that it has yet to read.
    pub unread_tokens: u64,
    /// Shared tokens of this prompt that it is believed to hold.
    pub resident_tokens: u64,
    /// Where it may fetch shared parts.
    pub source: Option<Source>,
    /// Its place among the engines in the order of preference for this prompt's parts.
    pub home_rank: usize,
}

/// The estimated time to the first event, and what is added to weigh one engine against another.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Estimate {
    /// Prompt tokens that the engine will have to read.
    pub read_tokens: u64,
    /// From what it is expected to fetch shared parts.
    pub fetches: Option<Kind>,
    /// From what it is to fetch what it lacks, which may be more than is believed; else it reads that.
    pub may_fetch: Option<Kind>,
    /// Milliseconds to the first event.
    pub first_event_ms: f64,
    /// The estimate and all additions.
    pub cost_ms: f64,
}

/// Whether the shared parts of a prompt have a home among the engines of one failure domain, beside the one
/// in the fleet.
///
/// That pays where parts are fetched faster than prompts travel, and the engines of the domain hold many
/// prompts of that size: else the copies push each other out of memory.
pub fn has_near_home(engine: &Engine, near_engines: usize, generation: &Generation) -> bool {
    let near_engines = u64::try_from(near_engines).unwrap_or(u64::MAX);
    let room_tokens = engine.memory_tokens.saturating_mul(near_engines);
    let has_room = room_tokens >= PROMPTS_A_HOME * generation.footprint_tokens();
    let transfer_ms = transfer_ms(engine, generation.shared_tokens(), engine.link_mbps, true);
    has_room && transfer_ms <= HOME_FETCH_MS
}

/// The estimate for one engine.
pub fn estimate(view: &EngineView, work: &Work) -> Estimate {
    let resident = work.shared_tokens.min(view.resident_tokens);
    let source = view.source.filter(|source| is_worth_it(source, work));
    let fetched = source.filter(|source| source.tokens > resident);
    let held = fetched.map_or(resident, |source| work.shared_tokens.min(source.tokens));
    let read_tokens = work.prompt_tokens.saturating_sub(held);
    let read_ms = tokens(read_tokens) / work.read_tokens_per_ms;
    let fetch_ms = fetched.map_or(0.0, |source| source.fetch_ms);
    let queue_ms = tokens(view.unread_tokens) / work.read_tokens_per_ms;
    let load_ms = f64::from(view.running) * RUNNING_MS + f64::from(view.waiting) * WAITING_MS;
    let first_event_ms = work.base_ms + read_ms + fetch_ms + queue_ms + load_ms;
    let cost_ms = first_event_ms + additions(view, work);
    Estimate {
        read_tokens,
        fetches: fetched.map(|source| source.kind),
        may_fetch: source.map(|source| source.kind),
        first_event_ms,
        cost_ms,
    }
}

/// Whether a fetch takes little enough time for what it spares the engine.
fn is_worth_it(source: &Source, work: &Work) -> bool {
    let reading_ms = tokens(work.shared_tokens.min(source.tokens)) / work.read_tokens_per_ms;
    source.fetch_ms < (READING_WEIGHT * reading_ms).max(PATIENT_FETCH_MS)
}

/// The index of the engine to choose.
pub fn choose_engine(views: &[Option<EngineView>], work: &Work) -> Option<(usize, Estimate)> {
    let estimates = views.iter().enumerate().filter_map(|(index, view)| {
        let view = view.as_ref()?;
        Some((index, estimate(view, work))).filter(|(_, estimate)| begins_in_time(view, estimate))
    });
    estimates.min_by(|a, b| a.1.cost_ms.total_cmp(&b.1.cost_ms))
}

/// Whether a request begins while it may on these weights, also where it waits for longer than expected.
fn begins_in_time(view: &EngineView, estimate: &Estimate) -> bool {
    LONGEST_WAIT * estimate.first_event_ms <= number(view.usable_ms)
}

fn additions(view: &EngineView, work: &Work) -> f64 {
    let mut added = 0.0;
    if view.home_rank > 0 {
        added += AWAY_MS;
    }
    if !view.is_near {
        added += if work.has_near_home { CROSS_DOMAIN_FROM_HOME_MS } else { CROSS_DOMAIN_MS };
    }
    match (work.prefers_newest, view.is_newest) {
        (true, false) => added += OLD_WEIGHTS_MS,
        (false, true) => added += BEYOND_SHARE_MS,
        _ => {}
    }
    let filled = tokens(view.used_tokens + work.footprint_tokens);
    if filled > COMFORTABLE_PART * tokens(view.memory_tokens) {
        added += FULL_MS;
    }
    if view.is_avoided {
        added += AVOIDED_MS;
    }
    added
}

/// One plain server, as the router sees it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServerView {
    /// Whether it is in the router's failure domain.
    pub is_near: bool,
    /// Whether it failed lately.
    pub is_avoided: bool,
    /// Requests that run or wait there.
    pub load: u32,
    /// Requests that it runs at once.
    pub slots: u32,
}

/// The index of the plain server to choose.
pub fn choose_server(views: &[Option<ServerView>]) -> Option<usize> {
    let costs = views.iter().enumerate().filter_map(|(index, view)| {
        let view = view.as_ref()?;
        Some((index, server_cost(view)))
    });
    costs.min_by(|a, b| a.1.total_cmp(&b.1)).map(|(index, _)| index)
}

fn server_cost(view: &ServerView) -> f64 {
    let queued = (view.load + 1).saturating_sub(view.slots);
    let mut cost = f64::from(view.load) * RUNNING_CALL_MS + f64::from(queued) * QUEUED_CALL_MS;
    if !view.is_near {
        cost += CROSS_DOMAIN_MS;
    }
    if view.is_avoided {
        cost += AVOIDED_MS;
    }
    cost
}

#[expect(clippy::cast_precision_loss, reason = "token counts are far below 2^52")]
fn tokens(tokens: u64) -> f64 {
    tokens as f64
}

#[expect(clippy::cast_precision_loss, reason = "an end that far away is none")]
fn number(ms: u64) -> f64 {
    ms as f64
}
