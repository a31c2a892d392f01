//! What cannot be served in its time is refused at once, with a time to come back that spreads the callers.

#[path = "support/site.rs"]
mod site;
mod support;

use async_executor::LocalExecutor;
use async_io::Timer;
use site::{Site, open_context};
use std::rc::Rc;
use std::time::Duration;
use wasabiyard_gateway::traffic::{RetryTimes, Session};
use wasabiyard_gateway::{Answer, CallerError, Login, Outcome, OverloadOrder, Request, Statement, clock};
use wasabiyard_model::{PriorityClass, Time};

const START: Time = Time::from_millis(20_000);

/// All callers that an instance refused within a pause were told the same time, returned together, and were refused again.
#[test]
fn callers_of_one_pause_come_back_at_different_times() {
    for class in PriorityClass::all() {
        let mut times = RetryTimes::default();
        let pause_until = START + Duration::from_millis(900);
        let mut latest = START;
        for refusal in 0..60 {
            let now = START + Duration::from_millis(refusal * 10);
            let back = now + times.next(class, pause_until, now);
            assert!(
                back >= pause_until && back > latest,
                "refusal {refusal} of {class:?}"
            );
            assert!(
                back < pause_until + Duration::from_secs(1),
                "refusal {refusal} of {class:?}"
            );
            latest = back;
        }
        let next_pause = pause_until + Duration::from_millis(500);
        let back = times.next(class, next_pause, pause_until);
        assert_eq!(
            back,
            Duration::from_millis(500),
            "a new pause starts a new spread"
        );
    }
}

fn retry_after(answer: &Answer) -> Option<u64> {
    let Outcome::Error { detail, .. } = &answer.outcome else {
        return None;
    };
    let text = detail.split("retry after ").nth(1)?;
    text.strip_suffix(" ms")?.parse().ok()
}

/// Statements of a paused class waited for their whole time, to be refused without a time to come back; or went to the full
/// server one after the other.
#[test]
fn a_paused_class_is_refused_with_a_time_to_come_back() {
    let executor = Rc::new(LocalExecutor::new());
    let site = Site::default();
    site.full.set(true);
    let cx = open_context(&site, OverloadOrder::ByRank, &executor);
    let ticking = Rc::clone(&cx);
    executor
        .spawn(async move {
            loop {
                Timer::after(Duration::from_millis(20)).await;
                ticking.pool.tick(clock::now());
            }
        })
        .detach();
    let statement = async |route: &str| {
        let login = Login {
            database: route.into(),
            key: "".into(),
        };
        let mut session = Session::open(Rc::clone(&cx), login).expect("a session");
        let request = Request {
            id: "r1".into(),
            text: "READ 1a4".into(),
            statement: Some(Statement::Read),
        };
        let answer = session.handle(&request).await;
        assert_eq!(answer.failure(), Some(CallerError::Busy), "{answer:?}");
        answer
    };
    async_io::block_on(executor.run(async {
        // Until the pause of the class exceeds what a statement may wait.
        for _ in 0..12 {
            statement("latest").await;
        }
        let sent = site.load("p").statements;
        let answers = [
            statement("latest").await,
            statement("latest").await,
            statement("latest").await,
        ];
        let times: Vec<_> = answers.iter().map(retry_after).collect();
        assert!(times.iter().all(Option::is_some), "{answers:?}");
        assert!(
            site.load("p").statements <= sent + 3,
            "the server was asked again"
        );
    }));
}
