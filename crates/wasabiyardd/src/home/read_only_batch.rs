//! Tells whether a request can be sent to several slots in turn.

use super::frame::FrameBuffer;

const QUERY: u8 = b'Q';
const PARSE: u8 = b'P';

/// Whether each statement in a whole batch begins like a read or a transaction. A route may be declared for reads and
/// still carry a write. A replica refuses it, but a replica that was just promoted would run it, so such a request goes
/// to the primary only, where its commit is proved and it is never sent twice.
pub fn is_read_only_batch(batch: &[u8]) -> bool {
    let mut frames = FrameBuffer::default();
    frames.extend(batch);
    while let Ok(Some(frame)) = frames.pop_frame() {
        let text = match frame.tag() {
            QUERY => frame.body(),
            // The name of the statement comes before its text.
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
