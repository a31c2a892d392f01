//! The logs of several instances on one time line.
//!
//! Instances on the users' platform have no admin address; what remains after a complaint are their logs. A request's lines
//! mean little without the changes of belief that came before them, so both are shown together.

use crate::table::{row, table};
use crate::{CtlError, Report};
use serde::Serialize;
use std::fmt::Write as _;
use std::path::{Path, PathBuf};

/// Marks a line about one request, before its id.
const REQUEST: &str = "request=";

/// One line of a log.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize)]
struct LogLine {
    /// UTC, as the instance's clock had it.
    time: String,
    instance: String,
    text: String,
}

impl LogLine {
    /// Reads `[TIME LEVEL MODULE] TEXT`.
    fn read(line: &str, instance: &str) -> Option<Self> {
        let (head, text) = line.strip_prefix('[')?.split_once("] ")?;
        let time = head.split(' ').next().filter(|t| t.ends_with('Z'))?;
        Some(Self {
            time: time.to_owned(),
            instance: instance.to_owned(),
            text: text.to_owned(),
        })
    }

    fn request(&self) -> Option<&str> {
        let (_, rest) = self.text.split_once(REQUEST)?;
        rest.split(' ').next()
    }
}

/// Merges log files by time. With `request`, only the lines of that request and those that are about no request remain, up
/// to the last line of the request. The name of an instance is that of its file without the ending.
///
/// # Errors
///
/// When a file cannot be read, or no line is about the request.
pub fn logs_report(files: &[PathBuf], request: Option<&str>) -> Result<Report, CtlError> {
    let mut lines = Vec::new();
    let mut unreadable = 0;
    for path in files {
        let text = std::fs::read_to_string(path).map_err(|source| CtlError::File {
            path: path.clone(),
            source,
        })?;
        let instance = instance_of(path);
        for line in text.lines().filter(|l| !l.is_empty()) {
            match LogLine::read(line, &instance) {
                Some(line) => lines.push(line),
                None => unreadable += 1,
            }
        }
    }
    lines.sort();
    if let Some(request) = request {
        lines = around(lines, request)?;
    }
    Ok(report(&lines, unreadable))
}

fn instance_of(path: &Path) -> String {
    path.file_stem()
        .map_or_else(String::new, |s| s.to_string_lossy().into_owned())
}

fn around(lines: Vec<LogLine>, request: &str) -> Result<Vec<LogLine>, CtlError> {
    let last = lines.iter().rposition(|l| l.request() == Some(request));
    let last = last.ok_or_else(|| CtlError::NoSuchRequest {
        request: request.to_owned(),
    })?;
    let known = lines.into_iter().take(last + 1);
    Ok(known
        .filter(|l| l.request().is_none_or(|r| r == request))
        .collect())
}

fn report(lines: &[LogLine], unreadable: usize) -> Report {
    let mut rows = vec![row(["TIME", "INSTANCE", "EVENT"])];
    rows.extend(lines.iter().map(|l| row([&l.time, &l.instance, &l.text])));
    let mut text = table(&rows);
    if unreadable > 0 {
        writeln!(text, "left out, because they are not log lines: {unreadable}")
            .expect("writing to a string cannot fail");
    }
    Report {
        text,
        json: serde_json::json!({ "lines": lines, "unreadable": unreadable }),
    }
}
