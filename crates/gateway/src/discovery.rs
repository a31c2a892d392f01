//! Interfaces to service discovery and to the service that promotes servers and takes usage reports.

use crate::usage::OrganisationCounts;
use crate::{BackendServer, Configuration};
use std::sync::Arc;
use wasabiyard_model::Version;
use wasabiyard_platform::PlatformError;

/// Which state of the store a read may return.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReadConsistency {
    /// A state that was current at or after the time of the call.
    Linearizable,
    /// Any state, with its revision. Such a read costs the store a fraction of a linearizable one.
    Stale,
}

/// Result of a read, with the revision of the store that it reflects.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AtRevision<T> {
    /// Revision of the whole store.
    pub revision: u64,
    /// What was read.
    pub value: T,
}

/// Entries of a list with the versions of their objects.
pub type Entries<T> = Vec<(Version, T)>;

/// Reads the documents that operators and backend servers publish, with the versions of their objects.
pub trait Discovery {
    /// The configuration; `None` when none has been published yet.
    fn configuration(
        &self,
        consistency: ReadConsistency,
    ) -> impl Future<Output = Result<AtRevision<Option<Arc<Configuration>>>, PlatformError>>;

    /// All listed backend servers. Documents that cannot be decoded are left out.
    fn backend_servers(
        &self,
        consistency: ReadConsistency,
    ) -> impl Future<Output = Result<AtRevision<Entries<BackendServer>>, PlatformError>>;

    /// Failure domains that operators have taken out of service.
    fn domains_out(
        &self,
        consistency: ReadConsistency,
    ) -> impl Future<Output = Result<AtRevision<Entries<Arc<str>>>, PlatformError>>;
}

/// Order to promote a backend server, with the fencing token that proves that the sender holds the failover lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromotionOrder<'a> {
    /// Service whose primary is replaced.
    pub service: &'a str,
    /// Id of the backend server to promote.
    pub candidate: &'a str,
    /// Id of the instance that holds the failover lease.
    pub holder: &'a str,
    /// Fencing token of the lease, incremented with each acquisition.
    pub fence: u64,
}

/// Response of the promotion service to a [`PromotionOrder`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PromotionResponse {
    /// The promotion has begun.
    Accepted,
    /// The candidate cannot be promoted.
    Refused,
    /// Rejected by the rate limit of the promotion service; nothing was done.
    Throttled,
    /// No usable response arrived, so the promotion may or may not have begun.
    Unknown,
}

/// Report of the operations that began to run in one window, with the fencing token that proves that the sender holds the failover
/// lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct UsageReport<'a> {
    /// Number of the window.
    pub window: u64,
    /// Operations by organisation.
    pub counts: &'a OrganisationCounts,
    /// Id of the instance that holds the failover lease.
    pub holder: &'a str,
    /// Fencing token of the lease, incremented with each acquisition.
    pub fence: u64,
}

/// Response of the service to a [`UsageReport`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UsageResponse {
    /// The service has the report.
    Accepted,
    /// The service does not take the report, however often it is sent.
    Refused,
    /// Rejected by the rate limit of the service; nothing was done.
    Throttled,
    /// No usable response arrived, so the service may or may not have the report.
    Unknown,
}

/// Client of the service that promotes backend servers and takes usage reports.
pub trait Promoter {
    /// Sends one order and waits for the response; it does not retry.
    fn promote(&self, order: PromotionOrder<'_>) -> impl Future<Output = PromotionResponse>;

    /// Sends one report and waits for the response; it does not retry.
    fn report_usage(&self, report: UsageReport<'_>) -> impl Future<Output = UsageResponse>;
}
