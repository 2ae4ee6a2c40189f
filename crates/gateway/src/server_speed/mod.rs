//! Records the pace that servers state in their responses, and passes it on to the choice of a
//! server.

use samphirespread_adapter::headers::ServerLoad;
use samphirespread_core::prelude::*;
use samphirespread_routing::server_speed::Pace;
use samphirespread_settings::{DecisionSettings, Mechanism};

use crate::{fleet::Server, metrics::Metrics};

/// Upper bounds of the buckets of the histogram of paces. They are close to each other around 1, the
/// normal pace.
pub(crate) const PACE_BUCKETS: [f64; 12] =
    [0.1, 0.25, 0.5, 0.7, 0.85, 1.0, 1.2, 1.5, 2.0, 2.5, 4.0, 10.0];

/// Records the load of a server by its response.
pub(crate) fn record_load(
    server: &mut Server,
    load: &ServerLoad,
    metrics: &Metrics,
    now: MonoTime,
) {
    server.foreign_load = (load.requests().saturating_sub(server.in_flight), now);
    record_pace(server, load.pace, metrics, now);
}

/// Records the pace that a server has stated now, if it has.
pub(crate) fn record_pace(
    server: &mut Server,
    pace: Option<Pace>,
    metrics: &Metrics,
    now: MonoTime,
) {
    if let Some(pace) = pace {
        server.pace_history.record(pace, now);
        metrics.server_pace.observe(pace.ratio());
    }
}

/// Returns the pace that is expected of a server now, or `None` if it has never stated one or the
/// settings switch the use of paces off.
pub(crate) fn expected_pace(
    server: &Server,
    decisions: &DecisionSettings,
    now: MonoTime,
) -> Option<Pace> {
    server.pace_history.pace(now).filter(|_| decisions.uses(Mechanism::ServerSpeed))
}
