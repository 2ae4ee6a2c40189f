//! Moves of runs: every answer that may be lost or refused, and every side that may die.

use samphirespread_routing::relocation::{Answer, Place, Relocation, Step};

/// What happens to one call or send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fate {
    /// It is carried out and answered.
    Done,
    /// It is carried out and the answer is lost.
    AnswerLost,
    /// It never arrives.
    Lost,
    /// The engine has no room, or no copy any more.
    Refused,
    /// The run has come to its end.
    Ended,
}

const FATES: [Fate; 5] = [Fate::Done, Fate::AnswerLost, Fate::Lost, Fate::Refused, Fate::Ended];
/// Calls and sends in one history: two copies, and a send to each place.
const LONGEST: usize = 4;

/// The engines, as they are and not as the router believes.
#[derive(Debug, Default)]
struct Engines {
    runs_at_source: bool,
    runs_elsewhere: bool,
    ran_twice: bool,
}

impl Engines {
    fn go_on(&mut self) {
        self.ran_twice |= self.runs_at_source || self.runs_elsewhere;
        self.runs_elsewhere = true;
    }
}

fn copy(engines: &mut Engines, stops: bool, fate: Fate) -> Answer {
    if !engines.runs_at_source || fate == Fate::Ended {
        engines.runs_at_source = false;
        return Answer::NoRun;
    }
    let is_carried_out = fate != Fate::Lost;
    engines.runs_at_source &= !(stops && is_carried_out);
    match fate {
        Fate::Done => Answer::Copied("h".into()),
        Fate::Refused => Answer::NotCopied(stops.then(|| "h".into())),
        _ => Answer::Unknown,
    }
}

/// Plays one history. Returns whether the run went on elsewhere or came back to the source.
fn play(history: &[Fate]) -> bool {
    let mut engines = Engines { runs_at_source: true, ..Engines::default() };
    let mut relocation = Relocation::new();
    for fate in history {
        match relocation.step() {
            Step::Copy => relocation.answered(copy(&mut engines, false, *fate)),
            Step::Stop => relocation.answered(copy(&mut engines, true, *fate)),
            Step::GoOn { .. } => match fate {
                Fate::Done => {
                    engines.go_on();
                    assert!(!engines.ran_twice, "{history:?}");
                    return true;
                }
                Fate::AnswerLost => {
                    engines.go_on();
                    relocation.failed();
                }
                Fate::Lost => relocation.failed(),
                Fate::Refused | Fate::Ended => relocation.refused(),
            },
            Step::Stay { .. } | Step::Lost => break,
        }
        assert!(!engines.ran_twice, "{history:?}");
    }
    false
}

fn histories(length: usize) -> Vec<Vec<Fate>> {
    let mut all = vec![Vec::new()];
    for _ in 0..length {
        let longer = |history: &Vec<Fate>| {
            let history = history.clone();
            FATES.map(|fate| [history.clone(), vec![fate]].concat())
        };
        all = all.iter().flat_map(longer).collect();
    }
    all
}

#[test]
fn no_history_has_a_run_at_two_engines() {
    let went_on = histories(LONGEST).iter().filter(|history| play(history)).count();

    assert!(went_on > 0, "some runs are moved");
}

#[test]
fn a_run_whose_copy_is_refused_goes_back_to_where_its_memory_is() {
    let mut relocation = Relocation::new();
    relocation.answered(Answer::Copied("h".into()));
    relocation.answered(Answer::NotCopied(Some("kept".into())));

    let step = relocation.step();

    assert_eq!(step, Step::GoOn { place: Place::Source, handle: "kept".into() });
}

#[test]
fn a_destination_that_refuses_sends_the_run_back_once() {
    let mut relocation = Relocation::new();
    relocation.answered(Answer::Copied("h".into()));
    relocation.answered(Answer::Copied("h".into()));

    relocation.refused();
    assert_eq!(relocation.step(), Step::GoOn { place: Place::Source, handle: "h".into() });
    relocation.refused();

    assert_eq!(relocation.step(), Step::Lost);
}

#[test]
fn a_stop_without_an_answer_sends_the_run_nowhere() {
    let mut relocation = Relocation::new();
    relocation.answered(Answer::Copied("h".into()));

    relocation.answered(Answer::Unknown);

    assert_eq!(relocation.step(), Step::Lost);
}

#[test]
fn a_destination_that_is_withdrawn_in_time_leaves_the_run_where_it_is() {
    let mut relocation = Relocation::new();
    relocation.answered(Answer::Copied("h".into()));

    relocation.withdrawn();

    assert_eq!(relocation.step(), Step::Stay { release: Some("h".into()) });
}
