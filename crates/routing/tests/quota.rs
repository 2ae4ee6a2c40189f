//! Team quotas over several routers that report to each other, with an independent count of what
//! they admit.

use std::collections::VecDeque;

use rand::{Rng, SeedableRng, rngs::SmallRng};
use samphirespread_core::prelude::*;
use samphirespread_routing::{
    model::Quota,
    quota::{Quotas, TeamKey, UsageReport},
};

const RATE_PER_S: f64 = 100_000.0;
const BURST: f64 = 100_000.0;
const WINDOW_MS: u64 = 8_000;
/// The fraction by which admissions in a window may exceed rate and burst.
const ALLOWED_EXCESS: f64 = 0.1;
const SLACK: f64 = 110_000.0;
const REPORT_INTERVAL_MS: u64 = 100;
const REPORTS_PER_FULL_REPORT: u64 = 10;
/// Each report contains the totals that changed within this time.
const RECENT_MS: u64 = 400;
/// A router sends only full reports for this long after its start.
const FULL_AT_START_MS: u64 = 1_000;
/// The delay of reports that are sent over relays.
const RELAYED_DELAY_MS: std::ops::Range<u64> = 100..320;
const STEP_MS: u64 = 5;
const COST: f64 = 9_000.0;

fn team() -> TeamName {
    TeamName::new("desk")
}

fn quota() -> Quota {
    Quota { rate_per_s: RATE_PER_S, burst: BURST, in_tokens: true, default_tokens: 200.0 }
}

fn name(index: usize) -> InstanceName {
    InstanceName::new(format!("r{index}"))
}

/// A report that has been sent and not yet received.
struct ReportInTransit {
    at_ms: u64,
    from: usize,
    to: usize,
    incarnation: Incarnation,
    usage: UsageReport,
    sent_ms: u64,
}

/// Several routers, their reports, and everything that was admitted.
struct Fleet {
    routers: Vec<Quotas>,
    incarnations: Vec<Incarnation>,
    started_ms: Vec<u64>,
    partitioned: Vec<bool>,
    in_transit: Vec<ReportInTransit>,
    admitted: VecDeque<(u64, f64)>,
    admitted_in_window: f64,
    max_in_window: f64,
    all_admitted: f64,
    requested: usize,
    refused: usize,
    /// The range of the reports' delays.
    delay_ms: std::ops::Range<u64>,
}

impl Fleet {
    fn new(routers: usize) -> Self {
        Self {
            delay_ms: 1..20,
            routers: (0..routers).map(|index| start(index, routers, 0)).collect(),
            incarnations: vec![Incarnation(1); routers],
            started_ms: vec![0; routers],
            partitioned: vec![false; routers],
            in_transit: Vec::new(),
            admitted: VecDeque::new(),
            admitted_in_window: 0.0,
            max_in_window: 0.0,
            all_admitted: 0.0,
            requested: 0,
            refused: 0,
        }
    }

    fn restart(&mut self, index: usize, now_ms: u64) {
        self.incarnations[index].0 += 1;
        self.started_ms[index] = now_ms;
        self.routers[index] = start(index, self.routers.len(), now_ms);
        self.in_transit.retain(|report| report.to != index);
    }

    fn request(&mut self, index: usize, now_ms: u64) -> Option<u64> {
        let now = MonoTime::from_ms(now_ms);
        self.requested += 1;
        match self.routers[index].admit(&team(), COST, now) {
            Ok(()) => {
                self.admitted.push_back((now_ms, COST));
                self.admitted_in_window += COST;
                self.all_admitted += COST;
                None
            }
            Err(over) => {
                self.refused += 1;
                Some(over.retry_after_ms)
            }
        }
    }

    fn report(&mut self, now_ms: u64, random: &mut SmallRng) {
        for from in 0..self.routers.len() {
            let since = MonoTime::from_ms(now_ms).minus_ms(RECENT_MS);
            for to in 0..self.routers.len() {
                let is_lost = random.random_bool(0.02);
                if to == from || self.partitioned[from] || self.partitioned[to] || is_lost {
                    continue;
                }
                let at_ms = now_ms + random.random_range(self.delay_ms.clone());
                let incarnation = self.incarnations[from];
                let has_started = now_ms < self.started_ms[from] + FULL_AT_START_MS;
                let is_full = has_started
                    || (now_ms / REPORT_INTERVAL_MS).is_multiple_of(REPORTS_PER_FULL_REPORT);
                let quotas = &self.routers[from];
                let usage = if is_full { quotas.usage() } else { quotas.usage_since(since) };
                self.in_transit.push(ReportInTransit {
                    at_ms,
                    from,
                    to,
                    incarnation,
                    usage,
                    sent_ms: now_ms,
                });
            }
        }
    }

