//! Divides what engines can take between teams by max-min fairness of tokens, over all routers.
//!
//! Each router knows the rate at which a team's tokens are admitted anywhere, from the totals in the
//! routers' records, and which part of its own requests of the team it refuses. From both follows what the
//! team asks for. A team that asks for less than an equal share of what may be admitted is not refused;
//! what it leaves is divided equally between the others.
//!
//! Rates of teams with few requests are measured over 10 s rather than 1 s. Teams with too few even for
//! that come first, as their demands are the smallest, as long as all of them together ask for less than
//! may be admitted.
//!
//! # Costs
//!
//! Memory: one entry for each team and pool of recent requests. A decision under shortage takes time in
//! proportion to the teams with recent requests; their demands are gathered every 20 ms.
//!
//! # Limits
//!
//! A team without a quota appears in no record, so it counts by what this router admits of it. Records
//! don't tell services and priorities apart: a team's rate is divided as this router's own requests of the
//! team are. A team that this router has no requests of counts with its full rate in every pool, and is
//! taken to be refused as the whole pool is.

use std::collections::HashMap;

use samphirespread_core::prelude::*;

use super::{
    MAX_REFUSED, decay,
    token_rate::{TokenRate, Window},
};
use crate::{
    model::ServiceName,
    quota::{Quotas, TeamKey},
};

/// The time for which gathered demands are used. They change little in it, compared with a time constant
/// of 1 s.
const REFRESH_MS: u64 = 20;
/// A team of which other routers admit fewer tokens in a second asks for nothing any more.
const MIN_DEMAND_PER_S: f64 = 1.0;
/// A router that starts knows too little of the teams' rates to refuse a team more than others. After one
/// short time constant, it knows them to within a third.
const FIRST_COUNTS_MS: u64 = 1_000;
/// How often teams and pools without recent requests are removed.
const CLEAN_UP_MS: u64 = 10_000;
/// With fewer requests than this in the short time constant, the long one is used. At five, the standard
/// error of a rate is about a third.
const MIN_SHORT_REQUESTS: f64 = 5.0;
/// The short rate replaces the long one only if it exceeds it by this, divided by the root of the number
/// of requests. The standard error of an exponentially weighted count is 1 / sqrt(2 n), so this is nearly
/// three of them.
const NOISE_MARGIN: f64 = 2.0;
/// With fewer requests than this in the long time constant, nothing can be said about a team's rate.
const MIN_LONG_REQUESTS: f64 = 2.0;
/// What is refused varies from one tenth of a second to the next, as queues do. Shares follow its mean
/// over this time, so that a peak is borne by the teams over their share.
const SUSTAINED_MS: f64 = 500.0;
/// The part of its requests that a team may be refused for its share rises by this with each share that
/// it asks for beyond its own, so that an error of a few hundredths in its rate costs it little. From an
/// eighth over the share on it is refused all that exceeds it.
const OVER_SHARE_SLOPE: f64 = 8.0;
/// The greatest ratio of what is asked to what is admitted: five in a hundred are always admitted.
const MAX_ASKED_TO_ADMITTED: f64 = 1.0 / (1.0 - MAX_REFUSED);

/// Requests that compete for the same engines at the same priority.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Pool {
    /// The service of the engines.
    pub service: ServiceName,
    /// The priority; 0 is the highest.
    pub priority: u8,
}

/// A request of a team.
#[derive(Clone, Debug, PartialEq)]
pub struct Demand {
    /// The team.
    pub team: TeamKey,
    /// Where it competes.
    pub pool: Pool,
    /// Its prompt and output tokens.
    pub tokens: f64,
    /// What the team's quota has been charged for it.
    pub cost: f64,
}

/// What a router knows of the teams' use of engines.
#[derive(Debug, Default)]
pub struct TeamShares {
    teams: HashMap<TeamKey, Team>,
    pools: HashMap<Pool, PoolLoad>,
    gathered: Option<MonoTime>,
    cleaned: MonoTime,
    /// When the first request was counted.
    began: Option<MonoTime>,
}

#[derive(Debug, Default)]
struct Team {
    /// What this router has admitted, in the unit of the team's quota.
    admitted_cost: TokenRate,
    asked: HashMap<Pool, Asked>,
}

/// What this router was asked for.
#[derive(Clone, Copy, Debug, Default)]
struct Asked {
    tokens: TokenRate,
    /// The same in the unit of the team's quota.
    cost: TokenRate,
    requests: TokenRate,
}

impl Asked {
    fn mean_tokens(&self, now: MonoTime) -> f64 {
        let requests = self.requests.tokens(Window::Long, now).max(f64::MIN_POSITIVE);
        self.tokens.tokens(Window::Long, now) / requests
    }
}

