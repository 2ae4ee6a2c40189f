//! Selection of sources for shared parts: with new weights, after the loss of all caches, and while
//! the store's link is busy.

use samphirespread_routing::{
    model::Engine,
    sources::{Holder, SourceKind, Stored, sources},
};

const VERSION: u64 = 4;
const SHARED_TOKENS: u64 = 6_300;
/// Engines with large tokens: the shared parts of one prompt take 2 GB.
const HEAVY: Engine = engine_of(327_680, 740_000.0);
/// Engines with small tokens, which are used in a test with fast reading and a store whose link is
/// as fast as theirs.
const LIGHT: Engine = engine_of(18_432, 370_000.0);

const fn engine_of(token_bytes: u64, link_mbps: f64) -> Engine {
    Engine { slots: 64, memory_tokens: 100_000, token_bytes, link_mbps, moves_runs: true }
}

fn engine(domain: &str, resident_tokens: u64) -> Holder<'_> {
    Holder { domain, version: VERSION, resident_tokens, is_preferred: false }
}

fn store() -> Stored<'static> {
    Stored {
        version: VERSION,
        tokens: SHARED_TOKENS,
        domain: "a",
        link_mbps: 410_000.0,
        delay_ms: 0.0,
    }
}

/// Returns the source for the first engine.
fn source(holders: &[Holder<'_>], stored: &[Stored<'_>]) -> Option<(SourceKind, f64)> {
    let holders: Vec<Option<Holder<'_>>> = holders.iter().copied().map(Some).collect();
    sources(&holders, stored, &HEAVY, 42.6)[0].map(|source| (source.kind, source.fetch_ms))
}

/// The weights are new: one engine has read the parts, and the store does not hold them yet.
#[test]
fn fetches_from_an_engine_while_the_store_lacks_the_parts() {
    let found = source(&[engine("a", 0), engine("b", SHARED_TOKENS)], &[]);

    assert_eq!(found.unwrap().0, SourceKind::Engine(1));
}

/// Every prompt is fetched, and the store has only one link for all engines.
#[test]
fn fetches_from_an_engine_if_the_store_is_slower() {
    let far_from_store = [engine("b", 0), engine("b", SHARED_TOKENS)];
    let crowded = Stored { delay_ms: 100.0, ..store() };
    let near_store = [engine("a", 0), engine("a", SHARED_TOKENS)];

    assert_eq!(source(&far_from_store, &[store()]).unwrap().0, SourceKind::Engine(1));
    assert_eq!(source(&near_store, &[crowded]).unwrap().0, SourceKind::Engine(1));
}

/// Engines may evict parts within seconds, while the contents of the store are known reliably.
#[test]
fn prefers_the_store_if_its_link_is_as_fast() {
    let holds = engine("a", SHARED_TOKENS);
    let store = Stored { link_mbps: 370_000.0, ..store() };
    let crowded = Stored { delay_ms: 200.0, ..store };
    let holders = [Some(engine("a", 0)), Some(holds)];

    let calm = sources(&holders, &[store], &LIGHT, 157.0)[0].unwrap();
    let busy = sources(&holders, &[crowded], &LIGHT, 157.0)[0].unwrap();

    assert_eq!((calm.kind, busy.kind), (SourceKind::Store, SourceKind::Engine(1)));
}

/// All engine caches were lost.
#[test]
fn fetches_from_the_store_if_no_engine_holds_the_parts() {
    let (kind, near_ms) = source(&[engine("a", 0), engine("b", 0)], &[store()]).unwrap();
    let (_, far_ms) = source(&[engine("b", 0), engine("a", 0)], &[store()]).unwrap();

    assert_eq!(kind, SourceKind::Store);
    assert!((40.0..60.0).contains(&near_ms), "{near_ms}");
    assert!((80.0..100.0).contains(&far_ms), "{far_ms}");
}

/// A router that has just started does not know which parts the engines hold.
#[test]
fn fetches_from_the_preferred_engine_if_no_holder_is_known() {
    let preferred = Holder { is_preferred: true, ..engine("b", 0) };

    let (kind, fetch_ms) = source(&[engine("a", 0), preferred], &[]).unwrap();

    assert_eq!(kind, SourceKind::Engine(1));
    assert!(fetch_ms < 10.0, "a miss costs next to nothing: {fetch_ms}");
    assert_eq!(source(&[preferred, engine("a", 0)], &[]), None);
}

#[test]
fn does_not_fetch_parts_that_the_engine_already_holds() {
    let (_, whole_ms) = source(&[engine("a", 0)], &[store()]).unwrap();
    let (_, rest_ms) = source(&[engine("a", 2_520)], &[store()]).unwrap();

    assert!(rest_ms < 0.7 * whole_ms);
}

#[test]
fn never_fetches_parts_of_other_weights() {
    let older = Holder { version: VERSION - 1, is_preferred: true, ..engine("a", SHARED_TOKENS) };
    let older_store = Stored { version: VERSION - 1, ..store() };

    assert_eq!(source(&[engine("a", 0), older], &[older_store]), None);
}

/// In a large fleet, every engine holds the first part, which all prompts have in common.
#[test]
fn finds_the_engine_with_the_whole_prompt_among_many_with_its_beginning() {
    let mut holders: Vec<Option<Holder<'_>>> =
        (0..1_000).map(|_| Some(engine("a", 2_520))).collect();
    holders[700] = Some(engine("b", SHARED_TOKENS));

    let found = sources(&holders, &[], &HEAVY, 42.6);

    assert!((0..700).all(|at| found[at].unwrap().kind == SourceKind::Engine(700)));
    assert_eq!(found[700].unwrap().tokens, 2_520);
}
