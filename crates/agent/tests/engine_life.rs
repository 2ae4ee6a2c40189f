//! Tests of the state machine of a backend server.

use samphirespread_agent::engine_tracker::{EngineAction, EngineEvent, EngineState, EngineTracker};
use samphirespread_core::prelude::*;

fn up() -> EngineTracker {
    let mut tracker = EngineTracker::new();
    tracker.handle(EngineEvent::Answered(Incarnation(3)));
    tracker
}

#[test]
fn accepts_no_work_before_the_first_answer() {
    let mut tracker = EngineTracker::new();

    let actions = tracker.handle(EngineEvent::PollFailed);

    assert!(actions.is_empty());
    assert!(!tracker.takes_work());
}

#[test]
fn an_answer_resets_the_count_of_failed_polls() {
    let mut tracker = up();

    tracker.handle(EngineEvent::PollFailed);
    tracker.handle(EngineEvent::Answered(Incarnation(3)));
    let actions = tracker.handle(EngineEvent::PollFailed);

    assert!(actions.is_empty());
    assert_eq!(tracker.state(), EngineState::Up);
}

#[test]
fn two_consecutive_failed_polls_refuse_waiting_requests() {
    let mut tracker = up();

    tracker.handle(EngineEvent::PollFailed);
    let actions = tracker.handle(EngineEvent::PollFailed);

    assert_eq!(actions, [EngineAction::RefuseWaiting]);
    assert_eq!(tracker.state(), EngineState::Down);
}

#[test]
fn only_a_later_incarnation_starts_a_new_run() {
    let mut tracker = up();

    let late_answer = tracker.handle(EngineEvent::Answered(Incarnation(2)));
    let restart = tracker.handle(EngineEvent::Answered(Incarnation(4)));

    assert!(late_answer.is_empty());
    assert_eq!(restart, [EngineAction::StartRun(Incarnation(4))]);
    assert_eq!(tracker.incarnation(), Incarnation(4));
}

#[test]
fn requests_wait_while_weights_are_loaded() {
    let mut tracker = up();

    tracker.handle(EngineEvent::WeightsWanted);
    let while_loading = (tracker.takes_work(), tracker.may_start());
    let done = tracker.handle(EngineEvent::WeightsDone);

    assert_eq!(while_loading, (true, false));
    assert_eq!(done, [EngineAction::Resume]);
    assert!(tracker.may_start());
}
