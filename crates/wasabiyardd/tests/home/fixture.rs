//! A home role with one database, whose simulated slots listen on free local ports, and an in-memory platform.

use async_executor::Executor;
use async_io::Async;
use futures_lite::future;
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, TcpListener};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use wasabiyard_model::{Incarnation, InstanceId, LogPoint, Version};
use wasabiyard_platform::{
    Changes, GroupSlot, GroupState, ListedInstance, Object, OutOfService, Platform, PlatformError,
    Precondition, ReplicationGroup, SlotState,
};
use wasabiyard_standin::group::{
    Credentials as SlotCredentials, Group, Role, SlotFaults, replicate_slot, serve_slot,
};
use wasabiyard_standin::runtime;
use wasabiyard_wire::{OpenStream, ReadBound, StreamId, StreamMessage, StreamOutcome};
use wasabiyardd::channel::StreamEndpoint;
use wasabiyardd::home::{Credential, HomeHandle, HomeSettings, Homes};
use wasabiyardd::snapshot::{AdmissionState, Snapshot, SnapshotCell};

pub const DATABASE: &str = "riga-1";

/// A platform that keeps its objects in memory. Only reads and conditional writes of objects work.
#[derive(Debug, Default)]
pub struct MemoryPlatform {
    objects: Mutex<BTreeMap<String, (u64, serde_json::Value)>>,
    /// Makes reads, writes and deletions of objects fail as unavailable.
    pub down: AtomicBool,
}

impl MemoryPlatform {
    fn check_available(&self) -> Result<(), PlatformError> {
        if self.down.load(Ordering::Relaxed) {
            let reason = "outage".to_owned();
            return Err(PlatformError::Unavailable { reason });
        }
        Ok(())
    }

    /// The stored group object of the database.
    pub fn group(&self) -> ReplicationGroup {
        let objects = self.objects.lock().expect("no panic");
        let value = objects["groups/riga-1"].1.clone();
        serde_json::from_value(value).expect("the stored value is a group object")
    }
}

impl Platform for MemoryPlatform {
    async fn get(&self, key: &str) -> Result<Option<Object>, PlatformError> {
        self.check_available()?;
        let objects = self.objects.lock().expect("no panic");
        Ok(objects.get(key).map(|(version, value)| Object {
            key: key.to_owned(),
            version: Version(*version),
            value: value.clone(),
        }))
    }

    async fn put(
        &self,
        key: &str,
        expect: Precondition,
        value: &serde_json::Value,
    ) -> Result<Version, PlatformError> {
        self.check_available()?;
        let mut objects = self.objects.lock().expect("no panic");
        let found = objects.get(key).map_or(0, |(version, _)| *version);
        let expected = match expect {
            Precondition::Absent => 0,
            Precondition::Version(version) => version.0,
        };
        if found != expected {
            return Err(PlatformError::Conflict {
                key: key.to_owned(),
                expected: Version(expected),
                found: Version(found),
            });
        }
        objects.insert(key.to_owned(), (found + 1, value.clone()));
        Ok(Version(found + 1))
    }

    async fn delete(&self, _key: &str, _version: Version) -> Result<(), PlatformError> {
        self.check_available()
    }

    async fn list(&self, _prefix: &str) -> Result<Changes, PlatformError> {
        let reason = "not part of this test".to_owned();
        Err(PlatformError::Unavailable { reason })
    }

    async fn watch(&self, prefix: &str, _since: u64, _timeout: Duration) -> Result<Changes, PlatformError> {
        self.list(prefix).await
    }

    async fn instances(&self) -> Result<Vec<ListedInstance>, PlatformError> {
        Ok(Vec::new())
    }
}

pub struct Fixture {
    pub group: Arc<Group>,
    pub object: ReplicationGroup,
    pub platform: Arc<MemoryPlatform>,
    pub home: HomeHandle,
    snapshots: Arc<SnapshotCell>,
    requests: AtomicU64,
    _executor: Arc<Executor<'static>>,
}

