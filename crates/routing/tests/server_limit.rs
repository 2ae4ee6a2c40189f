//! Limits that backend servers name for all routers together: what each statement means, and random
//! histories of whole fleets with an independent count of what reaches each server.
//!
//! Longer runs, with fleets of up to 60 routers:
//!
//!     SAMPHIRESPREAD_CASES=50 cargo test --release -p samphirespread-routing --test server_limit

use std::collections::{HashMap, VecDeque};

use rand::{Rng, SeedableRng, rngs::SmallRng};
use samphirespread_core::prelude::*;
use samphirespread_routing::server_limit::{
    Holder, LimitChange, LimitNews, LimitedServer, RequestRate, ServerLimits, ServerRun,
};

const DOMAINS: [&str; 3] = ["north", "south", "west"];

fn holder(index: usize) -> Holder {
    let failure_domain = DOMAINS[index % DOMAINS.len()].into();
    Holder { name: InstanceName::new(format!("r{index}")), failure_domain }
}

fn rate(per_s: f64) -> Option<RequestRate> {
    RequestRate::from_per_s(per_s)
}

fn server(index: usize) -> LimitedServer<'static> {
    let run = ServerRun::of(&format!("i-{index}"), Some(1));
    LimitedServer { run, failure_domain: DOMAINS[index % DOMAINS.len()] }
}

fn at(ms: u64) -> MonoTime {
    MonoTime::from_ms(ms)
}

/// The limits of a router that is one of `routers`.
fn limits(index: usize, routers: usize, now: MonoTime) -> ServerLimits {
    let mut limits = ServerLimits::new(holder(index));
    limits.set_routers(others(index, routers), now);
    limits
}

fn others(index: usize, routers: usize) -> Vec<Holder> {
    (0..routers).filter(|other| *other != index).map(holder).collect()
}

/// Sends as often as there is room, and returns how often that was.
fn send_all(limits: &mut ServerLimits, run: ServerRun, ms: std::ops::Range<u64>) -> usize {
    let mut sent = 0;
    for now in ms.map(at) {
        if limits.has_room(run, now) {
            limits.charge(run, now);
            sent += 1;
        }
    }
    sent
}

#[test]
fn a_server_without_a_limit_gets_everything() {
    let mut limits = limits(0, 1, at(0));
    let run = server(0).run;

    assert_eq!(limits.observe(server(0), None, at(10), at(20)), None);
    assert_eq!(send_all(&mut limits, run, 0..1_000), 1_000);
    assert_eq!(limits.count(), 0);
}

#[test]
fn a_share_begins_empty_and_follows_the_rate() {
    let mut limits = limits(0, 1, at(0));
    let run = server(0).run;

    let change = limits.observe(server(0), rate(2.5), at(0), at(100));

    assert_eq!(change, Some(LimitChange::Limited(rate(2.5).unwrap())));
    assert!(!limits.has_room(run, at(100)));
    assert_eq!(send_all(&mut limits, run, 100..10_101), 25);
}

#[test]
fn a_router_saves_up_no_more_than_one_second() {
    let mut limits = limits(0, 1, at(0));
    let run = server(0).run;
    limits.observe(server(0), rate(3.0), at(0), at(0));

    assert_eq!(send_all(&mut limits, run, 20_000..20_001), 1, "one at this instant");
    let mut at_once = 1;
    while limits.has_room(run, at(20_000)) {
        limits.charge(run, at(20_000));
        at_once += 1;
    }
    assert_eq!(at_once, 3);
}

#[test]
fn a_server_that_takes_nothing_gets_a_request_now_and_then_to_learn_of_the_end() {
    let mut limits = limits(0, 1, at(0));
    limits.observe(server(0), rate(0.0), at(0), at(0));

    assert_eq!(send_all(&mut limits, server(0).run, 0..20_001), 4);
}

#[test]
fn a_huge_limit_does_not_bind() {
    for per_s in [1e300, f64::INFINITY, f64::MAX] {
        let mut limits = limits(0, 100, at(0));
        limits.observe(server(0), rate(per_s), at(0), at(0));

        assert_eq!(send_all(&mut limits, server(0).run, 1..1_001), 1_000);
    }
    assert_eq!(rate(f64::NAN), None);
    assert_eq!(rate(-1.0), None);
    assert_eq!(rate(f64::NEG_INFINITY), None);
}

