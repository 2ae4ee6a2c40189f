//! Requests that no server has read and that may have run, as their callers were told.

use samphirespread_soak::{
    checker::Promise,
    history::{Caller, Change, Changed, History, Outcome, Route, RunMs, Victim},
};

use crate::{broken, clean, disturbance, only, request};

const BEGINS_MS: RunMs = 5_000;

/// A history in which that many calls got the word that they may have run, though no server has read them.
/// Servers begin to drop idle connections that often.
fn history(calls: usize, beginnings: u64) -> History {
    let mut history = clean();
    for number in 0..beginnings {
        for server in ["e0", "e1"] {
            let at_ms = BEGINS_MS + 1_000 * number;
            history.changes.push(Change { at_ms, what: Changed::DropsIdle(server.to_owned()) });
        }
    }
    for number in 0..calls {
        let mut call = request(&format!("u{number}"), Caller::Steady, Route::Issue, 15_000);
        call.outcome = Outcome::Unknown { status: 502 };
        history.requests.push(call);
    }
    history
}

#[test]
fn a_request_that_no_server_has_read_is_found() {
    assert_eq!(broken(&history(1, 0)), only(Promise::Unread));
}

#[test]
fn the_first_requests_that_meet_dropped_connections_are_allowed() {
    assert_eq!(broken(&history(5, 1)), [].into());
    assert_eq!(broken(&history(7, 2)), [].into());
}

#[test]
fn more_than_the_first_requests_are_found() {
    assert_eq!(broken(&history(6, 1)), only(Promise::Unread));
    assert_eq!(broken(&history(8, 2)), only(Promise::Unread));
}

#[test]
fn a_request_that_reached_a_server_or_met_a_disturbance_is_allowed() {
    let mut read = history(1, 0);
    read.passed_on.insert("u0".to_owned());
    let mut disturbed = history(1, 0);
    disturbed.disturbances.push(disturbance(Victim::Server("e0".to_owned()), 14_000, 15_000));

    assert_eq!(broken(&read), [].into());
    assert_eq!(broken(&disturbed), [].into());
}
