//! Release of a primary that is being replaced, by an instance that cannot prove what it knows.

mod support;

use async_executor::LocalExecutor;
use async_io::Timer;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use support::{open_pool, snapshot_with_primary};
use wasabiyard_gateway::metrics::Metrics;
use wasabiyard_gateway::{
    Answer, Command, ConnectOutcome, ConnectionError, Connector, IdleState, Leadership, ServerConnection,
    ServerStatus, Target, VIEW_LEASE, clock,
};
use wasabiyard_model::Term;

/// Refuses all connections; these tests open none.
#[derive(Debug)]
struct NoServers;

impl Connector for NoServers {
    type Connection = Self;

    async fn connect(&self, _target: &Target) -> Result<ConnectOutcome<Self>, ConnectionError> {
        Ok(ConnectOutcome::Refused)
    }
}

impl ServerConnection for NoServers {
    async fn run(&mut self, _cmd: Command<'_>) -> Result<Answer, ConnectionError> {
        Err(ConnectionError::Closed)
    }

    async fn receive(&mut self) -> Result<Option<Answer>, ConnectionError> {
        Err(ConnectionError::Closed)
    }

    async fn status(&mut self) -> Result<Option<ServerStatus>, ConnectionError> {
        Ok(None)
    }

    async fn demote(&mut self, _term: Term) -> Result<Option<ServerStatus>, ConnectionError> {
        Ok(None)
    }

    fn idle_state(&self) -> IdleState {
        IdleState::Closed
    }
}

/// An instance that the store turns away uses no primary once its view lease has ended. It still hears the announcement
/// of a failover from the other instances. When it did not answer, the holder of the failover lease waited for the
/// longest possible view lease, and no write was served meanwhile.
#[test]
fn an_instance_without_a_view_lease_releases_a_primary_that_is_replaced() {
    let executor = Rc::new(LocalExecutor::new());
    let metrics = Metrics::open().expect("metrics");
    let pool = open_pool(NoServers, &metrics, &executor);
    let start = clock::now();
    let mut snapshot = snapshot_with_primary(start);
    pool.update(&Arc::new(snapshot.clone()), start);

    // No read of the store renews the view lease.
    let expired = start + VIEW_LEASE;
    pool.tick(expired);
    async_io::block_on(executor.run(async {
        Timer::after(Duration::from_millis(200)).await;
    }));
    assert_eq!(pool.take_released(), [("members".into(), 1)]);
    assert!(pool.released().is_empty());

    let first = &snapshot.primaries["members"];
    let moving = first.followed_by(Leadership::Moving { from: "p".into() });
    snapshot.primaries.insert("members".into(), moving);
    pool.update(&Arc::new(snapshot), expired + Duration::from_secs(1));
    assert_eq!(pool.take_released(), [("members".into(), 2)]);
    assert_eq!(pool.released(), [("members".into(), 2)]);
}
