//! Leases over a link between two instances in one process, before a holder that answers as a test tells it.

use arc_swap::ArcSwap;
use async_executor::LocalExecutor;
use async_io::Timer;
use std::cell::RefCell;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};
use wasabiyard_gateway::sharing::{
    ConnectionSharing, LeaseOpening, LeaseServer, LeaseSpec, NotSent, QueueReport, RelayError,
    RelayedCommand, RelayedConnection, Reply, SharingRule,
};
use wasabiyard_gateway::{
    Answer, ClusterSnapshot, Command, ConnectionError, Outcome, SessionValues, TransactionStatus,
};
use wasabiyard_model::{Incarnation, InstanceId, PriorityClass, Time};
use wasabiyard_platform::{ListedInstance, ListedState};

const TIMEOUT: Duration = Duration::from_millis(800);
/// Longest time in which a silent holder must be noticed: a tenth of the timeout, and some for a busy machine.
const NOTICED_WITHIN: Duration = Duration::from_millis(250);

/// A holder that keeps the leases it is asked for.
#[derive(Debug, Default)]
struct RecordingHolder {
    openings: RefCell<Vec<LeaseOpening>>,
}

impl LeaseServer for RecordingHolder {
    fn serve_lease(self: Rc<Self>, opening: LeaseOpening) {
        self.openings.borrow_mut().push(opening);
    }

    fn leave_gate(self: Rc<Self>, _service: &Arc<str>, _server: &Arc<str>, _started: Time) {}
}

impl RecordingHolder {
    /// Waits for a lease and takes it.
    async fn next(&self) -> LeaseOpening {
        loop {
            if let Some(opening) = self.openings.borrow_mut().pop() {
                return opening;
            }
            Timer::after(Duration::from_millis(1)).await;
        }
    }
}

struct Ends {
    requester: Rc<ConnectionSharing>,
    holder: Rc<ConnectionSharing>,
    server: Rc<RecordingHolder>,
}

fn listed(id: &str, address: SocketAddr) -> ListedInstance {
    ListedInstance {
        id: InstanceId::from(id),
        incarnation: Incarnation(1),
        address: address.to_string(),
        domain: "riga-a".to_owned(),
        state: ListedState::Live,
    }
}

fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    listener.local_addr().expect("its address")
}

/// An instance `r` and, at `address`, an instance `h`, with a secret each.
fn open(address: SocketAddr, secrets: [&[u8]; 2], executor: &Rc<LocalExecutor<'static>>) -> Ends {
    let members = vec![listed("h", address), listed("r", free_address())];
    let sharing = |index: usize, secret: &[u8]| {
        let snapshot = ClusterSnapshot {
            members: members.clone(),
            peer_secret: Some(Arc::from(secret)),
            ..ClusterSnapshot::default()
        };
        let snapshot = Arc::new(ArcSwap::from_pointee(snapshot));
        ConnectionSharing::new(
            SharingRule::default(),
            &members[index],
            snapshot,
            Rc::clone(executor),
        )
    };
    Ends {
        holder: sharing(0, secrets[0]),
        requester: sharing(1, secrets[1]),
        server: Rc::default(),
    }
}

fn open_listening(secrets: [&[u8]; 2], executor: &Rc<LocalExecutor<'static>>) -> Ends {
    let address = free_address();
    let ends = open(address, secrets, executor);
    let server = Rc::clone(&ends.server) as Rc<dyn LeaseServer>;
    ends.holder.listen(address, server).expect("a listener");
    ends
}

impl Ends {
    fn lease(&self) -> RelayedConnection {
        let spec = LeaseSpec {
            service: "members".into(),
            server: "p".into(),
            organisation: "org".into(),
            class: PriorityClass::NORMAL,
            epoch: Some(1),
            values: SessionValues::default(),
        };
        let holder = InstanceId::from("h");
        let own_server: Rc<dyn LeaseServer> = Rc::<RecordingHolder>::default();
        self.requester
            .connect(&holder, spec, own_server)
            .expect("a known holder")
    }
}

fn statement(id: &str) -> Command<'_> {
    Command::Forward {
        id,
        text: "READ 1",
        at_least: None,
    }
}

fn answered(digest: &str, transaction_status: TransactionStatus) -> Reply {
    let answer = Answer {
        rows: Vec::new(),
        outcome: Outcome::Done {
            digest: Some(digest.into()),
        },
        transaction_status,
        point: None,
    };
    Reply::Answered {
        answer: answer.into(),
        recognises_repeats: true,
        queue: QueueReport::default(),
    }
}

fn digest(answer: Result<Answer, RelayError>) -> String {
    match answer.expect("an answer").outcome {
        Outcome::Done { digest: Some(digest) } => digest.to_string(),
        other => panic!("{other:?}"),
    }
}

