//! The view of the system that the control thread publishes and the traffic threads read.
//!
//! A snapshot never changes. Traffic threads load the newest one without a lock at the start of each request, so a
//! request sees one consistent view, and a new configuration is in force for every request that starts after it.

use crate::clock;
use arc_swap::ArcSwap;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use wasabiyard_model::{InstanceId, Manifest, Time};
use wasabiyard_platform::{OutOfService, ReplicationGroup};

/// Whether this instance takes new work.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Admission {
    /// No configuration yet.
    #[default]
    NotReady,
    /// Takes new work.
    Open,
    /// Operators took this instance or its failure domain out of service.
    OutOfService,
    /// The process is stopping.
    Draining,
    /// Neither the platform nor a majority of the members was reached for a while.
    CutOff,
}

/// Where the home of a database is.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Home {
    /// The instance.
    pub instance: InstanceId,
    /// Its peer listener.
    pub address: SocketAddr,
    /// Whether it is this process.
    pub local: bool,
}

/// One consistent view.
#[derive(Debug, Clone, Default)]
pub struct Snapshot {
    /// Whether new work is taken.
    pub admission: Admission,
    /// The manifest in force.
    pub manifest: Arc<Manifest>,
    /// Its version.
    pub manifest_version: u64,
    /// The home of each database, by name. A database without a live home is missing.
    pub homes: HashMap<String, Home>,
    /// The groups of the databases whose home is this process, by name.
    pub groups: BTreeMap<String, ReplicationGroup>,
    /// What operators took out of service.
    pub out_of_service: Arc<OutOfService>,
    /// Key that authenticates session tokens; empty until it was read from the platform.
    pub session_key: Arc<[u8]>,
}

/// Holds the newest snapshot, and until when its admission may be trusted.
///
/// The control thread renews the trust with each tick. When it does not, because the process was paused or the thread
/// hangs, the first reader closes admission itself: a process that wakes up would otherwise take requests by its old
/// configuration until the next tick.
#[derive(Debug)]
pub struct SnapshotCell {
    current: ArcSwap<Snapshot>,
    trusted_until_micros: AtomicU64,
}

impl Default for SnapshotCell {
    fn default() -> Self {
        Self {
            current: ArcSwap::default(),
            trusted_until_micros: AtomicU64::new(u64::MAX),
        }
    }
}

impl SnapshotCell {
    /// The newest snapshot.
    pub fn load(&self) -> Arc<Snapshot> {
        let snapshot = self.current.load_full();
        let trusted_until = self.trusted_until_micros.load(Ordering::Acquire);
        if snapshot.admission == Admission::Open && clock::now().as_micros() > trusted_until {
            return self.close(&snapshot);
        }
        snapshot
    }

    /// Publishes a snapshot. Versions of the manifest never go down.
    pub fn publish(&self, snapshot: Snapshot) {
        let old = self.current.load();
        assert!(
            snapshot.manifest_version >= old.manifest_version,
            "a manifest must never revert"
        );
        self.current.store(Arc::new(snapshot));
    }

    /// Lets admission be trusted until `time`. Without a first call it is trusted for ever.
    pub fn trust_until(&self, time: Time) {
        self.trusted_until_micros
            .store(time.as_micros(), Ordering::Release);
    }

    /// Closes admission unless a newer snapshot was published meanwhile.
    fn close(&self, old: &Arc<Snapshot>) -> Arc<Snapshot> {
        let closed = Arc::new(Snapshot {
            admission: Admission::CutOff,
            ..Snapshot::clone(old)
        });
        let before = self.current.compare_and_swap(old, Arc::clone(&closed));
        if Arc::ptr_eq(&before, old) {
            closed
        } else {
            Arc::clone(&before)
        }
    }
}
