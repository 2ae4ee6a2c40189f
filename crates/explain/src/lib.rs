//! From the logs of several processes to the cause of one failed request.
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
//! Lines may come from several files and carry a prefix before the JSON, such as the name of the
//! process; lines that can't be read are counted. Cost: all lines are kept in memory.

mod cause;
mod groups;
mod line;

use std::fmt::Write;

pub use crate::{
    groups::top_causes,
    line::{Line, Logs},
};

/// The story of one request in the order of time, ending in a sentence with its cause.
///
/// With `window_ms`, changes of what processes believed around that time are told too.
pub fn explain(logs: &Logs, request: &str, window_ms: u64) -> String {
    let mut lines = logs.of_request(request);
    let mut text = String::new();
    if let (Some(first), Some(last), true) = (lines.first(), lines.last(), window_ms > 0) {
        let (from, to) = (first.at_ns, last.at_ns);
        lines.extend(logs.beliefs_between(from, to, window_ms));
        lines.sort_by_key(|line| line.at_ns);
    }
    for line in &lines {
        // Writing to a string does not fail.
        let _ = writeln!(text, "{line}");
    }
    let _ = writeln!(text, "{}", cause::sentence(&logs.of_request(request), request));
    if logs.unreadable() > 0 {
        let _ = writeln!(text, "({} lines could not be read)", logs.unreadable());
    }
    text
}
