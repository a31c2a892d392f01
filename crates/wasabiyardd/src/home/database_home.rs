//! The home of one database: its pool, and what is known of its slots.

use super::demand::{Demand, Question, Wanted};
use super::group_sql::{ReceivedAnswer, SlotStatus};
use super::group_state::GroupState;
use super::pool::Pool;
use super::settings::HomeSettings;
use super::tracker::Tracker;
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
    demand: Watch<Demand>,
    generation: AtomicU64,
    settle_until: Mutex<Time>,
    /// Streams that are served.
    streams: AtomicUsize,
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
            demand: Watch::default(),
            generation: AtomicU64::new(0),
            settle_until: Mutex::default(),
            streams: AtomicUsize::new(0),
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
        self.follow_primary();
        if moved || self.generation() == 0 {
            self.track(group);
        }
    }

    /// Starts to track the slots; tasks of an earlier configuration end.
    fn track(self: &Arc<Self>, group: &ReplicationGroup) {
        let generation = self.generation.fetch_add(1, Ordering::AcqRel) + 1;
        for (index, slot) in group.slots.iter().enumerate() {
            let Ok(address) = slot.address.parse() else {
                log::error!("the address {} of slot {} is not IP:PORT", slot.address, slot.id);
                continue;
            };
            let tracker = Tracker {
                home: Arc::downgrade(self),
                database: self.name.clone(),
                slot: Slot::new(index),
                address,
                generation,
                credential: self.settings.credential.clone(),
            };
            self.spawn_task(tracker.run());
        }
    }

    /// Takes no new streams, and closes the connections when those that are served have ended.
    pub fn close(&self) {
        self.closing.store(true, Ordering::Release);
        self.pool.close_when_unused();
        self.finish_if_unused();
    }

    /// Whether the home moved to another instance.
    pub fn is_closing(&self) -> bool {
        self.closing.load(Ordering::Acquire)
    }

    /// Counts a stream until the guard is dropped.
    pub fn enter(self: &Arc<Self>) -> StreamGuard {
        self.streams.fetch_add(1, Ordering::AcqRel);
        StreamGuard(Arc::clone(self))
    }

    /// Streams that are served.
    pub fn streams(&self) -> usize {
        self.streams.load(Ordering::Acquire)
    }

    /// Ends the trackers, which the last stream needed for the proof of its commit.
    fn finish_if_unused(&self) {
        if self.is_closing() && self.streams() == 0 {
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
    pub fn read<R>(&self, f: impl FnOnce(&GroupState) -> R) -> R {
        self.group.read(f)
    }

    /// Runs a task of this database.
    pub fn spawn_task(&self, task: impl Future<Output = ()> + Send + 'static) {
        if let Some(executor) = self.executor.upgrade() {
            executor.spawn(task).detach();
        }
    }

    /// A slot told its status.
    pub fn report(&self, slot: Slot, status: &SlotStatus, asked: Time) {
        self.group.update(|g| g.report(slot, status, asked, clock::now()));
        self.follow_primary();
    }

    /// A slot answered whether it holds `point`.
    /// Returns whether that counts towards the commit.
    pub fn received(&self, slot: Slot, point: LogPoint, answer: &ReceivedAnswer) -> bool {
        self.group.update(|g| {
            g.detector.answered(slot, clock::now());
            answer.reached && g.acknowledgement.confirm(slot, point, answer.fenced_term)
        })
    }

    /// A slot answered in another way, for instance that all its connections are in use.
    pub fn alive(&self, slot: Slot) {
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
    pub fn suspects(&self) -> Option<Suspicion> {
        let now = clock::now();
        if now < *self.settle_until.lock().expect("no holder of this lock panics") {
            return None;
        }
        self.group.read(|g| g.detector.suspicion(now))
    }

    /// Suspects nobody for a while.
    pub fn settle(&self, time: Duration) {
        *self.settle_until.lock().expect("no holder of this lock panics") = clock::now() + time;
    }

    fn follow_primary(&self) {
        let primary = self.group.read(GroupState::believed_primary);
        self.pool.set_primary(primary.map(|(slot, _)| slot));
    }

    /// What the queue needs to know of a stream.
    pub fn waiting(&self, open: &OpenStream, deadline: Time) -> QueuedRequest {
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
    pub fn plan(&self, point: LogPoint, deadline: Time) -> ReadPlan {
        let now = clock::now();
        let views = self.group.read(|g| g.views(|slot| self.pool.free(slot), now));
        ReadPlan::new(&views, Some(point), deadline, now, &mut rand::rng())
    }

    /// Waits until a majority of the slots held a commit. False when another primary is in effect by now, so that this
    /// cannot be proved any more.
    pub async fn acknowledged(&self, point: LogPoint) -> bool {
        self.group
            .update_quietly(|g| g.detector.commit_pending(point, clock::now()));
        let _wanted = Wanted::commit(&self.demand, point);
        let proved = self.group.wait(|g| {
            let proved = g.acknowledgement.is_acknowledged(point);
            (proved || g.is_replaced(point.term)).then_some(proved)
        });
        let proved = proved.await;
        if proved {
            self.group.update_quietly(|g| g.detector.commit_acknowledged());
        }
        proved
    }

    /// Waits until a majority of the slots, asked after `since`, were not fenced above `term`. Then no primary of a
    /// later term had a write acknowledged before `since`. False when another primary is in effect by now.
    pub async fn confirmed(&self, term: Term, since: Time) -> bool {
        let _wanted = Wanted::status(&self.demand, since);
        self.group
            .wait(|g| {
                let proved = g.survey.not_fenced_since(term, since) >= majority(g.survey.slots());
                (proved || g.is_replaced(term)).then_some(proved)
            })
            .await
    }

    /// Waits until a stream needs an answer of this slot.
    pub async fn question(&self, slot: Slot) -> Question {
        self.demand
            .wait(|demand| {
                let commit = demand.commits.last_key_value().map(|(point, _)| *point);
                let status = demand.statuses.last_key_value().map(|(since, _)| *since);
                self.group.read(|g| {
                    let asked = g.survey.last(slot).map(|r| r.requested_at);
                    match (commit, status) {
                        (Some(point), _) if !g.acknowledgement.holds(slot, point) => {
                            Some(Question::Received(point))
                        }
                        (_, Some(since)) if asked.is_none_or(|asked| asked < since) => Some(Question::Status),
                        _ => None,
                    }
                })
            })
            .await
    }

    /// Waits for the point that a slot must hold so that its data is at most `age` old.
    pub async fn age_point(&self, age: Duration) -> LogPoint {
        self.group.wait(|g| g.age_point(age, clock::now())).await
    }
}

/// A stream that is served.
#[derive(Debug)]
pub struct StreamGuard(Arc<DatabaseHome>);

impl Drop for StreamGuard {
    fn drop(&mut self) {
        self.0.streams.fetch_sub(1, Ordering::AcqRel);
        self.0.finish_if_unused();
    }
}

fn route_class(manifest: &Manifest, database: &str, route: &str) -> PriorityClass {
    let database = manifest.databases.values().find(|d| d.name == database);
    let route = database.and_then(|d| manifest.route(d.service, route));
    route.map_or(PriorityClass::Normal, |r| manifest.routes[r].class)
}
