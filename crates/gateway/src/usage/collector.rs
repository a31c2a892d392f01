//! Counts received from all instances.
//!
//! Every instance collects what is sent to it, whether it holds the failover lease or not: the holder sends its own counts to those
//! that would acquire the lease next.

use super::organisation_counts::{OrganisationCounts, add_counts};
use super::{MAX_KEPT_WINDOWS, WindowCounts, WindowId};
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use wasabiyard_model::{Incarnation, InstanceId};
use wasabiyard_platform::ListedInstance;

/// How far ahead of the present window a window may be that is accepted, since clocks differ.
const MAX_WINDOWS_AHEAD: u64 = 1;

/// A process that counts. Its predecessor under the same id has counts of its own.
type Source = (InstanceId, Incarnation);

/// Counts of one process in one window.
#[derive(Debug, Default)]
struct SourceCounts {
    counts: OrganisationCounts,
    /// Number of organisations in the final counts, once they have begun to arrive.
    organisations: Option<u32>,
}

impl SourceCounts {
    fn is_complete(&self) -> bool {
        self.organisations
            .is_some_and(|expected| self.counts.len() >= expected as usize)
    }

    /// Applies a message. Final counts replace interim ones, which only rise.
    fn apply(&mut self, message: &WindowCounts) {
        match (self.organisations, message.organisations) {
            (Some(_), None) => return,
            (None, Some(expected)) => {
                self.counts.clear();
                self.organisations = Some(expected);
            }
            _ => {}
        }
        for (organisation, count) in &message.counts {
            let known = self.counts.entry(Arc::clone(organisation)).or_default();
            *known = (*count).max(*known);
        }
    }
}

/// Counts by window and process.
#[derive(Debug, Default)]
pub struct UsageCollector {
    windows: BTreeMap<WindowId, BTreeMap<Source, SourceCounts>>,
    /// First window of each process.
    since: HashMap<Source, WindowId>,
    recorded: Option<WindowId>,
}

impl UsageCollector {
    /// Applies the counts of a process. Returns whether all its counts of that window are known, or are no longer needed.
    pub fn on_counts(
        &mut self,
        from: &InstanceId,
        incarnation: Incarnation,
        message: &WindowCounts,
        window_now: WindowId,
    ) -> bool {
        let window = message.window;
        if self.recorded.is_some_and(|recorded| window <= recorded) {
            return true;
        }
        if window > window_now.plus(MAX_WINDOWS_AHEAD) || window.plus(MAX_KEPT_WINDOWS) < window_now {
            return false;
        }
        let source = (from.clone(), incarnation);
        self.since.insert(source.clone(), message.since);
        let counts = self.windows.entry(window).or_default().entry(source).or_default();
        counts.apply(message);
        let is_complete = counts.is_complete();
        self.windows = self.windows.split_off(&window_now.minus(MAX_KEPT_WINDOWS));
        is_complete
    }

    /// Forgets windows up to one whose report is recorded.
    pub fn on_recorded(&mut self, window: WindowId) {
        if self.recorded.is_some_and(|recorded| window <= recorded) {
            return;
        }
        self.recorded = Some(window);
        self.windows = self.windows.split_off(&window.plus(1));
    }

    /// Forgets processes that are neither registered nor needed for a window.
    pub fn retain_sources(&mut self, members: &[ListedInstance]) {
        let windows = &self.windows;
        self.since.retain(|source, _| {
            members
                .iter()
                .any(|m| m.id == source.0 && m.incarnation == source.1)
                || windows.values().any(|counts| counts.contains_key(source))
        });
    }

    /// Newest window that is known to be recorded.
    pub const fn recorded(&self) -> Option<WindowId> {
        self.recorded
    }

    /// Oldest window with counts that are not recorded.
    pub fn oldest_window(&self) -> Option<WindowId> {
        self.windows.keys().next().copied()
    }

    /// Live instances whose final counts of a window are not known.
    pub fn missing(&self, window: WindowId, members: &[ListedInstance]) -> Vec<InstanceId> {
        let counts = self.windows.get(&window);
        let is_known = |member: &&ListedInstance| {
            let source = (member.id.clone(), member.incarnation);
            let started_later = self.since.get(&source).is_some_and(|since| *since > window);
            started_later
                || counts
                    .and_then(|counts| counts.get(&source))
                    .is_some_and(SourceCounts::is_complete)
        };
        let missing = members.iter().filter(|member| !is_known(member));
        missing.map(|member| member.id.clone()).collect()
    }

    /// Sum of all counts of a window, also of processes that have ended.
    pub fn totals(&self, window: WindowId) -> OrganisationCounts {
        let mut totals = OrganisationCounts::new();
        for counts in self.windows.get(&window).into_iter().flat_map(BTreeMap::values) {
            add_counts(&mut totals, &counts.counts);
        }
        totals.retain(|_, count| *count > 0);
        totals
    }
}
