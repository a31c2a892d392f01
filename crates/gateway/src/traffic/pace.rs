//! How fast one instance of a large fleet sends statements to a backend server that has just started or recovered.
//!
//! The load is that of a fleet of dozens of instances whose statements have piled up while a server of a few execution
//! slots was away. Sent all at once they exceed what the server can queue, the connections of refused statements take most of
//! its slots, and each instance then waits out a backoff of its own. Each instance therefore starts with its fair part of what the
//! server can run, as a rate, since an instance sends a server only about one statement a second. The rate rises with each quick
//! answer, and falls with refusals, failures and slow answers. The pace ends once the server has answered well for a
//! short time.

use super::pace_bucket::PaceBucket;
use super::recent_minimum::RecentMinimum;
use rand::Rng;
use std::time::Duration;
use wasabiyard_model::Time;

/// Instances for each execution slot of a server from which on its pace is limited. In a smaller fleet the statements
/// in flight from all instances fit the server's queue.
const MIN_INSTANCES_PER_SLOT: usize = 8;
/// Execution time of a statement, the part of opening a connection included, that the fair part of an instance assumes.
const ASSUMED_STATEMENT_TIME: Duration = Duration::from_millis(25);
/// Factor on the rate after a quick answer. An instance gets few answers, so each has to count.
const QUICK_ANSWER_FACTOR: f64 = 1.5;
/// Factor on the rate after a slow answer, down to the fair part.
const SLOW_ANSWER_FACTOR: f64 = 0.7;
/// Factor on the rate after a refusal or a failure, down to [`MIN_FAIR_FRACTION`] of the fair part.
const REFUSAL_FACTOR: f64 = 0.5;
/// Lower bound of the rate as a fraction of the fair part. The pauses of the server's health bound it further.
const MIN_FAIR_FRACTION: f64 = 0.25;
/// Upper bound of the rate of one sender, relative to what the server is assumed to run.
const MAX_RATE_FACTOR: f64 = 2.0;
/// Minimum time between two decreases: statements that were in flight together report the same overload.
const MIN_DECREASE_INTERVAL: Duration = Duration::from_millis(50);
/// An answer is slow if it takes this many times the server's own best of late, and [`MIN_SLOW_EXCESS`] longer.
const SLOW_FACTOR: u32 = 4;
/// See [`SLOW_FACTOR`]. Execution times of the statements of one server differ by tens of milliseconds.
const MIN_SLOW_EXCESS: Duration = Duration::from_millis(50);
/// Window of the server's own best. A server that has become slower for good is compared with its new self after one to
/// two of these.
const BEST_WINDOW: Duration = Duration::from_secs(2);
/// Time without a refusal, failure or slow answer after which the pace ends.
const PROVING_TIME: Duration = Duration::from_secs(1);
/// Quick answers that the pace needs to end.
const MIN_PROVING_ANSWERS: u32 = 2;
/// Time after which the pace ends in any case, unless the server itself reports that it warms up.
const MAX_PACE_TIME: Duration = Duration::from_secs(10);
/// Time of failures without any answer after which the next answer is a recovery.
const MIN_SILENCE: Duration = Duration::from_secs(1);
/// Failures in that time. A single lost response is no silence.
const MIN_SILENT_FAILURES: u32 = 2;

/// What a server can run, and among how many instances it is divided.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PaceShare {
    /// Statements that the server can run concurrently.
    pub capacity: u32,
    /// Instances of the fleet.
    pub instances: usize,
    /// Instances that send statements to the server: all, or fewer where they send for others.
    pub senders: usize,
    /// Time for which the server reports that it still warms up.
    pub warmup_left: Duration,
}

impl PaceShare {
    /// Whether the fleet is large enough relative to the server.
    pub fn is_limited(&self) -> bool {
        self.instances >= MIN_INSTANCES_PER_SLOT * self.capacity.max(1) as usize
    }

    /// Statements a second that the server is assumed to run.
    fn server_rate(&self) -> f64 {
        f64::from(self.capacity.max(1)) / ASSUMED_STATEMENT_TIME.as_secs_f64()
    }

