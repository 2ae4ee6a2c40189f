//! Splitting of an event stream into complete events.

use samphirespread_routing::events::EventSplitter;

fn split(pieces: &[&str]) -> (Vec<(String, Option<u64>)>, bool) {
    let mut splitter = EventSplitter::default();
    let mut events = Vec::new();
    for piece in pieces {
        splitter.push(piece.as_bytes());
        while let Some(event) = splitter.next_event() {
            events.push((String::from_utf8_lossy(&event.bytes).into_owned(), event.id));
        }
    }
    (events, splitter.has_partial_event())
}

#[test]
fn returns_the_same_events_for_any_split_of_the_input() {
    let stream = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
    let whole = split(&[stream]);

    for cut in 1..stream.len() {
        let (head, tail) = stream.split_at(cut);
        assert_eq!(split(&[head, tail]), whole, "cut at {cut}");
    }
    assert_eq!(whole.0.len(), 2);
    assert_eq!(whole.0[1], ("id: 2\ndata: b\n\n".to_owned(), Some(2)));
}

/// A server stops in the middle of an event.
#[test]
fn holds_back_an_incomplete_event() {
    let (events, has_partial_event) = split(&["id: 1\ndata: a\n\nid: 2\nda"]);

    assert_eq!(events.len(), 1);
    assert!(has_partial_event);
}

#[test]
fn accepts_carriage_returns_and_lines_before_the_id() {
    let (events, _) = split(&["version: 3\r\nid: 9\r\ndata: x\r\n\r\n"]);

    assert_eq!(events[0].1, Some(9));
}

#[test]
fn returns_events_without_an_id() {
    let (events, has_partial_event) = split(&["data: x\n\n"]);

    assert_eq!(events, [("data: x\n\n".to_owned(), None)]);
    assert!(!has_partial_event);
}
