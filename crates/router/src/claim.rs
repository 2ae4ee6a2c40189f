//! Claims idempotency keys through objects in the platform.
//!
//! A claim is created before the call runs and is removed only if the call is known never to have
//! run. A router that finds an existing claim doesn't run the call.

use samphirespread_core::prelude::*;
use samphirespread_platform::{Platform, PlatformError, StorePlatform, api::ObjectVersion};
use sha2::{Digest, Sha256};

const CLAIM_PREFIX: &str = "claims/";
const MAX_RELEASE_ATTEMPTS: u32 = 20;
const RELEASE_RETRY_MS: u64 = 500;

/// An idempotency key claimed for one request.
#[derive(Debug)]
pub(crate) struct Claim {
    platform: StorePlatform,
    object_key: String,
    owner: String,
    version: ObjectVersion,
}

/// Why a key could not be claimed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ClaimError {
    /// Another request has claimed the key.
    AlreadyClaimed,
    /// The platform can't record the claim at present.
    Unavailable,
}

impl Claim {
    /// Claims a key for a request.
    pub(crate) async fn acquire(
        platform: &StorePlatform,
        team: &TeamName,
        route: &str,
        key: &[u8],
        request: RequestId,
    ) -> Result<Self, ClaimError> {
        let object_key = object_key(team, route, key);
        let owner = request.to_string();
        let version = match platform.create(&object_key, &owner).await {
            Ok(version) => version,
            Err(PlatformError::Conflict) => return Err(ClaimError::AlreadyClaimed),
            Err(error) if error.effect_unknown() => {
                match Self::read_owner(platform, &object_key, &owner).await {
                    Some(result) => result?,
                    None => {
                        spawn_release(platform.clone(), object_key, owner);
                        return Err(ClaimError::Unavailable);
                    }
                }
            }
            Err(_) => return Err(ClaimError::Unavailable),
        };
        Ok(Self { platform: platform.clone(), object_key, owner, version })
    }

    /// Removes the claim so that the key can be claimed again. Only valid if the call never ran.
    pub(crate) fn release(self) {
        tokio::spawn(async move {
            if self.platform.delete_if(&self.object_key, self.version).await.is_err() {
                release_with_retries(&self.platform, &self.object_key, &self.owner).await;
            }
        });
    }

    /// Reads who has the key after the answer to the write was lost. Returns `None` if that can't
    /// be determined.
    async fn read_owner(
        platform: &StorePlatform,
        object_key: &str,
        owner: &str,
    ) -> Option<Result<ObjectVersion, ClaimError>> {
        let object = platform.get(object_key).await.ok()??;
        if object.value.as_deref() == Some(owner) {
            return Some(Ok(object.version));
        }
        Some(Err(ClaimError::AlreadyClaimed))
    }
}

fn spawn_release(platform: StorePlatform, object_key: String, owner: String) {
    tokio::spawn(async move { release_with_retries(&platform, &object_key, &owner).await });
}

/// Deletes the claim if the request still owns it. Gives up after [`MAX_RELEASE_ATTEMPTS`].
async fn release_with_retries(platform: &StorePlatform, object_key: &str, owner: &str) {
    for _ in 0..MAX_RELEASE_ATTEMPTS {
        tokio::time::sleep(std::time::Duration::from_millis(RELEASE_RETRY_MS)).await;
        let Ok(object) = platform.get(object_key).await else { continue };
        // The object may be missing because a write with an unknown outcome has yet to arrive.
        let Some(object) = object else { continue };
        if object.value.as_deref() != Some(owner) {
            return;
        }
        if platform.delete_if(object_key, object.version).await.is_ok() {
            return;
        }
    }
}

// Each part is hashed with its length, so that different triples never give the same input.
fn object_key(team: &TeamName, route: &str, key: &[u8]) -> String {
    let mut digest = Sha256::new();
    for part in [team.as_str().as_bytes(), route.as_bytes(), key] {
        digest.update((part.len() as u64).to_le_bytes());
        digest.update(part);
    }
    let hex: String = digest.finalize().iter().map(|byte| format!("{byte:02x}")).collect();
    format!("{CLAIM_PREFIX}{hex}")
}
