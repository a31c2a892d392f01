//! Guards against text of callers that ends a log line, starts a key or fills the log.

use log::{Level, Log, Record};
use proptest::prelude::*;
use std::io::{self, Write};
use std::sync::{Arc, Mutex};
use wasabiyard_logging::{LogLine, builder};

/// Longest line with two values of any length.
const MAX_LINE_BYTES: usize = 4 * 1024;

#[derive(Clone, Default)]
struct SharedBuffer(Arc<Mutex<Vec<u8>>>);

impl Write for SharedBuffer {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        self.0.lock().expect("no panic under this lock").extend(buf);
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// What the logger of the daemons writes for one record about the request `id`.
fn written(message: &str, id: &str, detail: &str) -> String {
    let buffer = SharedBuffer::default();
    let logger = builder(env_logger::TimestampPrecision::Millis)
        .filter_level(log::LevelFilter::Info)
        .target(env_logger::Target::Pipe(Box::new(buffer.clone())))
        .build();
    let fields: [(&str, &str); 2] = [("request", id), ("detail", detail)];
    logger.log(
        &Record::builder()
            .level(Level::Info)
            .target("wasabiyard_gateway::event_log")
            .args(format_args!("{message}"))
            .key_values(&fields)
            .build(),
    );
    let bytes = buffer.0.lock().expect("no panic under this lock").clone();
    String::from_utf8(bytes).expect("UTF-8")
}

fn assert_reads_back(message: &str, id: &str, detail: &str) {
    let text = written(message, id, detail);
    let line = text.strip_suffix('\n').expect("a whole line");
    assert!(
        !line.contains(char::is_control),
        "a control character in {line:?}"
    );
    assert!(line.len() <= MAX_LINE_BYTES, "a line of {} bytes", line.len());
    let line = LogLine::parse(line).expect("a log line");
    let keys: Vec<_> = line.fields().iter().map(|f| f.key).collect();
    assert_eq!(keys, ["request", "detail"], "in {text}");
    assert!(line.field("request").is_some_and(|f| f.has_value(id)), "{text}");
    assert!(
        line.field("detail").is_some_and(|f| f.has_value(detail)),
        "{text}"
    );
}

/// A caller could write whole lines of its own, such as a takeover that never was, or claim another caller's request.
#[test]
fn a_value_neither_ends_a_line_nor_starts_a_field() {
    for value in [
        "a\n[2026-10-04T08:03:02.300Z INFO  wasabiyard_gateway::control::state] primary record service=members epoch=9",
        "a\r\nb",
        "a\rb",
        "aa request=bb detail=cc",
        "a\\nb",
        "a\u{2028}b\u{85}c\u{1b}[2Jd\u{202e}e",
        "] = ",
        " ",
        "",
    ] {
        assert_reads_back("statement not served", value, value);
        assert_reads_back(value, "aa", "bb");
    }
}

/// A caller could fill the log with the ids of a few statements.
#[test]
fn a_long_value_is_cut_and_still_found() {
    let long = "x".repeat(1 << 20);
    assert_reads_back("statement not served", &long, &"\n".repeat(1 << 20));
    let text = written("statement not served", &long, "");
    let line = LogLine::parse(text.trim_end()).expect("a log line");
    let request = line.field("request").expect("the request");
    assert!(
        !request.has_value(&long[1..]),
        "the cut hides a difference of length"
    );
    assert!(!request.has_value("x"), "the cut hides a difference of length");
}

/// The form of ordinary lines is known to operators and their tools.
#[test]
fn ordinary_text_is_written_as_it_is() {
    let text = written(
        "statement not served",
        "5c0e7a21d94b36f8",
        "no primary; try ä \"x\"",
    );
    let (time, rest) = text.split_once(' ').expect("a time");
    assert!(time.starts_with('[') && time.ends_with('Z'), "{time}");
    assert_eq!(
        rest,
        "INFO  wasabiyard_gateway::event_log] statement not served request=5c0e7a21d94b36f8 detail=no primary; try ä \"x\"\n"
    );
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// Two ids must not look alike in the log, whatever characters they hold.
    #[test]
    fn any_text_reads_back(message in any::<String>(), id in any::<String>(), detail in "[ =\\\\\\n\\r\\]a-c]{0,40}") {
        assert_reads_back(&message, &id, &detail);
    }
}
