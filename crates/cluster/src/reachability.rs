//! Estimates which share of the fleet this instance can reach.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;
use wasabiyard_model::{Instance, Time};

/// Results of probes older than this are dropped.
const SAMPLE_WINDOW: Duration = Duration::from_secs(4);
/// The success rate is used only with at least this many samples in the window; with fewer, every member that is not
/// dead is presumed to answer. The regular probes alone stay below it;
/// recent failures or an outage of the platform cause the extra probes that reach it.
const MIN_SAMPLES: usize = 16;
/// Two unanswered probes within this time, and more than a quarter of all, cause extra probes. At 5 % loss a tenth of
/// the probes are not answered directly, so without the required share the extra probes would keep causing more of
/// them.
const FAILURE_WINDOW: Duration = Duration::from_secs(3);
const MIN_FAILURES: usize = 2;
const FAILURE_SHARE_DIVISOR: usize = 4;

/// Estimates reachability from the results of recent probes.
///
/// One instance of 620 cannot contact a majority itself within 5 s at 3 KB/s. It samples random members instead: the
/// share of answered probes, times the number of members not known to be dead, estimates the number of members on this
/// side of a partition. Only answers to probes of this instance count, with the time at which the probe was sent, so
/// messages that reach a paused process late prove nothing.
#[derive(Debug, Default)]
pub struct ReachabilityEstimator {
    samples: VecDeque<Sample>,
    /// When the latest answered probe was sent.
    last_contact: Option<Time>,
}

/// The result of one probe of a random member.
#[derive(Debug)]
struct Sample {
    sent: Time,
    target: Instance,
    answered: bool,
}

impl ReachabilityEstimator {
    /// Records that a probe sent at `sent` was answered. `sampled` is its target if that was drawn at random from the
    /// members that are not dead.
    pub fn record_answer(&mut self, sent: Time, sampled: Option<Instance>) {
        self.last_contact = self.last_contact.max(Some(sent));
        if let Some(target) = sampled {
            self.samples.push_back(Sample {
                sent,
                target,
                answered: true,
            });
        }
    }

    /// Records that the probe of a random member sent at `sent` was not answered directly.
    pub fn record_failure(&mut self, sent: Time, target: Instance) {
        self.samples.push_back(Sample {
            sent,
            target,
            answered: false,
        });
    }

    /// Drops the samples of a member that is dead. It counts as unreachable from now on, so its failed probes would
    /// count it twice.
    pub fn forget(&mut self, target: Instance) {
        self.samples.retain(|s| s.target != target);
    }

    /// Number of samples of each member in the window.
    pub fn counts(&self) -> BTreeMap<Instance, usize> {
        let mut counts = BTreeMap::new();
        for sample in &self.samples {
            *counts.entry(sample.target).or_default() += 1;
        }
        counts
    }

    /// Drops samples that have left the window.
    pub fn trim(&mut self, now: Time) {
        self.samples
            .retain(|s| now.saturating_since(s.sent) <= SAMPLE_WINDOW);
    }

    /// Whether enough recent probes failed that extra ones are needed to tell a partition from message loss.
    pub fn needs_extra_probes(&self, now: Time) -> bool {
        let recent = |s: &&Sample| now.saturating_since(s.sent) <= FAILURE_WINDOW;
        let total = self.samples.iter().filter(recent).count();
        let failed = self.samples.iter().filter(recent).filter(|s| !s.answered).count();
        failed >= MIN_FAILURES && failed * FAILURE_SHARE_DIVISOR > total
    }

    /// Whether more than half of the members are reachable: this instance and the answering share of the `others`, the
    /// other members that are not dead. `unconfirmed_dead` is the number of members presumed dead without a proof.
    pub fn is_majority_reachable(&self, others: usize, unconfirmed_dead: usize, now: Time) -> bool {
        if others + unconfirmed_dead == 0 {
            return true;
        }
        if self
            .last_contact
            .is_none_or(|at| now.saturating_since(at) > SAMPLE_WINDOW)
        {
            return false;
        }
        let (answered, total) = if self.samples.len() < MIN_SAMPLES {
            (1, 1)
        } else {
            self.answering_members()
        };
        // (1 + others * answered / total) * 2 > 1 + others + unconfirmed_dead, in whole numbers.
        2 * (total + others * answered) > total * (1 + others + unconfirmed_dead)
    }

    /// Number of sampled members that answer, and number of sampled members. Each member counts once and answers if one
    /// of its last two probes was answered, so that in a small fleet the share is exact and one lost probe does not
    /// change it.
    fn answering_members(&self) -> (usize, usize) {
        let mut samples: Vec<&Sample> = self.samples.iter().collect();
        samples.sort_by_key(|s| s.sent);
        let mut last_two: BTreeMap<Instance, [bool; 2]> = BTreeMap::new();
        for sample in samples {
            let two = last_two.entry(sample.target).or_default();
            *two = [two[1], sample.answered];
        }
        let answered = last_two.values().filter(|two| two[0] || two[1]).count();
        (answered, last_two.len())
    }
}
