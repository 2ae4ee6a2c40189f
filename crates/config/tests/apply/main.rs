//! Operators race each other while answers get lost or late.

mod platform;

use std::{collections::BTreeSet, env};

use platform::{FakePlatform, Fate};
use rand::{Rng, SeedableRng, rngs::StdRng, seq::IndexedRandom};
use samphirespread_config::{
    Action, Applied, ApplyError, Changes, Config, ConfigBuilder, Document, Event, Head, Key,
    ObjectName, RECENT_SUBMISSIONS, StoredHead, Submission, Team, TeamBuilder, key_digest,
};
use samphirespread_core::prelude::*;

const OPERATORS: usize = 5;
const SUBMISSIONS: usize = 6;
const DEFAULT_CASES: u64 = 60;
const DEFAULT_SEED: u64 = 1;

/// What one finished submission was told.
struct Told {
    id: String,
    touched: BTreeSet<ObjectName>,
    result: Result<Applied, ApplyError>,
}

struct Operator {
    number: usize,
    submission: Submission,
    touched: BTreeSet<ObjectName>,
    next: Action,
    left: usize,
}

fn team(name: &str, rate_tokens_per_s: u64) -> Document {
    Document::Team(Team { name: TeamName::new(name), rate_tokens_per_s, burst_tokens: 1_000 })
}

fn key(id: &str, team: &str) -> Document {
    let (id, sha256) = (id.to_owned(), key_digest(id));
    Document::Key(Key { id, team: TeamName::new(team), sha256 })
}

/// Puts a key of its own, changes a team that others change too, or removes an older key.
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
        let (mut submission, touched) = random_submission(number, SUBMISSIONS, rng);
        let next = submission.handle(Event::Start);
        Self { number, submission, touched, next, left: SUBMISSIONS }
    }

    /// Carries one action out. Returns what a finished submission was told.
    fn step(&mut self, platform: &mut FakePlatform, rng: &mut StdRng) -> Option<Told> {
        let event = match self.next.clone() {
            Action::ReadHead => Event::Head(platform.read_head()),
            Action::ReadSections(hashes) => platform.read_sections(&hashes),
            Action::CreateSections(sections) => platform.create_sections(sections),
            Action::WriteHead { replaces, text } => {
                platform.write_head(replaces, text, Fate::random(rng))
            }
            Action::Finish(result) => return Some(self.finish(result, rng)),
        };
        self.next = self.submission.handle(event);
        None
    }

    fn finish(&mut self, result: Result<Applied, ApplyError>, rng: &mut StdRng) -> Told {
        let id = self.submission.id().to_owned();
        let touched = std::mem::take(&mut self.touched);
        self.left -= 1;
        let (submission, touched_next) = random_submission(self.number, self.left, rng);
        self.submission = submission;
        self.touched = touched_next;
        self.next = self.submission.handle(Event::Start);
        Told { id, touched, result }
    }
}

fn run(seed: u64) -> (FakePlatform, Vec<Told>) {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut platform = FakePlatform::default();
    let teams = ["a", "b", "c"].map(|name| team(name, 10));
    platform.apply(Submission::new("first", teams));
    let mut operators: Vec<Operator> =
        (0..OPERATORS).map(|number| Operator::new(number, &mut rng)).collect();
    let mut told = Vec::new();
    while let Some(operator) = {
        let busy: Vec<usize> =
            (0..OPERATORS).filter(|&number| operators[number].left > 0).collect();
        busy.choose(&mut rng).copied()
    } {
        if rng.random_ratio(1, 4) {
            platform.late_write(&mut rng);
        }
        told.extend(operators[operator].step(&mut platform, &mut rng));
    }
    while platform.late_write(&mut rng) {}
    (platform, told)
}

fn check(seed: u64) {
    let (platform, told) = run(seed);
    let history = platform.history();

    for (index, written) in history.iter().enumerate() {
        assert_eq!(written.generation.0, index as u64 + 1, "seed {seed}: strictly rising");
    }
    for told in &told {
        let written: Vec<usize> =
            (0..history.len()).filter(|&index| history[index].id == told.id).collect();
        assert!(written.len() <= 1, "seed {seed}: {} was applied twice", told.id);
        match &told.result {
            Ok(applied) => check_accepted(seed, told, applied, &platform, &written),
            Err(error) => {
                assert!(written.is_empty(), "seed {seed}: {} was applied: {error}", told.id);
            }
        }
    }
}

/// An accepted submission has changed its own objects and no others.
fn check_accepted(
    seed: u64,
    told: &Told,
    applied: &Applied,
    platform: &FakePlatform,
    written: &[usize],
) {
    let Some(&index) = written.first() else {
        let config = platform.config_at(applied.generation);
        let (unchanged, touched) = (applied.changes.apply_to(&config), &told.touched);
        assert_eq!(unchanged.as_ref(), Ok(&config), "seed {seed}: {touched:?} was lost");
        return;
    };
    assert_eq!(applied.generation.0, index as u64 + 1, "seed {seed}");
    let before = platform.config_at(Generation(index as u64));
    let after = platform.config_at(applied.generation);
    let changes = Changes::between(&before, &after);
    let changed: BTreeSet<ObjectName> = changes.iter().map(|(name, _)| name.clone()).collect();
    assert_eq!(changed, told.touched, "seed {seed}: {} changed other objects", told.id);
}

fn number_from_env(name: &str, default: u64) -> u64 {
    env::var(name).ok().map_or(default, |text| text.parse().expect("a whole number"))
}

