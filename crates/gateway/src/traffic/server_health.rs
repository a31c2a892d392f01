//! When a backend server gets its next request, by how it treated the last ones.
//!
//! What one statement learns of a server holds for all statements of the instance. A server that fails is left alone
//! for a growing time and then gets one request at a time until it answers. A server that refuses work as overloaded
//! gets fewer requests at a time, and finally one after growing pauses: in a large fleet even one request in flight from
//! each instance is more than a server can queue, and each attempt with a new connection costs it an execution slot.

use rand::Rng;
use std::time::Duration;
use wasabiyard_model::Time;

/// Initial backoff after a failure of the server; doubled with each further one.
const INITIAL_FAILURE_BACKOFF: Duration = Duration::from_millis(40);
/// Upper bound of the backoff after failures.
const MAX_FAILURE_BACKOFF: Duration = Duration::from_millis(640);
/// Failures in a row from which on the server gets one request at a time.
const FAILURES_BEFORE_TRIALS: u32 = 2;
/// Initial backoff after the server refused a connection because it has too many; doubled with each
/// further refusal until a connection is opened.
const INITIAL_FULL_BACKOFF: Duration = Duration::from_millis(80);
/// Upper bound of the backoff after such refusals.
const MAX_FULL_BACKOFF: Duration = Duration::from_millis(640);
/// Time for which requests were failing without any answer, after which the server counts as unreachable.
const UNREACHABLE_AFTER: Duration = Duration::from_millis(600);
/// Age from which on a failure no longer shows that the server is unreachable, when nothing was sent to it since.
const FAILURE_LIFETIME: Duration = Duration::from_millis(1_200);
/// Factor on the requests in flight after a refusal as overloaded.
const OVERLOAD_DECREASE: f64 = 0.5;
/// Pause after the first refusal as overloaded; doubled with each one while only one request is in flight.
const INITIAL_OVERLOAD_PAUSE: Duration = Duration::from_millis(30);
/// Upper bound of that pause.
const MAX_OVERLOAD_PAUSE: Duration = Duration::from_millis(1_200);
/// Fraction of a pause that is random, so that the instances of a fleet do not return at the same moment.
const PAUSE_JITTER: f64 = 0.5;

/// Failures and refusals of one server as this instance has seen them.
#[derive(Debug, Clone)]
pub struct ServerHealth {
    /// Failures since the last answer.
    consecutive_failures: u32,
    failure_backoff_until: Time,
    /// Start of the first request to fail since the last answer.
    failing_since: Option<Time>,
    last_failure: Time,
    last_answer: Time,
    /// Consecutive connection attempts that the server refused because it had too many connections.
    consecutive_full_refusals: u32,
    full_backoff_until: Time,
    /// Requests that may be in flight, infinite until the server refuses one as overloaded.
    in_flight_limit: f64,
    /// Refusals as overloaded, less answers, since the limit reached one request.
    overload_level: u32,
    overload_pause_until: Time,
}

impl Default for ServerHealth {
    fn default() -> Self {
        Self {
            consecutive_failures: 0,
            failure_backoff_until: Time::ZERO,
            failing_since: None,
            last_failure: Time::ZERO,
            last_answer: Time::ZERO,
            consecutive_full_refusals: 0,
            full_backoff_until: Time::ZERO,
            in_flight_limit: f64::INFINITY,
            overload_level: 0,
            overload_pause_until: Time::ZERO,
        }
    }
}

impl ServerHealth {
    /// Whether the server may get a request at `now`, besides `in_flight` ones.
    pub fn allows_request(&self, in_flight: u32, now: Time) -> bool {
        let limit = if self.consecutive_failures >= FAILURES_BEFORE_TRIALS {
            1.0
        } else {
            self.in_flight_limit
        };
        f64::from(in_flight) < limit && now >= self.failure_backoff_until && now >= self.overload_pause_until
    }

    /// Whether a connection may be opened at `now`, if a request is allowed.
    pub fn allows_connect(&self, now: Time) -> bool {
        now >= self.full_backoff_until
    }

    /// Whether the last requests failed, so that the server gets one at a time.
    pub const fn is_failing(&self) -> bool {
        self.consecutive_failures >= FAILURES_BEFORE_TRIALS
    }

    /// When the pause after the last refusal as overloaded ends.
    pub const fn overload_pause_until(&self) -> Time {
        self.overload_pause_until
    }

    /// Records an answer other than a refusal as overloaded.
    pub fn on_answer(&mut self, now: Time) {
        self.consecutive_failures = 0;
        self.failure_backoff_until = Time::ZERO;
        self.failing_since = None;
        self.last_answer = now;
        self.overload_pause_until = Time::ZERO;
        if self.overload_level > 0 {
            self.overload_level -= 1;
        } else {
            self.in_flight_limit += 1.0 / self.in_flight_limit;
        }
    }

    /// Records that the server refused a request as overloaded while `in_flight` were there, itself included.
    pub fn on_overloaded<R>(&mut self, in_flight: u32, now: Time, rng: &mut R)
    where
        R: Rng,
    {
        let limit = self.in_flight_limit.min(f64::from(in_flight.max(1)));
        if limit <= 1.0 {
            self.overload_level += 1;
        }
        self.in_flight_limit = (limit * OVERLOAD_DECREASE).max(1.0);
        let doublings = self.overload_level.min(16);
        let pause = INITIAL_OVERLOAD_PAUSE * (1 << doublings);
        let pause = pause.min(MAX_OVERLOAD_PAUSE);
        let jitter = 1.0 - PAUSE_JITTER * rng.random::<f64>();
        self.overload_pause_until = now + pause.mul_f64(jitter);
    }

    /// Records that a connection was opened. A server that accepts connections and fails every request is not healthy,
    /// so this does not end the backoff after failures.
    pub const fn on_connected(&mut self) {
        self.consecutive_full_refusals = 0;
        self.full_backoff_until = Time::ZERO;
    }

    /// Records that the server refused a connection because it has too many.
    pub fn on_full(&mut self, now: Time) {
        let backoff = INITIAL_FULL_BACKOFF * (1 << self.consecutive_full_refusals.min(4));
        self.consecutive_full_refusals += 1;
        self.full_backoff_until = now + backoff.min(MAX_FULL_BACKOFF);
    }

    /// Records that a request sent at `started` got no answer. Ignored when the server has answered since. Returns
    /// whether it counts.
    pub fn on_failure(&mut self, started: Time, now: Time) -> bool {
        if started < self.last_answer {
            return false;
        }
        self.failing_since.get_or_insert(started);
        self.last_failure = now;
        let backoff = INITIAL_FAILURE_BACKOFF * (1 << self.consecutive_failures.min(4));
        self.consecutive_failures += 1;
        self.failure_backoff_until = now + backoff.min(MAX_FAILURE_BACKOFF);
        true
    }

    /// Whether the server has answered a statement within the last `period`.
    pub fn has_answered_within(&self, period: Duration, now: Time) -> bool {
        self.last_answer > Time::ZERO && now.saturating_since(self.last_answer) <= period
    }

    /// Whether all recent requests to the server failed, for at least [`UNREACHABLE_AFTER`].
    pub fn is_unreachable(&self, now: Time) -> bool {
        now.saturating_since(self.last_failure) < FAILURE_LIFETIME
            && self
                .failing_since
                .is_some_and(|since| now.saturating_since(since) > UNREACHABLE_AFTER)
    }
}
