//! The backend servers of each route, and the choice among them.

mod lookup;
mod placer;

pub(crate) use self::{
    lookup::{LookupPace, look_up},
    placer::{Candidate, Placer, PromptRef, Report, RouteCount},
};