    fn deliver(&mut self, now_ms: u64) {
        let now = MonoTime::from_ms(now_ms);
        let (due, later) = std::mem::take(&mut self.in_transit)
            .into_iter()
            .partition(|report| report.at_ms <= now_ms);
        self.in_transit = later;
        let due: Vec<ReportInTransit> = due;
        for report in due {
            let ReportInTransit { from, to, incarnation, usage, sent_ms, .. } = report;
            let sent = MonoTime::from_ms(sent_ms);
            self.routers[to].apply_report(&name(from), incarnation, &usage, sent, now);
        }
    }

    fn drop_old_admissions(&mut self, now_ms: u64) {
        while let Some((at_ms, cost)) = self.admitted.front().copied() {
            if now_ms - at_ms < WINDOW_MS {
                break;
            }
            self.admitted_in_window -= cost;
            self.admitted.pop_front();
        }
        self.max_in_window = self.max_in_window.max(self.admitted_in_window);
    }
}

fn start(index: usize, routers: usize, now_ms: u64) -> Quotas {
    let now = MonoTime::from_ms(now_ms);
    let mut quotas = Quotas::new(now, SLACK / 4.0);
    let others: Vec<InstanceName> =
        (0..routers).filter(|other| *other != index).map(name).collect();
    quotas.set_routers(&others, now);
    quotas.set_teams([(&team(), quota())], now);
    quotas
}

fn allowed() -> f64 {
    let window_s = f64::from(u32::try_from(WINDOW_MS).unwrap()) / 1_000.0;
    (RATE_PER_S * window_s + BURST) * (1.0 + ALLOWED_EXCESS) + SLACK
}

/// Simulates requests at `load_factor` times the rate for half a minute, and calls `disturb` at
/// each step.
fn simulate(
    seed: u64,
    load_factor: f64,
    disturb: impl FnMut(&mut Fleet, u64, &mut SmallRng),
) -> Fleet {
    simulate_with(Fleet::new(5), seed, load_factor, disturb)
}

fn simulate_with(
    mut fleet: Fleet,
    seed: u64,
    load_factor: f64,
    mut disturb: impl FnMut(&mut Fleet, u64, &mut SmallRng),
) -> Fleet {
    let mut random = SmallRng::seed_from_u64(seed);
    let routers = fleet.routers.len();
    let chance = load_factor * RATE_PER_S / COST * 0.001 * STEP_MS as f64;
    for step in 0..6_000 {
        let now_ms = 1_000 + step * STEP_MS;
        disturb(&mut fleet, now_ms, &mut random);
        fleet.deliver(now_ms);
        if now_ms.is_multiple_of(REPORT_INTERVAL_MS) {
            fleet.report(now_ms, &mut random);
        }
        let mut requests = chance;
        while requests > 0.0 {
            if random.random_bool(requests.min(1.0)) {
                // Callers are spread unevenly over the routers.
                let index = random.random_range(0..routers).min(random.random_range(0..routers));
                fleet.request(index, now_ms);
            }
            requests -= 1.0;
        }
        fleet.drop_old_admissions(now_ms);
    }
    fleet
}

#[test]
fn admits_a_team_within_its_rate_despite_unevenly_spread_callers() {
    for seed in 0..10 {
        let fleet = simulate(seed, 0.6, |_, _, _| {});

        // Requests are refused in the first second only, before the buckets have filled.
        let share = f64::from(u32::try_from(fleet.refused).unwrap())
            / f64::from(u32::try_from(fleet.requested).unwrap());
        assert!(share < 0.02, "seed {seed}: {} of {}", fleet.refused, fleet.requested);
    }
}

/// One team sends many times its rate.
#[test]
fn limits_an_overloading_team_to_its_rate() {
    for seed in 0..10 {
        let fleet = simulate(seed, 7.5, |_, _, _| {});

        assert!(
            fleet.max_in_window <= allowed(),
            "seed {seed}: {} of {}",
            fleet.max_in_window,
            allowed()
        );
        assert!(fleet.all_admitted > 0.95 * RATE_PER_S * 30.0, "seed {seed}");
    }
}

