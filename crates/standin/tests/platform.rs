//! The stand-in platform through the real client.

use samphirespread_core::prelude::*;
use samphirespread_platform::{
    Platform as _, PlatformError, StorePlatform,
    api::{LiveInstance, LiveState, ObjectVersion, Role},
};
use samphirespread_standin::platform::{Outage, Platform, PlatformConfig};

async fn platform(config: PlatformConfig) -> (Platform, StorePlatform) {
    let platform = Platform::start(config).await.expect("a port is free");
    let client = StorePlatform::new(platform.address(), 400);
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
    let mut last = ObjectVersion::default();
    for key in ["a/1", "a/2", "b/1"] {
        last = client.create(key, key).await.unwrap();
    }

    let listing = client.list("a/").await.unwrap();

    let keys: Vec<&str> = listing.objects.iter().map(|object| object.key.as_str()).collect();
    assert_eq!(keys, ["a/1", "a/2"]);
    assert_eq!(listing.version, last);
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

#[tokio::test]
async fn claims_wake_no_watch_of_documents() {
    let (platform, client) = platform(PlatformConfig::new()).await;
    let head = client.create("config/head", "one").await.unwrap();

    client.create("claims/1", "request").await.unwrap();
    let before = platform.calls().reads;
    let quiet = client.watch("config/", head, 30).await.unwrap();

    assert_eq!(quiet.objects, []);
    assert_eq!(platform.calls().reads, before + 1);
    assert_eq!(client.list("config/").await.unwrap().objects.len(), 1);
}

#[tokio::test]
async fn a_watch_past_the_history_gives_all_there_is() {
    let (platform, client) = platform(PlatformConfig::new()).await;
    let first = client.create("config/head", "one").await.unwrap();
    let second = client.put_if("config/head", first, "two").await.unwrap();
    platform.put_instance(instance("r1"));

    platform.forget_history();
    let listing = client.watch("config/", first, 10_000).await.unwrap();
    let live = client.instances(Some(first)).await.unwrap().expect("a list");

    let head = &listing.objects[0];
    assert_eq!((head.version, head.value.as_deref()), (second, Some("two")));
    assert_eq!(live.instances, [instance("r1")]);
}

#[tokio::test]
async fn calls_after_a_silence_use_no_connection_from_before() {
    let (platform, client) = platform(PlatformConfig::new()).await;
    let (one, two) = tokio::join!(client.get("a"), client.get("b"));
    assert_eq!((one, two), (Ok(None), Ok(None)));

    // Connections from before stay silent for good, as through a broken path.
    platform.set_outage(Outage::Silent);
    client.get("a").await.unwrap_err();
    platform.silence_open_connections();
    platform.set_outage(Outage::None);
    let after = client.get("b").await;

    assert_eq!(after, Ok(None));
}
