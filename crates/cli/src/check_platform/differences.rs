//! Compares a configuration with the one in force.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use samphirespread_adapter::configuration_check::{
    EntryKind, Field, FieldValues, limit_fields, route_fields, service_fields, team_fields,
};
use samphirespread_routing::model::{Configuration, KeyDigest};

use super::{Finding, Severity};

/// What a field without a value is shown as.
const NO_VALUE: &str = "nothing";

/// An entry of a configuration, as far as it is compared.
struct Entry {
    label: String,
    fields: FieldValues,
    keys: BTreeSet<KeyDigest>,
}

/// Returns one finding for each added or removed entry and for each changed field.
///
/// `rejected` are the entries that the decoder has left out of the new configuration.
pub(super) fn findings(
    in_force: &Configuration,
    new: &Configuration,
    rejected: &[String],
) -> Vec<Finding> {
    let mut old_entries = numbered(entries(in_force));
    let mut findings = Vec::new();
    for (id, entry) in sorted(numbered(entries(new))) {
        match old_entries.remove(&id) {
            Some((_, old)) => findings.extend(changes(&old, &entry)),
            None => findings.push(added_or_removed(&entry, "added")),
        }
    }
    for (_, entry) in sorted(old_entries) {
        let what = match rejected.contains(&entry.label) {
            true => "removed, as the decoder rejects the new entry",
            false => "removed",
        };
        findings.push(added_or_removed(&entry, what));
    }
    let limits = |configuration: &Configuration| Entry {
        label: "limits".to_owned(),
        fields: limit_fields(&configuration.caller_limits),
        keys: BTreeSet::new(),
    };
    findings.extend(changes(&limits(in_force), &limits(new)));
    findings.extend(generation(in_force, new, !findings.is_empty()));
    findings
}

/// An entry's label, and the number of earlier entries with the same one.
type EntryId = (String, usize);

/// Identifies the entries, each with its place in the configuration.
fn numbered(entries: Vec<Entry>) -> BTreeMap<EntryId, (usize, Entry)> {
    let mut counts: HashMap<String, usize> = HashMap::new();
    let numbered = entries.into_iter().enumerate().map(|(place, entry)| {
        let count = counts.entry(entry.label.clone()).or_default();
        *count += 1;
        ((entry.label.clone(), *count), (place, entry))
    });
    numbered.collect()
}

/// Returns the entries in their order in the configuration.
fn sorted(entries: BTreeMap<EntryId, (usize, Entry)>) -> Vec<(EntryId, Entry)> {
    let mut entries: Vec<_> = entries.into_iter().collect();
    entries.sort_by_key(|(_, (place, _))| *place);
    entries.into_iter().map(|(id, (_, entry))| (id, entry)).collect()
}

fn entries(configuration: &Configuration) -> Vec<Entry> {
    let entry = |kind: EntryKind, name: &str, fields| Entry {
        label: kind.entry(name),
        fields,
        keys: BTreeSet::new(),
    };
    let routes = configuration.routes.iter();
    let services = configuration.services.iter();
    let teams = configuration.teams.iter();
    routes
        .map(|route| entry(EntryKind::Route, &route.name, route_fields(route)))
        .chain(services.map(|it| entry(EntryKind::Service, &it.name, service_fields(it))))
        .chain(teams.map(|team| Entry {
            keys: team.keys.iter().copied().collect(),
            ..entry(EntryKind::Team, team.name.as_str(), team_fields(team))
        }))
        .collect()
}

fn added_or_removed(entry: &Entry, what: &str) -> Finding {
    let finding = Finding::new(Severity::Change, &*entry.label, what);
    match entry.keys.len() {
        0 => finding,
        count => finding.field(Field::Keys, counted_keys(count)),
    }
}

fn counted_keys(count: usize) -> String {
    if count == 1 { "1 key".to_owned() } else { format!("{count} keys") }
}

fn changes(old: &Entry, new: &Entry) -> Vec<Finding> {
    let fields: BTreeSet<Field> = old.fields.keys().chain(new.fields.keys()).copied().collect();
    let value = |entry: &Entry, field: Field| {
        entry.fields.get(&field).map_or(NO_VALUE.to_owned(), Clone::clone)
    };
    let change = |message: String, field, found| {
        Finding::new(Severity::Change, &*new.label, message).field(field, found)
    };
    let mut findings: Vec<Finding> = fields
        .into_iter()
        .map(|field| (field, value(old, field), value(new, field)))
        .filter(|(_, before, after)| before != after)
        .map(|(field, before, after)| {
            change(format!("changed; in force is {before}"), field, after)
        })
        .collect();
    let added = new.keys.difference(&old.keys).count();
    let removed = old.keys.difference(&new.keys).count();
    if added + removed > 0 {
        let message = format!("changed; {added} added, {removed} removed");
        findings.push(change(message, Field::Keys, counted_keys(new.keys.len())));
    }
    findings
}

/// Compares the generations. Routers leave a configuration out whose generation is not higher.
fn generation(in_force: &Configuration, new: &Configuration, has_changes: bool) -> Option<Finding> {
    let (old, new) = (in_force.generation, new.generation);
    if new > old {
        let message = format!("changed; in force is {old}");
        let finding = Finding::new(Severity::Change, "configuration", message);
        return Some(finding.field(Field::Generation, new));
    }
    if new == old && !has_changes {
        return None;
    }
    let message = format!("routers leave it out, as generation {old} is in force");
    let finding = Finding::new(Severity::Error, "configuration", message);
    Some(finding.field(Field::Generation, new).allowed(format!("over {old}")))
}
