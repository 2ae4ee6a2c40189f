//! Tests each safety mechanism against the failure that it prevents.
//!
//! Each failure must make the fleet exceed its limit with the mechanism off, and must not with it
//! on.

mod common;

use common::{Conditions, Simulation, checker, team_limit};
use samphirespread_limits::{Limiter, LimitsConfig, Mechanisms, ShareTable};

const RATE_TOKENS_PER_S: u64 = 40_000;
const BURST_TOKENS: u64 = 12_000;
const MAX_OBTAINABLE_TOKENS: u64 = 8_000;
const ONE_LUMP_TOKENS: u64 = 3_000;
const US_PER_MS: u64 = 1_000;

fn fleet_with_three_holders(seed: u64, mechanisms: Mechanisms) -> Simulation<Limiter> {
    fleet_with_holders(seed, 3, mechanisms)
}

fn fleet_with_holders(seed: u64, holders: usize, mechanisms: Mechanisms) -> Simulation<Limiter> {
    let config = LimitsConfig::new()
        .slots(1)
        .max_holders(holders)
        .revoke_wait_ms(2_500)
        .poll_ms(400)
        .call_timeout_ms(500)
        .silence_timeout_ms(900)
        .mechanisms(mechanisms);
    let limits = vec![team_limit("team", RATE_TOKENS_PER_S, BURST_TOKENS)];
    let mut sim = Simulation::new(seed, 3, config, limits);
    sim.run_until(8_000 * US_PER_MS);
    sim
}

fn advance(sim: &mut Simulation<Limiter>, by_us: u64) {
    let until_us = sim.now_us + by_us;
    sim.run_until(until_us);
}

/// Advances until a router's share is gone from the object, by half a minute at most.
fn advance_until_removed(sim: &mut Simulation<Limiter>, node: usize) {
    for _ in 0..3_000 {
        let table = ShareTable::from_json(sim.object(0).unwrap_or_default()).expect("a table");
        if table.share(&sim.holder(node)).is_none() {
            return;
        }
        advance(sim, 10 * US_PER_MS);
    }
}

/// Offers more requests at every router at once than the limit allows.
fn offer_everywhere(sim: &mut Simulation<Limiter>) {
    for node in sim.alive() {
        for _ in 0..150 {
            sim.offer(node, 0, 100, 0, 60_000 * US_PER_MS);
        }
    }
    advance(sim, 100 * US_PER_MS);
}

fn exceeds_limit(sim: &Simulation<Limiter>) -> bool {
    checker::check(&sim.admitted, &sim.limits, 0).is_err()
}

/// Lets a router ask for lumps, and delays the answers by `answer_us`.
fn borrow_with_late_answers(sim: &mut Simulation<Limiter>, answer_us: u64) {
    sim.conditions.one_way_us = (100 * US_PER_MS, 100 * US_PER_MS);
    sim.offer(0, 0, MAX_OBTAINABLE_TOKENS, 0, 5 * US_PER_MS);
    advance(sim, 50 * US_PER_MS);
    sim.conditions.one_way_us = (answer_us, answer_us);
    advance(sim, 51 * US_PER_MS);
    sim.conditions = Conditions::reliable();
}

/// A router without a share keeps an unspent lump while both lenders restart.
fn lenders_restart(mechanisms: Mechanisms) -> Simulation<Limiter> {
    let mut sim = fleet_with_holders(1, 2, mechanisms);
    let table = ShareTable::from_json(sim.object(0).unwrap_or_default()).expect("a table");
    let (holders, others): (Vec<usize>, Vec<usize>) =
        (0..3).partition(|node| table.share(&sim.holder(*node)).is_some());
    sim.offer(others[0], 0, ONE_LUMP_TOKENS, 0, 60_000 * US_PER_MS);
    advance(&mut sim, 15 * US_PER_MS);
    for holder in holders {
        sim.crash(holder, Some(0));
    }
    advance(&mut sim, 500 * US_PER_MS);
    offer_everywhere(&mut sim);
    sim
}

