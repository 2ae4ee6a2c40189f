//! Prints the configuration of one of two deployments, as an operator's program would.
//!
//! ```text
//! cargo run -p samphirespread-config --example deployments -- omaruru > omaruru.json
//! samphirespread check omaruru.json
//! samphirespread apply omaruru.json --platform 10.0.0.10:7000
//! ```

use std::{env, process::ExitCode};

use samphirespread_config::{
    Config, ConfigBuilder, ConfigErrors, KeyBuilder, RouteBuilder, SetBuilder, TeamBuilder,
};

/// SHA-256 digests of keys that were generated with `samphirespread key new`.
const KEY_DIGESTS: [&str; 5] = [
    "3f1c0d8f2a9be9cf1c1d3c7b4f7c0e12a5d6e7f80112233445566778899aabbc",
    "5b2d9c417e08a6f33c5b7f1de2904c6a8b1f02d3e4f5061728394a5b6c7d8e9f",
    "7c3eab529f19b7044d6c802ef3a15d7b9c2013e4f5061728394a5b6c7d8e9fa0",
    "9d4fbc63a02ac8155e7d913f04b26e8cad3124f5061728394a5b6c7d8e9fa0b1",
    "ae50cd74b13bd9266f8ea24015c37f9dbe4235061728394a5b6c7d8e9fa0b1c2",
];

fn main() -> ExitCode {
    let name = env::args().nth(1).unwrap_or_default();
    let config = match name.as_str() {
        "omaruru" => omaruru(),
        "matosinhos" => matosinhos(),
        _ => return print_error("usage: deployments omaruru|matosinhos"),
    };
    match config {
        Ok(config) => {
            print_config(&config);
            ExitCode::SUCCESS
        }
        Err(errors) => print_error(&errors.to_string()),
    }
}

/// Builds a deployment where clerks draft letters from old ledgers while inspectors and
/// dispatchers wait at the roadside.
fn omaruru() -> Result<Config, ConfigErrors> {
    ConfigBuilder::new()
        .team(TeamBuilder::new("registry").rate_tokens_per_s(60_000).burst_tokens(900_000))
        .team(TeamBuilder::new("inspectors").rate_tokens_per_s(40_000).burst_tokens(600_000))
        .team(TeamBuilder::new("dispatch").rate_tokens_per_s(10_000).burst_tokens(200_000))
        .team(TeamBuilder::new("notices").rate_tokens_per_s(8_000).burst_tokens(120_000))
        .team(TeamBuilder::new("landowners").rate_tokens_per_s(2_000).burst_tokens(40_000))
        .key(KeyBuilder::from_digest("registry-1", "registry", KEY_DIGESTS[0]))
        .key(KeyBuilder::from_digest("inspectors-1", "inspectors", KEY_DIGESTS[1]))
        .key(KeyBuilder::from_digest("dispatch-1", "dispatch", KEY_DIGESTS[2]))
        .key(KeyBuilder::from_digest("notices-1", "notices", KEY_DIGESTS[3]))
        .set(SetBuilder::new("drafting").block_bytes(8_192).checks_fencing(true))
        .set(SetBuilder::new("notice-desk").checks_fencing(false))
        .route(
            RouteBuilder::model("letters", "ledger-letters", "2026-11")
                .team("registry")
                .team("notices")
                .priority(100)
                .max_output_tokens(2_048)
                .set("drafting"),
        )
        .route(
            RouteBuilder::model("verdicts", "ledger-letters", "2026-11")
                .team("inspectors")
                .team("dispatch")
                .priority(10)
                .max_output_tokens(256)
                .set("drafting"),
        )
        .route(
            RouteBuilder::service("send-notice", "/notices")
                .team("notices")
                .idempotent(false)
                .cost_tokens(500)
                .set("notice-desk"),
        )
        .route(
            RouteBuilder::service("cleared-stretches", "/stretches")
                .open("landowners")
                .idempotent(true)
                .priority(10)
                .cost_tokens(50)
                .set("notice-desk"),
        )
        .build()
}

/// Builds a deployment where firms classify receipts and draft narratives. A filing must not be
/// sent twice, so its route is not idempotent.
fn matosinhos() -> Result<Config, ConfigErrors> {
    ConfigBuilder::new()
        .team(TeamBuilder::new("hauliers-north").rate_tokens_per_s(30_000).burst_tokens(450_000))
        .team(TeamBuilder::new("accountants").rate_tokens_per_s(30_000).burst_tokens(450_000))
        .team(TeamBuilder::new("representatives").rate_tokens_per_s(12_000).burst_tokens(240_000))
        .team(TeamBuilder::new("tolls").rate_tokens_per_s(6_000).burst_tokens(120_000))
        .team(TeamBuilder::new("ferries").rate_tokens_per_s(6_000).burst_tokens(120_000))
        .key(KeyBuilder::from_digest("hauliers-north-1", "hauliers-north", KEY_DIGESTS[0]))
        .key(KeyBuilder::from_digest("accountants-1", "accountants", KEY_DIGESTS[1]))
        .key(KeyBuilder::from_digest("representatives-1", "representatives", KEY_DIGESTS[2]))
        .key(KeyBuilder::from_digest("tolls-1", "tolls", KEY_DIGESTS[3]))
        .key(KeyBuilder::from_digest("ferries-1", "ferries", KEY_DIGESTS[4]))
        .set(SetBuilder::new("reclaim").block_bytes(8_192).checks_fencing(true))
        .set(SetBuilder::new("filing").checks_fencing(false))
        .route(
            RouteBuilder::model("narratives", "reclaim", "7")
                .priority(50)
                .max_output_tokens(1_024)
                .set("reclaim"),
        )
        .route(
            RouteBuilder::service("submissions", "/submissions")
                .idempotent(false)
                .cost_tokens(1_000)
                .set("filing"),
        )
        .route(
            RouteBuilder::service("deadlines", "/deadlines")
                .idempotent(true)
                .priority(10)
                .cost_tokens(20)
                .set("filing"),
        )
        .build()
}

#[expect(clippy::print_stdout, reason = "printing is the purpose of the program")]
fn print_config(config: &Config) {
    print!("{}", config.to_text());
}

#[expect(clippy::print_stderr, reason = "the program has no other place for errors")]
fn print_error(message: &str) -> ExitCode {
    eprintln!("{message}");
    ExitCode::FAILURE
}
