//! Choice of the engine or plain server for one request.

use samphirespread_core::prelude::*;
use samphirespread_routing::{
    choice::{EngineView, ServerView, Work, choose_engine, choose_server, has_near_home},
    model::{Engine, Generation, PromptPart},
    sources::{Kind, Source},
};

const MEMORY_TOKENS: u64 = 160_000;

/// A classification: a long shared prompt that the store holds, and a part of its own.
fn classification() -> Work {
    Work {
        prompt_tokens: 9_190,
        shared_tokens: 6_300,
        footprint_tokens: 9_250,
        base_ms: 45.0,
        read_tokens_per_ms: 112.0,
        prefers_newest: true,
        has_near_home: false,
    }
}

/// The store, which holds all shared parts.
fn store(fetch_ms: f64) -> Source {
    Source { kind: Kind::Store, tokens: 6_300, fetch_ms }
}

fn idle_engine() -> EngineView {
    EngineView {
        is_near: true,
        is_newest: true,
        is_avoided: false,
        usable_ms: u64::MAX,
        running: 0,
        waiting: 0,
        used_tokens: 0,
        memory_tokens: MEMORY_TOKENS,
        unread_tokens: 0,
        resident_tokens: 0,
        source: Some(store(8.0)),
        home_rank: 1,
    }
}

fn home() -> EngineView {
    EngineView { home_rank: 0, ..idle_engine() }
}

fn chosen(views: &[EngineView]) -> usize {
    chosen_for(&classification(), views)
}

fn chosen_for(work: &Work, views: &[EngineView]) -> usize {
    let views: Vec<Option<EngineView>> = views.iter().copied().map(Some).collect();
    choose_engine(&views, work).expect("there is an engine").0
}

/// The same classification as its caller asks for it.
fn classification_request() -> Generation {
    let part = |id: &str, tokens| PromptPart { id: id.into(), tokens };
    Generation {
        model: ModelName::new("reader"),
        prompt_tokens: 9_190,
        max_output_tokens: 60,
        parts: vec![part("rules", 2_520), part("subject", 3_780), part("own", 2_890)],
    }
}

fn engine(memory_tokens: u64, token_bytes: u64, link_mbps: f64) -> Engine {
    Engine { slots: 64, memory_tokens, token_bytes, link_mbps, moves_runs: true }
}

/// Many engines a domain with fast links: thousands of prompts a second would cross domains for parts that
/// a near engine fetches in a few milliseconds.
#[test]
fn a_prompt_stays_in_its_domain_where_that_holds_a_home_for_it() {
    let work = Work { has_near_home: true, ..classification() };
    let near_home_without_parts = home();
    let far_home = EngineView { is_near: false, resident_tokens: 6_300, ..home() };

    assert_eq!(chosen_for(&work, &[far_home, near_home_without_parts]), 1);
}

#[test]
fn a_prompt_leaves_its_domain_when_the_home_there_has_a_queue() {
    let work = Work { has_near_home: true, ..classification() };
    let busy_near_home = EngineView { unread_tokens: 8_000, running: 20, ..home() };
    let far_home = EngineView { is_near: false, resident_tokens: 6_300, ..home() };

    assert_eq!(chosen_for(&work, &[far_home, busy_near_home]), 0);
}

/// All caches were lost at once, and every prompt is fetched through the store's one link.
#[test]
fn parts_are_read_again_while_fetches_wait_longer_than_that_takes() {
    let views = [Some(home())];
    let crowded = [Some(EngineView { source: Some(store(900.0)), ..home() })];

    let (_, calm) = choose_engine(&views, &classification()).unwrap();
    let (_, reads) = choose_engine(&crowded, &classification()).unwrap();

    assert_eq!((calm.fetches, calm.read_tokens), (Some(Kind::Store), 2_890));
    assert_eq!((reads.fetches, reads.read_tokens), (None, 9_190));
    assert!(reads.first_event_ms < 200.0);
}

/// The parts may have been dropped since: what the engine lacks is fetched then, not read.
#[test]
fn an_engine_that_is_believed_to_hold_the_parts_may_fetch_them_all_the_same() {
    let holds = EngineView { resident_tokens: 6_300, ..home() };

    let (_, estimate) = choose_engine(&[Some(holds)], &classification()).unwrap();

    assert_eq!((estimate.fetches, estimate.may_fetch), (None, Some(Kind::Store)));
}

/// An engine that holds the parts needs no fetch, in whichever domain it is.
#[test]
fn the_engine_with_the_parts_is_chosen_while_fetches_wait() {
    let work = Work { has_near_home: true, ..classification() };
    let crowded = EngineView { source: Some(store(900.0)), ..home() };
    let far_home = EngineView { is_near: false, resident_tokens: 6_300, ..crowded };

    assert_eq!(chosen_for(&work, &[crowded, far_home]), 1);
}

