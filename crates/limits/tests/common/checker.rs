//! Checks the requests that a fleet has admitted, independently of how it decided.

use samphirespread_limits::TeamLimit;

use super::Admitted;

const US_PER_S: i128 = 1_000_000;

/// A window in which more was admitted than the limit allows.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Violation {
    pub(crate) team: usize,
    pub(crate) from_us: u64,
    pub(crate) to_us: u64,
    pub(crate) excess_token_us: i128,
}

/// Checks all windows of all teams with exact arithmetic.
///
/// A request counts with the tokens that it used, at the time when it was admitted.
/// `drift_ppm` is by how much a router's clock may run faster than real time.
pub(crate) fn check(
    admitted: &[Admitted],
    limits: &[TeamLimit],
    drift_ppm: u64,
) -> Result<(), Violation> {
    for (team, limit) in limits.iter().enumerate() {
        check_team(admitted, team, limit, drift_ppm)?;
    }
    Ok(())
}

fn check_team(
    admitted: &[Admitted],
    team: usize,
    limit: &TeamLimit,
    drift_ppm: u64,
) -> Result<(), Violation> {
    // Amounts are in tokens times a million (microseconds per second) times a million (drift in
    // parts per million).
    let scale = US_PER_S * 1_000_000;
    let rate = i128::from(limit.rate_tokens_per_s) * (1_000_000 + i128::from(drift_ppm));
    let burst = i128::from(limit.burst_tokens) * scale;
    let mut used: i128 = 0;
    let mut lowest: Option<(i128, u64)> = None;
    for request in admitted.iter().filter(|request| request.team == team) {
        let filled = rate * i128::from(request.at_us);
        let before = used - filled;
        if lowest.is_none_or(|(least, _)| before < least) {
            lowest = Some((before, request.at_us));
        }
        used += i128::from(request.tokens - request.unused) * scale;
        let Some((least, from_us)) = lowest else { continue };
        let excess = used - filled - least - burst;
        if excess > 0 {
            let excess_token_us = excess / 1_000_000;
            return Err(Violation { team, from_us, to_us: request.at_us, excess_token_us });
        }
    }
    Ok(())
}

/// A single bucket for the whole fleet, charged with the requests that were actually admitted.
#[derive(Clone, Debug)]
pub(crate) struct IdealBucket {
    rate: i128,
    cap: i128,
    level: i128,
    at_us: u64,
}

impl IdealBucket {
    pub(crate) fn new(limit: &TeamLimit) -> Self {
        let cap = i128::from(limit.burst_tokens) * US_PER_S;
        Self { rate: i128::from(limit.rate_tokens_per_s), cap, level: cap, at_us: 0 }
    }

    fn advance(&mut self, now_us: u64) {
        let elapsed = i128::from(now_us - self.at_us);
        self.level = (self.level + elapsed * self.rate).min(self.cap);
        self.at_us = now_us;
    }

    pub(crate) fn fits(&mut self, now_us: u64, tokens: u64) -> bool {
        self.advance(now_us);
        self.level >= i128::from(tokens) * US_PER_S
    }

    pub(crate) fn charge(&mut self, now_us: u64, tokens: u64) {
        self.advance(now_us);
        self.level -= i128::from(tokens) * US_PER_S;
    }

    pub(crate) fn refund(&mut self, now_us: u64, tokens: u64) {
        self.advance(now_us);
        self.level = (self.level + i128::from(tokens) * US_PER_S).min(self.cap);
    }
}
