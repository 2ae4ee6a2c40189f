//! Tests of building, printing, parsing and validating documents.

use expect_test::{Expect, expect};
use samphirespread_config::{
    Config, ConfigBuilder, KeyBuilder, RouteBuilder, SetBuilder, TeamBuilder, parse_documents,
};

fn small_config() -> ConfigBuilder {
    ConfigBuilder::new()
        .team(TeamBuilder::new("desk").rate_tokens_per_s(20_000))
        .team(TeamBuilder::new("crew").rate_tokens_per_s(50).burst_tokens(700))
        .key(KeyBuilder::from_text("desk-1", "desk", "an-example-of-a-key"))
        .set(SetBuilder::new("drafting").checks_fencing(true))
        .set(SetBuilder::new("filing"))
        .route(RouteBuilder::model("drafts", "ledger", "3").team("desk").set("drafting"))
        .route(RouteBuilder::service("notices", "/notices").open("crew").set("filing"))
}

#[test]
fn prints_documents_in_canonical_form() {
    let config = small_config().build().unwrap();

    let text = config.to_text();

    expect![[r#"
        {"burst_tokens":700,"kind":"team","name":"crew","rate_tokens_per_s":50}
        {"burst_tokens":200000,"kind":"team","name":"desk","rate_tokens_per_s":20000}
        {"id":"desk-1","kind":"key","sha256":"0b0788b410829d73d0c3937dbbd822abd70d6cb69bae083816a3ca4a73717f9f","team":"desk"}
        {"access":{"keyed":["desk"]},"idempotent":true,"kind":"route","name":"drafts","priority":100,"sets":["drafting"],"target":{"model":{"max_output_tokens":2048,"model":"ledger","version":"3"}}}
        {"access":{"open":"crew"},"idempotent":false,"kind":"route","name":"notices","priority":100,"sets":["filing"],"target":{"service":{"cost_tokens":100,"path_prefix":"/notices"}}}
        {"block_bytes":8192,"checks_fencing":true,"kind":"set","name":"drafting"}
        {"block_bytes":8192,"checks_fencing":false,"kind":"set","name":"filing"}
    "#]].assert_eq(&text);
}

#[test]
fn parses_printed_documents_to_the_same_configuration() {
    let config = small_config().build().unwrap();

    let parsed = Config::from_documents(parse_documents("print", &config.to_text()).unwrap());

    assert_eq!(parsed, config);
    assert!(!config.to_text().contains("an-example-of-a-key"));
}

#[test]
fn text_does_not_depend_on_the_order_of_building() {
    let ab = ConfigBuilder::new().team(TeamBuilder::new("a")).team(TeamBuilder::new("b"));
    let ba = ConfigBuilder::new().team(TeamBuilder::new("b")).team(TeamBuilder::new("a"));

    let texts = [ab.build().unwrap().to_text(), ba.build().unwrap().to_text()];

    assert_eq!(texts[0], texts[1]);
}

fn check_parse_errors(text: &str, expected: &Expect) {
    let errors = parse_documents("file.json", text).unwrap_err();

    expected.assert_eq(&errors.to_string());
}

#[test]
fn reports_every_error_of_every_document() {
    let text = r#"
        {"kind": "team", "name": "desk", "rate_tokens_per_s": "fast", "burts": 3}
        {"kind": "key", "id": "desk-1", "team": "desk", "sha256": 17}
        {"kind": "route", "name": "drafts", "idempotent": 1, "priority": 300, "sets": "drafting",
         "target": {"model": {"model": "ledger", "max_output_tokens": -1, "weights": "3"}},
         "access": {"closed": []}}
        {"kind": "route", "name": "notices", "idempotent": false, "priority": 1, "sets": ["a", 2],
         "target": {"service": "/notices"}, "access": {"open": ["crew"]}}
        {"kind": "engine", "name": "x"}
        {"name": "x"}
        [1]
        {"kind": "set", "block_bytes": 8192, "checks_fencing": false}
    "#;

    check_parse_errors(
        text,
        &expect![[r#"
        team/desk: rate_tokens_per_s = "fast": allowed is a whole number from 0 to 18446744073709551615
        team/desk: burst_tokens is missing; allowed is a whole number from 0 to 18446744073709551615
        team/desk: there is no field burts; allowed are kind, name, rate_tokens_per_s, burst_tokens
        key/desk-1: sha256 = (hidden): allowed is a text
        route/drafts: target.model.version is missing; allowed is a text
        route/drafts: target.model.max_output_tokens = -1: allowed is a whole number from 0 to 4294967295
        route/drafts: there is no field target.model.weights; allowed are model, version, max_output_tokens
        route/drafts: access = {"closed":[]}: allowed is an object with one field, which is open or keyed
        route/drafts: idempotent = 1: allowed is true or false
        route/drafts: priority = 300: allowed is a whole number from 0 to 255
        route/drafts: sets = "drafting": allowed is a list of texts
        route/notices: target.service = "/notices": allowed is an object
        route/notices: access.open = ["crew"]: allowed is a text
        route/notices: sets = ["a",2]: allowed is a list of texts
        file.json: document 5: kind = "engine": allowed is one of team, key, route, set
        file.json: document 6: kind is missing; allowed is one of team, key, route, set
        file.json: document 7: expected a JSON object
        file.json: document 8 (set): name is missing; allowed is a text"#]],
    );
}

#[test]
fn reports_the_position_of_a_json_syntax_error() {
    let text = "{\"kind\": \"set\", \"name\": \"a\", \"block_bytes\": 8192, \"checks_fencing\": true}\n{\"kind\": ";

    check_parse_errors(
        text,
        &expect!["file.json: document 2: EOF while parsing a value at line 2 column 9"],
    );
}

#[test]
fn errors_hide_a_key_given_in_place_of_its_digest() {
    let text = r#"{"kind":"key","id":"k","team":"t","sha256":["my-secret-key"]}"#;
    let builder = ConfigBuilder::new().team(TeamBuilder::new("t")).key(KeyBuilder::from_digest(
        "k",
        "t",
        "my-secret-key",
    ));

    let parsed = parse_documents("file.json", text).unwrap_err();
    let built = builder.build().unwrap_err();

    assert!(!parsed.to_string().contains("my-secret-key"));
    assert!(!built.to_string().contains("my-secret-key"));
}

fn check_build_errors(builder: ConfigBuilder, expected: &Expect) {
    let errors = builder.build().unwrap_err();

    expected.assert_eq(&errors.to_string());
}

#[test]
fn rejects_values_out_of_range() {
    check_build_errors(
        ConfigBuilder::new()
            .team(TeamBuilder::new("a b").rate_tokens_per_s(0).burst_tokens(0))
            .set(SetBuilder::new("").block_bytes(1))
            .route(RouteBuilder::model("r", "m m", "").max_output_tokens(0))
            .route(RouteBuilder::service("s", "notices/../x?y").set("nowhere").open("nobody"))
            .route(RouteBuilder::service("t", "/v1/models/x").set("nowhere").set("nowhere"))
            .key(KeyBuilder::from_digest("k", "nobody", "AB")),
        &expect![[r#"
            team/a b: name = a b: allowed is 1 to 128 letters, digits, dots, underscores, hyphens
            team/a b: rate_tokens_per_s = 0: allowed is a whole number of tokens from 1 to 1000000000000
            team/a b: burst_tokens = 0: allowed is a whole number of tokens from 1 to 1000000000000
            key/k: team = nobody: allowed is the name of a team in the configuration
            key/k: sha256 = (hidden): allowed is 64 lower-case hex digits
            route/r: target.model.model = m m: allowed is 1 to 128 letters, digits, dots, underscores, hyphens, / or :
            route/r: target.model.version = : allowed is 1 to 128 letters, digits, dots, underscores, hyphens, / or :
            route/r: target.model.max_output_tokens = 0: allowed is a whole number of tokens from 1 to 1000000000000
            route/r: sets = []: allowed is at least one set
            route/s: target.service.path_prefix = notices/../x?y: allowed is / or segments of letters, digits, . _ ~ - that begin with / each
            route/s: access.open = nobody: allowed is the name of a team in the configuration
            route/s: sets = nowhere: allowed is the name of a set in the configuration
            route/t: target.service.path_prefix = /v1/models/x: allowed is a path outside /v1/chat/completions, /v1/completions, /v1/models
            route/t: target.service.cost_tokens = 100: allowed is at most the burst of every team that may use the route; team/a b has 0
            route/t: sets = nowhere: allowed is the name of a set in the configuration
            route/t: sets = nowhere: allowed is the name of a set in the configuration
            route/t: sets = nowhere: allowed is each set once
            set/: name = : allowed is 1 to 128 letters, digits, dots, underscores, hyphens
            set/: block_bytes = 1: allowed is a whole number of bytes from 64 to 1048576"#]],
    );
}

#[test]
fn rejects_repeated_names_and_keys() {
    check_build_errors(
        small_config()
            .team(TeamBuilder::new("desk"))
            .team(TeamBuilder::new("desk"))
            .key(KeyBuilder::from_text("desk-2", "desk", "an-example-of-a-key")),
        &expect![[r#"
            team/desk is there more than once; allowed is one document for each object
            key/desk-2: sha256 = (hidden): allowed is another key than that of key/desk-1"#]],
    );
}

#[test]
fn rejects_routes_that_match_the_same_request() {
    check_build_errors(
        small_config()
            .route(RouteBuilder::model("again", "ledger", "3").team("desk").set("drafting"))
            .route(RouteBuilder::model("others", "ledger", "3").team("crew").set("drafting"))
            .route(RouteBuilder::service("same", "/notices").team("desk").set("filing")),
        &expect![[r#"
            route/again: target.model.model = ledger: allowed is one that route/drafts does not serve for the same team already
            route/same: target.service.path_prefix = /notices: allowed is one that route/notices does not serve for the same team already"#]],
    );
}

#[test]
fn rejects_a_set_with_two_models_or_versions() {
    check_build_errors(
        small_config()
            .route(RouteBuilder::model("newer", "ledger-2", "4").team("desk").set("drafting"))
            .route(RouteBuilder::service("odd", "/odd").set("drafting")),
        &expect![[r#"
            route/newer: sets = drafting: allowed is a set without another model or version than in route/drafts
            route/odd: sets = drafting: allowed is a set without another model or version than in route/drafts"#]],
    );
}

#[test]
fn rejects_a_call_cost_above_the_burst_of_a_team() {
    check_build_errors(
        small_config().route(RouteBuilder::service("dear", "/dear").cost_tokens(701).set("filing")),
        &expect![
            "route/dear: target.service.cost_tokens = 701: allowed is at most the burst of every team that may use the route; team/crew has 700"
        ],
    );
}
