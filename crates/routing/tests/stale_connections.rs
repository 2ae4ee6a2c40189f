//! Which idle connections to servers carry requests, while servers drop some of them.
//!
//! Long runs: `SAMPHIRESPREAD_CASES=100000 cargo test --release -p samphirespread-routing --test stale_connections`.

use proptest::prelude::*;
use rand::{Rng, SeedableRng, rngs::SmallRng};
use samphirespread_core::prelude::*;
use samphirespread_routing::stale_connections::{
    IdleUse, MAX_UNPROVEN_IDLE_MS, ServerIdleTimes, ServiceIdleTimes,
};

const SERVERS: usize = 18;
/// The longest time for which a router keeps an idle connection in these tests.
const MAX_IDLE_MS: u64 = 4_000;
/// Time between two requests.
const REQUEST_MS: u64 = 20;

fn at(ms: u64) -> MonoTime {
    MonoTime::from_ms(ms)
}

/// One router and the servers of a service, which it uses one after the other.
struct History {
    rng: SmallRng,
    now_ms: u64,
    service: ServiceIdleTimes,
    servers: Vec<ServerIdleTimes>,
    /// The idle time after which each server drops a connection.
    drop_ms: Vec<Option<u64>>,
}

/// What became of a number of requests.
#[derive(Debug, Default)]
struct Counts {
    sent: u64,
    checks: u64,
    discarded: u64,
    /// Sent on a connection that its server had dropped.
    lost: u64,
}

impl History {
    fn new(seed: u64) -> Self {
        Self {
            rng: SmallRng::seed_from_u64(seed),
            now_ms: 1_000_000,
            service: ServiceIdleTimes::default(),
            servers: vec![ServerIdleTimes::default(); SERVERS],
            drop_ms: vec![None; SERVERS],
        }
    }

    /// Lets half of the servers drop connections from now on.
    fn begin_to_drop(&mut self, drop_ms: u64) {
        for each in &mut self.drop_ms {
            *each = self.rng.random_bool(0.5).then_some(drop_ms);
        }
    }

    fn requests(&mut self, number: u64) -> Counts {
        let mut counts = Counts::default();
        for _ in 0..number {
            self.now_ms += REQUEST_MS;
            self.request(&mut counts);
        }
        counts
    }

    fn request(&mut self, counts: &mut Counts) {
        let now = at(self.now_ms);
        let index = self.rng.random_range(0..SERVERS);
        let idle_ms = self.rng.random_range(0..MAX_IDLE_MS);
        let is_dropped = self.drop_ms[index].is_some_and(|drop_ms| idle_ms >= drop_ms);
        let server = &mut self.servers[index];
        let idle_use = self.service.idle_use(server, idle_ms, now);
        match idle_use {
            IdleUse::Discard => {
                counts.discarded += 1;
                return;
            }
            IdleUse::Check => counts.checks += 1,
            IdleUse::Send => counts.lost += u64::from(is_dropped),
        }
        if is_dropped {
            self.service.record_dropped(server, idle_ms, now);
        } else {
            counts.sent += 1;
            self.service.record_survived(server, idle_ms, now);
        }
    }
}

/// Guards against a request that meets a dropped connection right after a router's start.
#[test]
fn a_connection_is_used_only_after_another_was_seen_to_survive_as_long() {
    let mut service = ServiceIdleTimes::default();
    let mut server = ServerIdleTimes::default();

    assert_eq!(service.idle_use(&server, MAX_UNPROVEN_IDLE_MS, at(0)), IdleUse::Send);
    assert_eq!(service.idle_use(&server, MAX_UNPROVEN_IDLE_MS + 1, at(0)), IdleUse::Check);

    service.record_survived(&mut server, 1_000, at(1));
    assert_eq!(service.idle_use(&server, 1_000, at(1)), IdleUse::Send);
    assert_eq!(service.idle_use(&server, 1_001, at(1)), IdleUse::Check);
}

