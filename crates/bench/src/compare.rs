//! `compare`: statements sent directly to a database against statements through the proxy.

use crate::bench_error::BenchError;
use crate::launcher::{
    BACKEND_PASSWORD, BACKEND_USER, ChildProcess, Fleet, FleetSpec, OrganisationSpec, ProcessUsage,
    RouteSpec, ServiceSpec,
};
use crate::load;
use crate::sql::{Login, SqlClient};
use serde::Serialize;
use std::net::SocketAddr;
use std::time::Duration;
use wasabiyard_standin::runtime::{self, SharedExecutor};

/// Services, each with one database, so that no queue of a database (512 waiting) is full at 1,000 connections.
const SERVICES: usize = 4;
/// Organisations, so that none fills its part of a queue (128 waiting).
const ORGANISATIONS: usize = 8;
const KEY: &str = "compare-key";
const ROUTE: &str = "look";
const WRITE_ROUTE: &str = "pay";
const STATEMENT: &str = "SELECT value FROM kv WHERE key = 'pass-1'";
/// Connections that the proxy may open to each slot, as at Baltic Zoo.
const POOL: u32 = 20;
/// Cap of a slot, above the largest number of direct connections to it.
const SLOT_CAP: u32 = 1_200;
/// Rate that no run reaches, so that admission takes part but refuses nothing.
const RATE: u32 = 1_000_000;
const WARM_UP: Duration = Duration::from_millis(500);
const SETTLE: Duration = Duration::from_millis(300);

/// Options of a run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CompareOptions {
    /// Numbers of connections.
    pub connections: Vec<usize>,
    /// Length of each run.
    pub duration: Duration,
    /// Threads that send.
    pub client_threads: usize,
    /// Traffic threads of each daemon.
    pub daemon_threads: usize,
    /// Threads of the group stand-in.
    pub group_threads: usize,
}

/// How statements travel.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Path {
    /// From the client to the primary.
    Direct,
    /// Through an entry that is the home of the database.
    Proxy,
    /// Through an entry that forwards to the home.
    ProxyForwarded,
}

/// One row of the result.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct CompareRow {
    /// Path.
    pub path: Path,
    /// Connections of clients.
    pub connections: usize,
    /// Statements a second.
    pub statements_per_second: f64,
    /// Median latency.
    pub p50_us: u64,
    /// 99th percentile of the latency.
    pub p99_us: u64,
    /// Processor time of the daemons for each statement; of the stand-ins for the direct path.
    pub cpu_us_per_statement: f64,
    /// Growth of the resident memory of the daemons (of the stand-ins for the direct path) for each idle connection.
    /// Rounded to pages, so it says little for few connections.
    pub bytes_per_connection: u64,
    /// Statements that failed.
    pub errors: u64,
}

impl Path {
    /// The name in tables.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Direct => "direct",
            Self::Proxy => "proxy",
            Self::ProxyForwarded => "proxy-forwarded",
        }
    }
}

struct Comparison<'a> {
    fleet: &'a Fleet,
    ex: SharedExecutor,
    options: &'a CompareOptions,
}

/// Runs the comparison.
///
/// # Errors
/// When the system does not start, or a connection fails.
pub fn compare(options: &CompareOptions) -> Result<Vec<CompareRow>, BenchError> {
    let fleet = Fleet::launch(spec(options))?;
    let comparison = Comparison {
        fleet: &fleet,
        ex: runtime::spawn(options.client_threads)?,
        options,
    };
    comparison.prepare()?;
    let mut rows = Vec::new();
    for path in [Path::Direct, Path::Proxy, Path::ProxyForwarded] {
        for &connections in &options.connections {
            rows.push(comparison.row(path, connections)?);
        }
    }
    Ok(rows)
}

fn service(i: usize) -> String {
    format!("service-{}", i % SERVICES)
}

fn database(i: usize) -> String {
    format!("db-{}", i % SERVICES)
}

fn organisation(i: usize) -> String {
    format!("zoo-{}", i / SERVICES % ORGANISATIONS)
}

fn route(i: usize, name: &str) -> String {
    format!("{name}-{}", i % SERVICES)
}

fn spec(options: &CompareOptions) -> FleetSpec {
    let services: Vec<String> = (0..SERVICES).map(service).collect();
    FleetSpec {
        instances: 2,
        services: (0..SERVICES)
            .map(|i| ServiceSpec {
                name: service(i),
                databases: vec![database(i)],
            })
            .collect(),
        organisations: (0..ORGANISATIONS)
            .map(|i| OrganisationSpec {
                name: organisation(i * SERVICES),
                keys: vec![KEY.to_owned()],
                rate: RATE,
                burst: RATE,
                weight: 1,
                services: services.clone(),
            })
            .collect(),
        routes: (0..SERVICES).flat_map(routes).collect(),
        max_connections_per_slot: SLOT_CAP,
        listed_connections: POOL,
        connect_time: Duration::from_millis(1),
        traffic_threads: options.daemon_threads,
        group_threads: options.group_threads,
        ..FleetSpec::default()
    }
}

