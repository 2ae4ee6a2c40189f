//! Where an engine gets the shared parts of a prompt that it lacks: from another engine, or from the store.
//!
//! Each engine has a link of its own, and the store one for the whole fleet; memory takes twice as long to another
//! failure domain. A source that turns out to hold nothing costs a millisecond, so one is named also where it only
//! may hold the parts.
//!
//! ```
//! use samphirespread_routing::{
//!     model::Engine,
//!     sources::{Holder, Kind, sources},
//! };
//!
//! let engine = Engine {
//!     slots: 64, memory_tokens: 90_000, token_bytes: 18_432, link_mbps: 370_000.0, moves_runs: true,
//! };
//! let home = Holder { domain: "a", version: 4, resident_tokens: 6_300, is_home: true };
//! let other = Holder { domain: "b", version: 4, resident_tokens: 0, is_home: false };
//!
//! let found = sources(&[Some(home), Some(other)], &[], &engine, 157.0);
//! assert_eq!(found[1].unwrap().kind, Kind::Engine(0));
//! ```
//!
//! Cost: a pass over the engines of a service, and for each a look at up to eight others.

use std::cmp::Reverse;

use crate::model::Engine;

/// Time of a fetch, beside what its bytes take.
const FETCH_SETUP_MS: f64 = 5.0;
/// The part of the reading by which an engine's fetch is dearer than one from the store: what it is believed to hold
/// may have been dropped, and then is read.
const UNSURE_PART: f64 = 0.2;
/// A copy to another failure domain takes this many times as long.
const CROSS_DOMAIN_FACTOR: f64 = 2.0;
/// Bits that a link of one Mbit/s carries in a millisecond.
const BITS_A_MS: f64 = 1_000.0;

/// An engine that takes requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Holder<'a> {
    /// Its failure domain.
    pub domain: &'a str,
    /// The weights that it holds; parts of other weights are of no use.
    pub version: u64,
    /// Tokens at the beginning of the prompt that it is believed to hold.
    pub resident_tokens: u64,
    /// Whether it is the engine of its weights that the prompt's parts are sent to.
    pub is_home: bool,
}

/// What the store holds of a prompt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Stored<'a> {
    /// The weights.
    pub version: u64,
    /// Tokens at the beginning of the prompt.
    pub tokens: u64,
    /// The store's failure domain.
    pub domain: &'a str,
    /// The speed of its link in Mbit/s.
    pub link_mbps: f64,
    /// How long fetches from it wait for each other.
    pub delay_ms: f64,
}

/// What has the parts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// The store.
    Store,
    /// The engine of that index.
    Engine(usize),
}

/// Where an engine may get shared parts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Source {
    /// What has them.
    pub kind: Kind,
    /// Tokens at the beginning of the prompt that it is believed to hold; none of an engine that only may hold them.
    pub tokens: u64,
    /// Time to fetch what the engine lacks of these.
    pub fetch_ms: f64,
}

/// Time that the memory of that many tokens takes over a link to an engine.
pub fn transfer_ms(engine: &Engine, tokens: u64, link_mbps: f64, is_near: bool) -> f64 {
    let bits = number(tokens) * number(engine.token_bytes) * 8.0;
    let ms = bits / (link_mbps.min(engine.link_mbps) * BITS_A_MS).max(f64::MIN_POSITIVE);
    if is_near { ms } else { ms * CROSS_DOMAIN_FACTOR }
}

/// Engines of one version that are looked at as sources.
const MAX_LIKELY: usize = 8;

/// The best source for each engine.
pub fn sources(
    holders: &[Option<Holder<'_>>],
    stored: &[Stored<'_>],
    engine: &Engine,
    read_tokens_per_ms: f64,
) -> Vec<Option<Source>> {
    let likely = likely(holders);
    let best = |(index, holder): (usize, &Option<Holder<'_>>)| {
        let holder = holder.as_ref()?;
        let from_store = stored.iter().find(|stored| stored.version == holder.version);
        let from_store = from_store.map(|stored| of_store(holder, stored, engine));
        let from_engine = of_engines(index, holder, &likely)
            .map(|(at, other)| of_engine(holder, at, other, engine, read_tokens_per_ms));
        from_store.into_iter().chain(from_engine).max_by(|a, b| {
            let by_time = || b.fetch_ms.total_cmp(&a.fetch_ms);
            a.tokens.cmp(&b.tokens).then_with(by_time)
        })
    };
    holders.iter().enumerate().map(best).collect()
}

fn of_store(holder: &Holder<'_>, stored: &Stored<'_>, engine: &Engine) -> Source {
    let lacks = stored.tokens.saturating_sub(holder.resident_tokens);
    let is_near = holder.domain == stored.domain;
    let transfer_ms = transfer_ms(engine, lacks, stored.link_mbps, is_near);
    let fetch_ms = FETCH_SETUP_MS + transfer_ms + stored.delay_ms;
    Source { kind: Kind::Store, tokens: stored.tokens, fetch_ms }
}

/// An engine that may hold parts of the prompt, and its index.
type Likely<'a, 'b> = (usize, &'a Holder<'b>);

/// The engines of each version that hold most, or may hold parts as their home.
fn likely<'a, 'b>(holders: &'a [Option<Holder<'b>>]) -> Vec<Likely<'a, 'b>> {
    let known = holders.iter().enumerate().filter_map(|(at, holder)| Some((at, holder.as_ref()?)));
    let mut likely: Vec<Likely<'a, 'b>> =
        known.filter(|(_, holder)| holder.resident_tokens > 0 || holder.is_home).collect();
    likely.sort_by_key(|(_, holder)| {
        (holder.version, Reverse((holder.resident_tokens, holder.is_home)))
    });
    let mut kept: (u64, usize) = (0, 0);
    likely.retain(|(_, holder)| {
        kept = if kept.0 == holder.version { (kept.0, kept.1 + 1) } else { (holder.version, 1) };
        kept.1 <= MAX_LIKELY
    });
    likely
}

/// The other engine of the same weights that holds most, or else their home.
fn of_engines<'a, 'b>(
    index: usize,
    holder: &Holder<'_>,
    likely: &[Likely<'a, 'b>],
) -> Option<Likely<'a, 'b>> {
    let others = likely.iter().copied();
    let others = others.filter(|(at, other)| *at != index && other.version == holder.version);
    others.max_by_key(|(_, other)| {
        (other.resident_tokens, other.domain == holder.domain, other.is_home)
    })
}

fn of_engine(
    holder: &Holder<'_>,
    at: usize,
    other: &Holder<'_>,
    engine: &Engine,
    read_tokens_per_ms: f64,
) -> Source {
    let lacks = other.resident_tokens.saturating_sub(holder.resident_tokens);
    let is_near = other.domain == holder.domain;
    let transfer_ms = transfer_ms(engine, lacks, engine.link_mbps, is_near);
    let unsure_ms = UNSURE_PART * number(lacks) / read_tokens_per_ms;
    let fetch_ms = FETCH_SETUP_MS + transfer_ms + unsure_ms;
    Source { kind: Kind::Engine(at), tokens: other.resident_tokens, fetch_ms }
}

#[expect(clippy::cast_precision_loss, reason = "tokens and bytes are far below 2^52")]
fn number(number: u64) -> f64 {
    number as f64
}
