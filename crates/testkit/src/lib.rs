//! Starts the real daemons as processes beside stand-ins, for tests.