fn routes(i: usize) -> [RouteSpec; 2] {
    let look = "access = read; tolerance = read-your-writes; timeout = 30s";
    [
        RouteSpec::new(
            &route(i, WRITE_ROUTE),
            &service(i),
            "access = write; timeout = 30s",
        ),
        RouteSpec::new(&route(i, ROUTE), &service(i), look),
    ]
}

impl Comparison<'_> {
    /// Writes the row that the statement reads, for each organisation in each database, through the proxy.
    fn prepare(&self) -> Result<(), BenchError> {
        let targets =
            (0..SERVICES * ORGANISATIONS).map(|i| (self.fleet.instances()[0].callers, login(i, WRITE_ROUTE)));
        for mut client in load::connect(&self.ex, targets)? {
            let write = client.query("INSERT INTO kv VALUES ('pass-1', 'paid until 2027')");
            async_io::block_on(write)?;
        }
        Ok(())
    }

    fn row(&self, path: Path, connections: usize) -> Result<CompareRow, BenchError> {
        let targets: Result<Vec<_>, _> = (0..connections).map(|i| self.target(path, i)).collect();
        let before = self.usage(path);
        let mut clients = load::connect(&self.ex, targets?)?;
        if path != Path::Direct {
            clients.iter_mut().try_for_each(give_token)?;
        }
        std::thread::sleep(SETTLE);
        let idle = self.usage(path);
        let (_, clients) = load::run(&self.ex, clients, STATEMENT, WARM_UP);
        let cpu_before = self.usage(path).cpu_time;
        let (result, clients) = load::run(&self.ex, clients, STATEMENT, self.options.duration);
        let cpu = self.usage(path).cpu_time.saturating_sub(cpu_before);
        drop(clients);
        std::thread::sleep(SETTLE);
        Ok(CompareRow {
            path,
            connections,
            statements_per_second: result.rate().round(),
            p50_us: result.latencies.value_at_quantile(0.5),
            p99_us: result.latencies.value_at_quantile(0.99),
            cpu_us_per_statement: per(cpu.as_secs_f64() * 1e6, result.statements),
            bytes_per_connection: growth(before, idle) / connections.max(1) as u64,
            errors: result.errors,
        })
    }

    /// Where connection `i` goes.
    fn target(&self, path: Path, i: usize) -> Result<(SocketAddr, Login), BenchError> {
        if path == Path::Direct {
            // The rows of the slots are separated by organisation, which the proxy sets.
            let login = Login::new(BACKEND_USER, BACKEND_PASSWORD, &database(i));
            return Ok((self.fleet.groups()[i % SERVICES].slots[0], login));
        }
        let home = self.fleet.home_of(&database(i))?;
        let entry = match path {
            Path::ProxyForwarded => 1 - home,
            Path::Direct | Path::Proxy => home,
        };
        Ok((self.fleet.instances()[entry].callers, login(i, ROUTE)))
    }

    /// Usage of the processes that hold the connections of clients: the daemons, or the stand-ins.
    fn usage(&self, path: Path) -> ProcessUsage {
        let groups = self.fleet.groups().iter().map(|group| &group.process);
        let daemons = self.fleet.instances().iter();
        match path {
            Path::Direct => groups.map(ChildProcess::usage).sum(),
            Path::Proxy | Path::ProxyForwarded => daemons
                .filter_map(|instance| instance.process.as_ref())
                .map(ChildProcess::usage)
                .sum(),
        }
    }
}

/// Presents the session's own token, as callers do that have their reads served by replicas.
fn give_token(client: &mut SqlClient) -> Result<(), BenchError> {
    let shown = async_io::block_on(client.query("SHOW wasabiyard.session"))?;
    let token = shown.rows.concat().concat();
    async_io::block_on(client.query(&format!("SET wasabiyard.session = '{token}'")))?;
    Ok(())
}

fn login(i: usize, name: &str) -> Login {
    Login::new(&organisation(i), KEY, &service(i)).with_option("wasabiyard.route", &route(i, name))
}

fn growth(before: ProcessUsage, after: ProcessUsage) -> u64 {
    after.resident_bytes.saturating_sub(before.resident_bytes)
}

fn per(total: f64, count: u64) -> f64 {
    (total / count.max(1) as f64 * 10.0).round() / 10.0
}