#[test]
fn accepted_submissions_are_made_once_each() {
    let cases = number_from_env("SAMPHIRESPREAD_CASES", DEFAULT_CASES);
    let first = number_from_env("SAMPHIRESPREAD_SEED", DEFAULT_SEED);

    for seed in first..first + cases {
        check(seed);
    }
}

#[test]
fn the_runs_contain_races_lost_answers_and_conflicts() {
    let (mut conflicts, mut lost, mut accepted) = (0, 0, 0);

    for seed in 0..20 {
        let (platform, told) = run(seed);
        lost += platform.lost_answers();
        conflicts += told.iter().filter(|told| told.result.is_err()).count();
        accepted += told.iter().filter(|told| told.result.is_ok()).count();
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

/// Runs a submission up to the write of the head.
fn prepare(platform: &mut FakePlatform, submission: &mut Submission) -> (Option<u64>, String) {
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
fn a_lost_answer_is_found_behind_a_later_head() {
    let mut platform = with_teams(&["a"]);
    let mut submission = Submission::new("mine", [key("k", "a")]);
    let (replaces, text) = prepare(&mut platform, &mut submission);
    platform.write_head(replaces, text, Fate::AnswerLost);
    platform.apply(Submission::new("later", [team("a", 77)]));

    submission.handle(Event::HeadUnknown);
    let action = submission.handle(Event::Head(platform.read_head()));

    let Action::Finish(Ok(applied)) = action else { panic!("{action:?}") };
    assert_eq!(applied.generation, Generation(2));
    assert_eq!(platform.history().len(), 3);
}

#[test]
fn a_lost_answer_behind_too_many_heads_is_told_as_unknown() {
    let mut platform = with_teams(&["a"]);
    let mut submission = Submission::new("mine", [key("k", "a")]);
    let (replaces, text) = prepare(&mut platform, &mut submission);
    platform.write_head(replaces, text, Fate::AnswerLost);
    for rate in 0..RECENT_SUBMISSIONS {
        platform.apply(Submission::new(&format!("later-{rate}"), [team("a", 100 + rate)]));
    }

    submission.handle(Event::HeadUnknown);
    let action = submission.handle(Event::Head(platform.read_head()));

    let heads = RECENT_SUBMISSIONS;
    assert_eq!(action, Action::Finish(Err(ApplyError::OutcomeUnknown { heads })));
}

#[test]
fn a_change_of_an_object_that_another_operator_changed_is_refused() {
    let mut platform = with_teams(&["a", "b"]);
    let mut submission = Submission::new("mine", [team("a", 20), team("b", 20)]);
    let (replaces, text) = prepare(&mut platform, &mut submission);
    platform.apply(Submission::new("other", [team("a", 30)]));

    let event = platform.write_head(replaces, text, Fate::Answered);
    submission.handle(event);
    let result = platform.finish(submission);

    assert_eq!(result, Err(ApplyError::Conflict(vec!["team/a".to_owned()])));
    assert_eq!(platform.history().len(), 2);
}

#[test]
fn a_change_that_became_invalid_is_refused() {
    let mut platform = with_teams(&["a", "b"]);
    let mut submission = Submission::new("mine", [key("k", "a")]);
    let (replaces, text) = prepare(&mut platform, &mut submission);
    let gone = ObjectName::parse("team/a").unwrap();
    platform.apply(Submission::new("other", []).remove([gone]));

    let event = platform.write_head(replaces, text, Fate::Answered);
    submission.handle(event);
    let result = platform.finish(submission);

    assert!(matches!(result, Err(ApplyError::Invalid(_))), "{result:?}");
}

#[test]
fn an_exact_submission_removes_what_it_does_not_name() {
    let mut platform = with_teams(&["a", "b"]);
    let config = ConfigBuilder::new().team(TeamBuilder::new("c")).build().unwrap();

    platform.apply(Submission::new("exact", config.documents()).exact(true));

    assert_eq!(platform.config_at(Generation(2)), config);
}

#[test]
fn a_submission_without_a_difference_writes_nothing() {
    let mut platform = with_teams(&["a"]);

    let applied = platform.apply(Submission::new("again", [team("a", 10)]));

    assert!(applied.changes.is_empty());
    assert_eq!(platform.history().len(), 1);
}

#[test]
fn a_submission_that_was_accepted_is_not_made_again() {
    let mut platform = with_teams(&["a"]);
    let first = platform.apply(Submission::new("mine", [team("a", 20)]));
    platform.apply(Submission::new("other", [team("a", 30)]));

    let again = platform.apply(Submission::new("mine", [team("a", 20)]));

    assert_eq!(again.generation, first.generation);
    assert_eq!(platform.history().len(), 3);
}

#[test]
fn a_broken_head_is_reported_and_left_alone() {
    let mut submission = Submission::new("mine", [team("a", 1)]);
    submission.handle(Event::Start);
    let stored = StoredHead { version: 4, text: "{\"generation\": -1}".to_owned() };

    let action = submission.handle(Event::Head(Some(stored)));

    assert!(matches!(action, Action::Finish(Err(ApplyError::Snapshot(_)))), "{action:?}");
}

#[test]
fn a_head_remembers_a_bounded_number_of_submissions() {
    let mut platform = with_teams(&["a"]);
    for rate in 0..2 * RECENT_SUBMISSIONS {
        platform.apply(Submission::new(&format!("s{rate}"), [team("a", 100 + rate)]));
    }

    let head = Head::parse(&platform.read_head().unwrap().text).unwrap();

    assert_eq!(head.recent.len() as u64, RECENT_SUBMISSIONS);
    assert_eq!(head.recent[&head.generation], head.submission);
    assert_eq!(platform.config_at(Generation(0)), Config::default());
}
