//! Interfaces to service discovery and to the promotion service.

use crate::{BackendServer, Configuration};
use std::sync::Arc;
use wasabiyard_platform::PlatformError;

/// Reads the documents that operators and backend servers publish. Each call returns a state that was current at or
/// after the time of the call.
pub trait Discovery {
    /// The newest configuration; `None` when none has been published yet.
    fn configuration(&self) -> impl Future<Output = Result<Option<Arc<Configuration>>, PlatformError>>;

    /// All listed backend servers. Documents that cannot be decoded are left out.
    fn backend_servers(&self) -> impl Future<Output = Result<Vec<BackendServer>, PlatformError>>;

    /// Failure domains that operators have taken out of service.
    fn domains_out(&self) -> impl Future<Output = Result<Vec<Arc<str>>, PlatformError>>;
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

/// Client of the promotion service.
pub trait Promoter {
    /// Sends one order and waits for the response; it does not retry.
    fn promote(&self, order: PromotionOrder<'_>) -> impl Future<Output = PromotionResponse>;
}
