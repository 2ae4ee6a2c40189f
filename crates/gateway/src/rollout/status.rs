//! Tells operators how far each order is carried out, and why it stands there.

use samphirespread_core::prelude::*;
use samphirespread_routing::{
    canary::{Phase, Situation, share},
    quota::SILENT_AFTER_MS,
};
use serde::Serialize;

use super::{Rollout, Rollouts, controller::phase_name};
use crate::fleet::Fleet;

/// The state of an order, as this router knows it.
#[derive(Debug, Serialize)]
pub(crate) struct RolloutStatus {
    service: String,
    version: String,
    phase: &'static str,
    /// The share of the requests that the version gets, in thousandths.
    share_permille: u32,
    in_phase_ms: u64,
    order_age_ms: u64,
    duration_ms: u64,
    /// Answers of the version at all routers that this one hears.
    answers: u32,
    /// Those that failed or were slow.
    bad: u32,
    /// The strongest evidence against the version, as a fraction of what a verdict takes.
    evidence: f64,
    /// Requests of this router at servers of the version before.
    in_flight_baseline: u32,
    /// What the next step waits for; none if this router is about to take it.
    waits_for: Option<String>,
}

impl Rollouts {
    /// Returns the state of all orders, by service.
    pub(crate) fn status(
        &self,
        fleet: &Fleet,
        (hears_most, decides): (bool, bool),
        now: MonoTime,
    ) -> Vec<RolloutStatus> {
        let permitted = self.permitted_share.unwrap_or_default();
        let rollouts = self.orders.values();
        let mut status: Vec<RolloutStatus> = rollouts
            .map(|rollout| rollout.status(permitted, fleet, (hears_most, decides), now))
            .collect();
        status.sort_by(|a, b| a.service.cmp(&b.service));
        status
    }
}

impl Rollout {
    fn status(
        &self,
        permitted: f64,
        fleet: &Fleet,
        (hears_most, decides): (bool, bool),
        now: MonoTime,
    ) -> RolloutStatus {
        let counts = self.analysis.answers();
        let situation = self.situation(hears_most, now);
        let waits_for = self.analysis.waits_for(&situation, SILENT_AFTER_MS, now);
        RolloutStatus {
            service: self.order.service.to_string(),
            version: self.order.version.to_string(),
            phase: phase_name(self.phase),
            share_permille: share_permille(self.phase, permitted),
            in_phase_ms: now.ms_since(self.phase_since),
            order_age_ms: situation.order_age_ms,
            duration_ms: situation.duration_ms,
            answers: counts.answers,
            bad: counts.bad,
            evidence: self.analysis.evidence(),
            in_flight_baseline: self.in_flight_baseline(fleet),
            waits_for: waits_for.map(|wait| wait.to_string()).or_else(|| other_decides(decides)),
        }
    }

    /// What the next step depends on besides the evidence.
    pub(super) fn situation(&self, hears_most: bool, now: MonoTime) -> Situation {
        Situation {
            phase: self.phase,
            phase_since: self.phase_since,
            order_age_ms: now.ms_since(self.given),
            duration_ms: self.order.duration_ms,
            hears_most,
        }
    }
}

fn other_decides(decides: bool) -> Option<String> {
    (!decides).then(|| "for the router that decides".to_owned())
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a share is between 0 and 1"
)]
fn share_permille(phase: Phase, permitted: f64) -> u32 {
    match phase {
        Phase::Completed => 1_000,
        _ => (share(phase, permitted) * 1_000.0).round() as u32,
    }
}
