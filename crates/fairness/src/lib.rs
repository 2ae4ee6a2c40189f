//! Per-team queue in front of one engine.
