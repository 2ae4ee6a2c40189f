//! Tests of assembling snapshots and of lookups in them.

use samphirespread_config::{
    Config, ConfigBuilder, Head, KeyBuilder, KeyText, RouteBuilder, SetBuilder, Snapshot,
    SnapshotError, TeamBuilder, section_hash, sections,
};
use samphirespread_core::prelude::*;

const TEAMS: usize = 40;

fn many_keys() -> ConfigBuilder {
    let start = ConfigBuilder::new()
        .set(SetBuilder::new("drafting"))
        .set(SetBuilder::new("filing"))
        .route(RouteBuilder::model("drafts", "ledger", "3").team("team-1").set("drafting"))
        .route(RouteBuilder::model("others", "ledger", "3").team("team-2").set("drafting"))
        .route(RouteBuilder::service("root", "/").set("filing"))
        .route(RouteBuilder::service("notices", "/notices").open("team-3").set("filing"))
        .route(RouteBuilder::service("deep", "/notices/old").set("filing"));
    (0..TEAMS).fold(start, |builder, number| {
        let team = format!("team-{number}");
        builder.team(TeamBuilder::new(&team)).key(KeyBuilder::from_text(
            &format!("key-{number}"),
            &team,
            &key_text(number),
        ))
    })
}

fn key_text(number: usize) -> String {
    format!("text-of-key-{number}")
}

fn without_key(config: &Config, id: &str) -> Config {
    let mut config = config.clone();
    config.keys.retain(|key| key.id != id);
    config
}

fn snapshot() -> Snapshot {
    Snapshot::of(&many_keys().build().unwrap(), 7).unwrap()
}

#[test]
fn finds_each_key_only_by_its_text() {
    let snapshot = snapshot();

    for number in 0..TEAMS {
        let key = snapshot.authenticate(&key_text(number)).unwrap();
        assert_eq!(key.id, format!("key-{number}"));
        assert!(snapshot.team(&key.team).is_some());
        assert!(snapshot.authenticate(&key.sha256).is_none());
    }
    assert!(snapshot.authenticate("").is_none());
    assert!(Snapshot::empty().authenticate("").is_none());
}

#[test]
fn distinguishes_keys_with_the_same_leading_digest_digits() {
    let digest = samphirespread_config::key_digest("right");
    let same_prefix = format!("{}{}", &digest[..40], "0".repeat(24));
    let config = ConfigBuilder::new()
        .team(TeamBuilder::new("a"))
        .key(KeyBuilder::from_digest("near", "a", &same_prefix))
        .key(KeyBuilder::from_digest("right", "a", &digest))
        .build()
        .unwrap();

    let snapshot = Snapshot::of(&config, 1).unwrap();

    assert_eq!(snapshot.authenticate("right").unwrap().id, "right");
}

#[test]
fn generated_keys_differ_and_debug_hides_them() {
    let [a, b] = [KeyText::generate(&mut rand::rng()), KeyText::generate(&mut rand::rng())];

    assert_ne!(a.expose(), b.expose());
    assert!(!format!("{a:?}").contains(a.expose()));
}

#[test]
fn selects_the_model_route_by_team() {
    let snapshot = snapshot();
    let model = ModelName::new("ledger");
    let name = |caller: Option<&str>| {
        let caller = caller.map(TeamName::new);
        snapshot.route_for_model(&model, caller.as_ref()).map(|route| route.name.clone())
    };

    assert_eq!(name(Some("team-1")).as_deref(), Some("drafts"));
    assert_eq!(name(Some("team-2")).as_deref(), Some("others"));
    assert_eq!(name(Some("team-3")), None);
    assert_eq!(name(None), None);
    assert_eq!(snapshot.routes_for_model(&model).count(), 2);
    assert_eq!(snapshot.routes_for_model(&ModelName::new("other")).count(), 0);
}

#[test]
fn selects_the_longest_prefix_of_whole_segments() {
    let snapshot = snapshot();
    let name = |path: &str| snapshot.route_for_path(path).map(|route| route.name.as_str());

    assert_eq!(name("/notices"), Some("notices"));
    assert_eq!(name("/notices/7?x=/notices/old"), Some("notices"));
    assert_eq!(name("/notices/old/3"), Some("deep"));
    assert_eq!(name("/notices/older"), Some("notices"));
    assert_eq!(name("/noticesboard"), Some("root"));
    assert_eq!(name("/"), Some("root"));
    assert_eq!(name(""), None);
    assert_eq!(Snapshot::empty().route_for_path("/x/y").map(|route| &route.name), None);
}

