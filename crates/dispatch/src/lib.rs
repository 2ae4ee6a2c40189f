//! Life cycle of a request and its attempts.
