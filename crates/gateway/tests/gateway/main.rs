//! Tests of a real gateway on loopback in front of stand-ins.

mod departures;
mod explained;
mod fleet;
mod moves;
mod orders;
mod serving;
mod store;
mod support;
