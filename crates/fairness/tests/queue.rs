//! Focused tests of the queue's rules.

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
fn priority_of_one_team_does_not_pass_another_team() {
    let mut queue = Queue::new(Config::new(1).idle_credit_tokens(0));
    let (loud, quiet) = (team("loud"), team("quiet"));
    for item in 0..4 {
        queue.push(at(0), &Admission::new(&loud, 10).cost_tokens(100).priority(0), item).unwrap();
    }
    queue.push(at(0), &Admission::new(&quiet, 10).cost_tokens(100).priority(9), 100).unwrap();

    let mut order = Vec::new();
    for ms in 1..4 {
        let popped = queue.pop(at(ms)).unwrap();
        queue.complete(at(ms), popped.ticket, 100);
        order.push(popped.item);
    }

    assert!(order[..2].contains(&100), "served as {order:?}");
}

#[test]
fn an_entry_that_waited_too_long_is_returned_with_a_time_to_come_back() {
    let mut queue = Queue::new(Config::new(1).max_wait_ms(50).retry_range_ms(20, 40));
    let notice = team("notice");
    queue.push(at(0), &Admission::new(&notice, 10).max_wait_ms(10), "short").unwrap();
    queue.push(at(0), &Admission::new(&notice, 10).max_wait_ms(1_000), "long").unwrap();

    let first = queue.expire(at(10));
    let second = queue.expire(at(50));

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
    assert_eq!(queue.expire(at(50)).len(), 1);
}

#[test]
fn a_flood_does_not_use_up_the_room_of_others() {
    let mut queue = Queue::new(Config::new(1).max_len(10));
    let (loud, quiet) = (team("loud"), team("quiet"));
    for item in 0..10 {
        queue.push(at(0), &Admission::new(&loud, 10), item).unwrap();
    }

    let refused = queue.push(at(1), &Admission::new(&loud, 10), 10).unwrap_err();
    for item in 100..105 {
        queue.push(at(1), &Admission::new(&quiet, 10), item).unwrap();
    }
    let beyond_part = queue.push(at(1), &Admission::new(&quiet, 10), 105).unwrap_err();

    assert_eq!(refused.error, Error::Full);
    assert_eq!(beyond_part.item, 105);
    let displaced: Vec<i32> = queue.expire(at(1)).into_iter().map(|entry| entry.item).collect();
    assert_eq!(displaced, [9, 8, 7, 6, 5], "the latest entries of the flood go");
    assert_eq!((queue.team_len(&loud), queue.team_len(&quiet)), (5, 5));
}

#[test]
fn a_flood_of_long_entries_does_not_use_up_the_bytes_of_others() {
    let mut queue = Queue::new(Config::new(1).max_bytes(1_000));
    let (loud, quiet) = (team("loud"), team("quiet"));
    for item in 0..4 {
        queue.push(at(0), &Admission::new(&loud, 10).size_bytes(250), item).unwrap();
    }

    let refused = queue.push(at(1), &Admission::new(&loud, 10).size_bytes(250), 4);
    queue.push(at(1), &Admission::new(&quiet, 10).size_bytes(500), 100).unwrap();
    let beyond_part = queue.push(at(1), &Admission::new(&quiet, 10).size_bytes(1), 101);

    assert!(refused.is_err());
    assert!(beyond_part.is_err());
    let displaced: Vec<i32> = queue.expire(at(1)).into_iter().map(|entry| entry.item).collect();
    assert_eq!(displaced, [3, 2]);
}

#[test]
fn idle_time_is_not_saved_up() {
    let mut queue = Queue::new(Config::new(1).idle_credit_tokens(0).max_wait_ms(1_000_000));
    let (steady, sleeper) = (team("steady"), team("sleeper"));
    for item in 0..100 {
        queue.push(at(0), &Admission::new(&steady, 10).cost_tokens(100), item).unwrap();
    }
    for ms in 0..50 {
        let popped = queue.pop(at(ms)).unwrap();
        queue.complete(at(ms), popped.ticket, 100);
    }
    for item in 1_000..1_010 {
        queue.push(at(50), &Admission::new(&sleeper, 10).cost_tokens(100), item).unwrap();
    }

    let mut of_sleeper = 0;
    for ms in 51..61 {
        let popped = queue.pop(at(ms)).unwrap();
        queue.complete(at(ms), popped.ticket, 100);
        of_sleeper += usize::from(popped.item >= 1_000);
    }

    assert!((4..=6).contains(&of_sleeper), "the sleeper got {of_sleeper} of 10 turns");
}

