//! Planned work of operators, in series and overlapping.

use std::ops::Range;

use rand::{Rng, SeedableRng, rngs::SmallRng, seq::IndexedRandom};

use super::{Fault, Planned, Process, Setting, Size};

/// Calm before planned work alone, longer than what a start still explains.
pub(super) const CALM_AT_START_MS: u64 = 6_000;
/// Sets the draw of planned work apart from that of other faults, so that these stay as they were.
const WORK_SEED: u64 = 0x33;
/// Sets the draw of the grace period apart.
const GRACE_SEED: u64 = 0x44;
const GRACES_S: [u64; 5] = [3, 4, 6, 8, 8];
/// Time between two gateways of a rolling stop.
const ROLL_GAP_MS: Range<u64> = 200..3_000;
/// Time between two signals to one process.
const AGAIN_MS: Range<u64> = 50..2_500;
/// Time between configurations, weights and signals of a series.
const SERIES_GAP_MS: Range<u64> = 100..1_200;
const SERIES: Range<u64> = 1..4;
/// How long a server is marked as leaving.
const LEAVES_MS: Range<u64> = 1_000..6_000;
const STREAM_TIMEOUTS_MS: [u64; 3] = [7_000, 6_000, 9_000];
const IDLE_TIMEOUTS_MS: [u64; 3] = [600, 1_500, 5_000];

/// How often something is planned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Pace {
    /// Beside other faults.
    Rare,
    /// Alone.
    Dense,
}

impl Pace {
    fn gap_ms(self) -> Range<u64> {
        match self {
            Self::Rare => 1_500..6_000,
            Self::Dense => 300..2_500,
        }
    }
}

pub(super) fn draw_grace_s(seed: u64) -> u64 {
    let mut random = SmallRng::seed_from_u64(seed ^ GRACE_SEED);
    *GRACES_S.choose(&mut random).unwrap_or(&super::USUAL_GRACE_S)
}

pub(super) fn draw(seed: u64, span: Range<u64>, pace: Pace, size: Size) -> Vec<Planned> {
    let mut random = SmallRng::seed_from_u64(seed ^ WORK_SEED);
    let mut work = Vec::new();
    let mut at_ms = span.start + random.random_range(pace.gap_ms());
    while at_ms < span.end {
        let drawn = draw_one(&mut random, at_ms, size);
        work.extend(drawn.into_iter().filter(|planned| planned.at_ms < span.end));
        at_ms += random.random_range(pace.gap_ms());
    }
    for planned in &mut work {
        planned.for_ms = planned.for_ms.min(span.end - planned.at_ms);
    }
    work
}

/// Draws one piece of work, which may have several steps.
fn draw_one(random: &mut SmallRng, at_ms: u64, size: Size) -> Vec<Planned> {
    let gateway = random.random_range(0..size.gateways);
    let once = |fault| vec![Planned { at_ms, for_ms: 0, fault }];
    let stop = |gateway| Fault::Leaves(Process::Gateway(gateway));
    match random.random_range(0..16_u32) {
        0 => once(stop(gateway)),
        1 => in_turn(random, at_ms, ROLL_GAP_MS, (0..size.gateways).map(stop)),
        2 => {
            let count = random.random_range(2..=size.gateways.max(2));
            let some = (gateway..gateway + count).map(|index| stop(index % size.gateways));
            in_turn(random, at_ms, 0..1, some)
        }
        3 => in_turn(random, at_ms, AGAIN_MS, [stop(gateway), stop(gateway)]),
        4 => once(Fault::Leaves(Process::Sidecar(random.random_range(0..size.engines)))),
        5 | 6 => {
            let times = random.random_range(SERIES);
            let change = Fault::SettingsChange { gateway, signalled: true };
            in_turn(random, at_ms, SERIES_GAP_MS, (0..times).map(|_| change.clone()))
        }
        7..=10 => {
            let times = random.random_range(SERIES);
            let settings: Vec<_> = (0..times).map(|_| draw_setting(random)).collect();
            in_turn(random, at_ms, SERIES_GAP_MS, settings.into_iter().map(Fault::Configured))
        }
        11..=13 => {
            let times = random.random_range(SERIES);
            in_turn(random, at_ms, SERIES_GAP_MS, (0..times).map(|_| Fault::WeightsNamed))
        }
        _ => {
            let server = random.random_range(0..size.engines + size.desks);
            let for_ms = random.random_range(LEAVES_MS);
            vec![Planned { at_ms, for_ms, fault: Fault::ServerDrains(server) }]
        }
    }
}

fn in_turn(
    random: &mut SmallRng,
    mut at_ms: u64,
    gap_ms: Range<u64>,
    faults: impl IntoIterator<Item = Fault>,
) -> Vec<Planned> {
    let mut steps = Vec::new();
    for fault in faults {
        steps.push(Planned { at_ms, for_ms: 0, fault });
        at_ms += random.random_range(gap_ms.clone());
    }
    steps
}

fn draw_setting(random: &mut SmallRng) -> Setting {
    match random.random_range(0..6_u32) {
        0 => Setting::ExtraRoute(random.random()),
        1 => Setting::SecondServiceWeight(random.random_range(0..100)),
        2 => Setting::StreamTimeout(*STREAM_TIMEOUTS_MS.choose(random).unwrap_or(&7_000)),
        3 => Setting::ExtraTeam(random.random()),
        4 => Setting::RatePercent(random.random_range(40..=100)),
        _ => Setting::IdleTimeout(*IDLE_TIMEOUTS_MS.choose(random).unwrap_or(&5_000)),
    }
}
