//! Decides whether a request is sent to the engines of a service or refused at once, by whether it can
//! begin in time.
//!
//! Engines that are sent more than they can read in time answer everybody late: prompts wait, cached
//! parts yield to running requests and are read again, and the queue outlasts its cause. A router can't
//! see that queue as it is now. It therefore compares the times to the first event that callers get with
//! those that it had expected, and takes from that how late the next request would be.
//!
//! ```
//! use samphirespread_core::prelude::*;
//! use samphirespread_routing::admission::{Admission, Decision, Request};
//!
//! let mut admission = Admission::default();
//! let request = Request { route: "ask", priority: 0, target_ms: 400.0, expected_ms: 80.0 };
//! assert_eq!(admission.decide(&request, 0.5, MonoTime::ZERO), Decision::Admit);
//!
//! // The engines begin ten times as late as expected.
//! for number in 0..40 {
//!     let now = MonoTime::from_ms(number * 20);
//!     let ticket = admission.begin(&request, now);
//!     admission.started(ticket, now.plus_ms(800));
//! }
//! let decision = admission.decide(&request, 0.5, MonoTime::from_ms(1_600));
//! assert!(matches!(decision, Decision::Refuse { .. }));
//! ```
//!
//! # Order under shortage
//!
//! Routes are ranked by their priority. As soon as an urgent route comes near its target, less urgent
//! requests are refused in its favour; requests of a route are refused for its own lateness only later.
//! Refusals are drawn by the request's id and grow steadily with the lateness, so routers don't all turn
//! at once.
//!
//! # Costs
//!
//! One entry for each route and priority, and one for each request that waits for its first event.
//!
//! [`control`] puts priority, the teams' shares ([`team_share`]) and retries ([`retries`])
//! together.
//!
//! # Limits
//!
//! Each router measures lateness by its own requests. A router with few of them learns late.

pub mod control;
pub mod retries;
pub mod team_share;
pub mod token_rate;

use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
};

use samphirespread_core::prelude::*;

/// The time over which measured lateness is forgotten. It is about the time in which an overloaded
/// engine's queue changes.
const MEMORY_MS: f64 = 600.0;
/// One measurement has at least this weight, so that about the last ten answers count at high rates.
const MIN_WEIGHT: f64 = 0.1;
/// Without new measurements, the assumed lateness returns to normal over this time, so that requests
/// are admitted again after the last answer has come.
const RETURN_MS: f64 = 400.0;
/// The rate at which requests are taken to begin at least, for routes with few requests.
const MIN_STARTS_PER_MS: f64 = 1.0 / 2_000.0;
/// One measurement counts at most this much, whatever the expected time was.
const MAX_FACTOR: f64 = 100.0;
/// Lateness at which requests of a route begin to be refused, and at which nearly all are. At 1, requests
/// begin just in time; what is sent between a decision and its effect makes the queue longer.
const OWN_RAMP: (f64, f64) = (0.5, 0.9);
/// Lateness of a more urgent route at which less urgent requests begin to be refused, and at which nearly
/// all are.
const URGENT_RAMP: (f64, f64) = (0.25, 0.6);
/// The time in which a request has to begin is taken to be at least this part of its target, also if it
/// is expected to take nearly all of it without any queue.
const MIN_SLACK_PART: f64 = 0.25;
/// Some requests are always admitted, as their times show when the shortage is over.
pub const MAX_REFUSED: f64 = 0.95;
/// The bounds of the mean time after which refused callers should return.
const MEAN_RETRY_AFTER_MS: std::ops::RangeInclusive<f64> = 400.0..=1_300.0;

/// A request to the engines of a service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Request<'a> {
    /// Its route.
    pub route: &'a str,
    /// Its priority; 0 is the highest.
    pub priority: u8,
    /// The target for the time to its first event.
    pub target_ms: f64,
    /// The time to the first event that is expected at the chosen engine.
    pub expected_ms: f64,
}

/// What is done with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// It is sent.
    Admit,
    /// It is refused.
    Refuse {
        /// When its caller should return.
        retry_after_ms: u64,
    },
}

