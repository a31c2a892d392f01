//! [`HttpPlatform`], the daemon's platform client, against the platform stand-in.

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
        let response = block_on(self.service.handle(req)).expect("control requests get a response");
        assert!(response.status.is_success(), "{}", response.body);
        serde_json::from_str(&response.body).expect("JSON")
    }
}

/// Guards against two writers that both succeed with the same expected version, and against a client that does not
/// percent-encode keys.
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
        assert!(
            again.expect("created again") > second,
            "versions of an object rise"
        );
    });
}

/// Guards against a watch that misses a deletion or returns changes of another prefix, and against a client that polls
/// instead of waiting in one call.
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

/// Guards against a client that reports a lost response to a write as a failure although the write took effect.
#[test]
fn a_lost_response_is_an_unknown_outcome_and_the_write_took_effect() {
    let platform = TestPlatform::start();
    platform.control("POST", "/faults", r#"{"lost_answers": 1.0}"#);
    block_on(async {
        let lost = platform.client.put("a", Precondition::Absent, &json!(7)).await;
        assert!(matches!(lost, Err(PlatformError::Unknown)), "{lost:?}");
        let object = platform.client.get("a").await.expect("read").expect("exists");
        assert_eq!(object.value, json!(7));
        let slow = r#"{"lost_answers": 0.0, "slow_ms": 3600000}"#;
        platform.control("POST", "/faults", slow);
        let impatient = HttpPlatform::new(platform.address, Duration::from_secs(1));
        let timeout = impatient.put("b", Precondition::Absent, &json!(7)).await;
        assert!(matches!(timeout, Err(PlatformError::Unknown)), "{timeout:?}");
    });
}

/// Guards against a client that reports an unknown outcome for a write that was rejected and had no effect.
#[test]
fn rejected_calls_are_unavailable() {
    let platform = TestPlatform::start();
    let unavailable =
        |result: &Result<Version, PlatformError>| matches!(result, Err(PlatformError::Unavailable { .. }));
    block_on(async {
        platform.control("POST", "/faults", r#"{"outage": true}"#);
        let outage = platform.client.put("a", Precondition::Absent, &json!(1)).await;
        assert!(unavailable(&outage), "{outage:?}");
        platform.control("POST", "/faults", r#"{"outage": false, "writes_per_second": 0}"#);
        let rate_limited = platform.client.put("a", Precondition::Absent, &json!(1)).await;
        assert!(unavailable(&rate_limited), "{rate_limited:?}");
        let (listener, closed) = listen();
        drop(listener);
        let unreachable = HttpPlatform::new(closed, Duration::from_secs(10));
        let connect = unreachable.put("a", Precondition::Absent, &json!(1)).await;
        assert!(unavailable(&connect), "{connect:?}");
        assert_eq!(platform.client.get("a").await.expect("read"), None);
    });
}

/// Guards against a stand-in whose list of instances is always fresh, which would hide a daemon that relies on that.
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
