//! The checker on histories that break one promise each.

mod bounds;
mod lost;
mod overload;
mod rollouts;
mod unread;

use std::collections::BTreeSet;

use samphirespread_soak::{
    PROMISES, bounds,
    checker::{Promise, check},
    history::{
        Caller, Change, Changed, Disturbance, History, Order, Outcome, Request, Route, Run, RunEnd,
        RunMs, TakenUp, Victim,
    },
};

/// All is calm from here on in the histories of these tests.
const CALM_FROM_MS: RunMs = 20_000;
/// Late enough after that for everything to work again.
const RECOVERED_MS: RunMs = 30_000;

fn whole(id: &str, route: Route) -> String {
    if !route.is_stream() {
        return format!("answered {id}");
    }
    (1..=5).map(|number| format!("id: {number}\ndata: {id} {number}\n\n")).collect()
}

fn request(id: &str, caller: Caller, route: Route, sent_ms: RunMs) -> Request {
    let outcome = Outcome::Whole { body: whole(id, route) };
    let (id, gateway, ended_ms) = (id.to_owned(), 0, sent_ms + 20);
    let (is_kept, events, padding_bytes, whole_sent_ms) = (false, 5, 0, Some(sent_ms));
    Request {
        id,
        route,
        caller,
        gateway,
        is_kept,
        events,
        padding_bytes,
        sent_ms,
        whole_sent_ms,
        ended_ms,
        takes_up: None,
        outcome,
    }
}

fn run_of(request: &Request, server: &str, at_ms: RunMs) -> Run {
    let by_engine = request.route.is_stream();
    let is_dedicated = request.caller == Caller::Changing;
    Run {
        request: request.id.clone(),
        server: server.to_owned(),
        by_engine,
        at_ms,
        began_ms: by_engine.then_some(at_ms + 1),
        ended: Some((at_ms + 10, RunEnd::Whole)),
        continues: false,
        after_event: 0,
        software: "v1".to_owned(),
        team: request.caller.team().to_owned(),
        salt: if is_dedicated { "v1-changing".to_owned() } else { "v1".to_owned() },
        version: u64::from(by_engine),
        is_untouched: true,
    }
}

/// A history that keeps every promise.
fn clean() -> History {
    let mut history = History { calm_from_ms: CALM_FROM_MS, ..History::default() };
    for (index, route) in Route::ALL.into_iter().enumerate() {
        for (caller, at_ms) in [
            (Caller::Steady, 1_000),
            (Caller::Limited, 2_000),
            (Caller::Changing, 3_000),
            (Caller::Steady, RECOVERED_MS),
        ] {
            let id = format!("c{index}-{}-{at_ms}", caller.team());
            let request = request(&id, caller, route, at_ms);
            let server = if route.is_stream() { "e0" } else { "d0" };
            history.runs.push(run_of(&request, server, at_ms + 5));
            history.requests.push(request);
        }
    }
    for version in [2, 3] {
        let order =
            Order { engine: "e0".to_owned(), holder: "s0".to_owned(), version, accepted: true };
        history.orders.push(order);
    }
    history.changes.push(Change { at_ms: RECOVERED_MS, what: Changed::Weights(3) });
    history.versions_at_end.insert("e0".to_owned(), 3);
    history
}

fn disturbance(victim: Victim, from_ms: RunMs, until_ms: RunMs) -> Disturbance {
    Disturbance { victim, from_ms, until_ms, is_planned: false }
}

fn find(history: &mut History, route: Route) -> &mut Request {
    history.requests.iter_mut().find(|request| request.route == route).expect("one of each route")
}

fn broken(history: &History) -> BTreeSet<Promise> {
    check(history, &bounds()).into_iter().map(|broken| broken.promise).collect()
}

fn only(promise: Promise) -> BTreeSet<Promise> {
    BTreeSet::from([promise])
}

#[test]
fn a_clean_history_breaks_nothing() {
    let history = clean();

    let found = check(&history, &bounds());

    assert!(found.is_empty(), "{found:?}");
}

#[test]
fn a_second_run_of_a_call_that_may_run_once_is_found() {
    let mut history = clean();
    let again = run_of(find(&mut history, Route::Issue), "d1", 1_300);
    history.runs.push(again);

    assert_eq!(broken(&history), only(Promise::AtMostOnce));
}

