//! The memory budget replays the loads of hostile callers without connections.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use wasabiyard_gateway::budget::{
    Closable, ConnectionSlots, Decision, MemoryAccounts, MemoryBudget, Purpose, ResourceLimits,
};
use wasabiyard_model::Time;

const KIB: usize = 1 << 10;
const MIB: usize = 1 << 20;
const START: Time = Time::from_millis(1_000);

fn after(millis: u64) -> Time {
    START + Duration::from_millis(millis)
}

/// Remembers whether it was closed.
#[derive(Default)]
struct Connection(Cell<bool>);

impl Closable for Connection {
    fn close(&self) {
        self.0.set(true);
    }
}

/// Senders that stop half-way would hold the share of unfinished messages for ever. The one that has held most for
/// longest is closed, and no second one for the same bytes.
#[test]
fn the_costliest_stalled_sender_is_closed_for_a_newcomer() {
    let mut budget = MemoryBudget::new(2 * MIB);
    let small = budget.open(Purpose::Message, START);
    let large = budget.open(Purpose::Message, START);
    let newcomer = budget.open(Purpose::Message, after(500));
    assert_eq!(budget.resize(small, 200 * KIB, START), Decision::Granted);
    assert_eq!(budget.resize(large, 700 * KIB, START), Decision::Granted);
    assert_eq!(
        budget.resize(newcomer, 300 * KIB, after(500)),
        Decision::Close(large)
    );
    assert_eq!(budget.resize(newcomer, 300 * KIB, after(500)), Decision::Wait);
    budget.close(large);
    assert_eq!(budget.resize(newcomer, 300 * KIB, after(501)), Decision::Granted);
    assert_eq!(budget.used(Purpose::Message), 500 * KIB);
}

/// Messages of well-behaved callers that arrive together must wait for each other, not close each other.
#[test]
fn messages_that_have_just_begun_are_not_closed() {
    let mut budget = MemoryBudget::new(2 * MIB);
    let first = budget.open(Purpose::Message, START);
    let second = budget.open(Purpose::Message, START);
    assert_eq!(budget.resize(first, 900 * KIB, START), Decision::Granted);
    assert_eq!(budget.resize(second, 900 * KIB, after(5)), Decision::Exhausted);
    budget.close(first);
    assert_eq!(budget.resize(second, 900 * KIB, after(10)), Decision::Granted);
}

/// A connection whose statement runs would lose its answer if it were closed.
#[test]
fn statements_and_states_of_busy_sessions_are_not_closed() {
    let mut budget = MemoryBudget::new(4 * MIB);
    let state = budget.open(Purpose::SessionState, START);
    assert_eq!(budget.resize(state, MIB, START), Decision::Granted);
    budget.set_busy(state, true, START);
    let statement = budget.open(Purpose::Statement, START);
    assert_eq!(budget.resize(statement, 2 * MIB, START), Decision::Granted);
    let other_state = budget.open(Purpose::SessionState, after(900));
    let other_statement = budget.open(Purpose::Statement, after(900));
    assert_eq!(budget.resize(other_state, MIB, after(1_000)), Decision::Exhausted);
    assert_eq!(
        budget.resize(other_statement, MIB, after(1_000)),
        Decision::Exhausted
    );
    budget.set_busy(state, false, after(1_000));
    assert_eq!(
        budget.resize(other_state, MIB, after(2_000)),
        Decision::Close(state)
    );
}

/// Unfinished messages alone must not take what answers and statements need to go on.
#[test]
fn a_purpose_cannot_take_the_whole_budget() {
    let mut budget = MemoryBudget::new(4 * MIB);
    for _ in 0..80 {
        let id = budget.open(Purpose::Message, START);
        budget.resize(id, MIB, START);
    }
    assert_eq!(budget.used(Purpose::Message), 2 * MIB);
    let answer = budget.open(Purpose::Answer, START);
    assert_eq!(budget.resize(answer, MIB, START), Decision::Granted);
}

