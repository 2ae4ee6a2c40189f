//! A real sidecar between a stand-in of its engine and a socket that plays the routers.

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
const PATIENCE: Duration = Duration::from_secs(20);

struct Site {
    engine: Worker,
    router: UdpSocket,
    sidecar: SocketAddr,
    admin: SocketAddr,
    _stop: tokio_util::sync::DropGuard,
}

async fn start() -> Site {
    let engine = Worker::start(WorkerConfig::new("e1", "engines").model(MODEL, 1)).unwrap();
    let text = format!(
        "[instance]\nname = s1\nregion = khomas\nfailure_domain = khomas-1\n\
         [listen]\npeers = 127.0.0.1:0\nadmin = 127.0.0.1:0\n\
         [engine]\naddress = {}\nreport_ms = 20\ntimeout_ms = 200\n",
        engine.address()
    );
    let settings = SidecarSettings::parse(&text).unwrap();
    let log_settings = LogSettings { format: LogFormat::Json, level: LogLevel::Error };
    let log = samphirespread_logging::to(&log_settings, std::io::sink());
    let sidecar = Sidecar::bind(settings, log).await.unwrap();
    let (address, admin) = (sidecar.peers_address(), sidecar.admin_address());
    let stop = CancellationToken::new();
    tokio::spawn(sidecar.run(stop.clone()));
    let router = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    Site { engine, router, sidecar: address, admin, _stop: stop.drop_guard() }
}

impl Site {
    async fn direct(&self, version: Option<u64>) {
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

    /// Asks until a report comes that is as wanted.
    async fn report(&self, is_wanted: impl Fn(&EngineReport) -> bool) -> EngineReport {
        time::timeout(PATIENCE, async {
            let mut buffer = vec![0; 1_400];
            loop {
                self.direct(None).await;
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
        .expect("no such report comes")
    }
}

fn version(report: &EngineReport) -> Option<u64> {
    Some(report.state.as_ref()?.models.first()?.version)
}

#[tokio::test]
async fn a_router_that_asks_gets_the_engines_state() {
    let site = start().await;

    let report = site.report(|report| report.state.is_some()).await;

    assert_eq!(version(&report), Some(1));
    assert_eq!(report.state.unwrap().memory_tokens, 90_000);
}

#[tokio::test]
async fn an_engine_loads_what_routers_want_and_never_older_weights() {
    let site = start().await;
    site.report(|report| report.state.is_some()).await;

    for wanted in [3, 2, 3] {
        site.direct(Some(wanted)).await;
    }
    site.report(|report| version(report) == Some(3)).await;
    site.direct(Some(2)).await;
    site.report(|report| report.sequence > 20).await;

    assert_eq!(site.engine.version(), 3);
}

/// The engine crashes; routers must not wait for requests to fail.
#[tokio::test]
async fn an_engine_that_does_not_answer_is_reported_gone_and_back() {
    let site = start().await;
    site.report(|report| report.state.is_some()).await;

    site.engine.stop().await;
    site.report(|report| report.state.is_none()).await;
    site.engine.resume().unwrap();

    site.report(|report| version(report) == Some(1)).await;
}

#[tokio::test]
async fn bytes_of_others_change_nothing() {
    let site = start().await;
    for bytes in [&b""[..], &[9, 1, 2], &[1, 255, 255], &[1; 900]] {
        site.router.send_to(bytes, site.sidecar).await.unwrap();
    }

    let report = site.report(|report| report.state.is_some()).await;

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
    let site = start().await;
    site.report(|report| report.state.is_some()).await;
    site.direct(Some(3)).await;
    site.report(|report| version(report) == Some(3)).await;

    let metrics = read(site.admin, "/metrics").await;
    let dump: serde_json::Value = serde_json::from_str(&read(site.admin, "/dump").await).unwrap();

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
