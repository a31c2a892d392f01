//! Tests of the links between instances: authentication, loss, and the streams that they carry.

use async_channel::Receiver;
use futures_lite::future::block_on;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;
use wasabiyard_model::{Incarnation, InstanceId, NotRun, OutcomeUnknown};
use wasabiyard_wire::{ControlMessage, OpenStream, ReadBound, StreamId, StreamMessage, StreamOutcome};
use wasabiyardd::channel::StreamEndpoint;
use wasabiyardd::link::{Links, LocalPeer, ServeStream};
use wasabiyardd::runtime::Runtime;
use wasabiyardd::settings::Secret;

const SECRET: &str = "0123456789abcdef";

struct TestPeer {
    links: Links,
    address: SocketAddr,
    /// Streams that the other side opened.
    served: Receiver<(StreamId, StreamEndpoint)>,
    control: Receiver<(InstanceId, SocketAddr, ControlMessage)>,
    _runtime: Runtime,
}

fn free_address() -> SocketAddr {
    let socket = TcpListener::bind("127.0.0.1:0").expect("a port");
    socket.local_addr().expect("an address")
}

fn start_peer(name: &str, secret: &str) -> TestPeer {
    let (streams, served) = async_channel::unbounded();
    let serve: ServeStream = Arc::new(move |id, _open, endpoint| {
        drop(streams.try_send((id, endpoint)));
        // The test holds the other end of the stream and decides when it is over.
        Box::pin(std::future::pending())
    });
    start_peer_with(name, secret, serve, served)
}

fn start_peer_with(
    name: &str,
    secret: &str,
    serve: ServeStream,
    served: Receiver<(StreamId, StreamEndpoint)>,
) -> TestPeer {
    let runtime = Runtime::open(2).expect("threads");
    let address = free_address();
    let (control_tx, control) = async_channel::unbounded();
    let local = LocalPeer {
        instance: InstanceId::from(name),
        incarnation: Incarnation(1),
        failure_domain: "a".to_owned(),
        address,
        secret: Secret::from(secret),
    };
    let links = Links::new(local, runtime.executor(), serve, control_tx);
    links.listen(address).expect("a free port");
    TestPeer {
        links,
        address,
        served,
        control,
        _runtime: runtime,
    }
}

fn open(links: &Links, to: SocketAddr, request: u64) -> (StreamId, StreamEndpoint) {
    let open = OpenStream {
        database: "riga-1".to_owned(),
        organisation: "zoo".to_owned(),
        route: "pay".to_owned(),
        manifest_version: 1,
        bound: ReadBound::Primary,
        deadline_millis: 5_000,
    };
    let id = StreamId { request, attempt: 0 };
    links.open(to, id, open).expect("a stream")
}

fn probe(number: u64) -> ControlMessage {
    ControlMessage::IndirectProbe {
        number,
        target: InstanceId::from("x"),
    }
}

/// Forwards bytes between two sockets until it is closed, and pauses while `frozen` is locked.
#[derive(Default)]
struct TcpProxy {
    sockets: Mutex<Vec<TcpStream>>,
    frozen: Mutex<()>,
}

impl TcpProxy {
    fn listen_for(self: &Arc<Self>, target: SocketAddr) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let proxy = Arc::clone(self);
        thread::spawn(move || {
            while let Ok((client, _)) = listener.accept() {
                let server = TcpStream::connect(target).expect("the target listens");
                for (from, to) in [(&client, &server), (&server, &client)] {
                    let ends = (
                        from.try_clone().expect("a socket"),
                        to.try_clone().expect("a socket"),
                    );
                    let proxy = Arc::clone(&proxy);
                    thread::spawn(move || proxy.copy(ends.0, ends.1));
                }
                proxy.sockets.lock().expect("lock").extend([client, server]);
            }
        });
        address
    }

    fn copy(&self, mut from: TcpStream, mut to: TcpStream) {
        let mut buf = [0; 16_384];
        while let Ok(n) = std::io::Read::read(&mut from, &mut buf) {
            drop(self.frozen.lock());
            if n == 0 || std::io::Write::write_all(&mut to, &buf[..n]).is_err() {
                return;
            }
        }
    }

    fn close(&self) {
        for socket in self.sockets.lock().expect("lock").drain(..) {
            drop(socket.shutdown(std::net::Shutdown::Both));
        }
    }
}

