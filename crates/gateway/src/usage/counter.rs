//! Counting of the operations of this instance.
//!
//! An operation belongs to the window in which it was sent to a server, but counts only once it is known that the server did not
//! refuse it. The counts of a window are final when no operation of it is open any more, or some time after its end.

use super::organisation_counts::{OrganisationCounts, add_counts};
use super::{MAX_KEPT_WINDOWS, SharedFleetClock, UnixTime, UsageSettings, WindowId};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use wasabiyard_model::Time;

/// Time after the end of a window after which open operations count as run.
const OPEN_OPERATION_GRACE: Duration = Duration::from_secs(2);
/// Length of the periods in which operations are counted while the time is unknown.
const SLOT: Duration = Duration::from_millis(100);

/// Where an operation is counted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Period {
    /// A window.
    Window(WindowId),
    /// A period on the clock of this process, from before it knew the time.
    Slot(u64),
}

#[derive(Debug, Default)]
struct PeriodCounts {
    ran: OrganisationCounts,
    /// Operations that were sent and are not answered.
    open: OrganisationCounts,
}

impl PeriodCounts {
    fn merge(&mut self, other: &Self) {
        add_counts(&mut self.ran, &other.ran);
        add_counts(&mut self.open, &other.open);
    }
}

/// Counts operations by organisation and window.
#[derive(Debug)]
pub struct UsageCounter {
    settings: UsageSettings,
    clock: SharedFleetClock,
    /// Counts from before the time was known.
    slots: BTreeMap<u64, PeriodCounts>,
    /// Offset of the clock when the time became known, by which slots belong to windows.
    slot_offset: Option<i64>,
    open_windows: BTreeMap<WindowId, PeriodCounts>,
    final_windows: BTreeMap<WindowId, OrganisationCounts>,
    /// First window of this process.
    since: WindowId,
    /// First window whose counts are not final.
    next_final: WindowId,
    recorded: Option<WindowId>,
}

impl UsageCounter {
    /// Creates a counter that takes the time from `clock`.
    pub const fn new(settings: UsageSettings, clock: SharedFleetClock) -> Self {
        Self {
            settings,
            clock,
            slots: BTreeMap::new(),
            slot_offset: None,
            open_windows: BTreeMap::new(),
            final_windows: BTreeMap::new(),
            since: WindowId(0),
            next_final: WindowId(0),
            recorded: None,
        }
    }

    /// Opens an operation that is about to be sent to a server.
    pub fn open_operation(&mut self, organisation: &Arc<str>, now: Time) -> Period {
        let period = if self.slot_offset.is_some() {
            let window = self.settings.window_of(self.unix_time(now));
            Period::Window(window.max(self.next_final))
        } else {
            Period::Slot(now.as_micros() / SLOT.as_micros() as u64)
        };
        let counts = match period {
            Period::Window(window) => self.open_windows.entry(window).or_default(),
            Period::Slot(slot) => self.slots.entry(slot).or_default(),
        };
        *counts.open.entry(Arc::clone(organisation)).or_default() += 1;
        period
    }

    /// Ends an operation, which counts if it `ran`. Without effect if the counts are final.
    pub fn end_operation(&mut self, organisation: &Arc<str>, period: Period, ran: bool) {
        let counts = match period {
            Period::Window(window) => self.open_windows.get_mut(&window),
            Period::Slot(slot) => match self.slot_offset {
                None => self.slots.get_mut(&slot),
                Some(offset) => self.open_windows.get_mut(&self.window_of_slot(slot, offset)),
            },
        };
        let Some(counts) = counts else {
            return;
        };
        if let Some(open) = counts.open.get_mut(organisation) {
            *open -= 1;
            if *open == 0 {
                counts.open.remove(organisation);
            }
            if ran {
                *counts.ran.entry(Arc::clone(organisation)).or_default() += 1;
            }
        }
    }

