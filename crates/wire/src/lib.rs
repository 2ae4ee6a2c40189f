//! Messages, codec and framed connections between the system's processes.

pub mod message;
