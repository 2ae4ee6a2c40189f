//! Keeps track of the backend servers of each route and chooses among them.

mod lookup;
mod placer;

pub(crate) use self::{
    lookup::{LookupTimeout, look_up},
    placer::{Candidate, Placer, PromptRef, Report, RouteCount},
};
