//! Watches the platform's head object and polls its live list.

use std::sync::Arc;

use samphirespread_config::{Snapshot, SnapshotError, model::Head};
use samphirespread_platform::{Platform, PlatformError, api::ObjectVersion};
use slog::debug;

use super::{
    sleep_ms,
    store::{adopt_config, adopt_live_list, log_refused_config},
};
use crate::state::Shared;

const HEAD_KEY: &str = "config/head";
const SECTION_PREFIX: &str = "config/section/";
const RETRY_DELAY_MS: u64 = 250;

/// Watches the head object and puts each newer configuration into force.
pub(super) async fn follow_head(shared: Arc<Shared>) {
    let mut after = ObjectVersion::default();
    loop {
        if !shared.reads_platform() {
            sleep_ms(RETRY_DELAY_MS).await;
            continue;
        }
        let sent = shared.clock.now();
        match read_head(&shared, after).await {
            Ok(version) => {
                // A head whose sections are not all available yet is read again.
                after = version.unwrap_or(after);
                shared.with_contact(|contact| contact.platform_answered(sent));
                if version.is_none() {
                    sleep_ms(RETRY_DELAY_MS).await;
                }
            }
            Err(error) => {
                debug!(shared.log, "platform can't be read"; "error" => %error);
                sleep_ms(RETRY_DELAY_MS).await;
            }
        }
    }
}

/// Reads the head, at once the first time and later when it changes, and returns the version to
/// watch from next. Returns `None` if sections are missing.
async fn read_head(
    shared: &Arc<Shared>,
    after: ObjectVersion,
) -> Result<Option<ObjectVersion>, PlatformError> {
    let wait_ms = if after == ObjectVersion::default() {
        0
    } else {
        // An answer proves contact as of the time of the request, so the wait must end well before
        // the contact counts as stale.
        (shared.settings.peers.stale_config_ms / 3).min(shared.settings.platform.poll_ms)
    };
    let listing = shared.platform.watch(HEAD_KEY, after, wait_ms).await?;
    for object in &listing.objects {
        let Some(text) = object.value.as_deref().filter(|_| object.key == HEAD_KEY) else {
            continue;
        };
        let sections = missing_sections(shared, text).await?;
        if let Err(error) = adopt_config(shared, text, &sections) {
            log_refused_config(shared, &error);
            if let SnapshotError::MissingSections { .. } = error {
                return Ok(None);
            }
        }
    }
    Ok(Some(listing.version))
}

async fn missing_sections(shared: &Shared, head: &str) -> Result<Vec<String>, PlatformError> {
    let Ok(head) = Head::parse(head) else { return Ok(Vec::new()) };
    let current: Arc<Snapshot> = shared.snapshot.load_full();
    let mut sections = Vec::new();
    for hash in current.missing_sections(&head) {
        let object = shared.platform.get(&format!("{SECTION_PREFIX}{hash}")).await?;
        sections.extend(object.and_then(|object| object.value));
    }
    Ok(sections)
}

/// Reads the live list from the platform at an interval.
pub(super) async fn follow_live_list(shared: Arc<Shared>) {
    loop {
        if !shared.reads_platform() {
            sleep_ms(shared.settings.platform.poll_ms).await;
            continue;
        }
        let have = shared.with_live(|view| view.version());
        let after = (have != ObjectVersion::default()).then_some(have);
        match shared.platform.instances(after).await {
            Ok(Some(live)) => adopt_live_list(&shared, live),
            // The limiter relies on an instance's absence only while the platform keeps confirming
            // it.
            Ok(None) => shared.admission.apply_live_list(&shared.live_list()),
            Err(error) => debug!(shared.log, "live list can't be read"; "error" => %error),
        }
        sleep_ms(shared.settings.platform.poll_ms).await;
    }
}
