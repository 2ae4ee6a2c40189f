//! Starts `samphirespread`, the command-line tool for operators.

use std::process::ExitCode;

fn main() -> ExitCode {
    samphirespread_cli::run(std::env::args_os())
}
