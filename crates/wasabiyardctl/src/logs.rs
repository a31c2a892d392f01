//! Merges the log files of several instances by time.
//!
//! Instances on the users' platform have no admin address, so a complaint can only be investigated from their logs.
//! The outcome of a request follows from what the instances knew of the cluster at that time, so the lines of the
//! request are shown together with the state changes that were logged before them.

use crate::table::{format_table, row};
use crate::{CtlError, Report};
use serde::Serialize;
use std::fmt::Write as _;
use std::path::{Path, PathBuf};
use wasabiyard_logging::LogField;

/// Key of the request id in a line about one request.
const REQUEST_KEY: &str = "request";

/// A log line of an instance. Lines sort by the order of the fields: time, instance, text.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize)]
struct InstanceLine {
    /// UTC timestamp by the wall clock of the instance.
    time: String,
    instance: String,
    /// Message and fields, with the escapes of the log.
    text: String,
}

impl InstanceLine {
    fn parse(line: &str, instance: &str) -> Option<Self> {
        let line = wasabiyard_logging::LogLine::parse(line)?;
        Some(Self {
            time: line.time.to_owned(),
            instance: instance.to_owned(),
            text: line.text.to_owned(),
        })
    }

    /// Id of the request that the line is about; `None` when it is about no request.
    fn request(&self) -> Option<LogField<'_>> {
        let line = wasabiyard_logging::LogLine {
            time: &self.time,
            text: &self.text,
        };
        line.field(REQUEST_KEY)
    }
}

/// Merges log files by time. With `request`, keeps only the lines of that request and the lines about no request, up to
/// the last line of the request. The file name without its extension is taken as the name of the instance.
///
/// # Errors
///
/// When a file cannot be read, or no line has the id of the request.
pub fn logs_report(files: &[PathBuf], request: Option<&str>) -> Result<Report, CtlError> {
    let mut lines = Vec::new();
    let mut unreadable = 0;
    for path in files {
        let text = std::fs::read_to_string(path).map_err(|source| CtlError::ReadFile {
            path: path.clone(),
            source,
        })?;
        let instance = instance_name(path);
        for line in text.lines().filter(|l| !l.is_empty()) {
            match InstanceLine::parse(line, &instance) {
                Some(line) => lines.push(line),
                None => unreadable += 1,
            }
        }
    }
    lines.sort();
    if let Some(request) = request {
        lines = select_request(&lines, request)?;
    }
    Ok(build_report(&lines, unreadable))
}

fn instance_name(path: &Path) -> String {
    path.file_stem()
        .map_or_else(String::new, |s| s.to_string_lossy().into_owned())
}

/// Selects by the id as the caller sent it, or, when no line has it, by the id as a log line shows it.
fn select_request(lines: &[InstanceLine], request: &str) -> Result<Vec<InstanceLine>, CtlError> {
    let is_sent = |f: LogField<'_>| f.has_value(request);
    let is_shown = |f: LogField<'_>| f.escaped_value == request;
    select_lines(lines, is_sent)
        .or_else(|| select_lines(lines, is_shown))
        .ok_or_else(|| CtlError::NoSuchRequest {
            request: request.to_owned(),
        })
}

/// The lines of the selected request and those about no request, up to the last line of the request.
fn select_lines(
    lines: &[InstanceLine],
    is_selected: impl Fn(LogField<'_>) -> bool,
) -> Option<Vec<InstanceLine>> {
    let last_index = lines
        .iter()
        .rposition(|l| l.request().is_some_and(&is_selected))?;
    let up_to_last = lines[..=last_index].iter();
    Some(
        up_to_last
            .filter(|l| l.request().is_none_or(&is_selected))
            .cloned()
            .collect(),
    )
}

fn build_report(lines: &[InstanceLine], unreadable: usize) -> Report {
    let mut rows = vec![row(["TIME", "INSTANCE", "EVENT"])];
    rows.extend(lines.iter().map(|l| row([&l.time, &l.instance, &l.text])));
    let mut text = format_table(&rows);
    if unreadable > 0 {
        writeln!(text, "lines skipped because they are not log lines: {unreadable}")
            .expect("writing to a string cannot fail");
    }
    Report {
        text,
        json: serde_json::json!({ "lines": lines, "unreadable": unreadable }),
    }
}
