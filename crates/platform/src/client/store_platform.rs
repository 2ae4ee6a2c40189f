//! Implementation of [`Platform`] by the platform's store of objects.

use std::{net::SocketAddr, sync::Arc};

use samphirespread_adapter::{
    self as adapter, Change, DecodeError, EncodedObject, Kind, Object as StoredObject, Store,
    StoreError, Written,
};
use samphirespread_core::prelude::*;
use serde_json::Value;

use super::{Platform, PlatformError};
use crate::api::{Listing, LiveInstance, LiveList, Object, ObjectVersion};

/// Prefix of the keys of claims, which record the idempotency keys that requests have taken.
const CLAIM_PREFIX: &str = "claims/";
/// Prefix of the keys of quota share tables.
const SHARE_PREFIX: &str = "shares/";

/// Client of the platform's store of objects. Clones share their connections.
///
/// Each call is sent once, since only the caller knows whether a lost call may be repeated. An
/// object is stored under its whole key, in the kind that the key's prefix selects.
#[derive(Clone, Debug)]
pub struct StorePlatform {
    store: Arc<Store>,
}

impl StorePlatform {
    /// Creates a client of the store at `address` whose calls fail after `timeout_ms`; for a watch,
    /// its wait is added. The client sends nothing before the first call.
    pub fn new(address: SocketAddr, timeout_ms: u64) -> Self {
        Self { store: Arc::new(Store::new(address, timeout_ms)) }
    }

    async fn list_all(&self, prefix: &str) -> Result<Listing, PlatformError> {
        let found = self.store.list(kind_of(prefix), |entry| decode(entry, prefix)).await?;
        check_all_readable(&found.unreadable)?;
        let version = version_of(found.position)?;
        let objects = found.objects.into_iter().map(to_object).collect::<Result<_, _>>()?;
        Ok(Listing { version, objects })
    }

    async fn live_list(&self) -> Result<LiveList, PlatformError> {
        // An entry that another writer has left names no instance, and the others hold.
        let decode = |entry: &EncodedObject<'_>| entry.decode::<LiveInstance>("an instance").ok();
        let found = self.store.list(Kind::Instances, decode).await?;
        Ok(LiveList { version: version_of(found.position)?, instances: found.objects })
    }
}

impl Platform for StorePlatform {
    async fn get(&self, key: &str) -> Result<Option<Object>, PlatformError> {
        let found = self.store.get::<String>(kind_of(key), key).await?;
        found.map(to_object).transpose()
    }

    async fn list(&self, prefix: &str) -> Result<Listing, PlatformError> {
        self.list_all(prefix).await
    }

    async fn put_if(
        &self,
        key: &str,
        expected: ObjectVersion,
        value: &str,
    ) -> Result<ObjectVersion, PlatformError> {
        let value = Value::from(value);
        let written = self.store.replace(kind_of(key), key, expected.position(), &value).await?;
        written_version(&written)
    }

    async fn create(&self, key: &str, value: &str) -> Result<ObjectVersion, PlatformError> {
        written_version(&self.store.create(kind_of(key), key, &Value::from(value)).await?)
    }

    async fn delete_if(&self, key: &str, expected: ObjectVersion) -> Result<(), PlatformError> {
        written_version(&self.store.remove(kind_of(key), key, expected.position()).await?)?;
        Ok(())
    }

    async fn watch(
        &self,
        prefix: &str,
        after: ObjectVersion,
        wait_ms: u64,
    ) -> Result<Listing, PlatformError> {
        let decode = |entry: &EncodedObject<'_>| decode(entry, prefix);
        let watched = self.store.watch(kind_of(prefix), after.position(), wait_ms, decode).await;
        let found = match watched {
            Err(StoreError::HistoryGone) => return self.list_all(prefix).await,
            found => found?,
        };
        check_all_readable(&found.unreadable)?;
        let version = version_of(found.position)?;
        let mut listing = Listing { version, objects: Vec::new() };
        for change in found.changes {
            match change {
                Change::Set(object) => listing.objects.push(to_object(object)?),
                Change::Removed(key) if key.starts_with(prefix) => {
                    listing.objects.push(Object { key, version, value: None });
                }
                // A document without the prefix was changed or deleted.
                Change::Removed(_) => {}
            }
        }
        Ok(listing)
    }

    async fn instances(
        &self,
        after: Option<ObjectVersion>,
    ) -> Result<Option<LiveList>, PlatformError> {
        let Some(after) = after else { return self.live_list().await.map(Some) };
        let note_change = |_: &EncodedObject<'_>| None::<()>;
        match self.store.watch(Kind::Instances, after.position(), 0, note_change).await {
            Ok(found) if found.changes.is_empty() && found.unreadable.is_empty() => Ok(None),
            Ok(_) | Err(StoreError::HistoryGone) => self.live_list().await.map(Some),
            Err(error) => Err(error.into()),
        }
    }
}

/// Returns the kind in which the object with this key, or the objects with this key prefix, are
/// stored.
pub fn kind_of(key: &str) -> Kind {
    if key.starts_with(CLAIM_PREFIX) {
        return Kind::Claims;
    }
    if key.starts_with(SHARE_PREFIX) {
        return Kind::QuotaShares;
    }
    Kind::Documents
}

fn version_of(position: StorePosition) -> Result<ObjectVersion, PlatformError> {
    let too_high = || malformed(&format!("position {position} of the store is too high"));
    ObjectVersion::of(position).ok_or_else(too_high)
}

/// Decodes a document whose key begins with the prefix.
fn decode(
    entry: &EncodedObject<'_>,
    prefix: &str,
) -> Option<StoredObject<Result<String, DecodeError>>> {
    let is_wanted = entry.name.starts_with(prefix);
    is_wanted.then(|| entry.with_spec(entry.decode("a document")))
}

fn to_object(object: StoredObject<Result<String, DecodeError>>) -> Result<Object, PlatformError> {
    let Ok(value) = object.spec else {
        return Err(malformed(&format!("{}: the object's spec is not a string", object.name)));
    };
    let version = version_of(object.position)?;
    Ok(Object { key: object.name, version, value: Some(value) })
}

fn written_version(written: &Written) -> Result<ObjectVersion, PlatformError> {
    match written {
        Written::Done { position } => version_of(*position),
        Written::Conflict | Written::Missing => Err(PlatformError::Conflict),
    }
}

/// Returns an error if an object could not be decoded. Only this product writes objects of these
/// kinds, so an undecodable one is a fault that the caller has to learn of.
fn check_all_readable(unreadable: &[adapter::DecodeError]) -> Result<(), PlatformError> {
    unreadable.first().map_or(Ok(()), |error| Err(malformed(error)))
}

fn malformed(error: &impl ToString) -> PlatformError {
    PlatformError::Malformed { message: error.to_string() }
}

impl From<StoreError> for PlatformError {
    fn from(error: StoreError) -> Self {
        match error {
            StoreError::RateLimited => Self::RateLimited,
            StoreError::Unreachable(message) => Self::Unavailable { message },
            StoreError::Unavailable => Self::Unavailable { message: error.to_string() },
            StoreError::Malformed(error) => malformed(&error),
            StoreError::Status(status) => Self::Refused { status },
            error => Self::Lost { message: error.to_string() },
        }
    }
}
