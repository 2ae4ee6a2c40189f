//! Tests of concurrent submissions with lost responses and delayed writes.

mod platform;

use std::{collections::BTreeSet, env};

use platform::{FakePlatform, WriteOutcome};
use rand::{Rng, SeedableRng, rngs::StdRng, seq::IndexedRandom};
use samphirespread_config::{
    Action, Applied, ApplyError, Changes, Config, ConfigBuilder, Document, Event, Head, Key,
    MAX_RECENT_SUBMISSIONS, ObjectName, StoredHead, Submission, Team, TeamBuilder, key_digest,
};
use samphirespread_core::prelude::*;

const OPERATORS: usize = 5;
const SUBMISSIONS_PER_OPERATOR: usize = 6;
const DEFAULT_CASES: u64 = 60;
const DEFAULT_SEED: u64 = 1;

/// The result of one finished submission and the objects that it was to change.
struct FinishedSubmission {
    id: String,
    touched: BTreeSet<ObjectName>,
    result: Result<Applied, ApplyError>,
}

struct Operator {
    number: usize,
    submission: Submission,
    touched: BTreeSet<ObjectName>,
    next_action: Action,
    remaining: usize,
}

fn team(name: &str, rate_tokens_per_s: u64) -> Document {
    Document::Team(Team { name: TeamName::new(name), rate_tokens_per_s, burst_tokens: 1_000 })
}

fn key(id: &str, team: &str) -> Document {
    let (id, sha256) = (id.to_owned(), key_digest(id));
    Document::Key(Key { id, team: TeamName::new(team), sha256 })
}

/// Creates a submission that adds a key of this operator, changes a team that other operators
/// change too, or removes an older key of this operator.
fn random_submission(
    operator: usize,
    serial: usize,
    rng: &mut StdRng,
) -> (Submission, BTreeSet<ObjectName>) {
    let id = format!("{operator}-{serial}");
    let shared = ["a", "b", "c"].choose(rng).unwrap();
    match rng.random_range(0..4) {
        0 => {
            let name = ObjectName::parse(&format!("key/k{operator}-{}", serial / 2)).unwrap();
            (Submission::new(&id, []).remove([name.clone()]), [name].into())
        }
        1 => {
            let document = team(shared, rng.random_range(1..4));
            let name = document.name();
            (Submission::new(&id, [document]), [name].into())
        }
        _ => {
            let document = key(&format!("k{operator}-{serial}"), shared);
            let name = document.name();
            (Submission::new(&id, [document]), [name].into())
        }
    }
}

impl Operator {
    fn new(number: usize, rng: &mut StdRng) -> Self {
        let (mut submission, touched) = random_submission(number, SUBMISSIONS_PER_OPERATOR, rng);
        let next_action = submission.handle(Event::Start);
        Self { number, submission, touched, next_action, remaining: SUBMISSIONS_PER_OPERATOR }
    }

    /// Executes one action. Returns the result if the submission has finished.
    fn step(
        &mut self,
        platform: &mut FakePlatform,
        rng: &mut StdRng,
    ) -> Option<FinishedSubmission> {
        let event = match self.next_action.clone() {
            Action::ReadHead => Event::Head(platform.read_head()),
            Action::ReadSections(hashes) => platform.read_sections(&hashes),
            Action::CreateSections(sections) => platform.create_sections(sections),
            Action::WriteHead { replaces, text } => {
                platform.write_head(replaces, text, WriteOutcome::random(rng))
            }
            Action::Finish(result) => return Some(self.finish(result, rng)),
        };
        self.next_action = self.submission.handle(event);
        None
    }

    fn finish(
        &mut self,
        result: Result<Applied, ApplyError>,
        rng: &mut StdRng,
    ) -> FinishedSubmission {
        let id = self.submission.id().to_owned();
        let touched = std::mem::take(&mut self.touched);
        self.remaining -= 1;
        let (submission, next_touched) = random_submission(self.number, self.remaining, rng);
        self.submission = submission;
        self.touched = next_touched;
        self.next_action = self.submission.handle(Event::Start);
        FinishedSubmission { id, touched, result }
    }
}

