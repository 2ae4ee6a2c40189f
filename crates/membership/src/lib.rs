//! Live list, peers, incarnations and the contact rule.