#[test]
fn a_second_run_of_an_idempotent_call_is_allowed_and_a_third_is_found() {
    let mut history = clean();
    let again = run_of(find(&mut history, Route::Lookup), "d1", 1_300);
    history.runs.push(again.clone());
    let after_two = broken(&history);
    history.runs.push(again);

    assert_eq!(after_two, BTreeSet::new());
    assert_eq!(broken(&history), only(Promise::AtMostOnce));
}

#[test]
fn a_refusal_of_what_ran_is_found() {
    let mut history = clean();
    find(&mut history, Route::Lookup).outcome =
        Outcome::NotRun { status: 503, has_retry_after: true };

    assert_eq!(broken(&history), only(Promise::TrulyNotRun));
}

#[test]
fn a_refusal_without_a_time_is_found() {
    let mut history = clean();
    let mut refused = request("c9-1", Caller::Steady, Route::Lookup, 1_000);
    refused.outcome = Outcome::NotRun { status: 429, has_retry_after: false };
    history.requests.push(refused);

    assert_eq!(broken(&history), only(Promise::RetryAfter));
}

#[test]
fn the_answer_to_another_request_is_found() {
    let mut history = clean();
    find(&mut history, Route::Lookup).outcome = Outcome::Whole { body: "answered c8".to_owned() };

    assert_eq!(broken(&history), only(Promise::OwnAnswer));
}

#[test]
fn a_stream_with_a_gap_a_repeat_or_an_early_end_is_found() {
    for odd in
        ["id: 1\ndata: c 1\n\nid: 3\ndata: c 3\n\n", "id: 1\ndata: c 1\n\nid: 1\ndata: c 1\n\n", ""]
    {
        let mut history = clean();
        find(&mut history, Route::Resumable).outcome = Outcome::Whole { body: odd.to_owned() };

        assert_eq!(broken(&history), only(Promise::Order), "{odd:?}");
    }
}

#[test]
fn a_cut_without_a_disturbance_is_found_and_one_with_it_is_allowed() {
    let mut history = clean();
    let stream = find(&mut history, Route::Stream);
    let body = whole(&stream.id, Route::Stream)[..20].to_owned();
    stream.outcome = Outcome::Cut { body };
    let alone = broken(&history);
    let victim = Victim::Server("e0".to_owned());
    history.disturbances.push(disturbance(victim, 900, 1_010));

    assert_eq!(alone, only(Promise::Answered));
    assert_eq!(broken(&history), BTreeSet::new());
}

#[test]
fn no_answer_without_a_disturbance_is_found() {
    for outcome in [Outcome::NoAnswer, Outcome::Silent] {
        let mut history = clean();
        find(&mut history, Route::Issue).outcome = outcome;

        assert_eq!(broken(&history), only(Promise::Answered));
    }
}

#[test]
fn a_leaving_gateway_explains_no_answer_only_to_what_has_not_run() {
    let mut history = clean();
    let leaving = disturbance(Victim::Leaving(0), 0, 5_000);
    history.disturbances.push(leaving);
    find(&mut history, Route::Issue).outcome = Outcome::NoAnswer;
    let with_run = broken(&history);
    let id = find(&mut history, Route::Issue).id.clone();
    history.runs.retain(|run| run.request != id);

    assert_eq!(with_run, only(Promise::Answered));
    assert_eq!(broken(&history), BTreeSet::new());
}

#[test]
fn a_late_answer_is_found() {
    let mut history = clean();
    find(&mut history, Route::Lookup).ended_ms += 10_000;

    assert_eq!(broken(&history), only(Promise::Answered));
}

#[test]
fn a_run_at_a_server_of_another_route_is_found() {
    let mut history = clean();
    let id = find(&mut history, Route::Lookup).id.clone();
    let run = history.runs.iter_mut().find(|run| run.request == id).expect("it ran");
    (run.by_engine, run.salt, run.version) = (true, "v1".to_owned(), 1);

    assert_eq!(broken(&history), only(Promise::Route));
}

#[test]
fn a_run_for_another_team_or_with_other_bytes_or_unasked_is_found() {
    let changes: [fn(&mut Run); 3] = [
        |run| "limited".clone_into(&mut run.team),
        |run| run.is_untouched = false,
        |run| "c9-9".clone_into(&mut run.request),
    ];
    for change in changes {
        let mut history = clean();
        change(&mut history.runs[0]);

        assert_eq!(broken(&history), only(Promise::Team));
    }
}

