//! Tests of the control thread: it publishes snapshots, adopts each configuration and each change of the out-of-service
//! document, and moves homes away from dead instances. Three control threads share an in-memory platform and a network
//! of channels.

mod evidence;

use evidence::Evidence;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use wasabiyard_cluster::{Identity, section_digest};
use wasabiyard_model::{Incarnation, InstanceId, Manifest, Version};
use wasabiyard_platform::{
    Changes, ListedInstance, ListedState, Object, Platform, PlatformError, Precondition, keys,
};
use wasabiyardd::clock;
use wasabiyardd::control::{
    ControlDependencies, ControlHandle, ControlSettings, ControlThread, Inbound, Recorder,
};
use wasabiyardd::snapshot::{AdmissionState, Snapshot, SnapshotCell};

/// Timeout for every expected effect, chosen far above the usual duration so that a busy machine does not fail the
/// test.
const EFFECT_TIMEOUT: Duration = Duration::from_mins(1);
const MANIFEST: &str = "[service s]\ndatabases = db-1, db-2, db-3, db-4, db-5, db-6\n\
    [organisation o]\nrate = 10\nburst = 10\nservices = s\n[route r]\nservice = s\n";

#[derive(Default)]
struct PlatformState {
    revision: u64,
    objects: BTreeMap<String, (u64, Version, serde_json::Value)>,
    instances: Vec<ListedInstance>,
    down: bool,
}

impl PlatformState {
    fn require_up(&self) -> Result<(), PlatformError> {
        if self.down {
            return Err(PlatformError::Unavailable { reason: "503".into() });
        }
        Ok(())
    }

    /// Version of an object, 0 if there is none.
    fn version(&self, key: &str) -> Version {
        self.objects.get(key).map_or(Version(0), |(_, v, _)| *v)
    }

    fn write(&mut self, key: &str, value: serde_json::Value) -> Version {
        self.revision += 1;
        let version = Version(self.version(key).0 + 1);
        self.objects
            .insert(key.to_owned(), (self.revision, version, value));
        version
    }
}

/// In-memory platform.
#[derive(Default)]
struct MemoryPlatform(Mutex<PlatformState>);

impl MemoryPlatform {
    fn write(&self, key: &str, value: serde_json::Value) {
        self.0.lock().unwrap().write(key, value);
    }

    fn write_manifest(&self, version: u64, text: &str) {
        let mut sections = Vec::new();
        for (heading, text) in Manifest::split_sections(text).unwrap() {
            let digest = hex::encode(section_digest(&text));
            self.write(&format!("{}{digest}", keys::MANIFEST_SECTION_PREFIX), text.into());
            sections.push((heading, digest));
        }
        self.write(
            keys::MANIFEST_INDEX,
            serde_json::json!({"version": version, "sections": sections}),
        );
    }

    fn changes(&self, prefix: &str, since: u64) -> Result<Changes, PlatformError> {
        let inner = self.0.lock().unwrap();
        inner.require_up()?;
        let changed = inner
            .objects
            .iter()
            .filter(|(key, (at, ..))| key.starts_with(prefix) && *at > since);
        let object = |(key, (_, version, value)): (&String, &(u64, Version, serde_json::Value))| Object {
            key: key.clone(),
            version: *version,
            value: value.clone(),
        };
        Ok(Changes {
            revision: inner.revision,
            objects: changed.map(object).collect(),
        })
    }
}

impl Platform for MemoryPlatform {
    async fn get(&self, key: &str) -> Result<Option<Object>, PlatformError> {
        Ok(self.changes(key, 0)?.objects.into_iter().find(|o| o.key == key))
    }

    /// Checks and writes under one lock: between two, each of several instances would create the session token key.
    async fn put(
        &self,
        key: &str,
        expect: Precondition,
        value: &serde_json::Value,
    ) -> Result<Version, PlatformError> {
        let mut inner = self.0.lock().unwrap();
        inner.require_up()?;
        let found = inner.version(key);
        let expected = if let Precondition::Version(v) = expect {
            v
        } else {
            Version(0)
        };
        if found != expected {
            return Err(PlatformError::Conflict {
                key: key.into(),
                expected,
                found,
            });
        }
        Ok(inner.write(key, value.clone()))
    }

    async fn delete(&self, _key: &str, _version: Version) -> Result<(), PlatformError> {
        unreachable!("the control thread deletes nothing")
    }

    async fn list(&self, prefix: &str) -> Result<Changes, PlatformError> {
        self.changes(prefix, 0)
    }

