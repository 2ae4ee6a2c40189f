//! Checks which lines and fields are written to a log, and what happens under load.

use std::{
    io,
    sync::{Arc, Mutex},
};

use samphirespread_logging::{key, root_with_writer};
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
    let root = root_with_writer(&LogSettings { format, level: LogLevel::Info }, sink.clone());
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

#[test]
fn drops_and_counts_excess_lines_of_one_event_but_keeps_other_events() {
    let sink = Sink::default();
    let settings = LogSettings { format: LogFormat::Json, level: LogLevel::Info };
    let log = root_with_writer(&settings, sink.clone());

    for _ in 0..50_000 {
        info!(log, "flood");
    }
    info!(log, "rare");
    // By then the budget admits one more line, which is preceded by the number of dropped lines.
    std::thread::sleep(std::time::Duration::from_millis(50));
    info!(log, "flood");

    drop(log);
    let text = sink.text();
    let flood_lines = text.lines().filter(|line| line.contains("\"msg\":\"flood\"")).count();
    assert!(flood_lines < 20_000, "{flood_lines}");
    assert!(text.contains("\"msg\":\"rare\""));
    assert!(text.contains("\"msg\":\"lines left out\""));
}

/// A writer blocks when the reader at the other end has stopped reading.
#[test]
fn logging_does_not_wait_for_a_blocked_writer() {
    struct BlockedWriter(Arc<Mutex<()>>);
    impl io::Write for BlockedWriter {
        fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
            let _guard = self.0.lock().unwrap();
            Ok(bytes.len())
        }
        fn flush(&mut self) -> io::Result<()> {
            Ok(())
        }
    }
    let gate = Arc::new(Mutex::new(()));
    let guard = gate.lock().unwrap();
    let settings = LogSettings { format: LogFormat::Json, level: LogLevel::Info };
    let log = root_with_writer(&settings, BlockedWriter(gate.clone()));

    // These are far more lines than the queue holds. The loop ends although none is written.
    for number in 0..20_000 {
        info!(log, "{}", format!("event {}", number % 100));
    }

    drop(guard);
    drop(log);
}
