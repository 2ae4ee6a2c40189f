//! What the system asks of the platform, and how the platform's store answers it.

mod error;
mod store_platform;

use std::future::Future;

pub use self::{
    error::PlatformError,
    store_platform::{StorePlatform, kind_of},
};
use crate::api::{Listing, LiveList, Object, ObjectVersion};

/// What the system asks of the platform.
///
/// Every call is one call against the platform's rates, a waiting watch as well.
pub trait Platform: Clone + Send + Sync + 'static {
    /// The object under a key, or `None` when there is none.
    ///
    /// # Errors
    ///
    /// When the platform did not answer or refused.
    fn get(&self, key: &str) -> impl Future<Output = Result<Option<Object>, PlatformError>> + Send;

    /// All objects whose key starts with a prefix.
    ///
    /// # Errors
    ///
    /// When the platform did not answer or refused.
    fn list(&self, prefix: &str) -> impl Future<Output = Result<Listing, PlatformError>> + Send;

    /// Replaces an object that still has the expected version. Returns the new version.
    ///
    /// # Errors
    ///
    /// [`PlatformError::Conflict`] when the version differs. The object may have been replaced
    /// all the same when the error's [`effect_unknown`](PlatformError::effect_unknown) says so.
    fn put_if(
        &self,
        key: &str,
        expected: ObjectVersion,
        value: &str,
    ) -> impl Future<Output = Result<ObjectVersion, PlatformError>> + Send;

    /// Creates an object that does not exist. Returns its version.
    ///
    /// # Errors
    ///
    /// [`PlatformError::Conflict`] when it exists; see [`put_if`](Platform::put_if).
    fn create(
        &self,
        key: &str,
        value: &str,
    ) -> impl Future<Output = Result<ObjectVersion, PlatformError>> + Send;

    /// Deletes an object that still has the expected version.
    ///
    /// # Errors
    ///
    /// [`PlatformError::Conflict`] when the version differs; see [`put_if`](Platform::put_if).
    fn delete_if(
        &self,
        key: &str,
        expected: ObjectVersion,
    ) -> impl Future<Output = Result<(), PlatformError>> + Send;

    /// Waits for changes below a prefix after a version. The listing holds what changed, a deleted
    /// object without value. It may be empty, also before the wait is over. When the platform has
    /// forgotten what changed, the listing holds all objects that there are.
    ///
    /// # Errors
    ///
    /// When the platform did not answer or refused.
    fn watch(
        &self,
        prefix: &str,
        after: ObjectVersion,
        wait_ms: u64,
    ) -> impl Future<Output = Result<Listing, PlatformError>> + Send;

    /// The live list, or `None` when its version is still `after`.
    ///
    /// # Errors
    ///
    /// When the platform did not answer or refused.
    fn instances(
        &self,
        after: Option<ObjectVersion>,
    ) -> impl Future<Output = Result<Option<LiveList>, PlatformError>> + Send;
}