fn run(seed: u64) -> (FakePlatform, Vec<FinishedSubmission>) {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut platform = FakePlatform::default();
    let teams = ["a", "b", "c"].map(|name| team(name, 10));
    platform.apply(Submission::new("first", teams));
    let mut operators: Vec<Operator> =
        (0..OPERATORS).map(|number| Operator::new(number, &mut rng)).collect();
    let mut outcomes = Vec::new();
    while let Some(operator) = {
        let busy: Vec<usize> =
            (0..OPERATORS).filter(|&number| operators[number].remaining > 0).collect();
        busy.choose(&mut rng).copied()
    } {
        if rng.random_ratio(1, 4) {
            platform.execute_delayed_write(&mut rng);
        }
        outcomes.extend(operators[operator].step(&mut platform, &mut rng));
    }
    while platform.execute_delayed_write(&mut rng) {}
    (platform, outcomes)
}

fn check(seed: u64) {
    let (platform, outcomes) = run(seed);
    let history = platform.history();

    for (index, written) in history.iter().enumerate() {
        assert_eq!(written.generation.0, index as u64 + 1, "seed {seed}: strictly rising");
    }
    for outcome in &outcomes {
        let written: Vec<usize> =
            (0..history.len()).filter(|&index| history[index].id == outcome.id).collect();
        assert!(written.len() <= 1, "seed {seed}: {} was applied twice", outcome.id);
        match &outcome.result {
            Ok(applied) => check_accepted(seed, outcome, applied, &platform, &written),
            Err(error) => {
                assert!(written.is_empty(), "seed {seed}: {} was applied: {error}", outcome.id);
            }
        }
    }
}

/// Checks that an accepted submission has changed its own objects and no others.
fn check_accepted(
    seed: u64,
    outcome: &FinishedSubmission,
    applied: &Applied,
    platform: &FakePlatform,
    written: &[usize],
) {
    let Some(&index) = written.first() else {
        let config = platform.config_at(applied.generation);
        let (unchanged, touched) = (applied.changes.apply_to(&config), &outcome.touched);
        assert_eq!(unchanged.as_ref(), Ok(&config), "seed {seed}: {touched:?} was lost");
        return;
    };
    assert_eq!(applied.generation.0, index as u64 + 1, "seed {seed}");
    let before = platform.config_at(Generation(index as u64));
    let after = platform.config_at(applied.generation);
    let changes = Changes::between(&before, &after);
    let changed: BTreeSet<ObjectName> = changes.iter().map(|(name, _)| name.clone()).collect();
    assert_eq!(changed, outcome.touched, "seed {seed}: {} changed other objects", outcome.id);
}

fn number_from_env(name: &str, default: u64) -> u64 {
    env::var(name).ok().map_or(default, |text| text.parse().expect("a whole number"))
}

#[test]
fn applies_each_accepted_submission_once() {
    let cases = number_from_env("SAMPHIRESPREAD_CASES", DEFAULT_CASES);
    let first = number_from_env("SAMPHIRESPREAD_SEED", DEFAULT_SEED);

    for seed in first..first + cases {
        check(seed);
    }
}

#[test]
fn random_runs_contain_lost_responses_and_conflicts() {
    let (mut conflicts, mut lost, mut accepted) = (0, 0, 0);

    for seed in 0..20 {
        let (platform, outcomes) = run(seed);
        lost += platform.lost_responses();
        conflicts += outcomes.iter().filter(|outcome| outcome.result.is_err()).count();
        accepted += outcomes.iter().filter(|outcome| outcome.result.is_ok()).count();
    }

    assert!(lost > 100, "{lost}");
    assert!(conflicts > 5, "{conflicts}");
    assert!(accepted > 300, "{accepted}");
}

fn with_teams(names: &[&str]) -> FakePlatform {
    let mut platform = FakePlatform::default();
    platform.apply(Submission::new("first", names.iter().map(|name| team(name, 10))));
    platform
}

/// Runs a submission until it wants to write the head. Returns that write.
fn run_until_head_write(
    platform: &mut FakePlatform,
    submission: &mut Submission,
) -> (Option<u64>, String) {
    let mut action = submission.handle(Event::Start);
    loop {
        let event = match action {
            Action::ReadHead => Event::Head(platform.read_head()),
            Action::ReadSections(hashes) => platform.read_sections(&hashes),
            Action::CreateSections(sections) => platform.create_sections(sections),
            Action::WriteHead { replaces, text } => return (replaces, text),
            Action::Finish(result) => panic!("finished early: {result:?}"),
        };
        action = submission.handle(event);
    }
}

#[test]
fn finds_its_write_below_a_later_head_after_a_lost_response() {
    let mut platform = with_teams(&["a"]);
    let mut submission = Submission::new("mine", [key("k", "a")]);
    let (replaces, text) = run_until_head_write(&mut platform, &mut submission);
    platform.write_head(replaces, text, WriteOutcome::ResponseLost);
    platform.apply(Submission::new("later", [team("a", 77)]));

    submission.handle(Event::HeadUnknown);
    let action = submission.handle(Event::Head(platform.read_head()));

    let Action::Finish(Ok(applied)) = action else { panic!("{action:?}") };
    assert_eq!(applied.generation, Generation(2));
    assert_eq!(platform.history().len(), 3);
}

