//! Decides by price and gain when a request leaves this router's failure domain, if the settings
//! have a price, and counts the requests that are sent to servers.

use std::{collections::HashMap, sync::atomic::AtomicU64};

use prometheus_client::{
    encoding::EncodeLabelSet,
    metrics::{counter::Counter, family::Family, gauge::Gauge},
    registry::Registry,
};
use samphirespread_core::prelude::*;
use samphirespread_routing::{
    choice::EngineView,
    domain_traffic::{ASSUMED_RESPONSE_BYTES, BYTES_PER_TOKEN, LeaveShare, TrafficTerms},
    model::{Engine, ServiceName},
    server_speed::draw,
    sources::SourceKind,
};
use samphirespread_settings::TrafficSettings;

use super::{FOREIGN_LOAD_LIFETIME_MS, Selected, SelectionQuery};
use crate::{fleet::Server, gateway::Core};

/// Keeps this draw apart from others that are made by the id of a request.
const SEED: u64 = 0x74_7261_6666;
/// How long the load that a plain server in another domain has stated counts. Few answers come from
/// there, and a server whose load is unknown looks idle.
const REMOTE_LOAD_LIFETIME_MS: u64 = 2_000;

/// This router's traffic to other failure domains.
#[derive(Debug, Default)]
pub(crate) struct DomainTraffic {
    settings: TrafficSettings,
    shares: HashMap<ServiceName, LeaveShare>,
}

impl DomainTraffic {
    pub(crate) fn new(settings: TrafficSettings) -> Self {
        Self { settings, shares: HashMap::new() }
    }

    /// Replaces the settings. Without a price the shares are dropped.
    pub(crate) fn set(&mut self, settings: TrafficSettings, metrics: &TrafficMetrics) {
        self.settings = settings;
        if settings.ms_per_mb.is_none() {
            self.shares.clear();
            metrics.leave_share.clear();
        }
    }

    /// The terms on which a request may leave the domain; `None` without a price.
    pub(super) fn terms(&self, query: &SelectionQuery<'_>, now: MonoTime) -> Option<TrafficTerms> {
        let ms_per_mb = self.settings.ms_per_mb?;
        let share = self.shares.get(&query.service.name).map_or(0.0, |share| share.at(now));
        let point = draw(query.request_id, SEED, now);
        Some(TrafficTerms { ms_per_mb, bytes: bytes(query), share, point })
    }

    /// How long the load counts that a plain server last stated.
    pub(super) fn load_lifetime_ms(&self, is_near: bool) -> u64 {
        match self.settings.ms_per_mb {
            Some(_) if !is_near => REMOTE_LOAD_LIFETIME_MS,
            _ => FOREIGN_LOAD_LIFETIME_MS,
        }
    }

    /// Records the ratio of gain to price of a request for which a server was chosen.
    pub(crate) fn observe(
        &mut self,
        service: &ServiceName,
        selected: &Selected,
        metrics: &TrafficMetrics,
        now: MonoTime,
    ) {
        let Some(ratio) = selected.leave_ratio else { return };
        if !self.shares.contains_key(service) {
            self.shares.insert(service.clone(), LeaveShare::default());
        }
        let Some(share) = self.shares.get_mut(service) else { return };
        share.observe(ratio, now);
        let labels = ServiceLabel { service: service.to_string() };
        metrics.leave_share.get_or_create(&labels).set(share.at(now));
    }
}

/// The bytes of the request and its response. The length of a response is known only for engines,
/// as the largest one that the request allows.
fn bytes(query: &SelectionQuery<'_>) -> u64 {
    let body = u64::try_from(query.body_bytes).unwrap_or(u64::MAX);
    let Some(generation) = query.generation else {
        return body.saturating_add(ASSUMED_RESPONSE_BYTES);
    };
    let prompt =
        if body > 0 { body } else { generation.prompt_tokens.saturating_mul(BYTES_PER_TOKEN) };
    prompt.saturating_add(generation.max_output_tokens.saturating_mul(BYTES_PER_TOKEN))
}

/// The bytes of a token that each engine would fetch from another domain than its own; 0 where it
/// would fetch within its domain.
pub(super) fn fetch_bytes_per_token(
    servers: &[&Server],
    views: &[Option<EngineView>],
    engine: &Engine,
    store_domain: &str,
) -> Vec<u64> {
    let domain_of = |server: &Server| server.entry.failure_domain.clone();
    let bytes = |(server, view): (&&Server, &Option<EngineView>)| {
        let is_across = match view.and_then(|view| view.source).map(|source| source.kind) {
            Some(SourceKind::Store) => *domain_of(server) != *store_domain,
            Some(SourceKind::Engine(other)) => domain_of(server) != domain_of(servers[other]),
            None => false,
        };
        if is_across { engine.token_bytes } else { 0 }
    };
    servers.iter().zip(views).map(bytes).collect()
}

/// Replaces the memory of engines in other domains that have no recent report by the configured
/// size, so that what this router sends there is limited too.
pub(super) fn limit_unknown_memory(views: &mut [Option<EngineView>], engine: &Engine) {
    let is_unknown = |view: &&mut EngineView| !view.is_near && view.memory_tokens == u64::MAX;
    for view in views.iter_mut().flatten().filter(is_unknown) {
        view.memory_tokens = engine.memory_tokens;
    }
}

/// Counters of requests by the domain of their server, and the shares that may leave.
#[derive(Debug, Default)]
pub(crate) struct TrafficMetrics {
    requests: Family<ReachLabel, Counter>,
    bytes: Family<ReachLabel, Counter>,
    leave_share: Family<ServiceLabel, Gauge<f64, AtomicU64>>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ReachLabel {
    /// `near` within the router's domain, `far` beyond it.
    reach: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ServiceLabel {
    service: String,
}

impl TrafficMetrics {
    pub(crate) fn register(&self, registry: &mut Registry) {
        registry.register("domain_requests", "Sends by domain", self.requests.clone());
        registry.register("domain_bytes", "Bytes of bodies sent", self.bytes.clone());
        registry.register("leave_share", "Share that may leave", self.leave_share.clone());
    }
}

/// Counts a request that is sent to a server.
pub(crate) fn count_send(core: &Core, selected: &Selected, bytes: usize) {
    let label = ReachLabel { reach: if selected.is_near { "near" } else { "far" } };
    let metrics = &core.metrics.domain_traffic;
    metrics.requests.get_or_create(&label).inc();
    metrics.bytes.get_or_create(&label).inc_by(u64::try_from(bytes).unwrap_or(u64::MAX));
}
