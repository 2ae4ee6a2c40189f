//! Reports the size of configurations, the time to decode them, and the time until one is in force at
//! many gateways in one process, by the number of routes.
//!
//!     cargo bench -p samphirespread-gateway --bench configuration
//!
//! All gateways share the processors, so the last column is an upper bound for machines of their own.

use std::{
    io::Write,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use samphirespread_adapter::configuration;
use samphirespread_gateway::Gateway;
use samphirespread_settings::{GatewaySettings, LogFormat, LogLevel, LogSettings};
use samphirespread_standin::published::ObjectStore;
use serde_json::{Value, json};
use tokio::time;
use tokio_util::sync::CancellationToken;

/// Gateways of the largest site that is played by hand.
const GATEWAYS: usize = 27;
/// Routes of the configurations.
const ROUTES: [u64; 3] = [100, 1_400, 10_000];
/// Times that a configuration is decoded for the mean.
const DECODINGS: u32 = 20;
/// Time for the gateways to find each other.
const SETTLE: Duration = Duration::from_secs(4);

#[derive(Clone, Default)]
struct LogText(Arc<Mutex<Vec<u8>>>);

impl Write for LogText {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        self.0.lock().unwrap().extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

impl LogText {
    /// The largest configuration that was copied from another router, in compressed bytes.
    fn packed_bytes(&self) -> u64 {
        let is_it = |line: &Value| line["of"] == "configuration";
        let lines = self.lines().into_iter().filter(is_it);
        lines.filter_map(|line| line["bytes"].as_u64()).max().unwrap_or(0)
    }

    fn has_adopted(&self, generation: u64) -> bool {
        let is_it = |line: &Value| {
            line["msg"] == "configuration adopted" && line["generation"] == generation
        };
        self.lines().iter().any(is_it)
    }

    fn lines(&self) -> Vec<Value> {
        let text = String::from_utf8(self.0.lock().unwrap().clone()).unwrap();
        text.lines().filter_map(|line| serde_json::from_str(line).ok()).collect()
    }
}

/// A name without a pattern, as operators' names are for a compression.
fn name_of(number: u64) -> String {
    format!("{:x}", number.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ (number << 17))
}

fn configuration_of(generation: u64, routes: u64) -> Value {
    let route = |number: u64| {
        json!({ "name": format!("route-{}", name_of(number)),
                "hostname": format!("{}.example", name_of(number + routes)),
                "pathPrefix": format!("/{}/", name_of(number + 2 * routes)), "routeType": "safe",
                "timeoutMs": 3000, "targetLatencyMs": 300, "priority": 1, "service": "desk",
                "maxAttempts": 2, "anonymous": false, "resumable": false })
    };
    json!({ "version": generation, "routes": (0..routes).map(route).collect::<Vec<_>>(),
            "services": [{ "name": "desk", "maxConns": 100 }], "limits": {}, "tenants": [] })
}

async fn start_gateway(number: usize, store: &ObjectStore, stop: &CancellationToken) -> LogText {
    let text = format!(
        "[instance]\nname = r{number}\nregion = khomas\nfailure_domain = zone-{zone}\n\
         [capacity]\nprocessor_share = {share}\n\
         [listen]\ncallers = 127.0.0.1:0\nreadiness = 127.0.0.1:0\npeers = 127.0.0.1:0\n\
         admin = 127.0.0.1:0\n[store]\naddress = {store}\n",
        zone = number % 4,
        share = if number < 8 { "0.5" } else { "0.09" },
        store = store.address(),
    );
    let log = LogText::default();
    let log_settings = LogSettings { format: LogFormat::Json, level: LogLevel::Info };
    let root = samphirespread_logging::root_with_writer(&log_settings, log.clone());
    let gateway = Gateway::bind(GatewaySettings::parse(&text).unwrap(), root).await.unwrap();
    tokio::spawn(gateway.run(stop.clone()));
    log
}

async fn report(routes: u64) -> String {
    let store = ObjectStore::start().unwrap();
    store.put("config", "main", configuration_of(1, 10));
    let stop = CancellationToken::new();
    let mut logs = Vec::new();
    for number in 0..GATEWAYS {
        logs.push(start_gateway(number, &store, &stop).await);
    }
    time::sleep(SETTLE).await;
    let large = configuration_of(2, routes);
    let text = large.to_string();
    let began = Instant::now();
    store.put("config", "main", large);
    while !logs.iter().all(|log| log.has_adopted(2)) {
        time::sleep(Duration::from_millis(5)).await;
    }
    let in_force = began.elapsed();
    let began = Instant::now();
    for _ in 0..DECODINGS {
        configuration::decode(text.as_bytes()).unwrap();
    }
    let decoding = began.elapsed() / DECODINGS;
    let packed = logs.iter().map(LogText::packed_bytes).max().unwrap_or(0);
    stop.cancel();
    format!(
        "{routes:>7} {:>9} {packed:>9} {:>10.2} {:>11}",
        text.len(),
        decoding.as_secs_f64() * 1_000.0,
        in_force.as_millis()
    )
}

#[tokio::main]
async fn main() {
    let mut out = std::io::stdout();
    let head = " routes     bytes    packed  decode ms  in force ms";
    writeln!(out, "{head}").unwrap();
    for routes in ROUTES {
        writeln!(out, "{}", report(routes).await).unwrap();
    }
}
