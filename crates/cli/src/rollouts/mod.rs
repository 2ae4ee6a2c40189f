//! Queries how far a gateway has moved services to new versions of their software.

use std::{fmt, net::SocketAddr};

use serde::Deserialize;

use crate::http::{self, AdminError};

/// The state of one order, as a gateway knows it.
#[derive(Debug, Deserialize)]
pub(crate) struct RolloutStatus {
    service: String,
    version: String,
    phase: String,
    share_permille: u32,
    in_phase_ms: u64,
    order_age_ms: u64,
    duration_ms: u64,
    answers: u32,
    bad: u32,
    evidence: f64,
    in_flight_baseline: u32,
    waits_for: Option<String>,
}

/// Queries the gateway with this admin address for all orders that it knows.
pub(crate) async fn read(
    admin: SocketAddr,
    timeout_ms: u64,
) -> Result<Vec<RolloutStatus>, AdminError> {
    http::get(admin, "/rollouts", timeout_ms).await
}

impl fmt::Display for RolloutStatus {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { service, version, phase, share_permille, in_phase_ms, .. } = self;
        write!(f, "{service} -> {version}: {phase} for {in_phase_ms} ms")?;
        write!(f, ", {share_permille} in 1000 requests")?;
        write!(f, ", ordered {} ms ago for {} ms", self.order_age_ms, self.duration_ms)?;
        write!(f, ", {} answers ({} bad)", self.answers, self.bad)?;
        write!(f, ", evidence {:.2} of a verdict", self.evidence)?;
        write!(f, ", {} requests at the version before", self.in_flight_baseline)?;
        match &self.waits_for {
            Some(waits_for) => write!(f, ", waits {waits_for}"),
            None => f.write_str(", about to go on"),
        }
    }
}
