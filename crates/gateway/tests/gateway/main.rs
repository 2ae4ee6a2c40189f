//! Tests of a real gateway on loopback in front of stand-ins.

mod fleet;
mod serving;
mod store;
mod support;
