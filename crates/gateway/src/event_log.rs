//! Log lines of decisions, with a bounded volume.

use crate::{CallerError, clock};
use std::cell::Cell;
use std::time::Duration;
use wasabiyard_model::{Time, Version};

/// Lines about requests that one thread writes in a second.
const LINES_PER_SECOND: u32 = 40;

thread_local! {
    static BUDGET: Cell<Budget> = const { Cell::new(Budget { second: Time::ZERO, lines: 0, left_out: 0 }) };
}

#[derive(Debug, Clone, Copy)]
struct Budget {
    second: Time,
    lines: u32,
    left_out: u64,
}

/// A statement that was not served.
#[derive(Debug, Clone, Copy)]
pub struct Refused<'a> {
    /// The caller's id of the statement.
    pub request: &'a str,
    /// Its organisation.
    pub organisation: &'a str,
    /// Name of the route.
    pub database: &'a str,
    /// Service that runs it.
    pub service: &'a str,
    /// Class of the error.
    pub error: CallerError,
    /// The error's text.
    pub detail: &'a str,
    /// Time from the request to its answer.
    pub took: Duration,
    /// What the instance knew when it answered.
    pub known: Known,
}

/// Versions and ages of what decisions rest on.
#[derive(Debug, Clone, Copy)]
pub struct Known {
    /// Version of the configuration.
    pub configuration: Version,
    /// Age of the configuration's last reading.
    pub configuration_age: Duration,
    /// Age of the last reading of primaries and members.
    pub records_age: Duration,
    /// Epoch of the primary of the service.
    pub epoch: u64,
}

/// A statement that is tried again.
#[derive(Debug, Clone, Copy)]
pub struct Retried<'a> {
    /// The caller's id of the statement.
    pub request: &'a str,
    /// The service.
    pub service: &'a str,
    /// Backend server of the attempt that gave no result.
    pub server: &'a str,
    /// Whether it was used as the primary.
    pub primary: bool,
    /// Why there was no result.
    pub cause: &'static str,
}

/// Writes a line about a statement that is tried again, or counts it as left out.
pub fn retried(event: &Retried<'_>) {
    if !may_write(clock::now()) {
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

/// A statement that was sent and not answered.
#[derive(Debug, Clone, Copy)]
pub struct Unanswered<'a> {
    /// The caller's id of the statement.
    pub request: &'a str,
    /// The service.
    pub service: &'a str,
    /// Backend server that it was sent to.
    pub server: &'a str,
    /// Epoch under which the server was used as the primary, 0 for a replica.
    pub epoch: u64,
    /// Why there was no answer.
    pub cause: &'static str,
}

/// Writes a line about a statement that was sent and not answered, or counts it as left out.
pub fn unanswered(event: &Unanswered<'_>) {
    if !may_write(clock::now()) {
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

/// Writes a line about a statement that was not served, or counts it as left out.
pub fn refused(event: &Refused<'_>) {
    if !may_write(clock::now()) {
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
        configuration = event.known.configuration.0,
        configuration_age_ms = event.known.configuration_age.as_millis() as u64,
        records_age_ms = event.known.records_age.as_millis() as u64,
        epoch = event.known.epoch;
        "statement not served"
    );
}

/// Whether one more line may be written in this second.
pub fn may_write(now: Time) -> bool {
    BUDGET.with(|budget| {
        let mut b = budget.get();
        if now.saturating_since(b.second) >= Duration::from_secs(1) {
            if b.left_out > 0 {
                log::info!(lines = b.left_out; "log lines about requests were left out");
            }
            b = Budget {
                second: now,
                lines: 0,
                left_out: 0,
            };
        }
        let allowed = b.lines < LINES_PER_SECOND;
        if allowed {
            b.lines += 1;
        } else {
            b.left_out += 1;
        }
        budget.set(b);
        allowed
    })
}