/// Relayed reports are a few hundred milliseconds old when they arrive, and some routers restart.
#[test]
fn limits_an_overloading_team_to_its_rate_with_relayed_reports() {
    for seed in 0..4 {
        let fleet = Fleet { delay_ms: RELAYED_DELAY_MS, ..Fleet::new(30) };
        let fleet = simulate_with(fleet, seed, 7.5, |fleet, now_ms, random| {
            if now_ms.is_multiple_of(3_000) {
                fleet.restart(random.random_range(0..30), now_ms);
            }
        });

        assert!(
            fleet.max_in_window <= allowed(),
            "seed {seed}: {} of {}",
            fleet.max_in_window,
            allowed()
        );
        assert!(fleet.all_admitted > 0.9 * RATE_PER_S * 30.0, "seed {seed}");
    }
}

#[test]
fn partitioned_routers_stay_within_the_total_limit() {
    for seed in 0..10 {
        let fleet = simulate(seed, 5.0, |fleet, now_ms, random| {
            if now_ms.is_multiple_of(4_000) {
                fleet.partitioned = (0..5).map(|_| random.random_bool(0.4)).collect();
            }
        });

        assert!(
            fleet.max_in_window <= allowed(),
            "seed {seed}: {} of {}",
            fleet.max_in_window,
            allowed()
        );
    }
}

#[test]
fn restarting_routers_stay_within_the_total_limit() {
    for seed in 0..10 {
        let fleet = simulate(seed, 5.0, |fleet, now_ms, random| {
            if now_ms.is_multiple_of(9_000) {
                (0..5).for_each(|index| fleet.restart(index, now_ms));
            } else if now_ms.is_multiple_of(2_000) {
                fleet.restart(random.random_range(0..5), now_ms);
            }
        });

        assert!(
            fleet.max_in_window <= allowed(),
            "seed {seed}: {} of {}",
            fleet.max_in_window,
            allowed()
        );
        assert!(fleet.all_admitted > 0.75 * RATE_PER_S * 30.0, "seed {seed}");
    }
}

/// Callers that retry at the returned time are admitted, in the order of their first requests.
#[test]
fn admits_callers_at_the_returned_retry_time() {
    let mut quotas = start(0, 1, 0);
    let mut now_ms = 10_000;
    while quotas.admit(&team(), COST, MonoTime::from_ms(now_ms)).is_ok() {}
    let retries_ms: Vec<u64> = (0..3)
        .map(|_| {
            let refused = quotas.admit(&team(), COST, MonoTime::from_ms(now_ms)).unwrap_err();
            now_ms + refused.retry_after_ms
        })
        .collect();

    assert!(retries_ms.windows(2).all(|pair| pair[0] < pair[1]));
    for at_ms in retries_ms {
        now_ms = at_ms;
        assert!(quotas.admit(&team(), COST, MonoTime::from_ms(now_ms)).is_ok());
    }
}

/// After a reduction of the quota, the largest prompts may cost more than the burst.
#[test]
fn admits_a_request_above_the_burst_when_the_bucket_is_nearly_full() {
    let mut quotas = start(0, 1, 0);
    let large = 2.0 * BURST;
    let refused = quotas.admit(&team(), large, MonoTime::from_ms(100)).unwrap_err();
    let back_ms = 100 + refused.retry_after_ms;

    assert!(quotas.admit(&team(), large, MonoTime::from_ms(back_ms)).is_ok());
    assert!(quotas.admit(&team(), COST, MonoTime::from_ms(back_ms + 900)).is_err());
    assert!(quotas.admit(&team(), COST, MonoTime::from_ms(back_ms + 1_400)).is_ok());
}

#[test]
fn a_refund_restores_the_charged_cost() {
    let mut quotas = start(0, 1, 0);
    let now = MonoTime::from_ms(5_000);
    let mut admitted = 0;
    while quotas.admit(&team(), COST, now).is_ok() {
        admitted += 1;
    }

    quotas.refund(&team(), COST, now);

    assert!(admitted > 0);
    assert!(quotas.admit(&team(), COST, now).is_ok());
    assert!(quotas.admit(&team(), COST, now).is_err());
}

/// Returns the quotas of one of two routers after a report by the other one.
fn reporting(usage: &UsageReport) -> Quotas {
    let mut quotas = start(0, 2, 0);
    let nothing = UsageReport { totals: vec![(TeamKey::of(&team()), 0.0)], is_full: true };
    for (usage, at) in [(&nothing, MonoTime::from_ms(900)), (usage, MonoTime::from_ms(1_000))] {
        quotas.apply_report(&name(1), Incarnation(1), usage, at, at);
    }
    quotas
}

