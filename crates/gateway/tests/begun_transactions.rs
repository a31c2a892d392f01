//! Transactions that have begun at a server that refuses work: they go before new work, and new ones wait like it.

#[path = "support/site.rs"]
mod site;
mod support;

use async_executor::LocalExecutor;
use async_io::Timer;
use site::{Site, open_context};
use std::rc::Rc;
use std::time::Duration;
use wasabiyard_gateway::traffic::{Session, SessionContext};
use wasabiyard_gateway::{Answer, Login, OverloadOrder, Request, Statement, clock};

struct Caller(Session<Site>);

impl Caller {
    fn open(cx: &Rc<SessionContext<Site>>, route: &str) -> Self {
        let login = Login {
            database: route.into(),
            key: "".into(),
        };
        Self(Session::open(Rc::clone(cx), login).expect("a session"))
    }

    async fn send(&mut self, id: &str, statement: Statement) -> Answer {
        let request = Request {
            id: id.into(),
            text: "READ 1a4".into(),
            statement: Some(statement),
        };
        self.0.handle(&request).await
    }

    async fn begin(&mut self) {
        let answer = self.send("begin", Statement::Begin { read_only: false }).await;
        assert_eq!(answer.failure(), None);
    }
}

/// The site, with what `scenario` does on it while the pool is ticked.
fn run<F>(scenario: F) -> Site
where
    F: AsyncFnOnce(&Site, &Rc<SessionContext<Site>>, &Rc<LocalExecutor<'static>>),
{
    let executor = Rc::new(LocalExecutor::new());
    let site = Site::default();
    let cx = open_context(&site, OverloadOrder::ByRank, &executor);
    let pool = Rc::clone(&cx.pool);
    executor
        .spawn(async move {
            loop {
                Timer::after(Duration::from_millis(20)).await;
                pool.tick(clock::now());
            }
        })
        .detach();
    async_io::block_on(executor.run(scenario(&site, &cx, &executor)));
    site
}

fn position(site: &Site, id: &str) -> usize {
    let received = site.received.borrow();
    let position = received.iter().rposition(|r| r == id);
    position.unwrap_or_else(|| panic!("{id} is not in {received:?}"))
}

/// A transaction that was refused midway found its place taken by new statements of the same instance.
#[test]
fn a_refused_statement_of_a_transaction_goes_before_new_work() {
    let site = run(async |site, cx, executor| {
        let mut transaction = Caller::open(cx, "latest");
        transaction.begin().await;
        let answer = transaction.send("first", Statement::Read).await;
        assert_eq!(answer.failure(), None);
        site.full.set(true);
        let new_work = {
            let (site, cx) = (site.clone(), Rc::clone(cx));
            executor.spawn(async move {
                while site.received.borrow().last().is_none_or(|id| id != "second") {
                    Timer::after(Duration::from_millis(1)).await;
                }
                site.full.set(false);
                let new = ["new1", "new2", "new3"].map(|id| {
                    let mut caller = Caller::open(&cx, "latest");
                    async move { caller.send(id, Statement::Read).await }
                });
                for statement in new {
                    let answer = statement.await;
                    assert_eq!(answer.failure(), None, "{answer:?}");
                }
            })
        };
        let answer = transaction.send("second", Statement::Read).await;
        assert_eq!(answer.failure(), None, "{answer:?}");
        transaction.send("rollback", Statement::Rollback).await;
        new_work.await;
    });
    let received = site.received.borrow().clone();
    assert_eq!(site.load("p").statements, 6, "{received:?}");
    assert_eq!(
        received.iter().filter(|id| *id == "second").count(),
        2,
        "{received:?}"
    );
    assert!(
        position(&site, "second") < position(&site, "new1"),
        "{received:?}"
    );
}

/// A transaction must wait with its first statement, when nothing is lost yet, for as long as new work of its class does.
#[test]
fn the_first_statement_of_a_transaction_waits_as_new_work_does() {
    run(async |site, cx, _| {
        let mut later = Caller::open(cx, "latest");
        later.begin().await;
        let answer = later.send("later1", Statement::Read).await;
        assert_eq!(answer.failure(), None);
        let mut first = Caller::open(cx, "latest");
        first.begin().await;
        site.full.set(true);
        let started = clock::now();
        let answer = first.send("first", Statement::Read).await;
        let first_took = clock::now().saturating_since(started);
        let started = clock::now();
        let refused = later.send("later2", Statement::Read).await;
        let later_took = clock::now().saturating_since(started);
        assert!(answer.failure().is_some() && refused.failure().is_some());
        // A pause after one refusal is 60 ms and more; a statement of a begun transaction waits 40 ms.
        assert!(first_took >= Duration::from_millis(60), "{first_took:?}");
        assert!(later_took >= Duration::from_millis(40), "{later_took:?}");
        let received = site.received.borrow().clone();
        assert_eq!(received, ["later1", "first", "first", "later2", "later2"]);
    });
}
