//! Tests of what a gateway knows of an engine by the time at which a run goes on there.

use std::time::Duration;

use samphirespread_core::prelude::*;
use samphirespread_peer::{Datagram, EngineReport, encode};
use samphirespread_standin::published::Behaviour;
use tokio::{net::UdpSocket, time};

use crate::{
    moves::{assert_contiguous, engines, received, site},
    support::{Site, eventually, generation},
};

/// Time for a datagram to be received.
const DELIVERY: Duration = Duration::from_millis(50);

/// Reports that the last engine doesn't answer, as its sidecar. All servers have the same IP address here,
/// so that a sidecar's report counts for the last engine.
async fn report_gone(site: &Site) {
    let sidecar = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    let report = EngineReport {
        from: InstanceName::new("s2"),
        incarnation: Incarnation(1),
        sequence: 1,
        state: None,
    };
    let bytes = encode(&Datagram::Engine(report));
    sidecar.send_to(&bytes, site.gateway.addresses.peers).await.unwrap();
    time::sleep(DELIVERY).await;
}

/// Guards against a stream that is lost as its run was stopped to be moved to an engine whose sidecar says
/// that it doesn't answer.
#[tokio::test]
async fn a_run_is_not_stopped_for_an_engine_that_is_reported_gone() {
    let site = site(&[]).await;
    let [first, last] = engines(&site) else { unreachable!("there are two engines") };
    first.expect_nothing();
    first.expect([Behaviour::StreamUntilMovedOrWhole(60)]);
    last.expect_nothing();
    last.expect([Behaviour::Refuse]);
    let leave = async {
        eventually(|| received(first).iter().any(|request| request.ran).then_some(())).await;
        last.stop().await;
        report_gone(&site).await;
        site.store.put("servers", first.id(), first.entry("draining"));
    };

    let (answer, ()) = tokio::join!(site.send(generation("/stream/a", "q1")), leave);

    assert!(answer.is_whole, "{:#?}", site.gateway.log.lines());
    assert_contiguous(&answer);
    assert!(first.copied().is_empty(), "{:?}", first.copied());
}
