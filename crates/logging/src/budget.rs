//! Limits how many log lines each event may write.

use std::{
    collections::HashMap,
    sync::{Mutex, PoisonError},
    time::Instant,
};

use slog::{Drain, Level, Never, OwnedKVList, Record, b, o, record};

use crate::event;

/// Sustained number of lines per second for one event: twice what the requests of a router need
/// under normal load.
const LINES_PER_S: f64 = 200.0;
/// Maximum number of lines that one event may write in a burst.
const MAX_BURST_LINES: f64 = 1_000.0;
/// Maximum number of events with a budget of their own. All further events share one budget.
const MAX_OWN_BUDGETS: usize = 128;

/// Forwards the lines that are within the budget of their event to another drain.
#[derive(Debug)]
pub(crate) struct BudgetDrain<D> {
    drain: D,
    budgets: Mutex<HashMap<String, LineBudget>>,
}

/// The budget of one event, kept as a token bucket.
#[derive(Clone, Copy, Debug)]
struct LineBudget {
    available_lines: f64,
    refilled_at: Instant,
    dropped: u64,
}

impl<D> BudgetDrain<D> {
    pub(crate) fn new(drain: D) -> Self {
        Self { drain, budgets: Mutex::default() }
    }

    /// Returns whether a line of this event may be written, and how many lines were dropped under
    /// the same budget since the last one that was written.
    fn admit(&self, event: String) -> (bool, u64) {
        let now = Instant::now();
        let mut budgets = self.budgets.lock().unwrap_or_else(PoisonError::into_inner);
        let has_own_budget = budgets.contains_key(&event) || budgets.len() < MAX_OWN_BUDGETS;
        let event = if has_own_budget { event } else { String::new() };
        let full = LineBudget { available_lines: MAX_BURST_LINES, refilled_at: now, dropped: 0 };
        let budget = budgets.entry(event).or_insert(full);
        let elapsed_s = now.duration_since(budget.refilled_at).as_secs_f64();
        budget.available_lines =
            (budget.available_lines + elapsed_s * LINES_PER_S).min(MAX_BURST_LINES);
        budget.refilled_at = now;
        if budget.available_lines < 1.0 {
            budget.dropped += 1;
            return (false, 0);
        }
        budget.available_lines -= 1.0;
        (true, std::mem::take(&mut budget.dropped))
    }
}

impl<D: Drain<Ok = (), Err = Never>> Drain for BudgetDrain<D> {
    type Ok = ();
    type Err = Never;

    fn log(&self, line: &Record<'_>, values: &OwnedKVList) -> Result<(), Never> {
        let event = line.msg().to_string();
        let (is_admitted, dropped) = self.admit(event.clone());
        if !is_admitted {
            return Ok(());
        }
        if dropped > 0 {
            let text = format_args!("{}", event::LINES_LEFT_OUT);
            let fields = b!("of" => event, "count" => dropped);
            self.drain.log(&record!(Level::Warning, "", &text, fields), &o!().into())?;
        }
        self.drain.log(line, values)
    }
}
