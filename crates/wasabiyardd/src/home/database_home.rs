//! The home of one database: its connection pool, and the observed state of its slots.

use super::group_sql::{ReceivedAnswer, SlotStatus};
use super::group_state::GroupState;
use super::pending_proofs::{PendingProofGuard, PendingProofs, SlotQuery};
use super::pool::Pool;
use super::settings::HomeSettings;
use super::slot_monitor::SlotMonitor;
use super::watch::Watch;
use crate::clock;
use crate::snapshot::{Snapshot, SnapshotCell};
use async_executor::Executor;
use cranelift_entity::EntityRef;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, Weak};
use std::time::Duration;
use wasabiyard_model::{LogPoint, Manifest, PriorityClass, Slot, Term, Time};
use wasabiyard_platform::ReplicationGroup;
use wasabiyard_promotion::{Suspicion, majority};
use wasabiyard_schedule::QueuedRequest;
use wasabiyard_session::ReadPlan;
use wasabiyard_wire::OpenStream;

/// One database whose home is this process.
#[derive(Debug)]
pub struct DatabaseHome {
    name: String,
    settings: HomeSettings,
    executor: Weak<Executor<'static>>,
    snapshots: Arc<SnapshotCell>,
    pool: Arc<Pool>,
    group: Watch<GroupState>,
    pending_proofs: Watch<PendingProofs>,
    /// See [`Self::generation`].
    generation: AtomicU64,
    /// Until then the primary is not suspected, because a promotion has just ended.
    suspicion_paused_until: Mutex<Time>,
    /// Streams that have started and not ended. The last one stops the monitors of a closing home.
    active_streams: AtomicUsize,
    /// Whether the home has moved to another instance. Active streams still run to their end.
    closing: AtomicBool,
}

impl DatabaseHome {
    /// Creates the home of a database. It serves streams after the first [`Self::configure`].
    pub fn new(
        name: &str,
        group: &ReplicationGroup,
        settings: &HomeSettings,
        snapshots: &Arc<SnapshotCell>,
        executor: &Arc<Executor<'static>>,
    ) -> Arc<Self> {
        Arc::new(Self {
            name: name.to_owned(),
            settings: settings.clone(),
            executor: Arc::downgrade(executor),
            snapshots: Arc::clone(snapshots),
            pool: Pool::new(name, &settings.credential, executor),
            group: Watch::new(GroupState::new(group, clock::now())),
            pending_proofs: Watch::default(),
            generation: AtomicU64::new(0),
            suspicion_paused_until: Mutex::default(),
            active_streams: AtomicUsize::new(0),
            closing: AtomicBool::new(false),
        })
    }

    /// Applies a new version of the group object from the platform.
    pub fn configure(self: &Arc<Self>, group: &ReplicationGroup, snapshot: &Snapshot) {
        let (slots_changed, in_service) = self.group.update(|g| {
            let slots_changed = g.configure(group, &snapshot.out_of_service.domains, clock::now());
            (slots_changed, g.in_service.clone())
        });
        self.pool.configure(group, |index| in_service[index]);
        self.update_pool_primary();
        if slots_changed || self.generation() == 0 {
            self.start_monitors(group);
        }
    }

    /// Starts one monitor for each slot. The monitors of the previous generation stop.
    fn start_monitors(self: &Arc<Self>, group: &ReplicationGroup) {
        let generation = self.generation.fetch_add(1, Ordering::AcqRel) + 1;
        for (index, slot) in group.slots.iter().enumerate() {
            let Ok(address) = slot.address.parse() else {
                log::error!("the address {} of slot {} is not IP:PORT", slot.address, slot.id);
                continue;
            };
            let monitor = SlotMonitor {
                home: Arc::downgrade(self),
                database: self.name.clone(),
                slot: Slot::new(index),
                address,
                generation,
                credential: self.settings.credential.clone(),
            };
            self.spawn_task(monitor.run());
        }
    }