#[test]
fn a_report_of_changes_drains_the_bucket_like_a_full_report() {
    let totals = vec![(TeamKey::of(&team()), 50_000.0)];
    for is_full in [true, false] {
        let mut quotas = reporting(&UsageReport { totals: totals.clone(), is_full });

        let refused = quotas.admit(&team(), 60_000.0, MonoTime::from_ms(1_000)).unwrap_err();

        assert!(refused.level < 50_000.0, "{refused:?}");
    }
}

/// The first reports that a restarted router receives may contain only what has changed.
#[test]
fn before_a_full_report_only_increases_drain_the_bucket() {
    let mut quotas = start(0, 2, 0);
    let now = MonoTime::from_ms(1_000);
    let report =
        |total, is_full| UsageReport { totals: vec![(TeamKey::of(&team()), total)], is_full };
    let mut level_after = |usage| {
        quotas.apply_report(&name(1), Incarnation(1), &usage, now, now);
        quotas.admit(&team(), f64::MAX, now).unwrap_err().level
    };

    let first = level_after(report(80_000.0, false));
    let second = level_after(report(85_000.0, false));
    let full = level_after(report(85_000.0, true));
    let third = level_after(report(86_000.0, false));

    assert_eq!((first - second, second - full, full - third), (5_000.0, 0.0, 1_000.0));
}

/// After a full report, a team that no report has contained has used nothing.
#[test]
fn the_first_total_of_a_team_drains_after_a_full_report_or_in_a_new_run() {
    let other = TeamName::new("another");
    let total = |total| UsageReport { totals: vec![(TeamKey::of(&team()), total)], is_full: false };
    let nothing = UsageReport { totals: vec![(TeamKey::of(&other), 0.0)], is_full: true };
    // The reports arrive at the start, so that no use of the other router is assumed before.
    let now = MonoTime::ZERO;
    for run in [Incarnation(1), Incarnation(2)] {
        let mut quotas = start(0, 2, 0);
        quotas.apply_report(&name(1), Incarnation(1), &nothing, now, now);
        let before = quotas.admit(&team(), f64::MAX, now).unwrap_err().level;

        quotas.apply_report(&name(1), run, &total(9_000.0), now, now);

        let after = quotas.admit(&team(), f64::MAX, now).unwrap_err().level;
        assert_eq!(before - after, 9_000.0);
    }
}

/// The number of a run is derived from the wall clock, which may have been set back before the
/// restart.
#[test]
fn accepts_a_new_run_with_a_lower_number_and_ignores_the_previous_run() {
    let mut quotas = start(0, 2, 0);
    let report = |total| UsageReport { totals: vec![(TeamKey::of(&team()), total)], is_full: true };
    let mut level_after = |run, total, sent_ms| {
        let sent = MonoTime::from_ms(sent_ms);
        quotas.apply_report(
            &name(1),
            Incarnation(run),
            &report(total),
            sent,
            MonoTime::from_ms(300),
        );
        quotas.admit(&team(), f64::MAX, MonoTime::from_ms(300)).unwrap_err().level
    };

    let first = level_after(9, 50_000.0, 100);
    let second = level_after(8, 3_000.0, 300);
    let late = level_after(9, 59_000.0, 200);

    assert_eq!((first - second, second - late), (3_000.0, 0.0));
}

/// A router whose reports arrive long after they were sent counts as silent.
#[test]
fn a_late_report_leaves_its_sender_silent() {
    let mut reporting = start(0, 2, 0);
    let mut silent = start(0, 2, 0);
    let nothing = UsageReport { totals: Vec::new(), is_full: true };
    for at_ms in (0..10_000).step_by(100) {
        let now = MonoTime::from_ms(at_ms);
        reporting.apply_report(&name(1), Incarnation(1), &nothing, now, now);
        silent.apply_report(&name(1), Incarnation(1), &nothing, now.minus_ms(800), now);
    }

    let admitted = |quotas: &mut Quotas| {
        let now = MonoTime::from_ms(10_000);
        (0..100).filter(|_| quotas.admit(&team(), BURST / 10.0, now).is_ok()).count()
    };
    assert_eq!((admitted(&mut reporting), admitted(&mut silent)), (10, 5));
}