#[test]
fn a_run_with_an_unknown_key_is_found() {
    let mut history = clean();
    let unknown = request("c9-1", Caller::Unknown, Route::Lookup, 1_000);
    history.runs.push(run_of(&unknown, "d0", 1_005));
    history.requests.push(unknown);

    assert_eq!(broken(&history), only(Promise::UnknownKey));
}

#[test]
fn a_run_with_a_withdrawn_key_is_found_after_its_bound_only() {
    for (withdrawn_ms, expected) in
        [(2_000, BTreeSet::new()), (3_000 - bounds().key_withdrawal_ms, BTreeSet::new())]
    {
        let mut history = clean();
        history.changes.push(Change { at_ms: withdrawn_ms, what: Changed::KeyWithdrawn });

        assert_eq!(broken(&history), expected, "withdrawn at {withdrawn_ms}");
    }
    let mut history = clean();
    let late = request("c9-1", Caller::Changing, Route::Lookup, 9_000);
    history.runs.push(run_of(&late, "d0", 9_005));
    history.requests.push(late);
    history.changes.push(Change { at_ms: 5_000, what: Changed::KeyWithdrawn });

    assert_eq!(broken(&history), only(Promise::WithdrawnKey));

    history.changes.push(Change { at_ms: 8_000, what: Changed::KeyGiven });

    assert_eq!(broken(&history), BTreeSet::new());
}

#[test]
fn a_denial_of_a_good_key_is_found() {
    let mut history = clean();
    let mut denied = request("c9-1", Caller::Steady, Route::Lookup, 1_000);
    denied.outcome = Outcome::Denied { status: 401 };
    history.requests.push(denied);

    assert_eq!(broken(&history), only(Promise::NotDenied));
}

#[test]
fn a_flood_beyond_the_quota_is_found() {
    let mut history = clean();
    for number in 0..300 {
        let id = format!("c9-{number}");
        let flood = request(&id, Caller::Limited, Route::Lookup, 5_000 + number);
        history.runs.push(run_of(&flood, "d0", 5_005 + number));
        history.requests.push(flood);
    }

    assert_eq!(broken(&history), only(Promise::Quota));
}

#[test]
fn work_for_a_draining_server_is_found_unless_the_store_was_disturbed() {
    let mut history = clean();
    let late = request("c9-1", Caller::Steady, Route::Lookup, 9_000);
    history.runs.push(run_of(&late, "d3", 9_005));
    history.requests.push(late);
    history.changes.push(Change { at_ms: 6_000, what: Changed::Draining("d3".to_owned()) });
    let alone = broken(&history);
    let store = disturbance(Victim::Store, 6_500, 7_000);
    history.disturbances.push(store);

    assert_eq!(alone, only(Promise::Drain));
    assert_eq!(broken(&history), BTreeSet::new());
}

#[test]
fn a_salt_that_two_versions_or_teams_share_is_found() {
    let changes: [fn(&mut Run); 2] = [|run| run.version = 2, |run| "v1".clone_into(&mut run.salt)];
    for change in changes {
        let mut history = clean();
        let changing = |run: &&mut Run| run.by_engine && run.team == Caller::Changing.team();
        change(history.runs.iter_mut().find(changing).expect("there is one"));

        assert_eq!(broken(&history), only(Promise::Cache));
    }
}

#[test]
fn a_second_orderer_and_an_older_version_are_found() {
    let changes: [fn(&mut Order); 2] =
        [|order| "s1".clone_into(&mut order.holder), |order| order.version = 1];
    for change in changes {
        let mut history = clean();
        change(&mut history.orders[1]);

        assert_eq!(broken(&history), only(Promise::OneOrderer));
    }
}

#[test]
fn a_route_that_serves_nothing_in_the_end_and_old_weights_are_found() {
    let mut silent = clean();
    silent
        .requests
        .retain(|request| request.sent_ms < RECOVERED_MS || request.route != Route::Issue);
    silent.runs.retain(|run| silent.requests.iter().any(|request| request.id == run.request));
    let mut old = clean();
    old.versions_at_end.insert("e0".to_owned(), 2);

    assert_eq!(broken(&silent), only(Promise::Recovery));
    assert_eq!(broken(&old), only(Promise::Recovery));
}

#[test]
fn every_promise_has_a_sentence_of_its_own() {
    let sentences: BTreeSet<String> = PROMISES.iter().map(ToString::to_string).collect();

    assert_eq!(sentences.len(), PROMISES.len());
}