#[test]
fn reports_an_unknown_outcome_after_too_many_later_heads() {
    let mut platform = with_teams(&["a"]);
    let mut submission = Submission::new("mine", [key("k", "a")]);
    let (replaces, text) = run_until_head_write(&mut platform, &mut submission);
    platform.write_head(replaces, text, WriteOutcome::ResponseLost);
    for rate in 0..MAX_RECENT_SUBMISSIONS {
        platform.apply(Submission::new(&format!("later-{rate}"), [team("a", 100 + rate)]));
    }

    submission.handle(Event::HeadUnknown);
    let action = submission.handle(Event::Head(platform.read_head()));

    let heads = MAX_RECENT_SUBMISSIONS;
    assert_eq!(action, Action::Finish(Err(ApplyError::OutcomeUnknown { heads })));
}

#[test]
fn refuses_to_change_an_object_that_another_operator_changed() {
    let mut platform = with_teams(&["a", "b"]);
    let mut submission = Submission::new("mine", [team("a", 20), team("b", 20)]);
    let (replaces, text) = run_until_head_write(&mut platform, &mut submission);
    platform.apply(Submission::new("other", [team("a", 30)]));

    let event = platform.write_head(replaces, text, WriteOutcome::Answered);
    submission.handle(event);
    let result = platform.finish(submission);

    assert_eq!(result, Err(ApplyError::Conflict(vec!["team/a".to_owned()])));
    assert_eq!(platform.history().len(), 2);
}

#[test]
fn refuses_a_change_that_became_invalid() {
    let mut platform = with_teams(&["a", "b"]);
    let mut submission = Submission::new("mine", [key("k", "a")]);
    let (replaces, text) = run_until_head_write(&mut platform, &mut submission);
    let gone = ObjectName::parse("team/a").unwrap();
    platform.apply(Submission::new("other", []).remove([gone]));

    let event = platform.write_head(replaces, text, WriteOutcome::Answered);
    submission.handle(event);
    let result = platform.finish(submission);

    assert!(matches!(result, Err(ApplyError::Invalid(_))), "{result:?}");
}

#[test]
fn exact_submission_removes_unlisted_objects() {
    let mut platform = with_teams(&["a", "b"]);
    let config = ConfigBuilder::new().team(TeamBuilder::new("c")).build().unwrap();

    platform.apply(Submission::new("exact", config.documents()).exact(true));

    assert_eq!(platform.config_at(Generation(2)), config);
}

#[test]
fn submission_without_changes_writes_nothing() {
    let mut platform = with_teams(&["a"]);

    let applied = platform.apply(Submission::new("again", [team("a", 10)]));

    assert!(applied.changes.is_empty());
    assert_eq!(platform.history().len(), 1);
}

#[test]
fn does_not_apply_an_accepted_submission_again() {
    let mut platform = with_teams(&["a"]);
    let first = platform.apply(Submission::new("mine", [team("a", 20)]));
    platform.apply(Submission::new("other", [team("a", 30)]));

    let again = platform.apply(Submission::new("mine", [team("a", 20)]));

    assert_eq!(again.generation, first.generation);
    assert_eq!(platform.history().len(), 3);
}

#[test]
fn reports_an_invalid_head_without_replacing_it() {
    let mut submission = Submission::new("mine", [team("a", 1)]);
    submission.handle(Event::Start);
    let stored = StoredHead { version: 4, text: "{\"generation\": -1}".to_owned() };

    let action = submission.handle(Event::Head(Some(stored)));

    assert!(matches!(action, Action::Finish(Err(ApplyError::Snapshot(_)))), "{action:?}");
}

#[test]
fn head_lists_a_bounded_number_of_submissions() {
    let mut platform = with_teams(&["a"]);
    for rate in 0..2 * MAX_RECENT_SUBMISSIONS {
        platform.apply(Submission::new(&format!("s{rate}"), [team("a", 100 + rate)]));
    }

    let head = Head::parse(&platform.read_head().unwrap().text).unwrap();

    assert_eq!(head.recent.len() as u64, MAX_RECENT_SUBMISSIONS);
    assert_eq!(head.recent[&head.generation], head.submission);
    assert_eq!(platform.config_at(Generation(0)), Config::default());
}