    /// Assigns earlier counts to windows once the time is known, and ends windows.
    pub fn advance(&mut self, now: Time) {
        let offset = {
            let mut clock = self.clock.lock();
            clock.settle(now);
            clock.support().map(|_| clock.offset())
        };
        let Some(offset) = offset else {
            return;
        };
        let unix_now = self.unix_time(now);
        let window_now = self.settings.window_of(unix_now);
        if self.slot_offset.is_none() {
            self.assign_slots(offset, window_now);
        }
        self.follow_step(window_now);
        while self.settings.end_of(self.next_final) <= unix_now {
            let is_open = |counts: &PeriodCounts| !counts.open.is_empty();
            let has_open = self.open_windows.get(&self.next_final).is_some_and(is_open);
            if has_open && unix_now < self.settings.end_of(self.next_final) + OPEN_OPERATION_GRACE {
                break;
            }
            self.end_window();
        }
    }

    /// Ends all windows up to the present one, because this instance stops and sends nothing more to servers.
    pub fn end_all(&mut self, now: Time) {
        self.advance(now);
        if self.slot_offset.is_none() {
            return;
        }
        let window_now = self.settings.window_of(self.unix_time(now));
        while self.next_final <= window_now {
            self.end_window();
        }
    }

    /// Forgets windows whose report is recorded.
    pub fn on_recorded(&mut self, window: WindowId) {
        self.recorded = self.recorded.max(Some(window));
        self.final_windows = self.final_windows.split_off(&window.plus(1));
    }

    /// Newest window that is known to be recorded.
    pub const fn recorded(&self) -> Option<WindowId> {
        self.recorded
    }

    /// First window of this process; `None` while it does not know the time.
    pub fn since(&self) -> Option<WindowId> {
        self.slot_offset.map(|_| self.since)
    }

    /// Ended windows with their final counts, which are not known to be recorded.
    pub const fn final_windows(&self) -> &BTreeMap<WindowId, OrganisationCounts> {
        &self.final_windows
    }

    /// Counts of the windows that are not final, without open operations, so that they never fall.
    pub fn open_windows(&self) -> impl Iterator<Item = (WindowId, &OrganisationCounts)> {
        self.open_windows
            .iter()
            .map(|(window, counts)| (*window, &counts.ran))
    }

    /// The true time at `now`.
    pub fn unix_time(&self, now: Time) -> UnixTime {
        self.clock.lock().unix_time(now)
    }

    /// The settings.
    pub const fn settings(&self) -> &UsageSettings {
        &self.settings
    }

    fn window_of_slot(&self, slot: u64, offset: i64) -> WindowId {
        let micros = (slot * SLOT.as_micros() as u64) as i64 + offset;
        self.settings
            .window_of(UnixTime::from_micros(micros.max(0) as u64))
    }

    fn assign_slots(&mut self, offset: i64, window_now: WindowId) {
        self.slot_offset = Some(offset);
        self.since = window_now;
        for (slot, counts) in std::mem::take(&mut self.slots) {
            let window = self.window_of_slot(slot, offset);
            self.since = self.since.min(window);
            self.open_windows.entry(window).or_default().merge(&counts);
        }
        self.next_final = self.since;
    }

    /// Follows a correction of the clock by more than a window. It happens only after a start at which the time of the fleet was
    /// not known; what was counted until then is lost.
    fn follow_step(&mut self, window_now: WindowId) {
        let is_behind = self.next_final.plus(MAX_KEPT_WINDOWS) < window_now;
        let is_ahead = self.next_final > window_now.plus(1);
        if !is_behind && !is_ahead {
            return;
        }
        log::warn!(from:% = self.next_final, to:% = window_now; "the time of usage windows was corrected; open counts are dropped");
        self.open_windows.clear();
        if is_ahead {
            self.final_windows.clear();
        }
        self.since = window_now;
        self.next_final = window_now;
    }

    fn end_window(&mut self) {
        let window = self.next_final;
        let counts = self.open_windows.remove(&window).unwrap_or_default();
        let mut totals = counts.ran;
        add_counts(&mut totals, &counts.open);
        self.next_final = window.plus(1);
        if self.recorded.is_some_and(|recorded| window <= recorded) {
            return;
        }
        self.final_windows.insert(window, totals);
        if self.final_windows.len() as u64 > MAX_KEPT_WINDOWS
            && let Some((dropped, _)) = self.final_windows.pop_first()
        {
            log::warn!(window:% = dropped; "dropped the usage counts of a window that was not reported in time");
        }
    }
}
