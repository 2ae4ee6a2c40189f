//! What makes bounds on repeats, on older weights and on memory hard to keep.

use std::ops::Range;

use rand::{Rng, SeedableRng, rngs::SmallRng};

use super::{Fault, Planned, Process, Size};

/// One run in this many has each of these.
const ONE_IN: u32 = 2;
/// Sets these draws apart from those of other faults, so that these stay as they were.
const REFUSALS_SEED: u64 = 0x88;
const LATE_SEED: u64 = 0x99;
const ENDLESS_SEED: u64 = 0xAA;
/// How many requests a server answers without end, and for how long it may.
const ENDLESS_REQUESTS: Range<usize> = 20..80;
const ENDLESS_MS: Range<u64> = 1_000..6_000;
/// How long all gateways are down before all servers refuse.
const DOWN_MS: Range<u64> = 100..600;
/// How long servers refuse.
const REFUSAL_MS: Range<u64> = 2_000..8_000;
/// More requests than reach a server in that time.
const REFUSED_REQUESTS: usize = 10_000;
/// How often requests begin late around newer weights.
const LATE_TIMES: Range<u32> = 1..4;
/// How many requests each engine begins late.
const LATE_REQUESTS: Range<usize> = 2..12;
/// How late; longer than the bound on older weights, in some cases.
const DELAY_MS: Range<u64> = 1_000..6_500;
/// When newer weights are named after the first such request may have come.
const NAMED_AFTER_MS: Range<u64> = 0..1_500;

/// Draws a kill of all gateways, after which all servers refuse for a while: each gateway wants to repeat
/// all that it gets, and has just started.
pub(super) fn draw_refusals(seed: u64, span: Range<u64>, size: Size) -> Vec<Planned> {
    let mut random = SmallRng::seed_from_u64(seed ^ REFUSALS_SEED);
    if !random.random_ratio(1, ONE_IN) || span.is_empty() {
        return Vec::new();
    }
    let at_ms = random.random_range(span.clone());
    let mut plan = |at_ms: u64, for_ms: Range<u64>, fault| {
        let for_ms = random.random_range(for_ms).min(span.end - at_ms);
        Planned { at_ms, for_ms, fault }
    };
    let gateways = (0..size.gateways).map(Process::Gateway);
    let mut faults: Vec<Planned> =
        gateways.map(|process| plan(at_ms, DOWN_MS, Fault::Dies(process))).collect();
    for server in 0..size.engines + size.desks {
        let refuses = Fault::ServerRefuses { server, requests: REFUSED_REQUESTS };
        faults.push(plan(at_ms, REFUSAL_MS, refuses));
    }
    faults
}

/// Draws requests that begin late, and newer weights that are named while these wait.
pub(super) fn draw_late_beginnings(seed: u64, span: Range<u64>, size: Size) -> Vec<Planned> {
    let mut random = SmallRng::seed_from_u64(seed ^ LATE_SEED);
    if !random.random_ratio(1, ONE_IN) || span.is_empty() {
        return Vec::new();
    }
    let mut faults = Vec::new();
    for _ in 0..random.random_range(LATE_TIMES) {
        let at_ms = random.random_range(span.clone());
        let for_ms = span.end - at_ms;
        for server in 0..size.engines {
            let requests = random.random_range(LATE_REQUESTS);
            let delay_ms = random.random_range(DELAY_MS);
            let late = Fault::ServerBeginsLate { server, requests, delay_ms };
            faults.push(Planned { at_ms, for_ms, fault: late });
        }
        let at_ms = (at_ms + random.random_range(NAMED_AFTER_MS)).min(span.end);
        faults.push(Planned { at_ms, for_ms: 0, fault: Fault::WeightsNamed });
    }
    faults
}

/// Draws servers, all but one, that send bytes without end at the same time.
pub(super) fn draw_endless_answers(seed: u64, span: Range<u64>, size: Size) -> Vec<Planned> {
    let mut random = SmallRng::seed_from_u64(seed ^ ENDLESS_SEED);
    if !random.random_ratio(1, ONE_IN) || span.is_empty() {
        return Vec::new();
    }
    let at_ms = random.random_range(span.clone());
    let plan = |server: usize| {
        let requests = random.random_range(ENDLESS_REQUESTS);
        let for_ms = random.random_range(ENDLESS_MS).min(span.end - at_ms);
        Planned { at_ms, for_ms, fault: Fault::ServerNeverEnds { server, requests } }
    };
    (1..size.engines + size.desks).map(plan).collect()
}
