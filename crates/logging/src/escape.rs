//! Escape sequences in the message and the values of a log line.
//!
//! The sequences are those of Rust literals, and `\+BYTES` at the end of a text that was cut, where `BYTES` is the full
//! length. A backslash in a text is escaped itself, so no text can contain this mark.

use std::fmt::{self, Write};

/// Longest message or value in a line, in bytes after escaping. A caller may send a megabyte as the id of a statement.
const MAX_TEXT_BYTES: usize = 1024;
/// Mark of a text that was cut, before its length in bytes.
const CUT_MARK: &str = "\\+";

/// Collects a text in its escaped form, up to [`MAX_TEXT_BYTES`].
#[derive(Debug, Default)]
pub(crate) struct EscapedText {
    escaped: String,
    /// Length of the text before escaping, including what was cut.
    len: usize,
    cut: bool,
}

impl EscapedText {
    /// The escaped form of what `text` displays.
    pub(crate) fn of(text: impl fmt::Display) -> String {
        let mut out = Self::default();
        // An error of the value's own `Display` ends it early; the rest of the line is still worth writing.
        if write!(out, "{text}").is_err() {
            out.cut = true;
        }
        if out.cut {
            write!(out.escaped, "{CUT_MARK}{}", out.len).expect("writing to a string cannot fail");
        }
        out.escaped
    }

    fn push(&mut self, c: char) {
        let start = self.escaped.len();
        match c {
            '\\' => self.escaped.push_str("\\\\"),
            '\n' | '\r' | '\t' => self.escaped.extend(c.escape_default()),
            c if is_separator(c) => self.escaped.extend(c.escape_unicode()),
            c => self.escaped.push(c),
        }
        if self.escaped.len() > MAX_TEXT_BYTES {
            self.escaped.truncate(start);
            self.cut = true;
        }
    }
}

impl Write for EscapedText {
    fn write_str(&mut self, s: &str) -> fmt::Result {
        self.len += s.len();
        for c in s.chars() {
            if self.cut {
                break;
            }
            self.push(c);
        }
        Ok(())
    }
}

/// Whether `c` could end a line, start a key, or change what a terminal shows of the line.
fn is_separator(c: char) -> bool {
    matches!(c, '=' | '\u{2028}' | '\u{2029}' | '\u{202a}'..='\u{202e}' | '\u{2066}'..='\u{2069}')
        || c.is_control()
}

/// Whether `escaped` is what the writer makes of `text`.
pub(crate) fn is_escape_of(escaped: &str, text: &str) -> bool {
    EscapedText::of(text) == escaped
}
