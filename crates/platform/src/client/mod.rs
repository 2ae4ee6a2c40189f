//! Interface to the platform, and its implementation by the platform's store.

mod error;
mod store_platform;

use std::future::Future;

pub use self::{
    error::PlatformError,
    store_platform::{StorePlatform, kind_of},
};
use crate::api::{Listing, LiveList, Object, ObjectVersion};

/// Interface to the platform.
///
/// Each call counts once towards the platform's rate limit, including a watch that waits.
pub trait Platform: Clone + Send + Sync + 'static {
    /// Returns the object with a key, or `None` if it does not exist.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform did not answer or refused the call.
    fn get(&self, key: &str) -> impl Future<Output = Result<Option<Object>, PlatformError>> + Send;

    /// Returns all objects whose keys start with a prefix.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform did not answer or refused the call.
    fn list(&self, prefix: &str) -> impl Future<Output = Result<Listing, PlatformError>> + Send;

    /// Replaces an object if it still has the expected version. Returns the new version.
    ///
    /// # Errors
    ///
    /// Returns [`PlatformError::Conflict`] if the version differs. The object may have been
    /// replaced in spite of an error for which
    /// [`effect_unknown`](PlatformError::effect_unknown) is true.
    fn put_if(
        &self,
        key: &str,
        expected: ObjectVersion,
        value: &str,
    ) -> impl Future<Output = Result<ObjectVersion, PlatformError>> + Send;

    /// Creates an object if it does not exist. Returns its version.
    ///
    /// # Errors
    ///
    /// Returns [`PlatformError::Conflict`] if the object exists. As with
    /// [`put_if`](Platform::put_if), a failed call may have taken effect.
    fn create(
        &self,
        key: &str,
        value: &str,
    ) -> impl Future<Output = Result<ObjectVersion, PlatformError>> + Send;

    /// Deletes an object if it still has the expected version.
    ///
    /// # Errors
    ///
    /// Returns [`PlatformError::Conflict`] if the version differs. As with
    /// [`put_if`](Platform::put_if), a failed call may have taken effect.
    fn delete_if(
        &self,
        key: &str,
        expected: ObjectVersion,
    ) -> impl Future<Output = Result<(), PlatformError>> + Send;

    /// Waits up to `wait_ms` for changes after a version to objects whose keys start with a prefix.
    ///
    /// The listing contains the changed objects; deleted ones have no value. It may be empty, even
    /// before the wait is over. If the platform no longer has the history since that version, the
    /// listing contains all existing objects.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform did not answer or refused the call.
    fn watch(
        &self,
        prefix: &str,
        after: ObjectVersion,
        wait_ms: u64,
    ) -> impl Future<Output = Result<Listing, PlatformError>> + Send;

    /// Returns the live list, or `None` if its version is still `after`.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform did not answer or refused the call.
    fn instances(
        &self,
        after: Option<ObjectVersion>,
    ) -> impl Future<Output = Result<Option<LiveList>, PlatformError>> + Send;
}
