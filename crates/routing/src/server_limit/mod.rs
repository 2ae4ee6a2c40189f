//! Limits that backend servers in need set on the requests of all routers together.
//!
//! A server in need names in its answers the requests per second that it takes from all routers.
//! For each server, a few routers hold equal shares of that rate and no other router sends to it.
//! All routers compute the same holders from the list of routers: those in the server's failure
//! domain first, then by rendezvous hashing. A holder fills a token bucket at its share. Thus
//! nothing is agreed on per request, and the sum over all routers is bounded whether or not they
//! hear each other:
//!
//! * Shares begin empty: a router that has just started, or has just learned of the limit, sends
//!   nothing at first.
//! * While two routers know different lists, holders by one list may send besides those by the
//!   other list. That is at most twice the rate, until the lists are equal.
//! * A share of a router that is dead goes unused until the router is off the list.
//!
//! Routers tell each other of limits, so that most learn of a limit before they send anything. One
//! that is cut off learns it from its own first answer.
//!
//! ```
//! use samphirespread_core::prelude::*;
//! use samphirespread_routing::server_limit::{
//!     Holder, LimitedServer, RequestRate, ServerLimits, ServerRun,
//! };
//!
//! let own = Holder { name: InstanceName::new("r1"), failure_domain: "north".into() };
//! let mut limits = ServerLimits::new(own);
//! limits.set_routers(Vec::new(), MonoTime::ZERO);
//! let run = ServerRun::of("i-1", None);
//! let server = LimitedServer { run, failure_domain: "north" };
//! let answered = MonoTime::from_ms(1_000);
//! limits.observe(server, RequestRate::from_per_s(2.0), MonoTime::from_ms(900), answered);
//!
//! assert!(!limits.has_room(run, answered));
//! let later = answered.plus_ms(500);
//! assert!(limits.has_room(run, later));
//! limits.charge(run, later);
//! assert!(!limits.has_room(run, later));
//! ```
//!
//! Memory: one entry for each server that limits requests. A change of the list of routers takes
//! one hash for each such server and router; all else takes constant time.

mod rate;
mod share;

use std::{cmp::Reverse, collections::HashMap, sync::Arc};

use samphirespread_core::prelude::*;

pub use self::rate::{RequestRate, ServerRun};
use self::share::Share;
use crate::units::count;

/// A limit is forgotten if no answer has confirmed it for this long. It is several times longer
/// than the pause between two requests to a server that takes none.
const LIMIT_LIFETIME_MS: u64 = 30_000;
/// The maximum number of servers about which a router tells the others in one record.
pub const MAX_NEWS: usize = 32;

/// A change of what is known of a server's limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitChange {
    /// The server limits requests to that rate, which was not known.
    Limited(RequestRate),
    /// The server limits requests no longer.
    Unlimited,
}

/// What a router tells the others of a server's limit, from an answer of its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LimitNews {
    /// The server.
    pub server: ServerRun,
    /// The rate to which it limits requests; `None` if it does so no longer.
    pub rate: Option<RequestRate>,
    /// When that was the case.
    pub as_of: MonoTime,
}

/// A backend server, for which the routers that may send to it are determined.
#[derive(Clone, Copy, Debug)]
pub struct LimitedServer<'a> {
    /// The server's run.
    pub run: ServerRun,
    /// Its failure domain.
    pub failure_domain: &'a str,
}

/// A router that may hold a share of a server's limit.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Holder {
    /// The router's name.
    pub name: InstanceName,
    /// Its failure domain.
    pub failure_domain: Arc<str>,
}

/// The limits of all backend servers, and this router's shares of them.
#[derive(Clone, Debug)]
pub struct ServerLimits {
    own: Holder,
    /// All other routers; `None` until the list of routers is known.
    others: Option<Vec<Holder>>,
    known: HashMap<ServerRun, KnownLimit>,
}

#[derive(Clone, Debug)]
struct KnownLimit {
    failure_domain: Arc<str>,
    /// `None` if the server limits requests no longer.
    rate: Option<RequestRate>,
    as_of: MonoTime,
    /// Whether this is from an answer to this router.
    is_first_hand: bool,
    share: Share,
}

impl ServerLimits {
    /// Creates the limits of a router that does not know the other routers yet.
    pub fn new(own: Holder) -> Self {
        Self { own, others: None, known: HashMap::new() }
    }

    /// Sets the other routers, among which the limits are divided.
    pub fn set_routers(&mut self, others: Vec<Holder>, now: MonoTime) {
        if self.others.as_ref() == Some(&others) {
            return;
        }
        self.others = Some(others);
        let servers: Vec<ServerRun> = self.known.keys().copied().collect();
        for server in servers {
            self.update_share(server, now);
        }
    }

    /// Records what an answer says of its server's limit. The request was sent at `sent`, and the
    /// answer was received at `now`. Returns what has changed.
    ///
    /// Answers overtake each other. An answer that names no limit counts only if its request was
    /// sent after the last answer that named one was received.
    pub fn observe(
        &mut self,
        server: LimitedServer<'_>,
        named: Option<RequestRate>,
        sent: MonoTime,
        now: MonoTime,
    ) -> Option<LimitChange> {
        let as_of = if named.is_some() { now } else { sent };
        self.learn(server, named, as_of, true, now)
    }

