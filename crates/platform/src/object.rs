//! The platform's operations and the types that they exchange.

use crate::PlatformError;
use serde::{Deserialize, Serialize};
use std::time::Duration;
use wasabiyard_model::{Incarnation, InstanceId, Version};

/// A stored object with its version.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Object {
    /// Key, such as `groups/riga-1`.
    pub key: String,
    /// Version of this object; increases with each update and is the condition of the next one.
    pub version: Version,
    /// Document; in the result of a watch, `null` means that the object was deleted.
    pub value: serde_json::Value,
}

/// Condition under which a write takes effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Precondition {
    /// The object must not exist.
    Absent,
    /// The object must exist at this version.
    Version(Version),
}

/// Objects under a prefix, all of them from a list or the changed ones from a watch.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Changes {
    /// Revision of the whole store that the result reflects; the next watch continues from it.
    pub revision: u64,
    /// Current state of each object.
    pub objects: Vec<Object>,
}

/// State of an instance in the platform's list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ListedState {
    /// Is running.
    Live,
    /// Is about to be stopped.
    Leaving,
    /// The platform has not heard from it for long; it may still be running.
    Silent,
}

/// An entry of the platform's list of instances. The list is eventually consistent: an instance that was listed and is
/// now absent has ended, but one that was never listed may be running.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedInstance {
    /// Name of the instance.
    pub id: InstanceId,
    /// Incarnation of its process.
    pub incarnation: Incarnation,
    /// Address of its peer listener, `IP:PORT`.
    pub address: String,
    /// Failure domain.
    pub domain: String,
    /// State according to the platform.
    pub state: ListedState,
}

/// Operations of the platform. Each call counts as one against the platform's rate limits, also a watch that waits.
pub trait Platform: Send + Sync {
    /// Reads one object; `None` when it does not exist.
    fn get(&self, key: &str) -> impl Future<Output = Result<Option<Object>, PlatformError>> + Send;

    /// Writes one object if the condition `expect` holds and returns its new version.
    fn put(
        &self,
        key: &str,
        expect: Precondition,
        value: &serde_json::Value,
    ) -> impl Future<Output = Result<Version, PlatformError>> + Send;

    /// Deletes one object if it is at `version`.
    fn delete(&self, key: &str, version: Version) -> impl Future<Output = Result<(), PlatformError>> + Send;

    /// Reads all objects whose key starts with `prefix`.
    fn list(&self, prefix: &str) -> impl Future<Output = Result<Changes, PlatformError>> + Send;

    /// Reads all objects whose key starts with `prefix` from a state of the store that may be older than the call; the
    /// revision of the result tells which. A platform that offers no such read answers as [`Self::list`] does.
    fn list_stale(&self, prefix: &str) -> impl Future<Output = Result<Changes, PlatformError>> + Send {
        self.list(prefix)
    }

    /// Waits up to `timeout` for changes under `prefix` after revision `since`. The result has no objects when there were
    /// none.
    fn watch(
        &self,
        prefix: &str,
        since: u64,
        timeout: Duration,
    ) -> impl Future<Output = Result<Changes, PlatformError>> + Send;

    /// Reads the list of instances, which may be out of date.
    fn instances(&self) -> impl Future<Output = Result<Vec<ListedInstance>, PlatformError>> + Send;
}
