//! Tests of the journal: answers that grow while they are read.

use bytes::Bytes;
use samphirespread_agent::journal::{Journal, Line, Read};
use samphirespread_wire::message::{Finished, Output, Reply};

fn line(seq: u64) -> Line {
    Line::Output(Output { seq, text: format!("word{seq}"), tokens: 1 })
}

fn end() -> Reply {
    Reply::Finished(Finished::default())
}

#[test]
fn a_read_may_begin_at_any_line() {
    let mut journal = Journal::new(1_000_000);
    for seq in 0..3 {
        journal.push(line(seq));
    }
    journal.end(end());

    let Read::Lines(from_one) = journal.read(1) else { panic!("lines are there") };

    assert_eq!(from_one.len(), 2);
    assert_eq!(journal.read(3), Read::End(end()));
}

#[test]
fn a_read_at_the_end_of_a_growing_answer_is_pending() {
    let mut journal = Journal::new(1_000_000);
    journal.push(line(0));

    assert_eq!(journal.read(1), Read::Pending);
}

#[test]
fn read_lines_are_dropped_to_make_room() {
    let mut journal = Journal::new(300);
    let mut seq = 0;
    while !journal.is_full() {
        journal.push(line(seq));
        seq += 1;
    }

    journal.read(0);
    let is_full_after_read = journal.is_full();
    journal.push(line(seq));

    assert!(!is_full_after_read);
    assert_eq!(journal.read(0), Read::Dropped);
    assert!(matches!(journal.read(seq), Read::Lines(_)));
}

#[test]
fn unread_lines_are_never_dropped() {
    let mut journal = Journal::new(100);
    let body = |offset: u64| Line::Body { offset, bytes: Bytes::from_static(&[7; 80]) };

    journal.push(body(0));
    journal.push(body(80));

    assert!(journal.is_full());
    assert!(matches!(journal.read(0), Read::Lines(lines) if lines.len() == 2));
}

#[test]
#[should_panic(expected = "ends once")]
fn panics_when_an_answer_ends_twice() {
    let mut journal = Journal::new(100);

    journal.end(end());
    journal.end(end());
}