    /// Records what another router has told. Returns what has changed.
    pub fn apply_news(
        &mut self,
        server: LimitedServer<'_>,
        rate: Option<RequestRate>,
        as_of: MonoTime,
        now: MonoTime,
    ) -> Option<LimitChange> {
        if now.ms_since(as_of) >= LIMIT_LIFETIME_MS {
            return None;
        }
        self.learn(server, rate, as_of.min(now), false, now)
    }

    fn learn(
        &mut self,
        server: LimitedServer<'_>,
        rate: Option<RequestRate>,
        as_of: MonoTime,
        is_first_hand: bool,
        now: MonoTime,
    ) -> Option<LimitChange> {
        let before = match self.known.get_mut(&server.run) {
            Some(known) if as_of <= known.as_of => return None,
            Some(known) => {
                known.as_of = as_of;
                known.is_first_hand = is_first_hand;
                std::mem::replace(&mut known.rate, rate)
            }
            None if rate.is_none() => return None,
            None => {
                self.known.insert(
                    server.run,
                    KnownLimit {
                        failure_domain: server.failure_domain.into(),
                        rate,
                        as_of,
                        is_first_hand,
                        share: Share::empty(now),
                    },
                );
                None
            }
        };
        if before == rate {
            return None;
        }
        self.update_share(server.run, now);
        Some(rate.map_or(LimitChange::Unlimited, LimitChange::Limited))
    }

    fn update_share(&mut self, server: ServerRun, now: MonoTime) {
        let Some(known) = self.known.get(&server) else { return };
        let rate_per_s = known.rate.map_or(0.0, |rate| self.own_rate(server, known, rate));
        if let Some(known) = self.known.get_mut(&server) {
            known.share.set_rate(rate_per_s, now);
        }
    }

    /// This router's part of a server's rate.
    fn own_rate(&self, server: ServerRun, known: &KnownLimit, rate: RequestRate) -> f64 {
        let Some(others) = &self.others else { return 0.0 };
        let per_s = rate.allowed_per_s();
        let holders = holders(per_s, others.len() + 1);
        let rank = |holder: &Holder| {
            let is_far = holder.failure_domain != known.failure_domain;
            let score = rendezvous::score(&server.to_le_bytes(), holder.name.as_str());
            (is_far, Reverse(score), holder.name.clone())
        };
        let own_rank = rank(&self.own);
        let before = others.iter().filter(|other| rank(other) < own_rank).count();
        if before < holders { per_s / count(holders) } else { 0.0 }
    }

    /// The rate to which a server limits the requests of all routers, if it does.
    pub fn rate(&self, server: ServerRun) -> Option<RequestRate> {
        self.known.get(&server)?.rate
    }

    /// Whether this router may send a server a request now.
    pub fn has_room(&self, server: ServerRun, now: MonoTime) -> bool {
        let limited = self.known.get(&server).filter(|known| known.rate.is_some());
        limited.is_none_or(|known| known.share.has_room(now))
    }

    /// Counts a request that is sent to a server. One for which there was no room delays the
    /// following ones.
    pub fn charge(&mut self, server: ServerRun, now: MonoTime) {
        if let Some(known) = self.known.get_mut(&server).filter(|known| known.rate.is_some()) {
            known.share.charge(now);
        }
    }

    /// Returns the time after which a refused caller should return, for one of these servers, in
    /// milliseconds. Returns `None` if none of them limits requests.
    ///
    /// Callers get successive times, so that they do not all return for the same room.
    pub fn return_after_ms(
        &mut self,
        servers: impl IntoIterator<Item = ServerRun>,
        now: MonoTime,
    ) -> Option<u64> {
        let rate_of = |run: ServerRun| self.known.get(&run)?.rate.map(|rate| (run, rate));
        let limited = servers.into_iter().filter_map(rate_of);
        let (server, rate) = limited.min_by_key(|(run, rate)| {
            let share = &self.known[run].share;
            share.next_return(*rate, now)
        })?;
        Some(self.known.get_mut(&server)?.share.promise_return_ms(rate, now))
    }

    /// What answers to this router have shown within that time, the latest first.
    pub fn news(&self, within_ms: u64, now: MonoTime) -> Vec<LimitNews> {
        let own = self.known.iter().filter(|(_, known)| known.is_first_hand);
        let recent = own.filter(|(_, known)| now.ms_since(known.as_of) <= within_ms);
        let mut news: Vec<LimitNews> = recent
            .map(|(server, known)| LimitNews {
                server: *server,
                rate: known.rate,
                as_of: known.as_of,
            })
            .collect();
        news.sort_unstable_by_key(|news| (Reverse(news.as_of), news.server));
        news.truncate(MAX_NEWS);
        news
    }

    /// Forgets what no answer has confirmed for long, also about servers that are gone.
    pub fn expire(&mut self, now: MonoTime) {
        self.known.retain(|_, known| now.ms_since(known.as_of) < LIMIT_LIFETIME_MS);
    }

    /// The number of servers that limit requests.
    pub fn count(&self) -> usize {
        self.known.values().filter(|known| known.rate.is_some()).count()
    }
}

/// The number of routers that share a rate: one for each whole request per second, so that the
/// requests that they have saved up are no more than those of one second.
fn holders(per_s: f64, routers: usize) -> usize {
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "rates are positive and bounded"
    )]
    let whole = per_s.ceil() as usize;
    whole.clamp(1, routers)
}
