//! When a primary is replaced, and by which server.

use crate::{BackendServer, Directory, PrimaryRecord, ServerStatus};
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;
use wasabiyard_model::{InstanceId, LogPoint, Term, Time};

/// How long a primary that is no longer listed may still be used. Entries lapse while the store is away.
const UNLISTED_GRACE: Duration = Duration::from_millis(2_500);
/// An instance that was not heard for this long has no say.
const REPORT_LIFETIME: Duration = Duration::from_secs(1);
/// Part of the instances that must miss a primary before it is replaced, when all of them are in touch and the change
/// is therefore quick.
const FAST_FAILOVER_FRACTION: f64 = 0.3;
/// Part of the instances in touch that must miss a primary before it is replaced, when others are not in touch and
/// their view leases have to end first.
const SLOW_FAILOVER_FRACTION: f64 = 0.5;

/// Why a primary is replaced.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FailoverReason {
    /// It is about to stop or its failure domain is taken out of service.
    Leaving,
    /// It does not answer, or is gone.
    Lost,
}

/// Which instances cannot reach which servers.
#[derive(Debug, Clone, Default)]
pub struct ReachabilityReports {
    unreachable: HashMap<InstanceId, (Time, Vec<Arc<str>>)>,
    unlisted_since: HashMap<Arc<str>, Time>,
}

impl ReachabilityReports {
    /// Takes over what an instance says.
    pub fn on_report(&mut self, from: InstanceId, servers: Vec<Arc<str>>, now: Time) {
        self.unreachable.insert(from, (now, servers));
    }

    /// Number of instances that cannot reach a server.
    pub fn unreachable_count(&self, server: &str, now: Time) -> usize {
        self.unreachable
            .values()
            .filter(|(at, servers)| {
                now.saturating_since(*at) < REPORT_LIFETIME && servers.iter().any(|s| **s == *server)
            })
            .count()
    }

    /// Records which of the recorded primaries are listed.
    pub fn on_server_list(&mut self, directory: &Directory, now: Time) {
        let serving = directory.primaries.values().filter_map(PrimaryRecord::serving);
        let unlisted: Vec<_> = serving
            .filter(|id| !directory.servers.contains_key(*id))
            .map(Arc::clone)
            .collect();
        self.unlisted_since.retain(|id, _| unlisted.contains(id));
        for id in unlisted {
            self.unlisted_since.entry(id).or_insert(now);
        }
    }

    /// Whether enough instances miss a server for a change of primary to help more callers than it holds up.
    fn reaches_failover_threshold(&self, server: &str, directory: &Directory, now: Time) -> bool {
        let reporting = directory
            .members
            .iter()
            .filter(|m| {
                let report = self.unreachable.get(&m.id);
                report.is_some_and(|(at, _)| now.saturating_since(*at) < REPORT_LIFETIME)
            })
            .count();
        let threshold = if reporting == directory.members.len() {
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
            .is_some_and(|since| now.saturating_since(*since) > UNLISTED_GRACE)
    }
}

/// Whether and why the primary of a service should be replaced.
pub fn failover_reason(
    service: &str,
    directory: &Directory,
    reports: &ReachabilityReports,
    now: Time,
) -> Option<FailoverReason> {
    let primary = directory.primaries.get(service)?.serving()?;
    let listed = directory.servers.get(primary);
    if !has_candidate(service, primary, directory) {
        return None;
    }
    if listed.is_some_and(|s| !directory.takes_new_work(s)) {
        return Some(FailoverReason::Leaving);
    }
    let gone = listed.is_none() && reports.is_unlisted_past_grace(primary, now);
    let lost = gone || reports.reaches_failover_threshold(primary, directory, now);
    lost.then_some(FailoverReason::Lost)
}

fn has_candidate(service: &str, primary: &str, directory: &Directory) -> bool {
    candidates(service, primary, directory).next().is_some()
}

/// Servers that may take over from `from`.
pub fn candidates<'a>(
    service: &'a str,
    from: &'a str,
    directory: &'a Directory,
) -> impl Iterator<Item = &'a Arc<BackendServer>> {
    directory
        .servers
        .values()
        .filter(move |s| *s.service == *service && *s.id != *from && directory.takes_new_work(s))
}

/// What a candidate said of itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CandidateStatus {
    /// Its id.
    pub server: Arc<str>,
    /// Its answer.
    pub status: ServerStatus,
}

/// The candidate that has received most, so that a promotion drops as little as possible. Ties go to the smaller id,
/// so that another holder of the duty chooses the same.
pub fn choose_candidate(statuses: &[CandidateStatus]) -> Option<&CandidateStatus> {
    statuses
        .iter()
        .max_by(|a, b| (a.status.received, &b.server).cmp(&(b.status.received, &a.server)))
}

/// Newest term and log point that any of the servers has.
pub fn newest_term_and_point(statuses: &[CandidateStatus]) -> (Term, LogPoint) {
    let term = statuses.iter().map(|s| s.status.term).max();
    let point = statuses.iter().map(|s| s.status.received).max();
    (term.unwrap_or_default(), point.unwrap_or_default())
}
