//! Checks a whole history against the invariants and the logs of the primaries.

use super::faults::Fault;
use super::history::{Event, Outcome, Request};
use super::layout::{BURST_STATEMENTS, MAX_STALENESS, ORGANISATIONS, RATE_PER_SECOND, organisation_name};
use super::run::FaultRecord;
use serde_json::Value;
use std::collections::HashMap;
use std::fmt;
use std::time::Duration;

/// Lengths of the sliding windows in which the rate limit is checked, in seconds.
const RATE_WINDOWS_S: [u64; 4] = [1, 3, 10, 30];

/// Time after which a configuration change must be in force on all instances.
const CONFIGURATION_DEADLINE: Duration = Duration::from_secs(5);

/// A violation of an invariant.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Violation {
    /// The violated invariant, in words.
    pub invariant: &'static str,
    /// The observation that violates it.
    pub observation: String,
}

/// The data in the log of a primary at the end of a run.
#[derive(Debug, Default)]
pub struct FinalData {
    /// Number of ledger rows by payment id.
    ledger: HashMap<String, u32>,
    /// Artists by booked slot, one for each insert, in log order.
    bookings: HashMap<String, Vec<String>>,
    /// Descriptions of the rows whose key belongs to another organisation than their data.
    misplaced_rows: Vec<String>,
}

impl FinalData {
    /// Parses the response of `GET /log` of a group stand-in.
    pub fn read(log: &Value) -> Self {
        let mut data = Self::default();
        let records = log["records"].as_array().into_iter().flatten();
        for change in records.flat_map(|r| r["changes"].as_array().into_iter().flatten()) {
            let text = |name: &str| change[name].as_str().unwrap_or_default().to_owned();
            let (owner, key) = (text("organisation"), text("key"));
            if !key.starts_with(&format!("{owner}/")) {
                data.misplaced_rows.push(format!("{key} in the data of {owner}"));
            }
            match change["table"].as_str() {
                Some("ledger") => *data.ledger.entry(key).or_default() += 1,
                Some("booking") => data.bookings.entry(key).or_default().push(text("value")),
                _ => {}
            }
        }
        data
    }
}

/// Checks all invariants. `data` holds the final data by service index.
pub fn check_history(events: &[Event], data: &[FinalData], faults: &[FaultRecord]) -> Vec<Violation> {
    let mut violations = Vec::new();
    for event in events {
        violations.extend(check_event(event, &data[event.service]));
    }
    violations.extend(check_final_data(data));
    violations.extend(check_staleness(events));
    violations.extend(
        faults
            .iter()
            .filter_map(|record| check_configuration(record, events)),
    );
    for organisation in 0..ORGANISATIONS {
        violations.extend(check_rate(organisation, events));
    }
    violations
}

fn check_event(event: &Event, data: &FinalData) -> Option<Violation> {
    match &event.request {
        Request::Pay(id) => check_payment(id, &event.outcome, data),
        Request::Book { slot, artist } => check_booking(slot, artist, &event.outcome, data),
        Request::Read { key, at_least } => match &event.outcome {
            Outcome::Done(rows) => check_read(key, *at_least, rows),
            _ => None,
        },
        Request::ReadBoundedStaleness { key } => match &event.outcome {
            Outcome::Done(rows) => check_read(key, 0, rows),
            _ => None,
        },
        Request::Series { count } => match &event.outcome {
            Outcome::Done(rows) => check_series(*count, rows),
            _ => None,
        },
        Request::Write { .. } => None,
    }
}

fn check_payment(id: &str, outcome: &Outcome, data: &FinalData) -> Option<Violation> {
    let rows = data.ledger.get(id).copied().unwrap_or(0);
    match (outcome, rows) {
        (Outcome::Done(_), 0) => violation("an acknowledged payment is present", format!("{id} is missing")),
        (Outcome::NotRun(code), 1..) => violation(
            "a request reported as not run did not run",
            format!("{id} after {code}"),
        ),
        (_, 2..) => violation("a payment runs at most once", format!("{id} has {rows} rows")),
        _ => None,
    }
}

fn check_booking(slot: &str, artist: &str, outcome: &Outcome, data: &FinalData) -> Option<Violation> {
    let artists = data.bookings.get(slot).map_or(&[][..], Vec::as_slice);
    match outcome {
        Outcome::Done(_) if artists.first().is_none_or(|first| first != artist) => violation(
            "an acknowledged booking is present",
            format!("{slot} was acknowledged to {artist}, the log has {artists:?}"),
        ),
        _ => None,
    }
}

/// Checks the result of a read. Values have the form `KEY#NUMBER`, which reveals a result of another session's key.
fn check_read(key: &str, at_least: u64, rows: &[String]) -> Option<Violation> {
    let number = match rows {
        [] => Some(0),
        [value] => parse_number(key, value),
        _ => None,
    };
    match number {
        None => violation("an answer belongs to its request", format!("{rows:?} for {key}")),
        Some(number) if number < at_least => violation(
            "a session reads its own writes",
            format!("{key} has {number}, the session wrote {at_least}"),
        ),
        Some(_) => None,
    }
}

