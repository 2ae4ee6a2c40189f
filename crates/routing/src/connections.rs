//! Divides the connections that a backend server accepts from all routers together.
//!
//! Each router has an equal share of each server's connections. If a server accepts fewer than one
//! connection per router, some routers have one and the others none; these are different routers
//! for each server. All routers compute the same shares from the list of routers.
//!
//! ```
//! use samphirespread_core::prelude::*;
//! use samphirespread_routing::connections::ConnectionShares;
//!
//! let routers = [InstanceName::new("r1"), InstanceName::new("r2")];
//! let shares = ConnectionShares::new(&routers[0], &routers[1..]);
//!
//! assert_eq!(shares.of_server("i-1", 9), 3);
//! ```
//!
//! One router more is counted than there are, for connections that are in use while the number of
//! routers changes. Running time: constant for each server, and one pass over the routers before.

use samphirespread_core::prelude::*;
use xxhash_rust::xxh3::xxh3_64;

/// One router's place among all routers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionShares {
    /// The number of routers that share, with the one that is counted in addition.
    routers: usize,
    /// How many names of other routers come before the name of this one.
    index: usize,
}

impl ConnectionShares {
    /// Determines the place of the router `own` among the others.
    pub fn new<'a>(own: &InstanceName, others: impl IntoIterator<Item = &'a InstanceName>) -> Self {
        let mut shares = Self { routers: 2, index: 0 };
        for other in others {
            shares.routers += 1;
            shares.index += usize::from(other < own);
        }
        shares
    }

    /// Returns the number of connections that this router may have to a server that accepts
    /// `max_connections` from all routers. No router has fewer than one if all can have one.
    pub fn of_server(self, server_id: &str, max_connections: usize) -> usize {
        let equal = max_connections / self.routers;
        if equal > 0 {
            return equal;
        }
        let routers = self.routers - 1;
        #[expect(clippy::cast_possible_truncation, reason = "any bits of the hash will do")]
        let offset = xxh3_64(server_id.as_bytes()) as usize % routers;
        usize::from((self.index + offset) % routers < max_connections)
    }
}
