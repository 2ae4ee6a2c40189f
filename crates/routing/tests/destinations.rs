//! The choice of destinations for runs when the engines of a service are drained one after another.

use samphirespread_routing::destinations::{Destination, RunToMove, choose_destination};

const VERSION: u64 = 3;

fn destination(used_tokens: u64) -> Destination {
    Destination {
        version: VERSION,
        is_far: false,
        loads_soon: false,
        used_tokens,
        memory_tokens: 100_000,
        waiting: 0,
        free_slots: 10,
    }
}

fn run() -> RunToMove {
    RunToMove { version: VERSION, oldest_allowed: VERSION, footprint_tokens: 9_000 }
}

fn chosen(destinations: &[Destination]) -> Option<usize> {
    let destinations: Vec<Option<Destination>> = destinations.iter().copied().map(Some).collect();
    choose_destination(&destinations, &run())
}

/// Engines are drained one after another. A run that moves to the next one would soon have to move
/// again.
#[test]
fn avoids_engines_that_are_drained_next() {
    let next = Destination { loads_soon: true, ..destination(1_000) };

    assert_eq!(chosen(&[next, destination(50_000)]), Some(1));
    assert_eq!(chosen(&[next]), None);
}

#[test]
fn prefers_the_same_failure_domain_if_it_has_memory() {
    let far = Destination { is_far: true, ..destination(0) };

    assert_eq!(chosen(&[far, destination(60_000)]), Some(1));
    assert_eq!(chosen(&[far, destination(80_000)]), Some(0));
}

#[test]
fn rejects_engines_without_memory_or_slots_or_with_a_queue() {
    let queued = Destination { waiting: 1, ..destination(0) };
    let without_slot = Destination { free_slots: 0, ..destination(0) };

    assert_eq!(chosen(&[queued, without_slot, destination(95_000)]), None);
}

#[test]
fn rejects_engines_with_other_weights() {
    let newer = Destination { version: VERSION + 1, ..destination(0) };
    let older = Destination { version: VERSION - 1, ..destination(0) };

    assert_eq!(chosen(&[newer, older]), None);
}

/// If the source engine fails during a move, the destination sees the run as a request that starts.
/// So the rule for starting requests applies.
#[test]
fn does_not_move_runs_on_weights_that_are_too_old() {
    let late = RunToMove { oldest_allowed: VERSION + 1, ..run() };

    assert_eq!(choose_destination(&[Some(destination(0))], &late), None);
}
