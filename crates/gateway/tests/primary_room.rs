//! What may use the primary where the configuration tells its priorities apart: a pool with three servers in memory.

mod support;

use async_executor::LocalExecutor;
use async_io::Timer;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use support::{open_pool, snapshot_with_primary};
use wasabiyard_gateway::metrics::Metrics;
use wasabiyard_gateway::rate::RateLimiterState;
use wasabiyard_gateway::traffic::{
    OperationRateLimiter, ReplicaLag, Session, SessionContext, SessionSettings, primary_connection_limit,
    wait_for_replica,
};
use wasabiyard_gateway::{
    Answer, BackendServer, ClusterSnapshot, Command, Configuration, ConnectOutcome, ConnectionError,
    Connector, Freshness, IdleState, Login, Outcome, OverloadOrder, Request, Role, RouteRule,
    ServerConnection, ServerStatus, ServiceRule, Statement, Target, TransactionStatus, clock,
};
use wasabiyard_model::{InstanceId, LogPoint, PriorityClass, Term, Time, Version};

const EXECUTION: Duration = Duration::from_millis(20);
/// One instance may open five connections to a server with three.
const SERVER_CONNECTIONS: u32 = 3;

/// What a server has done.
#[derive(Debug, Clone, Copy, Default)]
struct Load {
    statements: u32,
    running: u32,
    most_running: u32,
}

/// Servers that answer each statement after [`EXECUTION`].
#[derive(Debug, Clone, Default)]
struct Site {
    loads: Rc<RefCell<HashMap<Arc<str>, Load>>>,
    digests: Rc<Cell<u32>>,
}

impl Site {
    fn load(&self, server: &str) -> Load {
        self.loads.borrow().get(server).copied().unwrap_or_default()
    }
}

#[derive(Debug)]
struct SiteConnection {
    site: Site,
    server: Arc<str>,
}

impl Connector for Site {
    type Connection = SiteConnection;

    async fn connect(&self, target: &Target) -> Result<ConnectOutcome<SiteConnection>, ConnectionError> {
        let connection = SiteConnection {
            site: self.clone(),
            server: Arc::clone(&target.server),
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
        if !cmd.is_statement() {
            return Ok(Answer::local(TransactionStatus::Idle));
        }
        self.with_load(|load| {
            load.statements += 1;
            load.running += 1;
            load.most_running = load.most_running.max(load.running);
        });
        Timer::after(EXECUTION).await;
        self.with_load(|load| load.running -= 1);
        self.site.digests.set(self.site.digests.get() + 1);
        Ok(Answer {
            outcome: Outcome::Done {
                digest: Some(self.site.digests.get().to_string().into()),
            },
            point: Some(LogPoint::new(1, 1)),
            ..Answer::local(TransactionStatus::Idle)
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
fn snapshot(overload_order: OverloadOrder) -> ClusterSnapshot {
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

/// Runs one statement on each of `routes` one after the other, then one on each of `at_once` at the same time.
fn run(overload_order: OverloadOrder, routes: &[&'static str], at_once: &[&'static str]) -> Site {
    let executor = Rc::new(LocalExecutor::new());
    let metrics = Metrics::open().expect("metrics");
    let site = Site::default();
    let pool = open_pool(site.clone(), &metrics, &executor);
    pool.update(&Arc::new(snapshot(overload_order)), clock::now());
    let limiter = RateLimiterState::new(InstanceId::from("i1"), 10.0);
    let cx = Rc::new(SessionContext {
        pool,
        rate_limiter: Rc::new(OperationRateLimiter::new(limiter, Box::new(|_, _| {}))),
        metrics,
        executor: Rc::clone(&executor),
        settings: Cell::new(SessionSettings {
            key_lifetime: Duration::from_secs(4),
        }),
    });
    let statement = |route: &'static str, id: usize| {
        let cx = Rc::clone(&cx);
        async move {
            let login = Login {
                database: route.into(),
                key: "".into(),
            };
            let mut session = Session::open(cx, login).expect("a session");
            let request = Request {
                id: format!("{route}{id}").into(),
                text: "READ 1a4".into(),
                statement: Some(Statement::Read),
            };
            let answer = session.handle(&request).await;
            assert_eq!(answer.failure(), None, "{route}: {answer:?}");
        }
    };
    async_io::block_on(executor.run(async {
        for route in routes {
            statement(route, 0).await;
        }
        // The replicas are expected to have the primary's log point by then.
        Timer::after(Duration::from_millis(100)).await;
        let tasks: Vec<_> = at_once
            .iter()
            .enumerate()
            .map(|(id, route)| executor.spawn(statement(route, id + 1)))
            .collect();
        for task in tasks {
            task.await;
        }
    }));
    site
}

/// Reads that a replica could serve took slots of the primary as soon as the replicas were busy.
#[test]
fn reads_wait_for_a_replica_rather_than_use_the_primary() {
    let site = run(OverloadOrder::ByRank, &["latest"], &["reads"; 40]);
    assert_eq!(site.load("p").statements, 1, "{site:?}");
    assert_eq!(
        site.load("r1").statements + site.load("r2").statements,
        40,
        "{site:?}"
    );
    let site = run(OverloadOrder::Shared, &["latest"], &["reads"; 40]);
    assert!(site.load("p").statements > 1, "{site:?}");
}

/// Less urgent statements that only the primary can run took all connections of the instance, and an urgent one waited.
#[test]
fn less_urgent_statements_leave_a_connection_to_the_primary() {
    let site = run(OverloadOrder::ByRank, &[], &["latest"; 12]);
    assert_eq!(site.load("p").most_running, 4, "{site:?}");
    let mut crowd = vec!["latest"; 12];
    crowd.push("urgent");
    let site = run(OverloadOrder::ByRank, &[], &crowd);
    assert_eq!(site.load("p").most_running, 5, "{site:?}");
}

/// The reserve must not take the only connection of a class.
#[test]
fn every_class_keeps_a_connection_to_the_primary() {
    for max_open in 1..=40 {
        let limits: Vec<_> = PriorityClass::all()
            .map(|c| primary_connection_limit(c, max_open))
            .collect();
        assert_eq!(limits[0], max_open);
        assert!(
            limits
                .iter()
                .all(|l| *l >= 1 && *l + 1 + max_open / 4 >= max_open)
        );
        assert!(max_open == 1 || limits[1] < max_open);
    }
}

/// A read whose point the replicas reach in 50 ms took a slot of the overloaded primary; with a primary that has room, or
/// replicas that come too late, it must go there.
#[test]
fn reads_wait_for_the_log_of_a_replica_only_if_that_helps() {
    let now = Time::from_millis(20_000);
    let deadline = now + Duration::from_millis(320);
    let reached = Some(ReplicaLag::default().expected_at(now, now));
    assert_eq!(wait_for_replica(true, reached, deadline), reached);
    assert_eq!(wait_for_replica(false, reached, deadline), None);
    assert_eq!(
        wait_for_replica(true, reached, now + Duration::from_millis(60)),
        None
    );
    assert_eq!(wait_for_replica(true, None, deadline), None);
}