/// A claim that outlived its connection would shrink the budget until nothing is served.
#[test]
fn dropped_claims_return_their_bytes() {
    let accounts = MemoryAccounts::new(4 * MIB);
    let connection = Rc::new(Connection::default());
    let account = accounts.open(connection);
    let mut claim = account.claim(Purpose::Statement);
    claim.resize(MIB).expect("room for the statement");
    assert_eq!(accounts.used(Purpose::Statement), MIB);
    claim.resize(100).expect("less is granted");
    assert_eq!(
        accounts.used(Purpose::Statement),
        0,
        "short texts are not counted"
    );
    claim.resize(MIB).expect("room for the statement");
    drop(claim);
    assert_eq!(accounts.used(Purpose::Statement), 0);
}

/// Connections without a login must not keep sessions out, and sessions are not closed for newcomers.
#[test]
fn the_longest_wait_for_a_login_ends_for_a_newcomer() {
    let slots = ConnectionSlots::new(2);
    let open = || {
        let connection = Rc::new(Connection::default());
        let slot = slots.take(Rc::clone(&connection) as Rc<dyn Closable>);
        (connection, slot)
    };
    let (idle, idle_slot) = open();
    let (session, session_slot) = open();
    let session_slot = session_slot.expect("a free slot");
    assert!(session_slot.keep());
    let (_newcomer, newcomer_slot) = open();
    assert!(newcomer_slot.is_some_and(|slot| slot.keep()));
    assert!(idle.0.get());
    assert!(!session.0.get());
    assert!(idle_slot.is_some_and(|slot| !slot.keep()), "it was closed");
    let (_, replacement) = open();
    let replacement = replacement.expect("the slot of the connection that ended");
    assert!(replacement.keep());
    assert!(open().1.is_none(), "only sessions are left");
}

/// Limits that are too tight would refuse well-behaved callers on the smallest machine of the platform.
#[test]
fn the_smallest_machine_has_room_for_thousands_of_sessions() {
    let limits = ResourceLimits {
        memory_mb: 160,
        max_descriptors: 4_300,
    };
    assert!(limits.max_callers() >= 3_500, "{}", limits.max_callers());
    assert!(limits.max_callers() <= 4_300 - 200 - 500);
    assert!(limits.budget_bytes() >= 32 * MIB);
    assert!(limits.budget_bytes() <= 160 * MIB / 4);
}

/// Callers were closed one after the other although all of them together could not make room for the newcomer.
#[test]
fn nobody_is_closed_when_that_would_not_make_room() {
    let mut budget = MemoryBudget::new(2 * MIB);
    let running = budget.open(Purpose::Message, START);
    assert_eq!(budget.resize(running, 800 * KIB, START), Decision::Granted);
    budget.set_busy(running, true, START);
    let idle = budget.open(Purpose::Message, START);
    assert_eq!(budget.resize(idle, 50 * KIB, START), Decision::Granted);
    let newcomer = budget.open(Purpose::Message, after(500));
    assert_eq!(
        budget.resize(newcomer, 900 * KIB, after(500)),
        Decision::Exhausted
    );
}

/// A session that had been idle for an hour with a few KiB of its own outweighed a large message that had stopped.
#[test]
fn an_old_session_with_little_state_outlives_a_stalled_message() {
    const HOUR_MS: u64 = 3_600_000;
    let mut budget = MemoryBudget::new(4 * MIB);
    let session = budget.open(Purpose::SessionState, START);
    assert_eq!(budget.resize(session, 8 * KIB, START), Decision::Granted);
    let stalled = budget.open(Purpose::Message, after(HOUR_MS));
    assert_eq!(
        budget.resize(stalled, 900 * KIB, after(HOUR_MS)),
        Decision::Granted
    );
    let mut others = Vec::new();
    let decision = loop {
        let other = budget.open(Purpose::Statement, after(HOUR_MS + 1_000));
        match budget.resize(other, 256 * KIB, after(HOUR_MS + 1_000)) {
            Decision::Granted => others.push(other),
            decision => break decision,
        }
    };
    assert_ne!(decision, Decision::Close(session));
}
