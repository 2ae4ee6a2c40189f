//! Draws how the load of a role grows with the number of machines, from a sweep's printed table.

use std::{
    error::Error,
    io::{self, Read},
    path::PathBuf,
};

use clap::Parser;
use samphirespread_bench::growth::Growth;

/// Reads what a sweep printed from standard input, and draws one role's rows as SVG.
#[derive(Debug, Parser)]
struct Arguments {
    /// The role, as the table's lines begin.
    role: String,
    /// The file to write.
    file: PathBuf,
}

fn main() -> Result<(), Box<dyn Error>> {
    let arguments = Arguments::parse();
    let mut text = String::new();
    io::stdin().read_to_string(&mut text)?;
    Growth::parse(&text)?.draw(&arguments.file, &arguments.role)?;
    Ok(())
}
