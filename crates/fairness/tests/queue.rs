//! Tests of single rules of the queue: priority, deadlines, bounds, reserved slots and charges.

use samphirespread_core::prelude::*;
use samphirespread_fairness::{Admission, Config, DropCause, Error, Queue};

fn team(name: &str) -> TeamName {
    TeamName::new(name)
}

fn at(ms: u64) -> MonoTime {
    MonoTime::from_ms(ms)
}

#[test]
fn lower_priority_value_runs_first_within_a_team() {
    let mut queue = Queue::new(Config::new(8));
    let notice = team("notice");
    for (priority, item) in [(5, "draft"), (0, "truck"), (3, "letter")] {
        queue.push(at(0), &Admission::new(&notice, 10).priority(priority), item).unwrap();
    }

    let order: Vec<&str> =
        std::iter::from_fn(|| queue.pop(at(1))).map(|popped| popped.item).collect();

    assert_eq!(order, ["truck", "letter", "draft"]);
}

#[test]
fn ageing_bounds_the_head_start_of_urgent_entries() {
    let mut queue = Queue::new(Config::new(8).ageing_ms(100));
    let notice = team("notice");
    queue.push(at(0), &Admission::new(&notice, 10).priority(1), "draft").unwrap();
    queue.push(at(101), &Admission::new(&notice, 10).priority(0), "truck").unwrap();

    let first = queue.pop(at(102)).unwrap();

    assert_eq!(first.item, "draft");
}

#[test]
fn priority_has_no_effect_between_teams() {
    let mut queue = Queue::new(Config::new(1).idle_credit_tokens(0));
    let (flooding, other) = (team("flooding"), team("other"));
    for item in 0..4 {
        queue
            .push(at(0), &Admission::new(&flooding, 10).cost_tokens(100).priority(0), item)
            .unwrap();
    }
    queue.push(at(0), &Admission::new(&other, 10).cost_tokens(100).priority(9), 100).unwrap();

    let mut order = Vec::new();
    for ms in 1..4 {
        let popped = queue.pop(at(ms)).unwrap();
        queue.complete(at(ms), popped.ticket, 100);
        order.push(popped.item);
    }

    assert!(order[..2].contains(&100), "served as {order:?}");
}

#[test]
fn an_expired_entry_is_returned_with_a_retry_time() {
    let mut queue = Queue::new(Config::new(1).max_wait_ms(50).retry_range_ms(20, 40));
    let notice = team("notice");
    queue.push(at(0), &Admission::new(&notice, 10).max_wait_ms(10), "short").unwrap();
    queue.push(at(0), &Admission::new(&notice, 10).max_wait_ms(1_000), "long").unwrap();

    let first = queue.take_dropped(at(10));
    let second = queue.take_dropped(at(50));

    assert_eq!(first.len(), 1);
    assert_eq!((first[0].item, first[0].cause), ("short", DropCause::Expired));
    assert!((20..=40).contains(&first[0].retry_after_ms));
    assert_eq!(second[0].item, "long");
    assert!(queue.pop(at(51)).is_none());
}

#[test]
fn an_entry_past_its_deadline_is_not_popped() {
    let mut queue = Queue::new(Config::new(1).max_wait_ms(50));
    queue.push(at(0), &Admission::new(&team("notice"), 10), "late").unwrap();

    let popped = queue.pop(at(50));

    assert!(popped.is_none());
    assert_eq!(queue.take_dropped(at(50)).len(), 1);
}

#[test]
fn a_flood_does_not_use_up_the_space_of_other_teams() {
    let mut queue = Queue::new(Config::new(1).max_len(10));
    let (flooding, other) = (team("flooding"), team("other"));
    for item in 0..10 {
        queue.push(at(0), &Admission::new(&flooding, 10), item).unwrap();
    }

    let refused = queue.push(at(1), &Admission::new(&flooding, 10), 10).unwrap_err();
    for item in 100..105 {
        queue.push(at(1), &Admission::new(&other, 10), item).unwrap();
    }
    let beyond_share = queue.push(at(1), &Admission::new(&other, 10), 105).unwrap_err();

    assert_eq!(refused.error, Error::Full);
    assert_eq!(beyond_share.item, 105);
    let displaced: Vec<i32> =
        queue.take_dropped(at(1)).into_iter().map(|entry| entry.item).collect();
    assert_eq!(displaced, [9, 8, 7, 6, 5], "the latest entries of the flood are displaced");
    assert_eq!((queue.team_len(&flooding), queue.team_len(&other)), (5, 5));
}

