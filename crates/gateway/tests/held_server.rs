//! A connection holder and a server that fails for a while, in memory.

#[path = "support/site.rs"]
mod site;
mod support;

use arc_swap::ArcSwap;
use async_executor::LocalExecutor;
use async_io::Timer;
use site::{Site, open_context, snapshot};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use wasabiyard_gateway::sharing::{ConnectionSharing, SharingRule};
use wasabiyard_gateway::traffic::{Session, SessionContext};
use wasabiyard_gateway::{Answer, ClusterSnapshot, Login, OverloadOrder, Request, Statement, clock};
use wasabiyard_model::{Incarnation, InstanceId};
use wasabiyard_platform::{ListedInstance, ListedState};

/// Longer than a failure shows that a server is unreachable.
const RETRY_PAUSE: Duration = Duration::from_millis(1_300);

fn listed(id: &str, state: ListedState) -> ListedInstance {
    ListedInstance {
        id: InstanceId::from(id),
        incarnation: Incarnation(1),
        address: "127.0.0.1:1".to_owned(),
        domain: "a".to_owned(),
        state,
    }
}

/// A fleet whose only live instance is this one, so that it holds every server.
fn holder_snapshot() -> Arc<ClusterSnapshot> {
    let members = vec![
        listed("i1", ListedState::Live),
        listed("i2", ListedState::Leaving),
    ];
    Arc::new(ClusterSnapshot {
        members,
        ..snapshot(OverloadOrder::Shared)
    })
}

fn open_holder(site: &Site, executor: &Rc<LocalExecutor<'static>>) -> Rc<SessionContext<Site>> {
    let shared = holder_snapshot();
    let cx = open_context(site, OverloadOrder::Shared, executor);
    let rule = SharingRule {
        enabled: true,
        min_instances: 1,
    };
    let published = Arc::new(ArcSwap::new(Arc::clone(&shared)));
    let own = listed("i1", ListedState::Live);
    let sharing = ConnectionSharing::new(rule, &own, published, Rc::clone(executor));
    cx.pool.enable_sharing(sharing);
    cx.pool.update(&shared, clock::now());
    cx
}

async fn read(cx: &Rc<SessionContext<Site>>, id: &str) -> Answer {
    let login = Login {
        database: "latest".into(),
        key: "".into(),
    };
    let mut session = Session::open(Rc::clone(cx), login).expect("a session");
    let request = Request {
        id: id.into(),
        text: "READ 1a4".into(),
        statement: Some(Statement::Read),
    };
    session.handle(&request).await
}

/// After two failures a holder refused each statement that it had let through to try its server, so it never used the
/// server again.
#[test]
fn a_holder_uses_its_server_again_after_failures() {
    let executor = Rc::new(LocalExecutor::new());
    let site = Site::default();
    let cx = open_holder(&site, &executor);
    async_io::block_on(executor.run(async {
        assert_eq!(read(&cx, "before").await.failure(), None);
        site.failing.set(true);
        for i in 0..2 {
            let answer = read(&cx, &format!("failing{i}")).await;
            assert!(answer.failure().is_some(), "{answer:?}");
        }
        site.failing.set(false);
        Timer::after(RETRY_PAUSE).await;
        // The view lease of the first snapshot may be over.
        cx.pool.update(&holder_snapshot(), clock::now());
        let answer = read(&cx, "after").await;
        assert_eq!(answer.failure(), None, "{answer:?}");
    }));
}
