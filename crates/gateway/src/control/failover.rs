//! Failover policy: when a primary is replaced, and which backend servers may succeed it. Nothing here performs I/O.

use crate::{BackendServer, ClusterSnapshot, PrimaryRecord, Role};
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;
use wasabiyard_model::{InstanceId, Time};

/// How long a server may be missing from the server list before it counts as gone. Entries of the list expire while the
/// store is unavailable and come back after it returns.
const UNLISTED_GRACE: Duration = Duration::from_millis(2_500);
/// How long a primary may be listed as a replica before it is asked. The list lags behind a promotion.
const REPLICA_GRACE: Duration = Duration::from_millis(1_500);
/// Shortest age at which the last report of an instance no longer counts.
const MIN_REPORT_LIFETIME: Duration = Duration::from_secs(1);
/// The same in heartbeat periods, so that one lost heartbeat does not make an instance count as silent.
const REPORT_LIFETIME_PERIODS: f64 = 2.5;
/// Shortest interval between heartbeats to the holder of the failover lease.
const MIN_HEARTBEAT_PERIOD: Duration = Duration::from_millis(200);
/// Interval between heartbeats for each instance of the fleet, so that the load on the lease holder stays bounded.
const HEARTBEAT_PERIOD_PER_INSTANCE: Duration = Duration::from_millis(4);
/// Fraction of the instances that know a primary's state that must find it unreachable before it is replaced, when every
/// member reports. The failover is fast then, since no view lease has to expire.
const FAST_FAILOVER_FRACTION: f64 = 0.3;
/// The same fraction when some members do not report. The failover has to wait for their view leases to expire and so
/// blocks writes for longer, which must pay off for more callers.
const SLOW_FAILOVER_FRACTION: f64 = 0.5;

/// Smallest fleet in which an instance uses each server only every few seconds. There an instance that reports nothing of
/// a server has not used it, while in a smaller one it reaches that server.
const SPARSE_FLEET_INSTANCES: usize = 60;
/// Fewest instances of such a fleet that must find a primary unreachable, since few may have used it lately.
const MIN_SPARSE_WITNESSES: u32 = 3;

/// Interval between the heartbeats of an instance of a fleet.
pub fn heartbeat_period(fleet_size: usize) -> Duration {
    MIN_HEARTBEAT_PERIOD.max(HEARTBEAT_PERIOD_PER_INSTANCE * fleet_size as u32)
}

fn report_lifetime(fleet_size: usize) -> Duration {
    MIN_REPORT_LIFETIME.max(heartbeat_period(fleet_size).mul_f64(REPORT_LIFETIME_PERIODS))
}

/// Why a primary is replaced.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FailoverReason {
    /// The primary is draining or its failure domain is out of service.
    Leaving,
    /// The primary is unreachable for enough instances, or has been missing from the server list for too long.
    Lost,
    /// The primary answers that it is a replica, for example because another server was promoted by an order that was held up.
    Deposed,
}

/// What an instance has experienced with backend servers since its last heartbeat.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerContacts {
    /// Ids of the servers that do not answer it.
    pub unreachable: Vec<Arc<str>>,
    /// Ids of the servers that have answered it.
    pub reached: Vec<Arc<str>>,
}

/// Reports of which instances cannot reach which backend servers, and which primaries are missing from the server
/// list.
#[derive(Debug, Clone, Default)]
pub struct ReachabilityReports {
    /// The last report of each instance, with the time at which it was received.
    reports: HashMap<InstanceId, (Time, ServerContacts)>,
    unlisted_since: HashMap<Arc<str>, Time>,
    /// Since when primaries have been listed as replicas, or when they were last asked about it.
    replica_since: HashMap<Arc<str>, Time>,
    /// Services of the servers in the last list, by id.
    listed: HashMap<Arc<str>, Arc<str>>,
    /// Service of each server that has disappeared from the list, with the time since when it has been missing.
    lapsed: HashMap<Arc<str>, (Arc<str>, Time)>,
}

impl ReachabilityReports {
    /// Replaces the report of an instance. One without any contact counts as a report too.
    pub fn on_report(&mut self, from: InstanceId, contacts: ServerContacts, now: Time) {
        self.reports.insert(from, (now, contacts));
    }

