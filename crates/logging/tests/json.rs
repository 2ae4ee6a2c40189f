//! What ends up in a log.

use std::{
    io,
    sync::{Arc, Mutex},
};

use samphirespread_logging::{key, to};
use samphirespread_settings::{LogFormat, LogLevel, LogSettings};
use slog::{debug, info, o};

#[derive(Clone, Default)]
struct Sink(Arc<Mutex<Vec<u8>>>);

impl Sink {
    fn text(&self) -> String {
        String::from_utf8(self.0.lock().unwrap().clone()).unwrap()
    }
}

impl io::Write for Sink {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.lock().unwrap().extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn log_two_lines(format: LogFormat) -> String {
    let sink = Sink::default();
    let root = to(&LogSettings { format, level: LogLevel::Info }, sink.clone());
    let log = root.new(o!(key::REQUEST => "1-2a", key::TEAM => "desk"));

    info!(log, "request accepted"; key::ATTEMPT => 3);
    debug!(log, "below the level");

    drop((root, log));
    sink.text()
}

#[test]
fn json_lines_carry_request_team_and_attempt() {
    let text = log_two_lines(LogFormat::Json);

    let line: serde_json::Value = serde_json::from_str(&text).unwrap();
    assert_eq!(line["msg"], "request accepted");
    assert_eq!(line["request"], "1-2a");
    assert_eq!(line["team"], "desk");
    assert_eq!(line["attempt"], 3);
}

#[test]
fn terminal_lines_carry_request_team_and_attempt() {
    let text = log_two_lines(LogFormat::Terminal);

    assert_eq!(text.lines().count(), 1);
    for part in ["request accepted", "request: 1-2a", "team: desk", "attempt: 3"] {
        assert!(text.contains(part), "{part} in {text}");
    }
}

/// A flood of one event, with another one in it.
#[test]
fn a_flood_of_one_event_hides_no_other_and_is_counted() {
    let sink = Sink::default();
    let settings = LogSettings { format: LogFormat::Json, level: LogLevel::Info };
    let log = to(&settings, sink.clone());

    for _ in 0..50_000 {
        info!(log, "flood");
    }
    info!(log, "rare");
    // The budget lets another line of the flood pass later, with the count of those left out.
    std::thread::sleep(std::time::Duration::from_millis(50));
    info!(log, "flood");

    drop(log);
    let text = sink.text();
    let floods = text.lines().filter(|line| line.contains("\"msg\":\"flood\"")).count();
    assert!(floods < 20_000, "{floods}");
    assert!(text.contains("\"msg\":\"rare\""));
    assert!(text.contains("\"msg\":\"lines left out\""));
}

/// Whoever reads standard output has stopped reading.
#[test]
fn a_reader_that_stops_does_not_hold_up_the_program() {
    struct Stuck(Arc<Mutex<()>>);
    impl io::Write for Stuck {
        fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
            let _held = self.0.lock().unwrap();
            Ok(bytes.len())
        }
        fn flush(&mut self) -> io::Result<()> {
            Ok(())
        }
    }
    let gate = Arc::new(Mutex::new(()));
    let held = gate.lock().unwrap();
    let settings = LogSettings { format: LogFormat::Json, level: LogLevel::Info };
    let log = to(&settings, Stuck(gate.clone()));

    // Far more lines than the queue holds; the loop ends although nothing is written.
    for number in 0..20_000 {
        info!(log, "{}", format!("event {}", number % 100));
    }

    drop(held);
    drop(log);
}