#[test]
fn a_flood_of_large_entries_does_not_use_up_the_bytes_of_other_teams() {
    let mut queue = Queue::new(Config::new(1).max_bytes(1_000));
    let (flooding, other) = (team("flooding"), team("other"));
    for item in 0..4 {
        queue.push(at(0), &Admission::new(&flooding, 10).size_bytes(250), item).unwrap();
    }

    let refused = queue.push(at(1), &Admission::new(&flooding, 10).size_bytes(250), 4);
    queue.push(at(1), &Admission::new(&other, 10).size_bytes(500), 100).unwrap();
    let beyond_share = queue.push(at(1), &Admission::new(&other, 10).size_bytes(1), 101);

    assert!(refused.is_err());
    assert!(beyond_share.is_err());
    let displaced: Vec<i32> =
        queue.take_dropped(at(1)).into_iter().map(|entry| entry.item).collect();
    assert_eq!(displaced, [3, 2]);
}

#[test]
fn an_idle_team_gains_no_claim_to_more_service() {
    let mut queue = Queue::new(Config::new(1).idle_credit_tokens(0).max_wait_ms(1_000_000));
    let (steady, returning) = (team("steady"), team("returning"));
    for item in 0..100 {
        queue.push(at(0), &Admission::new(&steady, 10).cost_tokens(100), item).unwrap();
    }
    for ms in 0..50 {
        let popped = queue.pop(at(ms)).unwrap();
        queue.complete(at(ms), popped.ticket, 100);
    }
    for item in 1_000..1_010 {
        queue.push(at(50), &Admission::new(&returning, 10).cost_tokens(100), item).unwrap();
    }

    let mut turns_of_returning = 0;
    for ms in 51..61 {
        let popped = queue.pop(at(ms)).unwrap();
        queue.complete(at(ms), popped.ticket, 100);
        turns_of_returning += usize::from(popped.item >= 1_000);
    }

    assert!(
        (4..=6).contains(&turns_of_returning),
        "the team that was idle got {turns_of_returning} of 10 turns"
    );
}

#[test]
fn a_team_above_its_share_leaves_the_reserved_slot_free() {
    let mut queue = Queue::new(Config::new(4).reserved_slots(1));
    let (flooding, other) = (team("flooding"), team("other"));
    queue.push(at(0), &Admission::new(&other, 10), 100).unwrap();
    let popped = queue.pop(at(0)).unwrap();
    queue.complete(at(0), popped.ticket, 1);
    for item in 0..8 {
        queue.push(at(1), &Admission::new(&flooding, 10), item).unwrap();
    }

    let taken = std::iter::from_fn(|| queue.pop(at(1))).count();
    queue.push(at(2), &Admission::new(&other, 10), 101).unwrap();
    let next = queue.pop(at(2)).map(|popped| popped.item);

    assert_eq!(taken, 3);
    assert_eq!(next, Some(101));
}

#[test]
fn a_team_may_use_every_slot_while_the_others_are_idle() {
    let mut queue = Queue::new(Config::new(4));
    let (flooding, idle) = (team("flooding"), team("idle"));
    queue.push(at(0), &Admission::new(&idle, 10), 100).unwrap();
    let popped = queue.pop(at(0)).unwrap();
    queue.complete(at(1), popped.ticket, 1);
    for item in 0..8 {
        queue.push(at(10_000), &Admission::new(&flooding, 10).cost_tokens(1_000), item).unwrap();
    }

    let taken = std::iter::from_fn(|| queue.pop(at(10_000))).count();

    assert_eq!(taken, 4);
}

