//! Prints how state, bytes and processor time grow with the size of a fleet.

#![expect(clippy::print_stdout, reason = "the table is the output of this command")]

use samphirespread_bench::slopes::{
    Measured, SlopeError, config_rows, live_list_rows, memory_rows, wire_rows,
};

fn main() -> Result<(), SlopeError> {
    println!("| measured | size | value | value / size |");
    println!("| --- | --- | --- | --- |");
    print(&memory_rows()?);
    print(&config_rows()?);
    print(&live_list_rows()?);
    print(&wire_rows()?);
    Ok(())
}

fn print(rows: &[Measured]) {
    for row in rows {
        let slope = row.value / row.size.max(1) as f64;
        println!("| {} | {} | {:.1} | {slope:.2} |", row.what, row.size, row.value);
    }
}
