//! Writes and reads event records as JSON Lines.

use crate::Record;
use thiserror::Error;

/// A line that does not parse as a [`Record`].
#[derive(Debug, Error)]
#[error("line {line} is not an event")]
pub struct JsonLineError {
    /// Line number, from 1.
    pub line: usize,
    /// Why the line does not parse.
    #[source]
    pub source: serde_json::Error,
}

/// Writes each record as one JSON object on its own line.
pub fn write_json_lines<'a, I>(records: I) -> String
where
    I: IntoIterator<Item = &'a Record>,
{
    let mut out = String::new();
    for record in records {
        out.push_str(&serde_json::to_string(record).expect("the keys of a record are strings"));
        out.push('\n');
    }
    out
}

/// Parses records from JSON Lines; blank lines are skipped.
///
/// # Errors
///
/// Reports the first line that does not parse.
pub fn read_json_lines(text: &str) -> Result<Vec<Record>, JsonLineError> {
    text.lines()
        .enumerate()
        .filter(|(_, line)| !line.trim().is_empty())
        .map(|(i, line)| serde_json::from_str(line).map_err(|source| JsonLineError { line: i + 1, source }))
        .collect()
}
