//! Guards against lost updates between operators, mistyped names that are accepted without effect, and changes of the
//! output format. The platform is the stand-in, reached over HTTP.

use async_io::{Async, block_on};
use gumdrop::Options as _;
use miette::Diagnostic as _;
use serde_json::json;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use wasabiyard_model::{InstanceId, Version};
use wasabiyard_platform::{
    Changes, HttpPlatform, ListedInstance, Object, Platform, PlatformError, Precondition, keys,
};
use wasabiyard_standin::http::{self, Handler as _, HttpRequest};
use wasabiyard_standin::platform::PlatformService;
use wasabiyard_standin::runtime;
use wasabiyardctl::{
    Arguments, CtlError, Report, ServiceState, Settings, Target, apply_manifest, check_manifest, run,
    set_service_state, show_manifest, status_report, timeline_report,
};

const MANIFEST: &str = "[service riga]\ndatabases = riga-1, riga-2\n\n[organisation zoo]\nrate = 500\nburst = 1000\n\
    services = riga\n\n[route pay]\nservice = riga\naccess = write\n";

struct TestPlatform {
    service: Arc<PlatformService>,
    address: SocketAddr,
    client: HttpPlatform,
}

impl TestPlatform {
    fn start() -> Self {
        let listener = Async::<TcpListener>::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
        let address = listener.get_ref().local_addr().unwrap();
        let ex = runtime::spawn(1).unwrap();
        let service = Arc::new(PlatformService::new(1));
        ex.spawn(http::serve(Arc::clone(&ex), listener, Arc::clone(&service)))
            .detach();
        let client = HttpPlatform::new(address, Duration::from_secs(10));
        let platform = Self {
            service,
            address,
            client,
        };
        for n in 1..=3 {
            let id = InstanceId::from(format!("node-{n}").as_str());
            let domain = format!("riga-{}", if n == 3 { "b" } else { "a" });
            let body = json!({
                "id": id, "incarnation": 1, "address": format!("10.0.0.{n}:7000"), "domain": domain, "state": "live",
            });
            platform.control("PUT", &format!("/instances/{id}"), &body.to_string());
        }
        platform
    }

    fn control(&self, method: &str, path: &str, body: &str) {
        let req = HttpRequest {
            method: method.parse().unwrap(),
            path: path.to_owned(),
            query: std::collections::HashMap::new(),
            body: body.to_owned().into(),
        };
        let answer = block_on(self.service.handle(req)).unwrap();
        assert!(answer.status.is_success(), "{}", answer.body);
    }

    fn set_state(&self, target: Target, service_state: ServiceState, name: &str) -> Result<Report, CtlError> {
        block_on(set_service_state(&self.client, target, service_state, name))
    }
}

/// A platform client that runs the command of another operator right after the first read, so that the write that
/// follows conflicts with it.
struct ConflictingPlatform<'a, F> {
    inner: &'a HttpPlatform,
    other_command: F,
    command_ran: AtomicBool,
}

impl<'a, F> ConflictingPlatform<'a, F>
where
    F: Fn() + Send + Sync,
{
    fn new(inner: &'a HttpPlatform, other_command: F) -> Self {
        Self {
            inner,
            other_command,
            command_ran: AtomicBool::new(false),
        }
    }
}

impl<F> Platform for ConflictingPlatform<'_, F>
where
    F: Fn() + Send + Sync,
{
    async fn get(&self, key: &str) -> Result<Option<Object>, PlatformError> {
        let object = self.inner.get(key).await;
        if !self.command_ran.swap(true, Ordering::SeqCst) {
            (self.other_command)();
        }
        object
    }

    async fn put(
        &self,
        key: &str,
        expect: Precondition,
        value: &serde_json::Value,
    ) -> Result<Version, PlatformError> {
        self.inner.put(key, expect, value).await
    }

    async fn delete(&self, key: &str, version: Version) -> Result<(), PlatformError> {
        self.inner.delete(key, version).await
    }

    async fn list(&self, prefix: &str) -> Result<Changes, PlatformError> {
        self.inner.list(prefix).await
    }

    async fn watch(&self, prefix: &str, since: u64, timeout: Duration) -> Result<Changes, PlatformError> {
        self.inner.watch(prefix, since, timeout).await
    }

    async fn instances(&self) -> Result<Vec<ListedInstance>, PlatformError> {
        self.inner.instances().await
    }
}

fn message_and_help(e: &CtlError) -> String {
    format!(
        "{e}\nhelp: {}",
        e.help().map(|h| h.to_string()).unwrap_or_default()
    )
}

fn join_outputs(outputs: &[String]) -> String {
    outputs.join("\n----\n")
}

