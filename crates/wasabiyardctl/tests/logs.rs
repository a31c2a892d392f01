//! Guards against merged logs that lack the lines that explain the outcome of a request.

use std::path::PathBuf;
use wasabiyardctl::{CtlError, logs_report};

const FIRST_LOG: &str = "\
[2026-10-04T08:03:02.100Z INFO  wasabiyard_gateway::control::duty_loop] holds the failover duty fence=2
[2026-10-04T08:03:02.300Z INFO  wasabiyard_gateway::control::state] primary record service=members epoch=2
[2026-10-04T08:03:09.000Z INFO  wasabiyard_gateway::control::state] primary record service=members epoch=4
not a log line
";
const SECOND_LOG: &str = "\
[2026-10-04T08:03:02.200Z INFO  wasabiyard_gateway::traffic::primary_use] primary no longer used service=members epoch=2
[2026-10-04T08:03:02.400Z INFO  wasabiyard_gateway::event_log] statement not served request=aa11 error=busy
[2026-10-04T08:03:02.500Z INFO  wasabiyard_gateway::event_log] statement not served request=aa112 error=too_many
[2026-10-04T08:03:02.600Z INFO  wasabiyard_gateway::event_log] statement tried again request=aa11 cause=lagging
";

fn write_log_files(dir: &tempfile::TempDir) -> Vec<PathBuf> {
    [("a-1", FIRST_LOG), ("b-1", SECOND_LOG)]
        .map(|(name, text)| {
            let path = dir.path().join(format!("{name}.log"));
            std::fs::write(&path, text).expect("a file");
            path
        })
        .to_vec()
}

/// A refusal is explained by the state changes that other instances logged before it, which the lines of other requests
/// would hide.
#[test]
fn a_request_is_shown_with_what_led_to_its_outcome() {
    let dir = tempfile::tempdir().expect("a folder");
    let report = logs_report(&write_log_files(&dir), Some("aa11")).expect("a report");
    insta::assert_snapshot!(report.text);
    assert_eq!(report.json["lines"].as_array().map(Vec::len), Some(5));
}

/// Callers choose their ids and database names. Some ids could not be found, and a name could pose as a request, which
/// hid its line from every other request.
#[test]
fn ids_are_found_and_names_are_no_ids_whatever_they_hold() {
    const LOG: &str = "\
[2026-10-04T08:03:02.100Z INFO  wasabiyard_gateway::event_log] login refused database=request\\u{3d}cc33 error=auth
[2026-10-04T08:03:02.200Z INFO  wasabiyard_gateway::control] lease lost last_request=7
[2026-10-04T08:03:02.300Z INFO  wasabiyard_gateway::event_log] statement not served request=a\\u{3d}b\\nc error=busy
";
    let dir = tempfile::tempdir().expect("a folder");
    let path = dir.path().join("a-1.log");
    std::fs::write(&path, LOG).expect("a file");
    for request in ["a=b\nc", "a\\u{3d}b\\nc"] {
        let report = logs_report(std::slice::from_ref(&path), Some(request)).expect("a report");
        assert_eq!(
            report.json["lines"].as_array().map(Vec::len),
            Some(3),
            "{request}"
        );
    }
    assert!(matches!(
        logs_report(&[path], Some("cc33")),
        Err(CtlError::NoSuchRequest { .. })
    ));
}

#[test]
fn an_unknown_request_is_an_error_and_not_an_empty_table() {
    let dir = tempfile::tempdir().expect("a folder");
    let result = logs_report(&write_log_files(&dir), Some("bb22"));
    assert!(matches!(result, Err(CtlError::NoSuchRequest { request }) if request == "bb22"));
}