/// Guards against a burst after a silent hour that meets only dropped connections.
#[test]
fn what_was_seen_long_ago_proves_nothing() {
    let mut service = ServiceIdleTimes::default();
    let mut server = ServerIdleTimes::default();
    service.record_survived(&mut server, 2_000, at(0));

    assert_eq!(service.idle_use(&server, 1_500, at(29_000)), IdleUse::Send);
    assert_eq!(service.idle_use(&server, 1_500, at(61_000)), IdleUse::Check);
}

/// Guards against a server that is asked over and over on connections that it has dropped.
#[test]
fn connections_idle_for_as_long_as_a_dropped_one_are_closed_and_later_checked() {
    let mut service = ServiceIdleTimes::default();
    let mut server = ServerIdleTimes::default();
    service.record_dropped(&mut server, 1_000, at(0));

    assert_eq!(service.idle_use(&server, 1_000, at(29_000)), IdleUse::Discard);
    assert_eq!(service.idle_use(&server, 900, at(29_000)), IdleUse::Check);
    assert_eq!(service.idle_use(&server, 1_000, at(31_000)), IdleUse::Check);
    // It still drops them an hour later, although others of the service don't.
    assert_eq!(service.idle_use(&server, 1_000, at(3_600_000)), IdleUse::Check);
}

/// Guards against servers that are distrusted for good after one drop.
#[test]
fn a_server_that_keeps_its_connections_again_is_trusted_again() {
    let mut service = ServiceIdleTimes::default();
    let mut server = ServerIdleTimes::default();
    service.record_dropped(&mut server, 1_000, at(0));
    service.record_survived(&mut server, 2_000, at(31_000));

    assert_eq!(service.idle_use(&server, 1_900, at(32_000)), IdleUse::Send);
}

/// Guards against checks that a day without dropped connections pays for: fewer than one in a hundred
/// requests after the first minute.
#[test]
fn checks_are_rare_while_no_connection_is_dropped() {
    let mut history = History::new(1);
    history.requests(3_000);

    let counts = history.requests(30_000);

    assert_eq!((counts.lost, counts.discarded), (0, 0));
    assert!(counts.checks * 100 < counts.sent, "{counts:?}");
}

proptest! {
    /// Guards against request after request that meets a dropped connection: the first one that does is
    /// the last one, however many servers drop them, and for as long as they do.
    #[test]
    fn one_request_at_most_meets_a_dropped_connection(seed: u64, drop_ms in 150_u64..3_900) {
        let mut history = History::new(seed);
        history.requests(3_000);
        history.begin_to_drop(drop_ms);

        // Eight minutes.
        let counts = history.requests(24_000);

        prop_assert!(counts.lost <= 1, "{counts:?}");
        prop_assert!(counts.sent > 0);
    }

    /// Guards against one request for each server where the time after which servers drop connections
    /// changes while it is known that some do.
    #[test]
    fn each_change_costs_one_request_at_most(
        seed: u64,
        drops_ms in prop::collection::vec(150_u64..3_900, 1..6),
        pause_requests in 50_u64..4_000,
    ) {
        let mut history = History::new(seed);
        history.requests(3_000);
        let mut lost = 0;

        for drop_ms in &drops_ms {
            history.begin_to_drop(*drop_ms);
            lost += history.requests(pause_requests).lost;
        }

        prop_assert!(lost <= drops_ms.len() as u64, "{lost} by {drops_ms:?}");
    }

    /// Guards against a request that meets a dropped connection although its server has always dropped
    /// them.
    #[test]
    fn none_meets_a_dropped_connection_if_servers_drop_them_from_the_start(
        seed: u64,
        drop_ms in 150_u64..3_900,
    ) {
        let mut history = History::new(seed);
        history.drop_ms = vec![Some(drop_ms); SERVERS];

        let counts = history.requests(24_000);

        prop_assert_eq!(counts.lost, 0);
    }
}
