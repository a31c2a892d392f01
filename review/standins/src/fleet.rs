//! A small deployment: the platform, one service and some instances, with its operator and its requesters.

use crate::client::{Kind, Requester, Seen};
use crate::database::Group;
use crate::node::Node;
use crate::record::Record;
use crate::store::{Promote, Store, listen_for_promotions};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// Zones of the instances and databases.
pub const ZONES: [&str; 4] = ["riga-a", "riga-b", "riga-c", "riga-d"];
/// Interval at which databases write their entries.
const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// Heartbeat intervals of silence after which the store removes an entry.
const HEARTBEATS_UNTIL_REMOVAL: u32 = 3;
/// Longest wait for the instances to be ready.
const READY_TIMEOUT: Duration = Duration::from_secs(15);

const CONFIG: &str = r#"{"version":7,"routes":[
{"name":"r-gate","host":"gate","path_prefix":"/","route_type":"bounded_staleness","timeout_ms":2000,"target_latency_ms":600,"priority":2,"service":"members","attempts":2,"max_staleness_ms":1500,"public":false},
{"name":"r-renew","host":"renew","path_prefix":"/","route_type":"primary","timeout_ms":1000,"target_latency_ms":200,"priority":1,"service":"members","attempts":2,"public":false},
{"name":"r-gift","host":"gift","path_prefix":"/","route_type":"read_your_writes","timeout_ms":1000,"target_latency_ms":400,"priority":2,"service":"members","attempts":2,"max_staleness_ms":2500,"public":false}],
"services":[{"name":"members","health_path":"/healthz","max_connections":21,"protocol":"h1","tls":false,"warmup_s":0.0,"warmup_per_s":0.0,"sync_replicas":SYNC}],
"limits":{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000,"tx_idle_ms":3000},
"tenants":[{"name":"zoo","api_keys":["k-zoo"],"priority":1,"rate_per_s":400,"burst":400}]}"#;

/// The configuration of the service, with three routes as in SYSTEM.md.
pub fn config(sync_replicas: usize) -> String {
    CONFIG.replace("SYNC", &sync_replicas.to_string())
}

/// Number of instances, and the zones in which they stand in turn.
pub struct Placement<'a> {
    pub instances: u8,
    pub zones: &'a [&'a str],
}

/// A running deployment. Its processes end with it.
pub struct Fleet {
    pub store: Store,
    pub group: Group,
    pub nodes: Vec<Node>,
    pub seen: Seen,
    record: Record,
    dir: PathBuf,
    stop: Arc<AtomicBool>,
}

impl Fleet {
    /// Starts the stand-ins and the processes, and waits until all are ready.
    pub fn start(
        root: &Path,
        record: &Record,
        group: Group,
        placement: &Placement<'_>,
        config: &str,
        promote: Promote,
    ) -> Result<Self, String> {
        let text = |e: std::io::Error| e.to_string();
        let dir = std::env::temp_dir().join(format!("wasabiyard-review-{}", std::process::id()));
        std::fs::create_dir_all(&dir).map_err(text)?;
        let store = Store::new(record.clone());
        store.write("config", "main", config);
        let address = store.listen().map_err(text)?;
        let promotion = listen_for_promotions(group.clone(), record.clone(), promote).map_err(text)?;
        let mut fleet = Self {
            store,
            group,
            nodes: Vec::new(),
            seen: Seen::default(),
            record: record.clone(),
            dir,
            stop: Arc::default(),
        };
        fleet.spawn_heartbeats();
        for number in 0..placement.instances {
            let zone = placement.zones[usize::from(number) % placement.zones.len()];
            let log = fleet.dir.join(format!("node-{number}.log"));
            let node = Node::start(number, zone, root, &fleet.dir, address, promotion, &log).map_err(text)?;
            record.note(&format!("{} started, process {}", node.name, node.pid().unwrap_or(0)));
            fleet.nodes.push(node);
        }
        let end = Instant::now() + READY_TIMEOUT;
        while !fleet.nodes.iter().all(Node::is_ready) {
            if Instant::now() >= end {
                fleet.record_logs(|_| true);
                return Err("the instances did not become ready".to_owned());
            }
            thread::sleep(Duration::from_millis(100));
        }
        record.note("all instances are ready");
        Ok(fleet)
    }

