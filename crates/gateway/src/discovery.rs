//! The process edge towards what operators and backend servers publish.

use crate::{BackendServer, Configuration};
use std::sync::Arc;
use wasabiyard_platform::PlatformError;

/// Reads the documents of operators and backend servers. Each call returns a state that held at or after the time at
/// which it was made.
pub trait Discovery {
    /// The newest configuration; `None` when there is none yet.
    fn configuration(&self) -> impl Future<Output = Result<Option<Arc<Configuration>>, PlatformError>>;

    /// All listed backend servers that can be read.
    fn backend_servers(&self) -> impl Future<Output = Result<Vec<BackendServer>, PlatformError>>;

    /// Failure domains that operators have taken out of service.
    fn domains_out(&self) -> impl Future<Output = Result<Vec<Arc<str>>, PlatformError>>;
}

/// An order to promote, with the proof that its sender holds the duty.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromotionOrder<'a> {
    /// Service whose primary is replaced.
    pub service: &'a str,
    /// Backend server that shall lead.
    pub candidate: &'a str,
    /// Instance that gives the order.
    pub holder: &'a str,
    /// Fencing number of the holder.
    pub fence: u64,
}

/// Answer to an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PromotionAnswer {
    /// The promotion has begun.
    Accepted,
    /// The candidate cannot lead.
    Refused,
    /// Too many orders; it was not carried out.
    Throttled,
    /// It is not known whether the promotion has begun.
    Unknown,
}

/// Gives orders to promote.
pub trait Promoter {
    /// Orders a promotion.
    fn promote(&self, order: PromotionOrder<'_>) -> impl Future<Output = PromotionAnswer>;
}
