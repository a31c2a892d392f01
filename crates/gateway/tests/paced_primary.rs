//! Statements that only a primary can run, after it has restarted in a large fleet.

mod support;

use async_executor::LocalExecutor;
use async_io::Timer;
use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use support::{open_pool, snapshot_with_primary};
use wasabiyard_gateway::metrics::Metrics;
use wasabiyard_gateway::rate::RateLimiterState;
use wasabiyard_gateway::traffic::{OperationRateLimiter, Session, SessionContext, SessionSettings};
use wasabiyard_gateway::{
    Answer, CallerError, ClusterSnapshot, Command, Configuration, ConnectOutcome, ConnectionError, Connector,
    Freshness, IdleState, Login, Outcome, Request, RouteRule, ServerConnection, ServerStatus, ServiceRule,
    Statement, Target, TransactionStatus, clock,
};
use wasabiyard_model::{Incarnation, InstanceId, PriorityClass, Term, Version};
use wasabiyard_platform::{ListedInstance, ListedState};

/// A server that serves everything at once.
#[derive(Debug, Clone, Default)]
struct QuickServer {
    statements: Rc<Cell<u32>>,
}

impl Connector for QuickServer {
    type Connection = Self;

    async fn connect(&self, _target: &Target) -> Result<ConnectOutcome<Self>, ConnectionError> {
        Ok(ConnectOutcome::Open(self.clone(), None))
    }
}

impl ServerConnection for QuickServer {
    async fn run(&mut self, cmd: Command<'_>) -> Result<Answer, ConnectionError> {
        self.statements
            .set(self.statements.get() + u32::from(cmd.is_statement()));
        let digest = format!("d{}", self.statements.get());
        Ok(Answer {
            rows: Vec::new(),
            outcome: Outcome::Done {
                digest: Some(digest.into()),
            },
            transaction_status: TransactionStatus::Idle,
            point: None,
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

/// A fleet of 85 instances with one primary, which started at `started_ms`.
fn snapshot(started_ms: u64) -> ClusterSnapshot {
    let now = clock::now();
    let route = RouteRule {
        name: "renew".into(),
        service: "members".into(),
        freshness: Freshness::Latest,
        timeout: Duration::from_millis(400),
        target_latency: Duration::from_millis(200),
        class: PriorityClass::NORMAL,
        public: true,
    };
    let rule = ServiceRule {
        max_connections: 180,
        sync_replicas: 0,
    };
    let configuration = Configuration {
        version: Version(1),
        routes: [("renew".into(), Arc::new(route))].into(),
        services: [("members".into(), rule)].into(),
        ..Configuration::default()
    };
    let member = |i| ListedInstance {
        id: InstanceId::from(&*format!("i{i:02}")),
        incarnation: Incarnation(1),
        address: "10.0.0.9:7560".to_owned(),
        domain: "riga-a".to_owned(),
        state: ListedState::Live,
    };
    let mut snapshot = ClusterSnapshot {
        configuration: Some(Arc::new(configuration)),
        configuration_as_of: now,
        servers_as_of: now,
        domains_as_of: now,
        members: (0..85).map(member).collect(),
        ..snapshot_with_primary(now)
    };
    let primary = Arc::make_mut(snapshot.servers.get_mut("p").expect("the primary"));
    primary.started_ms = started_ms;
    snapshot
}

/// Statements for a paced primary waited for a turn that came after their time, and their callers had no time left to
/// try elsewhere. Those whose turn comes in time must be served.
#[test]
fn a_statement_is_refused_at_once_if_its_turn_comes_too_late() {
    let executor = Rc::new(LocalExecutor::new());
    let metrics = Metrics::open().expect("metrics");
    let server = QuickServer::default();
    let pool = open_pool(server.clone(), &metrics, &executor);
    pool.update(&Arc::new(snapshot(1)), clock::now());
    let limiter = RateLimiterState::new(InstanceId::from("i01"), 10.0);
    let cx = Rc::new(SessionContext {
        pool: Rc::clone(&pool),
        rate_limiter: Rc::new(OperationRateLimiter::new(limiter, Box::new(|_, _| {}))),
        metrics,
        executor: Rc::clone(&executor),
        usage: None,
        settings: Cell::new(SessionSettings {
            key_lifetime: Duration::from_secs(4),
        }),
    });
    let ticking = Rc::clone(&pool);
    let ticks = async move {
        loop {
            Timer::after(Duration::from_millis(20)).await;
            ticking.tick(clock::now());
        }
    };
    executor.spawn(ticks).detach();
    let run = async {
        let login = Login {
            database: "renew".into(),
            key: "".into(),
        };
        let mut session = Session::open(cx, login).expect("a session");
        let req = Request {
            id: "r1".into(),
            text: "READ 1a4".into(),
            statement: Some(Statement::Read),
        };
        for _ in 0..4 {
            assert_eq!(session.handle(&req).await.failure(), None, "before the restart");
        }
        pool.update(&Arc::new(snapshot(2)), clock::now());
        let (mut served, mut refused) = (0, 0);
        for _ in 0..4 {
            let started = clock::now();
            let answer = session.handle(&req).await;
            let took = clock::now().saturating_since(started);
            match answer.failure() {
                None => served += 1,
                Some(CallerError::Busy) => {
                    refused += 1;
                    assert!(took < Duration::from_millis(100), "refused after {took:?}");
                }
                Some(e) => panic!("{e:?}"),
            }
        }
        assert!(
            refused >= 1,
            "{served} served and {refused} refused right after the restart"
        );
        Timer::after(Duration::from_millis(700)).await;
        assert_eq!(
            session.handle(&req).await.failure(),
            None,
            "the turn has come meanwhile"
        );
    };
    async_io::block_on(executor.run(run));
}