#[test]
fn reports_of_changes_omit_unchanged_teams() {
    let mut quotas = start(0, 2, 0);
    let then = MonoTime::from_ms(1_000);
    quotas.admit(&team(), COST, then).unwrap();

    assert_eq!(quotas.usage_since(then).totals, [(TeamKey::of(&team()), COST)]);
    assert_eq!(quotas.usage_since(then.plus_ms(1)).totals, []);
    assert_eq!(quotas.usage().totals, [(TeamKey::of(&team()), COST)]);
}

/// A team without a limit went into debt with all that it used, and was refused for hours after a
/// configuration gave it its first limit.
#[test]
fn use_without_a_limit_is_no_debt_under_the_first_limit() {
    let unlimited = Quota { rate_per_s: 0.0, burst: 0.0, ..quota() };
    let mut routers: Vec<Quotas> =
        (0..2).map(|_| Quotas::new(MonoTime::ZERO, 2.0 * COST)).collect();
    for (index, router) in routers.iter_mut().enumerate() {
        router.set_routers(&[name(1 - index)], MonoTime::ZERO);
        router.set_teams([(&team(), unlimited)], MonoTime::ZERO);
    }
    tell_each_other(&mut routers, MonoTime::ZERO);
    for ms in 1..1_000 {
        for router in &mut routers {
            assert!(router.admit(&team(), COST, MonoTime::from_ms(ms)).is_ok());
        }
    }

    let now = MonoTime::from_ms(1_000);
    routers.iter_mut().for_each(|router| router.set_teams([(&team(), quota())], now));
    tell_each_other(&mut routers, now);

    for router in &mut routers {
        assert_eq!(router.admit(&team(), COST, now), Ok(()));
        let retry = router.admit(&team(), COST, now).unwrap_err();
        assert!(retry.retry_after_ms <= 100, "{retry:?}");
    }
}

/// Refused callers are told to come back one after the other. Those of a slow rate kept their places
/// when a configuration raised the rate, so later ones were told to wait for minutes.
#[test]
fn a_raised_rate_forgets_when_refused_callers_were_to_come_back() {
    let mut quotas = Quotas::new(MonoTime::ZERO, 0.0);
    quotas.set_teams([(&team(), Quota { rate_per_s: 100.0, ..quota() })], MonoTime::ZERO);
    for ms in 0..50 {
        assert!(quotas.admit(&team(), COST, MonoTime::from_ms(ms)).is_err());
    }

    let now = MonoTime::from_ms(50);
    quotas.set_teams([(&team(), quota())], now);
    let first = quotas.admit(&team(), COST, now).unwrap_err();
    let second = quotas.admit(&team(), COST, now).unwrap_err();

    assert!(first.retry_after_ms <= 100, "{first:?}");
    assert!(second.retry_after_ms > first.retry_after_ms, "{second:?}");
    assert!(second.retry_after_ms <= 200, "{second:?}");
}

/// A configuration that leaves a quota as it is leaves the order in which callers come back.
#[test]
fn an_unchanged_quota_keeps_when_refused_callers_are_to_come_back() {
    let mut quotas = Quotas::new(MonoTime::ZERO, 0.0);
    quotas.set_teams([(&team(), quota())], MonoTime::ZERO);
    let first = quotas.admit(&team(), COST, MonoTime::ZERO).unwrap_err();

    quotas.set_teams([(&team(), quota())], MonoTime::ZERO);
    let second = quotas.admit(&team(), COST, MonoTime::ZERO).unwrap_err();

    assert!(second.retry_after_ms > first.retry_after_ms, "{first:?} {second:?}");
}

fn tell_each_other(routers: &mut [Quotas], now: MonoTime) {
    let usage: Vec<UsageReport> = routers.iter().map(Quotas::usage).collect();
    for (index, router) in routers.iter_mut().enumerate() {
        let other = 1 - index;
        router.apply_report(&name(other), Incarnation(1), &usage[other], now, now);
    }
}

/// Guards against a whole first allowance at each of several routers that begin without knowing the others.
#[test]
fn the_first_allowance_is_divided_when_the_routers_become_known() {
    let names: Vec<InstanceName> = (0..4).map(name).collect();
    let mut quotas = Quotas::new(MonoTime::ZERO, 5.0 * COST);
    quotas.set_teams([(&team(), quota())], MonoTime::ZERO);
    let known = MonoTime::from_ms(1_000);

    quotas.set_routers(&names, known);

    assert!(quotas.admit(&team(), COST, known).is_ok());
    assert!(quotas.admit(&team(), COST, known).is_err());
}
