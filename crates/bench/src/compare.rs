//! `compare`: throughput and latency of statements through the daemons, against statements sent directly to the primary.

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

/// Number of services, each with one database, so that 1,000 connections do not fill the queue of a database (512
/// requests).
const SERVICES: usize = 4;
/// Number of organisations, so that none of them fills its part of a queue (128 requests).
const ORGANISATIONS: usize = 8;
const API_KEY: &str = "compare-key";
const READ_ROUTE: &str = "look";
const WRITE_ROUTE: &str = "pay";
const STATEMENT: &str = "SELECT value FROM kv WHERE key = 'pass-1'";
/// Number of connections that the daemons may open to each slot: the pool size of Baltic Zoo.
const POOL_SIZE: u32 = 20;
/// Connection limit of a slot, above the largest number of direct connections to it.
const MAX_CONNECTIONS_PER_SLOT: u32 = 1_200;
/// Rate limit above the reach of a run, so that admission control is measured but refuses nothing.
const UNLIMITED_RATE: u32 = 1_000_000;
const WARM_UP_TIME: Duration = Duration::from_millis(500);
const SETTLE_TIME: Duration = Duration::from_millis(300);

/// Options of a comparison.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CompareOptions {
    /// Numbers of client connections; each path is measured with each of them.
    pub connections: Vec<usize>,
    /// Duration of each measurement.
    pub duration: Duration,
    /// Number of threads of the client runtime.
    pub client_threads: usize,
    /// Number of traffic threads of each daemon.
    pub daemon_threads: usize,
    /// Number of threads of each group stand-in.
    pub group_threads: usize,
}

/// Path of the statements from the client to the database.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum StatementPath {
    /// Directly from the client to the primary.
    Direct,
    /// Through the daemon that is the home of the database.
    Proxy,
    /// Through a daemon that forwards the statements to the home of the database.
    ProxyForwarded,
}

/// Result for one path and one number of connections.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct CompareRow {
    /// Path of the statements.
    pub path: StatementPath,
    /// Number of client connections.
    pub connections: usize,
    /// Successful statements per second, over all connections.
    pub statements_per_second: f64,
    /// Median latency, in microseconds.
    pub p50_us: u64,
    /// 99th percentile of the latency, in microseconds.
    pub p99_us: u64,
    /// CPU time of the daemons (of the group stand-ins for the direct path) per statement, in microseconds.
    pub cpu_us_per_statement: f64,
    /// Growth of the resident memory of the daemons (of the group stand-ins for the direct path) per idle connection, in
    /// bytes. The memory is counted in whole pages, so the figure is imprecise for few connections.
    pub bytes_per_connection: u64,
    /// Statements that failed.
    pub errors: u64,
}

impl StatementPath {
    /// Name of the path in text tables, the same as in JSON.
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

/// Runs the comparison for all paths and numbers of connections.
///
/// # Errors
/// When the system does not start, or a login or a preparatory statement fails.
pub fn compare(options: &CompareOptions) -> Result<Vec<CompareRow>, BenchError> {
    let fleet = Fleet::launch(fleet_spec(options))?;
    let comparison = Comparison {
        fleet: &fleet,
        ex: runtime::spawn(options.client_threads)?,
        options,
    };
    comparison.insert_rows()?;
    let mut rows = Vec::new();
    for path in [
        StatementPath::Direct,
        StatementPath::Proxy,
        StatementPath::ProxyForwarded,
    ] {
        for &connections in &options.connections {
            rows.push(comparison.measure_row(path, connections)?);
        }
    }
    Ok(rows)
}

fn service_name(i: usize) -> String {
    format!("service-{}", i % SERVICES)
}

fn database_name(i: usize) -> String {
    format!("db-{}", i % SERVICES)
}

fn organisation_name(i: usize) -> String {
    format!("zoo-{}", i / SERVICES % ORGANISATIONS)
}

fn route_name(i: usize, name: &str) -> String {
    format!("{name}-{}", i % SERVICES)
}

fn fleet_spec(options: &CompareOptions) -> FleetSpec {
    let services: Vec<String> = (0..SERVICES).map(service_name).collect();
    FleetSpec {
        instances: 2,
        services: (0..SERVICES)
            .map(|i| ServiceSpec {
                name: service_name(i),
                databases: vec![database_name(i)],
            })
            .collect(),
        organisations: (0..ORGANISATIONS)
            .map(|i| OrganisationSpec {
                name: organisation_name(i * SERVICES),
                keys: vec![API_KEY.to_owned()],
                rate: UNLIMITED_RATE,
                burst: UNLIMITED_RATE,
                weight: 1,
                services: services.clone(),
            })
            .collect(),
        routes: (0..SERVICES).flat_map(service_routes).collect(),
        max_connections_per_slot: MAX_CONNECTIONS_PER_SLOT,
        listed_connections: POOL_SIZE,
        connect_time: Duration::from_millis(1),
        traffic_threads: options.daemon_threads,
        group_threads: options.group_threads,
        ..FleetSpec::default()
    }
}

fn service_routes(i: usize) -> [RouteSpec; 2] {
    let look = "access = read; tolerance = read-your-writes; timeout = 30s";
    [
        RouteSpec::new(
            &route_name(i, WRITE_ROUTE),
            &service_name(i),
            "access = write; timeout = 30s",
        ),
        RouteSpec::new(&route_name(i, READ_ROUTE), &service_name(i), look),
    ]
}

impl Comparison<'_> {
    /// Inserts the row that the statement reads, for each organisation in each database, through the first daemon.
    fn insert_rows(&self) -> Result<(), BenchError> {
        let targets =
            (0..SERVICES * ORGANISATIONS).map(|i| (self.fleet.instances()[0].callers, login(i, WRITE_ROUTE)));
        for mut client in load::connect(&self.ex, targets)? {
            let write = client.query("INSERT INTO kv VALUES ('pass-1', 'paid until 2027')");
            async_io::block_on(write)?;
        }
        Ok(())
    }

