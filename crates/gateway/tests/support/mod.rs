//! Fixtures of the tests that drive a connection pool.

use async_executor::LocalExecutor;
use std::rc::Rc;
use std::sync::Arc;
use wasabiyard_gateway::metrics::Metrics;
use wasabiyard_gateway::traffic::{Pool, PoolSettings};
use wasabiyard_gateway::{BackendServer, ClusterSnapshot, Connector, PrimaryRecord, Regions, Role};
use wasabiyard_model::Time;

/// A pool without servers.
pub fn open_pool<C>(connector: C, metrics: &Rc<Metrics>, executor: &Rc<LocalExecutor<'static>>) -> Rc<Pool<C>>
where
    C: Connector + 'static,
{
    let settings = PoolSettings {
        domain: "riga-a".into(),
        regions: Regions::default(),
        seed: 1,
    };
    Pool::new(connector, settings, Rc::clone(metrics), Rc::clone(executor))
}

/// The service `members` with its primary `p`, read at `as_of`.
pub fn snapshot_with_primary(as_of: Time) -> ClusterSnapshot {
    let server = BackendServer {
        id: "p".into(),
        service: "members".into(),
        address: "10.0.0.1:5000".parse().expect("an address"),
        domain: "riga-a".into(),
        capacity: 4,
        draining: false,
        role: Role::Primary,
        started_ms: 1,
        warmup_left_ms: 0,
    };
    let mut snapshot = ClusterSnapshot {
        records_as_of: as_of,
        ..ClusterSnapshot::default()
    };
    snapshot.servers.insert("p".into(), Arc::new(server));
    snapshot
        .primaries
        .insert("members".into(), PrimaryRecord::first("p".into()));
    snapshot
}
