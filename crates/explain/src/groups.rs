//! Groups requests by their outcome and cause.

use std::{collections::BTreeMap, fmt::Write};

use samphirespread_logging::event;

use crate::line::Logs;

/// Returns a table of the outcomes and causes of requests, sorted by descending frequency, with the
/// id of one request as an example for each.
pub fn top_causes(logs: &Logs) -> String {
    let mut groups: BTreeMap<(String, String), (usize, String)> = BTreeMap::new();
    for line in logs.lines().iter().filter(|line| line.event == event::REQUEST_ENDED) {
        let key = (line.text("outcome"), line.text("cause"));
        let group = groups.entry(key).or_insert_with(|| (0, line.text("request")));
        group.0 += 1;
    }
    let mut rows: Vec<_> = groups.into_iter().collect();
    rows.sort_by_key(|(_, (count, _))| std::cmp::Reverse(*count));
    let mut text = String::from("requests  outcome      cause                     for example\n");
    for ((outcome, cause), (count, example)) in rows {
        // Writing to a string can't fail.
        let _ = writeln!(text, "{count:>8}  {outcome:<12} {cause:<25} {example}");
    }
    text
}
