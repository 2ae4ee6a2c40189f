//! Each mechanism against the failure that it is for: off first, then on.

mod common;

use common::{Weather, World, checker, team_limit};
use samphirespread_limits::{Limiter, LimitsConfig, Mechanisms, ShareTable};

const RATE: u64 = 40_000;
const BURST: u64 = 12_000;
const REACH: u64 = 8_000;
const ONE_LUMP: u64 = 3_000;
const MS: u64 = 1_000;

fn full_fleet(seed: u64, mechanisms: Mechanisms) -> World<Limiter> {
    fleet_with_holders(seed, 3, mechanisms)
}

fn fleet_with_holders(seed: u64, holders: usize, mechanisms: Mechanisms) -> World<Limiter> {
    let config = LimitsConfig::new()
        .slots(1)
        .max_holders(holders)
        .revoke_wait_ms(2_500)
        .poll_ms(400)
        .call_timeout_ms(500)
        .silence_timeout_ms(900)
        .mechanisms(mechanisms);
    let limits = vec![team_limit("team", RATE, BURST)];
    let mut world = World::new(seed, 3, config, limits);
    world.run_until(8_000 * MS);
    world
}

fn advance(world: &mut World<Limiter>, by_us: u64) {
    let until_us = world.now_us + by_us;
    world.run_until(until_us);
}

/// Waits until a router's share is gone from the object, half a minute at most.
fn advance_until_removed(world: &mut World<Limiter>, node: usize) {
    for _ in 0..3_000 {
        let table = ShareTable::from_json(world.object(0).unwrap_or_default()).expect("a table");
        if table.share(&world.holder(node)).is_none() {
            return;
        }
        advance(world, 10 * MS);
    }
}

/// Takes all that can be had at every router, at once.
fn drain(world: &mut World<Limiter>) {
    for node in world.alive() {
        for _ in 0..150 {
            world.offer(node, 0, 100, 0, 60_000 * MS);
        }
    }
    advance(world, 100 * MS);
}

fn exceeds(world: &World<Limiter>) -> bool {
    checker::check(&world.admitted, &world.limits, 0).is_err()
}

/// A router asks for lumps, and the answers take this long on their way back.
fn lend_late(world: &mut World<Limiter>, answer_us: u64) {
    world.weather.one_way_us = (100 * MS, 100 * MS);
    world.offer(0, 0, REACH, 0, 5 * MS);
    advance(world, 50 * MS);
    world.weather.one_way_us = (answer_us, answer_us);
    advance(world, 51 * MS);
    world.weather = Weather::calm();
}

/// A router without a share keeps an unspent lump while both lenders restart.
fn lenders_restart(mechanisms: Mechanisms) -> World<Limiter> {
    let mut world = fleet_with_holders(1, 2, mechanisms);
    let table = ShareTable::from_json(world.object(0).unwrap_or_default()).expect("a table");
    let (holders, others): (Vec<usize>, Vec<usize>) =
        (0..3).partition(|node| table.share(&world.holder(*node)).is_some());
    world.offer(others[0], 0, ONE_LUMP, 0, 60_000 * MS);
    advance(&mut world, 15 * MS);
    for holder in holders {
        world.crash(holder, Some(0));
    }
    advance(&mut world, 500 * MS);
    drain(&mut world);
    world
}

/// A router is frozen while the others take over its share.
fn frozen_holder(mechanisms: Mechanisms) -> World<Limiter> {
    let mut world = full_fleet(2, mechanisms);
    world.pause(0, 12_000 * MS);
    advance(&mut world, 12_000 * MS);
    drain(&mut world);
    world
}

/// Lumps arrive after the lender has counted them as lapsed.
fn slow_lumps(mechanisms: Mechanisms) -> World<Limiter> {
    let mut world = full_fleet(3, mechanisms);
    lend_late(&mut world, 1_300 * MS);
    advance(&mut world, 1_298_600);
    drain(&mut world);
    world
}

/// A hand-over sent by an earlier run of a router takes effect after its restart.
fn late_hand_over(mechanisms: Mechanisms) -> World<Limiter> {
    let mut world = full_fleet(4, mechanisms);
    world.weather.late_write_per_mille = 1_000;
    world.weather.late_write_us = 30_000 * MS;
    world.leave(0);
    advance(&mut world, 900 * MS);
    world.weather = Weather::calm();
    world.crash(0, Some(0));
    advance_until_removed(&mut world, 0);
    world.pause(0, 1_900 * MS);
    advance(&mut world, 1_900 * MS);
    drain(&mut world);
    world
}

/// A holder without the platform is in contact with one of its two witnesses only.
fn holder_half_cut_off(mechanisms: Mechanisms) -> World<Limiter> {
    let mut world = full_fleet(5, mechanisms);
    world.cut_from_platform(0, 60_000 * MS);
    world.cut(0, 1, 60_000 * MS);
    advance_until_removed(&mut world, 0);
    advance(&mut world, 1_300 * MS);
    drain(&mut world);
    world
}

#[test]
fn revocation_waits_for_promises_and_a_holder_with_contact_goes_on() {
    let naive = holder_half_cut_off(Mechanisms { promises: false, ..Mechanisms::ALL });
    let whole = holder_half_cut_off(Mechanisms::ALL);

    let (machine, now) = whole.machine(0).expect("it runs");
    assert!(exceeds(&naive));
    assert!(!exceeds(&whole));
    assert!(machine.snapshot(now).slots[0].in_contact);
}

#[test]
fn restart_reserves_for_lumps_of_the_earlier_run() {
    let naive = lenders_restart(Mechanisms { start_reserve: false, ..Mechanisms::ALL });
    let whole = lenders_restart(Mechanisms::ALL);

    assert!(exceeds(&naive));
    assert!(!exceeds(&whole));
}

#[test]
fn thawed_holder_admits_nothing_from_a_share_that_was_taken() {
    let naive = frozen_holder(Mechanisms { contact_rule: false, ..Mechanisms::ALL });
    let whole = frozen_holder(Mechanisms::ALL);

    assert!(exceeds(&naive));
    assert!(!exceeds(&whole));
}

#[test]
fn lump_lifetime_counts_from_the_request() {
    let naive = slow_lumps(Mechanisms { expiry_from_request: false, ..Mechanisms::ALL });
    let whole = slow_lumps(Mechanisms::ALL);

    assert!(exceeds(&naive));
    assert!(!exceeds(&whole));
}

#[test]
fn claim_defeats_a_late_write_of_the_earlier_run() {
    let naive = late_hand_over(Mechanisms { claim_write: false, ..Mechanisms::ALL });
    let whole = late_hand_over(Mechanisms::ALL);

    assert!(exceeds(&naive));
    assert!(!exceeds(&whole));
}
