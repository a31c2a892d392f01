//! Measured round trips to the instances and backend servers of each region.
//!
//! Statements say little of the distance, since execution takes most of their time. Logins all cost a server the same,
//! and session commands and messages between instances take no execution slot, so the shortest of them differ between
//! regions by the round trip.

use super::crossing::may_cross;
use super::recent_minimum::RecentMinimum;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;
use wasabiyard_model::{PriorityClass, Time};

/// Window of the minimum that counts as the round trip without congestion.
const BASE_WINDOW: Duration = Duration::from_mins(1);
/// Window of the minimum that shows congestion. Single slow answers do not raise it.
const CONGESTION_WINDOW: Duration = Duration::from_secs(1);

/// Round trips of late from which on their minimum shows congestion. One or two may be slow on an idle link.
const MIN_CONGESTION_SAMPLES: u32 = 4;

/// What was measured; only like is compared with like.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RoundTripKind {
    /// A request to another instance.
    PeerMessage,
    /// A command that takes no execution slot.
    SessionCommand,
    /// The start of a connection: one round trip for the connection, and one for the login.
    Login,
}

impl RoundTripKind {
    const ALL: [Self; 3] = [Self::PeerMessage, Self::SessionCommand, Self::Login];

    const fn round_trips(self) -> u32 {
        match self {
            Self::PeerMessage | Self::SessionCommand => 1,
            Self::Login => 2,
        }
    }

    /// Whether a long time shows that the link is congested. A login also waits for a slot of a busy server.
    const fn shows_congestion(self) -> bool {
        matches!(self, Self::PeerMessage | Self::SessionCommand)
    }
}

#[derive(Debug, Clone, Copy)]
struct RoundTrips {
    base: RecentMinimum,
    recent: RecentMinimum,
}

impl Default for RoundTrips {
    fn default() -> Self {
        Self {
            base: RecentMinimum::over(BASE_WINDOW),
            recent: RecentMinimum::over(CONGESTION_WINDOW),
        }
    }
}

impl RoundTrips {
    /// How much longer the round trips of late are than without congestion; `None` with too few of late.
    fn excess(&self, now: Time) -> Option<Duration> {
        if self.recent.count(now) < MIN_CONGESTION_SAMPLES {
            return None;
        }
        let recent = self.recent.current(now)?;
        Some(recent.saturating_sub(self.base.current(now)?))
    }
}

/// Round trips by region.
#[derive(Debug, Clone)]
pub struct RegionDistances {
    own: Arc<str>,
    regions: BTreeMap<Arc<str>, [RoundTrips; RoundTripKind::ALL.len()]>,
    /// Regions that were reported as congested.
    congested: BTreeSet<Arc<str>>,
}

impl RegionDistances {
    /// Nothing measured yet, for an instance in the region `own`.
    pub const fn new(own: Arc<str>) -> Self {
        Self {
            own,
            regions: BTreeMap::new(),
            congested: BTreeSet::new(),
        }
    }

    /// Records that a request to an instance or server of `region` was answered after `took`.
    pub fn record(&mut self, region: &Arc<str>, kind: RoundTripKind, took: Duration, now: Time) {
        let known = self.regions.entry(Arc::clone(region)).or_default();
        let round_trips = &mut known[kind as usize];
        round_trips.base.record(took, now);
        round_trips.recent.record(took, now);
    }

    /// How much longer a round trip to `region` takes than one within the own region. Zero while nothing can be
    /// compared, so that the first statements measure it.
    pub fn distance(&self, region: &str, now: Time) -> Duration {
        let base = |region: &str, kind: RoundTripKind| {
            let round_trips = &self.regions.get(region)?[kind as usize];
            round_trips.base.current(now)
        };
        let distances = RoundTripKind::ALL.into_iter().filter_map(|kind| {
            let difference = base(region, kind)?.saturating_sub(base(&self.own, kind)?);
            Some(difference / kind.round_trips())
        });
        distances.min().unwrap_or_default()
    }

    /// How much longer the round trips to `region` are of late than usual, less what those within the own region are.
    /// Zero with few round trips of late, so that requests cross again and measure it.
    pub fn congestion(&self, region: &str, now: Time) -> Duration {
        let excess = |region: &str| {
            let known = self.regions.get(region)?;
            let kinds = RoundTripKind::ALL.into_iter().filter(|k| k.shows_congestion());
            let excess = kinds.filter_map(|kind| known[kind as usize].excess(now));
            excess.min()
        };
        let own = excess(&self.own).unwrap_or_default();
        excess(region).unwrap_or_default().saturating_sub(own)
    }

    /// Regions to which the least urgent requests stopped crossing since the last call, or cross again, with the present
    /// congestion. A region changes at most once in each window of the measurement.
    pub fn take_changes(&mut self, now: Time) -> Vec<(Arc<str>, Duration)> {
        let mut changes = Vec::new();
        for region in self.regions.keys() {
            let congestion = self.congestion(region, now);
            let is_congested = !may_cross(PriorityClass::BACKGROUND, congestion);
            if is_congested != self.congested.contains(region) {
                changes.push((Arc::clone(region), congestion));
            }
        }
        for (region, _) in &changes {
            if !self.congested.remove(region) {
                self.congested.insert(Arc::clone(region));
            }
        }
        changes
    }
}
