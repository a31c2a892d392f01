//! Snapshots of cluster state that the control thread publishes to the traffic thread.

use crate::{BackendServer, Configuration, PrimaryRecord};
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;
use wasabiyard_model::Time;
use wasabiyard_platform::ListedInstance;

/// How long primaries may be used after the last successful read of the primary records. An instance that can no longer
/// read them has stopped using primaries by then, which the holder of the failover lease relies on when it replaces a
/// primary.
pub const VIEW_LEASE: Duration = Duration::from_secs(4);

/// Time before the end of the view lease in which a primary gets no new work, so that running statements can still be
/// answered.
pub const NEW_WORK_MARGIN: Duration = Duration::from_millis(200);

/// How much older than the records the list of backend servers and the failure domains out of service may be.
const SLOW_PARTS_ALLOWANCE: Duration = Duration::from_secs(2);

/// Whether a service has a primary that may be used now.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PrimaryView {
    /// The service has a primary that may get new work.
    Usable {
        /// Id of the backend server.
        server: Arc<str>,
        /// Epoch of its primary record.
        epoch: u64,
    },
    /// The primary is being replaced; no backend server may be used as the primary until the failover ends.
    FailoverInProgress,
    /// The view lease has expired or is about to.
    Stale,
    /// The service has no primary record.
    Unknown,
}

/// Immutable snapshot of what an instance knows of the cluster. Each part was current at or after its `_as_of` time:
/// the start of the last successful read by this instance, or a bound derived from the age that its relay sent. It is
/// zero before the first read.
#[derive(Debug, Clone, Default)]
pub struct ClusterSnapshot {
    /// Newest configuration; `None` before the first successful read.
    pub configuration: Option<Arc<Configuration>>,
    /// Start of the last successful read of the configuration.
    pub configuration_as_of: Time,
    /// Listed backend servers by id.
    pub servers: HashMap<Arc<str>, Arc<BackendServer>>,
    /// Start of the last successful read of the backend servers.
    pub servers_as_of: Time,
    /// Failure domains that operators have taken out of service.
    pub domains_out: Vec<Arc<str>>,
    /// Start of the last successful read of the failure domains out of service.
    pub domains_as_of: Time,
    /// Primary records by service.
    pub primaries: HashMap<Arc<str>, PrimaryRecord>,
    /// Registered instances, including this one, sorted by id.
    pub members: Vec<ListedInstance>,
    /// Id of the instance that holds the failover lease; `None` when it was released or has never been acquired.
    pub failover_lease_holder: Option<Arc<str>>,
    /// Start of the last successful read of primary records and members; the view lease counts from it.
    pub records_as_of: Time,
    /// HMAC key of messages between instances; `None` until it has been read from the store.
    pub peer_secret: Option<Arc<[u8]>>,
}

impl ClusterSnapshot {
    /// Whether the keys of the configuration may be trusted at `now`, when a withdrawn key has to stop working within
    /// `max_age`.
    pub fn keys_are_current(&self, max_age: Duration, now: Time) -> bool {
        self.configuration.is_some() && now < self.configuration_as_of + max_age
    }

    /// Age at `now` of what expires first: the configuration and the records, or, because they are read less often, the
    /// servers and failure domains less [`SLOW_PARTS_ALLOWANCE`].
    pub fn age(&self, now: Time) -> Duration {
        let urgent = now.saturating_since(self.configuration_as_of.min(self.records_as_of));
        let slow = now.saturating_since(self.servers_as_of.min(self.domains_as_of));
        urgent.max(slow.saturating_sub(SLOW_PARTS_ALLOWANCE))
    }

    /// Whether work that already runs on primaries may go on at `now`.
    pub fn view_lease_holds(&self, now: Time) -> bool {
        now < self.records_as_of + VIEW_LEASE
    }

    /// Whether a service has a primary for new work at `now`, and which.
    pub fn primary(&self, service: &str, now: Time) -> PrimaryView {
        if !self.view_lease_holds(now + NEW_WORK_MARGIN) {
            return PrimaryView::Stale;
        }
        match self.primaries.get(service) {
            None => PrimaryView::Unknown,
            Some(record) => match record.serving() {
                None => PrimaryView::FailoverInProgress,
                Some(server) => PrimaryView::Usable {
                    server: Arc::clone(server),
                    epoch: record.epoch,
                },
            },
        }
    }

    /// Whether new work may go to a backend server: it does not drain and its failure domain is in service.
    pub fn accepts_new_work(&self, server: &BackendServer) -> bool {
        !server.draining && !self.is_domain_out(&server.domain)
    }

    /// Whether a failure domain is out of service.
    pub fn is_domain_out(&self, domain: &str) -> bool {
        self.domains_out.iter().any(|d| **d == *domain)
    }

    /// Replicas of a service that have received a commit before it is acknowledged; 0 for a service that the configuration
    /// does not name.
    pub fn sync_replicas(&self, service: &str) -> u32 {
        let rule = self.configuration.as_ref().and_then(|c| c.services.get(service));
        rule.map_or(0, |r| r.sync_replicas)
    }

    /// Number of instances that share connections and rates, at least 1.
    pub fn fleet_size(&self) -> usize {
        self.members.len().max(1)
    }
}