#[test]
fn a_reserved_slot_is_kept_from_a_team_beyond_its_share() {
    let mut queue = Queue::new(Config::new(4).reserved_slots(1));
    let (loud, quiet) = (team("loud"), team("quiet"));
    queue.push(at(0), &Admission::new(&quiet, 10), 100).unwrap();
    let popped = queue.pop(at(0)).unwrap();
    queue.complete(at(0), popped.ticket, 1);
    for item in 0..8 {
        queue.push(at(1), &Admission::new(&loud, 10), item).unwrap();
    }

    let taken = std::iter::from_fn(|| queue.pop(at(1))).count();
    queue.push(at(2), &Admission::new(&quiet, 10), 101).unwrap();
    let next = queue.pop(at(2)).map(|popped| popped.item);

    assert_eq!(taken, 3);
    assert_eq!(next, Some(101));
}

#[test]
fn a_team_alone_may_use_every_slot() {
    let mut queue = Queue::new(Config::new(4));
    let (loud, gone) = (team("loud"), team("gone"));
    queue.push(at(0), &Admission::new(&gone, 10), 100).unwrap();
    let popped = queue.pop(at(0)).unwrap();
    queue.complete(at(1), popped.ticket, 1);
    for item in 0..8 {
        queue.push(at(10_000), &Admission::new(&loud, 10).cost_tokens(1_000), item).unwrap();
    }

    let taken = std::iter::from_fn(|| queue.pop(at(10_000))).count();

    assert_eq!(taken, 4);
}

#[test]
fn a_team_that_asks_too_much_leaves_free_what_others_use() {
    let mut queue = Queue::new(Config::new(8).window_ms(1_000).reserve_deviations(0.0));
    let (loud, steady) = (team("loud"), team("steady"));
    let mut tickets = Vec::new();
    for item in 0..5 {
        queue.push(at(0), &Admission::new(&steady, 10).cost_tokens(100), item).unwrap();
        tickets.push(queue.pop(at(0)).unwrap().ticket);
    }
    for item in 100..120 {
        queue.push(at(9_000), &Admission::new(&loud, 10).cost_tokens(1_000), item).unwrap();
    }
    queue.complete(at(9_001), tickets[0], 100);
    queue.complete(at(9_001), tickets[1], 100);

    let taken = std::iter::from_fn(|| queue.pop(at(9_001))).count();
    queue.push(at(9_002), &Admission::new(&steady, 10).cost_tokens(100), 5).unwrap();
    let next = queue.pop(at(9_002)).map(|popped| popped.item);

    assert_eq!(taken, 4, "the share of the team that floods, though five slots are free");
    assert_eq!(next, Some(5));
}

#[test]
fn the_estimated_wait_follows_served_entries_whatever_their_costs_were_estimated_at() {
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

    assert_eq!(wait_ms, 1_000, "nine wait and one runs, at 100 ms each");
}

#[test]
fn work_ahead_of_need_passes_over_a_team_that_asks_too_much() {
    let mut queue = Queue::new(Config::new(8));
    let (loud, steady) = (team("loud"), team("steady"));
    for item in 100..120 {
        queue.push(at(0), &Admission::new(&loud, 10).cost_tokens(1_000), item).unwrap();
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
fn an_overestimate_is_given_back() {
    let mut queue = Queue::new(Config::new(1).idle_credit_tokens(0));
    let (over, exact) = (team("over"), team("exact"));
    for item in 0..10 {
        queue.push(at(0), &Admission::new(&over, 10).cost_tokens(1_000), item).unwrap();
        queue.push(at(0), &Admission::new(&exact, 10).cost_tokens(100), 100 + item).unwrap();
    }

    let mut of_over = 0;
    for ms in 1..11 {
        let popped = queue.pop(at(ms)).unwrap();
        queue.complete(at(ms), popped.ticket, 100);
        of_over += usize::from(popped.item < 100);
    }

    assert!((4..=6).contains(&of_over), "the team that overestimates got {of_over} of 10 turns");
}

#[test]
#[should_panic(expected = "only a running entry completes")]
fn completing_twice_is_a_fault_of_the_caller() {
    let mut queue = Queue::new(Config::new(1));
    queue.push(at(0), &Admission::new(&team("notice"), 10), ()).unwrap();
    let popped = queue.pop(at(0)).unwrap();

    queue.complete(at(1), popped.ticket, 1);
    queue.complete(at(1), popped.ticket, 1);
}
