//! Rate-limited log lines about single statements.

use crate::{CallerError, ClusterSnapshot, ShedCause, clock};
use std::cell::Cell;
use std::time::Duration;
use wasabiyard_model::{Time, Version};

/// Limit on the lines about requests that one thread writes in a second.
const MAX_LINES_PER_SECOND: u32 = 40;

thread_local! {
    static LINE_BUDGET: Cell<LineBudget> = const { Cell::new(LineBudget { window_start: Time::ZERO, lines: 0, suppressed: 0 }) };
}

#[derive(Debug, Clone, Copy)]
struct LineBudget {
    /// Start of the current window of one second.
    window_start: Time,
    /// Lines written in this window.
    lines: u32,
    /// Lines that the limit has suppressed in this window.
    suppressed: u64,
}

/// Log event of a statement that was answered with an error.
#[derive(Debug, Clone, Copy)]
pub struct Refused<'a> {
    /// The caller's id of the statement.
    pub request: &'a str,
    /// Organisation of the caller.
    pub organisation: &'a str,
    /// Name of the route that the caller logged in to.
    pub database: &'a str,
    /// Service that the route leads to.
    pub service: &'a str,
    /// Class of the error.
    pub error: CallerError,
    /// Text of the error as the caller receives it.
    pub detail: &'a str,
    /// Time from the request to its answer.
    pub took: Duration,
    /// Data that the instance based the answer on.
    pub basis: DecisionBasis,
}

/// Versions and ages of the data that a decision was based on.
#[derive(Debug, Clone, Copy)]
pub struct DecisionBasis {
    /// Version of the configuration, 0 before the first one.
    pub configuration: Version,
    /// Time since the last successful read of the configuration.
    pub configuration_age: Duration,
    /// Time since the last successful read of primary records and members.
    pub records_age: Duration,
    /// Epoch of the service's primary record, 0 when there is none.
    pub epoch: u64,
}

impl DecisionBasis {
    /// What `snapshot` says at `now` about a service.
    pub fn new(snapshot: &ClusterSnapshot, service: &str, now: Time) -> Self {
        Self {
            configuration: snapshot.configuration.as_ref().map_or(Version(0), |c| c.version),
            configuration_age: now.saturating_since(snapshot.configuration_as_of),
            records_age: now.saturating_since(snapshot.records_as_of),
            epoch: snapshot.primaries.get(service).map_or(0, |r| r.epoch),
        }
    }
}

/// Log event of a login that was refused.
#[derive(Debug, Clone, Copy)]
pub struct LoginRefused<'a> {
    /// Name of the route that the caller asked for.
    pub database: &'a str,
    /// Class of the error.
    pub error: CallerError,
    /// Text of the error as the caller receives it.
    pub detail: &'a str,
    /// Data that the instance based the answer on.
    pub basis: DecisionBasis,
}

/// Logs a refused login within the line limit.
pub fn log_login_refusal(event: &LoginRefused<'_>) {
    if !try_acquire_line(clock::now()) {
        return;
    }
    log::info!(
        database = event.database,
        error = event.error.name(),
        detail = event.detail,
        configuration = event.basis.configuration.0,
        configuration_age_ms = event.basis.configuration_age.as_millis() as u64,
        records_age_ms = event.basis.records_age.as_millis() as u64;
        "login refused"
    );
}

/// Log event of a statement that is retried.
#[derive(Debug, Clone, Copy)]
pub struct Retried<'a> {
    /// The caller's id of the statement.
    pub request: &'a str,
    /// Service that the statement was sent to.
    pub service: &'a str,
    /// Backend server of the failed attempt.
    pub server: &'a str,
    /// Whether it was used as the primary.
    pub primary: bool,
    /// Reason for the retry, also a metric label.
    pub cause: &'static str,
}

/// Logs a retry within the line limit.
pub fn log_retry(event: &Retried<'_>) {
    if !try_acquire_line(clock::now()) {
        return;
    }
    log::info!(
        request = event.request,
        service = event.service,
        server = event.server,
        primary = event.primary,
        cause = event.cause;
        "statement tried again"
    );
}

