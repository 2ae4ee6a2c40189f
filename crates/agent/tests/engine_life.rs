//! The states of a backend server.

use samphirespread_agent::engine_life::{EngineAction, EngineEvent, EngineLife, EngineState};
use samphirespread_core::prelude::*;

fn up() -> EngineLife {
    let mut life = EngineLife::new();
    life.handle(EngineEvent::Answered(Incarnation(3)));
    life
}

#[test]
fn nothing_is_taken_before_the_first_answer() {
    let mut life = EngineLife::new();

    let actions = life.handle(EngineEvent::PollFailed);

    assert!(actions.is_empty());
    assert!(!life.takes_work());
}

#[test]
fn one_failed_poll_is_forgiven() {
    let mut life = up();

    life.handle(EngineEvent::PollFailed);
    life.handle(EngineEvent::Answered(Incarnation(3)));
    let actions = life.handle(EngineEvent::PollFailed);

    assert!(actions.is_empty());
    assert_eq!(life.state(), EngineState::Up);
}

#[test]
fn two_failed_polls_in_a_row_refuse_what_waits() {
    let mut life = up();

    life.handle(EngineEvent::PollFailed);
    let actions = life.handle(EngineEvent::PollFailed);

    assert_eq!(actions, [EngineAction::RefuseWaiting]);
    assert_eq!(life.state(), EngineState::Down);
}

#[test]
fn a_later_run_empties_the_residency_and_an_earlier_one_does_not() {
    let mut life = up();

    let late_answer = life.handle(EngineEvent::Answered(Incarnation(2)));
    let restart = life.handle(EngineEvent::Answered(Incarnation(4)));

    assert!(late_answer.is_empty());
    assert_eq!(restart, [EngineAction::StartRun(Incarnation(4))]);
    assert_eq!(life.incarnation(), Incarnation(4));
}

#[test]
fn requests_wait_while_weights_are_loaded() {
    let mut life = up();

    life.handle(EngineEvent::WeightsWanted);
    let while_loading = (life.takes_work(), life.may_start());
    let done = life.handle(EngineEvent::WeightsDone);

    assert_eq!(while_loading, (true, false));
    assert_eq!(done, [EngineAction::Resume]);
    assert!(life.may_start());
}
