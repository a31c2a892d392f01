//! Tests of the rate limiters of several instances in one process, with an in-memory platform.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};
use wasabiyard_cluster::Identity;
use wasabiyard_model::{Incarnation, InstanceId, Manifest, NotRun, Version};
use wasabiyard_platform::{
    Changes, ListedInstance, ListedState, Object, Platform, PlatformError, Precondition,
};
use wasabiyard_quota::Holder;
use wasabiyardd::clock;
use wasabiyardd::control::{Inbound, Outbound};
use wasabiyardd::rates::{
    Peer, RateLimiterDependencies, RateLimiterHandle, RateLimiterSettings, TokenAttempt,
};
use wasabiyardd::snapshot::{Snapshot, SnapshotCell};

const RATE_PER_SECOND: u64 = 400;
const BURST_TOKENS: u64 = 200;
const INSTANCE_COUNT: u16 = 3;

#[derive(Default)]
struct MemoryPlatform {
    objects: Mutex<BTreeMap<String, Object>>,
    listed: Mutex<Vec<ListedInstance>>,
}

impl Platform for MemoryPlatform {
    async fn get(&self, key: &str) -> Result<Option<Object>, PlatformError> {
        Ok(self.objects.lock().expect("lock").get(key).cloned())
    }

    async fn put(
        &self,
        key: &str,
        expect: Precondition,
        value: &serde_json::Value,
    ) -> Result<Version, PlatformError> {
        let mut objects = self.objects.lock().expect("lock");
        let found = objects.get(key).map_or(Version(0), |o| o.version);
        let expected = match expect {
            Precondition::Absent => Version(0),
            Precondition::Version(version) => version,
        };
        if found != expected {
            return Err(PlatformError::Conflict {
                key: key.to_owned(),
                expected,
                found,
            });
        }
        let (version, value) = (Version(found.0 + 1), value.clone());
        objects.insert(
            key.to_owned(),
            Object {
                key: key.to_owned(),
                version,
                value,
            },
        );
        Ok(version)
    }

    async fn delete(&self, key: &str, _version: Version) -> Result<(), PlatformError> {
        self.objects.lock().expect("lock").remove(key);
        Ok(())
    }

    async fn list(&self, prefix: &str) -> Result<Changes, PlatformError> {
        let objects = self.objects.lock().expect("lock");
        let objects = objects
            .values()
            .filter(|o| o.key.starts_with(prefix))
            .cloned()
            .collect();
        Ok(Changes { revision: 1, objects })
    }

    async fn watch(&self, prefix: &str, _since: u64, _timeout: Duration) -> Result<Changes, PlatformError> {
        self.list(prefix).await
    }

    async fn instances(&self) -> Result<Vec<ListedInstance>, PlatformError> {
        Ok(self.listed.lock().expect("lock").clone())
    }
}

fn address(i: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 4_000 + i))
}

fn identity(i: u16) -> Identity {
    Identity {
        instance: InstanceId::from(format!("i{i}").as_str()),
        incarnation: Incarnation(u64::from(i) + 7),
        address: address(i),
        failure_domain: "riga".to_owned(),
    }
}

