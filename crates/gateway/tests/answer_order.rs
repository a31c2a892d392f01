//! Which answers of a backend connection are taken for the answer to the last command.

use std::rc::Rc;
use wasabiyard_gateway::traffic::{AnswerMatch, AnswerOrder};
use wasabiyard_gateway::{Answer, CallerError, Command, Outcome, TransactionStatus};

const READ: Command<'static> = read("r");

const fn read(id: &str) -> Command<'_> {
    Command::Forward {
        id,
        text: "READ 1a4",
        at_least: None,
    }
}

const COMMIT: Command<'static> = Command::Commit {
    id: "r2",
    text: "COMMIT",
};
const BEGIN: Command<'static> = Command::Begin {
    read_only: false,
    at_least: None,
};
const SET: Command<'static> = Command::Set {
    name: "who",
    value: "v1",
};

fn done(digest: &str, transaction_status: TransactionStatus) -> Answer {
    Answer {
        outcome: Outcome::Done {
            digest: Some(Rc::from(digest)),
        },
        ..Answer::local(transaction_status)
    }
}

/// The order of a connection outside a transaction that has answered `count` reads, with the digests `d0` and up.
fn after_reads(count: usize) -> AnswerOrder {
    let mut order = AnswerOrder::default();
    for i in 0..count {
        let answer = done(&format!("d{i}"), TransactionStatus::Idle);
        let id = format!("r{i}");
        assert_eq!(order.on_answer(&read(&id), false, &answer), AnswerMatch::Own);
    }
    order
}

/// The late second answer to an earlier statement went to the caller of the next one.
#[test]
fn an_answer_that_comes_twice_is_not_the_next_statements() {
    let mut order = after_reads(200);
    for earlier in ["d0", "d199"] {
        let answer = done(earlier, TransactionStatus::Idle);
        assert!(order.is_repeated(&answer));
        assert_eq!(order.on_answer(&READ, false, &answer), AnswerMatch::Repeated);
        assert_eq!(order.on_answer(&SET, false, &answer), AnswerMatch::Repeated);
    }
    let own = done("d200", TransactionStatus::Idle);
    assert!(!order.is_repeated(&own));
    assert_eq!(order.on_answer(&READ, false, &own), AnswerMatch::Own);
}

/// The answer to a statement whose caller had used its id before was skipped, and the statement timed out.
#[test]
fn a_digest_may_come_again_for_the_same_id() {
    let mut order = after_reads(2);
    let answer = done("d0", TransactionStatus::Idle);
    assert_eq!(order.on_answer(&read("r0"), false, &answer), AnswerMatch::Own);
    assert_eq!(
        order.on_answer(&read("r1"), false, &answer),
        AnswerMatch::Repeated
    );
}

/// A command of the instance has no digest, so its answer was taken for that of a statement.
#[test]
fn a_statement_is_not_answered_without_a_digest() {
    let mut order = after_reads(1);
    let set = Answer::local(TransactionStatus::Idle);
    assert_eq!(order.on_answer(&SET, false, &set), AnswerMatch::Own);
    assert_eq!(order.on_answer(&READ, false, &set), AnswerMatch::Repeated);
}

/// A transaction must not count as open, or as ended, because of the answer to another command.
#[test]
fn an_answer_with_another_transaction_status_is_not_the_commands() {
    let mut order = after_reads(1);
    let (idle, open) = (TransactionStatus::Idle, TransactionStatus::InTransaction);
    assert_eq!(
        order.on_answer(&BEGIN, false, &Answer::local(idle)),
        AnswerMatch::Repeated
    );
    assert_eq!(
        order.on_answer(&BEGIN, false, &Answer::local(open)),
        AnswerMatch::Own
    );
    assert_eq!(
        order.on_answer(&Command::Rollback, true, &Answer::local(open)),
        AnswerMatch::Repeated
    );
    assert_eq!(
        order.on_answer(&READ, false, &done("d2", open)),
        AnswerMatch::Unknown
    );
    assert_eq!(order.on_answer(&READ, true, &done("d3", open)), AnswerMatch::Own);
    assert_eq!(
        order.on_answer(&READ, true, &done("d4", idle)),
        AnswerMatch::Unknown
    );
    assert_eq!(
        order.on_answer(&COMMIT, true, &done("d5", open)),
        AnswerMatch::Unknown
    );
    assert_eq!(
        order.on_answer(&COMMIT, true, &done("d6", idle)),
        AnswerMatch::Own
    );
}

/// An answer with a digest that no statement has asked for shifts all answers after it.
#[test]
fn an_unknown_digest_is_no_answer_to_a_command_of_the_instance() {
    let mut order = after_reads(1);
    let answer = done("d9", TransactionStatus::Idle);
    assert_eq!(order.on_answer(&SET, false, &answer), AnswerMatch::Unknown);
}

/// Errors carry no digest: whether one came twice cannot be seen.
#[test]
fn repeats_are_not_recognised_after_an_error() {
    let mut order = after_reads(1);
    assert!(order.recognises_repeats());
    let busy = Answer::error(CallerError::Busy, "full", TransactionStatus::Idle);
    assert_eq!(order.on_answer(&READ, false, &busy), AnswerMatch::Own);
    assert!(!order.is_repeated(&busy));
    assert!(!order.recognises_repeats());
}
