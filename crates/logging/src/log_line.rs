//! Reader of log lines.

use crate::escape::is_escape_of;

/// A key with its value, as a log line holds them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LogField<'a> {
    /// Name of the field.
    pub key: &'a str,
    /// Value in its escaped form.
    pub escaped_value: &'a str,
}

impl LogField<'_> {
    /// Whether the field was written with `value`. Values that were cut are equal if their beginnings and lengths are.
    pub fn has_value(&self, value: &str) -> bool {
        is_escape_of(self.escaped_value, value)
    }
}

/// A log line, split at the separators that the writer left unescaped.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LogLine<'a> {
    /// UTC timestamp by the wall clock of the writing process.
    pub time: &'a str,
    /// Message and fields in their escaped form.
    pub text: &'a str,
}

impl<'a> LogLine<'a> {
    /// Parses one line without its terminator. Returns `None` for any other form.
    pub fn parse(line: &'a str) -> Option<Self> {
        let (prefix, text) = line.strip_prefix('[')?.split_once("] ")?;
        let time = prefix.split(' ').next().filter(|t| t.ends_with('Z'))?;
        Some(Self { time, text })
    }

    /// The fields in the order in which they were written. A value extends to the word before the next key.
    pub fn fields(&self) -> Vec<LogField<'a>> {
        let mut starts = Vec::new();
        let mut offset = 0;
        for word in self.text.split(' ') {
            if word.contains('=') {
                starts.push(offset);
            }
            offset += word.len() + 1;
        }
        let ends = starts.iter().skip(1).map(|start| start - 1);
        let ends = ends.chain([self.text.len()]);
        let pairs = starts
            .iter()
            .zip(ends)
            .map(|(start, end)| &self.text[*start..end]);
        pairs
            .filter_map(|pair| pair.split_once('='))
            .map(|(key, escaped_value)| LogField { key, escaped_value })
            .collect()
    }

    /// The first field with this key.
    pub fn field(&self, key: &str) -> Option<LogField<'a>> {
        self.fields().into_iter().find(|f| f.key == key)
    }
}
