//! Tests of a real gateway on loopback in front of stand-ins.

mod serving;
mod store;
mod support;