/// Guards against answers that reach the wrong stream when both sides use the same request number on one link.
#[test]
fn both_sides_open_streams_over_one_link() {
    let (a, b) = (start_peer("a", SECRET), start_peer("b", SECRET));
    a.links.send_control(b.address, probe(1));
    let (from, back, control) = block_on(b.control.recv()).expect("a message");
    assert_eq!((from.as_str(), back, control), ("a", a.address, probe(1)));
    let (to_b, at_a) = open(&a.links, b.address, 7);
    let (to_a, at_b) = open(&b.links, a.address, 7);
    assert_ne!(to_a, to_b, "a shared identifier would mix the streams");
    assert_eq!((a.links.len(), b.links.len()), (1, 1));
    for (id, endpoint, home, text) in [
        (to_b, &at_a, &b.served, b"to b"),
        (to_a, &at_b, &a.served, b"to a"),
    ] {
        let (served, home) = block_on(home.recv()).expect("a stream");
        assert_eq!(served, id);
        let data = StreamMessage::Data(id, text.to_vec());
        endpoint.tx.try_send(data.clone()).expect("a link");
        assert_eq!(block_on(home.rx.recv()).expect("data"), data);
        let ending = StreamMessage::End(id, StreamOutcome::NotRun(NotRun::Overload));
        home.tx.try_send(ending.clone()).expect("a link");
        // A message after the end must be dropped.
        home.tx.try_send(data).expect("a link");
        assert_eq!(block_on(endpoint.rx.recv()).expect("the end"), ending);
        assert!(block_on(endpoint.rx.recv()).is_err(), "the stream is over");
    }
}

/// Guards against "not run" for a stream whose data was sent, and against "outcome unknown" for one whose data was not.
#[test]
fn lost_link_ends_its_streams_with_the_correct_outcome() {
    let (a, b) = (start_peer("a", SECRET), start_peer("b", SECRET));
    let proxy = Arc::new(TcpProxy::default());
    let proxy_address = proxy.listen_for(b.address);
    let (sent, sent_endpoint) = open(&a.links, proxy_address, 1);
    let (unsent, unsent_endpoint) = open(&a.links, proxy_address, 2);
    let data = StreamMessage::Data(sent, b"Q".to_vec());
    sent_endpoint.tx.try_send(data.clone()).expect("a link");
    let homes = [1, 2].map(|_| block_on(b.served.recv()).expect("a stream").1);
    assert_eq!(block_on(homes[0].rx.recv()).expect("data"), data);
    proxy.close();
    let unknown = StreamOutcome::OutcomeUnknown(OutcomeUnknown::LinkLost);
    assert_eq!(
        block_on(sent_endpoint.rx.recv()),
        Ok(StreamMessage::End(sent, unknown))
    );
    let not_run = StreamOutcome::NotRun(NotRun::NoHome);
    assert_eq!(
        block_on(unsent_endpoint.rx.recv()),
        Ok(StreamMessage::End(unsent, not_run))
    );
    for (home, id) in homes.iter().zip([sent, unsent]) {
        assert_eq!(block_on(home.rx.recv()), Ok(StreamMessage::Abandon(id)));
    }
}