    fn measure_row(&self, path: StatementPath, connections: usize) -> Result<CompareRow, BenchError> {
        let targets: Result<Vec<_>, _> = (0..connections).map(|i| self.target(path, i)).collect();
        let before = self.server_usage(path);
        let mut clients = load::connect(&self.ex, targets?)?;
        if path != StatementPath::Direct {
            clients.iter_mut().try_for_each(present_token)?;
        }
        std::thread::sleep(SETTLE_TIME);
        let idle = self.server_usage(path);
        let (_, clients) = load::run(&self.ex, clients, STATEMENT, WARM_UP_TIME);
        let cpu_before = self.server_usage(path).cpu_time;
        let (result, clients) = load::run(&self.ex, clients, STATEMENT, self.options.duration);
        let cpu = self.server_usage(path).cpu_time.saturating_sub(cpu_before);
        drop(clients);
        std::thread::sleep(SETTLE_TIME);
        Ok(CompareRow {
            path,
            connections,
            statements_per_second: result.throughput().round(),
            p50_us: result.latencies.value_at_quantile(0.5),
            p99_us: result.latencies.value_at_quantile(0.99),
            cpu_us_per_statement: mean(cpu.as_secs_f64() * 1e6, result.statements),
            bytes_per_connection: resident_growth_bytes(before, idle) / connections.max(1) as u64,
            errors: result.errors,
        })
    }

    /// Address and login of connection `i`.
    fn target(&self, path: StatementPath, i: usize) -> Result<(SocketAddr, Login), BenchError> {
        if path == StatementPath::Direct {
            // Slots separate rows by organisation. The daemons set it; a direct connection has none.
            let login = Login::new(BACKEND_USER, BACKEND_PASSWORD, &database_name(i));
            return Ok((self.fleet.groups()[i % SERVICES].slots[0], login));
        }
        let home = self.fleet.home_of(&database_name(i))?;
        let entry = match path {
            StatementPath::ProxyForwarded => 1 - home,
            StatementPath::Direct | StatementPath::Proxy => home,
        };
        Ok((self.fleet.instances()[entry].callers, login(i, READ_ROUTE)))
    }

    /// Total resource usage of the processes that serve the clients on a path: the daemons, or the group stand-ins.
    fn server_usage(&self, path: StatementPath) -> ProcessUsage {
        let groups = self.fleet.groups().iter().map(|group| &group.process);
        let daemons = self.fleet.instances().iter();
        match path {
            StatementPath::Direct => groups.map(ChildProcess::usage).sum(),
            StatementPath::Proxy | StatementPath::ProxyForwarded => daemons
                .filter_map(|instance| instance.process.as_ref())
                .map(ChildProcess::usage)
                .sum(),
        }
    }
}

/// Sets the session's own token on its connection, as callers do to let replicas serve their reads.
fn present_token(client: &mut SqlClient) -> Result<(), BenchError> {
    let shown = async_io::block_on(client.query("SHOW wasabiyard.session"))?;
    let token = shown.rows.concat().concat();
    async_io::block_on(client.query(&format!("SET wasabiyard.session = '{token}'")))?;
    Ok(())
}

fn login(i: usize, name: &str) -> Login {
    Login::new(&organisation_name(i), API_KEY, &service_name(i))
        .with_option("wasabiyard.route", &route_name(i, name))
}

fn resident_growth_bytes(before: ProcessUsage, after: ProcessUsage) -> u64 {
    after.resident_bytes.saturating_sub(before.resident_bytes)
}

/// Mean per item, rounded to one decimal; the total when there are no items.
fn mean(total: f64, count: u64) -> f64 {
    (total / count.max(1) as f64 * 10.0).round() / 10.0
}