/// The entry side of one open stream.
pub struct Caller {
    pub id: StreamId,
    pub endpoint: StreamEndpoint,
}

/// The answer to a caller, up to the end of its stream.
#[derive(Debug)]
pub struct Answer {
    pub outcome: StreamOutcome,
    /// The printable characters of the received bytes.
    pub text: String,
}

impl Fixture {
    pub fn start(slots: usize, faults: SlotFaults) -> Self {
        let credential = SlotCredentials {
            user: "proxy".to_owned(),
            password: "secret".to_owned(),
        };
        let group = Arc::new(Group::new(slots, credential, faults));
        let ex = runtime::spawn(2).expect("threads");
        let mut group_slots = Vec::new();
        for index in 0..slots {
            let listener = Async::<TcpListener>::bind((Ipv4Addr::LOCALHOST, 0)).expect("a free port");
            group_slots.push(GroupSlot {
                id: format!("s{index}"),
                address: listener.get_ref().local_addr().expect("bound").to_string(),
                domain: format!("domain-{index}"),
                state: SlotState::Live,
            });
            ex.spawn(serve_slot(Arc::clone(&ex), Arc::clone(&group), index, listener))
                .detach();
            ex.spawn(replicate_slot(Arc::clone(&group), index)).detach();
        }
        let object = ReplicationGroup {
            term: 1,
            primary: "s0".to_owned(),
            owner: "standin/0".to_owned(),
            state: GroupState::Stable,
            max_connections: 20,
            slots: group_slots,
        };
        let platform = Arc::new(MemoryPlatform::default());
        let value = serde_json::to_value(&object).expect("serializable");
        future::block_on(platform.put("groups/riga-1", Precondition::Absent, &value))
            .expect("the platform is empty");
        let snapshots = Arc::new(SnapshotCell::default());
        let executor = runtime::spawn(2).expect("threads");
        let settings = HomeSettings {
            instance: InstanceId::from("entry-1"),
            incarnation: Incarnation(1),
            credential: Credential {
                user: "proxy".to_owned(),
                password: "secret".to_owned(),
            },
        };
        let home = Homes::spawn(&executor, settings, Arc::clone(&snapshots), Arc::clone(&platform));
        let fixture = Self {
            group,
            object,
            platform,
            home,
            snapshots,
            requests: AtomicU64::new(1),
            _executor: executor,
        };
        fixture.publish(&fixture.object, OutOfService::default());
        fixture
    }

    /// Publishes a snapshot in which this instance is the home of the database.
    pub fn publish(&self, object: &ReplicationGroup, out_of_service: OutOfService) {
        self.snapshots.publish(Snapshot {
            admission: AdmissionState::Open,
            groups: [(DATABASE.to_owned(), object.clone())].into(),
            out_of_service: Arc::new(out_of_service),
            ..Snapshot::default()
        });
    }

    /// Publishes a snapshot in which this instance is not the home of the database, and waits until it is in effect.
    pub fn move_home(&self) {
        self.snapshots.publish(Snapshot::default());
        std::thread::sleep(Duration::from_millis(300));
    }

    /// Index of the slot that is primary in the highest term.
    pub fn primary(&self) -> usize {
        let leadership = |s: &usize| {
            let status = self.group.slot(*s).status();
            (status.role == Role::Primary, status.term)
        };
        (0..self.group.len())
            .max_by_key(leadership)
            .expect("a group has slots")
    }

    pub fn change_faults(&self, slot: usize, change: impl FnOnce(&mut SlotFaults)) {
        let mut faults = self.group.faults(slot);
        change(&mut faults);
        self.group.set_faults(slot, faults);
    }

    pub fn open(&self, organisation: &str, bound: ReadBound, deadline_millis: u32) -> Caller {
        let (endpoint, home) = StreamEndpoint::pair();
        let id = StreamId {
            request: self.requests.fetch_add(1, Ordering::Relaxed),
            attempt: 0,
        };
        let open = OpenStream {
            database: DATABASE.to_owned(),
            organisation: organisation.to_owned(),
            route: "pay".to_owned(),
            manifest_version: 0,
            bound,
            deadline_millis,
        };
        self.home.accept(id, open, home);
        Caller { id, endpoint }
    }

