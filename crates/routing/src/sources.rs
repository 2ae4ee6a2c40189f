//! Selection of the source from which an engine fetches the shared parts of a prompt that it lacks:
//! another engine, or the store.
//!
//! Each engine has its own network link, and the store has one link for the whole fleet. Copies to
//! another failure domain take twice as long. A fetch from a source that turns out to hold nothing
//! costs a millisecond, so an engine that only possibly holds the parts is named as a source too.
//!
//! ```
//! use samphirespread_routing::{
//!     model::Engine,
//!     sources::{Holder, SourceKind, sources},
//! };
//!
//! let engine = Engine {
//!     slots: 64,
//!     memory_tokens: 90_000,
//!     token_bytes: 18_432,
//!     link_mbps: 370_000.0,
//!     moves_runs: true,
//! };
//! let preferred = Holder { domain: "a", version: 4, resident_tokens: 6_300, is_preferred: true };
//! let other = Holder { domain: "b", version: 4, resident_tokens: 0, is_preferred: false };
//!
//! let found = sources(&[Some(preferred), Some(other)], &[], &engine, 157.0);
//! assert_eq!(found[1].unwrap().kind, SourceKind::Engine(0));
//! ```
//!
//! Running time: one pass over the engines of a service, with up to eight other engines checked for
//! each.

use std::cmp::Reverse;

use crate::model::Engine;

/// The time that a fetch takes in addition to the transfer of its bytes.
const FETCH_SETUP_MS: f64 = 5.0;
/// The fraction of the reading time that is added to a fetch from an engine: unlike the store, the
/// engine may have evicted the parts, and then the fetching engine has to read them.
const EVICTION_RISK: f64 = 0.2;
/// A copy to another failure domain takes this many times as long as one within the domain.
const CROSS_DOMAIN_FACTOR: f64 = 2.0;
/// Bits that a link of one Mbit/s carries in a millisecond.
const BITS_PER_MS_AT_1_MBPS: f64 = 1_000.0;

/// An engine that takes requests, as a possible source and as a receiver of parts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Holder<'a> {
    /// Its failure domain.
    pub domain: &'a str,
    /// The version of its weights. Parts computed with another version are useless to it.
    pub version: u64,
    /// The number of tokens at the beginning of the prompt that it is believed to hold.
    pub resident_tokens: u64,
    /// Whether it is the preferred engine for the prompt's parts among those with its weights.
    pub is_preferred: bool,
}

/// What the store holds of a prompt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Stored<'a> {
    /// The version of the weights with which the parts were computed.
    pub version: u64,
    /// The number of tokens at the beginning of the prompt that the store holds.
    pub tokens: u64,
    /// The store's failure domain.
    pub domain: &'a str,
    /// The speed of its link in Mbit/s.
    pub link_mbps: f64,
    /// How long a fetch from the store waits for other fetches.
    pub delay_ms: f64,
}

/// The kind of a source.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SourceKind {
    /// The store.
    Store,
    /// The engine with that index.
    Engine(usize),
}

/// Where an engine may get shared parts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Source {
    /// The store or another engine.
    pub kind: SourceKind,
    /// The number of tokens at the beginning of the prompt that the source is believed to hold. It
    /// is 0 for an engine that possibly holds them.
    pub tokens: u64,
    /// The time to fetch those of these tokens that the engine lacks.
    pub fetch_ms: f64,
}

/// Returns how long it takes to copy the memory of that many tokens over a link to an engine.
pub fn transfer_ms(engine: &Engine, tokens: u64, link_mbps: f64, is_near: bool) -> f64 {
    let bits = number(tokens) * number(engine.token_bytes) * 8.0;
    let ms =
        bits / (link_mbps.min(engine.link_mbps) * BITS_PER_MS_AT_1_MBPS).max(f64::MIN_POSITIVE);
    if is_near { ms } else { ms * CROSS_DOMAIN_FACTOR }
}

/// The number of engines of one version that are considered as sources.
const MAX_CANDIDATES_PER_VERSION: usize = 8;

