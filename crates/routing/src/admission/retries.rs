//! Precedence of retries after a refusal over new requests of the same team and priority.
//!
//! Nothing marks a request as a retry, but its deadline is the time that remains to its caller: shorter
//! than the deadline of new requests by at least the time after which refused callers retry. Callers may
//! claim any deadline, so precedence only decides which requests of a team are refused, not how many.
//!
//! Memory: one entry for each team and route, and one for each team and pool of recent requests.

use std::{collections::HashMap, sync::Arc};

use samphirespread_core::prelude::*;

use super::{
    MAX_REFUSED,
    team_share::Pool,
    token_rate::{TokenRate, Window},
};
use crate::quota::TeamKey;

/// A deadline that is shorter than the full one by this much belongs to a retry. Refused callers retry
/// after 200 ms at the earliest; deadlines of new requests vary by some milliseconds.
const RETRY_MARGIN_MS: u64 = 100;
/// The longest deadline of a team on a route is forgotten after one to two of these.
const DEADLINE_MEMORY_MS: u64 = 10_000;

/// What a router has seen of new requests and retries.
#[derive(Debug, Default)]
pub struct RetryPrecedence {
    deadlines: HashMap<(TeamKey, Arc<str>), FullDeadline>,
    arrivals: HashMap<(TeamKey, Pool), Arrivals>,
    cleaned: MonoTime,
}

#[derive(Clone, Copy, Debug)]
struct FullDeadline {
    /// The longest deadline of the current period and of the one before it.
    longest_ms: [u64; 2],
    period_began: MonoTime,
}

#[derive(Clone, Copy, Debug, Default)]
struct Arrivals {
    all: TokenRate,
    retries: TokenRate,
}

impl FullDeadline {
    fn observe(&mut self, deadline_ms: u64, now: MonoTime) -> u64 {
        let age_ms = now.ms_since(self.period_began);
        if age_ms >= DEADLINE_MEMORY_MS {
            let before = if age_ms < 2 * DEADLINE_MEMORY_MS { self.longest_ms[0] } else { 0 };
            *self = Self { longest_ms: [0, before], period_began: now };
        }
        self.longest_ms[0] = self.longest_ms[0].max(deadline_ms);
        self.longest_ms[0].max(self.longest_ms[1])
    }
}

impl RetryPrecedence {
    /// Records a request and returns whether it is a retry.
    pub fn observe(
        &mut self,
        team: TeamKey,
        route: &str,
        pool: &Pool,
        tokens: f64,
        deadline_ms: Option<u64>,
        now: MonoTime,
    ) -> bool {
        self.clean_up(now);
        let is_retry = deadline_ms.is_some_and(|deadline_ms| {
            let full = FullDeadline { longest_ms: [0; 2], period_began: now };
            let full = self.deadlines.entry((team, route.into())).or_insert(full);
            deadline_ms.saturating_add(RETRY_MARGIN_MS) <= full.observe(deadline_ms, now)
        });
        let arrivals = self.arrivals.entry((team, pool.clone())).or_default();
        arrivals.all.add(tokens, now);
        if is_retry {
            arrivals.retries.add(tokens, now);
        }
        is_retry
    }

    /// The part of the new requests or of the retries that is refused, so that `refused` of all of the
    /// team's are: new requests first, retries only if that is not enough.
    pub fn refused_part(
        &self,
        team: TeamKey,
        pool: &Pool,
        is_retry: bool,
        refused: f64,
        now: MonoTime,
    ) -> f64 {
        let arrivals = self.arrivals.get(&(team, pool.clone())).copied().unwrap_or_default();
        let all = arrivals.all.tokens(Window::Short, now).max(f64::MIN_POSITIVE);
        let retries = (arrivals.retries.tokens(Window::Short, now) / all).min(1.0);
        let refused_of_new = MAX_REFUSED * (1.0 - retries);
        if !is_retry {
            return if refused < refused_of_new { refused / (1.0 - retries) } else { MAX_REFUSED };
        }
        if refused <= refused_of_new || retries <= 0.0 {
            return 0.0;
        }
        ((refused - refused_of_new) / retries).min(MAX_REFUSED)
    }

    fn clean_up(&mut self, now: MonoTime) {
        if now.ms_since(self.cleaned) < DEADLINE_MEMORY_MS {
            return;
        }
        self.cleaned = now;
        self.deadlines.retain(|_, full| now.ms_since(full.period_began) < 2 * DEADLINE_MEMORY_MS);
        self.arrivals.retain(|_, arrivals| arrivals.all.tokens(Window::Long, now) >= 1.0);
    }
}
