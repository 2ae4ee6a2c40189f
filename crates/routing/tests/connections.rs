//! Shares of the connections that a backend server accepts from all routers together.

use samphirespread_core::prelude::*;
use samphirespread_routing::connections::ConnectionShares;

fn fleet(routers: usize) -> Vec<InstanceName> {
    (0..routers).map(|number| InstanceName::new(format!("front-{number}"))).collect()
}

fn shares(fleet: &[InstanceName], server_id: &str, max_connections: usize) -> Vec<usize> {
    let share = |own| {
        let others = fleet.iter().filter(|other| *other != own);
        ConnectionShares::new(own, others).of_server(server_id, max_connections)
    };
    fleet.iter().map(share).collect()
}

/// With more routers than connections, each router used to keep one connection, so that a server
/// got more than it accepts.
#[test]
fn the_shares_of_all_routers_are_no_more_than_a_server_accepts() {
    for routers in [1, 2, 5, 28, 103, 510] {
        let fleet = fleet(routers);
        for max_connections in [0, 1, 2, 9, 110, 370, 509, 510, 511, 770] {
            for server_id in ["i-1", "i-2", "i-3"] {
                let shares = shares(&fleet, server_id, max_connections);
                let sum: usize = shares.iter().sum();

                assert!(sum <= max_connections, "{sum} of {max_connections} at {routers}");
                if max_connections >= routers {
                    assert!(
                        shares.iter().all(|share| *share > 0),
                        "{max_connections} at {routers}"
                    );
                } else {
                    assert_eq!(sum, max_connections, "none is left unused");
                }
            }
        }
    }
}

#[test]
fn every_router_reaches_some_servers_of_a_large_service() {
    let fleet = fleet(510);
    let mut reached = vec![0; fleet.len()];

    for server in 0..200 {
        let shares = shares(&fleet, &format!("i-{server}"), 100);
        reached.iter_mut().zip(shares).for_each(|(count, share)| *count += share);
    }

    assert!(reached.iter().all(|count| *count >= 15), "{:?}", reached.iter().min());
}
