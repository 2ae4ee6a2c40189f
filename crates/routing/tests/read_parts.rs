//! What routers tell each other of the parts that engines have read.

use samphirespread_core::prelude::*;
use samphirespread_routing::read_parts::{
    EngineTag, MAX_TOLD, ReadParts, TOLD_AGAIN_MS, lifetime_ms,
};

const TOLD_MS: u64 = 400;

fn engine() -> EngineTag {
    EngineTag::of("i-1")
}

fn told(parts: &ReadParts, now_ms: u64) -> Vec<u64> {
    parts.told(TOLD_MS, MonoTime::from_ms(now_ms)).map(|fact| fact.part).collect()
}

/// A hot part is asked for many times a second: its first reading is news.
#[test]
fn a_hot_part_is_told_once_in_a_while() {
    let mut parts = ReadParts::default();
    for request in 0..100 {
        parts.note(engine(), &[7], MonoTime::from_ms(1_000 + 10 * request));
    }

    assert_eq!(told(&parts, 1_300), [7]);
    assert!(told(&parts, 1_990).is_empty());

    let again_ms = 1_000 + TOLD_AGAIN_MS;
    parts.note(engine(), &[7], MonoTime::from_ms(again_ms));
    assert_eq!(told(&parts, again_ms), [7]);
}

/// Weights are new, and every request makes its engine read.
#[test]
fn a_flood_of_news_fills_no_more_than_a_record_and_the_latest_goes_first() {
    let mut parts = ReadParts::default();
    for part in 0..1_000 {
        parts.note(engine(), &[part], MonoTime::from_ms(1_000));
    }

    let told = told(&parts, 1_000);

    assert_eq!(told.len(), MAX_TOLD);
    assert_eq!(told[0], 999);
}

#[test]
fn the_same_part_at_two_engines_is_two_facts() {
    let mut parts = ReadParts::default();
    parts.note(engine(), &[7], MonoTime::from_ms(1_000));
    parts.note(EngineTag::of("i-2"), &[7], MonoTime::from_ms(1_000));

    assert_eq!(told(&parts, 1_000).len(), 2);
}

/// Many prompts with long parts of their own push shared parts out of every engine within seconds.
#[test]
fn parts_are_believed_to_stay_for_as_long_as_memory_lasts() {
    let calm = lifetime_ms(105_000, 12, 97.0);
    let busy = lifetime_ms(164_000, 18, 478.0);
    let flood = lifetime_ms(164_000, 18, 950.0);

    assert!((6_000..8_001).contains(&calm), "{calm}");
    assert!((3_000..4_500).contains(&busy), "{busy}");
    assert!((1_500..2_250).contains(&flood), "{flood}");
    assert_eq!(lifetime_ms(105_000, 12, 0.0), 8_000);
    assert_eq!(lifetime_ms(105_000, 0, 97.0), 1_000);
}
