//! A pool whose service has a primary and two replicas in memory.

use super::support::{open_pool, snapshot_with_primary};
use async_executor::LocalExecutor;
use async_io::Timer;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use wasabiyard_gateway::metrics::Metrics;
use wasabiyard_gateway::rate::RateLimiterState;
use wasabiyard_gateway::traffic::{OperationRateLimiter, SessionContext, SessionSettings};
use wasabiyard_gateway::{
    Answer, BackendServer, CallerError, ClusterSnapshot, Command, Configuration, ConnectOutcome,
    ConnectionError, Connector, Freshness, IdleState, Outcome, OverloadOrder, Role, RouteRule,
    ServerConnection, ServerStatus, ServiceRule, Target, TransactionStatus, clock,
};
use wasabiyard_model::{InstanceId, LogPoint, PriorityClass, Term, Version};

const EXECUTION: Duration = Duration::from_millis(20);
/// One instance may open five connections to a server with three.
const SERVER_CONNECTIONS: u32 = 3;

/// What a server has done.
#[derive(Debug, Clone, Copy, Default)]
pub struct Load {
    pub statements: u32,
    pub running: u32,
    pub most_running: u32,
}

/// Servers that answer each statement after [`EXECUTION`], or refuse it at once while they are full.
#[derive(Debug, Clone, Default)]
pub struct Site {
    pub full: Rc<Cell<bool>>,
    /// Whether the servers close the connection of each statement.
    pub failing: Rc<Cell<bool>>,
    /// Ids of the statements that the servers received.
    pub received: Rc<RefCell<Vec<String>>>,
    loads: Rc<RefCell<HashMap<Arc<str>, Load>>>,
    digests: Rc<Cell<u32>>,
}

impl Site {
    #[allow(dead_code, reason = "not all tests look at the load")]
    pub fn load(&self, server: &str) -> Load {
        self.loads.borrow().get(server).copied().unwrap_or_default()
    }
}

#[derive(Debug)]
pub struct SiteConnection {
    site: Site,
    server: Arc<str>,
    status: TransactionStatus,
}

impl Connector for Site {
    type Connection = SiteConnection;

    async fn connect(&self, target: &Target) -> Result<ConnectOutcome<SiteConnection>, ConnectionError> {
        let connection = SiteConnection {
            site: self.clone(),
            server: Arc::clone(&target.server),
            status: TransactionStatus::Idle,
        };
        Ok(ConnectOutcome::Open(connection, Some(LogPoint::new(1, 1))))
    }
}

impl SiteConnection {
    fn with_load<F>(&self, f: F)
    where
        F: FnOnce(&mut Load),
    {
        f(self
            .site
            .loads
            .borrow_mut()
            .entry(Arc::clone(&self.server))
            .or_default());
    }
}

impl ServerConnection for SiteConnection {
    async fn run(&mut self, cmd: Command<'_>) -> Result<Answer, ConnectionError> {
        let status = match cmd {
            Command::Begin { .. } => TransactionStatus::InTransaction,
            Command::Rollback | Command::Commit { .. } => TransactionStatus::Idle,
            _ => self.status,
        };
        self.status = status;
        if !cmd.is_statement() {
            return Ok(Answer::local(status));
        }
        self.with_load(|load| {
            load.statements += 1;
            load.running += 1;
            load.most_running = load.most_running.max(load.running);
        });
        let id = cmd.request_id().unwrap_or_default().to_owned();
        self.site.received.borrow_mut().push(id);
        if self.site.failing.get() {
            self.with_load(|load| load.running -= 1);
            return Err(ConnectionError::Closed);
        }
        if self.site.full.get() {
            self.with_load(|load| load.running -= 1);
            return Ok(Answer::error(CallerError::Busy, "full", status));
        }
        Timer::after(EXECUTION).await;
        self.with_load(|load| load.running -= 1);
        self.site.digests.set(self.site.digests.get() + 1);
        Ok(Answer {
            outcome: Outcome::Done {
                digest: Some(self.site.digests.get().to_string().into()),
            },
            point: Some(LogPoint::new(1, 1)),
            ..Answer::local(status)
        })
    }

    async fn receive(&mut self) -> Result<Option<Answer>, ConnectionError> {
        Err(ConnectionError::Closed)
    }

    async fn status(&mut self) -> Result<Option<ServerStatus>, ConnectionError> {
        Ok(None)
    }

    async fn demote(&mut self, _term: Term) -> Result<Option<ServerStatus>, ConnectionError> {
        Ok(None)
    }

    fn idle_state(&self) -> IdleState {
        IdleState::Quiet
    }
}

fn route(name: &str, rank: usize, freshness: Freshness) -> (Arc<str>, Arc<RouteRule>) {
    let rule = RouteRule {
        name: name.into(),
        service: "members".into(),
        freshness,
        timeout: Duration::from_secs(2),
        // So long that no wait of a busy test machine counts as strain.
        target_latency: Duration::from_mins(1),
        class: PriorityClass::from_rank(rank),
        public: true,
    };
    (name.into(), Arc::new(rule))
}

/// A primary `p` and two replicas.
pub fn snapshot(overload_order: OverloadOrder) -> ClusterSnapshot {
    let now = clock::now();
    let configuration = Configuration {
        version: Version(1),
        routes: [
            route("urgent", 0, Freshness::Latest),
            route("latest", 1, Freshness::Latest),
            route("reads", 1, Freshness::Bounded(Duration::from_secs(30))),
        ]
        .into(),
        services: [(
            "members".into(),
            ServiceRule {
                max_connections: SERVER_CONNECTIONS,
                sync_replicas: 0,
            },
        )]
        .into(),
        overload_order,
        ..Configuration::default()
    };
    let mut snapshot = ClusterSnapshot {
        configuration: Some(Arc::new(configuration)),
        configuration_as_of: now,
        servers_as_of: now,
        domains_as_of: now,
        ..snapshot_with_primary(now)
    };
    let primary = Arc::clone(&snapshot.servers["p"]);
    for id in ["r1", "r2"] {
        let replica = BackendServer {
            id: id.into(),
            role: Role::Replica,
            ..(*primary).clone()
        };
        snapshot.servers.insert(id.into(), Arc::new(replica));
    }
    snapshot
}

/// A session context whose pool connects to `site`.
pub fn open_context(
    site: &Site,
    overload_order: OverloadOrder,
    executor: &Rc<LocalExecutor<'static>>,
) -> Rc<SessionContext<Site>> {
    let metrics = Metrics::open().expect("metrics");
    let pool = open_pool(site.clone(), &metrics, executor);
    pool.update(&Arc::new(snapshot(overload_order)), clock::now());
    let limiter = RateLimiterState::new(InstanceId::from("i1"), 10.0);
    Rc::new(SessionContext {
        pool,
        rate_limiter: Rc::new(OperationRateLimiter::new(limiter, Box::new(|_, _| {}))),
        metrics,
        executor: Rc::clone(executor),
        usage: None,
        settings: Cell::new(SessionSettings {
            key_lifetime: Duration::from_secs(4),
        }),
    })
}
