//! The calls of the platform.

use crate::PlatformError;
use serde::{Deserialize, Serialize};
use std::time::Duration;
use wasabiyard_model::{Incarnation, InstanceId, Version};

/// An object with its version.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Object {
    /// Key, such as `groups/riga-1`.
    pub key: String,
    /// Version of this object.
    pub version: Version,
    /// Value; `null` in a watch means that the object was deleted.
    pub value: serde_json::Value,
}

/// The condition of an update.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Precondition {
    /// The object must not exist.
    Absent,
    /// The object must have this version.
    Version(Version),
}

/// Objects under a prefix that changed, and the revision up to which the platform was read.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Changes {
    /// Revision of the whole store.
    pub revision: u64,
    /// The objects.
    pub objects: Vec<Object>,
}

/// State of an instance in the platform's list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ListedState {
    /// Runs.
    Live,
    /// Will be stopped.
    Leaving,
    /// Has not been heard for long. It may still run.
    Silent,
}

/// An entry of the platform's list of instances. The list lags: an instance that is gone from it, after it was listed,
/// has ended; one that is not listed yet may run.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedInstance {
    /// Name.
    pub id: InstanceId,
    /// Incarnation.
    pub incarnation: Incarnation,
    /// Address of its peer listener, `IP:PORT`.
    pub address: String,
    /// Failure domain.
    pub domain: String,
    /// State.
    pub state: ListedState,
}

/// The platform's service. Each call counts against its rates, a waiting watch as one.
pub trait Platform: Send + Sync {
    /// Reads one object; `None` when it does not exist.
    fn get(&self, key: &str) -> impl Future<Output = Result<Option<Object>, PlatformError>> + Send;

    /// Writes one object under a condition and returns its new version.
    fn put(
        &self,
        key: &str,
        expect: Precondition,
        value: &serde_json::Value,
    ) -> impl Future<Output = Result<Version, PlatformError>> + Send;

    /// Deletes one object under a condition.
    fn delete(&self, key: &str, version: Version) -> impl Future<Output = Result<(), PlatformError>> + Send;

    /// Reads all objects whose key starts with `prefix`.
    fn list(&self, prefix: &str) -> impl Future<Output = Result<Changes, PlatformError>> + Send;

    /// Waits up to `timeout` for changes under `prefix` after `since`. Empty when there was none.
    fn watch(
        &self,
        prefix: &str,
        since: u64,
        timeout: Duration,
    ) -> impl Future<Output = Result<Changes, PlatformError>> + Send;

    /// Reads the list of instances.
    fn instances(&self) -> impl Future<Output = Result<Vec<ListedInstance>, PlatformError>> + Send;
}
