//! Tests of the `samphirespread-router` command.

use std::process::{Command, Output};

fn router(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_samphirespread-router")).args(arguments).output().unwrap()
}

fn settings_file(name: &str, text: &str) -> String {
    let path = std::env::temp_dir().join(format!("{name}-{}.ini", std::process::id()));
    std::fs::write(&path, text).unwrap();
    path.display().to_string()
}

#[test]
fn accepts_its_own_example_settings() {
    let example = router(&["--example"]);
    let file = settings_file("example", &String::from_utf8(example.stdout).unwrap());

    let checked = router(&["--check", "--settings", &file]);

    assert_eq!(checked.status.code(), Some(0), "{checked:?}");
}

#[test]
fn refuses_an_unknown_key_and_names_its_line() {
    let file = settings_file("faulty", "[peers]\nhartbeat_ms = 5\n");

    let refused = router(&["--settings", &file]);

    let errors = String::from_utf8(refused.stderr).unwrap();
    assert_eq!(refused.status.code(), Some(2));
    assert!(errors.contains("line 2: [peers] has no key hartbeat_ms"), "{errors}");
}

#[test]
fn names_a_missing_settings_file() {
    let refused = router(&["--settings", "no-such-file.ini"]);

    let errors = String::from_utf8(refused.stderr).unwrap();
    assert_eq!(refused.status.code(), Some(2));
    assert!(errors.contains("no-such-file.ini"), "{errors}");
}
