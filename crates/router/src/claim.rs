//! Claims of idempotency keys in the platform.
//!
//! A claim is created before the call runs and is only removed when the call is known never to
//! have run. Whoever finds a claim does not run the call.

use samphirespread_core::prelude::*;
use samphirespread_platform::{Platform, PlatformError, StorePlatform, api::ObjectVersion};
use sha2::{Digest, Sha256};

const CLAIM_PREFIX: &str = "claims/";
const RELEASE_TRIES: u32 = 20;
const RELEASE_RETRY_MS: u64 = 500;

/// An idempotency key that belongs to one request.
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
    /// Another request has it.
    Taken,
    /// The platform can't record it now.
    Unavailable,
}

impl Claim {
    /// Claims a key for a request.
    pub(crate) async fn take(
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
            Err(PlatformError::Conflict) => return Err(ClaimError::Taken),
            Err(error) if error.effect_unknown() => {
                match Self::resolve(platform, &object_key, &owner).await {
                    Some(resolved) => resolved?,
                    None => {
                        release_later(platform.clone(), object_key, owner);
                        return Err(ClaimError::Unavailable);
                    }
                }
            }
            Err(_) => return Err(ClaimError::Unavailable),
        };
        Ok(Self { platform: platform.clone(), object_key, owner, version })
    }

    /// Lets the key be claimed again, since the call never ran.
    pub(crate) fn release(self) {
        tokio::spawn(async move {
            if self.platform.delete_if(&self.object_key, self.version).await.is_err() {
                release(&self.platform, &self.object_key, &self.owner).await;
            }
        });
    }

    // The answer to the write was lost, so the object itself tells who has the key.
    async fn resolve(
        platform: &StorePlatform,
        object_key: &str,
        owner: &str,
    ) -> Option<Result<ObjectVersion, ClaimError>> {
        let object = platform.get(object_key).await.ok()??;
        if object.value.as_deref() == Some(owner) {
            return Some(Ok(object.version));
        }
        Some(Err(ClaimError::Taken))
    }
}

fn release_later(platform: StorePlatform, object_key: String, owner: String) {
    tokio::spawn(async move { release(&platform, &object_key, &owner).await });
}

async fn release(platform: &StorePlatform, object_key: &str, owner: &str) {
    for _ in 0..RELEASE_TRIES {
        tokio::time::sleep(std::time::Duration::from_millis(RELEASE_RETRY_MS)).await;
        let Ok(object) = platform.get(object_key).await else { continue };
        // Nothing there yet does not mean that a lost write can't still arrive.
        let Some(object) = object else { continue };
        if object.value.as_deref() != Some(owner) {
            return;
        }
        if platform.delete_if(object_key, object.version).await.is_ok() {
            return;
        }
    }
}

// Hashed with lengths, so that no two triples run into each other.
fn object_key(team: &TeamName, route: &str, key: &[u8]) -> String {
    let mut digest = Sha256::new();
    for part in [team.as_str().as_bytes(), route.as_bytes(), key] {
        digest.update((part.len() as u64).to_le_bytes());
        digest.update(part);
    }
    let hex: String = digest.finalize().iter().map(|byte| format!("{byte:02x}")).collect();
    format!("{CLAIM_PREFIX}{hex}")
}
