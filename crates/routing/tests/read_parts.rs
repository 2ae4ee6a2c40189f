//! The reports among routers of the parts that engines have read.

use samphirespread_core::prelude::*;
use samphirespread_routing::read_parts::{
    EngineTag, MAX_FACTS_PER_RECORD, REPORT_AGAIN_MS, ReadParts, lifetime_ms,
};

const REPORTED_MS: u64 = 400;

fn engine() -> EngineTag {
    EngineTag::of("i-1")
}

fn reported(parts: &ReadParts, now_ms: u64) -> Vec<u64> {
    parts.recent(REPORTED_MS, MonoTime::from_ms(now_ms)).map(|fact| fact.part).collect()
}

/// A part that is requested many times a second is reported only when it is first read.
#[test]
fn reports_a_frequently_used_part_once_per_interval() {
    let mut parts = ReadParts::default();
    for request in 0..100 {
        parts.record(engine(), &[7], MonoTime::from_ms(1_000 + 10 * request));
    }

    assert_eq!(reported(&parts, 1_300), [7]);
    assert!(reported(&parts, 1_990).is_empty());

    let again_ms = 1_000 + REPORT_AGAIN_MS;
    parts.record(engine(), &[7], MonoTime::from_ms(again_ms));
    assert_eq!(reported(&parts, again_ms), [7]);
}

/// The weights are new, so engines have to read the parts of every request.
#[test]
fn limits_a_record_to_the_latest_facts() {
    let mut parts = ReadParts::default();
    for part in 0..1_000 {
        parts.record(engine(), &[part], MonoTime::from_ms(1_000));
    }

    let reported = reported(&parts, 1_000);

    assert_eq!(reported.len(), MAX_FACTS_PER_RECORD);
    assert_eq!(reported[0], 999);
}

#[test]
fn the_same_part_at_two_engines_is_reported_twice() {
    let mut parts = ReadParts::default();
    parts.record(engine(), &[7], MonoTime::from_ms(1_000));
    parts.record(EngineTag::of("i-2"), &[7], MonoTime::from_ms(1_000));

    assert_eq!(reported(&parts, 1_000).len(), 2);
}

/// Many prompts with long parts of their own evict the shared parts from all engines within
/// seconds.
#[test]
fn estimated_lifetime_depends_on_memory_and_demand() {
    let calm = lifetime_ms(105_000, 12, 97.0);
    let busy = lifetime_ms(164_000, 18, 478.0);
    let flood = lifetime_ms(164_000, 18, 950.0);

    assert!((6_000..8_001).contains(&calm), "{calm}");
    assert!((3_000..4_500).contains(&busy), "{busy}");
    assert!((1_500..2_250).contains(&flood), "{flood}");
    assert_eq!(lifetime_ms(105_000, 12, 0.0), 8_000);
    assert_eq!(lifetime_ms(105_000, 0, 97.0), 1_000);
}