/// Guards against requests that wait forever when the peer of an open link stops responding.
#[test]
fn silent_link_is_closed() {
    let (a, b) = (start_peer("a", SECRET), start_peer("b", SECRET));
    let proxy = Arc::new(TcpProxy::default());
    let proxy_address = proxy.listen_for(b.address);
    let (id, endpoint) = open(&a.links, proxy_address, 1);
    endpoint
        .tx
        .try_send(StreamMessage::Data(id, b"Q".to_vec()))
        .expect("a link");
    block_on(b.served.recv()).expect("a stream");
    let frozen = proxy.frozen.lock();
    let unknown = StreamOutcome::OutcomeUnknown(OutcomeUnknown::LinkLost);
    assert_eq!(block_on(endpoint.rx.recv()), Ok(StreamMessage::End(id, unknown)));
    drop(frozen);
    // A new link to the same peer works.
    let (_, endpoint) = open(&a.links, b.address, 2);
    block_on(b.served.recv()).expect("a stream");
    drop(endpoint);
}

/// Guards against closing the link while a live peer takes long to answer a stream.
#[test]
fn slow_answer_does_not_close_the_link() {
    let (a, b) = (start_peer("a", SECRET), start_peer("b", SECRET));
    let (id, endpoint) = open(&a.links, b.address, 1);
    endpoint
        .tx
        .try_send(StreamMessage::Data(id, b"Q".to_vec()))
        .expect("a link");
    let (_, home) = block_on(b.served.recv()).expect("a stream");
    thread::sleep(Duration::from_secs(6));
    let answer = StreamMessage::Data(id, b"late".to_vec());
    home.tx.try_send(answer.clone()).expect("a link");
    assert_eq!(block_on(endpoint.rx.recv()), Ok(answer));
}

/// Guards against an `End` that is lost when it crosses data of its stream, and against a missing `End` when the home
/// sends none. In both cases the entry would wait until its deadline.
#[test]
fn refusal_that_crosses_data_reaches_the_entry() {
    let refuse: ServeStream = Arc::new(|id, _open, endpoint| {
        if id.request % 2 == 0 {
            let ending = StreamOutcome::NotRun(NotRun::NoHome);
            drop(endpoint.tx.try_send(StreamMessage::End(id, ending)));
        }
        Box::pin(std::future::ready(()))
    });
    let (a, b) = (
        start_peer("a", SECRET),
        start_peer_with("b", SECRET, refuse, async_channel::unbounded().1),
    );
    for request in 0..300 {
        let (id, endpoint) = open(&a.links, b.address, request);
        drop(endpoint.tx.try_send(StreamMessage::Data(id, b"Q".to_vec())));
        let ending = if request % 2 == 0 {
            StreamOutcome::NotRun(NotRun::NoHome)
        } else {
            StreamOutcome::OutcomeUnknown(OutcomeUnknown::HomeStopped)
        };
        assert_eq!(block_on(endpoint.rx.recv()), Ok(StreamMessage::End(id, ending)));
    }
}

/// Guards against a link to a process that does not know the fleet secret, as dialer or as acceptor.
#[test]
fn peer_without_the_secret_gets_no_link() {
    let (a, b) = (start_peer("a", SECRET), start_peer("b", "another secret 0"));
    for (from, to) in [(&a, &b), (&b, &a)] {
        let (id, endpoint) = open(&from.links, to.address, 1);
        endpoint
            .tx
            .try_send(StreamMessage::Data(id, b"Q".to_vec()))
            .expect("a queue");
        let not_run = StreamOutcome::NotRun(NotRun::NoHome);
        assert_eq!(block_on(endpoint.rx.recv()), Ok(StreamMessage::End(id, not_run)));
        assert!(to.served.is_empty());
    }
}

/// Guards against a listener that stops after invalid data on one connection.
#[test]
fn invalid_data_does_not_stop_the_peer_listener() {
    let (a, b) = (start_peer("a", SECRET), start_peer("b", SECRET));
    for bytes in [&b"GET / HTTP/1.1\r\n\r\n"[..], &[0xff; 4_096], b""] {
        let mut socket = TcpStream::connect(b.address).expect("a connection");
        drop(std::io::Write::write_all(&mut socket, bytes));
    }
    a.links.send_control(b.address, probe(1));
    assert_eq!(block_on(b.control.recv()).expect("a message").2, probe(1));
}
