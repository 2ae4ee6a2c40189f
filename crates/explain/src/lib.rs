//! Finds the cause of a failed request in the logs of several processes.
//!
//! ```
//! use samphirespread_explain::{Logs, explain};
//!
//! let log = r#"{"msg":"request ended","ts":"2026-01-01T00:00:00.5Z","request":"q1",
//!     "outcome":"not_run","cause":"over_quota","team":"desk","retry_after_ms":250}"#;
//! let mut logs = Logs::default();
//! logs.read_line(&log.replace('\n', ""));
//!
//! let explained = explain(&logs, "q1", 0);
//!
//! assert!(explained.contains("team desk was over its quota"));
//! ```
//!
//! Lines may come from several files and may have a prefix before the JSON, such as the name of the
//! process. Lines that can't be parsed are counted. All lines are kept in memory.

mod cause;
mod groups;
mod line;

use std::fmt::Write;

pub use crate::{
    groups::top_causes,
    line::{Line, Logs},
};

/// Returns the log lines of a request, sorted by time, and a final sentence with its cause.
///
/// If `window_ms` is above zero, the result also holds the lines that belong to no request and were
/// logged at most that long before or after the request. They show what the processes knew then,
/// such as whether the store answered.
pub fn explain(logs: &Logs, request: &str, window_ms: u64) -> String {
    let mut lines = logs.of_request(request);
    let mut text = String::new();
    if let (Some(first), Some(last), true) = (lines.first(), lines.last(), window_ms > 0) {
        let (from, to) = (first.at_ns, last.at_ns);
        lines.extend(logs.lines_without_request(from, to, window_ms));
        lines.sort_by_key(|line| line.at_ns);
    }
    for line in &lines {
        // Writing to a string can't fail.
        let _ = writeln!(text, "{line}");
    }
    let _ = writeln!(text, "{}", cause::sentence(&logs.of_request(request), request));
    if logs.unreadable() > 0 {
        let _ = writeln!(text, "({} lines could not be read)", logs.unreadable());
    }
    text
}
