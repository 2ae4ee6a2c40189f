//! Selection of a server by price and gain.
//!
//! Without terms, servers are chosen as in [`choice`](crate::choice), where leaving the domain has
//! a fixed cost.
//!
//! Running time: a constant number of passes over the servers of a service.

use super::{price::TrafficTerms, share::MAX_RATIO};
use crate::choice::{
    EngineView, Estimate, MAX_MEMORY_FILL, ServerView, Work, choose_engine, choose_server,
    estimate, server_cost_ms, server_wait_ms, starts_in_time,
};

/// The fraction of the slots or the memory of another domain's server that may be used. The rest
/// is kept for the callers of that domain.
const MAX_REMOTE_FILL: f64 = 0.8;

/// The engine that was selected for a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ChosenEngine {
    /// Its index.
    pub index: usize,
    /// The estimate for it; the cost includes the price of leaving the domain.
    pub estimate: Estimate,
    /// The ratio of the gain from leaving the domain to its price; `None` without terms.
    pub ratio: Option<f64>,
}

/// The plain server that was selected for a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ChosenServer {
    /// Its index.
    pub index: usize,
    /// The ratio of the gain from leaving the domain to its price; `None` without terms.
    pub ratio: Option<f64>,
}

/// Selects an engine.
///
/// `fetch_bytes_per_token` has, for each engine, the bytes of a token that it would fetch from
/// another domain than its own; 0 if it fetches within its domain.
pub fn select_engine(
    views: &[Option<EngineView>],
    work: &Work,
    fetch_bytes_per_token: &[u64],
    terms: Option<&TrafficTerms>,
) -> Option<ChosenEngine> {
    let Some(terms) = terms else {
        let (index, estimate) = choose_engine(views, work)?;
        return Some(ChosenEngine { index, estimate, ratio: None });
    };
    let mut best = Best::default();
    for (index, view) in views.iter().enumerate() {
        let Some(view) = view else { continue };
        // The price replaces the fixed costs that `estimate` adds for another domain.
        let estimate = estimate(&EngineView { is_near: true, ..*view }, work);
        if !starts_in_time(view, &estimate) {
            continue;
        }
        let fetched_tokens = match estimate.expected_source {
            Some(_) => (work.prompt_tokens - estimate.read_tokens)
                .saturating_sub(view.resident_tokens.min(work.shared_tokens)),
            None => 0,
        };
        let bytes_per_token = fetch_bytes_per_token.get(index).copied().unwrap_or(0);
        let price_ms = match view.is_near {
            true => 0.0,
            false => terms.price_ms(fetched_tokens.saturating_mul(bytes_per_token)),
        };
        let max_fill = if view.is_near { MAX_MEMORY_FILL } else { MAX_REMOTE_FILL };
        best.add(Candidate {
            item: (index, estimate),
            is_near: view.is_near,
            can_take: !view.is_avoided && fits(view, work, max_fill),
            time_ms: estimate.first_event_ms,
            cost_ms: estimate.cost_ms + price_ms,
            price_ms,
        });
    }
    let (chosen, ratio) = best.choose(terms)?;
    let (index, estimate) = chosen.item;
    let estimate = Estimate { cost_ms: chosen.cost_ms, ..estimate };
    Some(ChosenEngine { index, estimate, ratio: Some(ratio) })
}

#[expect(clippy::cast_precision_loss, reason = "token counts are far below 2^52")]
fn fits(view: &EngineView, work: &Work, max_fill: f64) -> bool {
    let filled_tokens = view.used_tokens.saturating_add(work.footprint_tokens);
    filled_tokens as f64 <= max_fill * view.memory_tokens as f64
}

/// Selects a plain server.
pub fn select_server(
    views: &[Option<ServerView>],
    terms: Option<&TrafficTerms>,
) -> Option<ChosenServer> {
    let Some(terms) = terms else {
        return Some(ChosenServer { index: choose_server(views)?, ratio: None });
    };
    let mut best = Best::default();
    let groups = [(true, true), (true, false), (false, true), (false, false)];
    for (is_near, can_take) in groups {
        let is_in_group = |view: &ServerView| {
            let takes = !view.is_avoided && (view.is_near || has_headroom(view));
            view.is_near == is_near && takes == can_take
        };
        // The price replaces the fixed cost of another domain.
        let group: Vec<Option<ServerView>> = views
            .iter()
            .map(|view| view.filter(is_in_group).map(|view| ServerView { is_near: true, ..view }))
            .collect();
        let Some(index) = choose_server(&group) else { continue };
        let Some(view) = group[index] else { continue };
        let price_ms = if is_near { 0.0 } else { terms.price_ms(0) };
        best.add(Candidate {
            item: index,
            is_near,
            can_take,
            time_ms: server_wait_ms(&view),
            cost_ms: server_cost_ms(&view) + price_ms,
            price_ms,
        });
    }
    let (chosen, ratio) = best.choose(terms)?;
    Some(ChosenServer { index: chosen.item, ratio: Some(ratio) })
}

fn has_headroom(view: &ServerView) -> bool {
    f64::from(view.load) + 1.0 <= MAX_REMOTE_FILL * f64::from(view.slots)
}

/// A server that a request may be sent to.
#[derive(Clone, Copy, Debug)]
struct Candidate<T> {
    item: T,
    is_near: bool,
    /// Whether it has room for the request and has not failed recently.
    can_take: bool,
    /// The expected time to the first event, or the waiting time.
    time_ms: f64,
    /// The cost by which servers are compared, with the price.
    cost_ms: f64,
    /// The price of leaving the domain; 0 for a local server.
    price_ms: f64,
}

/// The candidates with the lowest cost: local and remote, with and without room.
#[derive(Clone, Copy, Debug)]
struct Best<T> {
    near: Option<Candidate<T>>,
    far: Option<Candidate<T>>,
    /// Of those that can't take the request by the rules.
    unable: Option<Candidate<T>>,
}

impl<T> Default for Best<T> {
    fn default() -> Self {
        Self { near: None, far: None, unable: None }
    }
}

impl<T: Copy> Best<T> {
    fn add(&mut self, candidate: Candidate<T>) {
        let best = match (candidate.can_take, candidate.is_near) {
            (true, true) => &mut self.near,
            (true, false) => &mut self.far,
            (false, _) => &mut self.unable,
        };
        if best.is_none_or(|best| candidate.cost_ms < best.cost_ms) {
            *best = Some(candidate);
        }
    }

    /// Returns the candidate for the request and the ratio of gain to price.
    fn choose(self, terms: &TrafficTerms) -> Option<(Candidate<T>, f64)> {
        match (self.near, self.far) {
            (Some(near), Some(far)) => {
                let ratio = (near.time_ms - far.time_ms) / far.price_ms;
                let leaves = terms.may_leave(ratio) && far.cost_ms < near.cost_ms;
                Some((if leaves { far } else { near }, ratio))
            }
            // No server elsewhere has headroom, so leaving gains nothing.
            (Some(near), None) => Some((near, 0.0)),
            (None, Some(far)) => Some((far, MAX_RATIO)),
            (None, None) => Some((self.unable?, 0.0)),
        }
    }
}
