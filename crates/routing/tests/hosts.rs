//! Where runs go when the engines of a service are emptied one after the other.

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

/// Every engine is emptied in turn: a run that goes to the next one would be moved at once again.
#[test]
fn runs_gather_on_the_engines_that_load_last() {
    let next = Host { loads_soon: true, ..host(1_000) };

    assert_eq!(chosen(&[next, host(50_000)]), Some(1));
    assert_eq!(chosen(&[next]), None);
}

#[test]
fn a_run_stays_near_where_there_is_room() {
    let far = Host { is_far: true, ..host(0) };

    assert_eq!(chosen(&[far, host(60_000)]), Some(1));
    assert_eq!(chosen(&[far, host(80_000)]), Some(0));
}

#[test]
fn a_full_engine_or_one_with_a_queue_takes_no_run() {
    let queued = Host { waiting: 1, ..host(0) };
    let without_slot = Host { free_slots: 0, ..host(0) };

    assert_eq!(chosen(&[queued, without_slot, host(95_000)]), None);
}

#[test]
fn other_weights_take_no_run() {
    let newer = Host { version: VERSION + 1, ..host(0) };
    let older = Host { version: VERSION - 1, ..host(0) };

    assert_eq!(chosen(&[newer, older]), None);
}

/// Engines die while their runs are moved off them, after the bound on their weights: where such a run arrives, it
/// begins.
#[test]
fn no_run_moves_on_weights_whose_bound_is_over() {
    let late = RunToMove { oldest_allowed: VERSION + 1, ..run() };

    assert_eq!(choose_host(&[Some(host(0))], &late), None);
}