#[derive(Debug, Default)]
struct PoolLoad {
    asked: TokenRate,
    requests: TokenRate,
    /// What was asked by teams with too few requests to tell their rates.
    asked_rarely: TokenRate,
    /// The part that was refused lately.
    sustained: f64,
    as_of: MonoTime,
    /// The demands of all teams when they were gathered last, the smallest first.
    demands: Vec<(TeamKey, f64)>,
}

impl PoolLoad {
    fn mean_tokens(&self, now: MonoTime) -> f64 {
        let requests = self.requests.tokens(Window::Long, now).max(f64::MIN_POSITIVE);
        self.asked.tokens(Window::Long, now) / requests
    }

    fn has(&self, team: TeamKey) -> bool {
        self.demands.iter().any(|(other, _)| *other == team)
    }
}

impl TeamShares {
    /// The part of a team's requests that is refused so that this part of all requests is.
    pub fn refused_part(
        &mut self,
        demand: &Demand,
        refused: f64,
        quotas: &Quotas,
        now: MonoTime,
    ) -> f64 {
        let measured = match self.teams.get(&demand.team) {
            Some(team) => team.rate_per_s(demand, quotas, now),
            None => None,
        };
        let Some(rate_per_s) = measured else {
            let Some(pool) = self.pools.get(&demand.pool) else { return refused };
            let all = pool.asked.tokens(Window::Long, now) + demand.tokens;
            let rarely = pool.asked_rarely.tokens(Window::Long, now) + demand.tokens;
            return (1.0 - (1.0 - refused) * all / rarely).max(0.0);
        };
        let is_gathered = self.pools.get(&demand.pool).is_some_and(|pool| pool.has(demand.team));
        self.gather(!is_gathered, quotas, now);
        let pool = self.pools.get(&demand.pool).filter(|pool| pool.demands.len() > 1);
        let Some(pool) = pool else { return refused };
        let level = equal_share(&pool.demands, 1.0 - refused);
        let sustained_level = equal_share(&pool.demands, 1.0 - pool.sustained.min(refused));
        let over_share = (rate_per_s / sustained_level - 1.0).max(0.0);
        let part =
            (1.0 - level / rate_per_s).clamp(0.0, (OVER_SHARE_SLOPE * over_share).min(MAX_REFUSED));
        let has_counts = self.began.is_some_and(|began| now.ms_since(began) >= FIRST_COUNTS_MS);
        if has_counts { part } else { part.min(refused) }
    }

    /// Records a request, the part of all requests that is to be refused, and whether this one is
    /// admitted.
    pub fn count(
        &mut self,
        demand: &Demand,
        refused: f64,
        is_admitted: bool,
        quotas: &Quotas,
        now: MonoTime,
    ) {
        self.clean_up(now);
        self.began.get_or_insert(now);
        let Demand { team, pool, tokens, cost } = demand;
        let team = self.teams.entry(*team).or_default();
        let is_rare = team.rate_per_s(demand, quotas, now).is_none();
        let asked = team.asked.entry(pool.clone()).or_default();
        asked.tokens.add(*tokens, now);
        asked.cost.add(*cost, now);
        asked.requests.add(1.0, now);
        if is_admitted {
            team.admitted_cost.add(*cost, now);
        }
        let pool = self.pools.entry(pool.clone()).or_default();
        pool.asked.add(*tokens, now);
        pool.requests.add(1.0, now);
        let kept = decay(pool.as_of, now, SUSTAINED_MS);
        pool.sustained = pool.sustained * kept + refused * (1.0 - kept);
        pool.as_of = now;
        if is_rare {
            pool.asked_rarely.add(*tokens, now);
        }
    }

    /// Removes teams and pools without recent requests.
    fn clean_up(&mut self, now: MonoTime) {
        if now.ms_since(self.cleaned) < CLEAN_UP_MS {
            return;
        }
        self.cleaned = now;
        for team in self.teams.values_mut() {
            team.asked.retain(|_, asked| asked.tokens.tokens(Window::Long, now) >= 1.0);
        }
        self.teams.retain(|_, team| !team.asked.is_empty());
        self.pools.retain(|_, pool| pool.asked.tokens(Window::Long, now) >= 1.0);
    }

