//! Checks that the operations page lists exactly the events that the code defines.

use samphirespread_logging::event;

#[test]
fn page_and_code_list_the_same_events() {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/OPERATIONS.md");
    let page = std::fs::read_to_string(path).unwrap();
    let table = page.split("## Events").nth(1).unwrap().split("\n# ").next().unwrap();
    let listed: Vec<&str> = table.lines().filter(|line| line.starts_with("| `")).collect();

    let expected: Vec<String> = event::ALL
        .iter()
        .map(|spec| {
            let fields = if spec.fields.is_empty() { "none" } else { spec.fields };
            format!("| `{}` | {} | {fields} |", spec.name, spec.meaning)
        })
        .collect();

    assert_eq!(listed, expected);
}

#[test]
fn no_two_events_share_a_name() {
    let mut names: Vec<&str> = event::ALL.iter().map(|spec| spec.name).collect();
    names.sort_unstable();
    names.dedup();

    assert_eq!(names.len(), event::ALL.len());
}
