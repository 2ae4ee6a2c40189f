//! Reading log lines.

use std::fmt;

use serde_json::{Map, Value};

/// Nanoseconds of a millisecond.
const NS_A_MS: u128 = 1_000_000;
/// Fields that every line has, which are not repeated among the others.
const COMMON_FIELDS: [&str; 4] = ["msg", "level", "ts", "request"];

/// One line of a log.
#[derive(Clone, Debug, PartialEq)]
pub struct Line {
    /// Nanoseconds of the wall clock, from an origin that all lines share.
    pub at_ns: u128,
    /// The wall clock's time as it was written.
    pub time: String,
    /// What stood before the JSON: the process, where the log names it.
    pub process: String,
    /// What happened.
    pub event: String,
    /// Everything else.
    pub fields: Map<String, Value>,
}

impl Line {
    /// A field as text, empty if it is not there.
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
            if !COMMON_FIELDS.contains(&name.as_str()) && !value.is_null() {
                write!(f, " {name}={}", self.text(name))?;
            }
        }
        Ok(())
    }
}

/// The lines of several logs.
#[derive(Clone, Debug, Default)]
pub struct Logs {
    lines: Vec<Line>,
    unreadable: usize,
}

impl Logs {
    /// Reads one line. Lines without JSON are left out, broken ones are counted.
    pub fn read_line(&mut self, text: &str) {
        let Some(start) = text.find('{') else { return };
        match parse(&text[..start], &text[start..]) {
            Some(line) => self.lines.push(line),
            None => self.unreadable += 1,
        }
    }

    /// All lines.
    pub fn lines(&self) -> &[Line] {
        &self.lines
    }

    /// Lines that could not be read.
    pub fn unreadable(&self) -> usize {
        self.unreadable
    }

    /// The lines of a request in the order of time.
    pub fn of_request(&self, request: &str) -> Vec<&Line> {
        let mut lines: Vec<&Line> =
            self.lines.iter().filter(|line| line.text("request") == request).collect();
        lines.sort_by_key(|line| line.at_ns);
        lines
    }

    /// The lines that belong to no request, from `window_ms` before to `window_ms` after a span.
    pub fn beliefs_between(&self, from_ns: u128, to_ns: u128, window_ms: u64) -> Vec<&Line> {
        let window_ns = u128::from(window_ms) * NS_A_MS;
        let span = from_ns.saturating_sub(window_ns)..=to_ns + window_ns;
        let is_belief = |line: &&Line| !line.fields.contains_key("request");
        self.lines.iter().filter(|line| span.contains(&line.at_ns)).filter(is_belief).collect()
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

/// Nanoseconds of a time such as `2026-04-07T04:04:17.0148Z`, counted so that later times are
/// higher and spans of less than a month are exact.
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