    /// Databases that run write their entries; the store removes those that have been silent.
    fn spawn_heartbeats(&self) {
        let (store, group, stop) = (self.store.clone(), self.group.clone(), Arc::clone(&self.stop));
        let write = move |sequence: u64, known: &mut Vec<(String, Instant, bool, bool)>, due: bool| {
            for entry in group.entries() {
                let last = known.iter().position(|(id, _, _, _)| *id == entry.id);
                let changed = last.is_none_or(|i| known[i].2 != entry.primary || known[i].3 != entry.draining);
                if !due && !changed {
                    continue;
                }
                let spec = format!(
                    "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"capacity\":{},\"state\":\"{}\",\
                     \"warmup_left_ms\":0,\"db_role\":\"{}\",\"sequence\":{sequence},\"born\":1700000000000}}",
                    group.service,
                    entry.address,
                    entry.zone,
                    group.sizes.slots,
                    if entry.draining { "draining" } else { "ready" },
                    if entry.primary { "primary" } else { "replica" }
                );
                store.write("servers", &entry.id, &spec);
                let now = (entry.id, Instant::now(), entry.primary, entry.draining);
                match last {
                    Some(i) => known[i] = now,
                    None => known.push(now),
                }
            }
            known.retain(|(id, at, _, _)| {
                let silent = at.elapsed() > HEARTBEAT * HEARTBEATS_UNTIL_REMOVAL;
                if silent {
                    store.remove("servers", id);
                }
                !silent
            });
        };
        let mut known = Vec::new();
        write(0, &mut known, true);
        thread::spawn(move || {
            let mut beat = Instant::now();
            let mut sequence = 1;
            while !stop.load(Ordering::Relaxed) {
                thread::sleep(Duration::from_millis(50));
                let due = beat.elapsed() >= HEARTBEAT;
                if due {
                    beat = Instant::now();
                    sequence += 1;
                }
                write(sequence, &mut known, due);
            }
        });
    }

    /// Starts requesters: `count` sessions of a kind that run `per_second` operations together, until the end of the run.
    pub fn spawn_requesters(
        &self,
        kind: Kind,
        host: &str,
        key: &str,
        count: usize,
        per_second: f64,
        time_limit: Duration,
    ) {
        self.spawn_requesters_until(None, kind, host, key, count, per_second, time_limit);
    }

    /// The same, until a time.
    #[expect(clippy::too_many_arguments, reason = "each names a figure of the load")]
    pub fn spawn_requesters_until(
        &self,
        until: Option<Instant>,
        kind: Kind,
        host: &str,
        key: &str,
        count: usize,
        per_second: f64,
        time_limit: Duration,
    ) {
        let nodes: Vec<_> = self.nodes.iter().map(|n| n.callers).collect();
        for number in 0..count {
            let requester = Requester {
                name: format!("{host}-{}{number}", if until.is_some() { "b" } else { "" }),
                host: host.to_owned(),
                key: key.to_owned(),
                kind,
                nodes: nodes.clone(),
                interval: Duration::from_secs_f64(count as f64 / per_second),
                time_limit,
                until,
                seed: (number as u64 + 1) * 7919 + host.len() as u64,
            };
            let (seen, record, stop) = (self.seen.clone(), self.record.clone(), Arc::clone(&self.stop));
            thread::spawn(move || requester.run(&seen, &record, &stop));
        }
    }

    /// Copies lines of the instances' logs into the record.
    fn record_logs(&self, wanted: fn(&str) -> bool) {
        for (number, node) in self.nodes.iter().enumerate() {
            let log = std::fs::read_to_string(self.dir.join(format!("node-{number}.log"))).unwrap_or_default();
            for line in log.lines().filter(|l| wanted(l)) {
                self.record.line(&format!("log {} {line}", node.name));
            }
        }
    }

    /// Stops the requesters and the processes. The logs of the instances go into the record.
    pub fn end(mut self) {
        self.stop.store(true, Ordering::Relaxed);
        for node in &mut self.nodes {
            node.kill();
        }
        self.record_logs(is_decision);
        let _removed = std::fs::remove_dir_all(&self.dir);
    }
}

/// Whether a line of an instance's log tells of a primary or of the failover lease.
fn is_decision(line: &str) -> bool {
    let words = ["primary", "promotion", "successor", "failover lease", "candidate"];
    let is_statement = line.contains("tried again") || line.contains("refused") || line.contains("not served");
    !is_statement && words.iter().any(|w| line.contains(w))
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        let _removed = std::fs::remove_dir_all(&self.dir);
    }
}
