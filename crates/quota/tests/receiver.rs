//! Tests of which transfers a holder accepts.

use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use wasabiyard_model::{Incarnation, InstanceId, Time};
use wasabiyard_quota::{Command, Event, Holder, PlatformResponse, Quota, bucket_of};
use wasabiyard_wire::{ControlMessage, ShareTransfer};

const NOW: Time = Time::from_millis(5);

fn transfer(receiver: u64, number: u64, round: u64) -> Event {
    let transfer = ShareTransfer {
        giver: InstanceId::from("giver"),
        incarnation: Incarnation(1),
        receiver: Incarnation(receiver),
        number,
        bucket: bucket_of("zoo"),
        round,
        organisation: "zoo".to_owned(),
        units: 1_000,
        milli_tokens: 0,
    };
    Event::Message(InstanceId::from("giver"), ControlMessage::ShareTransfer(transfer))
}

fn registered_quota(incarnation: u64) -> Quota {
    let me = Holder::new(InstanceId::from("me"), Incarnation(incarnation));
    let mut quota = Quota::new(me.clone());
    quota.set_organisations([("zoo", 100, 100)], NOW);
    quota.tick(NOW, &mut Pcg64Mcg::seed_from_u64(1));
    let listed = PlatformResponse::Holders {
        number: 1,
        registered: Vec::new(),
        listed: vec![me],
    };
    for response in [
        listed,
        PlatformResponse::Registered,
        PlatformResponse::Rounds(Vec::new()),
    ] {
        quota.on_event(Event::PlatformResponse(response), NOW);
    }
    assert!(quota.is_ready());
    quota
}

/// Guards against a restarted process that accepts units which its predecessor had accepted and transferred to others
/// before it ended. The giver retransmits the transfer when the acknowledgement was lost.
#[test]
fn a_restarted_receiver_does_not_accept_units_of_its_predecessor() {
    let mut quota = registered_quota(2);
    assert_eq!(quota.on_event(transfer(1, 0, 1), NOW), vec![]);
    assert_eq!(quota.units("zoo"), 0);
    assert_eq!(quota.on_event(transfer(2, 1, 1), NOW).len(), 1);
    assert_eq!(quota.units("zoo"), 1_000);
}

/// Guards against units that are accepted after a report: the coordinator has counted without them and reissues them.
#[test]
fn a_transfer_of_an_earlier_round_is_returned_each_time() {
    let mut quota = registered_quota(1);
    let freeze = ControlMessage::RoundFreeze {
        bucket: bucket_of("zoo"),
        round: 2,
    };
    quota.on_event(Event::Message(InstanceId::from("coordinator"), freeze), NOW);
    for _ in 0..2 {
        let responses = quota.on_event(transfer(1, 0, 1), NOW);
        assert!(
            matches!(
                &*responses,
                [Command::Send(_, ControlMessage::ShareReturn { .. })]
            ),
            "{responses:?}"
        );
        assert_eq!(quota.units("zoo"), 0);
    }
}

/// Guards against an unregistered process that holds units: no coordinator would request a report from it.
#[test]
fn nothing_is_accepted_before_the_registration() {
    let mut quota = Quota::new(Holder::new(InstanceId::from("me"), Incarnation(1)));
    assert_eq!(quota.on_event(transfer(1, 0, 1), NOW), vec![]);
    assert_eq!(quota.units("zoo"), 0);
}
