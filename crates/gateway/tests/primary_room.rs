//! What may use the primary where the configuration tells its priorities apart: a pool with three servers in memory.

#[path = "support/site.rs"]
mod site;
mod support;

use async_executor::LocalExecutor;
use async_io::Timer;
use site::{Site, open_context};
use std::rc::Rc;
use std::time::Duration;
use wasabiyard_gateway::traffic::{ReplicaLag, Session, primary_connection_limit, wait_for_replica};
use wasabiyard_gateway::{Login, OverloadOrder, Request, Statement};
use wasabiyard_model::{PriorityClass, Time};

/// Runs one statement on each of `routes` one after the other, then one on each of `at_once` at the same time.
fn run(overload_order: OverloadOrder, routes: &[&'static str], at_once: &[&'static str]) -> Site {
    let executor = Rc::new(LocalExecutor::new());
    let site = Site::default();
    let cx = open_context(&site, overload_order, &executor);
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