/// Returns the best source for each engine.
pub fn sources(
    holders: &[Option<Holder<'_>>],
    stored: &[Stored<'_>],
    engine: &Engine,
    read_tokens_per_ms: f64,
) -> Vec<Option<Source>> {
    let candidates = candidates(holders);
    let best = |(index, holder): (usize, &Option<Holder<'_>>)| {
        let holder = holder.as_ref()?;
        let from_store = stored.iter().find(|stored| stored.version == holder.version);
        let from_store = from_store.map(|stored| source_from_store(holder, stored, engine));
        let from_engine = best_candidate(index, holder, &candidates)
            .map(|(at, other)| source_from_engine(holder, at, other, engine, read_tokens_per_ms));
        from_store.into_iter().chain(from_engine).max_by(|a, b| {
            let by_time = || b.fetch_ms.total_cmp(&a.fetch_ms);
            a.tokens.cmp(&b.tokens).then_with(by_time)
        })
    };
    holders.iter().enumerate().map(best).collect()
}

fn source_from_store(holder: &Holder<'_>, stored: &Stored<'_>, engine: &Engine) -> Source {
    let missing_tokens = stored.tokens.saturating_sub(holder.resident_tokens);
    let is_near = holder.domain == stored.domain;
    let transfer_ms = transfer_ms(engine, missing_tokens, stored.link_mbps, is_near);
    let fetch_ms = FETCH_SETUP_MS + transfer_ms + stored.delay_ms;
    Source { kind: SourceKind::Store, tokens: stored.tokens, fetch_ms }
}

/// The index of an engine that may hold parts of the prompt, and the engine.
type Candidate<'a, 'b> = (usize, &'a Holder<'b>);

/// Returns the engines of each version that hold most tokens of the prompt, or possibly hold some
/// because they are the preferred engine for its parts.
fn candidates<'a, 'b>(holders: &'a [Option<Holder<'b>>]) -> Vec<Candidate<'a, 'b>> {
    let known = holders.iter().enumerate().filter_map(|(at, holder)| Some((at, holder.as_ref()?)));
    let mut candidates: Vec<Candidate<'a, 'b>> =
        known.filter(|(_, holder)| holder.resident_tokens > 0 || holder.is_preferred).collect();
    candidates.sort_by_key(|(_, holder)| {
        (holder.version, Reverse((holder.resident_tokens, holder.is_preferred)))
    });
    let mut kept: (u64, usize) = (0, 0);
    candidates.retain(|(_, holder)| {
        kept = if kept.0 == holder.version { (kept.0, kept.1 + 1) } else { (holder.version, 1) };
        kept.1 <= MAX_CANDIDATES_PER_VERSION
    });
    candidates
}

/// Returns the other engine with the same weights that holds most tokens, or else the preferred
/// one.
fn best_candidate<'a, 'b>(
    index: usize,
    holder: &Holder<'_>,
    candidates: &[Candidate<'a, 'b>],
) -> Option<Candidate<'a, 'b>> {
    let others = candidates.iter().copied();
    let others = others.filter(|(at, other)| *at != index && other.version == holder.version);
    others.max_by_key(|(_, other)| {
        (other.resident_tokens, other.domain == holder.domain, other.is_preferred)
    })
}

fn source_from_engine(
    holder: &Holder<'_>,
    at: usize,
    other: &Holder<'_>,
    engine: &Engine,
    read_tokens_per_ms: f64,
) -> Source {
    let missing_tokens = other.resident_tokens.saturating_sub(holder.resident_tokens);
    let is_near = other.domain == holder.domain;
    let transfer_ms = transfer_ms(engine, missing_tokens, engine.link_mbps, is_near);
    let eviction_risk_ms = EVICTION_RISK * number(missing_tokens) / read_tokens_per_ms;
    let fetch_ms = FETCH_SETUP_MS + transfer_ms + eviction_risk_ms;
    Source { kind: SourceKind::Engine(at), tokens: other.resident_tokens, fetch_ms }
}

#[expect(clippy::cast_precision_loss, reason = "tokens and bytes are far below 2^52")]
fn number(number: u64) -> f64 {
    number as f64
}
