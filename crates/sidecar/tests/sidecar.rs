//! Tests a sidecar with a stand-in for the engine and a socket that acts as a router.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::Request;
use http_body_util::Full;
use samphirespread_core::prelude::*;
use samphirespread_outbound::Connection;
use samphirespread_peer::{Datagram, Directive, EngineReport, LoadDirective, decode, encode};
use samphirespread_settings::{LogFormat, LogLevel, LogSettings, SidecarSettings};
use samphirespread_sidecar::Sidecar;
use samphirespread_standin::published::{Worker, WorkerConfig};
use tokio::{net::UdpSocket, time};
use tokio_util::sync::CancellationToken;

const MODEL: &str = "reader";
const REPORT_TIMEOUT: Duration = Duration::from_secs(20);

struct Setup {
    engine: Worker,
    router: UdpSocket,
    sidecar: SocketAddr,
    admin: SocketAddr,
    _stop: tokio_util::sync::DropGuard,
}

async fn start() -> Setup {
    let engine = Worker::start(WorkerConfig::new("e1", "engines").model(MODEL, 1)).unwrap();
    let text = format!(
        "[instance]\nname = s1\nregion = khomas\nfailure_domain = khomas-1\n\
         [listen]\npeers = 127.0.0.1:0\nadmin = 127.0.0.1:0\n\
         [engine]\naddress = {}\nreport_ms = 20\ntimeout_ms = 200\n",
        engine.address()
    );
    let settings = SidecarSettings::parse(&text).unwrap();
    let log_settings = LogSettings { format: LogFormat::Json, level: LogLevel::Error };
    let log = samphirespread_logging::root_with_writer(&log_settings, std::io::sink());
    let sidecar = Sidecar::bind(settings, log).await.unwrap();
    let (address, admin) = (sidecar.peers_address(), sidecar.admin_address());
    let stop = CancellationToken::new();
    tokio::spawn(sidecar.run(stop.clone()));
    let router = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    Setup { engine, router, sidecar: address, admin, _stop: stop.drop_guard() }
}

impl Setup {
    async fn send_directive(&self, version: Option<u64>) {
        let directive = Directive {
            wants_reports: true,
            from: InstanceName::new("r1"),
            server_id: "e1".to_owned(),
            load: version.map(|version| LoadDirective {
                model: ModelName::new(MODEL),
                version,
                epoch: 0,
            }),
        };
        let bytes = encode(&Datagram::Directive(directive));
        self.router.send_to(&bytes, self.sidecar).await.unwrap();
    }

    /// Requests reports until one arrives for which `is_wanted` returns true.
    async fn wait_for_report(&self, is_wanted: impl Fn(&EngineReport) -> bool) -> EngineReport {
        time::timeout(REPORT_TIMEOUT, async {
            let mut buffer = vec![0; 1_400];
            loop {
                self.send_directive(None).await;
                let received = self.router.recv_from(&mut buffer);
                let Ok(received) = time::timeout(Duration::from_millis(50), received).await else {
                    continue;
                };
                let (length, _) = received.unwrap();
                if let Ok(Datagram::Engine(report)) = decode(&buffer[..length])
                    && is_wanted(&report)
                {
                    return report;
                }
            }
        })
        .await
        .expect("the expected report did not arrive")
    }
}

fn version(report: &EngineReport) -> Option<u64> {
    Some(report.state.as_ref()?.models.first()?.version)
}

#[tokio::test]
async fn a_router_that_requests_reports_gets_the_engines_state() {
    let setup = start().await;

    let report = setup.wait_for_report(|report| report.state.is_some()).await;

    assert_eq!(version(&report), Some(1));
    assert_eq!(report.state.unwrap().memory_tokens, 90_000);
}

#[tokio::test]
async fn an_engine_loads_wanted_weights_and_never_older_ones() {
    let setup = start().await;
    setup.wait_for_report(|report| report.state.is_some()).await;

    for wanted in [3, 2, 3] {
        setup.send_directive(Some(wanted)).await;
    }
    setup.wait_for_report(|report| version(report) == Some(3)).await;
    setup.send_directive(Some(2)).await;
    setup.wait_for_report(|report| report.sequence > 20).await;

    assert_eq!(setup.engine.version(), 3);
}

/// Routers must learn of an engine's crash without waiting for requests to fail.
#[tokio::test]
async fn reports_that_the_engine_stops_answering_and_answers_again() {
    let setup = start().await;
    setup.wait_for_report(|report| report.state.is_some()).await;

    setup.engine.stop().await;
    setup.wait_for_report(|report| report.state.is_none()).await;
    setup.engine.resume().unwrap();

    setup.wait_for_report(|report| version(report) == Some(1)).await;
}

#[tokio::test]
async fn invalid_datagrams_are_ignored() {
    let setup = start().await;
    for bytes in [&b""[..], &[9, 1, 2], &[1, 255, 255], &[1; 900]] {
        setup.router.send_to(bytes, setup.sidecar).await.unwrap();
    }

    let report = setup.wait_for_report(|report| report.state.is_some()).await;

    assert_eq!(version(&report), Some(1));
}

async fn read(address: SocketAddr, path: &str) -> String {
    let mut connection = Connection::open(address, 1_000).await.unwrap();
    let request =
        Request::get(path).header("host", "sidecar").body(Full::<Bytes>::default()).unwrap();
    let (_, body) = connection.exchange(request, 1_000_000).await.unwrap();
    String::from_utf8(body.to_vec()).unwrap()
}

#[tokio::test]
async fn operators_read_metrics_and_state() {
    let setup = start().await;
    setup.wait_for_report(|report| report.state.is_some()).await;
    setup.send_directive(Some(3)).await;
    setup.wait_for_report(|report| version(report) == Some(3)).await;

    let metrics = read(setup.admin, "/metrics").await;
    let dump: serde_json::Value = serde_json::from_str(&read(setup.admin, "/dump").await).unwrap();

    for line in [
        "samphirespread_engine_orders_total{cause=\"accepted\"} 1",
        "samphirespread_routers 1",
        "samphirespread_engine_report_seconds_count",
    ] {
        assert!(metrics.contains(line), "{line} in\n{metrics}");
    }
    assert_eq!(dump["engine"]["models"][0]["version"], 3);
    assert_eq!(dump["instance"], "s1");
}
