//! The agent beside one backend server.
