//! A budget of lines for each event.

use std::{
    collections::HashMap,
    sync::{Mutex, PoisonError},
    time::Instant,
};

use slog::{Drain, Level, Never, OwnedKVList, Record, b, o, record};

use crate::event;

/// Lines of one event a second, in the long run: twice what a router's requests take in calm.
const LINES_PER_S: f64 = 200.0;
/// Lines of one event at once.
const BURST_LINES: f64 = 1_000.0;
/// Events that are told apart; others share one budget.
const MAX_EVENTS: usize = 128;

/// Passes on the lines that are within their event's budget.
#[derive(Debug)]
pub(crate) struct Budget<D> {
    drain: D,
    events: Mutex<HashMap<String, Account>>,
}

#[derive(Clone, Copy, Debug)]
struct Account {
    lines: f64,
    filled: Instant,
    left_out: u64,
}

impl<D> Budget<D> {
    pub(crate) fn new(drain: D) -> Self {
        Self { drain, events: Mutex::default() }
    }

    /// Whether a line passes, and how many before it did not.
    fn take(&self, event: String) -> (bool, u64) {
        let now = Instant::now();
        let mut events = self.events.lock().unwrap_or_else(PoisonError::into_inner);
        let is_known = events.contains_key(&event) || events.len() < MAX_EVENTS;
        let event = if is_known { event } else { String::new() };
        let fresh = Account { lines: BURST_LINES, filled: now, left_out: 0 };
        let account = events.entry(event).or_insert(fresh);
        let elapsed_s = now.duration_since(account.filled).as_secs_f64();
        account.lines = (account.lines + elapsed_s * LINES_PER_S).min(BURST_LINES);
        account.filled = now;
        if account.lines < 1.0 {
            account.left_out += 1;
            return (false, 0);
        }
        account.lines -= 1.0;
        (true, std::mem::take(&mut account.left_out))
    }
}

impl<D: Drain<Ok = (), Err = Never>> Drain for Budget<D> {
    type Ok = ();
    type Err = Never;

    fn log(&self, line: &Record<'_>, values: &OwnedKVList) -> Result<(), Never> {
        let event = line.msg().to_string();
        let (passes, left_out) = self.take(event.clone());
        if !passes {
            return Ok(());
        }
        if left_out > 0 {
            let text = format_args!("{}", event::LINES_LEFT_OUT);
            let fields = b!("of" => event, "count" => left_out);
            self.drain.log(&record!(Level::Warning, "", &text, fields), &o!().into())?;
        }
        self.drain.log(line, values)
    }
}
