//! A small deployment: the store, one service, the platform and some instances.

use crate::Run;
use crate::caller::KEY;
use crate::database::Service;
use crate::json::Json;
use crate::node::Node;
use crate::platform::Platform;
use crate::record::Record;
use crate::store::Store;
use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

pub const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];
/// The first three are in use; the other two have been started to replace the first two.
pub const SERVER_ZONES: [&str; 5] = ["zone-a", "zone-b", "zone-c", "zone-a", "zone-b"];
pub const SERVICE: &str = "members";
pub const DATABASE: &str = "renew";
const START_LIMIT: Duration = Duration::from_secs(20);

pub struct Fleet {
    pub record: Record,
    pub store: Store,
    pub service: Service,
    pub platform: Platform,
    pub nodes: Vec<Node>,
}

impl Fleet {
    /// Starts everything and waits until all instances are ready and the service has a primary.
    pub fn open(run: &Run<'_>, nodes: usize) -> std::io::Result<Self> {
        let record = Record::create(&run.case.join("record.txt"))?;
        record.line(&format!("start, trouble: {}", run.trouble));
        let store = Store::default();
        store.write("config", "main", configuration(1));
        let service = Service::open(SERVICE, &SERVER_ZONES, nodes, &store)?;
        let platform = Platform::open(vec![service.clone()], &record)?;
        let mut started = Vec::new();
        for i in 0..nodes {
            let zone = ZONES[i % ZONES.len()];
            let name = format!("frontend-{zone}-{}", i / ZONES.len() + 1);
            started.push(Node::open(
                &name,
                zone,
                &ZONES,
                store.listen(i)?,
                platform.address,
                run.dir,
            )?);
        }
        let fleet = Self {
            record,
            store,
            service,
            platform,
            nodes: started,
        };
        let begun = Instant::now();
        while !fleet.nodes.iter().all(Node::is_ready) || fleet.primary().is_none() {
            if begun.elapsed() > START_LIMIT {
                return Err(std::io::Error::other("the instances did not become ready"));
            }
            thread::sleep(Duration::from_millis(100));
        }
        fleet.record.line("all instances are ready");
        // The holder of the duty settles, and all instances know each other.
        thread::sleep(Duration::from_secs(3));
        Ok(fleet)
    }

    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.nodes.iter().map(|n| n.callers).collect()
    }

    /// The primary that the instances use.
    pub fn primary(&self) -> Option<String> {
        let record = self.store.read("wasabiyard", &format!("primary-{SERVICE}"));
        let primary = record
            .get("leadership")
            .get("serving")
            .get("primary")
            .as_text()
            .to_owned();
        (!primary.is_empty()).then_some(primary)
    }

    /// Number of the instance that holds the duty.
    pub fn holder(&self) -> Option<usize> {
        let duty = self.store.read("wasabiyard", "duty");
        self.nodes
            .iter()
            .position(|n| n.name == duty.get("holder").as_text())
    }
}

/// A configuration with one route and one tenant, in the form of the operator's documents.
pub fn configuration(version: u64) -> Json {
    let route = Json::object([
        ("name", Json::text("r-1")),
        ("host", Json::text(DATABASE)),
        ("path_prefix", Json::text("/")),
        ("route_type", Json::text("primary")),
        ("timeout_ms", Json::number(1_000)),
        ("target_latency_ms", Json::number(200)),
        ("priority", Json::number(1)),
        ("service", Json::text(SERVICE)),
        ("attempts", Json::number(2)),
        ("public", Json::Bool(false)),
    ]);
    let service = Json::object([
        ("name", Json::text(SERVICE)),
        ("health_path", Json::text("/healthz")),
        ("max_connections", Json::number(21)),
        ("protocol", Json::text("h1")),
        ("tls", Json::Bool(false)),
        ("warmup_s", Json::number("0.0")),
        ("warmup_per_s", Json::number("0.0")),
        ("sync_replicas", Json::number(0)),
    ]);
    let tenant = Json::object([
        ("name", Json::text("tenant-1")),
        ("api_keys", Json::List(vec![Json::text(KEY)])),
        ("priority", Json::number(1)),
        ("rate_per_s", Json::number(2_000)),
        ("burst", Json::number(2_000)),
    ]);
    Json::object([
        ("version", Json::number(version)),
        ("routes", Json::List(vec![route])),
        ("services", Json::List(vec![service])),
        ("limits", Json::object([("tx_idle_ms", Json::number(3_000))])),
        ("tenants", Json::List(vec![tenant])),
    ])
}