/// A router is frozen while the others take over its share.
fn frozen_holder(mechanisms: Mechanisms) -> Simulation<Limiter> {
    let mut sim = fleet_with_three_holders(2, mechanisms);
    sim.pause(0, 12_000 * US_PER_MS);
    advance(&mut sim, 12_000 * US_PER_MS);
    offer_everywhere(&mut sim);
    sim
}

/// Lumps arrive after the lender has counted them as expired.
fn late_lumps(mechanisms: Mechanisms) -> Simulation<Limiter> {
    let mut sim = fleet_with_three_holders(3, mechanisms);
    borrow_with_late_answers(&mut sim, 1_300 * US_PER_MS);
    advance(&mut sim, 1_298_600);
    offer_everywhere(&mut sim);
    sim
}

/// A write by which an earlier run of a router gave its share away takes effect after the router's
/// restart.
fn late_handover(mechanisms: Mechanisms) -> Simulation<Limiter> {
    let mut sim = fleet_with_three_holders(4, mechanisms);
    sim.conditions.late_write_per_mille = 1_000;
    sim.conditions.late_write_us = 30_000 * US_PER_MS;
    sim.leave(0);
    advance(&mut sim, 900 * US_PER_MS);
    sim.conditions = Conditions::reliable();
    sim.crash(0, Some(0));
    advance_until_removed(&mut sim, 0);
    sim.pause(0, 1_900 * US_PER_MS);
    advance(&mut sim, 1_900 * US_PER_MS);
    offer_everywhere(&mut sim);
    sim
}

/// A holder is disconnected from the platform and from one of its two witnesses.
fn partly_disconnected_holder(mechanisms: Mechanisms) -> Simulation<Limiter> {
    let mut sim = fleet_with_three_holders(5, mechanisms);
    sim.disconnect_from_platform(0, 60_000 * US_PER_MS);
    sim.disconnect(0, 1, 60_000 * US_PER_MS);
    advance_until_removed(&mut sim, 0);
    advance(&mut sim, 1_300 * US_PER_MS);
    offer_everywhere(&mut sim);
    sim
}

#[test]
fn revocation_needs_promises_and_spares_a_holder_in_contact() {
    let unprotected = partly_disconnected_holder(Mechanisms { promises: false, ..Mechanisms::ALL });
    let protected = partly_disconnected_holder(Mechanisms::ALL);

    let (limiter, now) = protected.limiter(0).expect("it runs");
    assert!(exceeds_limit(&unprotected));
    assert!(!exceeds_limit(&protected));
    assert!(limiter.snapshot(now).slots[0].in_contact);
}

#[test]
fn restarted_holder_reserves_for_lumps_lent_by_its_earlier_run() {
    let unprotected = lenders_restart(Mechanisms { start_reserve: false, ..Mechanisms::ALL });
    let protected = lenders_restart(Mechanisms::ALL);

    assert!(exceeds_limit(&unprotected));
    assert!(!exceeds_limit(&protected));
}

#[test]
fn resumed_holder_does_not_use_a_revoked_share() {
    let unprotected = frozen_holder(Mechanisms { contact_rule: false, ..Mechanisms::ALL });
    let protected = frozen_holder(Mechanisms::ALL);

    assert!(exceeds_limit(&unprotected));
    assert!(!exceeds_limit(&protected));
}

#[test]
fn lump_lifetime_starts_when_the_request_is_sent() {
    let unprotected = late_lumps(Mechanisms { expiry_from_request: false, ..Mechanisms::ALL });
    let protected = late_lumps(Mechanisms::ALL);

    assert!(exceeds_limit(&unprotected));
    assert!(!exceeds_limit(&protected));
}

#[test]
fn claim_makes_a_late_write_of_an_earlier_run_fail() {
    let unprotected = late_handover(Mechanisms { claim_write: false, ..Mechanisms::ALL });
    let protected = late_handover(Mechanisms::ALL);

    assert!(exceeds_limit(&unprotected));
    assert!(!exceeds_limit(&protected));
}