fn run<F>(executor: &Rc<LocalExecutor<'static>>, test: F)
where
    F: Future<Output = ()>,
{
    async_io::block_on(executor.run(test));
}

/// The reply to a statement that was given up, or a second reply, was taken for that to a later statement.
#[test]
fn a_late_or_repeated_reply_reaches_no_other_statement() {
    let executor = Rc::new(LocalExecutor::new());
    let ends = open_listening([b"secret", b"secret"], &executor);
    run(&executor, async {
        let mut first = ends.lease();
        let given_up = futures_lite::future::or(
            async { first.run(statement("a"), TIMEOUT).await.map(drop) },
            async {
                Timer::after(Duration::from_millis(60)).await;
                Err(RelayError::Connection(ConnectionError::Timeout))
            },
        );
        assert!(given_up.await.is_err());
        let late = ends.server.next().await;
        drop(first);
        let mut second = ends.lease();
        let (answer, ()) = futures_lite::future::zip(second.run(statement("b"), TIMEOUT), async {
            let opening = ends.server.next().await;
            late.replies.send(answered("d-a", TransactionStatus::Idle));
            opening.replies.send(answered("d-b", TransactionStatus::Idle));
            opening
                .replies
                .send(answered("d-b again", TransactionStatus::Idle));
        })
        .await;
        assert_eq!(digest(answer), "d-b");
        assert!(
            late.commands.recv().await.is_err(),
            "the holder learns that it was given up"
        );
        let mut third = ends.lease();
        let (answer, ()) = futures_lite::future::zip(third.run(statement("c"), TIMEOUT), async {
            let opening = ends.server.next().await;
            opening.replies.send(answered("d-c", TransactionStatus::Idle));
        })
        .await;
        assert_eq!(digest(answer), "d-c");
    });
}

/// A write was sent together with the lease, so it was in doubt whenever the holder was lost while it waited in the queue.
#[test]
fn a_write_is_sent_only_when_its_slot_is_reserved() {
    let executor = Rc::new(LocalExecutor::new());
    let ends = open_listening([b"secret", b"secret"], &executor);
    run(&executor, async {
        let mut lease = ends.lease();
        let (reserved, ()) = futures_lite::future::zip(lease.reserve(TIMEOUT), async {
            let opening = ends.server.next().await;
            assert_eq!(opening.command, None);
            ends.holder.end_links();
            drop(opening);
        })
        .await;
        let not_sent = reserved.expect_err("the link is lost");
        assert!(
            matches!(not_sent, RelayError::NotSent(NotSent::NoHolder(_))),
            "{not_sent:?}"
        );
    });
}

/// A command that the holder may have sent on must not be reported as not sent when the link is lost.
#[test]
fn a_command_outstanding_on_a_lost_link_is_in_doubt() {
    let executor = Rc::new(LocalExecutor::new());
    let ends = open_listening([b"secret", b"secret"], &executor);
    run(&executor, async {
        let mut lease = ends.lease();
        let (result, ()) = futures_lite::future::zip(
            async {
                lease.reserve(TIMEOUT).await.expect("a reservation");
                lease.run(statement("w"), TIMEOUT).await
            },
            async {
                let opening = ends.server.next().await;
                opening.replies.send(Reply::Granted);
                let sent = opening.commands.recv().await.expect("the write");
                assert!(matches!(sent.command, RelayedCommand::Forward { .. }));
                ends.holder.end_links();
            },
        )
        .await;
        let lost = result.expect_err("the link is lost");
        assert!(
            matches!(lost, RelayError::Connection(ConnectionError::Lost(_))),
            "{lost:?}"
        );
    });
}

/// The holder kept the connection of a requester that had gone inside a transaction.
#[test]
fn a_holder_learns_that_a_lease_was_dropped_inside_a_transaction() {
    let executor = Rc::new(LocalExecutor::new());
    let ends = open_listening([b"secret", b"secret"], &executor);
    run(&executor, async {
        let mut lease = ends.lease();
        let begin = Command::Begin {
            read_only: false,
            at_least: None,
        };
        let (answer, opening) = futures_lite::future::zip(lease.run(begin, TIMEOUT), async {
            let opening = ends.server.next().await;
            opening
                .replies
                .send(answered("-", TransactionStatus::InTransaction));
            opening
        })
        .await;
        answer.expect("a transaction");
        drop(lease);
        let command = opening.commands.recv().await;
        assert!(command.is_err(), "{command:?}");
    });
}

/// A statement waited its whole time for a holder that had stopped, and was then in doubt.
#[test]
fn a_silent_holder_is_noticed_in_a_tenth_of_the_timeout() {
    let executor = Rc::new(LocalExecutor::new());
    let silent = TcpListener::bind("127.0.0.1:0").expect("a listener");
    let address = silent.local_addr().expect("its address");
    let ends = open(address, [b"secret", b"secret"], &executor);
    run(&executor, async {
        let started = Instant::now();
        let mut lease = ends.lease();
        let result = lease.run(statement("r"), TIMEOUT).await;
        let noticed = started.elapsed();
        let not_sent = result.expect_err("no answer");
        assert!(
            matches!(not_sent, RelayError::NotSent(NotSent::NoHolder(_))),
            "{not_sent:?}"
        );
        assert!(noticed < NOTICED_WITHIN, "noticed after {noticed:?}");
    });
}

/// A process without the fleet's secret could run statements as any organisation.
#[test]
fn a_link_needs_the_secret_of_the_fleet() {
    let executor = Rc::new(LocalExecutor::new());
    let ends = open_listening([b"secret", b"another"], &executor);
    run(&executor, async {
        let mut lease = ends.lease();
        let refused = lease.run(statement("r"), TIMEOUT).await.expect_err("no link");
        assert!(
            matches!(refused, RelayError::NotSent(NotSent::NoHolder(_))),
            "{refused:?}"
        );
        assert!(ends.server.openings.borrow().is_empty());
    });
}
