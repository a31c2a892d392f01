//! True time as the fleet agrees on it.
//!
//! The time of day of one machine may jump. An instance therefore takes it at its start only, and then counts on with the clock that counts
//! suspension. The offset between the two is corrected by what the holder of the failover lease sends, who forms the median
//! over the instances ([`super::ClockAgreement`]).

use super::UnixTime;
use serde::{Deserialize, Serialize};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use wasabiyard_model::Time;

/// Longest round trip of an exchange from which the time is taken. Half of it bounds the error.
const MAX_ROUND_TRIP: Duration = Duration::from_millis(200);
/// Time after which an instance that has not learnt the time of the fleet uses its own.
const AGREEMENT_TIMEOUT: Duration = Duration::from_secs(5);

/// The time of the fleet at the moment of sending.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetTime {
    /// The time.
    pub unix: UnixTime,
    /// Number of instances whose time of day it rests on.
    pub support: u32,
}

/// The clock of one instance.
#[derive(Debug, Clone, Copy)]
pub struct FleetClock {
    /// Microseconds from [`Time::ZERO`] of this process to the Unix epoch, negated.
    offset: i64,
    /// Number of instances whose time of day the offset rests on; 0 for that of this instance alone, `None` until it may be used.
    support: Option<u32>,
    opened: Time,
}

impl FleetClock {
    /// Starts with the time of day of this instance, which is not used before the fleet has had time to correct it.
    pub const fn new(wall: UnixTime, now: Time) -> Self {
        Self {
            offset: offset_between(wall, now),
            support: None,
            opened: now,
        }
    }

    /// The true time at `now`.
    pub const fn unix_time(&self, now: Time) -> UnixTime {
        let micros = (now.as_micros() as i64).saturating_add(self.offset);
        UnixTime::from_micros(if micros < 0 { 0 } else { micros as u64 })
    }

    /// Number of instances whose time of day it rests on; `None` while it may not be used.
    pub const fn support(&self) -> Option<u32> {
        self.support
    }

    /// Difference between the true time and the clock of this process, in microseconds.
    pub const fn offset(&self) -> i64 {
        self.offset
    }

    /// Replaces the offset by one that rests on `support` instances.
    pub const fn set_offset(&mut self, offset: i64, support: u32) {
        self.offset = offset;
        self.support = Some(support);
    }

    /// The time to send at `now`, once instances have agreed on it.
    pub fn fleet_time(&self, now: Time) -> Option<FleetTime> {
        let support = self.support.filter(|support| *support > 0)?;
        Some(FleetTime {
            unix: self.unix_time(now),
            support,
        })
    }

    /// Applies the time in a response that was received at `now` to a message sent at `sent`.
    pub fn on_fleet_time(&mut self, time: FleetTime, sent: Time, now: Time) {
        let round_trip = now.saturating_since(sent);
        if sent > now || round_trip > MAX_ROUND_TRIP {
            return;
        }
        self.set_offset(offset_between(time.unix + round_trip / 2, now), time.support);
    }

    /// Uses the time of day that this instance had at its start, if nothing else is known long after it.
    pub fn settle(&mut self, now: Time) {
        if self.support.is_none() && now.saturating_since(self.opened) >= AGREEMENT_TIMEOUT {
            self.support = Some(0);
        }
    }
}

/// Difference between two clocks that are read at once, in microseconds.
pub(super) const fn offset_between(unix: UnixTime, now: Time) -> i64 {
    unix.as_micros() as i64 - now.as_micros() as i64
}

/// The clock of an instance, shared by its threads.
#[derive(Debug, Clone)]
pub struct SharedFleetClock(Arc<Mutex<FleetClock>>);

impl SharedFleetClock {
    /// Shares a clock.
    pub fn new(clock: FleetClock) -> Self {
        Self(Arc::new(Mutex::new(clock)))
    }

    /// Locks the clock.
    ///
    /// # Panics
    ///
    /// If another thread panicked while it held the lock.
    pub fn lock(&self) -> MutexGuard<'_, FleetClock> {
        self.0.lock().expect("no panic under this lock")
    }
}