    async fn watch(&self, prefix: &str, since: u64, timeout: Duration) -> Result<Changes, PlatformError> {
        let end = Instant::now() + timeout;
        loop {
            let changes = self.changes(prefix, since)?;
            if !changes.objects.is_empty() || Instant::now() >= end {
                return Ok(changes);
            }
            async_io::Timer::after(Duration::from_millis(20)).await;
        }
    }

    async fn instances(&self) -> Result<Vec<ListedInstance>, PlatformError> {
        self.changes("", 0)
            .map(|_| self.0.lock().unwrap().instances.clone())
    }
}

struct TestInstance {
    /// Dropped first, while the instance still runs.
    _evidence: Evidence,
    handle: ControlHandle,
    snapshots: Arc<SnapshotCell>,
    recorder: Arc<Recorder>,
    id: InstanceId,
}

impl TestInstance {
    fn wait(&self, what: &str, condition: impl Fn(&Snapshot) -> bool) -> Arc<Snapshot> {
        let end = Instant::now() + EFFECT_TIMEOUT;
        loop {
            let snapshot = self.snapshots.load();
            if condition(&snapshot) {
                return snapshot;
            }
            assert!(
                Instant::now() < end,
                "{}: timed out waiting for {what}: {snapshot:?}",
                self.id
            );
            std::thread::sleep(Duration::from_millis(20));
        }
    }
}

type Network = Arc<Mutex<BTreeMap<SocketAddr, async_channel::Sender<Inbound>>>>;

fn start(platform: &Arc<MemoryPlatform>, network: &Network, n: u8) -> TestInstance {
    let address = SocketAddr::from(([127, 0, 0, n], 7000));
    let id = InstanceId::from(format!("node-{n}").as_str());
    let identity = Identity {
        instance: id.clone(),
        incarnation: Incarnation(1),
        address,
        failure_domain: format!("domain-{n}"),
    };
    let (tx, inbound) = async_channel::unbounded();
    network.lock().unwrap().insert(address, tx);
    let (from, network) = (id.clone(), Arc::clone(network));
    let deps = ControlDependencies {
        platform: Arc::clone(platform),
        snapshots: Arc::new(SnapshotCell::default()),
        outbound: Arc::new(move |to, control| {
            let network = network.lock().unwrap();
            if let (Some(tx), true) = (network.get(&to), network.contains_key(&address)) {
                drop(tx.try_send((from.clone(), address, control)));
            }
        }),
        inbound,
        quota: async_channel::unbounded().0,
        recorder: Arc::new(Recorder::new(id.clone())),
    };
    let (snapshots, recorder) = (Arc::clone(&deps.snapshots), Arc::clone(&deps.recorder));
    let settings = ControlSettings {
        identity,
        seeds: (1..=3)
            .map(|n| SocketAddr::from(([127, 0, 0, n], 7000)))
            .collect(),
        platform_timeout: Duration::from_secs(2),
        random_seed: u64::from(n),
    };
    let evidence = Evidence::watch(id.clone(), Arc::clone(&snapshots), Arc::clone(&recorder));
    TestInstance {
        _evidence: evidence,
        handle: ControlThread::spawn(settings, deps).unwrap(),
        snapshots,
        recorder,
        id,
    }
}

fn start_fleet() -> (Arc<MemoryPlatform>, Network, Vec<TestInstance>) {
    let platform = Arc::new(MemoryPlatform::default());
    platform.write_manifest(1, MANIFEST);
    for db in 1..=6 {
        let group =
            serde_json::json!({"term": 1, "primary": "a", "owner": "", "state": "stable", "slots": []});
        platform.write(&format!("{}db-{db}", keys::GROUP_PREFIX), group);
    }
    platform.0.lock().unwrap().instances = (1..=3)
        .map(|n| ListedInstance {
            id: InstanceId::from(format!("node-{n}").as_str()),
            incarnation: Incarnation(1),
            address: format!("127.0.0.{n}:7000"),
            domain: format!("domain-{n}"),
            state: ListedState::Live,
        })
        .collect();
    let network = Network::default();
    let members: Vec<_> = (1..=3).map(|n| start(&platform, &network, n)).collect();
    for member in &members {
        let complete = |s: &Snapshot| {
            let local_homes = s.homes.values().filter(|h| h.local).count();
            s.admission == AdmissionState::Open && s.homes.len() == 6 && s.groups.len() == local_homes
        };
        member.wait("a complete snapshot", complete);
    }
    (platform, network, members)
}

fn homes(snapshot: &Snapshot) -> BTreeMap<&String, &InstanceId> {
    snapshot
        .homes
        .iter()
        .map(|(db, home)| (db, &home.instance))
        .collect()
}