fn check_series(count: usize, rows: &[String]) -> Option<Violation> {
    let whole = rows.len() == count && rows.iter().zip(1_u64..).all(|(row, n)| *row == n.to_string());
    if whole {
        return None;
    }
    violation(
        "a caller receives its whole answer",
        format!("{} of {count} rows", rows.len()),
    )
}

fn check_final_data(data: &[FinalData]) -> Vec<Violation> {
    let mut violations = Vec::new();
    for data in data {
        let doubled = data.bookings.iter().filter(|(_, artists)| artists.len() > 1);
        for (slot, artists) in doubled {
            violations.extend(violation(
                "no slot is booked twice",
                format!("{slot}: {artists:?}"),
            ));
        }
        for observation in &data.misplaced_rows {
            violations.extend(violation("transactions never mix", observation.clone()));
        }
    }
    violations
}

/// Checks that each bounded-staleness read returns at least the last write that was acknowledged before the start of its
/// staleness bound.
fn check_staleness(events: &[Event]) -> Vec<Violation> {
    let mut acknowledged: HashMap<&str, Vec<(Duration, u64)>> = HashMap::new();
    for event in events {
        if let (Request::Write { key, number }, Outcome::Done(_)) = (&event.request, &event.outcome) {
            acknowledged.entry(key).or_default().push((event.ended, *number));
        }
    }
    let reads = events
        .iter()
        .filter_map(|event| match (&event.request, &event.outcome) {
            (Request::ReadBoundedStaleness { key }, Outcome::Done(rows)) => Some((event, key, rows)),
            _ => None,
        });
    let stale = reads.filter_map(|(event, key, rows)| {
        let writes = acknowledged.get(key.as_str())?;
        let required = writes.iter().filter(|(at, _)| *at + MAX_STALENESS < event.sent);
        let at_least = required.map(|(_, number)| *number).max()?;
        let number = rows.first().map_or(Some(0), |value| parse_number(key, value))?;
        if number >= at_least {
            return None;
        }
        let observation = format!("{key} has {number}, {at_least} is older than {MAX_STALENESS:?}");
        violation("a read respects its staleness bound", observation)
    });
    stale.collect()
}

/// Checks that no forbidden request succeeds once a configuration change must be in force, until it is reverted.
fn check_configuration(record: &FaultRecord, events: &[Event]) -> Option<Violation> {
    let in_force = |event: &&Event| {
        let sent = event.sent > record.from + CONFIGURATION_DEADLINE && event.ended < record.to;
        sent && matches!(event.outcome, Outcome::Done(_))
    };
    let (invariant, forbidden) = match record.fault {
        Fault::DomainOut(i) => (
            "a failure domain out of service gets no new work",
            events.iter().filter(in_force).filter(|e| e.instance == i).count(),
        ),
        Fault::WithdrawKeys(i) => (
            "a withdrawn key stops working",
            events
                .iter()
                .filter(in_force)
                .filter(|e| e.organisation == i)
                .count(),
        ),
        _ => return None,
    };
    if forbidden == 0 {
        return None;
    }
    let at = record.from.as_secs_f64();
    violation(
        invariant,
        format!("{forbidden} statements after {} at {at:.1} s", record.fault),
    )
}

/// Checks the rate limit of an organisation. Requests that were both sent and answered within a window were admitted
/// within it, so there may be at most burst + rate × window of them.
fn check_rate(organisation_number: usize, events: &[Event]) -> Vec<Violation> {
    let ran = events
        .iter()
        .filter(|event| event.organisation == organisation_number && event.outcome.certainly_ran());
    let mut spans: Vec<(Duration, Duration)> = ran.map(|event| (event.sent, event.ended)).collect();
    spans.sort_unstable();
    let mut violations = Vec::new();
    for seconds in RATE_WINDOWS_S {
        let window = Duration::from_secs(seconds);
        let allowed = u64::from(BURST_STATEMENTS) + u64::from(RATE_PER_SECOND) * seconds;
        let max_count = (0..spans.len())
            .map(|i| {
                let end = spans[i].0 + window;
                let inside = spans[i..].iter().take_while(|span| span.0 <= end);
                inside.filter(|span| span.1 <= end).count() as u64
            })
            .max();
        if let Some(max_count) = max_count.filter(|max_count| *max_count > allowed) {
            let name = organisation_name(organisation_number);
            let observation = format!("{name}: {max_count} statements in {seconds} s, {allowed} are allowed");
            violations.extend(violation(
                "no organisation exceeds its rate and burst",
                observation,
            ));
        }
    }
    violations
}

fn parse_number(key: &str, value: &str) -> Option<u64> {
    let (owner, number) = value.split_once('#')?;
    if owner == key { number.parse().ok() } else { None }
}

#[expect(
    clippy::unnecessary_wraps,
    reason = "each check returns an optional violation"
)]
const fn violation(invariant: &'static str, observation: String) -> Option<Violation> {
    Some(Violation {
        invariant,
        observation,
    })
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.invariant, self.observation)
    }
}
