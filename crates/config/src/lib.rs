//! Teams, keys, rates, routes and engine sets: the operators' documents.

pub mod model;
