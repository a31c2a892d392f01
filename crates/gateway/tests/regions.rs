//! What crosses between regions, and what stays.

use rand::SeedableRng;
use rand::rngs::SmallRng;
use std::sync::Arc;
use std::time::Duration;
use wasabiyard_gateway::peer::{CompactReaders, Encoding, Envelope};
use wasabiyard_gateway::rate::{LinkMessage, RateDecision, TokenRequest, TokenResponse};
use wasabiyard_gateway::traffic::{Candidate, RegionDistances, RoundTripKind, choose_server, may_cross};
use wasabiyard_gateway::view::{instances_to_query, select_relays};
use wasabiyard_gateway::{PeerMessage, Regions};
use wasabiyard_model::{Incarnation, InstanceId, PriorityClass, Time};
use wasabiyard_platform::{ListedInstance, ListedState};

const START: Time = Time::from_millis(200_000);

fn after(millis: u64) -> Time {
    START + Duration::from_millis(millis)
}

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn region(name: &str) -> Arc<str> {
    Arc::from(name)
}

/// Logins take 12 ms of a slot and two round trips, and some wait for a slot. Neither may count as distance, nor may a kind that was measured
/// in one region only.
#[test]
fn the_distance_is_the_difference_of_the_shortest_round_trips() {
    let (north, south) = (region("north"), region("south"));
    let mut distances = RegionDistances::new(Arc::clone(&north));
    assert_eq!(distances.distance("south", START), Duration::ZERO);
    distances.record(&south, RoundTripKind::SessionCommand, ms(19), START);
    for (k, waited) in [40, 0, 90, 3].into_iter().enumerate() {
        let now = after(100 * k as u64);
        distances.record(&north, RoundTripKind::Login, ms(15 + waited), now);
        distances.record(&south, RoundTripKind::Login, ms(47 + waited), now);
    }
    assert_eq!(distances.distance("south", after(500)), ms(16));
    assert_eq!(distances.distance("north", after(500)), Duration::ZERO);
}

/// Requests that can wait filled the link for the urgent ones. Servers that are slow everywhere are no congestion of the
/// link, and a link on which nothing was measured must be tried again.
#[test]
fn the_least_urgent_requests_stop_crossing_a_full_link_first() {
    let (north, south) = (region("north"), region("south"));
    let mut distances = RegionDistances::new(Arc::clone(&north));
    let mut run = |from_ms: u64, near: u64, far: u64| {
        for k in 0..30 {
            let now = after(from_ms + 100 * k);
            distances.record(&north, RoundTripKind::PeerMessage, ms(near), now);
            distances.record(&south, RoundTripKind::PeerMessage, ms(far), now);
            // The servers of the other region are busy, so that logins wait.
            distances.record(&south, RoundTripKind::Login, ms(40 + from_ms / 10), now);
        }
        let now = after(from_ms + 2_950);
        let congestion = distances.congestion("south", now);
        let classes = [
            PriorityClass::CRITICAL,
            PriorityClass::NORMAL,
            PriorityClass::BACKGROUND,
        ];
        (
            classes.map(|class| may_cross(class, congestion)),
            distances.take_changes(now).len(),
        )
    };
    assert_eq!(run(0, 1, 17), ([true, true, true], 0));
    assert_eq!(run(3_000, 61, 77), ([true, true, true], 0));
    assert_eq!(run(6_000, 1, 57), ([true, true, false], 1));
    assert_eq!(run(9_000, 1, 117), ([true, false, false], 0));
    assert_eq!(run(12_000, 1, 19), ([true, true, true], 1));
    run(15_000, 1, 117);
    assert_eq!(distances.congestion("south", after(20_000)), Duration::ZERO);
    // One slow round trip on an idle link.
    distances.record(&south, RoundTripKind::PeerMessage, ms(117), after(20_000));
    assert_eq!(distances.congestion("south", after(20_000)), Duration::ZERO);
}

fn replica(distance_ms: u64, latency_ms: u64, running: u32) -> Candidate {
    Candidate {
        primary: false,
        local: distance_ms == 0,
        distance: ms(distance_ms),
        latency: ms(latency_ms),
        running,
        has_idle_connection: true,
        available: true,
        holds_point: true,
    }
}

/// With one statement running at the near server, the next read crossed to the idle one in the other region.
#[test]
fn reads_stay_in_the_region_while_a_server_there_is_fresh_and_has_room() {
    let mut rng = SmallRng::seed_from_u64(3);
    let mut choose = |near, far| choose_server(&[near, far], &mut rng);
    for _ in 0..50 {
        assert_eq!(choose(replica(0, 30, 1), replica(16, 46, 0)), Some(0));
        assert_eq!(choose(replica(0, 30, 2), replica(16, 46, 0)), Some(0));
        // Overloaded, unavailable or too old.
        assert_eq!(choose(replica(0, 300, 1), replica(16, 46, 0)), Some(1));
        let mut near = replica(0, 30, 0);
        near.available = false;
        assert_eq!(choose(near, replica(16, 46, 0)), Some(1));
        let mut near = replica(0, 30, 0);
        near.holds_point = false;
        assert_eq!(choose(near, replica(16, 46, 0)), Some(1));
    }
}