    fn gather(&mut self, has_new_team: bool, quotas: &Quotas, now: MonoTime) {
        if !has_new_team && self.gathered.is_some_and(|at| now.ms_since(at) < REFRESH_MS) {
            return;
        }
        self.gathered = Some(now);
        for pool in self.pools.values_mut() {
            pool.demands.clear();
        }
        for (key, team) in &self.teams {
            for (name, asked) in &team.asked {
                let Some(pool) = self.pools.get_mut(name) else { continue };
                let per_s = team.steady_per_s(*key, asked, 0.0, quotas, now);
                pool.demands.push((*key, per_s));
            }
        }
        let elsewhere = quotas.use_rates(Window::Short, now);
        let elsewhere = elsewhere.filter(|(team, ..)| !self.teams.contains_key(team));
        for (team, rate_per_s, in_tokens) in elsewhere {
            for pool in self.pools.values_mut() {
                // This router has no requests of the team, so those of the pool tell their size.
                let tokens = if in_tokens { 1.0 } else { pool.mean_tokens(now) };
                let used_per_s = rate_per_s * tokens;
                if used_per_s >= MIN_DEMAND_PER_S {
                    let per_s = used_per_s / (1.0 - pool.sustained.min(MAX_REFUSED));
                    pool.demands.push((team, per_s));
                }
            }
        }
        for pool in self.pools.values_mut() {
            pool.demands.sort_by(|(_, a), (_, b)| a.total_cmp(b));
        }
    }
}

impl Team {
    /// The tokens in a second that the team asks for without this request. None if its requests are too
    /// few to tell.
    fn rate_per_s(&self, demand: &Demand, quotas: &Quotas, now: MonoTime) -> Option<f64> {
        let asked = self.asked.get(&demand.pool)?;
        let rate_per_s = self.steady_per_s(demand.team, asked, demand.cost, quotas, now);
        let requests = rate_per_s * Window::Long.seconds() / asked.mean_tokens(now).max(1.0);
        (requests >= MIN_LONG_REQUESTS).then_some(rate_per_s)
    }

    /// The tokens in a second that the team asks for in a pool, without the noise of the short time
    /// constant: that one counts only if it is lower, or higher by more than chance explains.
    fn steady_per_s(
        &self,
        team: TeamKey,
        asked: &Asked,
        pending_cost: f64,
        quotas: &Quotas,
        now: MonoTime,
    ) -> f64 {
        let per_s = |window| self.demand_per_s(team, asked, pending_cost, window, quotas, now);
        let (short_per_s, long_per_s) = (per_s(Window::Short), per_s(Window::Long));
        let requests = short_per_s * Window::Short.seconds() / asked.mean_tokens(now).max(1.0);
        let by_chance = long_per_s * (1.0 + NOISE_MARGIN / requests.sqrt());
        let is_noise = (long_per_s..=by_chance).contains(&short_per_s);
        if requests >= MIN_SHORT_REQUESTS && !is_noise { short_per_s } else { long_per_s }
    }

    /// The tokens in a second that the team asks for in a pool. `pending_cost` has been charged for a
    /// request that is yet to be decided on.
    fn demand_per_s(
        &self,
        team: TeamKey,
        asked: &Asked,
        pending_cost: f64,
        window: Window,
        quotas: &Quotas,
        now: MonoTime,
    ) -> f64 {
        let own_per_s = asked.tokens.per_s(window, now);
        let admitted_per_s = self.admitted_cost.per_s(window, now);
        let Some(used_per_s) = quotas.use_rate(team, window, now) else { return own_per_s };
        let used_per_s = (used_per_s - pending_cost / window.seconds()).max(admitted_per_s);
        let asked_to_admitted = match admitted_per_s > 0.0 {
            true => (asked.cost.per_s(window, now) / admitted_per_s).min(MAX_ASKED_TO_ADMITTED),
            false => 1.0,
        };
        // A quota counts tokens or requests. A team of which less than a token is left here asks for nothing
        // any more.
        let tokens = asked.tokens.tokens(Window::Long, now);
        let cost = asked.cost.tokens(Window::Long, now).max(f64::MIN_POSITIVE);
        let tokens_per_cost = tokens / cost * tokens.min(1.0);
        let per_s = used_per_s * asked_to_admitted * tokens_per_cost;
        per_s.max(own_per_s)
    }
}

/// The greatest amount that each gets so that all together get this part of what they ask for.
fn equal_share(demands: &[(TeamKey, f64)], admitted: f64) -> f64 {
    let mut left = demands.iter().map(|(_, demand)| demand).sum::<f64>() * admitted;
    let mut sharers = demands.len();
    for (_, demand) in demands {
        #[expect(clippy::cast_precision_loss, reason = "there are few teams")]
        let share = left / sharers as f64;
        if *demand > share {
            return share;
        }
        left -= demand;
        sharers -= 1;
    }
    f64::INFINITY
}
