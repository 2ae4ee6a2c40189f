//! The stand-in platform through the real client.

use samphirespread_core::prelude::*;
use samphirespread_platform::{
    HttpPlatform, HttpPlatformConfig, Platform as _, PlatformError,
    api::{LiveInstance, LiveState, ObjectVersion, Role},
};
use samphirespread_standin::platform::{Outage, Platform, PlatformConfig};

async fn platform(config: PlatformConfig) -> (Platform, HttpPlatform) {
    let platform = Platform::start(config).await.expect("a port is free");
    let address = platform.address().to_string();
    let client = HttpPlatform::new(HttpPlatformConfig::new(address).timeout_ms(400));
    (platform, client)
}

fn instance(name: &str) -> LiveInstance {
    LiveInstance {
        name: InstanceName::new(name),
        role: Role::Router,
        address: "127.0.0.1:1".to_owned(),
        admin: None,
        region: "north".to_owned(),
        failure_domain: "north-1".to_owned(),
        set: None,
        state: LiveState::Live,
    }
}

#[tokio::test]
async fn writes_are_conditional() {
    let (_platform, client) = platform(PlatformConfig::new()).await;

    let first = client.create("config/head", "one").await.unwrap();
    let again = client.create("config/head", "two").await;
    let second = client.put_if("config/head", first, "two").await.unwrap();
    let old = client.put_if("config/head", first, "three").await;
    let found = client.get("config/head").await.unwrap().unwrap();

    assert_eq!(again, Err(PlatformError::Conflict));
    assert_eq!(old, Err(PlatformError::Conflict));
    assert_eq!((found.version, found.value.as_deref()), (second, Some("two")));
    assert!(second > first);
}

#[tokio::test]
async fn a_deleted_object_can_be_created_again() {
    let (_platform, client) = platform(PlatformConfig::new()).await;
    let version = client.create("a/b c%", "one").await.unwrap();

    client.delete_if("a/b c%", version).await.unwrap();

    assert_eq!(client.get("a/b c%").await, Ok(None));
    assert_eq!(client.delete_if("a/b c%", version).await, Err(PlatformError::Conflict));
    assert!(client.create("a/b c%", "two").await.unwrap() > version);
}

#[tokio::test]
async fn a_list_holds_what_is_below_its_prefix() {
    let (_platform, client) = platform(PlatformConfig::new()).await;
    for key in ["a/1", "a/2", "b/1"] {
        client.create(key, key).await.unwrap();
    }

    let listing = client.list("a/").await.unwrap();

    let keys: Vec<&str> = listing.objects.iter().map(|object| object.key.as_str()).collect();
    assert_eq!(keys, ["a/1", "a/2"]);
    assert_eq!(listing.version, ObjectVersion(3));
}

#[tokio::test]
async fn a_watch_ends_with_a_change_or_with_its_wait() {
    let (platform, client) = platform(PlatformConfig::new()).await;
    let watch = {
        let client = client.clone();
        tokio::spawn(async move { client.watch("config/", ObjectVersion(0), 10_000).await })
    };
    while platform.calls().watches == 0 {
        tokio::time::sleep(std::time::Duration::from_millis(5)).await;
    }

    let version = platform.put_object("config/head", "one");
    let changed = watch.await.unwrap().unwrap();
    let quiet = client.watch("config/", version, 20).await.unwrap();

    assert_eq!(changed.objects.len(), 1);
    assert_eq!(changed.version, version);
    assert_eq!(quiet.objects, []);
}

#[tokio::test]
async fn a_lost_answer_leaves_the_effect() {
    let (platform, client) = platform(PlatformConfig::new()).await;
    platform.lose_next_answers(1);

    let lost = client.create("a", "one").await.unwrap_err();

    assert!(lost.effect_unknown(), "{lost:?}");
    assert_eq!(client.get("a").await.unwrap().unwrap().value.as_deref(), Some("one"));
    assert_eq!(platform.calls().answers_lost, 1);
}

#[tokio::test]
async fn an_outage_is_told_from_a_lost_answer() {
    let (platform, client) = platform(PlatformConfig::new()).await;

    platform.set_outage(Outage::Unavailable);
    let unavailable = client.create("a", "one").await.unwrap_err();
    platform.set_outage(Outage::Silent);
    let silent = client.create("a", "one").await.unwrap_err();
    platform.set_outage(Outage::None);

    assert!(!unavailable.effect_unknown(), "{unavailable:?}");
    assert!(silent.effect_unknown(), "{silent:?}");
    assert!(client.get("b").await.unwrap().is_none());
}

#[tokio::test]
async fn calls_past_a_rate_are_refused() {
    let (platform, client) = platform(PlatformConfig::new().reads_per_s(3)).await;

    let mut refused = 0;
    for _ in 0..20 {
        refused += u32::from(client.get("a").await == Err(PlatformError::RateLimited));
    }

    assert!(refused > 0);
    assert_eq!(platform.calls().rate_limited, u64::from(refused));
    assert_eq!(platform.calls().reads, 20);
}

#[tokio::test]
async fn the_live_list_lags_and_freezes() {
    let (platform, client) = platform(PlatformConfig::new().list_lag_ms(100)).await;
    platform.put_instance(instance("r1"));

    let early = client.instances(None).await.unwrap().unwrap();
    let mut later = early.clone();
    while later.instances.is_empty() {
        tokio::time::sleep(std::time::Duration::from_millis(10)).await;
        later = client.instances(Some(early.version)).await.unwrap().unwrap_or(later);
    }
    platform.set_list_frozen(true);
    platform.set_list_lag_ms(0);
    platform.remove_instance(&InstanceName::new("r1"));
    let frozen = client.instances(Some(later.version)).await.unwrap();
    platform.set_list_frozen(false);
    let thawed = client.instances(Some(later.version)).await.unwrap().unwrap();

    assert_eq!(early.instances, []);
    assert_eq!(later.instances, [instance("r1")]);
    assert_eq!(frozen, None);
    assert_eq!(thawed.instances, []);
}
