//! Parsing of durations.

use std::time::Duration;

/// Parses a whole number of milliseconds (`500ms`) or seconds (`5s`). Returns `None` for any other form.
pub(crate) fn parse_duration(text: &str) -> Option<Duration> {
    let text = text.trim();
    if let Some(millis) = text.strip_suffix("ms") {
        return millis.trim().parse().ok().map(Duration::from_millis);
    }
    text.strip_suffix('s')?
        .trim()
        .parse()
        .ok()
        .map(Duration::from_secs)
}
