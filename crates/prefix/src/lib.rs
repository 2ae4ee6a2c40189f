//! Prefix blocks: hashing, residency and placement.
