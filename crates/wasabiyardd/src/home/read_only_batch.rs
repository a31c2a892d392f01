//! Decides whether a request may be tried on several slots, one after the other.

use super::frame::FrameBuffer;

const QUERY: u8 = b'Q';
const PARSE: u8 = b'P';

/// Whether each statement of a complete batch starts with the keyword of a read or of transaction control.
///
/// A write can arrive on a route that is declared for reads. A replica refuses it, but a replica that was just promoted
/// would run it. Such a request therefore goes to the primary only, where it is never sent twice and its commit is
/// acknowledged by a majority before the answer ends.
pub fn is_read_only_batch(batch: &[u8]) -> bool {
    let mut frames = FrameBuffer::default();
    frames.extend(batch);
    while let Ok(Some(frame)) = frames.pop_frame() {
        let text = match frame.tag() {
            QUERY => frame.body(),
            // A Parse message has the name of the prepared statement before its text.
            PARSE => frame.body().split(|b| *b == 0).nth(1).unwrap_or_default(),
            _ => continue,
        };
        let text = String::from_utf8_lossy(text);
        let mut statements = text
            .split(';')
            .map(|s| s.trim_matches(|c: char| c == '\0' || c.is_whitespace()));
        if !statements.all(starts_with_read_keyword) {
            return false;
        }
    }
    frames.is_empty()
}

fn starts_with_read_keyword(statement: &str) -> bool {
    let word: String = statement.chars().take_while(char::is_ascii_alphabetic).collect();
    let word = word.to_ascii_uppercase();
    statement.is_empty()
        || matches!(
            word.as_str(),
            "SELECT" | "SHOW" | "BEGIN" | "START" | "COMMIT" | "ROLLBACK"
        )
}
