//! A small deployment: the store, workers and their sidecars, and gateways.

use std::{io, path::Path, sync::Arc, time::Duration};

use samphirespread_standin::published::ObjectStore;
use serde_json::{Value, json};
use tokio::time;

use crate::{
    client::{HOST, wait_until_ready},
    engine::{Copies, CopyLink, Engine, EngineSize, MODEL},
    programs::{Block, Gateway, Program, free_address, gateway, sidecar},
    record::Record,
};

/// How often a worker writes its entry.
const HEARTBEAT_MS: u64 = 1_200;

/// What a deployment consists of.
pub struct Plan {
    /// The zone of each gateway.
    pub gateways: Vec<&'static str>,
    /// The zone of each worker.
    pub engines: Vec<&'static str>,
    pub event_ms: u64,
    pub copy_link: CopyLink,
    pub size: EngineSize,
    /// Connections that may wait at a worker to be accepted.
    pub backlog: u32,
    pub software: &'static str,
}

pub struct Site {
    pub store: Arc<ObjectStore>,
    pub engines: Vec<Arc<Engine>>,
    pub sidecars: Vec<Program>,
    pub gateways: Vec<Gateway>,
}

impl Site {
    pub async fn start(
        plan: &Plan,
        configuration: Value,
        directory: &Path,
        record: &Record,
    ) -> io::Result<Self> {
        let block = Block::new()?;
        let store = Arc::new(ObjectStore::start()?);
        store.put("config", "main", configuration);
        let copies = Copies::default();
        let (mut engines, mut sidecars) = (Vec::new(), Vec::new());
        for (index, zone) in plan.engines.iter().enumerate() {
            let address = free_address(block.side(index))?;
            let parts = (copies.clone(), plan.copy_link, plan.size, plan.backlog);
            let engine =
                Engine::new(&format!("i-{index}"), address, zone, plan.event_ms, parts, record);
            engine.start(plan.software).await?;
            let mut program = sidecar(block, index, zone, address, directory)?;
            program.start()?;
            engines.push(engine);
            sidecars.push(program);
        }
        let mut gateways = Vec::new();
        for (index, zone) in plan.gateways.iter().enumerate() {
            let mut gateway = gateway(block, index, zone, store.address(), directory)?;
            gateway.program.start()?;
            gateways.push(gateway);
        }
        let site = Self { store, engines, sidecars, gateways };
        for engine in &site.engines {
            site.write_entry(engine);
        }
        tokio::spawn(beat(site.store.clone(), site.engines.clone()));
        for gateway in &site.gateways {
            wait_until_ready(gateway.readiness).await?;
        }
        // All have heard of each other, and the first reports are in.
        time::sleep(Duration::from_millis(3_000)).await;
        record.line("all gateways are ready");
        Ok(site)
    }

    /// Writes a worker's entry, as the worker does when something in it changes.
    pub fn write_entry(&self, engine: &Engine) {
        self.store.put("servers", &engine.id, engine.entry());
    }
}

/// Writes the entries of the workers that run, at intervals.
async fn beat(store: Arc<ObjectStore>, engines: Vec<Arc<Engine>>) {
    loop {
        time::sleep(Duration::from_millis(HEARTBEAT_MS)).await;
        for engine in engines.iter().filter(|engine| engine.is_running() && !engine.is_dark()) {
            store.put("servers", &engine.id, engine.entry());
        }
    }
}

/// A route for streams.
pub struct StreamRoute {
    pub name: &'static str,
    pub is_resumable: bool,
    pub max_attempts: u64,
    pub timeout_ms: u64,
    pub target_ms: u64,
    pub gap_target_ms: u64,
}

/// A configuration with these routes to the model workers, and these tenants.
pub fn configuration(routes: &[StreamRoute], size: EngineSize, tenants: Value) -> Value {
    let routes: Vec<Value> = routes
        .iter()
        .map(|route| {
            json!({ "name": route.name, "hostname": HOST, "pathPrefix": format!("/{}/", route.name),
                    "routeType": "stream", "timeoutMs": route.timeout_ms,
                    "targetLatencyMs": route.target_ms, "gapTargetMs": route.gap_target_ms,
                    "priority": 1, "service": "canopy-lm", "maxAttempts": route.max_attempts,
                    "anonymous": false, "resumable": route.is_resumable, "sessionAffinity": true })
        })
        .collect();
    json!({
        "version": 3,
        "routes": routes,
        "services": [{ "name": "canopy-lm", "healthPath": "/health", "maxConns": 370,
                       "engine": { "slots": 64, "kvCapacityTokens": size.memory_tokens,
                                   "tokenKvBytes": size.token_bytes,
                                   "linkMbps": size.link_mbps, "moves": true,
                                   "models": [{ "name": MODEL }] } }],
        "limits": { "maxHeaderBytes": 16_384, "maxBodyBytes": 4_194_304,
                    "headerTimeoutMs": 5_000, "idleTimeoutMs": 10_000 },
        "tenants": tenants,
    })
}

/// A tenant without a usage cap.
pub fn tenant(name: &str, key: &str, is_dedicated: bool) -> Value {
    json!({ "name": name, "apiKeys": [key], "dedicated": is_dedicated, "unit": "tokens",
            "uncachedTokens": 200, "ratePerS": 0, "burst": 0 })
}
