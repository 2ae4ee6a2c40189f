//! Requests over servers that run them, refuse them, break off or fall silent, with an outside count
//! of what ran.

use proptest::prelude::*;
use samphirespread_routing::attempts::{AttemptRules, Attempts};

const MAX_SENDS: u32 = 4;

/// What a server makes of a send, and what the router sees of it.
#[derive(Clone, Copy, Debug)]
enum Fate {
    /// The connection had ended before anything was written.
    NotWritten,
    /// It says that it has not run it.
    Refuses,
    /// It runs it and the answer comes.
    Answers,
    /// It ran it or not, and the connection breaks.
    Breaks { ran: bool },
}

/// What the caller is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Told {
    Answer,
    NotRun,
    Unknown,
}

#[derive(Debug)]
struct Outcome {
    told: Told,
    sends: u32,
    runs: u32,
}

fn rules(is_idempotent: bool, max_runs: u32) -> AttemptRules {
    AttemptRules { is_idempotent, max_runs, max_sends: MAX_SENDS }
}

/// Sends a request until it is answered, may not be sent again, or no server is left.
fn carry_out(rules: AttemptRules, fates: &[Fate]) -> Outcome {
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
                attempts.not_written();
                sends -= 1;
            }
            Fate::Refuses => attempts.said_not_run(),
            Fate::Answers => return Outcome { told: Told::Answer, sends, runs: runs + 1 },
            Fate::Breaks { ran } => runs += u32::from(*ran),
        }
    }
    let told = if attempts.may_have_run() { Told::Unknown } else { Told::NotRun };
    Outcome { told, sends, runs }
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
        let outcome = carry_out(rules(false, max_runs), &fates);

        prop_assert!(outcome.runs <= 1, "{outcome:?}");
    }

    #[test]
    fn not_run_is_true(
        fates in prop::collection::vec(any_fate(), 0..12),
        is_idempotent: bool,
        max_runs in 0_u32..5,
    ) {
        let outcome = carry_out(rules(is_idempotent, max_runs), &fates);

        prop_assert!(outcome.told != Told::NotRun || outcome.runs == 0, "{outcome:?}");
    }

    #[test]
    fn runs_and_sends_are_bounded(
        fates in prop::collection::vec(any_fate(), 0..12),
        is_idempotent: bool,
        max_runs in 1_u32..5,
    ) {
        let outcome = carry_out(rules(is_idempotent, max_runs), &fates);

        prop_assert!(outcome.runs <= max_runs && outcome.sends <= MAX_SENDS, "{outcome:?}");
    }

    #[test]
    fn what_servers_refuse_is_served_by_one_that_does_not(refusals in 0_usize..4, is_idempotent: bool) {
        let mut fates = vec![Fate::Refuses; refusals];
        fates.push(Fate::Answers);

        let outcome = carry_out(rules(is_idempotent, 1), &fates);

        prop_assert_eq!(outcome.told, Told::Answer);
    }
}

#[test]
#[should_panic(expected = "may not run again")]
fn a_second_run_is_refused_by_the_machine_itself() {
    let mut attempts = Attempts::new(rules(false, 3));
    attempts.begin();

    attempts.begin();
}

#[test]
fn a_run_that_goes_on_elsewhere_is_counted_once() {
    let rules = AttemptRules { is_idempotent: false, max_runs: 1, max_sends: 4 };
    let mut attempts = Attempts::new(rules);
    attempts.begin();

    attempts.carry_on();
    attempts.said_not_run();

    assert!(attempts.may_have_run());
    assert!(!attempts.may_send());
}