    /// The current reports of registered instances.
    fn current<'a>(
        &'a self,
        snapshot: &'a ClusterSnapshot,
        now: Time,
    ) -> impl Iterator<Item = &'a ServerContacts> {
        let lifetime = report_lifetime(snapshot.fleet_size());
        let reports = snapshot.members.iter().filter_map(|m| self.reports.get(&m.id));
        let current = reports.filter(move |(received, _)| now.saturating_since(*received) < lifetime);
        current.map(|(_, contacts)| contacts)
    }

    /// Updates since when servers have been missing from the server list in `snapshot`, or listed as replicas.
    pub fn on_server_list(&mut self, snapshot: &ClusterSnapshot, now: Time) {
        self.update_lapsed(snapshot, now);
        let serving = snapshot.primaries.values().filter_map(PrimaryRecord::serving);
        let (listed, unlisted): (Vec<_>, Vec<_>) = serving.partition(|id| snapshot.servers.contains_key(*id));
        update_since(&mut self.unlisted_since, unlisted, now);
        let replicas = listed
            .into_iter()
            .filter(|id| snapshot.servers[*id].role == Role::Replica);
        update_since(&mut self.replica_since, replicas.collect(), now);
    }

    /// Whether a primary has been listed as a replica for so long that it has to be asked which one it is.
    pub fn may_be_deposed(&self, primary: &str, now: Time) -> bool {
        let since = self.replica_since.get(primary);
        since.is_some_and(|since| now.saturating_since(*since) > REPLICA_GRACE)
    }

    /// Records that a primary was asked, so that it is asked again only after a while.
    pub fn on_primary_asked(&mut self, primary: &str, now: Time) {
        if let Some(since) = self.replica_since.get_mut(primary) {
            *since = now;
        }
    }

    fn update_lapsed(&mut self, snapshot: &ClusterSnapshot, now: Time) {
        let listed = snapshot.servers.values();
        let listed = listed
            .map(|s| (Arc::clone(&s.id), Arc::clone(&s.service)))
            .collect();
        for (id, service) in std::mem::replace(&mut self.listed, listed) {
            self.lapsed.entry(id).or_insert((service, now));
        }
        let listed = &self.listed;
        self.lapsed
            .retain(|id, (_, since)| !listed.contains_key(id) && !is_gone(*since, now));
    }

    /// Servers of a service that are missing from the server list, but not for so long that they count as gone.
    pub fn lapsed<'a>(&'a self, service: &'a str, now: Time) -> impl Iterator<Item = &'a Arc<str>> {
        let lapsed = self.lapsed.iter();
        let lapsed = lapsed.filter(move |(_, (of, since))| **of == *service && !is_gone(*since, now));
        lapsed.map(|(id, _)| id)
    }

    /// Whether a server counts as unreachable, or has been missing from the server list for too long.
    pub fn is_lost(&self, server: &str, snapshot: &ClusterSnapshot, now: Time) -> bool {
        let is_listed = snapshot.servers.contains_key(server);
        (!is_listed && self.is_unlisted_past_grace(server, now))
            || self.reaches_failover_threshold(server, snapshot, now)
    }

    /// Whether so many instances cannot reach a server that replacing it helps more callers than it delays.
    fn reaches_failover_threshold(&self, server: &str, snapshot: &ClusterSnapshot, now: Time) -> bool {
        let fleet_size = snapshot.fleet_size();
        let is_sparse = fleet_size >= SPARSE_FLEET_INSTANCES;
        let (mut reporting, mut unreachable, mut reached) = (0, 0, 0);
        for contacts in self.current(snapshot, now) {
            reporting += 1;
            if contacts.unreachable.iter().any(|id| **id == *server) {
                unreachable += 1;
            } else if !is_sparse || contacts.reached.iter().any(|id| **id == *server) {
                reached += 1;
            }
        }
        let threshold = if reporting == fleet_size {
            FAST_FAILOVER_FRACTION
        } else {
            SLOW_FAILOVER_FRACTION
        };
        let min_unreachable = if is_sparse { MIN_SPARSE_WITNESSES } else { 1 };
        unreachable >= min_unreachable
            && f64::from(unreachable) >= f64::from(unreachable + reached) * threshold
    }

    fn is_unlisted_past_grace(&self, server: &str, now: Time) -> bool {
        let since = self.unlisted_since.get(server);
        since.is_some_and(|since| is_gone(*since, now))
    }
}

/// Keeps the times of `ids` only, and starts those that are new at `now`.
fn update_since(since: &mut HashMap<Arc<str>, Time>, ids: Vec<&Arc<str>>, now: Time) {
    since.retain(|id, _| ids.contains(&id));
    for id in ids {
        since.entry(Arc::clone(id)).or_insert(now);
    }
}

fn is_gone(unlisted_since: Time, now: Time) -> bool {
    now.saturating_since(unlisted_since) > UNLISTED_GRACE
}

/// Why the primary of a service should be replaced now; `None` when it should stay, is being replaced already, or no
/// backend server could take over.
pub fn failover_reason(
    service: &str,
    snapshot: &ClusterSnapshot,
    reports: &ReachabilityReports,
    now: Time,
) -> Option<FailoverReason> {
    let primary = snapshot.primaries.get(service)?.serving()?;
    let listed = snapshot.servers.get(primary);
    let mut candidates = candidates(service, primary, snapshot).peekable();
    candidates.peek()?;
    if listed.is_some_and(|s| !snapshot.accepts_new_work(s)) {
        let has_successor = candidates.any(|c| snapshot.accepts_new_work(c));
        return has_successor.then_some(FailoverReason::Leaving);
    }
    let is_lost = reports.is_lost(primary, snapshot, now);
    is_lost.then_some(FailoverReason::Lost)
}

/// Backend servers that may take over from the primary `from` of a service. Without `sync_replicas` only those that accept
/// new work; with them the others too, since one of those may be the only one that holds an acknowledged commit.
pub fn candidates<'a>(
    service: &'a str,
    from: &'a str,
    snapshot: &'a ClusterSnapshot,
) -> impl Iterator<Item = &'a Arc<BackendServer>> {
    let may_lead =
        move |s: &BackendServer| snapshot.sync_replicas(service) > 0 || snapshot.accepts_new_work(s);
    let others = snapshot
        .servers
        .values()
        .filter(move |s| *s.service == *service && *s.id != *from);
    others.filter(move |s| may_lead(s))
}

/// Whether a server that has just been promoted gets no work, but leads until another one has received its log: it was
/// promoted for commits that must survive, and a server that stays can take over from it.
pub fn only_passes_log_on(service: &str, promoted: &str, snapshot: &ClusterSnapshot) -> bool {
    let is_leaving = (snapshot.servers.get(promoted)).is_some_and(|s| !snapshot.accepts_new_work(s));
    let mut others = candidates(service, promoted, snapshot);
    is_leaving && snapshot.sync_replicas(service) > 0 && others.any(|s| snapshot.accepts_new_work(s))
}