    /// Closes the idle connections now, and the others when the active streams return them. The caller makes sure that
    /// no new stream starts.
    pub fn close(&self) {
        self.closing.store(true, Ordering::Release);
        self.pool.close_when_unused();
        self.stop_monitors_if_unused();
    }

    /// Whether the home has moved to another instance.
    pub fn is_closing(&self) -> bool {
        self.closing.load(Ordering::Acquire)
    }

    /// Counts a stream as active until the guard is dropped.
    pub fn register_stream(self: &Arc<Self>) -> StreamGuard {
        self.active_streams.fetch_add(1, Ordering::AcqRel);
        StreamGuard(Arc::clone(self))
    }

    /// Number of streams that have started and not ended.
    pub fn active_streams(&self) -> usize {
        self.active_streams.load(Ordering::Acquire)
    }

    /// Stops the monitors of a closing home once no stream needs them to prove its commit.
    fn stop_monitors_if_unused(&self) {
        if self.is_closing() && self.active_streams() == 0 {
            self.generation.fetch_add(1, Ordering::AcqRel);
        }
    }

    /// Name of the database.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Number of the current set of monitors. A monitor of a lower generation stops. 0 before the first configuration.
    pub fn generation(&self) -> u64 {
        self.generation.load(Ordering::Acquire)
    }

    /// The connection pool of the database.
    pub const fn pool(&self) -> &Arc<Pool> {
        &self.pool
    }

    /// Calls `f` with the state of the group, under its lock.
    pub fn read_group<R>(&self, f: impl FnOnce(&GroupState) -> R) -> R {
        self.group.read(f)
    }

    /// Runs a task in the background, unless the executor was dropped.
    pub fn spawn_task(&self, task: impl Future<Output = ()> + Send + 'static) {
        if let Some(executor) = self.executor.upgrade() {
            executor.spawn(task).detach();
        }
    }

    /// Records the status of a slot that was requested at `requested_at`.
    pub fn record_status(&self, slot: Slot, status: &SlotStatus, requested_at: Time) {
        self.group
            .update(|g| g.record_status(slot, status, requested_at, clock::now()));
        self.update_pool_primary();
    }

    /// Records the answer of a slot to the query whether it has received `point`.
    ///
    /// Returns whether the answer counts towards the acknowledgement of the commit.
    pub fn record_received(&self, slot: Slot, point: LogPoint, answer: &ReceivedAnswer) -> bool {
        self.group.update(|g| {
            g.failure_detector.record_response(slot, clock::now());
            answer.reached && g.commit_tracker.confirm(slot, point, answer.fenced_term)
        })
    }

    /// Records that a slot is alive although it gave no status, for example because all its connections are in use.
    pub fn record_response(&self, slot: Slot) {
        self.group.update(|g| {
            g.failure_detector.set_primary(g.believed_primary(), clock::now());
            g.failure_detector.record_response(slot, clock::now());
        });
    }

    /// Records that a new connection to a slot failed.
    pub fn record_connect_failure(&self, slot: Slot) {
        self.group.update(|g| {
            g.failure_detector.set_primary(g.believed_primary(), clock::now());
            g.failure_detector.record_failed_connect(slot);
        });
    }

    /// Why the primary should be replaced; `None` while it is healthy or suspicion is paused.
    pub fn primary_suspicion(&self) -> Option<Suspicion> {
        let now = clock::now();
        if now
            < *self
                .suspicion_paused_until
                .lock()
                .expect("no holder of this lock panics")
        {
            return None;
        }
        self.group.read(|g| g.failure_detector.suspicion(now))
    }

    /// Suppresses [`Self::primary_suspicion`] for `duration`.
    pub fn pause_suspicion(&self, duration: Duration) {
        *self
            .suspicion_paused_until
            .lock()
            .expect("no holder of this lock panics") = clock::now() + duration;
    }

    fn update_pool_primary(&self) {
        let primary = self.group.read(GroupState::believed_primary);
        self.pool.set_primary(primary.map(|(slot, _)| slot));
    }

