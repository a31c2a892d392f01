//! The record in the store that names the primary of a service.

use crate::ServerStatus;
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use wasabiyard_model::{Term, TermHistory};

/// Orders of a promotion without effect from which on candidates take turns.
const MAX_ORDERS: u32 = 3;

/// State of a service's primary, or of its replacement.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Leadership {
    /// The primary accepts work.
    Serving {
        /// Id of the primary.
        primary: Arc<str>,
    },
    /// The primary must get no more work, and no candidate has been chosen yet.
    Moving {
        /// The primary that is replaced.
        from: Arc<str>,
    },
    /// A candidate has been chosen, and its promotion is ordered.
    Promoting {
        /// The primary that is replaced.
        from: Arc<str>,
        /// Id of the backend server that is to become the primary.
        candidate: Arc<str>,
    },
}

impl Leadership {
    /// The primary, or the one that is being replaced.
    pub const fn last_primary(&self) -> &Arc<str> {
        match self {
            Self::Serving { primary } => primary,
            Self::Moving { from } | Self::Promoting { from, .. } => from,
        }
    }
}

/// Leadership of one service. The epoch rises with each change, so that a message about an older state can be ignored.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PrimaryRecord {
    /// Number of changes of the record, starting at 1.
    pub epoch: u64,
    /// State of the primary as of this epoch.
    pub leadership: Leadership,
    /// Newest term that is known to precede the next promotion; the default while none is known. A backend server that
    /// claims to be the primary of this term or an earlier one has not been promoted since.
    #[serde(default)]
    pub term: Term,
    /// The terms that promotions have begun, and the log positions after which they did.
    #[serde(default)]
    pub history: TermHistory,
    /// Whether no promotion has been ordered since a server was seen to lead `term`. Whoever claims to lead that term is
    /// the primary then; otherwise it may be one that has not heard of its successor. Records of builds before this field
    /// do not tell.
    #[serde(default)]
    pub is_term_current: bool,
    /// Promotions that have been ordered since the service last had a primary.
    #[serde(default)]
    pub orders: u32,
}

impl PrimaryRecord {
    /// The first record of a service, with a serving primary.
    pub fn first(primary: Arc<str>) -> Self {
        Self {
            epoch: 1,
            leadership: Leadership::Serving { primary },
            term: Term(0),
            history: TermHistory::default(),
            is_term_current: false,
            orders: 0,
        }
    }

    /// The next record of the service, with an epoch higher by one.
    #[must_use]
    pub fn followed_by(&self, leadership: Leadership) -> Self {
        Self {
            epoch: self.epoch + 1,
            leadership,
            ..self.clone()
        }
    }

    /// The record to write before the promotion of a candidate is ordered.
    #[must_use]
    pub fn promoting(&self, from: Arc<str>, candidate: Arc<str>, status: &ServerStatus) -> Self {
        Self {
            is_term_current: false,
            orders: self.orders + 1,
            ..self
                .followed_by(Leadership::Promoting { from, candidate })
                .with_term(self.term_before_promotion(status))
        }
    }

    /// The record after the promotion of a candidate, which reports `promoted` before it gets any work.
    #[must_use]
    pub fn after_promotion(&self, leadership: Leadership, promoted: &ServerStatus) -> Self {
        let mut next = self.led_by(leadership, promoted.term);
        next.history.fork(promoted.term, promoted.received.position);
        next
    }

    /// The record after a server was found to lead, which reports `leader` before it gets any work. One that leads the
    /// recorded term has not been promoted since, and begins no new branch of the history.
    #[must_use]
    pub fn after_look(&self, leadership: Leadership, leader: &ServerStatus) -> Self {
        if leader.term > self.term {
            self.after_promotion(leadership, leader)
        } else {
            self.led_by(leadership, self.term)
        }
    }

    /// Whether another record has the same epoch and a different content. At most one write succeeds on each version of a
    /// record, so this takes a writer that does not keep to that, or a store that has lost a write.
    pub fn conflicts_with(&self, other: &Self) -> bool {
        self.epoch == other.epoch && self != other
    }

    /// The same record with no primary in use.
    #[must_use]
    pub fn out_of_use(&self) -> Self {
        let from = Arc::clone(self.leadership.last_primary());
        Self {
            leadership: Leadership::Moving { from },
            ..self.clone()
        }
    }

    /// The record that ends a difference between this record, which instances know, and `stored`, the one in the store. Its
    /// epoch exceeds those of both and `floor`. If both have the same epoch, some instances may use the one and some the
    /// other, so it takes every primary out of use.
    #[must_use]
    pub fn reconciled_with(&self, stored: Option<&Self>, floor: u64) -> Self {
        let epoch = stored.map_or(0, |s| s.epoch).max(self.epoch).max(floor) + 1;
        match stored {
            Some(stored) if stored.epoch >= self.epoch => Self {
                epoch,
                term: self.term.max(stored.term),
                is_term_current: false,
                ..stored.out_of_use()
            },
            _ => Self {
                epoch,
                ..self.clone()
            },
        }
    }

    fn led_by(&self, leadership: Leadership, term: Term) -> Self {
        Self {
            is_term_current: true,
            orders: 0,
            ..self.followed_by(leadership).with_term(term)
        }
    }

    /// The same record with another term.
    #[must_use]
    pub fn with_term(mut self, term: Term) -> Self {
        self.term = term;
        self
    }

    /// The term that a promotion of a candidate has to exceed. While no term is known, that of the candidate counts: a
    /// replica has seen the term of its primary, and a former primary claims its own one.
    pub fn term_before_promotion(&self, candidate: &ServerStatus) -> Term {
        if self.term == Term::default() {
            candidate.term
        } else {
            self.term
        }
    }

    /// Whether a status shows that its server was promoted after the recorded term. The role alone does not: a former
    /// primary that has not heard of its successor claims to be one too.
    pub fn is_promoted(&self, status: &ServerStatus) -> bool {
        status.primary && status.term > self.term
    }

    /// Whether a status shows that its server leads now, whatever its id: it was promoted after the recorded term, or it is
    /// still the primary of that term, because nobody was ordered to succeed it. A primary that crashes and comes back
    /// under another id does not change its term.
    pub fn is_led_by(&self, status: &ServerStatus) -> bool {
        let is_later = self.term != Term::default() && self.is_promoted(status);
        is_later || (self.is_term_current && status.primary && status.term == self.term)
    }

    /// Id of a candidate whose promotion has been ordered so often without effect that another one is preferred.
    pub fn fruitless_candidate(&self) -> Option<&Arc<str>> {
        match &self.leadership {
            Leadership::Promoting { candidate, .. } if self.orders >= MAX_ORDERS => Some(candidate),
            _ => None,
        }
    }

    /// Id of the primary; `None` while it is being replaced.
    pub fn serving(&self) -> Option<&Arc<str>> {
        match &self.leadership {
            Leadership::Serving { primary } => Some(primary),
            Leadership::Moving { .. } | Leadership::Promoting { .. } => None,
        }
    }
}