#[test]
fn a_limit_ends_with_an_answer_to_a_request_sent_after_the_last_one_that_named_it() {
    let mut limits = limits(0, 1, at(0));
    let run = server(0).run;
    limits.observe(server(0), rate(1.0), at(0), at(100));

    assert_eq!(limits.observe(server(0), None, at(90), at(200)), None, "it was overtaken");
    assert_eq!(limits.rate(run), rate(1.0));
    assert_eq!(limits.observe(server(0), None, at(101), at(210)), Some(LimitChange::Unlimited));
    assert_eq!(limits.rate(run), None);
    assert_eq!(send_all(&mut limits, run, 210..310), 100);
}

#[test]
fn a_new_run_of_a_server_has_no_limit() {
    let mut limits = limits(0, 1, at(0));
    limits.observe(server(0), rate(1.0), at(0), at(100));

    assert_eq!(limits.rate(ServerRun::of("i-0", Some(2))), None);
    assert_eq!(limits.rate(server(0).run), rate(1.0));
}

#[test]
fn news_that_are_older_than_what_is_known_change_nothing() {
    let mut limits = limits(0, 1, at(0));
    limits.observe(server(0), rate(1.0), at(0), at(100));

    assert_eq!(limits.apply_news(server(0), None, at(90), at(300)), None);
    assert_eq!(limits.apply_news(server(0), rate(9.0), at(99), at(300)), None);
    let lifted = limits.apply_news(server(0), None, at(150), at(310));
    assert_eq!(lifted, Some(LimitChange::Unlimited));
    assert_eq!(limits.apply_news(server(0), rate(1.0), at(140), at(320)), None);
    let named_again = limits.apply_news(server(0), rate(2.0), at(160), at(330));
    assert_eq!(named_again, Some(LimitChange::Limited(rate(2.0).unwrap())));
}

#[test]
fn only_answers_to_this_router_are_told_on() {
    let mut limits = limits(0, 2, at(0));
    limits.observe(server(0), rate(1.0), at(0), at(100));
    limits.apply_news(server(1), rate(1.0), at(100), at(200));

    let news = limits.news(400, at(300));

    let own = LimitNews { server: server(0).run, rate: rate(1.0), as_of: at(100) };
    assert_eq!(news, [own]);
    assert_eq!(limits.news(100, at(300)), []);
}

#[test]
fn a_limit_that_nobody_confirms_is_forgotten() {
    let mut limits = limits(0, 1, at(0));
    limits.observe(server(0), rate(0.0), at(0), at(100));

    limits.expire(at(20_000));
    assert_eq!(limits.count(), 1);
    limits.expire(at(30_100));
    assert_eq!(limits.count(), 0);
    assert_eq!(limits.apply_news(server(0), rate(1.0), at(100), at(30_200)), None);
}

/// What a router that starts may send isn't known before the list of routers is.
#[test]
fn a_router_that_does_not_know_the_others_sends_nothing_to_a_limited_server() {
    let mut limits = ServerLimits::new(holder(0));
    limits.observe(server(0), rate(100.0), at(0), at(0));

    assert!(!limits.has_room(server(0).run, at(60_000)));
    limits.set_routers(others(0, 2), at(60_000));
    assert!(!limits.has_room(server(0).run, at(60_000)), "the share begins empty");
    assert!(limits.has_room(server(0).run, at(60_100)));
}

#[test]
fn the_shares_of_all_routers_add_up_to_the_limit() {
    for routers in [1, 2, 5, 23, 103] {
        for per_s in [0.3, 1.0, 2.7, 10.0, 64.0, 500.0] {
            let mut sent = 0;
            for index in 0..routers {
                let mut limits = limits(index, routers, at(0));
                limits.observe(server(1), rate(per_s), at(0), at(0));
                sent += send_all(&mut limits, server(1).run, 0..10_001);
            }
            let allowed = per_s * 10.0;
            #[expect(clippy::cast_precision_loss, reason = "there are few requests")]
            let sent = sent as f64;
            assert!(sent <= allowed + 1e-6, "{sent} of {allowed}, {routers} routers");
            assert!(sent >= 0.9 * allowed - 1.0, "{sent} of {allowed}, {routers} routers");
        }
    }
}

#[test]
fn routers_in_the_servers_failure_domain_hold_shares_first() {
    let holds = |index: usize, server_index: usize| {
        let mut limits = limits(index, 12, at(0));
        limits.observe(server(server_index), rate(4.0), at(0), at(0));
        limits.has_room(server(server_index).run, at(2_000))
    };

    for server_index in 0..6 {
        let holders: Vec<usize> = (0..12).filter(|index| holds(*index, server_index)).collect();

        assert_eq!(holders.len(), 4);
        let is_near = |index: &usize| index % DOMAINS.len() == server_index % DOMAINS.len();
        assert!(holders.iter().all(is_near), "{server_index}: {holders:?}");
    }
}