fn start_fleet() -> (Arc<MemoryPlatform>, Vec<RateLimiterHandle>) {
    let text = format!(
        "[service s]\ndatabases = d\n[organisation zoo]\nrate = {RATE_PER_SECOND}\nburst = {BURST_TOKENS}\nservices = s\n"
    );
    let manifest = Manifest::parse(&text).expect("valid");
    let platform = Arc::new(MemoryPlatform::default());
    let channels: Vec<_> = (0..INSTANCE_COUNT)
        .map(|_| async_channel::unbounded::<Inbound>())
        .collect();
    let peers: Vec<Peer> = (0..INSTANCE_COUNT)
        .map(|i| Peer {
            holder: Holder::new(identity(i).instance, identity(i).incarnation),
            address: address(i),
        })
        .collect();
    let spawn = |i: u16| {
        let snapshots = Arc::new(SnapshotCell::default());
        snapshots.publish(Snapshot {
            manifest: Arc::new(manifest.clone()),
            manifest_version: 1,
            ..Snapshot::default()
        });
        let id = identity(i);
        platform.listed.lock().expect("lock").push(ListedInstance {
            id: id.instance.clone(),
            incarnation: id.incarnation,
            address: id.address.to_string(),
            domain: id.failure_domain.clone(),
            state: ListedState::Live,
        });
        let senders: Vec<_> = channels.iter().map(|(tx, _)| tx.clone()).collect();
        let from = (id.instance.clone(), id.address);
        let outbound: Outbound = Arc::new(move |to: SocketAddr, message| {
            let index = usize::from(to.port() - 4_000);
            drop(senders[index].try_send((from.0.clone(), from.1, message)));
        });
        let peers = peers.clone();
        let deps = RateLimiterDependencies {
            platform: Arc::clone(&platform),
            snapshots,
            outbound,
            inbound: channels[usize::from(i)].1.clone(),
            peer_source: Arc::new(move || peers.clone()),
        };
        let settings = RateLimiterSettings {
            identity: id,
            platform_timeout: Duration::from_secs(1),
            random_seed: u64::from(i),
        };
        RateLimiterHandle::spawn(settings, deps).expect("a thread")
    };
    let handles = (0..INSTANCE_COUNT).map(spawn).collect();
    (platform, handles)
}

fn wait_for(event: &str, condition: impl Fn() -> bool) {
    let deadline = Instant::now() + Duration::from_secs(30);
    while !condition() {
        assert!(Instant::now() < deadline, "{event} did not happen in 30 s");
        thread::sleep(Duration::from_millis(20));
    }
}

fn take(handle: &RateLimiterHandle) -> bool {
    match handle
        .rate_limiter()
        .try_take("zoo", TokenAttempt::First, clock::now())
    {
        Ok(()) => true,
        Err(reason) => {
            assert_eq!(reason, NotRun::Rate);
            false
        }
    }
}

/// Guards against tokens that are spent twice, by a traffic thread and by the rate limiter thread that moves them:
/// threads at all instances take as many tokens as they can while share units and tokens move.
#[test]
fn threads_of_all_instances_stay_within_rate_and_burst() {
    let (_platform, handles) = start_fleet();
    wait_for("the first issue", || handles.iter().any(take));
    let (taken, stop) = (AtomicU64::new(0), AtomicBool::new(false));
    let started = Instant::now();
    thread::scope(|scope| {
        for handle in handles.iter().chain(&handles) {
            scope.spawn(|| {
                while !stop.load(Ordering::Relaxed) {
                    taken.fetch_add(u64::from(take(handle)), Ordering::Relaxed);
                    thread::sleep(Duration::from_micros(300));
                }
            });
        }
        thread::sleep(Duration::from_secs(3));
        stop.store(true, Ordering::Relaxed);
    });
    let (taken, seconds) = (taken.into_inner(), started.elapsed().as_secs_f64());
    let most = BURST_TOKENS as f64 + RATE_PER_SECOND as f64 * seconds;
    println!("{taken} taken in {seconds:.2} s, at most {most:.0}");
    assert!(taken as f64 <= most, "{taken} taken in {seconds} s");
    assert!(
        taken > RATE_PER_SECOND / 2,
        "too few tokens were granted: {taken}"
    );
}

/// Guards against share units that remain with a process that shuts down, so that the other instances refuse the
/// organisation afterwards.
#[test]
fn a_graceful_stop_gives_the_units_to_others() {
    let (platform, mut handles) = start_fleet();
    wait_for("the first issue", || handles.iter().any(take));
    let leaving = handles.remove(0);
    leaving.leave();
    wait_for("the departure", || leaving.is_drained());
    drop(leaving);
    let registered = |i: u16| {
        let key = format!("holders/i{i}/{}", identity(i).incarnation);
        platform.objects.lock().expect("lock").contains_key(&key)
    };
    assert!(!registered(0));
    wait_for("tokens at the other instances", || handles.iter().all(take));
}

/// Guards against an organisation that is admitted although the manifest does not name it.
#[test]
fn an_unknown_organisation_is_refused() {
    let (_platform, handles) = start_fleet();
    assert_eq!(
        handles[0]
            .rate_limiter()
            .try_take("nobody", TokenAttempt::First, clock::now()),
        Err(NotRun::Rate)
    );
}
