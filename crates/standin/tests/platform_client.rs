//! The HTTP client against the platform stand-in.

use async_io::{Async, block_on};
use serde_json::json;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::sync::Arc;
use std::time::Duration;
use wasabiyard_model::{Incarnation, InstanceId, Version};
use wasabiyard_platform::{HttpPlatform, ListedInstance, ListedState, Platform, PlatformError, Precondition};
use wasabiyard_standin::http::{self, Handler, HttpRequest};
use wasabiyard_standin::platform::PlatformService;
use wasabiyard_standin::runtime;

struct TestPlatform {
    service: Arc<PlatformService>,
    address: SocketAddr,
    client: HttpPlatform,
}

fn listen() -> (Async<TcpListener>, SocketAddr) {
    let listener = Async::<TcpListener>::bind((Ipv4Addr::LOCALHOST, 0)).expect("a free port");
    let address = listener.get_ref().local_addr().expect("bound");
    (listener, address)
}

impl TestPlatform {
    fn start() -> Self {
        let (listener, address) = listen();
        let ex = runtime::spawn(1).expect("threads");
        let service = Arc::new(PlatformService::new(1));
        ex.spawn(http::serve(Arc::clone(&ex), listener, Arc::clone(&service)))
            .detach();
        Self {
            service,
            address,
            client: HttpPlatform::new(address, Duration::from_secs(10)),
        }
    }

    fn control(&self, method: &str, path: &str, body: &str) -> serde_json::Value {
        let req = HttpRequest {
            method: method.parse().expect("a method"),
            path: path.to_owned(),
            query: std::collections::HashMap::new(),
            body: body.to_owned().into(),
        };
        let answer = block_on(self.service.handle(req)).expect("control calls are answered");
        assert!(answer.status.is_success(), "{}", answer.body);
        serde_json::from_str(&answer.body).expect("JSON")
    }
}

/// Guards against two writers that both succeed, and against keys that the client does not escape.
#[test]
fn conditional_updates_let_one_writer_win() {
    let platform = TestPlatform::start();
    block_on(async {
        let client = &platform.client;
        let key = "groups/rīga 1?&%";
        assert_eq!(client.get(key).await.expect("read"), None);
        let first = client.put(key, Precondition::Absent, &json!({"term": 1})).await;
        let first = first.expect("created");
        let conflict = client.put(key, Precondition::Absent, &json!({"term": 9})).await;
        assert!(matches!(conflict, Err(PlatformError::Conflict { found, .. }) if found == first));
        let second = client
            .put(key, Precondition::Version(first), &json!({"term": 2}))
            .await;
        let second = second.expect("updated");
        assert!(second > first);
        let stale = client.delete(key, first).await;
        assert!(matches!(stale, Err(PlatformError::Conflict { .. })));
        client.delete(key, second).await.expect("deleted");
        let again = client.put(key, Precondition::Absent, &json!(1)).await;
        assert!(again.expect("made again") > second, "versions of an object rise");
    });
}

/// Guards against a watch that misses a change or a deletion, and against one that counts as many calls.
#[test]
fn a_watch_returns_changes_after_its_revision() {
    let platform = TestPlatform::start();
    block_on(async {
        let client = &platform.client;
        client
            .put("a/1", Precondition::Absent, &json!(1))
            .await
            .expect("write");
        client
            .put("b/1", Precondition::Absent, &json!(1))
            .await
            .expect("write");
        let listed = client.list("a/").await.expect("list");
        assert_eq!(listed.objects.len(), 1);
        let watch = client.watch("a/", listed.revision, Duration::from_mins(1));
        let write = async {
            while platform.control("GET", "/calls", "")["waiting"] != 1 {
                async_io::Timer::after(Duration::from_millis(5)).await;
            }
            client
                .delete("a/1", listed.objects[0].version)
                .await
                .expect("delete");
            futures_lite::future::pending().await
        };
        let changes = futures_lite::future::or(watch, write).await.expect("watch");
        assert_eq!(changes.objects.len(), 1);
        assert_eq!(changes.objects[0].value, json!(null));
        assert_eq!(platform.control("GET", "/calls", "")["watches"], 1);
        let quiet = client
            .watch("a/", changes.revision, Duration::from_millis(20))
            .await;
        assert_eq!(quiet.expect("watch").objects, []);
    });
}

/// Guards against a lost answer that looks like a refusal: the change took effect.
#[test]
fn a_lost_answer_is_unknown_and_the_change_is_there() {
    let platform = TestPlatform::start();
    platform.control("POST", "/faults", r#"{"lost_answers": 1.0}"#);
    block_on(async {
        let lost = platform.client.put("a", Precondition::Absent, &json!(7)).await;
        assert!(matches!(lost, Err(PlatformError::Unknown)), "{lost:?}");
        let object = platform.client.get("a").await.expect("read").expect("exists");
        assert_eq!(object.value, json!(7));
        let slow = r#"{"lost_answers": 0.0, "slow_ms": 3600000}"#;
        platform.control("POST", "/faults", slow);
        let hasty = HttpPlatform::new(platform.address, Duration::from_secs(1));
        let timeout = hasty.put("b", Precondition::Absent, &json!(7)).await;
        assert!(matches!(timeout, Err(PlatformError::Unknown)), "{timeout:?}");
    });
}

/// Guards against a refused call that looks like an unknown outcome.
#[test]
fn refused_calls_are_unavailable() {
    let platform = TestPlatform::start();
    let unavailable =
        |result: &Result<Version, PlatformError>| matches!(result, Err(PlatformError::Unavailable { .. }));
    block_on(async {
        platform.control("POST", "/faults", r#"{"outage": true}"#);
        let outage = platform.client.put("a", Precondition::Absent, &json!(1)).await;
        assert!(unavailable(&outage), "{outage:?}");
        platform.control("POST", "/faults", r#"{"outage": false, "writes_per_second": 0}"#);
        let ceiling = platform.client.put("a", Precondition::Absent, &json!(1)).await;
        assert!(unavailable(&ceiling), "{ceiling:?}");
        let (listener, closed) = listen();
        drop(listener);
        let nobody = HttpPlatform::new(closed, Duration::from_secs(10));
        let connect = nobody.put("a", Precondition::Absent, &json!(1)).await;
        assert!(unavailable(&connect), "{connect:?}");
        assert_eq!(platform.client.get("a").await.expect("read"), None);
    });
}

/// Guards against a list of instances that does not lag: the daemon must not rely on a fresh one.
#[test]
fn the_list_of_instances_lags() {
    let platform = TestPlatform::start();
    let instance = ListedInstance {
        id: InstanceId::from("i-1"),
        incarnation: Incarnation(3),
        address: "127.0.0.1:1".to_owned(),
        domain: "a".to_owned(),
        state: ListedState::Live,
    };
    let read = || block_on(platform.client.instances()).expect("list");
    let lag = |ms: u32| platform.control("POST", "/faults", &format!("{{\"listing_lag_ms\": {ms}}}"));
    lag(3_600_000);
    platform.control("PUT", "/instances/i-1", &json!(instance).to_string());
    assert_eq!(read(), []);
    lag(0);
    assert_eq!(read(), [instance]);
    platform.control("DELETE", "/instances/i-1", "");
    assert_eq!(read(), []);
}