#[test]
fn a_share_that_is_lost_and_regained_begins_empty() {
    let mut limits = limits(0, 1, at(0));
    let run = server(1).run;
    limits.observe(server(1), rate(1.0), at(0), at(0));
    assert!(limits.has_room(run, at(5_000)));

    limits.set_routers(vec![holder(1)], at(5_000));
    assert!(!limits.has_room(run, at(9_000)), "the near router holds the limit");
    limits.set_routers(Vec::new(), at(9_000));
    assert!(!limits.has_room(run, at(9_000)));
    assert!(limits.has_room(run, at(10_000)));
}

#[test]
fn a_request_that_had_to_be_sent_delays_the_following_ones() {
    let mut limits = limits(0, 1, at(0));
    let run = server(0).run;
    limits.observe(server(0), rate(1.0), at(0), at(0));

    limits.charge(run, at(0));

    assert!(!limits.has_room(run, at(1_999)));
    assert!(limits.has_room(run, at(2_000)));
}

#[test]
fn refused_callers_return_one_after_the_other() {
    let mut limits = limits(0, 1, at(0));
    limits.observe(server(0), rate(2.0), at(0), at(0));
    let runs = [server(0).run, server(1).run];

    let returns: Vec<_> = (0..5).map(|_| limits.return_after_ms(runs, at(0))).collect();

    let expected = [500, 1_000, 1_500, 2_000, 2_000].map(Some);
    assert_eq!(returns, expected);
    assert_eq!(limits.return_after_ms([server(1).run], at(0)), None, "it names no limit");
}

/// A router without a share tells when there is room somewhere: callers reach other routers.
#[test]
fn a_router_without_a_share_names_a_time_too() {
    let mut limits = limits(0, 4, at(0));
    limits.observe(server(1), rate(0.8), at(0), at(0));

    assert_eq!(limits.return_after_ms([server(1).run], at(0)), Some(1_250));
}

const STEP_MS: u64 = 5;
const REPORT_INTERVAL_MS: u64 = 100;
const RECENT_MS: u64 = 400;
const REPORTS_PER_FULL_REPORT: u64 = 10;
/// The time from the first answer that names a limit until it binds.
const CONTACT_MS: u64 = 3_000;
/// A router is bound this long after it received an answer that names the limit.
const TOLD_MS: u64 = 500;
const WINDOW_MS: u64 = 4_000;

struct Answer {
    due_ms: u64,
    sent_ms: u64,
    server: usize,
    named: Option<RequestRate>,
}

struct Router {
    limits: ServerLimits,
    answers: Vec<Answer>,
    news: VecDeque<(u64, Vec<LimitNews>)>,
    list_due_ms: Option<u64>,
    frozen_until_ms: u64,
    cut_until_ms: u64,
    /// When this run received its first answer of a server that named a limit.
    told_ms: HashMap<usize, u64>,
    /// Until then the bound does not count this router, after a restart, a freeze or a cut.
    excused_until_ms: u64,
}

struct Server {
    run: ServerRun,
    limit: Option<f64>,
    first_named_ms: Option<u64>,
    /// Arrivals that the bound counts.
    arrivals: VecDeque<u64>,
    /// The highest limit within a window.
    limits: VecDeque<(u64, f64)>,
}

/// Routers that come, go, restart, freeze and are cut off from each other, before servers of which
/// many are in need at the same time.
struct Fleet {
    random: SmallRng,
    routers: Vec<Option<Router>>,
    servers: Vec<Server>,
    runs: HashMap<ServerRun, LimitedServer<'static>>,
    now_ms: u64,
    /// The largest part of what was allowed that a server got.
    most: f64,
}

impl Fleet {
    fn new(seed: u64, routers: usize, servers: usize) -> Self {
        let new_server = |index| Server {
            run: server(index).run,
            limit: None,
            first_named_ms: None,
            arrivals: VecDeque::new(),
            limits: VecDeque::new(),
        };
        let mut fleet = Self {
            random: SmallRng::seed_from_u64(seed),
            routers: (0..routers).map(|_| None).collect(),
            servers: (0..servers).map(new_server).collect(),
            runs: (0..servers).map(|index| (server(index).run, server(index))).collect(),
            now_ms: 1_000,
            most: 0.0,
        };
        for index in 0..routers {
            fleet.start(index);
            fleet.read_list(index);
        }
        fleet
    }