/// Log event of a statement that was sent and got no answer.
#[derive(Debug, Clone, Copy)]
pub struct Unanswered<'a> {
    /// The caller's id of the statement.
    pub request: &'a str,
    /// Service that the statement was sent to.
    pub service: &'a str,
    /// Backend server that it was sent to.
    pub server: &'a str,
    /// Epoch under which the server was used as the primary, 0 for a replica.
    pub epoch: u64,
    /// Why there was no answer.
    pub cause: &'static str,
}

/// Logs a missing answer within the line limit.
pub fn log_missing_answer(event: &Unanswered<'_>) {
    if !try_acquire_line(clock::now()) {
        return;
    }
    log::info!(
        request = event.request,
        service = event.service,
        server = event.server,
        epoch = event.epoch,
        cause = event.cause;
        "no answer from a backend server"
    );
}

/// Log event of answers that belong to no command of their connection.
#[derive(Debug, Clone, Copy)]
pub struct StrayAnswers<'a> {
    /// The caller's id of the statement that waited for its answer, `-` if there was none.
    pub request: &'a str,
    /// Service that the connection belongs to.
    pub service: &'a str,
    /// Backend server that sent them.
    pub server: &'a str,
    /// How they were recognised, also a metric label.
    pub cause: &'static str,
    /// Number of answers, or of times that unread bytes were found.
    pub count: u32,
}

/// Logs stray answers within the line limit.
pub fn log_stray_answers(event: &StrayAnswers<'_>) {
    if !try_acquire_line(clock::now()) {
        return;
    }
    log::info!(
        request = event.request,
        service = event.service,
        server = event.server,
        cause = event.cause,
        count = event.count;
        "answers of a backend server belong to no command"
    );
}

/// Log event of a caller's message that violates the protocol.
#[derive(Debug, Clone, Copy)]
pub struct Malformed<'a> {
    /// Organisation of the caller.
    pub organisation: &'a str,
    /// Name of the route that the caller logged in to.
    pub database: &'a str,
    /// Number of requests that the session had sent before.
    pub requests: u64,
    /// What is wrong with the message.
    pub detail: &'static str,
}

/// Logs a malformed message within the line limit. The message itself is left out, since it may hold a key.
pub fn log_malformed(event: &Malformed<'_>) {
    if !try_acquire_line(clock::now()) {
        return;
    }
    log::info!(
        organisation = event.organisation,
        database = event.database,
        requests = event.requests,
        detail = event.detail;
        "malformed message of a caller"
    );
}

/// Logs a caller's connection that was refused or closed to keep to the limits of the instance, within the line limit.
pub fn log_caller_shed(cause: ShedCause) {
    if !try_acquire_line(clock::now()) {
        return;
    }
    log::info!(cause = cause.name(); "connection of a caller given up");
}

/// Logs a statement that was answered with an error, within the line limit.
pub fn log_refusal(event: &Refused<'_>) {
    if !try_acquire_line(clock::now()) {
        return;
    }
    log::info!(
        request = event.request,
        organisation = event.organisation,
        database = event.database,
        service = event.service,
        error = event.error.name(),
        detail = event.detail,
        took_ms = event.took.as_millis() as u64,
        configuration = event.basis.configuration.0,
        configuration_age_ms = event.basis.configuration_age.as_millis() as u64,
        records_age_ms = event.basis.records_age.as_millis() as u64,
        epoch = event.basis.epoch;
        "statement not served"
    );
}

/// Takes one line from the limit of the current second. Returns `false` when none is left, and counts the line as
/// suppressed; the first call of a later second logs that count.
pub fn try_acquire_line(now: Time) -> bool {
    LINE_BUDGET.with(|budget| {
        let mut b = budget.get();
        if now.saturating_since(b.window_start) >= Duration::from_secs(1) {
            if b.suppressed > 0 {
                log::info!(lines = b.suppressed; "log lines about requests were left out");
            }
            b = LineBudget {
                window_start: now,
                lines: 0,
                suppressed: 0,
            };
        }
        let allowed = b.lines < MAX_LINES_PER_SECOND;
        if allowed {
            b.lines += 1;
        } else {
            b.suppressed += 1;
        }
        budget.set(b);
        allowed
    })
}
