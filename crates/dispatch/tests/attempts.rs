//! Tests of the limit on the attempts of a request.

use samphirespread_core::prelude::*;
use samphirespread_dispatch::{Action, Event, Outcome, RequestMachine, RequestSpec};

const MAX_ATTEMPTS: u32 = 3;

fn started_request() -> RequestMachine {
    let id = RequestId { origin: 1, serial: 1 };
    let mut machine = RequestMachine::new(RequestSpec::model(id).max_attempts(MAX_ATTEMPTS));
    machine.handle(&Event::Start);
    machine
}

/// Runs one attempt that fails after `lines` lines, and returns the last action.
fn fail_after(machine: &mut RequestMachine, lines: u64) -> Action {
    machine.handle(&Event::Chosen { agent: InstanceName::new("a1") });
    let attempt = machine.attempt();
    for seq in 0..lines {
        machine.handle(&Event::Line { attempt, seq });
    }
    let actions = machine.handle(&Event::Failed { attempt, may_have_run: true });
    actions.last().cloned().unwrap()
}

#[test]
fn does_not_count_attempts_that_deliver_lines() {
    let mut machine = started_request();

    let last = (0..20).map(|_| fail_after(&mut machine, 2)).last();

    assert_eq!(last, Some(Action::Choose));
    assert_eq!(machine.delivered_lines(), 40);
}

#[test]
fn limits_attempts_that_deliver_no_line() {
    let mut machine = started_request();
    fail_after(&mut machine, 5);

    let actions: Vec<Action> = (1..MAX_ATTEMPTS).map(|_| fail_after(&mut machine, 0)).collect();

    assert_eq!(actions[0], Action::Choose);
    assert!(matches!(actions[1], Action::End(Outcome::Interrupted { .. })), "{actions:?}");
}
