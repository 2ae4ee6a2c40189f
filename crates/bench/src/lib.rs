//! Load generation, replay and reports.

pub mod growth;
pub mod load;
pub mod replay;
pub mod slopes;
