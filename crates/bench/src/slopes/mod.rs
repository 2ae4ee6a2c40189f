//! Measures how state, bytes and processor time grow with the size of a fleet.
//!
//! Each measurement is taken at three sizes at least. Memory is the growth of the resident set of
//! this process, processor time is that of its main thread, and bytes are counted on a loopback
//! connection.

mod config;
mod memory;
mod process;
mod wire;

use std::io;

use displaydoc::Display;

pub use self::{
    config::{config_rows, live_list_rows},
    memory::memory_rows,
    wire::wire_rows,
};

/// One measured value.
#[derive(Clone, Debug, PartialEq)]
pub struct Measured {
    /// What was measured, with its unit.
    pub what: &'static str,
    /// The size that was varied.
    pub size: usize,
    /// The value.
    pub value: f64,
}

impl Measured {
    fn new(what: &'static str, size: usize, value: f64) -> Self {
        Self { what, size, value }
    }
}

/// Why a measurement failed.
#[derive(Debug, Display)]
#[non_exhaustive]
pub enum SlopeError {
    /// the process can't read its own figures: {0}
    Process(io::Error),
    /// the loopback connection failed: {0}
    Connection(String),
    /// a generated document is invalid: {0}
    Document(String),
}

impl std::error::Error for SlopeError {}
