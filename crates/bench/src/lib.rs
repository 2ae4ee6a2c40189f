//! Load generation, replay and reports.