    /// Statements a second of one sender if all send equally many.
    fn fair_rate(&self) -> f64 {
        self.server_rate() / self.senders.max(1) as f64
    }

    /// Upper bound of the rate of one sender. Without one, a refusal after many quick answers would lower nothing.
    fn max_rate(&self) -> f64 {
        self.server_rate() * MAX_RATE_FACTOR
    }
}

/// Why a pace began.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PaceCause {
    /// The server has started, or has started again.
    Started,
    /// The server has answered for the first time after a silence.
    Recovered,
}

impl PaceCause {
    /// Value of the key `cause` in logs and metrics.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Started => "started",
            Self::Recovered => "recovered",
        }
    }
}

/// Why a pace ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PaceEnd {
    /// The server has answered well for a short time.
    Proved,
    /// The pace has lasted its longest time.
    Expired,
    /// The fleet is no longer large enough.
    FleetChanged,
}

impl PaceEnd {
    /// Value of the key `cause` in logs and metrics.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Proved => "proved",
            Self::Expired => "expired",
            Self::FleetChanged => "fleet_changed",
        }
    }
}

/// Begin or end of a pace, for logs and metrics.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum PaceEvent {
    /// A pace began, or began again.
    Began {
        /// Why.
        cause: PaceCause,
        /// Statements a second at first.
        rate: f64,
    },
    /// The pace ended.
    Ended {
        /// Why.
        cause: PaceEnd,
        /// Time since the pace began.
        lasted: Duration,
        /// Refusals as overloaded in this time.
        refusals: u32,
    },
}

/// The limited pace at one server.
#[derive(Debug, Clone)]
struct Pace {
    began: Time,
    bucket: PaceBucket,
    /// Least time of an answer of late.
    best: RecentMinimum,
    last_decrease: Time,
    /// Time of the first quick answer since the last bad sign.
    good_since: Option<Time>,
    quick_answers: u32,
    refusals: u32,
}

/// The pace of one instance at one server; without limit most of the time.
#[derive(Debug, Clone)]
pub struct ServerPace {
    share: PaceShare,
    pace: Option<Pace>,
    /// Start of the first request to fail since the last answer.
    failing_since: Option<Time>,
    failures: u32,
    events: Vec<PaceEvent>,
}

impl ServerPace {
    /// No limit, until the server starts again or recovers.
    pub const fn new(share: PaceShare) -> Self {
        Self {
            share,
            pace: None,
            failing_since: None,
            failures: 0,
            events: Vec::new(),
        }
    }

    /// Whether one more statement may be sent at `now`.
    pub fn allows_statement(&self, now: Time) -> bool {
        self.turn(0, now) <= now
    }

    /// When a statement may be sent that comes after `ahead` others.
    pub fn turn(&self, ahead: usize, now: Time) -> Time {
        self.pace.as_ref().map_or(now, |p| p.bucket.turn(ahead, now))
    }

    /// Whether the pace is limited.
    pub const fn is_limited(&self) -> bool {
        self.pace.is_some()
    }

    /// Sets what is known of server and fleet.
    pub fn set_share(&mut self, share: PaceShare, now: Time) {
        self.share = share;
        if !share.is_limited() {
            self.end(PaceEnd::FleetChanged, now);
        }
        // An instance that begins to send for others has a larger fair part.
        let min_rate = share.fair_rate() * MIN_FAIR_FRACTION;
        if let Some(pace) = &mut self.pace
            && pace.bucket.rate() < min_rate
        {
            pace.bucket.set_rate(share.fair_rate(), now);
        }
    }

    /// Records that the server has started, or has started again.
    pub fn on_started<R>(&mut self, now: Time, rng: &mut R)
    where
        R: Rng,
    {
        self.failing_since = None;
        self.failures = 0;
        self.begin(PaceCause::Started, now, rng);
    }

    /// Records that a statement is sent to the server.
    pub fn on_sent(&mut self, now: Time) {
        if let Some(pace) = &mut self.pace {
            pace.bucket.take(now);
        }
    }

