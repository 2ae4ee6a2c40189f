//! The router: caller API, admission, placement and relay.