/// A history with as many requests to a plain server as given, 100 ms apart, after it named a limit
/// of one request a second.
fn with_requests_to_a_limited_server(requests: usize) -> History {
    let mut history = clean();
    let per_s = Some(1.0);
    let limited = Changed::Limited { server: "d0".to_owned(), per_s };
    history.changes.push(Change { at_ms: 5_000, what: limited });
    let mut at_ms = 5_000 + bounds().contact_ms;
    for number in 0..requests {
        at_ms += 100;
        let id = format!("limited-{number}");
        let request = request(&id, Caller::Steady, Route::Lookup, at_ms);
        history.runs.push(run_of(&request, "d0", at_ms + 5));
        history.requests.push(request);
    }
    history
}

#[test]
fn more_requests_than_a_servers_limit_are_found() {
    // One and a half times the limit in four seconds, and five more.
    assert_eq!(broken(&with_requests_to_a_limited_server(11)), BTreeSet::new());
    assert_eq!(broken(&with_requests_to_a_limited_server(12)), only(Promise::Limit));
}

#[test]
fn requests_after_a_limit_has_ended_or_through_a_disturbed_gateway_are_allowed() {
    let mut ended = with_requests_to_a_limited_server(30);
    let unlimited = Changed::Limited { server: "d0".to_owned(), per_s: None };
    ended.changes.push(Change { at_ms: 5_500, what: unlimited });
    let mut disturbed = with_requests_to_a_limited_server(30);
    let victim = Victim::Gateway(0);
    disturbed.disturbances.push(disturbance(victim, 7_000, 20_000));

    assert_eq!(broken(&ended), BTreeSet::new());
    assert_eq!(broken(&disturbed), BTreeSet::new());
}

#[test]
fn a_run_that_goes_on_from_its_memory_is_no_second_run() {
    let mut history = clean();
    let again = run_of(find(&mut history, Route::Stream), "e1", 1_300);
    history.runs.push(Run { continues: true, ..again.clone() });
    let as_same = broken(&history);
    history.runs.push(again);

    assert_eq!(as_same, BTreeSet::new());
    assert_eq!(broken(&history), only(Promise::AtMostOnce));
}

/// Adds a request that takes up the stream of `first` after an event, and its run at a server of a
/// version.
fn take_up(history: &mut History, first: &str, number: usize, software: &str, outcome: Outcome) {
    let begun = history.requests.iter().find(|request| request.id == first).unwrap().clone();
    let (id, sent_ms) = (format!("{first}-t{number}"), begun.sent_ms + 200);
    let takes_up = Some(TakenUp { first: first.to_owned(), after: 2 });
    let request = Request { id, sent_ms, ended_ms: sent_ms + 20, takes_up, outcome, ..begun };
    let run = run_of(&request, "e9", sent_ms + 5);
    let is_run = !matches!(request.outcome, Outcome::NotRun { .. });
    let run = Run { after_event: 2, software: software.to_owned(), ..run };
    history.runs.extend(is_run.then_some(run));
    history.requests.push(request);
}

fn rest(id: &str) -> Outcome {
    let events = (3..=5).map(|number| format!("id: {number}\ndata: {id} {number}\n\n"));
    Outcome::Whole { body: events.collect() }
}

#[test]
fn a_stream_that_goes_on_at_another_version_is_found() {
    for (software, expected) in [("v1", BTreeSet::new()), ("v2", only(Promise::Version))] {
        let mut history = clean();
        let first = find(&mut history, Route::Resumable).id.clone();

        take_up(&mut history, &first, 0, software, rest(&format!("{first}-t0")));

        assert_eq!(broken(&history), expected, "{software}");
    }
}

#[test]
fn streams_that_are_refused_when_they_are_taken_up_are_found() {
    for (refused, expected) in [(6, BTreeSet::new()), (7, only(Promise::TakenUp))] {
        let mut history = clean();
        let first = find(&mut history, Route::Resumable).id.clone();

        for number in 0..12 {
            let outcome = match number < refused {
                true => Outcome::NotRun { status: 503, has_retry_after: true },
                false => rest(&format!("{first}-t{number}")),
            };
            take_up(&mut history, &first, number, "v1", outcome);
        }

        assert_eq!(broken(&history), expected, "{refused} of 12 refused");
    }
}