/// Engines that read slowly: what waits to be read at the home takes longer than elsewhere from the start.
#[test]
fn a_queue_weighs_more_where_engines_read_slowly() {
    let home_with_queue = EngineView { unread_tokens: 5_000, resident_tokens: 6_300, ..home() };
    let slow = Work { read_tokens_per_ms: 42.6, ..classification() };

    assert_eq!(chosen_for(&classification(), &[idle_engine(), home_with_queue]), 1);
    assert_eq!(chosen_for(&slow, &[idle_engine(), home_with_queue]), 0);
}

/// Few engines a domain, or parts that are slow to fetch: copies in each domain push each other out.
#[test]
fn a_domain_holds_homes_where_it_has_room_and_fast_links() {
    let request = classification_request();
    let fast = engine(160_000, 18_432, 370_000.0);
    let heavy = engine(160_000, 327_680, 740_000.0);

    assert!(has_near_home(&fast, 32, &request));
    assert!(has_near_home(&fast, 6, &request));
    assert!(!has_near_home(&fast, 3, &request));
    assert!(!has_near_home(&fast, 0, &request));
    assert!(!has_near_home(&heavy, 32, &request));
}

/// Many hot subjects before a store with one link: a copy of the parts in each failure domain would
/// push the others out of memory, and the store's link would carry every prompt.
#[test]
fn parts_stay_at_one_engine_of_the_fleet_while_it_keeps_up() {
    let far_home = EngineView { is_near: false, running: 10, ..home() };

    assert_eq!(chosen(&[idle_engine(), far_home]), 1);
}

/// One subject gets much of the traffic.
#[test]
fn a_home_with_a_long_queue_is_left() {
    let busy_home = EngineView { unread_tokens: 8_000, running: 20, ..home() };

    assert_eq!(chosen(&[idle_engine(), busy_home]), 0);
}

#[test]
fn older_weights_are_used_when_engines_with_newer_ones_are_behind() {
    let old = EngineView { is_newest: false, ..home() };
    let new = EngineView { unread_tokens: 20_000, ..idle_engine() };
    let idle_new = idle_engine();

    assert_eq!(chosen(&[old, new]), 0);
    assert_eq!(chosen(&[old, idle_new]), 1);
}

/// Few engines hold the newest weights yet, and their share of the requests is taken.
#[test]
fn a_request_beyond_the_share_of_the_newest_weights_goes_to_older_ones() {
    let old = EngineView { is_newest: false, ..idle_engine() };
    let new = idle_engine();
    let views = [Some(old), Some(new)];
    let beyond = Work { prefers_newest: false, ..classification() };

    assert_eq!(choose_engine(&views, &beyond).unwrap().0, 0);
    assert_eq!(choose_engine(&[None, Some(new)], &beyond).unwrap().0, 1);
}

#[test]
fn an_engine_without_memory_or_trust_comes_last() {
    let full = EngineView { used_tokens: MEMORY_TOKENS - 1_000, ..home() };
    let avoided = EngineView { is_avoided: true, ..home() };
    let busy = EngineView { unread_tokens: 100_000, ..idle_engine() };

    assert_eq!(chosen(&[full, avoided, busy]), 2);
}

#[test]
fn nothing_is_chosen_among_nothing() {
    assert!(choose_engine(&[None, None], &classification()).is_none());
    assert!(choose_server(&[]).is_none());
}

#[test]
fn a_plain_server_nearby_is_left_when_its_slots_are_taken() {
    let near = |load| Some(ServerView { is_near: true, is_avoided: false, load, slots: 6 });
    let far = |load| Some(ServerView { is_near: false, is_avoided: false, load, slots: 6 });

    assert_eq!(choose_server(&[near(0), far(0)]), Some(0));
    assert_eq!(choose_server(&[near(6), far(1)]), Some(1));
}

/// Versions follow each other while engines crash: the few that are left have queues, and a request that waits there
/// would begin on weights whose bound is over.
#[test]
fn a_request_does_not_wait_at_an_engine_until_the_bound_on_its_weights_is_over() {
    let ending = EngineView { usable_ms: 1_850, is_newest: false, ..home() };
    let queued = EngineView { unread_tokens: 100_000, ..ending };
    let newest_with_queue = EngineView { unread_tokens: 200_000, ..idle_engine() };

    assert_eq!(chosen(&[ending, newest_with_queue]), 0);
    assert_eq!(chosen(&[queued, newest_with_queue]), 1);
    assert!(choose_engine(&[Some(queued)], &classification()).is_none());
}