/// Guards against a process that resumes after a pause and admits requests by its old configuration until the next
/// tick.
#[test]
fn admission_closes_when_the_control_thread_does_not_renew_it() {
    let cell = SnapshotCell::default();
    let open = || Snapshot {
        admission: AdmissionState::Open,
        manifest_version: 3,
        ..Snapshot::default()
    };
    cell.publish(open());
    assert_eq!(
        cell.load().admission,
        AdmissionState::Open,
        "without a control thread the lease never expires"
    );
    cell.set_admission_lease_end(clock::now());
    std::thread::sleep(Duration::from_millis(2));
    assert_eq!(cell.load().admission, AdmissionState::CutOff);
    assert_eq!(cell.load().manifest_version, 3);
    cell.set_admission_lease_end(clock::now() + EFFECT_TIMEOUT);
    assert_eq!(
        cell.load().admission,
        AdmissionState::CutOff,
        "renewing the lease alone does not reopen admission"
    );
    cell.publish(open());
    assert_eq!(cell.load().admission, AdmissionState::Open);
}

/// Guards against instances that disagree on homes or on the session token key, and against a missed manifest version.
#[test]
fn all_instances_publish_the_same_homes_key_and_configuration() {
    let (platform, _network, members) = start_fleet();
    let first = members[0].snapshots.load();
    for member in &members[1..] {
        member.wait("the same homes", |s| {
            homes(s) == homes(&first) && s.session_key == first.session_key
        });
    }
    platform.write_manifest(2, &MANIFEST.replace("rate = 10", "rate = 20"));
    for member in &members {
        member.wait("version 2", |s| s.manifest_version == 2);
        assert!(
            member
                .recorder
                .lines()
                .contains(r#""event":"configuration-in-force","version":2"#)
        );
    }
}

/// Guards against homes that stay in a failure domain that is out of service, or on a dead instance.
#[test]
fn homes_leave_a_domain_out_of_service_and_a_dead_instance() {
    let (platform, network, mut members) = start_fleet();
    platform.write(
        keys::OUT_OF_SERVICE,
        serde_json::json!({"domains": ["domain-1"], "instances": []}),
    );
    members[0].wait("out of service", |s| {
        s.admission == AdmissionState::OutOfService && s.groups.is_empty()
    });
    let absent = |s: &Snapshot, id: &InstanceId| s.homes.values().all(|h| h.instance != *id);
    for member in &members {
        member.wait("homes elsewhere", |s| {
            s.homes.len() == 6 && absent(s, &members[0].id)
        });
    }
    let dead = members.remove(1);
    network
        .lock()
        .unwrap()
        .remove(&SocketAddr::from(([127, 0, 0, 2], 7000)));
    members[1].wait("the homes of the dead instance", |s| {
        s.homes.len() == 6 && s.homes.values().all(|h| h.local)
    });
    drop(dead);
}

/// Guards against instances that refuse work in a platform outage while they reach their peers, and against an instance
/// that admits work without reaching either.
#[test]
fn platform_outage_stops_no_instance_and_a_cut_off_instance_refuses() {
    let (platform, network, members) = start_fleet();
    platform.0.lock().unwrap().down = true;
    std::thread::sleep(Duration::from_secs(8));
    for member in &members {
        assert_eq!(
            member.snapshots.load().admission,
            AdmissionState::Open,
            "{}",
            member.id
        );
    }
    network
        .lock()
        .unwrap()
        .remove(&SocketAddr::from(([127, 0, 0, 1], 7000)));
    members[0].wait("refusal", |s| s.admission == AdmissionState::CutOff);
    members[1].handle.leave();
    members[1].wait("draining", |s| s.admission == AdmissionState::Draining);
}

/// Guards against homes and new instances that need the platform: in an outage they get the manifest, the groups and
/// the session token key from peers.
#[test]
fn homes_move_and_instances_start_while_the_platform_is_down() {
    let (platform, network, mut members) = start_fleet();
    let key = Arc::clone(&members[0].snapshots.load().session_key);
    platform.0.lock().unwrap().down = true;
    members.push(start(&platform, &network, 4));
    let served = |s: &Snapshot| {
        let local_homes = s.homes.values().filter(|h| h.local).count();
        s.admission == AdmissionState::Open && s.homes.len() == 6 && s.groups.len() == local_homes
    };
    let fourth = members[3].wait("an instance that started in the outage", |s| {
        served(s) && s.session_key == key
    });
    assert_eq!(fourth.manifest_version, 1);
    network
        .lock()
        .unwrap()
        .remove(&SocketAddr::from(([127, 0, 0, 1], 7000)));
    let dead = members.remove(0);
    for member in &members {
        let moved = |s: &Snapshot| served(s) && s.homes.values().all(|h| h.instance != dead.id);
        member.wait("the homes of the dead instance, with their groups", moved);
    }
}
