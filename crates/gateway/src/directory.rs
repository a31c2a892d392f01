//! What the control thread knows, as the traffic thread reads it.

use crate::{BackendServer, Configuration, PrimaryRecord};
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;
use wasabiyard_model::Time;
use wasabiyard_platform::ListedInstance;

/// Longest use of a primary after the records were last read. An instance that cannot read them any more must have
/// stopped before another one may rely on it.
pub const VIEW_LEASE: Duration = Duration::from_secs(4);

/// Time before the end of the view lease in which a primary gets no new work, so that what runs can still be answered.
pub const LAST_WORK: Duration = Duration::from_millis(200);

/// Whether a service has a primary that may be used now.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PrimaryView {
    /// This server may be used as the primary.
    Usable {
        /// Its id.
        server: Arc<str>,
        /// Epoch of the record that names it.
        epoch: u64,
    },
    /// The primary is being replaced.
    Moving,
    /// The records were not read recently enough.
    Unproved,
    /// No primary is recorded.
    Unknown,
}

/// One immutable state of the knowledge of an instance. Each part was true at or after the time that stands beside it.
#[derive(Debug, Clone, Default)]
pub struct Directory {
    /// The newest configuration.
    pub configuration: Option<Arc<Configuration>>,
    /// When the configuration was last asked for and read.
    pub configuration_proved: Time,
    /// Listed backend servers by id.
    pub servers: HashMap<Arc<str>, Arc<BackendServer>>,
    /// When the servers were last asked for and read.
    pub servers_proved: Time,
    /// Failure domains out of service.
    pub domains_out: Vec<Arc<str>>,
    /// When the failure domains were last asked for and read.
    pub domains_proved: Time,
    /// Primaries by service.
    pub primaries: HashMap<Arc<str>, PrimaryRecord>,
    /// Registered instances, this one included.
    pub members: Vec<ListedInstance>,
    /// Instance that holds the failover duty.
    pub duty_holder: Option<Arc<str>>,
    /// When primaries and members were last asked for and read.
    pub records_proved: Time,
    /// Key of messages between instances.
    pub peer_secret: Option<Arc<[u8]>>,
}

impl Directory {
    /// Whether a statement with a key may run at `now`, when a withdrawn key has to stop working within `bound`.
    pub fn keys_are_current(&self, bound: Duration, now: Time) -> bool {
        self.configuration.is_some() && now < self.configuration_proved + bound
    }

    /// Whether primaries may be used at `now`.
    pub fn view_lease_holds(&self, now: Time) -> bool {
        now < self.records_proved + VIEW_LEASE
    }

    /// The primary of a service that may get new work at `now`.
    pub fn primary(&self, service: &str, now: Time) -> PrimaryView {
        if !self.view_lease_holds(now + LAST_WORK) {
            return PrimaryView::Unproved;
        }
        match self.primaries.get(service) {
            None => PrimaryView::Unknown,
            Some(record) => match record.serving() {
                None => PrimaryView::Moving,
                Some(server) => PrimaryView::Usable {
                    server: Arc::clone(server),
                    epoch: record.epoch,
                },
            },
        }
    }

    /// Whether new work may go to a server: it is not leaving and its failure domain is in service.
    pub fn takes_new_work(&self, server: &BackendServer) -> bool {
        !server.draining && !self.is_out(&server.domain)
    }

    /// Whether a failure domain is out of service.
    pub fn is_out(&self, domain: &str) -> bool {
        self.domains_out.iter().any(|d| **d == *domain)
    }

    /// Number of instances that share connections and rates.
    pub fn fleet_size(&self) -> usize {
        self.members.len().max(1)
    }
}