#[test]
fn a_team_with_excess_demand_leaves_free_the_slots_that_others_use() {
    let mut queue = Queue::new(Config::new(8).window_ms(1_000).reserve_deviations(0.0));
    let (flooding, steady) = (team("flooding"), team("steady"));
    let mut tickets = Vec::new();
    for item in 0..5 {
        queue.push(at(0), &Admission::new(&steady, 10).cost_tokens(100), item).unwrap();
        tickets.push(queue.pop(at(0)).unwrap().ticket);
    }
    for item in 100..120 {
        queue.push(at(9_000), &Admission::new(&flooding, 10).cost_tokens(1_000), item).unwrap();
    }
    queue.complete(at(9_001), tickets[0], 100);
    queue.complete(at(9_001), tickets[1], 100);

    let taken = std::iter::from_fn(|| queue.pop(at(9_001))).count();
    queue.push(at(9_002), &Admission::new(&steady, 10).cost_tokens(100), 5).unwrap();
    let next = queue.pop(at(9_002)).map(|popped| popped.item);

    assert_eq!(taken, 4, "the flooding team takes only its share, although five slots are free");
    assert_eq!(next, Some(5));
}

#[test]
fn the_estimated_wait_is_correct_even_if_estimated_costs_are_wrong() {
    let mut queue = Queue::new(Config::new(1).max_wait_ms(1_000_000));
    let desk = team("desk");
    for item in 0..20 {
        queue.push(at(0), &Admission::new(&desk, 10).cost_tokens(5_000), item).unwrap();
    }
    for number in 0..10 {
        let popped = queue.pop(at(number * 100)).unwrap();
        queue.complete(at((number + 1) * 100), popped.ticket, 50);
    }
    queue.pop(at(1_000)).unwrap();

    let wait_ms = queue.wait_ms();

    assert_eq!(wait_ms, 1_000, "nine entries wait and one runs, at 100 ms each");
}

#[test]
fn pop_within_share_skips_a_team_with_excess_demand() {
    let mut queue = Queue::new(Config::new(8));
    let (flooding, steady) = (team("flooding"), team("steady"));
    for item in 100..120 {
        queue.push(at(0), &Admission::new(&flooding, 10).cost_tokens(1_000), item).unwrap();
    }
    queue.push(at(1), &Admission::new(&steady, 10).cost_tokens(100), 1).unwrap();

    let first = queue.pop_within_share(at(2)).map(|popped| popped.item);
    let second = queue.pop_within_share(at(2)).map(|popped| popped.item);

    assert_eq!((first, second), (Some(1), None));
    assert!(queue.pop(at(2)).is_some());
}

#[test]
fn a_cancelled_entry_never_runs() {
    let mut queue = Queue::new(Config::new(1));
    let ticket = queue.push(at(0), &Admission::new(&team("notice"), 10), "draft").unwrap();

    let cancelled = queue.cancel(at(1), ticket);

    assert_eq!(cancelled, Some("draft"));
    assert!(queue.pop(at(1)).is_none());
    assert_eq!(queue.cancel(at(1), ticket), None);
}

#[test]
fn completion_refunds_an_overestimated_cost() {
    let mut queue = Queue::new(Config::new(1).idle_credit_tokens(0));
    let (over, exact) = (team("over"), team("exact"));
    for item in 0..10 {
        queue.push(at(0), &Admission::new(&over, 10).cost_tokens(1_000), item).unwrap();
        queue.push(at(0), &Admission::new(&exact, 10).cost_tokens(100), 100 + item).unwrap();
    }

    let mut turns_of_over = 0;
    for ms in 1..11 {
        let popped = queue.pop(at(ms)).unwrap();
        queue.complete(at(ms), popped.ticket, 100);
        turns_of_over += usize::from(popped.item < 100);
    }

    assert!(
        (4..=6).contains(&turns_of_over),
        "the team that overestimates got {turns_of_over} of 10 turns"
    );
}

#[test]
#[should_panic(expected = "only a running entry completes")]
fn completing_an_entry_twice_panics() {
    let mut queue = Queue::new(Config::new(1));
    queue.push(at(0), &Admission::new(&team("notice"), 10), ()).unwrap();
    let popped = queue.pop(at(0)).unwrap();

    queue.complete(at(1), popped.ticket, 1);
    queue.complete(at(1), popped.ticket, 1);
}
