//! Failover policy: when a primary is replaced, and by which backend server. Nothing here performs I/O.

use crate::{BackendServer, ClusterSnapshot, PrimaryRecord, ServerStatus};
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;
use wasabiyard_model::{InstanceId, LogPoint, Term, Time};

/// How long a primary may be missing from the server list before it counts as lost. Entries of the list expire while
/// the store is unavailable and come back after it returns.
const UNLISTED_PRIMARY_GRACE: Duration = Duration::from_millis(2_500);
/// Age at which the last report of an instance no longer counts.
const REPORT_LIFETIME: Duration = Duration::from_secs(1);
/// Fraction of the reporting instances that must find a primary unreachable before it is replaced, when every member
/// reports. The failover is fast then, since no view lease has to expire.
const FAST_FAILOVER_FRACTION: f64 = 0.3;
/// The same fraction when some members do not report. The failover has to wait for their view leases to expire and so
/// blocks writes for longer, which must pay off for more callers.
const SLOW_FAILOVER_FRACTION: f64 = 0.5;

/// Why a primary is replaced.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FailoverReason {
    /// The primary is draining or its failure domain is out of service.
    Leaving,
    /// The primary is unreachable for enough instances, or has been missing from the server list for too long.
    Lost,
}

/// Reports of which instances cannot reach which backend servers, and which primaries are missing from the server
/// list.
#[derive(Debug, Clone, Default)]
pub struct ReachabilityReports {
    unreachable: HashMap<InstanceId, (Time, Vec<Arc<str>>)>,
    unlisted_since: HashMap<Arc<str>, Time>,
}

impl ReachabilityReports {
    /// Replaces the report of an instance by the list of `servers` that it cannot reach now. An empty list counts as a
    /// report too.
    pub fn on_report(&mut self, from: InstanceId, servers: Vec<Arc<str>>, now: Time) {
        self.unreachable.insert(from, (now, servers));
    }

    /// Number of instances with a current report that they cannot reach `server`.
    pub fn unreachable_count(&self, server: &str, now: Time) -> usize {
        self.unreachable
            .values()
            .filter(|(at, servers)| {
                now.saturating_since(*at) < REPORT_LIFETIME && servers.iter().any(|s| **s == *server)
            })
            .count()
    }

    /// Updates since when each recorded primary has been missing from the server list in `snapshot`.
    pub fn on_server_list(&mut self, snapshot: &ClusterSnapshot, now: Time) {
        let serving = snapshot.primaries.values().filter_map(PrimaryRecord::serving);
        let unlisted: Vec<_> = serving
            .filter(|id| !snapshot.servers.contains_key(*id))
            .map(Arc::clone)
            .collect();
        self.unlisted_since.retain(|id, _| unlisted.contains(id));
        for id in unlisted {
            self.unlisted_since.entry(id).or_insert(now);
        }
    }

    /// Whether so many instances cannot reach a server that replacing it helps more callers than it delays.
    fn reaches_failover_threshold(&self, server: &str, snapshot: &ClusterSnapshot, now: Time) -> bool {
        let reporting = snapshot
            .members
            .iter()
            .filter(|m| {
                let report = self.unreachable.get(&m.id);
                report.is_some_and(|(at, _)| now.saturating_since(*at) < REPORT_LIFETIME)
            })
            .count();
        let threshold = if reporting == snapshot.members.len() {
            FAST_FAILOVER_FRACTION
        } else {
            SLOW_FAILOVER_FRACTION
        };
        let affected = self.unreachable_count(server, now);
        affected > 0 && affected as f64 >= reporting as f64 * threshold
    }

    fn is_unlisted_past_grace(&self, server: &str, now: Time) -> bool {
        self.unlisted_since
            .get(server)
            .is_some_and(|since| now.saturating_since(*since) > UNLISTED_PRIMARY_GRACE)
    }
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
    if !has_candidate(service, primary, snapshot) {
        return None;
    }
    if listed.is_some_and(|s| !snapshot.accepts_new_work(s)) {
        return Some(FailoverReason::Leaving);
    }
    let unlisted_past_grace = listed.is_none() && reports.is_unlisted_past_grace(primary, now);
    let lost = unlisted_past_grace || reports.reaches_failover_threshold(primary, snapshot, now);
    lost.then_some(FailoverReason::Lost)
}

fn has_candidate(service: &str, primary: &str, snapshot: &ClusterSnapshot) -> bool {
    candidates(service, primary, snapshot).next().is_some()
}

/// Backend servers of the service that accept new work and may take over from the primary `from`.
pub fn candidates<'a>(
    service: &'a str,
    from: &'a str,
    snapshot: &'a ClusterSnapshot,
) -> impl Iterator<Item = &'a Arc<BackendServer>> {
    snapshot
        .servers
        .values()
        .filter(move |s| *s.service == *service && *s.id != *from && snapshot.accepts_new_work(s))
}

/// The status that a failover candidate reported.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CandidateStatus {
    /// Id of the candidate.
    pub server: Arc<str>,
    /// Its reported role, term and log point.
    pub status: ServerStatus,
}

/// Chooses the candidate with the highest received log point, so that the promotion loses as few commits as possible.
/// Ties go to the smaller id, so that the next holder of the failover lease makes the same choice.
pub fn choose_candidate(statuses: &[CandidateStatus]) -> Option<&CandidateStatus> {
    statuses
        .iter()
        .max_by(|a, b| (a.status.received, &b.server).cmp(&(b.status.received, &a.server)))
}

/// The highest term and the highest received log point among the servers; defaults when `statuses` is empty.
pub fn newest_term_and_point(statuses: &[CandidateStatus]) -> (Term, LogPoint) {
    let term = statuses.iter().map(|s| s.status.term).max();
    let point = statuses.iter().map(|s| s.status.received).max();
    (term.unwrap_or_default(), point.unwrap_or_default())
}