    /// The request of a stream for the queues of the pool, with the weight and class that the manifest gives it.
    pub fn queued_request(&self, open: &OpenStream, deadline: Time) -> QueuedRequest {
        let snapshot = self.snapshots.load();
        let manifest = &snapshot.manifest;
        let organisation = manifest.organisation(&open.organisation);
        QueuedRequest {
            organisation: Arc::from(open.organisation.as_str()),
            weight: organisation.map_or(1, |o| manifest.organisations[o].weight),
            class: route_class(manifest, &self.name, &open.route),
            deadline,
        }
    }

    /// The order in which slots are tried for a read that must see `point`.
    pub fn read_plan(&self, point: LogPoint, deadline: Time) -> ReadPlan {
        let now = clock::now();
        let candidates = self
            .group
            .read(|g| g.read_candidates(|slot| self.pool.available(slot), now));
        ReadPlan::new(&candidates, Some(point), deadline, now, &mut rand::rng())
    }

    /// Waits until a majority of the slots has received a commit. Returns false when a primary of a later term is in
    /// effect, because the commit can then no longer be proved.
    pub async fn wait_acknowledged(&self, point: LogPoint) -> bool {
        self.group
            .update_without_wake(|g| g.failure_detector.record_pending_commit(point, clock::now()));
        let _guard = PendingProofGuard::commit(&self.pending_proofs, point);
        let proved = self.group.wait(|g| {
            let proved = g.commit_tracker.is_acknowledged(point);
            (proved || g.is_replaced(point.term)).then_some(proved)
        });
        let proved = proved.await;
        if proved {
            self.group
                .update_without_wake(|g| g.failure_detector.record_acknowledgement());
        }
        proved
    }

    /// Waits until a majority of the slots, queried after `since`, report that they are not fenced above `term`. This
    /// proves that no primary of a later term had a write acknowledged before `since`. Returns false when a primary of
    /// a later term is in effect.
    pub async fn wait_primary_confirmed(&self, term: Term, since: Time) -> bool {
        let _guard = PendingProofGuard::status(&self.pending_proofs, since);
        self.group
            .wait(|g| {
                let proved = g.slot_reports.not_fenced_since(term, since) >= majority(g.slot_reports.slots());
                (proved || g.is_replaced(term)).then_some(proved)
            })
            .await
    }

    /// Waits until a stream needs a proof to which this slot has not contributed yet.
    pub async fn next_query(&self, slot: Slot) -> SlotQuery {
        self.pending_proofs
            .wait(|pending_proofs| {
                let commit = pending_proofs.commits.last_key_value().map(|(point, _)| *point);
                let status = pending_proofs
                    .status_times
                    .last_key_value()
                    .map(|(since, _)| *since);
                self.group.read(|g| {
                    let requested_at = g.slot_reports.last(slot).map(|r| r.requested_at);
                    match (commit, status) {
                        (Some(point), _) if !g.commit_tracker.holds(slot, point) => {
                            Some(SlotQuery::Received(point))
                        }
                        (_, Some(since)) if requested_at.is_none_or(|at| at < since) => {
                            Some(SlotQuery::Status)
                        }
                        _ => None,
                    }
                })
            })
            .await
    }

    /// Waits until the point is known that a slot must have applied so that its data is at most `age` old.
    pub async fn point_for_age(&self, age: Duration) -> LogPoint {
        self.group.wait(|g| g.point_for_age(age, clock::now())).await
    }
}

/// Counts one active stream of a home until it is dropped.
#[derive(Debug)]
pub struct StreamGuard(Arc<DatabaseHome>);

impl Drop for StreamGuard {
    fn drop(&mut self) {
        self.0.active_streams.fetch_sub(1, Ordering::AcqRel);
        self.0.stop_monitors_if_unused();
    }
}

fn route_class(manifest: &Manifest, database: &str, route: &str) -> PriorityClass {
    let database = manifest.databases.values().find(|d| d.name == database);
    let route = database.and_then(|d| manifest.route(d.service, route));
    route.map_or(PriorityClass::NORMAL, |r| manifest.routes[r].class)
}
