//! The home of one database: its pool, and what is known of its slots.

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
    generation: AtomicU64,
    suspicion_paused_until: Mutex<Time>,
    /// Streams that are served.
    active_streams: AtomicUsize,
    /// The home moved to another instance; streams that are served go on to their end.
    closing: AtomicBool,
}

impl DatabaseHome {
    /// Makes the home of a database. It serves after the first [`Self::configure`].
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

    /// Takes over the group as the platform states it.
    pub fn configure(self: &Arc<Self>, group: &ReplicationGroup, snapshot: &Snapshot) {
        let (moved, in_service) = self.group.update(|g| {
            let moved = g.configure(group, &snapshot.out_of_service.domains, clock::now());
            (moved, g.in_service.clone())
        });
        self.pool.configure(group, |index| in_service[index]);
        self.update_pool_primary();
        if moved || self.generation() == 0 {
            self.start_monitors(group);
        }
    }

    /// Starts to track the slots; tasks of an earlier configuration end.
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

    /// Takes no new streams, and closes the connections when those that are served have ended.
    pub fn close(&self) {
        self.closing.store(true, Ordering::Release);
        self.pool.close_when_unused();
        self.stop_monitors_if_unused();
    }

    /// Whether the home moved to another instance.
    pub fn is_closing(&self) -> bool {
        self.closing.load(Ordering::Acquire)
    }

    /// Counts a stream until the guard is dropped.
    pub fn register_stream(self: &Arc<Self>) -> StreamGuard {
        self.active_streams.fetch_add(1, Ordering::AcqRel);
        StreamGuard(Arc::clone(self))
    }

    /// Streams that are served.
    pub fn active_streams(&self) -> usize {
        self.active_streams.load(Ordering::Acquire)
    }

    /// Ends the trackers, which the last stream needed for the proof of its commit.
    fn stop_monitors_if_unused(&self) {
        if self.is_closing() && self.active_streams() == 0 {
            self.generation.fetch_add(1, Ordering::AcqRel);
        }
    }

    /// Name of the database.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Number of the configuration of the slots.
    pub fn generation(&self) -> u64 {
        self.generation.load(Ordering::Acquire)
    }

    /// The connections.
    pub const fn pool(&self) -> &Arc<Pool> {
        &self.pool
    }

    /// Looks at the state of the group.
    pub fn read_group<R>(&self, f: impl FnOnce(&GroupState) -> R) -> R {
        self.group.read(f)
    }

    /// Runs a task of this database.
    pub fn spawn_task(&self, task: impl Future<Output = ()> + Send + 'static) {
        if let Some(executor) = self.executor.upgrade() {
            executor.spawn(task).detach();
        }
    }

    /// A slot told its status.
    pub fn record_status(&self, slot: Slot, status: &SlotStatus, asked: Time) {
        self.group
            .update(|g| g.record_status(slot, status, asked, clock::now()));
        self.update_pool_primary();
    }

    /// A slot answered whether it holds `point`.
    /// Returns whether that counts towards the commit.
    pub fn record_received(&self, slot: Slot, point: LogPoint, answer: &ReceivedAnswer) -> bool {
        self.group.update(|g| {
            g.detector.answered(slot, clock::now());
            answer.reached && g.acknowledgement.confirm(slot, point, answer.fenced_term)
        })
    }

    /// A slot answered in another way, for instance that all its connections are in use.
    pub fn record_response(&self, slot: Slot) {
        self.group.update(|g| {
            g.detector.watch(g.believed_primary(), clock::now());
            g.detector.answered(slot, clock::now());
        });
    }

    /// A fresh connect to a slot failed.
    pub fn connect_failed(&self, slot: Slot) {
        self.group.update(|g| {
            g.detector.watch(g.believed_primary(), clock::now());
            g.detector.connect_failed(slot);
        });
    }

    /// Whether and why the primary is to be replaced.
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
        self.group.read(|g| g.detector.suspects(now))
    }

    /// Suspects nobody for a while.
    pub fn pause_suspicion(&self, time: Duration) {
        *self
            .suspicion_paused_until
            .lock()
            .expect("no holder of this lock panics") = clock::now() + time;
    }

    fn update_pool_primary(&self) {
        let primary = self.group.read(GroupState::believed_primary);
        self.pool.set_primary(primary.map(|(slot, _)| slot));
    }

    /// What the queue needs to know of a stream.
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

    /// The order in which slots are tried for a read.
    pub fn read_plan(&self, point: LogPoint, deadline: Time) -> ReadPlan {
        let now = clock::now();
        let candidates = self
            .group
            .read(|g| g.read_candidates(|slot| self.pool.available(slot), now));
        ReadPlan::new(&candidates, Some(point), deadline, now, &mut rand::rng())
    }

    /// Waits until a majority of the slots held a commit. False when another primary is in effect by now, so that this
    /// cannot be proved any more.
    pub async fn wait_acknowledged(&self, point: LogPoint) -> bool {
        self.group
            .update_without_wake(|g| g.detector.commit_waits(point, clock::now()));
        let _guard = PendingProofGuard::commit(&self.pending_proofs, point);
        let proved = self.group.wait(|g| {
            let proved = g.acknowledgement.is_acknowledged(point);
            (proved || g.is_replaced(point.term)).then_some(proved)
        });
        let proved = proved.await;
        if proved {
            self.group.update_without_wake(|g| g.detector.commit_proved());
        }
        proved
    }

    /// Waits until a majority of the slots, asked after `since`, were not fenced above `term`. Then no primary of a
    /// later term had a write acknowledged before `since`. False when another primary is in effect by now.
    pub async fn wait_primary_confirmed(&self, term: Term, since: Time) -> bool {
        let _guard = PendingProofGuard::status(&self.pending_proofs, since);
        self.group
            .wait(|g| {
                let proved = g.survey.not_fenced_since(term, since) >= majority(g.survey.slots());
                (proved || g.is_replaced(term)).then_some(proved)
            })
            .await
    }

    /// Waits until a stream needs an answer of this slot.
    pub async fn next_query(&self, slot: Slot) -> SlotQuery {
        self.pending_proofs
            .wait(|pending_proofs| {
                let commit = pending_proofs.commits.last_key_value().map(|(point, _)| *point);
                let status = pending_proofs
                    .status_times
                    .last_key_value()
                    .map(|(since, _)| *since);
                self.group.read(|g| {
                    let asked = g.survey.last(slot).map(|r| r.asked);
                    match (commit, status) {
                        (Some(point), _) if !g.acknowledgement.holds(slot, point) => {
                            Some(SlotQuery::Received(point))
                        }
                        (_, Some(since)) if asked.is_none_or(|asked| asked < since) => {
                            Some(SlotQuery::Status)
                        }
                        _ => None,
                    }
                })
            })
            .await
    }

    /// Waits for the point that a slot must hold so that its data is at most `age` old.
    pub async fn point_for_age(&self, age: Duration) -> LogPoint {
        self.group.wait(|g| g.point_for_age(age, clock::now())).await
    }
}

/// A stream that is served.
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
    route.map_or(PriorityClass::Normal, |r| manifest.routes[r].class)
}
