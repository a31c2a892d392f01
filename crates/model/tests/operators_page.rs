//! Guards against an operators' page that lacks an error or gives it a different message than the code does.

use wasabiyard_model::{NotRun, OutcomeUnknown};

const OPERATORS_PAGE: &str = include_str!("../../../docs/operators.md");

#[test]
fn page_lists_every_error_with_its_message() {
    let not_run = NotRun::ALL.map(|e| format!("| {} | no | {e} |", e.sqlstate()));
    let unknown = OutcomeUnknown::ALL.map(|e| format!("| {} | unknown | {e} |", e.sqlstate()));
    for row in not_run.iter().chain(&unknown) {
        assert!(
            OPERATORS_PAGE.contains(row.as_str()),
            "docs/operators.md has no row that starts with {row:?}"
        );
    }
}

#[test]
fn sqlstate_classes_of_the_error_families_are_disjoint() {
    assert!(NotRun::ALL.iter().all(|e| e.sqlstate().starts_with("WN")));
    assert!(OutcomeUnknown::ALL.iter().all(|e| e.sqlstate().starts_with("WU")));
}
