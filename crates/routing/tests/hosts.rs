//! The choice of destinations for runs when the engines of a service are drained one after another.

use samphirespread_routing::hosts::{Host, RunToMove, choose_host};

const VERSION: u64 = 3;

fn host(used_tokens: u64) -> Host {
    Host {
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

fn chosen(hosts: &[Host]) -> Option<usize> {
    let hosts: Vec<Option<Host>> = hosts.iter().copied().map(Some).collect();
    choose_host(&hosts, &run())
}

/// Engines are drained one after another. A run that moves to the next one would soon have to move
/// again.
#[test]
fn avoids_engines_that_are_drained_next() {
    let next = Host { loads_soon: true, ..host(1_000) };

    assert_eq!(chosen(&[next, host(50_000)]), Some(1));
    assert_eq!(chosen(&[next]), None);
}

#[test]
fn prefers_the_same_failure_domain_if_it_has_memory() {
    let far = Host { is_far: true, ..host(0) };

    assert_eq!(chosen(&[far, host(60_000)]), Some(1));
    assert_eq!(chosen(&[far, host(80_000)]), Some(0));
}

#[test]
fn rejects_engines_without_memory_or_slots_or_with_a_queue() {
    let queued = Host { waiting: 1, ..host(0) };
    let without_slot = Host { free_slots: 0, ..host(0) };

    assert_eq!(chosen(&[queued, without_slot, host(95_000)]), None);
}

#[test]
fn rejects_engines_with_other_weights() {
    let newer = Host { version: VERSION + 1, ..host(0) };
    let older = Host { version: VERSION - 1, ..host(0) };

    assert_eq!(chosen(&[newer, older]), None);
}

/// If the source engine fails during a move, the destination sees the run as a request that starts.
/// So the rule for starting requests applies.
#[test]
fn does_not_move_runs_on_weights_that_are_too_old() {
    let late = RunToMove { oldest_allowed: VERSION + 1, ..run() };

    assert_eq!(choose_host(&[Some(host(0))], &late), None);
}