/// Why a request is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// Requests of its route are late.
    Lateness,
    /// Requests of a more urgent route are late.
    UrgentRoute,
    /// Its team asks for more than its share. Without that it would have been sent.
    TeamShare,
}

impl Cause {
    /// The name in metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Lateness => "lateness",
            Self::UrgentRoute => "urgent_route",
            Self::TeamShare => "team_share",
        }
    }
}

/// Which part of the requests of a route and priority has to be refused, and why.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Pressure {
    /// The part, up to [`MAX_REFUSED`].
    pub refused: f64,
    /// Why.
    pub cause: Cause,
    /// By how much the lateness exceeds that at which refusals begin.
    excess_ms: f64,
}

impl Pressure {
    /// When a refused caller should return. `place` is its place among the refused ones, from 0 to 1,
    /// which spreads the returns, also of a long queue.
    pub fn retry_after_ms(&self, place: f64) -> u64 {
        let (least_ms, most_ms) = (*MEAN_RETRY_AFTER_MS.start(), *MEAN_RETRY_AFTER_MS.end());
        let after_ms = (2.0 * self.excess_ms).clamp(least_ms, most_ms) * (0.5 + place);
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "within the bounds"
        )]
        {
            after_ms as u64
        }
    }
}

/// A request that was sent and waits for its first event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ticket {
    class: Class,
    number: u64,
}

/// Requests that are measured together: a route's, of one priority, as a team may have its own.
type Class = (Arc<str>, u8);

/// What a router has measured at the engines of one service.
#[derive(Clone, Debug, Default)]
pub struct Admission {
    classes: HashMap<Class, Delay>,
    next_ticket: u64,
}

#[derive(Clone, Debug)]
struct Delay {
    target_ms: f64,
    /// The mean expected time of recent requests.
    expected_ms: f64,
    /// The mean logarithm of measured to expected times.
    log_factor: f64,
    as_of: MonoTime,
    /// Recent first events, each of which counts less as time passes.
    starts: f64,
    /// By ticket, the oldest first.
    waiting: BTreeMap<u64, Waiting>,
}

#[derive(Clone, Copy, Debug)]
struct Waiting {
    sent: MonoTime,
    expected_ms: f64,
}

impl Delay {
    fn new(request: &Request<'_>, now: MonoTime) -> Self {
        Self {
            target_ms: request.target_ms,
            expected_ms: request.expected_ms,
            log_factor: 0.0,
            as_of: now,
            starts: 0.0,
            waiting: BTreeMap::new(),
        }
    }

    fn measure(&mut self, took_ms: f64, expected_ms: f64, now: MonoTime) {
        let factor = (took_ms / expected_ms.max(1.0)).clamp(MAX_FACTOR.recip(), MAX_FACTOR);
        self.starts = self.starts * decay(self.as_of, now, MEMORY_MS) + 1.0;
        let kept = decay(self.as_of, now, MEMORY_MS).min(1.0 - MIN_WEIGHT);
        self.log_factor = self.log_factor * kept + factor.ln() * (1.0 - kept);
        self.expected_ms = self.expected_ms * kept + expected_ms * (1.0 - kept);
        self.as_of = now;
    }

    /// How many times as long as expected the next request takes.
    ///
    /// Answers tell it late, as they were sent when the queue was shorter. So what waits counts too, once
    /// the oldest of it is overdue: it begins at the rate at which requests begin now.
    fn factor(&self, now: MonoTime) -> f64 {
        let measured = (self.log_factor * decay(self.as_of, now, RETURN_MS)).exp();
        let oldest = self.waiting.values().next();
        let is_overdue = oldest.is_some_and(|oldest| {
            ms(now.ms_since(oldest.sent)) > measured.max(1.0) * oldest.expected_ms
        });
        if !is_overdue {
            return measured;
        }
        #[expect(clippy::cast_precision_loss, reason = "few requests wait")]
        let ahead = (self.waiting.len() - 1) as f64;
        let starts_per_ms = self.starts * decay(self.as_of, now, MEMORY_MS) / MEMORY_MS;
        let wait_ms = ahead / starts_per_ms.max(MIN_STARTS_PER_MS);
        measured.max((wait_ms / self.expected_ms.max(1.0)).min(MAX_FACTOR))
    }

