//! The stand-in service and the kept-cache store, called directly.

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper_util::{client::legacy::Client, rt::TokioExecutor};
use samphirespread_core::prelude::*;
use samphirespread_engine::{EngineClient, EngineClientConfig, api::BlockTransfer};
use samphirespread_standin::{
    kept_cache::{KeptCache, KeptCacheConfig},
    service::{RUN_HEADER, Service, ServiceConfig, ServiceFault},
};

async fn call(
    service: &Service,
    id: &str,
    body: &'static str,
) -> Result<Response<Incoming>, hyper_util::client::legacy::Error> {
    let request = Request::post(format!("http://{}/notices?draft=1", service.address()))
        .header("x-call-id", id)
        .body(Full::new(Bytes::from_static(body.as_bytes())))
        .expect("the request is well formed");
    Client::builder(TokioExecutor::new()).build_http().request(request).await
}

#[tokio::test]
async fn each_call_is_a_run_on_record() {
    let service = Service::start(ServiceConfig::new()).await.unwrap();

    let first = call(&service, "a", "one").await.unwrap();
    let second = call(&service, "a", "").await.unwrap();

    assert_eq!(first.headers()[RUN_HEADER], "0");
    assert_eq!(first.into_body().collect().await.unwrap().to_bytes(), "one");
    assert_eq!(second.into_body().collect().await.unwrap().to_bytes(), "run 1");
    let runs = service.runs_of("a");
    assert_eq!(runs.len(), 2);
    assert_eq!((runs[0].method.as_str(), runs[0].path.as_str()), ("POST", "/notices?draft=1"));
    assert!(service.requests()[0].contains("one"));
}

#[tokio::test]
async fn faults_fall_before_the_run_after_it_or_into_its_answer() {
    let service = Service::start(ServiceConfig::new()).await.unwrap();

    service.fail_next(1, ServiceFault::DropBeforeRun);
    assert!(call(&service, "a", "one").await.is_err());
    service.fail_next(1, ServiceFault::LoseAnswer);
    assert!(call(&service, "b", "one").await.is_err());
    service.fail_next(1, ServiceFault::CutBody);
    let cut = call(&service, "c", "one").await.unwrap();

    assert!(cut.into_body().collect().await.is_err());
    assert_eq!(service.runs_of("a").len(), 0);
    assert!(service.runs_of("b")[0].finished);
    assert!(service.runs_of("c")[0].finished);
}

#[tokio::test]
async fn a_service_that_dies_leaves_its_run_unfinished() {
    let service = Service::start(ServiceConfig::new().run_ms(60_000)).await.unwrap();

    let (answer, down) = tokio::join!(call(&service, "a", "one"), async {
        while service.runs().is_empty() {
            tokio::time::sleep(std::time::Duration::from_millis(5)).await;
        }
        service.go_down().await
    });

    assert!(answer.is_err());
    assert!(down.is_ok());
    assert!(!service.runs_of("a")[0].finished);
    assert!(call(&service, "b", "one").await.unwrap_err().is_connect());
    service.come_back().unwrap();
    service.set_run_ms(0);
    assert!(call(&service, "c", "one").await.is_ok());
}

#[tokio::test]
async fn kept_blocks_stay_apart_by_version_and_salt() {
    let store = KeptCache::start(KeptCacheConfig::new().transfer_us_per_block(1)).await.unwrap();
    let client = EngineClient::new(EngineClientConfig::new(store.address().to_string()));
    let kept = BlockTransfer {
        cache_salt: "team-a".to_owned(),
        version: WeightsVersion::new("v1"),
        keys: vec![BlockKey(1), BlockKey(2)],
    };
    let more = BlockTransfer { keys: (1..9).map(BlockKey).collect(), ..kept.clone() };
    let newer = BlockTransfer { version: WeightsVersion::new("v2"), ..more.clone() };
    let other = BlockTransfer { cache_salt: "team-b".to_owned(), ..more.clone() };

    client.import(&kept).await.unwrap();

    assert_eq!(client.export(&more).await.unwrap(), kept);
    assert_eq!(client.export(&newer).await.unwrap().keys, []);
    assert_eq!(client.export(&other).await.unwrap().keys, []);
    assert_eq!(store.kept_blocks(), 2);
}
