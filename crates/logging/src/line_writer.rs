//! Writer of log lines.

use crate::escape::EscapedText;
use env_logger::TimestampPrecision;
use log::Record;
use log::kv::{self, Key, VisitSource};
use std::fmt::{Display, Write as _};
use std::io::{self, Write};

/// A logger that takes its filter from `RUST_LOG`, at level info by default, and writes lines that
/// [`LogLine`](crate::LogLine) reads.
pub fn builder(precision: TimestampPrecision) -> env_logger::Builder {
    let mut builder = env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("info"));
    builder.format(move |out, record| {
        let line = match precision {
            TimestampPrecision::Seconds => format_line(out.timestamp_seconds(), record),
            TimestampPrecision::Millis => format_line(out.timestamp_millis(), record),
            TimestampPrecision::Micros => format_line(out.timestamp_micros(), record),
            TimestampPrecision::Nanos => format_line(out.timestamp_nanos(), record),
        };
        out.write_all(line?.as_bytes())
    });
    builder
}

/// The line of a record with its terminator. Module paths and keys are constants of the program and need no escape.
fn format_line(time: impl Display, record: &Record<'_>) -> io::Result<String> {
    let (level, target) = (record.level(), record.target());
    let message = EscapedText::of(record.args());
    let mut line = format!("[{time} {level:<5} {target}] {message}");
    let fields = record.key_values();
    fields
        .visit(&mut FieldWriter(&mut line))
        .map_err(io::Error::other)?;
    line.push('\n');
    Ok(line)
}

/// Appends each field to a line.
struct FieldWriter<'a>(&'a mut String);

impl<'kvs> VisitSource<'kvs> for FieldWriter<'_> {
    fn visit_pair(&mut self, key: Key<'_>, value: kv::Value<'kvs>) -> Result<(), kv::Error> {
        let value = EscapedText::of(value);
        write!(self.0, " {key}={value}").expect("writing to a string cannot fail");
        Ok(())
    }
}
