//! Where engines get shared parts, when weights are new, when all caches were lost, and while one link is busy.

use samphirespread_routing::sources::{Holder, Kind, Links, Stored, sources};

const VERSION: u64 = 4;
const SHARED_TOKENS: u64 = 6_300;
/// Heavy parts: those of one prompt are 2 GB.
const LINKS: Links = Links { token_bytes: 327_680, engine_mbps: 740_000.0 };

fn engine(domain: &str, resident_tokens: u64) -> Holder<'_> {
    Holder { domain, version: VERSION, resident_tokens, is_home: false }
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

/// The source of the first engine.
fn source(holders: &[Holder<'_>], stored: &[Stored<'_>]) -> Option<(Kind, f64)> {
    let holders: Vec<Option<Holder<'_>>> = holders.iter().copied().map(Some).collect();
    sources(&holders, stored, &LINKS)[0].map(|source| (source.kind, source.fetch_ms))
}

/// Weights are new: the first engine has read the parts, and the store does not hold them yet.
#[test]
fn parts_that_one_engine_has_read_come_from_there_before_the_store_has_them() {
    let found = source(&[engine("a", 0), engine("b", SHARED_TOKENS)], &[]);

    assert_eq!(found.unwrap().0, Kind::Engine(1));
}

/// Every prompt is fetched, and the store has one link for all.
#[test]
fn engines_spare_the_link_of_the_store() {
    let holds = engine("a", SHARED_TOKENS);

    assert_eq!(source(&[engine("a", 0), holds], &[store()]).unwrap().0, Kind::Engine(1));
}

/// All caches of engines were lost.
#[test]
fn the_store_serves_while_no_engine_holds_the_parts() {
    let (kind, near_ms) = source(&[engine("a", 0), engine("b", 0)], &[store()]).unwrap();
    let (_, far_ms) = source(&[engine("b", 0), engine("a", 0)], &[store()]).unwrap();

    assert_eq!(kind, Kind::Store);
    assert!((40.0..60.0).contains(&near_ms), "{near_ms}");
    assert!((80.0..100.0).contains(&far_ms), "{far_ms}");
}

/// A router that has just started knows of no engine what it holds.
#[test]
fn the_home_is_asked_where_nothing_is_known() {
    let home = Holder { is_home: true, ..engine("b", 0) };

    let (kind, fetch_ms) = source(&[engine("a", 0), home], &[]).unwrap();

    assert_eq!(kind, Kind::Engine(1));
    assert!(fetch_ms < 10.0, "a miss costs next to nothing: {fetch_ms}");
    assert_eq!(source(&[home, engine("a", 0)], &[]), None);
}

#[test]
fn what_the_engine_has_already_is_not_fetched() {
    let (_, whole_ms) = source(&[engine("a", 0)], &[store()]).unwrap();
    let (_, rest_ms) = source(&[engine("a", 2_520)], &[store()]).unwrap();

    assert!(rest_ms < 0.7 * whole_ms);
}

#[test]
fn parts_of_other_weights_are_never_a_source() {
    let older = Holder { version: VERSION - 1, is_home: true, ..engine("a", SHARED_TOKENS) };
    let older_store = Stored { version: VERSION - 1, ..store() };

    assert_eq!(source(&[engine("a", 0), older], &[older_store]), None);
}
