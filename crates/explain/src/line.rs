//! Parses log lines.

use std::fmt;

use serde_json::{Map, Value};

/// Nanoseconds per millisecond.
const NS_PER_MS: u128 = 1_000_000;
/// Fields that are left out when the fields of a line are printed.
const OMITTED_FIELDS: [&str; 4] = ["msg", "level", "ts", "request"];

/// A parsed log line.
#[derive(Clone, Debug, PartialEq)]
pub struct Line {
    /// The wall clock time in nanoseconds since an origin that all lines share.
    pub at_ns: u128,
    /// The wall clock time as it stands in the log.
    pub time: String,
    /// The last word before the JSON, which is the process if the log names it. Otherwise empty.
    pub process: String,
    /// The name of the event.
    pub event: String,
    /// All fields of the JSON object.
    pub fields: Map<String, Value>,
}

impl Line {
    /// Returns a field as text, or an empty string if the field is missing or null.
    pub fn text(&self, field: &str) -> String {
        match self.fields.get(field) {
            Some(Value::String(text)) => text.clone(),
            None | Some(Value::Null) => String::new(),
            Some(other) => other.to_string(),
        }
    }
}

impl fmt::Display for Line {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {} {}:", self.time, self.process, self.event)?;
        for (name, value) in &self.fields {
            if !OMITTED_FIELDS.contains(&name.as_str()) && !value.is_null() {
                write!(f, " {name}={}", self.text(name))?;
            }
        }
        Ok(())
    }
}

/// Holds the lines of several logs.
#[derive(Clone, Debug, Default)]
pub struct Logs {
    lines: Vec<Line>,
    unreadable: usize,
}

impl Logs {
    /// Parses one line. Lines without JSON are ignored; lines with invalid JSON or without a valid
    /// message and time are counted as unreadable.
    pub fn read_line(&mut self, text: &str) {
        let Some(start) = text.find('{') else { return };
        match parse(&text[..start], &text[start..]) {
            Some(line) => self.lines.push(line),
            None => self.unreadable += 1,
        }
    }

    /// Returns all lines in the order in which they were read.
    pub fn lines(&self) -> &[Line] {
        &self.lines
    }

    /// Returns the number of lines that could not be parsed.
    pub fn unreadable(&self) -> usize {
        self.unreadable
    }

    /// Returns the lines of a request, sorted by time.
    pub fn of_request(&self, request: &str) -> Vec<&Line> {
        let mut lines: Vec<&Line> =
            self.lines.iter().filter(|line| line.text("request") == request).collect();
        lines.sort_by_key(|line| line.at_ns);
        lines
    }

    /// Returns the lines that belong to no request and were logged between `window_ms` before
    /// `from_ns` and `window_ms` after `to_ns`.
    pub fn lines_without_request(&self, from_ns: u128, to_ns: u128, window_ms: u64) -> Vec<&Line> {
        let window_ns = u128::from(window_ms) * NS_PER_MS;
        let span = from_ns.saturating_sub(window_ns)..=to_ns + window_ns;
        let has_no_request = |line: &&Line| !line.fields.contains_key("request");
        self.lines.iter().filter(|line| span.contains(&line.at_ns)).filter(has_no_request).collect()
    }
}

fn parse(prefix: &str, json: &str) -> Option<Line> {
    let fields: Map<String, Value> = serde_json::from_str(json.trim()).ok()?;
    let event = fields.get("msg")?.as_str()?.to_owned();
    let time = fields.get("ts")?.as_str()?.to_owned();
    let at_ns = nanoseconds(&time)?;
    let process = prefix.split_whitespace().last().unwrap_or_default().to_owned();
    Some(Line { at_ns, time, process, event, fields })
}

/// Converts a time such as `2026-04-07T04:04:17.0148Z` to nanoseconds. Later times give higher
/// numbers, and spans within one month are exact.
fn nanoseconds(time: &str) -> Option<u128> {
    let (date, clock) = time.split_once('T')?;
    let mut date = date.split('-').map(|part| part.parse::<u128>().ok());
    let (year, month, day) = (date.next()??, date.next()??, date.next()??);
    let end = clock.find(['Z', '+', '-']).unwrap_or(clock.len());
    let (whole, fraction) = clock[..end].split_once('.').unwrap_or((&clock[..end], "0"));
    let mut parts = whole.split(':').map(|part| part.parse::<u128>().ok());
    let (hour, minute, second) = (parts.next()??, parts.next()??, parts.next()??);
    let fraction: u128 = format!("{fraction:0<9}").get(..9)?.parse().ok()?;
    let days = (year * 12 + month) * 31 + day;
    Some((((days * 24 + hour) * 60 + minute) * 60 + second) * 1_000_000_000 + fraction)
}
