//! Records that carry news of crashes behind a payload that versions without such news decode.

use samphirespread_core::prelude::*;
use samphirespread_peer::{
    Payload, RouterState, decode_payload, decode_record, encode_payload, encode_record,
};
use samphirespread_routing::{
    crash_causes::{CauseKey, CauseNews, Crash, CrashCauses, Host},
    server_limit::ServerRun,
};

/// What one router at the target size may spend on verdicts, of the 4 KB a second for all control.
const MAX_VERDICT_BYTES: usize = 200;

fn payload() -> Payload {
    Payload::Router(RouterState { reads_store: true, ..RouterState::default() })
}

/// News of a cause with so many crashes, some seconds old.
fn news(crashes: u8) -> Vec<CauseNews> {
    let mut causes = CrashCauses::new(InstanceName::new("r1"));
    let part = CauseKey::of_part("a");
    for server in 0..crashes {
        let crash = Crash {
            run: ServerRun::of(&format!("i-{server}"), None),
            host: Host::of(([10, 0, 0, server], 80).into()),
            at: MonoTime::from_ms(1_000 * u64::from(server)),
            more_specific: Some(CauseKey::of_part("b").tag()),
        };
        causes.record_crash(part, crash, crash.at);
    }
    causes.news(u64::MAX, true, MonoTime::from_ms(20_000))
}

#[test]
fn news_comes_back_as_it_was() {
    let bytes = encode_record(&payload(), &news(3));

    assert_eq!(decode_record(&bytes).unwrap(), (payload(), news(3)));
}

/// In a rolling update, routers of the former version could not decode any record.
#[test]
fn versions_without_news_decode_the_payload_alone() {
    let bytes = encode_record(&payload(), &news(3));

    assert_eq!(decode_payload::<Payload>(&bytes).unwrap(), payload());
    assert_eq!(decode_record(&encode_payload(&payload())).unwrap(), (payload(), Vec::new()));
    assert_eq!(encode_record(&payload(), &[]), encode_payload(&payload()));
}

#[test]
fn bytes_that_are_no_news_are_an_error() {
    let mut bytes = encode_payload(&payload());
    bytes.extend([7, 1]);

    assert!(decode_record(&bytes).is_err());
}

#[test]
fn news_of_a_verdict_is_small() {
    let with_news = encode_record(&payload(), &news(5)).len();
    let bytes = with_news - encode_payload(&payload()).len();

    assert!(bytes <= MAX_VERDICT_BYTES, "{bytes} bytes");
}