    /// Records the answer to a statement, other than a refusal as overloaded, that took `took`.
    pub fn on_answer<R>(&mut self, took: Duration, now: Time, rng: &mut R)
    where
        R: Rng,
    {
        let silence = self
            .failing_since
            .take()
            .map_or(Duration::ZERO, |s| now.saturating_since(s));
        let failures = std::mem::take(&mut self.failures);
        if failures >= MIN_SILENT_FAILURES && silence >= MIN_SILENCE {
            self.begin(PaceCause::Recovered, now, rng);
        }
        let share = self.share;
        if let Some(pace) = &mut self.pace {
            pace.on_answer(took, &share, now);
        }
        self.end_if_due(now);
    }

    /// Records that the server refused a statement as overloaded.
    pub fn on_overloaded(&mut self, now: Time) {
        let min_rate = self.share.fair_rate() * MIN_FAIR_FRACTION;
        if let Some(pace) = &mut self.pace {
            pace.refusals += 1;
            pace.on_bad_sign(REFUSAL_FACTOR, min_rate, now);
        }
    }

    /// Records that a request sent at `started` got no answer.
    pub fn on_failure(&mut self, started: Time, now: Time) {
        self.failures += 1;
        self.failing_since.get_or_insert(started);
        let min_rate = self.share.fair_rate() * MIN_FAIR_FRACTION;
        if let Some(pace) = &mut self.pace {
            pace.on_bad_sign(REFUSAL_FACTOR, min_rate, now);
        }
    }

    /// Ends the pace if the server has proved well or the pace has lasted its longest time.
    pub fn end_if_due(&mut self, now: Time) {
        let Some(pace) = &self.pace else {
            return;
        };
        if self.share.warmup_left > Duration::ZERO {
            return;
        }
        if pace.is_proved(now) {
            self.end(PaceEnd::Proved, now);
        } else if now.saturating_since(pace.began) >= MAX_PACE_TIME {
            self.end(PaceEnd::Expired, now);
        }
    }

    /// Takes the begins and ends since the last call.
    pub fn take_events(&mut self) -> Vec<PaceEvent> {
        std::mem::take(&mut self.events)
    }

    fn begin<R>(&mut self, cause: PaceCause, now: Time, rng: &mut R)
    where
        R: Rng,
    {
        if !self.share.is_limited() {
            return;
        }
        let rate = self.share.fair_rate();
        self.events.push(PaceEvent::Began { cause, rate });
        self.pace = Some(Pace {
            began: now,
            bucket: PaceBucket::new(rate, now, rng),
            best: RecentMinimum::over(BEST_WINDOW),
            last_decrease: now,
            good_since: None,
            quick_answers: 0,
            refusals: 0,
        });
    }

    fn end(&mut self, cause: PaceEnd, now: Time) {
        if let Some(pace) = self.pace.take() {
            self.events.push(PaceEvent::Ended {
                cause,
                lasted: now.saturating_since(pace.began),
                refusals: pace.refusals,
            });
        }
    }
}

impl Pace {
    fn on_answer(&mut self, took: Duration, share: &PaceShare, now: Time) {
        let best = self.best.record(took, now);
        if took > best * SLOW_FACTOR && took > best + MIN_SLOW_EXCESS {
            self.on_bad_sign(SLOW_ANSWER_FACTOR, share.fair_rate(), now);
            return;
        }
        self.good_since.get_or_insert(now);
        self.quick_answers += 1;
        let rate = self.bucket.rate() * QUICK_ANSWER_FACTOR;
        self.bucket.set_rate(rate.min(share.max_rate()), now);
    }

    /// Lowers the rate by `factor`, but not below `min_rate`.
    fn on_bad_sign(&mut self, factor: f64, min_rate: f64, now: Time) {
        self.good_since = None;
        self.quick_answers = 0;
        if now.saturating_since(self.last_decrease) < MIN_DECREASE_INTERVAL {
            return;
        }
        self.last_decrease = now;
        let rate = self.bucket.rate();
        self.bucket.set_rate((rate * factor).max(min_rate.min(rate)), now);
    }

    fn is_proved(&self, now: Time) -> bool {
        let good_for = self
            .good_since
            .map_or(Duration::ZERO, |since| now.saturating_since(since));
        self.quick_answers >= MIN_PROVING_ANSWERS && good_for >= PROVING_TIME
    }
}
