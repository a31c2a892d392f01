//! Guards against merged events that show an effect before its cause, rare events that are evicted by frequent ones,
//! and JSON Lines that cannot be parsed back.

use proptest::prelude::*;
use wasabiyard_model::{Incarnation, InstanceId};
use wasabiyard_timeline::{
    Event, EventRing, HybridClock, InstanceState, RING_CAPACITY_EVENTS, Record, RefusalScope, merge,
    read_json_lines, write_json_lines,
};

fn refusal(organisation: &str) -> Event {
    Event::RequestRefused {
        scope: RefusalScope {
            sqlstate: "WN001".into(),
            organisation: organisation.into(),
            route: "pay".into(),
        },
        count: 1,
    }
}

/// Simulates three processes that exchange messages, and records an event at each send and each receipt.
///
/// `skews_micros` are the offsets of their wall clocks from true time. A step is the sender, the receiver and the
/// microseconds since the step before it. Returns the records of each process, and the pairs of cause and effect.
fn simulate_messages(
    skews_micros: &[u64; 3],
    steps: &[(usize, usize, u64)],
) -> (Vec<Vec<Record>>, Vec<(Record, Record)>) {
    let mut clocks = [
        HybridClock::default(),
        HybridClock::default(),
        HybridClock::default(),
    ];
    let mut rings = ["a", "b", "c"].map(|name| EventRing::new(InstanceId::from(name)));
    let mut causes = Vec::new();
    let mut true_micros = 0;
    for (version, &(from, to, gap_micros)) in steps.iter().enumerate() {
        true_micros += gap_micros;
        let event = Event::ConfigurationInForce {
            version: version as u64,
        };
        let sent = clocks[from].next_timestamp(true_micros + skews_micros[from]);
        rings[from].push(sent, event.clone());
        let cause = rings[from].records().last().unwrap().clone();
        clocks[to].observe(sent);
        let received = clocks[to].next_timestamp(true_micros + skews_micros[to]);
        rings[to].push(received, event);
        causes.push((cause, rings[to].records().last().unwrap().clone()));
    }
    (
        rings.iter().map(|r| r.records().cloned().collect()).collect(),
        causes,
    )
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(11), ..ProptestConfig::default() })]

    #[test]
    fn effect_never_precedes_its_cause(
        skews_micros in prop::array::uniform3(0_u64..60_000_000),
        steps in prop::collection::vec((0_usize..3, 0_usize..3, 0_u64..5_000), 1..200),
    ) {
        let (sources, causes) = simulate_messages(&skews_micros, &steps);
        let merged = merge(sources.clone());
        let position_of = |r: &Record| merged.iter().position(|m| m == r).unwrap();
        for (cause, effect) in &causes {
            prop_assert!(position_of(cause) < position_of(effect));
        }
        for source in &sources {
            prop_assert!(source.windows(2).all(|w| position_of(&w[0]) < position_of(&w[1])));
        }
        let reversed = merge(sources.into_iter().rev());
        prop_assert_eq!(merged, reversed);
    }
}

#[test]
fn refusal_burst_does_not_evict_rare_events() {
    let mut ring = EventRing::new(InstanceId::from("a"));
    let mut clock = HybridClock::default();
    ring.push(
        clock.next_timestamp(0),
        Event::DomainOut {
            domain: "riga-a".into(),
        },
    );
    for i in 0..20_000 {
        ring.push(
            clock.next_timestamp(i * 200),
            refusal(if i % 2 == 0 { "x" } else { "y" }),
        );
    }
    assert!(matches!(
        ring.records().next().unwrap().event,
        Event::DomainOut { .. }
    ));
    let refused: u64 = ring
        .records()
        .map(|r| {
            if let Event::RequestRefused { count, .. } = r.event {
                count
            } else {
                0
            }
        })
        .sum();
    assert_eq!(refused, 20_000);
}

#[test]
fn ring_evicts_oldest_beyond_its_capacity() {
    let mut ring = EventRing::new(InstanceId::from("a"));
    let mut clock = HybridClock::default();
    for version in 0..RING_CAPACITY_EVENTS as u64 + 10 {
        ring.push(clock.next_timestamp(0), Event::ConfigurationInForce { version });
    }
    assert_eq!(ring.len(), RING_CAPACITY_EVENTS);
    assert_eq!(ring.records().next().unwrap().number, 10);
}

#[test]
fn json_lines_keep_their_form() {
    let mut ring = EventRing::new(InstanceId::from("riga-a-1"));
    let mut clock = HybridClock::default();
    ring.push(clock.next_timestamp(100), refusal("zoo-riga"));
    ring.push(
        clock.next_timestamp(100),
        Event::InstanceChanged {
            subject: InstanceId::from("riga-b-1"),
            incarnation: Incarnation(3),
            state: InstanceState::Suspect,
        },
    );
    ring.push(
        clock.next_timestamp(200),
        Event::HomeMoved {
            database: "riga-1".into(),
            from: Some(InstanceId::from("riga-b-1")),
            to: None,
        },
    );
    let text = write_json_lines(ring.records());
    insta::assert_snapshot!(text, @r#"
    {"stamp":100,"instance":"riga-a-1","number":0,"event":"request-refused","sqlstate":"WN001","organisation":"zoo-riga","route":"pay","count":1}
    {"stamp":101,"instance":"riga-a-1","number":1,"event":"instance-changed","subject":"riga-b-1","incarnation":3,"state":"suspect"}
    {"stamp":200,"instance":"riga-a-1","number":2,"event":"home-moved","database":"riga-1","from":"riga-b-1","to":null}
    "#);
    let read = read_json_lines(&text).unwrap();
    assert!(read.iter().eq(ring.records()));
    assert_eq!(read_json_lines("{}\n").unwrap_err().line, 1);
}
