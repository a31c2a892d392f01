//! The time on which the fleet agrees, formed by the holder of the failover lease.
//!
//! It is the median of what the instances take for the time of day, so a clock that jumps does not move it. Once formed it only
//! follows the median slowly, and steps only when it rests on more instances than ever before, as at the start of a fleet.

use super::UnixTime;
use super::fleet_clock::{FleetClock, offset_between};
use std::collections::BTreeMap;
use std::time::Duration;
use wasabiyard_model::{InstanceId, Time};
use wasabiyard_platform::ListedInstance;

/// Time for which a reading counts.
const READING_LIFETIME: Duration = Duration::from_secs(30);
/// Microseconds by which the time follows the median in one second. It exceeds the drift of usual clocks.
const MAX_SLEW_MICROS_PER_S: f64 = 500.0;
/// Longest time between two updates that counts for that, for an instance that becomes the holder again.
const MAX_SLEW_PERIOD: Duration = Duration::from_secs(1);

/// Smallest step of the time that is logged.
const MIN_LOGGED_STEP_MS: i64 = 50;

/// Readings of the instances.
#[derive(Debug, Default)]
pub struct ClockAgreement {
    /// Offset to the clock of this process, and when it was read.
    readings: BTreeMap<InstanceId, (i64, Time)>,
    updated_at: Option<Time>,
}

impl ClockAgreement {
    /// Applies the time of day of an instance in a message that arrived at `now`.
    pub fn on_reading(&mut self, from: &InstanceId, wall: UnixTime, now: Time) {
        self.readings
            .insert(from.clone(), (offset_between(wall, now), now));
    }

    /// Brings the clock in line with the readings, if there are some of more than half of the live instances.
    pub fn update(&mut self, clock: &mut FleetClock, members: &[ListedInstance], now: Time) {
        let elapsed = self
            .updated_at
            .map_or(Duration::ZERO, |at| now.saturating_since(at));
        let elapsed = elapsed.min(MAX_SLEW_PERIOD);
        self.updated_at = Some(now);
        self.readings.retain(|id, (_, at)| {
            now.saturating_since(*at) < READING_LIFETIME && members.binary_search_by(|m| m.id.cmp(id)).is_ok()
        });
        let mut offsets: Vec<_> = self.readings.values().map(|(offset, _)| *offset).collect();
        if offsets.len() * 2 <= members.len() {
            return;
        }
        offsets.sort_unstable();
        let median = i64::midpoint(offsets[(offsets.len() - 1) / 2], offsets[offsets.len() / 2]);
        let support = offsets.len() as u32;
        match clock.support() {
            Some(known) if support <= known => {
                let max_step = (elapsed.as_secs_f64() * MAX_SLEW_MICROS_PER_S) as i64;
                let step = (median - clock.offset()).clamp(-max_step, max_step);
                clock.set_offset(clock.offset() + step, known);
            }
            _ => {
                let moved_ms = (median - clock.offset()) / 1_000;
                if moved_ms.abs() >= MIN_LOGGED_STEP_MS {
                    log::info!(instances = support, moved_ms; "corrected the time of usage windows");
                }
                clock.set_offset(median, support);
            }
        }
    }
}