/// 63 instances in two regions of three failure domains.
fn fleet() -> Vec<ListedInstance> {
    let instance = |i: usize| ListedInstance {
        id: InstanceId::from(&*format!("i{i}")),
        incarnation: Incarnation(i as u64),
        address: "10.0.0.9:7560".to_owned(),
        domain: format!("{}-{}", if i.is_multiple_of(2) { "riga" } else { "lima" }, i % 3),
        state: ListedState::Live,
    };
    (0..63).map(instance).collect()
}

fn regions_of(own_domain: &str) -> Regions {
    let domains = (0..3).flat_map(|k| [("riga", "north", k), ("lima", "south", k)]);
    let by_domain = domains.map(|(name, region, k)| (Arc::from(format!("{name}-{k}")), Arc::from(region)));
    Regions::new(own_domain, by_domain.collect())
}

/// Each relay of a region without the store reads it across the regions, and each follower that asks a relay of the
/// other region does so 100 times a minute.
#[test]
fn followers_ask_the_few_relays_of_their_region_first() {
    let fleet = fleet();
    let relays = select_relays(&fleet, Some("i50"), &regions_of("riga-0"));
    assert_eq!(relays, select_relays(&fleet, Some("i50"), &regions_of("lima-1")));
    let in_south = relays.iter().filter(|m| m.domain.starts_with("lima"));
    assert_eq!(in_south.count(), 2, "{relays:?}");
    for follower in &fleet {
        let regions = regions_of(&follower.domain);
        let age = Duration::from_secs(3);
        let asked = instances_to_query(
            follower,
            &fleet,
            Some("i50"),
            &regions,
            age,
            follower.incarnation.0,
        );
        let others = asked.iter().skip_while(|m| regions.is_own(&m.domain));
        assert_eq!(others.count(), 1, "{asked:?}");
        assert!(asked.len() >= 3, "{asked:?}");
    }
}

fn envelope(message: PeerMessage) -> Envelope {
    Envelope {
        from: InstanceId::from("frontend-riga-a-12"),
        incarnation: Incarnation(1_796_600_000_000_000),
        message,
        reads_compact: true,
    }
}

fn token_messages(wait: Duration, reserved_rate: f64) -> [PeerMessage; 3] {
    let request = TokenRequest {
        class: PriorityClass::NORMAL,
        max_wait: Duration::from_micros(150_900),
    };
    let response = TokenResponse {
        decision: RateDecision::GrantedAfter(wait),
        reserved_rate,
    };
    [
        PeerMessage::RateRequest {
            request_id: 12_345,
            organisation: "miny420".into(),
            request,
        },
        PeerMessage::RateResponse {
            request_id: 12_345,
            response,
        },
        PeerMessage::CoordinatorLink(LinkMessage {
            sent_at: START,
            echo: None,
            reply: false,
        }),
    ]
}

/// Rounding must not admit more than the coordinator has granted, or let an operation run before its token is there.
#[test]
fn the_short_encoding_admits_no_more_than_the_usual_one() {
    let sent = token_messages(Duration::from_micros(1_001), 2.640_625);
    for message in sent {
        let datagram = envelope(message).seal(Encoding::Compact, b"secret");
        match Envelope::open(&datagram, b"secret").expect("an envelope").message {
            PeerMessage::RateRequest { request, .. } => assert_eq!(request.max_wait, ms(150)),
            PeerMessage::RateResponse { response, .. } => {
                assert_eq!(response.decision, RateDecision::GrantedAfter(ms(2)));
                assert!((2.640..=2.640_625).contains(&response.reserved_rate));
            }
            PeerMessage::CoordinatorLink(link) => assert_eq!(link.sent_at, START),
            other => panic!("{other:?}"),
        }
    }
}

/// Token requests and responses are most of the messages between regions. Other messages lose nothing.
#[test]
fn the_short_encoding_halves_the_messages_of_the_rates() {
    for message in token_messages(Duration::ZERO, 0.0) {
        let envelope = envelope(message);
        let usual = envelope.seal(Encoding::Named, b"secret").len();
        let short = envelope.seal(Encoding::Compact, b"secret").len();
        assert!(short * 2 <= usual, "{short} of {usual} bytes: {envelope:?}");
        let opened = Envelope::open(&envelope.seal(Encoding::Compact, b"secret"), b"secret");
        assert_eq!(opened.expect("an envelope").from, envelope.from);
    }
    let released = envelope(PeerMessage::PrimaryReleased {
        service: "members".into(),
        epoch: 4,
    });
    let opened = Envelope::open(&released.seal(Encoding::Compact, b"secret"), b"secret");
    assert_eq!(opened.expect("an envelope"), released);
}

/// A process of a build without the short encoding drops it, so it must not get it, also after it took the place of one
/// that reads it.
#[test]
fn only_processes_that_read_the_short_encoding_get_it() {
    let mut readers = CompactReaders::default();
    let peer = InstanceId::from("i1");
    assert!(!readers.contains(&peer, Incarnation(1)));
    readers.on_envelope(&peer, Incarnation(1), true);
    assert!(readers.contains(&peer, Incarnation(1)));
    assert!(!readers.contains(&peer, Incarnation(2)));
    readers.on_envelope(&peer, Incarnation(2), false);
    assert!(!readers.contains(&peer, Incarnation(1)) && !readers.contains(&peer, Incarnation(2)));
}