#[test]
fn concurrent_manifest_change_fails_and_reports_both_versions() {
    let platform = TestPlatform::start();
    block_on(apply_manifest(&platform.client, MANIFEST, None)).unwrap();
    let winner = MANIFEST.replace("500", "600");
    let other_command = || {
        block_on(apply_manifest(&platform.client, &winner, None)).unwrap();
    };
    let race = ConflictingPlatform::new(&platform.client, other_command);
    let conflict = block_on(apply_manifest(&race, &MANIFEST.replace("500", "700"), None)).unwrap_err();
    insta::assert_snapshot!(message_and_help(&conflict), @"
    another operator changed the manifest: this command started from version 1, and version 2 is in force now
    help: review the version in force before you repeat the command
    ");
    let shown = block_on(show_manifest(&platform.client)).unwrap();
    assert!(shown.text.contains("rate = 600"), "{}", shown.text);
}

#[test]
fn concurrent_service_change_fails_and_reports_both_versions() {
    let platform = TestPlatform::start();
    let other_command = || {
        platform
            .set_state(Target::Instance, ServiceState::Out, "node-1")
            .unwrap();
    };
    let race = ConflictingPlatform::new(&platform.client, other_command);
    let conflict = block_on(set_service_state(
        &race,
        Target::FailureDomain,
        ServiceState::Out,
        "riga-b",
    ))
    .unwrap_err();
    insta::assert_snapshot!(message_and_help(&conflict), @"
    another operator changed what is out of service: this command started from version 0, and version 1 is in force now
    help: review the version in force before you repeat the command
    ");
    let again = platform
        .set_state(Target::FailureDomain, ServiceState::Out, "riga-b")
        .unwrap();
    assert_eq!(
        again.json["instances"],
        json!(["node-1"]),
        "the change that succeeded is kept"
    );
}

#[test]
fn lost_response_is_resolved_by_reading_what_is_in_force() {
    let platform = TestPlatform::start();
    platform.control("POST", "/faults", &json!({ "lost_answers": 1.0 }).to_string());
    let applied = block_on(apply_manifest(&platform.client, MANIFEST, None)).unwrap();
    assert_eq!(applied.json["version"], 1);
    let out = platform
        .set_state(Target::FailureDomain, ServiceState::Out, "riga-b")
        .unwrap();
    let in_force = block_on(platform.client.get(keys::OUT_OF_SERVICE))
        .unwrap()
        .unwrap();
    assert_eq!(out.json["version"], json!(in_force.version));
    assert_eq!(in_force.value["domains"], json!(["riga-b"]));
}

#[test]
fn manifest_commands_keep_their_form() {
    let platform = TestPlatform::start();
    let apply_manifest = |text: &str, expect| block_on(apply_manifest(&platform.client, text, expect));
    let none = block_on(show_manifest(&platform.client)).unwrap_err();
    let invalid = check_manifest(&MANIFEST.replace("500", "many")).unwrap_err();
    let first = apply_manifest(MANIFEST, None).unwrap();
    let changed = MANIFEST
        .replace("500", "600")
        .replace("[route pay]", "[route book]");
    let second = apply_manifest(&changed, Some(1)).unwrap();
    let same = apply_manifest(&changed, None).unwrap();
    let stale = apply_manifest(MANIFEST, Some(1)).unwrap_err();
    let shown = block_on(show_manifest(&platform.client)).unwrap();
    insta::assert_snapshot!(join_outputs(&[
        message_and_help(&none),
        check_manifest(MANIFEST).unwrap().text,
        message_and_help(&invalid),
        first.text,
        second.text,
        second.json.to_string(),
        same.text,
        message_and_help(&stale),
        stale.to_json().to_string(),
        shown.text,
    ]));
}

#[test]
fn service_commands_keep_their_form_and_refuse_what_cannot_be_meant() {
    let platform = TestPlatform::start();
    let out = platform
        .set_state(Target::FailureDomain, ServiceState::Out, "riga-a")
        .unwrap();
    let again = platform
        .set_state(Target::FailureDomain, ServiceState::Out, "riga-a")
        .unwrap();
    let unknown = platform
        .set_state(Target::FailureDomain, ServiceState::Out, "rige-b")
        .unwrap_err();
    let last = platform
        .set_state(Target::FailureDomain, ServiceState::Out, "riga-b")
        .unwrap_err();
    let back = platform
        .set_state(Target::FailureDomain, ServiceState::In, "riga-a")
        .unwrap();
    let instance = platform
        .set_state(Target::Instance, ServiceState::Out, "node-2")
        .unwrap();
    insta::assert_snapshot!(join_outputs(&[
        out.text.clone(),
        out.render(true),
        again.text,
        message_and_help(&unknown),
        message_and_help(&last),
        back.text,
        instance.text,
    ]));
}

#[test]
fn status_shows_where_instances_disagree() {
    let member = |n: u8, state: &str| {
        json!({
            "instance": format!("node-{n}"), "incarnation": 1, "state": state, "failure_domain": "riga-a",
            "address": format!("10.0.0.{n}:7000"), "in_service": true,
        })
    };
    let page = |n: u8, second: &str, term: Option<u64>| {
        json!({
            "instance": format!("node-{n}"), "admission": "open", "manifest_version": 4, "out_of_service_version": 0,
            "relay": n == 1, "tick_micros": 80, "members": [member(1, "alive"), member(2, second)],
            "databases": [{
                "database": "riga-1", "home": "node-1", "fallback": "", "term": term, "primary": term.map(|_| "s1"),
            }],
        })
    };
    let address = |n: u8| SocketAddr::from(([10, 0, 0, n], 7001));
    let refused = || CtlError::AdminRequest {
        address: address(3),
        reason: "connection refused".into(),
    };
    let answers = vec![
        (address(1), Ok(page(1, "suspect", Some(3)).to_string())),
        (address(2), Ok(page(2, "alive", None).to_string())),
        (address(3), Err(refused())),
    ];
    let shown = status_report(answers).unwrap();
    let none = status_report(vec![(address(3), Err(refused()))]).unwrap_err();
    insta::assert_snapshot!(join_outputs(&[shown.text, message_and_help(&none)]));
}

#[test]
fn timeline_shows_events_of_all_instances_in_causal_order() {
    let address = SocketAddr::from(([10, 0, 0, 1], 7001));
    let lines = [
        r#"{"stamp":1785000000000002,"instance":"node-1","number":7,"event":"home-moved","database":"riga-1","from":"node-2","to":"node-1"}"#,
        r#"{"stamp":1785000000000001,"instance":"node-3","number":2,"event":"instance-changed","subject":"node-2","incarnation":5,"state":"dead"}"#,
    ];
    let answers = lines
        .iter()
        .map(|line| (address, Ok((*line).to_owned())))
        .collect();
    insta::assert_snapshot!(timeline_report(answers).unwrap().text);
}

#[test]
fn options_take_precedence_over_the_file() {
    let file = tempfile::NamedTempFile::new().unwrap();
    std::fs::write(
        file.path(),
        "[platform]\naddress = 10.0.0.1:80\ntimeout = 2s\n[admin]\naddresses = 10.0.0.2:81",
    )
    .unwrap();
    let config = file.path().to_str().unwrap();
    let args =
        Arguments::parse_args_default(&["--config", config, "--platform", "10.0.0.9:80", "status"]).unwrap();
    let settings = Settings::load(&args).unwrap();
    assert_eq!(settings.platform().unwrap().to_string(), "10.0.0.9:80");
    assert_eq!(settings.admin().unwrap()[0].to_string(), "10.0.0.2:81");
    let malformed = Settings::parse("[platform]\ntimeout = soon").unwrap_err();
    assert_eq!(
        message_and_help(&malformed),
        "[platform] timeout = soon: not a duration such as 500ms or 5s\nhelp: write a duration such as 500ms or 5s"
    );
    let platform = TestPlatform::start();
    let address = platform.address.to_string();
    let args = Arguments::parse_args_default(&["--platform", &address, "domain", "out", "riga-a"]).unwrap();
    block_on(run(&args)).unwrap();
    let args = Arguments::parse_args_default(&["domain"]).unwrap();
    let incomplete = block_on(run(&args)).unwrap_err();
    assert!(matches!(
        incomplete,
        CtlError::MissingSetting { .. } | CtlError::MissingCommand { .. }
    ));
}

#[test]
fn failed_command_has_exit_status_1() {
    let platform = TestPlatform::start();
    let ctl = |args: &[&str]| {
        let mut command = std::process::Command::new(env!("CARGO_BIN_EXE_wasabiyardctl"));
        let address = platform.address.to_string();
        command
            .args(["--platform", &address])
            .args(args)
            .output()
            .unwrap()
    };
    let failed = ctl(&["--json", "domain", "out", "rige-b"]);
    assert_eq!(failed.status.code(), Some(1));
    let error: serde_json::Value = serde_json::from_slice(&failed.stdout).unwrap();
    assert_eq!(error["help"], "known are: riga-a, riga-b");
    let failed = ctl(&["manifest", "show"]);
    assert_eq!(failed.status.code(), Some(1));
    assert!(failed.stdout.is_empty() && !failed.stderr.is_empty());
    assert_eq!(ctl(&["instance", "out", "node-1"]).status.code(), Some(0));
}
