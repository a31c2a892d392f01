//! Runs the promotions of one database: failovers, and planned handovers away from a slot that leaves service.

use super::database_home::DatabaseHome;
use super::group_sql::{self, FenceAnswer};
use super::settings::HomeSettings;
use super::slot_connection::SlotConnection;
use crate::clock;
use crate::counters::{self, Counter};
use async_channel::{Receiver, Sender};
use async_io::Timer;
use futures_lite::future;
use log::{info, warn};
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, Weak};
use std::time::Duration;
use wasabiyard_model::{Slot, Term, Time, Version};
use wasabiyard_platform::{
    GroupState as StoredGroupState, Platform, PlatformError, Precondition, ReplicationGroup, keys,
};
use wasabiyard_promotion::{
    Command, Event, Handover, HandoverStep, ObjectView, Promotion, PromotionOutcome, ReadFailure, Suspicion,
    WriteFailure,
};

/// Interval at which the state of the group is checked when no event arrives.
const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// Longest time to connect to a slot, and again for the answer to one command.
const SLOT_COMMAND_TIMEOUT: Duration = Duration::from_millis(500);
/// Longest time for one call of the platform, which usually answers within milliseconds.
const PLATFORM_CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// Time after a promotion in which the primary is not suspected, so that the status reports of the slots can catch up.
const SETTLE_DELAY: Duration = Duration::from_millis(500);

/// Number of the next promotion of this process, which makes its owner name unique. A fence that was granted to an
/// earlier run is thus not mistaken for one of a later run.
static NEXT_RUN_NUMBER: AtomicU64 = AtomicU64::new(1);

/// Drives the promotions of one database.
#[derive(Debug)]
pub struct Promoter<P> {
    home: Weak<DatabaseHome>,
    database: String,
    settings: HomeSettings,
    platform: Arc<P>,
    events: (Sender<Event>, Receiver<Event>),
    handover: Handover,
    /// After a run, nothing is decided until a slot reports to be primary in this term or later (in any term for
    /// `None`), but no longer than until this time.
    paused_after_run: Option<(Option<Term>, Time)>,
}

/// A promotion in progress, with what its commands need.
struct PromotionRun {
    owner: Arc<str>,
    promotion: Promotion,
    /// Name and address of each slot at the start of the run.
    slots: Vec<(String, SocketAddr)>,
    /// The group object as last read, on which the next write is based.
    object: Arc<Mutex<Option<ReplicationGroup>>>,
    started: Time,
}

