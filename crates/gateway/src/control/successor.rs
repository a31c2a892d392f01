//! Choice of the backend server that succeeds a primary. Nothing here performs I/O.
//!
//! The old primary acknowledges a commit once `sync_replicas` other servers have received it. A server that does not
//! answer may be the only one that holds such commits: a missing answer says nothing, and is never taken for an empty
//! log. A server that leaves may be the only one too. It is promoted then, but gets no work: it leads only until another
//! server has received its log.
//!
//! A former primary that was replaced without its last commits keeps them until it hears of its successor. Its log may
//! look like the most advanced one, but has left the history: callers have read without those commits since.
//!
//! A primary that crashes may come back as the primary by itself, also under another id. To order its promotion changes
//! nothing, so nothing that follows from an order can be waited for. It is used as it is, once it is sure that no other
//! server has been promoted meanwhile.

use crate::{PrimaryRecord, ServerStatus};
use std::sync::Arc;
use wasabiyard_model::LogPoint;

/// The status that a candidate reported.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CandidateStatus {
    /// Id of the candidate.
    pub server: Arc<str>,
    /// Its reported role, term and log point.
    pub status: ServerStatus,
    /// Whether it may get new work: it does not drain and its failure domain is in service.
    pub accepts_new_work: bool,
    /// Whether all of its log is part of the history of the service.
    pub in_history: bool,
}

/// What is known of the commits that the old primary has acknowledged.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AcknowledgedCommits {
    /// Last log point of the old primary; `None` if it does not answer.
    pub old_point: Option<LogPoint>,
    /// Number of other servers that have received a commit before it is acknowledged.
    pub sync_replicas: u32,
}

/// Answers of the servers that may succeed a primary.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct CandidateSurvey {
    /// Servers that have answered.
    pub answered: Vec<CandidateStatus>,
    /// Ids of the servers that have not answered.
    pub unheard: Vec<Arc<str>>,
}

impl CandidateSurvey {
    /// Chooses a candidate that holds every acknowledged commit: one that accepts new work if possible, then the one that
    /// has received most. When the time for waiting is over (`is_overdue`), the commits of the chosen one may be unknown,
    /// unless the service promises that they survive. Ties go to the smaller id, so that the next holder of the failover
    /// lease makes the same choice. One whose log has left the history is taken only if no other server is left.
    pub fn choose(&self, commits: AcknowledgedCommits, is_overdue: bool) -> Option<&CandidateStatus> {
        self.choose_besides(None, commits, is_overdue)
    }

    /// The same, but `avoided` is chosen only if no other candidate is eligible when the time for waiting is over.
    pub fn choose_besides(
        &self,
        avoided: Option<&str>,
        commits: AcknowledgedCommits,
        is_overdue: bool,
    ) -> Option<&CandidateStatus> {
        let may_lose = is_overdue && commits.sync_replicas == 0;
        let none_else = may_lose && self.unheard.is_empty() && !self.answered.iter().any(|c| c.in_history);
        let eligible = self.answered.iter().filter(|c| {
            let is_complete = may_lose || self.holds_all(c, commits);
            none_else || (c.in_history && is_complete)
        });
        let is_avoided = |c: &CandidateStatus| avoided == Some(&*c.server);
        let best = eligible.max_by(|a, b| {
            let rank = |c: &CandidateStatus| (!is_avoided(c), c.accepts_new_work, c.status.received);
            rank(a).cmp(&rank(b)).then_with(|| b.server.cmp(&a.server))
        });
        best.filter(|c| is_overdue || !is_avoided(c))
    }

    /// The server that leads already, so that no promotion is needed. One that was promoted is taken as soon as it answers.
    /// One that still leads the recorded term has every commit of it, so a candidate that is ahead shows that it has lost its
    /// log; the others are waited for until `is_overdue`.
    pub fn leader(&self, record: &PrimaryRecord, is_overdue: bool) -> Option<&CandidateStatus> {
        let leaders = self.answered.iter().filter(|c| record.is_led_by(&c.status));
        let leader = leaders.max_by_key(|c| c.status.term)?;
        let is_sure = leader.status.term > record.term
            || (self.is_most_advanced(leader) && (is_overdue || self.unheard.is_empty()));
        is_sure.then_some(leader)
    }

    /// The candidate of an accepted order that has had no effect, if that is because it was the primary before. If another
    /// server had been promoted, the order would have begun a later term by now, and the others may know one.
    pub fn leader_despite_order(&self, record: &PrimaryRecord, candidate: &str) -> Option<&CandidateStatus> {
        let knows_later_term = self.answered.iter().any(|c| c.status.term > record.term);
        let leader = self.answered.iter().find(|c| *c.server == *candidate)?;
        let still_leads = leader.status.primary && leader.status.term == record.term;
        (still_leads && !knows_later_term && self.is_most_advanced(leader)).then_some(leader)
    }

    fn is_most_advanced(&self, candidate: &CandidateStatus) -> bool {
        let mut rivals = self.answered.iter().filter(|c| c.in_history);
        rivals.all(|c| candidate.status.received >= c.status.received)
    }

    /// Whether a candidate is known to hold every acknowledged commit.
    pub fn holds_all(&self, candidate: &CandidateStatus, commits: AcknowledgedCommits) -> bool {
        let received = candidate.status.received;
        match commits.old_point {
            _ if !candidate.in_history => false,
            Some(old_point) if received >= old_point => true,
            Some(_) if commits.sync_replicas == 0 => false,
            _ => self.is_most_advanced(candidate) && self.is_conclusive(commits.sync_replicas),
        }
    }

    /// Whether a server that accepts new work has reached a log point.
    pub fn has_successor_at(&self, point: LogPoint) -> bool {
        let mut successors = self
            .answered
            .iter()
            .filter(|c| c.accepts_new_work && c.in_history);
        successors.any(|c| c.status.received >= point)
    }

    /// Whether so many servers have answered that one of them holds every commit that `sync_replicas` servers had to
    /// receive. Without such servers only the old primary is sure to hold it, and all others have to answer.
    pub fn is_conclusive(&self, sync_replicas: u32) -> bool {
        self.unheard.len() < (sync_replicas as usize).max(1)
    }

    /// Adds answers of a later survey. A server that has answered before counts with its last answer.
    pub fn merge(&mut self, later: Self) {
        let is_known = |known: &[CandidateStatus], id: &Arc<str>| known.iter().any(|c| c.server == *id);
        self.answered
            .retain(|c| !is_known(&later.answered, &c.server) && later.unheard.contains(&c.server));
        self.unheard = later.unheard;
        self.unheard.retain(|id| !is_known(&self.answered, id));
        self.answered.extend(later.answered);
    }
}

/// What to do with a server that leads while it is replaced.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OldPrimaryStep {
    /// Demote it and promote a successor.
    Demote,
    /// Let it lead without work until a successor has received its log.
    KeepLeading,
    /// Use it again.
    Resume,
}

/// Decides about a server that is replaced and leads up to `point`. Demoted, it no longer sends its log to others, so
/// with `sync_replicas` it has to lead until one of them holds what it has acknowledged. `is_usable` says whether it
/// accepts new work and is not reported as unreachable.
pub fn old_primary_step(
    point: LogPoint,
    survey: &CandidateSurvey,
    sync_replicas: u32,
    is_usable: bool,
) -> OldPrimaryStep {
    if sync_replicas == 0 || survey.has_successor_at(point) {
        OldPrimaryStep::Demote
    } else if is_usable {
        OldPrimaryStep::Resume
    } else {
        OldPrimaryStep::KeepLeading
    }
}
