//! The form of a log line, for the daemons that write it and the tool that reads it.
//!
//! A line is `[TIME LEVEL MODULE] MESSAGE KEY=VALUE ...`. Callers choose some of the values, such as the id of a
//! statement, and must not be able to end a line or to start a key. The writer therefore escapes every character that
//! separates, and the reader relies on it: both sides of the rule are in this crate.

mod escape;
mod line_writer;
mod log_line;

pub use line_writer::builder;
pub use log_line::{LogField, LogLine};