    fn start(&mut self, index: usize) {
        self.routers[index] = Some(Router {
            limits: ServerLimits::new(holder(index)),
            answers: Vec::new(),
            news: VecDeque::new(),
            list_due_ms: None,
            frozen_until_ms: 0,
            cut_until_ms: 0,
            told_ms: HashMap::new(),
            excused_until_ms: self.now_ms + CONTACT_MS,
        });
        self.announce_list();
    }

    /// All routers read the list of routers at some time within the next second.
    fn announce_list(&mut self) {
        for router in self.routers.iter_mut().flatten() {
            let due_ms = self.now_ms + self.random.random_range(50..1_000);
            router.list_due_ms = Some(router.list_due_ms.map_or(due_ms, |due| due.min(due_ms)));
        }
    }

    fn read_list(&mut self, index: usize) {
        let listed: Vec<Holder> = (0..self.routers.len())
            .filter(|other| *other != index && self.routers[*other].is_some())
            .map(holder)
            .collect();
        if let Some(router) = &mut self.routers[index] {
            router.list_due_ms = None;
            router.limits.set_routers(listed, at(self.now_ms));
        }
    }

    fn step(&mut self, requests_per_s: f64) {
        self.now_ms += STEP_MS;
        for index in 0..self.routers.len() {
            let Some(router) = &self.routers[index] else { continue };
            if router.frozen_until_ms > self.now_ms {
                continue;
            }
            if router.list_due_ms.is_some_and(|due| due <= self.now_ms) {
                self.read_list(index);
            }
            self.receive(index);
            self.send(index, requests_per_s);
        }
        if self.now_ms.is_multiple_of(REPORT_INTERVAL_MS) {
            self.report();
        }
        self.check();
    }

    fn receive(&mut self, index: usize) {
        let now_ms = self.now_ms;
        let Some(router) = &mut self.routers[index] else { return };
        let (due, later) =
            std::mem::take(&mut router.answers).into_iter().partition(|a| a.due_ms <= now_ms);
        router.answers = later;
        let due: Vec<Answer> = due;
        for answer in due {
            let (sent, now) = (at(answer.sent_ms), at(now_ms));
            router.limits.observe(server(answer.server), answer.named, sent, now);
            match answer.named {
                Some(_) => {
                    router.told_ms.entry(answer.server).or_insert(now_ms);
                }
                None => {
                    router.told_ms.remove(&answer.server);
                }
            }
        }
        while router.news.front().is_some_and(|(due_ms, _)| *due_ms <= now_ms) {
            let (_, all) = router.news.pop_front().unwrap();
            for news in all {
                let known = self.runs[&news.server];
                router.limits.apply_news(known, news.rate, news.as_of, at(now_ms));
            }
        }
        router.limits.expire(at(now_ms));
    }

    fn send(&mut self, index: usize, requests_per_s: f64) {
        #[expect(clippy::cast_precision_loss, reason = "a step is short")]
        let expected = requests_per_s * STEP_MS as f64 / 1_000.0;
        let mut count = expected.floor();
        count += f64::from(u8::from(self.random.random_bool(expected - count)));
        while count > 0.0 {
            count -= 1.0;
            let to = self.random.random_range(0..self.servers.len());
            let latency_ms = self.random.random_range(5..300);
            let Some(router) = &mut self.routers[index] else { return };
            let (run, now) = (self.servers[to].run, at(self.now_ms));
            if !router.limits.has_room(run, now) {
                continue;
            }
            router.limits.charge(run, now);
            let target = &mut self.servers[to];
            if target.limit.is_some() {
                target.first_named_ms.get_or_insert(self.now_ms);
            }
            let is_told = router.told_ms.get(&to).is_some_and(|told| told + TOLD_MS <= self.now_ms);
            if is_told && router.excused_until_ms <= self.now_ms {
                target.arrivals.push_back(self.now_ms);
            }
            router.answers.push(Answer {
                due_ms: self.now_ms + latency_ms,
                sent_ms: self.now_ms,
                server: to,
                named: target.limit.and_then(rate),
            });
        }
    }

    fn report(&mut self) {
        let is_full = (self.now_ms / REPORT_INTERVAL_MS).is_multiple_of(REPORTS_PER_FULL_REPORT);
        let within_ms = if is_full { u64::MAX } else { RECENT_MS };
        for from in 0..self.routers.len() {
            let Some(router) = &self.routers[from] else { continue };
            if router.frozen_until_ms > self.now_ms || router.cut_until_ms > self.now_ms {
                continue;
            }
            let news = router.limits.news(within_ms, at(self.now_ms));
            for to in 0..self.routers.len() {
                let due_ms = self.now_ms + self.random.random_range(5..300);
                let is_lost = to == from || self.random.random_bool(0.05);
                let Some(router) = &mut self.routers[to] else { continue };
                if !is_lost && router.cut_until_ms <= self.now_ms {
                    router.news.push_back((due_ms, news.clone()));
                }
            }
        }
    }

