//! Exhaustive simulation of moves in which any call or send may be lost, refused or left without an
//! answer, or the run may end.

use samphirespread_routing::relocation::{Answer, Place, Relocation, Step};

/// The outcome of one call or send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fate {
    /// It is executed and answered.
    Done,
    /// It is executed and the answer is lost.
    AnswerLost,
    /// It never arrives.
    Lost,
    /// The engine has no capacity or no longer has the copy.
    Refused,
    /// The run has finished.
    Ended,
}

const FATES: [Fate; 5] = [Fate::Done, Fate::AnswerLost, Fate::Lost, Fate::Refused, Fate::Ended];
/// The maximum number of calls and sends in one move: two copies, and a send to each engine.
const MAX_CALLS: usize = 4;

/// The actual state of the engines, which the router does not know.
#[derive(Debug, Default)]
struct Engines {
    runs_at_source: bool,
    runs_elsewhere: bool,
    ran_twice: bool,
}

impl Engines {
    fn resume(&mut self) {
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

/// Simulates one history. Returns whether the run was resumed at the destination or at the source.
fn play(history: &[Fate]) -> bool {
    let mut engines = Engines { runs_at_source: true, ..Engines::default() };
    let mut relocation = Relocation::new();
    for fate in history {
        match relocation.step() {
            Step::Copy => relocation.record_answer(copy(&mut engines, false, *fate)),
            Step::Stop => relocation.record_answer(copy(&mut engines, true, *fate)),
            Step::Resume { .. } => match fate {
                Fate::Done => {
                    engines.resume();
                    assert!(!engines.ran_twice, "{history:?}");
                    return true;
                }
                Fate::AnswerLost => {
                    engines.resume();
                    relocation.record_failure();
                }
                Fate::Lost => relocation.record_failure(),
                Fate::Refused | Fate::Ended => relocation.record_refusal(),
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
fn never_runs_a_request_at_two_engines() {
    let resumed = histories(MAX_CALLS).iter().filter(|history| play(history)).count();

    assert!(resumed > 0, "some runs are moved");
}

#[test]
fn returns_to_the_source_if_the_second_copy_is_refused() {
    let mut relocation = Relocation::new();
    relocation.record_answer(Answer::Copied("h".into()));
    relocation.record_answer(Answer::NotCopied(Some("kept".into())));

    let step = relocation.step();

    assert_eq!(step, Step::Resume { place: Place::Source, handle: "kept".into() });
}

#[test]
fn returns_to_the_source_once_if_the_destination_refuses() {
    let mut relocation = Relocation::new();
    relocation.record_answer(Answer::Copied("h".into()));
    relocation.record_answer(Answer::Copied("h".into()));

    relocation.record_refusal();
    assert_eq!(relocation.step(), Step::Resume { place: Place::Source, handle: "h".into() });
    relocation.record_refusal();

    assert_eq!(relocation.step(), Step::Lost);
}

#[test]
fn gives_up_if_the_call_to_stop_is_not_answered() {
    let mut relocation = Relocation::new();
    relocation.record_answer(Answer::Copied("h".into()));

    relocation.record_answer(Answer::Unknown);

    assert_eq!(relocation.step(), Step::Lost);
}

#[test]
fn keeps_the_run_if_the_destination_is_withdrawn_before_the_stop() {
    let mut relocation = Relocation::new();
    relocation.record_answer(Answer::Copied("h".into()));

    relocation.record_withdrawal();

    assert_eq!(relocation.step(), Step::Stay { release: Some("h".into()) });
}