#[test]
fn charges_requests_on_an_open_route_to_its_team() {
    let snapshot = snapshot();
    let route = snapshot.route_for_path("/notices").unwrap();
    let caller = TeamName::new("team-9");

    let teams = [route.charged_team(None), route.charged_team(Some(&caller))];

    assert_eq!(teams.map(|team| team.unwrap().as_str()), ["team-3", "team-3"]);
}

#[test]
fn revoking_a_key_changes_one_small_section() {
    let before = many_keys().build().unwrap();
    let after = without_key(&before, "key-5");

    let (old, new) = (sections(&before), sections(&after));

    let changed: Vec<&String> =
        old.keys().filter(|name| old.get(*name) != new.get(*name)).collect();
    assert_eq!(changed.len(), 1);
    assert!(old[changed[0]].len() < 1_000, "{}", old[changed[0]]);
}

#[test]
fn takes_unchanged_sections_from_the_previous_snapshot() {
    let config = many_keys().build().unwrap();
    let old = Snapshot::of(&config, 7).unwrap();
    let new = Snapshot::of(&without_key(&config, "key-5"), 8).unwrap();
    let missing = old.missing_sections(new.head());
    let sent: Vec<&str> = new
        .sections()
        .filter(|(_, text)| missing.contains(&section_hash(text).as_str()))
        .map(|(_, text)| text)
        .collect();

    let assembled = Snapshot::assemble(new.head_text(), &sent, Some(&old)).unwrap();

    assert!(sent.len() <= 1);
    assert_eq!(assembled.config(), new.config());
    assert_eq!(assembled.generation(), Generation(8));
    assert!(assembled.authenticate(&key_text(5)).is_none());
}

#[test]
fn reports_the_hashes_of_missing_sections() {
    let snapshot = snapshot();
    let texts: Vec<&str> =
        snapshot.sections().filter(|(name, _)| *name != "routes").map(|(_, text)| text).collect();

    let error = Snapshot::assemble(snapshot.head_text(), texts, None).unwrap_err();

    let hashes = vec![snapshot.head().sections["routes"].clone()];
    assert_eq!(error, SnapshotError::MissingSections { generation: Generation(7), hashes });
}

#[test]
fn ignores_a_section_whose_hash_differs() {
    let snapshot = snapshot();
    let texts = snapshot.sections().map(|(_, text)| text.replace("team-1\"", "team-2\""));

    let error = Snapshot::assemble(snapshot.head_text(), texts, None).unwrap_err();

    assert!(matches!(error, SnapshotError::MissingSections { .. }), "{error}");
}

fn head_of(section: &str, text: &str) -> String {
    let sections = [(section.to_owned(), section_hash(text))].into_iter().collect();
    Head { generation: Generation(3), sections, ..Head::default() }.to_text()
}

#[test]
fn ignores_unknown_fields_and_kinds() {
    let text = "{\"kind\":\"set\",\"name\":\"a\",\"block_bytes\":8192,\"checks_fencing\":true,\
                \"colour\":1}\n{\"kind\":\"adapter\",\"name\":\"x\"}\n";

    let snapshot = Snapshot::assemble(&head_of("sets", text), [text], None).unwrap();

    assert!(snapshot.set(&SetName::new("a")).is_some());
}

#[test]
fn errors_name_the_place_of_broken_documents() {
    let broken = "{\"kind\":\"set\"\n";
    let dangling = "{\"kind\":\"key\",\"id\":\"k\",\"team\":\"t\",\"sha256\":\"00\"}\n";

    let errors = [
        Snapshot::assemble("{", [""], None).unwrap_err().to_string(),
        Snapshot::assemble(&head_of("sets", broken), [broken], None).unwrap_err().to_string(),
        Snapshot::assemble(&head_of("keys-00", dangling), [dangling], None)
            .unwrap_err()
            .to_string(),
    ];

    expect_test::expect![[r#"
        the head is not a valid document: EOF while parsing an object at line 1 column 1
        section sets: line 1 is not a valid document: EOF while parsing an object at line 1 column 13
        generation 3 is not valid: key/k: team = t: allowed is the name of a team in the configuration
        key/k: sha256 = (hidden): allowed is 64 lower-case hex digits"#]].assert_eq(&errors.join("\n"));
}
