//! Follows the snapshots to start and close database homes, and assigns streams to them.

use super::database_home::DatabaseHome;
use super::promoter::Promoter;
use super::request_state::UnsentRequest;
use super::settings::HomeSettings;
use super::stream_task;
use crate::channel::StreamEndpoint;
use crate::snapshot::{Snapshot, SnapshotCell};
use async_executor::Executor;
use async_io::Timer;
use std::collections::BTreeMap;
use std::pin::Pin;
use std::sync::{Arc, Mutex, Weak};
use std::time::Duration;
use wasabiyard_model::NotRun;
use wasabiyard_platform::Platform;
use wasabiyard_wire::{OpenStream, StreamId, StreamMessage};

/// How often the current snapshot is checked for changes. Bounds the delay until a moved home starts here or closes.
const RECONCILE_INTERVAL: Duration = Duration::from_millis(100);

/// The databases whose home is this process.
#[derive(Debug)]
pub struct Homes<P> {
    executor: Weak<Executor<'static>>,
    settings: HomeSettings,
    snapshots: Arc<SnapshotCell>,
    platform: Arc<P>,
    databases: Mutex<HomeTable>,
}

#[derive(Debug, Default)]
struct HomeTable {
    last_snapshot: Option<Arc<Snapshot>>,
    homes: BTreeMap<String, Arc<DatabaseHome>>,
}

/// Serves one stream. It must be polled to completion even when the caller is gone, so that the connection returns to
/// the pool.
pub type ServeFuture = Pin<Box<dyn Future<Output = ()> + Send>>;

/// Starts streams at the homes of this process; cheap to clone.
#[derive(Clone)]
pub struct HomeHandle {
    homes: Arc<dyn Serve>,
}

/// Hides the platform type parameter from the users of [`HomeHandle`].
trait Serve: Send + Sync {
    fn serve(&self, id: StreamId, open: OpenStream, endpoint: StreamEndpoint) -> ServeFuture;
    fn spawn(&self, serve: ServeFuture);
}

impl<P> Homes<P>
where
    P: Platform + 'static,
{
    /// Starts the home role on `executor`.
    pub fn spawn(
        executor: &Arc<Executor<'static>>,
        settings: HomeSettings,
        snapshots: Arc<SnapshotCell>,
        platform: Arc<P>,
    ) -> HomeHandle {
        let homes = Arc::new(Self {
            executor: Arc::downgrade(executor),
            settings,
            snapshots,
            platform,
            databases: Mutex::default(),
        });
        let weak = Arc::downgrade(&homes);
        executor
            .spawn(async move {
                while let Some(homes) = weak.upgrade() {
                    homes.reconcile();
                    drop(homes);
                    Timer::after(RECONCILE_INTERVAL).await;
                }
            })
            .detach();
        HomeHandle { homes }
    }

    /// Starts, configures and closes homes according to the current snapshot, if it has changed.
    fn reconcile(&self) {
        let snapshot = self.snapshots.load();
        let mut databases = self.databases.lock().expect("no holder of this lock panics");
        if databases
            .last_snapshot
            .as_ref()
            .is_some_and(|last_snapshot| Arc::ptr_eq(last_snapshot, &snapshot))
        {
            return;
        }
        let Some(executor) = self.executor.upgrade() else {
            return;
        };
        databases.homes.retain(|name, home| {
            let kept = snapshot.groups.contains_key(name);
            if !kept {
                home.close();
            }
            kept
        });
        for (name, group) in &snapshot.groups {
            let home = databases.homes.entry(name.clone()).or_insert_with(|| {
                let home = DatabaseHome::new(name, group, &self.settings, &self.snapshots, &executor);
                executor
                    .spawn(Promoter::new(&home, &self.settings, &self.platform).run())
                    .detach();
                home
            });
            home.configure(group, &snapshot);
        }
        databases.last_snapshot = Some(snapshot);
    }

    fn find(&self, database: &str) -> Option<Arc<DatabaseHome>> {
        let databases = self.databases.lock().expect("no holder of this lock panics");
        databases.homes.get(database).map(Arc::clone)
    }
}

impl<P> Serve for Homes<P>
where
    P: Platform + 'static,
{
    fn serve(&self, id: StreamId, open: OpenStream, endpoint: StreamEndpoint) -> ServeFuture {
        let mut home = self.find(&open.database);
        if home.is_none() {
            self.reconcile();
            home = self.find(&open.database);
        }
        if let Some(home) = home {
            let guard = home.register_stream();
            return Box::pin(async move {
                stream_task::serve(home, id, open, endpoint).await;
                drop(guard);
            });
        }
        let _gone = endpoint.tx.try_send(StreamMessage::End(
            id,
            UnsentRequest::new().refuse(NotRun::NoHome),
        ));
        Box::pin(std::future::ready(()))
    }

    fn spawn(&self, serve: ServeFuture) {
        if let Some(executor) = self.executor.upgrade() {
            executor.spawn(serve).detach();
        }
    }
}

impl HomeHandle {
    /// Starts serving a stream in a separate task. Its outcome is sent on `endpoint`.
    pub fn accept(&self, id: StreamId, open: OpenStream, endpoint: StreamEndpoint) {
        self.homes.spawn(self.homes.serve(id, open, endpoint));
    }

    /// Serves a stream in the task that polls the returned future. Compared to [`Self::accept`], this saves two thread
    /// switches for each statement.
    pub fn serve(&self, id: StreamId, open: OpenStream, endpoint: StreamEndpoint) -> ServeFuture {
        self.homes.serve(id, open, endpoint)
    }
}

impl std::fmt::Debug for HomeHandle {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("HomeHandle")
    }
}
