//! Runs admitted requests: executes the actions of each request's state machine.

mod choose;
mod exchange;
mod piece;
mod runner;

pub(crate) use self::{
    piece::{Ending, Piece, Receiver},
    runner::{Job, JobWork, ModelJob, start, tokens_of},
};
