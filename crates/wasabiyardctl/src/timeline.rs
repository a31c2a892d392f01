//! Shows the events of all instances in causal order.

use crate::status::AdminResponse;
use crate::table::{format_table, row};
use crate::{CtlError, Report};
use std::fmt::Write as _;
use wasabiyard_model::InstanceId;
use wasabiyard_timeline::{Event, Record, Timestamp, merge, read_json_lines};

const MICROS_PER_SECOND: u64 = 1_000_000;
const SECONDS_PER_DAY: u64 = 86_400;

/// Merges the `/timeline` pages of instances into one table. Instances that do not respond are listed below it.
///
/// # Errors
///
/// When no instance responds.
pub fn timeline_report(responses: Vec<AdminResponse>) -> Result<Report, CtlError> {
    let mut sources = Vec::new();
    let mut failures = Vec::new();
    for (address, response) in responses {
        let malformed = |e: wasabiyard_timeline::JsonLineError| CtlError::AdminRequest {
            address,
            reason: e.to_string(),
        };
        match response.and_then(|text| read_json_lines(&text).map_err(malformed)) {
            Ok(records) => sources.push(records),
            Err(e) => failures.push(e.to_string()),
        }
    }
    if sources.is_empty() {
        return Err(CtlError::NoAdminResponse {
            reasons: failures.join("; "),
        });
    }
    let records = merge(sources);
    let mut rows = vec![row(["TIME", "INSTANCE", "EVENT"])];
    rows.extend(records.iter().map(record_row));
    let mut text = format_table(&rows);
    for e in &failures {
        writeln!(text, "{e}").expect("writing to a string cannot fail");
    }
    let json = serde_json::to_value(&records).expect("records serialize to JSON");
    Ok(Report {
        text,
        json: serde_json::json!({ "events": json, "failed": failures }),
    })
}

fn record_row(record: &Record) -> Vec<String> {
    vec![
        format_utc(record.stamp),
        record.instance.to_string(),
        describe(&record.event),
    ]
}

/// Formats a timestamp as UTC. It follows the fastest wall clock of the fleet.
fn format_utc(stamp: Timestamp) -> String {
    let seconds = stamp.0 / MICROS_PER_SECOND;
    let (year, month, day) = civil_date(seconds / SECONDS_PER_DAY);
    let second_of_day = seconds % SECONDS_PER_DAY;
    let (hour, minute, second) = (second_of_day / 3_600, second_of_day / 60 % 60, second_of_day % 60);
    let micros = stamp.0 % MICROS_PER_SECOND;
    format!("{year:04}-{month:02}-{day:02}T{hour:02}:{minute:02}:{second:02}.{micros:06}Z")
}

/// Converts a number of days since 1970-01-01 to year, month and day in the Gregorian calendar.
fn civil_date(mut days: u64) -> (u64, u64, u64) {
    let leap = |y: u64| y.is_multiple_of(4) && (!y.is_multiple_of(100) || y.is_multiple_of(400));
    let mut year = 1970;
    while days >= 365 + u64::from(leap(year)) {
        days -= 365 + u64::from(leap(year));
        year += 1;
    }
    let february = 28 + u64::from(leap(year));
    let mut month = 1;
    for month_days in [31, february, 31, 30, 31, 30, 31, 31, 30, 31, 30, 31] {
        if days < month_days {
            break;
        }
        days -= month_days;
        month += 1;
    }
    (year, month, days + 1)
}

fn describe(event: &Event) -> String {
    let home_name = |id: &Option<InstanceId>| {
        id.as_ref()
            .map_or_else(|| "none".to_owned(), InstanceId::to_string)
    };
    match event {
        Event::RequestRefused { scope, count } => {
            let organisation = if scope.organisation.is_empty() {
                "anyone"
            } else {
                &scope.organisation
            };
            format!(
                "refused {count} requests of {organisation} on {} with {}",
                scope.route, scope.sqlstate
            )
        }
        Event::TermChanged {
            database,
            term,
            primary,
        } if primary.is_empty() => {
            format!("database {database} promotes a primary for term {term}")
        }
        Event::TermChanged {
            database,
            term,
            primary,
        } => {
            format!("database {database} has primary {primary} in term {term}")
        }
        Event::ShareTransferred {
            organisation,
            from,
            to,
            units,
        } => {
            format!("{units} share units of {organisation} moved from {from} to {to}")
        }
        Event::ConfigurationInForce { version } => format!("manifest {version} is in force"),
        Event::DomainOut { domain } => format!("failure domain {domain} is out of service"),
        Event::DomainIn { domain } => format!("failure domain {domain} is in service"),
        Event::InstanceOut { subject } => format!("instance {subject} is out of service"),
        Event::InstanceIn { subject } => format!("instance {subject} is in service"),
        Event::InstanceChanged {
            subject,
            incarnation,
            state,
        } => {
            format!(
                "instance {subject}/{incarnation} is {}",
                format!("{state:?}").to_lowercase()
            )
        }
        Event::HomeMoved { database, from, to } => {
            format!(
                "home of {database} moved from {} to {}",
                home_name(from),
                home_name(to)
            )
        }
        Event::AdmissionChanged { admission } => format!("admission is {admission}"),
        Event::CallerEnded {
            organisation,
            sqlstate,
        } => format!("ended a caller of {organisation} with {sqlstate}"),
    }
}
