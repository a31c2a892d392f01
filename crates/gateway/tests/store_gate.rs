//! The circuit breaker for calls to a failing store.

use std::time::Duration;
use wasabiyard_gateway::control::StoreCircuitBreaker;
use wasabiyard_model::Time;

const POLL_LOOPS: usize = 4;
const TICK: Duration = Duration::from_millis(20);

/// Number of calls of one instance between `from` and `to` while the store refuses each call immediately.
fn calls_while_down(breaker: &mut StoreCircuitBreaker, from: Time, to: Time) -> usize {
    let mut calls = 0;
    let mut now = from;
    while now < to {
        for _ in 0..POLL_LOOPS {
            if breaker.allows_call(now) {
                calls += 1;
                breaker.on_failure(now);
            }
        }
        now = now + TICK;
    }
    calls
}

/// Without the breaker, a store that was down for 4.5 s got 1,400 calls of 87 instances, more than it serves in a
/// second once it is back.
#[test]
fn an_outage_costs_few_calls_and_recovery_is_noticed_soon() {
    let start = Time::from_millis(10_000);
    let back = start + Duration::from_millis(4_500);
    let mut breaker = StoreCircuitBreaker::default();
    let calls = calls_while_down(&mut breaker, start, back);
    assert!(calls <= 10, "{calls} calls");
    let mut now = back;
    while !breaker.allows_call(now) {
        now = now + TICK;
    }
    assert!(now < back + Duration::from_millis(700), "noticed at {now:?}");
    breaker.on_success();
    for _ in 0..POLL_LOOPS {
        assert!(breaker.allows_call(now));
    }
}

/// While a probe hangs, the other loops must neither queue up behind the same dead connection nor wait forever.
#[test]
fn one_loop_probes_at_a_time_while_the_store_hangs() {
    let start = Time::from_millis(10_000);
    let mut breaker = StoreCircuitBreaker::default();
    breaker.on_failure(start);
    let called_at = start + Duration::from_millis(300);
    assert!(breaker.allows_call(called_at));
    assert!(!breaker.allows_call(called_at + Duration::from_secs(1)));
    assert!(breaker.allows_call(called_at + Duration::from_millis(1_400)));
}