impl<P> Promoter<P>
where
    P: Platform + 'static,
{
    /// Creates the promoter of `home`.
    pub fn new(home: &Arc<DatabaseHome>, settings: &HomeSettings, platform: &Arc<P>) -> Self {
        Self {
            home: Arc::downgrade(home),
            database: home.name().to_owned(),
            settings: settings.clone(),
            platform: Arc::clone(platform),
            events: async_channel::unbounded(),
            handover: Handover::default(),
            paused_after_run: None,
        }
    }

    /// Runs until the home is closing or dropped.
    pub async fn run(mut self) {
        let mut run: Option<PromotionRun> = None;
        loop {
            let event = future::or(
                async { self.events.1.recv().await.unwrap_or(Event::Tick) },
                async {
                    Timer::after(TICK_INTERVAL).await;
                    Event::Tick
                },
            )
            .await;
            let Some(home) = self.home.upgrade() else {
                return;
            };
            if home.is_closing() {
                // The promoter of the new home continues any unfinished promotion.
                home.pool().pause_primary_queue(false);
                return;
            }
            if run.is_none() {
                run = self.start_if_needed(&home);
            }
            let Some(current) = &mut run else { continue };
            self.handle_event(&home, current, &event);
            if let Some(outcome) = current.promotion.outcome() {
                self.log_end(&outcome, current);
                home.pause_suspicion(SETTLE_DELAY);
                self.paused_after_run = Some((
                    current.promotion.new_primary().map(|(_, term)| term),
                    clock::now() + SETTLE_DELAY,
                ));
                self.handover = Handover::default();
                run = None;
            }
        }
    }

    /// Starts a promotion when the primary is suspected to have failed, or when a handover is ready. Also pauses and
    /// resumes the primary queue for them.
    fn start_if_needed(&mut self, home: &Arc<DatabaseHome>) -> Option<PromotionRun> {
        let now = clock::now();
        let pool = home.pool();
        if let Some((term, until)) = self.paused_after_run {
            let current_term = home
                .read_group(|g| g.slot_reports.primary())
                .map(|(_, term)| term);
            if now < until && (current_term < term || current_term.is_none()) {
                return None;
            }
            self.paused_after_run = None;
            pool.pause_primary_queue(false);
        }
        if let Some(suspicion) = home.primary_suspicion() {
            let isolated_slot = match suspicion {
                Suspicion::Silent => None,
                Suspicion::Isolated(slot) => Some(slot),
            };
            pool.pause_primary_queue(false);
            self.handover = Handover::default();
            return Some(self.start(home, None, isolated_slot));
        }
        let step = home.read_group(|g| {
            let leaving = g.leaving_primary();
            let running = leaving.map_or(0, |slot| pool.in_use(slot));
            self.handover.tick(
                leaving,
                |slot| g.accepts_work(slot),
                running,
                &g.slot_reports,
                now,
            )
        });
        match step {
            HandoverStep::Serve => pool.pause_primary_queue(false),
            HandoverStep::PausePrimaryQueue => pool.pause_primary_queue(true),
            HandoverStep::Replace(target) => {
                pool.pause_primary_queue(true);
                return Some(self.start(home, Some(target), None));
            }
        }
        None
    }

    /// Starts a promotion. `target` is the slot that a planned handover prefers. `avoided_slot` is a primary that answers
    /// although no majority receives its log.
    fn start(
        &self,
        home: &Arc<DatabaseHome>,
        target: Option<Slot>,
        avoided_slot: Option<Slot>,
    ) -> PromotionRun {
        counters::add(Counter::PromotionsStarted, 1);
        let number = NEXT_RUN_NUMBER.fetch_add(1, Ordering::Relaxed);
        let owner = format!(
            "{}/{}/{number}",
            self.settings.instance, self.settings.incarnation
        );
        let now = clock::now();
        // Events of an earlier run carry its call numbers and terms, and must not reach this run.
        while self.events.1.try_recv().is_ok() {}
        let (promotion, commands, slots) = home.read_group(|g| {
            let replaced_term = g.believed_primary().map_or(Term(g.object.term), |(_, term)| term);
            let preference: Vec<u32> = (0..g.object.slots.len())
                .map(|index| Slot::from_u32(index as u32))
                .map(|slot| u32::from(g.accepts_work(slot)) + 2 * u32::from(target == Some(slot)))
                .collect();
            let (promotion, commands) = Promotion::start(
                &owner,
                replaced_term,
                g.slot_reports.highest_term(),
                &preference,
                avoided_slot,
                now,
            );
            let slots = g.object.slots.iter();
            let slots = slots.filter_map(|s| Some((s.id.clone(), s.address.parse().ok()?)));
            (promotion, commands, slots.collect::<Vec<_>>())
        });
        info!(
            "promotion of {} starts as {owner}, {}",
            self.database,
            match (target, avoided_slot) {
                (Some(_), _) => "planned",
                (None, Some(_)) => "no majority receives from the primary",
                (None, None) => "the primary is silent",
            }
        );
        let run = PromotionRun {
            owner: Arc::from(owner),
            promotion,
            slots,
            object: Arc::default(),
            started: now,
        };
        self.execute(home, &run, commands);
        run
    }

    fn handle_event(&self, home: &Arc<DatabaseHome>, run: &mut PromotionRun, event: &Event) {
        let now = clock::now();
        if let Some((_, term)) = home.read_group(|g| g.slot_reports.primary()) {
            // A primary in the term of this run is reported here too, and does not stop the run.
            run.promotion
                .handle(&Event::PrimarySeen { term }, now, &mut rand::rng());
        }
        let commands = run.promotion.handle(event, now, &mut rand::rng());
        self.execute(home, run, commands);
    }

    fn log_end(&self, outcome: &PromotionOutcome, run: &PromotionRun) {
        let millis = clock::now().saturating_since(run.started).as_millis();
        match outcome {
            PromotionOutcome::Promoted { slot, term } => {
                counters::add(Counter::PromotionsDone, 1);
                info!(
                    "{slot} is primary of {} in term {term} after {millis} ms",
                    self.database
                );
            }
            PromotionOutcome::Superseded => warn!(
                "promotion of {} stops after {millis} ms, another primary is in effect",
                self.database
            ),
        }
    }

    fn execute(&self, home: &Arc<DatabaseHome>, run: &PromotionRun, commands: Vec<Command>) {
        for command in commands {
            match command {
                Command::ReadObject { number } => self.read_object(home, run, number),
                Command::WriteObject {
                    number,
                    expected_version,
                    term,
                    primary,
                } => self.write_object(home, run, number, expected_version, term, primary),
                Command::Fence { slot, term } => self.fence(home, run, slot, term),
                Command::Promote { slot, term } => self.promote(home, run, slot, term),
            }
        }
    }

    fn read_object(&self, home: &Arc<DatabaseHome>, run: &PromotionRun, number: u64) {
        let platform = Arc::clone(&self.platform);
        let key = format!("{}{}", keys::GROUP_PREFIX, self.database);
        let (object, tx) = (Arc::clone(&run.object), self.events.0.clone());
        home.spawn_task(async move {
            let result = match with_platform_timeout(platform.get(&key)).await {
                Some(Ok(Some(read))) => match serde_json::from_value::<ReplicationGroup>(read.value) {
                    Ok(group) => Ok(object_view(group, read.version, &object)),
                    Err(_) => Err(ReadFailure::Unavailable),
                },
                Some(Ok(None)) => Err(ReadFailure::Missing),
                Some(Err(_)) | None => Err(ReadFailure::Unavailable),
            };
            let _gone = tx.try_send(Event::ObjectRead { number, result });
        });
    }

    fn write_object(
        &self,
        home: &Arc<DatabaseHome>,
        run: &PromotionRun,
        number: u64,
        expected_version: Version,
        term: Term,
        primary: Option<Slot>,
    ) {
        let Some(mut group) = run.object.lock().expect("no holder of this lock panics").clone() else {
            let result = Err(WriteFailure::Unavailable);
            let _gone = self.events.0.try_send(Event::ObjectWritten { number, result });
            return;
        };
        group.term = term.0;
        group.owner = run.owner.to_string();
        group.state = match primary {
            Some(_) => StoredGroupState::Stable,
            None => StoredGroupState::Promoting,
        };
        if let Some(slot) = primary {
            group.primary.clone_from(&run.slots[slot.as_u32() as usize].0);
        }
        let platform = Arc::clone(&self.platform);
        let key = format!("{}{}", keys::GROUP_PREFIX, self.database);
        let tx = self.events.0.clone();
        home.spawn_task(async move {
            let value = serde_json::to_value(&group).expect("a group has only text keys");
            let result = match with_platform_timeout(platform.put(
                &key,
                Precondition::Version(expected_version),
                &value,
            ))
            .await
            {
                Some(Ok(version)) => Ok(version),
                Some(Err(PlatformError::Conflict { .. })) => Err(WriteFailure::Conflict),
                Some(Err(PlatformError::Unavailable { .. })) => Err(WriteFailure::Unavailable),
                Some(Err(PlatformError::Unknown | PlatformError::Malformed { .. })) | None => {
                    Err(WriteFailure::Unknown)
                }
            };
            let _gone = tx.try_send(Event::ObjectWritten { number, result });
        });
    }

    fn fence(&self, home: &Arc<DatabaseHome>, run: &PromotionRun, slot: Slot, term: Term) {
        let sql = group_sql::fence(term, &run.owner);
        self.command_slot(home, run, slot, term, sql, move |rows| {
            let answer = FenceAnswer::parse(rows)?;
            Some(Event::Fenced {
                slot,
                term,
                granted: answer.granted,
                fenced_term: answer.fenced_term,
                last: answer.last,
            })
        });
    }

    fn promote(&self, home: &Arc<DatabaseHome>, run: &PromotionRun, slot: Slot, term: Term) {
        let sql = group_sql::promote(term, &run.owner);
        self.command_slot(home, run, slot, term, sql, move |rows| {
            let granted = group_sql::parse_granted(rows)?;
            Some(Event::PromoteAnswered { slot, term, granted })
        });
    }

    /// Runs a statement on a slot over a new connection, and sends the parsed answer as an event.
    fn command_slot(
        &self,
        home: &Arc<DatabaseHome>,
        run: &PromotionRun,
        slot: Slot,
        term: Term,
        sql: String,
        parse: impl FnOnce(&[group_sql::Row]) -> Option<Event> + Send + 'static,
    ) {
        let Some((_, address)) = run.slots.get(slot.as_u32() as usize).cloned() else {
            return;
        };
        let (database, credential) = (self.database.clone(), self.settings.credential.clone());
        let tx = self.events.0.clone();
        home.spawn_task(async move {
            let answer = async {
                let mut conn =
                    SlotConnection::connect(address, &database, &credential, SLOT_COMMAND_TIMEOUT).await?;
                conn.run_query(&sql, SLOT_COMMAND_TIMEOUT).await
            };
            let event = answer
                .await
                .and_then(|rows| parse(&rows).ok_or(io::ErrorKind::InvalidData.into()));
            let event = event.unwrap_or(Event::SlotFailed { slot, term });
            let _gone = tx.try_send(event);
        });
    }
}

/// Bounds a platform call by [`PLATFORM_CALL_TIMEOUT`]. `None` means that there was no answer in time.
async fn with_platform_timeout<T>(call: impl Future<Output = T>) -> Option<T> {
    future::or(async { Some(call.await) }, async {
        Timer::after(PLATFORM_CALL_TIMEOUT).await;
        None
    })
    .await
}

/// Keeps `group` in `last_read` for the next write, and returns the part of it that the promotion decides on.
fn object_view(
    group: ReplicationGroup,
    version: Version,
    last_read: &Mutex<Option<ReplicationGroup>>,
) -> ObjectView {
    let view = ObjectView {
        version,
        term: Term(group.term),
        owner: group.owner.clone(),
        stable: group.state == StoredGroupState::Stable,
    };
    *last_read.lock().expect("no holder of this lock panics") = Some(group);
    view
}