    /// Runs one statement on a stream of its own, with a deadline of 5 seconds.
    pub fn call(&self, organisation: &str, bound: ReadBound, sql: &str) -> Answer {
        let caller = self.open(organisation, bound, 5_000);
        caller.send(sql);
        caller.receive_to_end()
    }

    /// Runs a write at the primary and returns the point of its commit.
    pub fn write(&self, organisation: &str, sql: &str) -> LogPoint {
        let answer = self.call(organisation, ReadBound::Primary, sql);
        match answer.outcome {
            StreamOutcome::Complete {
                commit: Some(point), ..
            } => point,
            _ => panic!("not committed: {answer:?}"),
        }
    }
}

impl Caller {
    pub fn send(&self, sql: &str) {
        let mut message = vec![b'Q'];
        message.extend_from_slice(&(sql.len() as u32 + 5).to_be_bytes());
        message.extend_from_slice(sql.as_bytes());
        message.push(0);
        for chunk in message.chunks(wasabiyard_wire::MAX_DATA_BYTES) {
            let data = StreamMessage::Data(self.id, chunk.to_vec());
            // A refused stream is closed already; its outcome tells the reason.
            let _closed = self.endpoint.tx.try_send(data);
        }
    }

    fn receive_message(&self) -> StreamMessage {
        let message = future::block_on(future::or(async { self.endpoint.rx.recv().await.ok() }, async {
            async_io::Timer::after(Duration::from_secs(30)).await;
            None
        }));
        message.expect("the home sends a message within 30 seconds")
    }

    /// Receives the answer to a batch that ends inside a transaction.
    pub fn receive_batch(&self) -> String {
        let mut bytes = Vec::new();
        // ReadyForQuery with status `T` or `E`.
        while !matches!(bytes.as_slice(), [.., b'Z', 0, 0, 0, 5, b'T' | b'E']) {
            match self.receive_message() {
                StreamMessage::Data(_, data) => bytes.extend(data),
                StreamMessage::Credit(..) => {}
                other => panic!("unexpected {other:?}"),
            }
        }
        printable(&bytes)
    }

    /// As [`Self::receive_batch`]; `None` if the stream ends instead.
    pub fn receive_batch_or_end(&self) -> Option<String> {
        let mut bytes = Vec::new();
        while !matches!(bytes.as_slice(), [.., b'Z', 0, 0, 0, 5, b'T' | b'E']) {
            match self.receive_message() {
                StreamMessage::Data(_, data) => bytes.extend(data),
                StreamMessage::Credit(..) => {}
                _ => return None,
            }
        }
        Some(printable(&bytes))
    }

    /// Receives up to the end of the stream, and grants credit for all received bytes.
    pub fn receive_to_end(self) -> Answer {
        let mut bytes = Vec::new();
        loop {
            match self.receive_message() {
                StreamMessage::Data(id, data) => {
                    let _closed = self
                        .endpoint
                        .tx
                        .try_send(StreamMessage::Credit(id, data.len() as u32));
                    bytes.extend(data);
                }
                StreamMessage::End(_, outcome) => {
                    let text = printable(&bytes);
                    return Answer { outcome, text };
                }
                _ => {}
            }
        }
    }
}

fn printable(bytes: &[u8]) -> String {
    let text = bytes.iter().map(|b| *b as char);
    text.filter(|c| c.is_ascii_graphic() || *c == ' ').collect()
}

/// Waits until `check` returns true. The timeout is far above the usual time, so that a busy machine does not fail the
/// test.
pub fn wait_until(event: &str, mut check: impl FnMut() -> bool) -> Duration {
    let start = Instant::now();
    while !check() {
        assert!(
            start.elapsed() < Duration::from_secs(30),
            "timed out waiting for {event}"
        );
        std::thread::sleep(Duration::from_millis(5));
    }
    start.elapsed()
}
