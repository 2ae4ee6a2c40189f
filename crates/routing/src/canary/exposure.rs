//! Bounds the share of a router's requests that goes to a new version.

use super::Phase;

/// The part of the permitted share that is used before the version is trusted. The rest is left for
/// the ramp, in which a fault that shows only under load exposes more requests.
const CANARY_PART: f64 = 0.6;
/// Credit that is not used is kept up to this many requests, so that servers that become available
/// late don't get the requests of the time before at once.
const MAX_CREDIT: f64 = 2.0;
/// How many times as many canaries are used as the share of the requests would load like the other
/// servers. Canaries begin with empty caches, so each request is more work for them.
const CANARY_HEADROOM: f64 = 3.0;
/// The smallest number of canaries, so that one faulty server can be told from a faulty version, unless
/// all of them fall into one group of servers by their ids.
const MIN_CANARIES: usize = 3;

/// What a router may send to a new version: a share of the requests that it sends to the service.
#[derive(Clone, Debug, Default)]
pub struct ExposureCredit {
    requests: f64,
}

impl ExposureCredit {
    /// Counts a request to the service. Returns whether it may go to the new version.
    pub fn draw(&mut self, share: f64) -> bool {
        self.requests = (self.requests + share).min(MAX_CREDIT);
        let may_go = self.requests >= 1.0;
        if may_go {
            self.requests -= 1.0;
        }
        may_go
    }

    /// Gives back what a request drew that could not be sent.
    pub fn refund(&mut self) {
        self.requests = (self.requests + 1.0).min(MAX_CREDIT);
    }

    /// Charges a request that has to go to the new version, such as the rest of a stream.
    pub fn charge(&mut self) {
        self.requests -= 1.0;
    }
}

/// Returns the share of the requests that may go to the new version, when `permitted` is the share
/// that operators permit before its release.
pub fn share(phase: Phase, permitted: f64) -> f64 {
    match phase {
        Phase::Canary => permitted * CANARY_PART,
        Phase::Ramp { share_permille } => f64::from(share_permille) / 1_000.0,
        Phase::Halted | Phase::RolledBack => 0.0,
        Phase::Completed => 1.0,
    }
}

/// Returns how many of the new servers are canaries, if the baseline has that many servers.
///
/// They are few, so that each gets enough requests to be compared with the servers of the
/// baseline.
pub fn canaries(share: f64, baseline_servers: usize) -> usize {
    let before = f64::from(u32::try_from(baseline_servers).unwrap_or(u32::MAX));
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a share of a number of servers"
    )]
    let fitting = (share.clamp(0.0, 1.0) * before * CANARY_HEADROOM).ceil() as usize;
    fitting.max(MIN_CANARIES)
}