    fn check(&mut self) {
        for (index, server) in self.servers.iter_mut().enumerate() {
            let limit = server.limit.unwrap_or(f64::INFINITY);
            server.limits.push_back((self.now_ms, limit));
            let start_ms = self.now_ms.saturating_sub(WINDOW_MS);
            while server.limits.front().is_some_and(|(ms, _)| *ms < start_ms) {
                server.limits.pop_front();
            }
            while server.arrivals.front().is_some_and(|ms| *ms <= start_ms) {
                server.arrivals.pop_front();
            }
            let binds = server.first_named_ms.is_some_and(|named| named + CONTACT_MS <= start_ms);
            let highest = server.limits.iter().fold(0.0, |most: f64, (_, limit)| most.max(*limit));
            if !binds || highest.is_infinite() {
                continue;
            }
            #[expect(clippy::cast_precision_loss, reason = "there are few requests")]
            let got = server.arrivals.len() as f64;
            let allowed = 1.5 * highest * 4.0 + 5.0;
            assert!(got <= allowed, "{}: server {index} got {got} of {allowed}", self.now_ms);
            self.most = self.most.max(got / allowed);
        }
    }

    /// Changes the limits of servers, some of them to none, to zero or to a high one.
    fn change_limits(&mut self, share: f64) {
        for index in 0..self.servers.len() {
            if !self.random.random_bool(share) {
                continue;
            }
            let limit = match self.random.random_range(0..10) {
                0..3 => None,
                3 => Some(0.0),
                4 => Some(self.random.random_range(20.0..80.0)),
                _ => Some(self.random.random_range(0.3..6.0)),
            };
            let server = &mut self.servers[index];
            server.limit = limit;
            // A new limit binds the routers as late as the first one.
            server.first_named_ms = None;
        }
    }

    /// Restarts, freezes, cuts off, removes or adds a router.
    fn disturb(&mut self) {
        let index = self.random.random_range(0..self.routers.len());
        let until_ms = self.now_ms + self.random.random_range(500..6_000);
        match (self.random.random_range(0..4), &mut self.routers[index]) {
            (_, None) | (0, _) => self.start(index),
            (1, Some(router)) => {
                router.frozen_until_ms = until_ms;
                router.excused_until_ms = until_ms + CONTACT_MS;
            }
            (2, Some(router)) => {
                router.cut_until_ms = until_ms;
                router.excused_until_ms = until_ms + CONTACT_MS;
            }
            _ => {
                self.routers[index] = None;
                self.announce_list();
            }
        }
    }
}

/// The number of histories, which long runs raise.
fn cases(default: u64) -> u64 {
    let cases = std::env::var("SAMPHIRESPREAD_CASES").ok();
    cases.map_or(default, |cases| cases.parse().expect("SAMPHIRESPREAD_CASES is a number"))
}

/// Engines of a small fleet got several times their limits, as each router sent what it liked.
#[test]
fn no_server_gets_more_than_its_limit_in_random_histories() {
    for seed in 0..cases(2) {
        for (routers, servers, requests_per_s) in [(5, 18, 300.0), (23, 12, 200.0), (60, 30, 60.0)]
        {
            let mut fleet = Fleet::new(seed, routers, servers);
            fleet.change_limits(0.8);
            for step in 0..4_000_u64 {
                fleet.step(requests_per_s);
                if step.is_multiple_of(1_500) && step > 0 {
                    fleet.change_limits(0.3);
                }
                if step % 100 == 99 && fleet.random.random_bool(0.5) {
                    fleet.disturb();
                }
            }
            assert!(fleet.most > 0.2, "{routers} {seed}: no server was near its limit");
        }
    }
}

/// All routers are started anew at the same time, and learn of the limits from their own answers.
#[test]
fn no_server_gets_more_than_its_limit_after_all_routers_have_restarted() {
    for seed in 0..cases(2) {
        let mut fleet = Fleet::new(seed, 12, 6);
        fleet.change_limits(1.0);
        for step in 0..4_500 {
            fleet.step(150.0);
            if step % 1_500 == 1_499 {
                (0..12).for_each(|index| fleet.start(index));
            }
        }
    }
}