    /// The time that a request with this expected time would wait, as a multiple of the time that it
    /// may wait and still be in time.
    fn lateness(&self, expected_ms: f64, now: MonoTime) -> f64 {
        let wait_ms = (self.factor(now) - 1.0).max(0.0) * expected_ms;
        wait_ms / slack_ms(expected_ms, self.target_ms)
    }
}

fn slack_ms(expected_ms: f64, target_ms: f64) -> f64 {
    (target_ms - expected_ms).max(MIN_SLACK_PART * target_ms).max(1.0)
}

impl Admission {
    /// Decides on a request. `point` is evenly distributed between 0 and 1 over all requests.
    pub fn decide(&self, request: &Request<'_>, point: f64, now: MonoTime) -> Decision {
        let pressure = self.pressure(request, now);
        if point >= pressure.refused {
            return Decision::Admit;
        }
        Decision::Refuse { retry_after_ms: pressure.retry_after_ms(point / pressure.refused) }
    }

    /// Which part of the requests of this route and priority has to be refused.
    pub fn pressure(&self, request: &Request<'_>, now: MonoTime) -> Pressure {
        let own = self.classes.get(&class_of(request));
        let own = own.map_or(0.0, |delay| delay.lateness(request.expected_ms, now));
        let more_urgent =
            self.classes.iter().filter(|((_, priority), _)| *priority < request.priority);
        let (urgent, urgent_target_ms) = more_urgent
            .map(|(_, delay)| (delay.lateness(delay.expected_ms, now), delay.target_ms))
            .max_by(|a, b| a.0.total_cmp(&b.0))
            .unwrap_or((0.0, 0.0));
        let (by_own, by_urgent) = (position(own, OWN_RAMP), position(urgent, URGENT_RAMP));
        let excess_ms = ((own - OWN_RAMP.0) * request.target_ms)
            .max((urgent - URGENT_RAMP.0) * urgent_target_ms);
        let cause = if by_urgent > by_own { Cause::UrgentRoute } else { Cause::Lateness };
        Pressure { refused: by_own.max(by_urgent).min(MAX_REFUSED), cause, excess_ms }
    }

    /// Records that a request is sent.
    pub fn begin(&mut self, request: &Request<'_>, now: MonoTime) -> Ticket {
        self.next_ticket += 1;
        let class = class_of(request);
        let delay = self.classes.entry(class.clone()).or_insert_with(|| Delay::new(request, now));
        delay.target_ms = request.target_ms;
        let waiting = Waiting { sent: now, expected_ms: request.expected_ms };
        delay.waiting.insert(self.next_ticket, waiting);
        Ticket { class, number: self.next_ticket }
    }

    /// Records that the first event of a request has arrived.
    pub fn started(&mut self, ticket: Ticket, now: MonoTime) {
        let Ticket { class, number } = ticket;
        let Some(delay) = self.classes.get_mut(&class) else { return };
        if let Some(Waiting { sent, expected_ms }) = delay.waiting.remove(&number) {
            delay.measure(ms(now.ms_since(sent)), expected_ms, now);
        }
    }

    /// Records that a request has ended without an event. The time that it has waited counts if that
    /// was longer than usual.
    pub fn ended(&mut self, ticket: Ticket, now: MonoTime) {
        let Ticket { class, number } = ticket;
        let Some(delay) = self.classes.get_mut(&class) else { return };
        let Some(Waiting { sent, expected_ms }) = delay.waiting.remove(&number) else { return };
        let waited_ms = ms(now.ms_since(sent));
        if waited_ms > delay.factor(now) * expected_ms {
            delay.measure(waited_ms, expected_ms, now);
        }
    }
}

fn class_of(request: &Request<'_>) -> Class {
    (request.route.into(), request.priority)
}

fn position(value: f64, (from, to): (f64, f64)) -> f64 {
    ((value - from) / (to - from)).clamp(0.0, 1.0)
}

fn decay(since: MonoTime, now: MonoTime, time_ms: f64) -> f64 {
    (-ms(now.ms_since(since)) / time_ms).exp()
}

#[expect(clippy::cast_precision_loss, reason = "spans are short")]
fn ms(span_ms: u64) -> f64 {
    span_ms as f64
}
