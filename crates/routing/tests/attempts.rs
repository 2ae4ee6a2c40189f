//! Requests to servers that run them, refuse them or break the connection, with an independent
//! count of the actual runs.

use proptest::prelude::*;
use samphirespread_routing::attempts::{AttemptRules, Attempts};

const MAX_SENDS: u32 = 4;

/// What happens to a send.
#[derive(Clone, Copy, Debug)]
enum Fate {
    /// The connection had been closed before anything was written.
    NotWritten,
    /// The server responds that it has not run the request.
    Refuses,
    /// The server runs the request and the response arrives.
    Answers,
    /// The connection breaks, and the server may have run the request.
    Breaks { ran: bool },
}

/// The response to the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Response {
    Answer,
    NotRun,
    Unknown,
}

#[derive(Debug)]
struct Outcome {
    response: Response,
    sends: u32,
    runs: u32,
}

fn rules(is_idempotent: bool, max_runs: u32) -> AttemptRules {
    AttemptRules { is_idempotent, max_runs, max_sends: MAX_SENDS }
}

/// Sends a request until it is answered, may not be sent again, or no server is left.
fn send_until_answered(rules: AttemptRules, fates: &[Fate]) -> Outcome {
    let mut attempts = Attempts::new(rules);
    let (mut sends, mut runs) = (0, 0);
    for fate in fates {
        if !attempts.may_send() {
            break;
        }
        attempts.begin();
        sends += 1;
        match fate {
            Fate::NotWritten => {
                attempts.record_not_written();
                sends -= 1;
            }
            Fate::Refuses => attempts.record_not_run(),
            Fate::Answers => return Outcome { response: Response::Answer, sends, runs: runs + 1 },
            Fate::Breaks { ran } => runs += u32::from(*ran),
        }
    }
    let response = if attempts.may_have_run() { Response::Unknown } else { Response::NotRun };
    Outcome { response, sends, runs }
}

fn any_fate() -> impl Strategy<Value = Fate> {
    prop_oneof![
        Just(Fate::NotWritten),
        Just(Fate::Refuses),
        Just(Fate::Answers),
        any::<bool>().prop_map(|ran| Fate::Breaks { ran }),
    ]
}

proptest! {
    #[test]
    fn a_request_that_is_not_idempotent_runs_at_most_once(
        fates in prop::collection::vec(any_fate(), 0..12),
        max_runs in 0_u32..5,
    ) {
        let outcome = send_until_answered(rules(false, max_runs), &fates);

        prop_assert!(outcome.runs <= 1, "{outcome:?}");
    }

    #[test]
    fn reports_not_run_only_if_it_did_not_run(
        fates in prop::collection::vec(any_fate(), 0..12),
        is_idempotent: bool,
        max_runs in 0_u32..5,
    ) {
        let outcome = send_until_answered(rules(is_idempotent, max_runs), &fates);

        prop_assert!(outcome.response != Response::NotRun || outcome.runs == 0, "{outcome:?}");
    }

    #[test]
    fn runs_and_sends_are_bounded(
        fates in prop::collection::vec(any_fate(), 0..12),
        is_idempotent: bool,
        max_runs in 1_u32..5,
    ) {
        let outcome = send_until_answered(rules(is_idempotent, max_runs), &fates);

        prop_assert!(outcome.runs <= max_runs && outcome.sends <= MAX_SENDS, "{outcome:?}");
    }

    #[test]
    fn sends_a_refused_request_to_another_server(refusals in 0_usize..4, is_idempotent: bool) {
        let mut fates = vec![Fate::Refuses; refusals];
        fates.push(Fate::Answers);

        let outcome = send_until_answered(rules(is_idempotent, 1), &fates);

        prop_assert_eq!(outcome.response, Response::Answer);
    }
}

#[test]
#[should_panic(expected = "may not run again")]
fn panics_at_a_second_send_of_a_request_that_may_have_run() {
    let mut attempts = Attempts::new(rules(false, 3));
    attempts.begin();

    attempts.begin();
}

#[test]
fn counts_a_resumed_run_once() {
    let rules = AttemptRules { is_idempotent: false, max_runs: 1, max_sends: 4 };
    let mut attempts = Attempts::new(rules);
    attempts.begin();

    attempts.begin_resumption();
    attempts.record_not_run();

    assert!(attempts.may_have_run());
    assert!(!attempts.may_send());
}

/// A stream whose run the router has stopped itself is not given up for the number of its sends.
#[test]
fn the_limit_on_sends_does_not_bind_while_an_answer_is_owed() {
    let rules = AttemptRules { is_idempotent: true, max_runs: 2, max_sends: 1 };
    let mut attempts = Attempts::new(rules);
    attempts.begin();
    assert!(attempts.may_run() && !attempts.may_send());

    attempts.owe();
    assert!(attempts.may_send());
    attempts.begin();
    attempts.settle();

    assert!(!attempts.may_run() && !attempts.may_send());
}

/// Guards against a second send to the same server that uses up another server's turn, or that is allowed
/// although it may run the request twice.
#[test]
fn a_send_to_the_same_server_counts_as_no_other_run() {
    let mut repeatable = Attempts::new(rules(true, 2));
    repeatable.begin();
    assert!(repeatable.may_send_again());

    repeatable.begin_again();
    repeatable.record_not_run();

    // The first send may have run it.
    assert!(repeatable.may_have_run() && repeatable.may_send());
    repeatable.begin();
    assert!(!repeatable.may_send());
    let mut once = Attempts::new(rules(false, 2));
    once.begin();
    assert!(!once.may_send_again());
}

/// Guards against sends to the same server that the limit on sends does not bind.
#[test]
fn sends_to_the_same_server_are_bounded() {
    let mut attempts = Attempts::new(rules(true, 2));
    attempts.begin();
    for _ in 1..MAX_SENDS {
        attempts.begin_again();
    }

    assert!(!attempts.may_send_again());
}
