//! A transaction whose server is full: its caller must hear of it while it can still try elsewhere.

mod support;

use async_executor::LocalExecutor;
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
    Freshness, IdleState, Login, Request, RouteRule, ServerConnection, ServerStatus, ServiceRule, Statement,
    Target, TransactionStatus, clock,
};
use wasabiyard_model::{InstanceId, PriorityClass, Term, Version};

const ROUTE_TIMEOUT: Duration = Duration::from_secs(1);

/// A server that starts transactions and refuses every statement in them, and counts what it was sent.
#[derive(Debug, Clone, Default)]
struct FullServer {
    statements: Rc<Cell<u32>>,
    rollbacks: Rc<Cell<u32>>,
}

impl Connector for FullServer {
    type Connection = Self;

    async fn connect(&self, _target: &Target) -> Result<ConnectOutcome<Self>, ConnectionError> {
        Ok(ConnectOutcome::Open(self.clone(), None))
    }
}

impl ServerConnection for FullServer {
    async fn run(&mut self, cmd: Command<'_>) -> Result<Answer, ConnectionError> {
        Ok(match cmd {
            Command::Begin { .. } => Answer::local(TransactionStatus::InTransaction),
            Command::Rollback => {
                self.rollbacks.set(self.rollbacks.get() + 1);
                Answer::local(TransactionStatus::Idle)
            }
            _ => {
                self.statements.set(self.statements.get() + 1);
                Answer::error(CallerError::Busy, "full", TransactionStatus::InTransaction)
            }
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

fn snapshot() -> ClusterSnapshot {
    let now = clock::now();
    let route = RouteRule {
        name: "renew".into(),
        service: "members".into(),
        freshness: Freshness::Latest,
        timeout: ROUTE_TIMEOUT,
        target_latency: Duration::from_millis(200),
        class: PriorityClass::NORMAL,
        public: true,
    };
    let configuration = Configuration {
        version: Version(1),
        routes: [("renew".into(), Arc::new(route))].into(),
        services: [(
            "members".into(),
            ServiceRule {
                max_connections: 180,
                sync_replicas: 0,
            },
        )]
        .into(),
        ..Configuration::default()
    };
    ClusterSnapshot {
        configuration: Some(Arc::new(configuration)),
        configuration_as_of: now,
        servers_as_of: now,
        domains_as_of: now,
        ..snapshot_with_primary(now)
    }
}

fn request(text: &str, statement: Statement) -> Request {
    Request {
        id: "r1".into(),
        text: text.into(),
        statement: Some(statement),
    }
}

/// The statement was repeated until the route's time was over, which was also the end of its caller's time: the caller got
/// no answer, and the transaction kept one of the server's few connections.
#[test]
fn a_refused_statement_of_a_transaction_is_answered_while_its_caller_can_still_retry() {
    let executor = Rc::new(LocalExecutor::new());
    let metrics = Metrics::open().expect("metrics");
    let server = FullServer::default();
    let pool = open_pool(server.clone(), &metrics, &executor);
    pool.update(&Arc::new(snapshot()), clock::now());
    let limiter = RateLimiterState::new(InstanceId::from("i1"), 10.0);
    let cx = Rc::new(SessionContext {
        pool,
        rate_limiter: Rc::new(OperationRateLimiter::new(limiter, Box::new(|_, _| {}))),
        metrics,
        executor: Rc::clone(&executor),
        usage: None,
        settings: Cell::new(SessionSettings {
            key_lifetime: Duration::from_secs(4),
        }),
    });
    let run = async {
        let login = Login {
            database: "renew".into(),
            key: "".into(),
        };
        let mut session = Session::open(cx, login).expect("a session");
        let begin = session
            .handle(&request("BEGIN", Statement::Begin { read_only: false }))
            .await;
        assert_eq!(begin.failure(), None);
        let started = clock::now();
        let answer = session.handle(&request("READ 1a4", Statement::Read)).await;
        let took = clock::now().saturating_since(started);
        assert_eq!(answer.failure(), Some(CallerError::Busy));
        assert!(took <= ROUTE_TIMEOUT.mul_f64(0.5), "answered after {took:?}");
        session.handle(&request("ROLLBACK", Statement::Rollback)).await;
        futures_lite::future::yield_now().await;
    };
    async_io::block_on(executor.run(run));
    let attempts = server.statements.get();
    assert!((2..=6).contains(&attempts), "{attempts} attempts");
    assert_eq!(server.rollbacks.get(), 1);
}
