//! Snapshots of the control state, which the control thread publishes and the traffic threads read.
//!
//! Snapshots are immutable. Traffic threads load the newest one without a lock at the start of each request, so a
//! request sees one consistent state, and a new configuration applies to every request that starts after its
//! publication.

use crate::clock;
use arc_swap::ArcSwap;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use wasabiyard_model::{InstanceId, Manifest, Time};
use wasabiyard_platform::{OutOfService, ReplicationGroup};

/// Whether this instance admits new work.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum AdmissionState {
    /// The configuration or the session token key is not known yet.
    #[default]
    NotReady,
    /// New work is admitted.
    Open,
    /// Operators have taken this instance or its failure domain out of service.
    OutOfService,
    /// The process is stopping.
    Draining,
    /// Neither the platform nor a majority of the members has been reachable for a while, so a key may have been
    /// withdrawn without the knowledge of this instance.
    CutOff,
}

/// The instance that serves a database.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Home {
    /// Name of the instance.
    pub instance: InstanceId,
    /// Address of its peer listener.
    pub address: SocketAddr,
    /// Whether it is this instance.
    pub local: bool,
}

/// A consistent copy of the control state.
#[derive(Debug, Clone, Default)]
pub struct Snapshot {
    /// Whether new work is admitted.
    pub admission: AdmissionState,
    /// Manifest in force.
    pub manifest: Arc<Manifest>,
    /// Version of the manifest in force; 0 if none is.
    pub manifest_version: u64,
    /// Home of each database, by database name. A database without a live home is missing.
    pub homes: HashMap<String, Home>,
    /// Replication groups of the databases whose home is this instance, by database name.
    pub groups: BTreeMap<String, ReplicationGroup>,
    /// Failure domains and instances that operators have taken out of service.
    pub out_of_service: Arc<OutOfService>,
    /// Key that authenticates session tokens; empty until it is received from the platform or a peer.
    pub session_key: Arc<[u8]>,
}

/// Holds the newest snapshot and the lease on its admission.
///
/// The control thread extends the lease after each event that it handles, so at least with each tick. When the lease
/// expires, because the process was paused or the thread hangs, the first reader closes admission: otherwise a process
/// that resumes after a pause would admit requests by its old configuration until the next tick.
#[derive(Debug)]
pub struct SnapshotCell {
    current: ArcSwap<Snapshot>,
    admission_lease_end_micros: AtomicU64,
}

impl Default for SnapshotCell {
    fn default() -> Self {
        Self {
            current: ArcSwap::default(),
            admission_lease_end_micros: AtomicU64::new(u64::MAX),
        }
    }
}

impl SnapshotCell {
    /// Returns the newest snapshot. Closes admission if its lease has expired.
    pub fn load(&self) -> Arc<Snapshot> {
        let snapshot = self.current.load_full();
        let lease_end = self.admission_lease_end_micros.load(Ordering::Acquire);
        if snapshot.admission == AdmissionState::Open && clock::now().as_micros() > lease_end {
            return self.close_admission(&snapshot);
        }
        snapshot
    }

    /// Publishes a snapshot. Panics if its manifest version is lower than that of the one before.
    pub fn publish(&self, snapshot: Snapshot) {
        let old = self.current.load();
        assert!(
            snapshot.manifest_version >= old.manifest_version,
            "the manifest version must not decrease"
        );
        self.current.store(Arc::new(snapshot));
    }

    /// Sets the end of the admission lease. Without any call the lease never expires.
    pub fn set_admission_lease_end(&self, end: Time) {
        self.admission_lease_end_micros
            .store(end.as_micros(), Ordering::Release);
    }

    /// Closes admission unless a newer snapshot has been published since `old` was loaded. Returns the newest snapshot.
    fn close_admission(&self, old: &Arc<Snapshot>) -> Arc<Snapshot> {
        let closed = Arc::new(Snapshot {
            admission: AdmissionState::CutOff,
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
