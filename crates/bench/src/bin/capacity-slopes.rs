//! Prints how state, bytes and processor time grow with the size of a fleet.

#![expect(clippy::print_stdout, reason = "the table is the output of this command")]

use clap::{Parser, ValueEnum};
use samphirespread_bench::slopes::{
    SlopeError, config_rows, live_list_rows, memory_rows, wire_rows,
};

/// Measures one group of slopes. Memory that one group frees would hide the growth of the next.
#[derive(Debug, Parser)]
struct Arguments {
    /// What to measure.
    group: Group,
}

#[derive(Clone, Copy, Debug, ValueEnum)]
enum Group {
    /// Tables of routers and agents.
    Memory,
    /// Configuration.
    Config,
    /// The live list.
    LiveList,
    /// Messages and connections.
    Wire,
}

fn main() -> Result<(), SlopeError> {
    let rows = match Arguments::parse().group {
        Group::Memory => memory_rows()?,
        Group::Config => config_rows()?,
        Group::LiveList => live_list_rows()?,
        Group::Wire => wire_rows()?,
    };
    println!("| measured | size | value | value / size |");
    println!("| --- | --- | --- | --- |");
    for row in rows {
        let slope = row.value / row.size.max(1) as f64;
        println!("| {} | {} | {:.1} | {slope:.2} |", row.what, row.size, row.value);
    }
    Ok(())
}
