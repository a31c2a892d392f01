//! Guards against operators who overwrite each other unnoticed, names that have no effect, and outputs that change their
//! form. The platform is the stand-in over HTTP.

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
    Arguments, Change, CtlError, Report, Settings, Subject, apply, change_service, check, run, show,
    status_report, timeline_report,
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

    fn change(&self, subject: Subject, change: Change, name: &str) -> Result<Report, CtlError> {
        block_on(change_service(&self.client, subject, change, name))
    }
}

/// Lets another operator finish a whole command between the first read and the write of this one.
struct Interleaved<'a, F> {
    inner: &'a HttpPlatform,
    other: F,
    done: AtomicBool,
}

impl<'a, F> Interleaved<'a, F>
where
    F: Fn() + Send + Sync,
{
    fn new(inner: &'a HttpPlatform, other: F) -> Self {
        Self {
            inner,
            other,
            done: AtomicBool::new(false),
        }
    }
}

impl<F> Platform for Interleaved<'_, F>
where
    F: Fn() + Send + Sync,
{
    async fn get(&self, key: &str) -> Result<Option<Object>, PlatformError> {
        let object = self.inner.get(key).await;
        if !self.done.swap(true, Ordering::SeqCst) {
            (self.other)();
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

fn explained(e: &CtlError) -> String {
    format!(
        "{e}\nhelp: {}",
        e.help().map(|h| h.to_string()).unwrap_or_default()
    )
}

fn lines(outputs: &[String]) -> String {
    outputs.join("\n----\n")
}

#[test]
fn of_two_operators_with_manifests_one_wins_and_the_other_is_told() {
    let platform = TestPlatform::start();
    block_on(apply(&platform.client, MANIFEST, None)).unwrap();
    let winner = MANIFEST.replace("500", "600");
    let other = || {
        block_on(apply(&platform.client, &winner, None)).unwrap();
    };
    let race = Interleaved::new(&platform.client, other);
    let lost = block_on(apply(&race, &MANIFEST.replace("500", "700"), None)).unwrap_err();
    insta::assert_snapshot!(explained(&lost), @"
    another operator changed the manifest: this command started from version 1, and version 2 is in force now
    help: look at the version in force and decide anew
    ");
    let shown = block_on(show(&platform.client)).unwrap();
    assert!(shown.text.contains("rate = 600"), "{}", shown.text);
}

#[test]
fn of_two_operators_with_domains_one_wins_and_the_other_is_told() {
    let platform = TestPlatform::start();
    let other = || {
        platform.change(Subject::Instance, Change::Out, "node-1").unwrap();
    };
    let race = Interleaved::new(&platform.client, other);
    let lost = block_on(change_service(&race, Subject::Domain, Change::Out, "riga-b")).unwrap_err();
    insta::assert_snapshot!(explained(&lost), @"
    another operator changed what is out of service: this command started from version 0, and version 1 is in force now
    help: look at the version in force and decide anew
    ");
    let again = platform.change(Subject::Domain, Change::Out, "riga-b").unwrap();
    assert_eq!(
        again.json["instances"],
        json!(["node-1"]),
        "the winner's change stays"
    );
}

#[test]
fn command_whose_answer_was_lost_tells_what_is_in_force() {
    let platform = TestPlatform::start();
    platform.control("POST", "/faults", &json!({ "lost_answers": 1.0 }).to_string());
    let applied = block_on(apply(&platform.client, MANIFEST, None)).unwrap();
    assert_eq!(applied.json["version"], 1);
    let out = platform.change(Subject::Domain, Change::Out, "riga-b").unwrap();
    let in_force = block_on(platform.client.get(keys::OUT_OF_SERVICE))
        .unwrap()
        .unwrap();
    assert_eq!(out.json["version"], json!(in_force.version));
    assert_eq!(in_force.value["domains"], json!(["riga-b"]));
}

#[test]
fn manifest_commands_keep_their_form() {
    let platform = TestPlatform::start();
    let apply = |text: &str, expect| block_on(apply(&platform.client, text, expect));
    let none = block_on(show(&platform.client)).unwrap_err();
    let invalid = check(&MANIFEST.replace("500", "many")).unwrap_err();
    let first = apply(MANIFEST, None).unwrap();
    let changed = MANIFEST
        .replace("500", "600")
        .replace("[route pay]", "[route book]");
    let second = apply(&changed, Some(1)).unwrap();
    let same = apply(&changed, None).unwrap();
    let stale = apply(MANIFEST, Some(1)).unwrap_err();
    let shown = block_on(show(&platform.client)).unwrap();
    insta::assert_snapshot!(lines(&[
        explained(&none),
        check(MANIFEST).unwrap().text,
        explained(&invalid),
        first.text,
        second.text,
        second.json.to_string(),
        same.text,
        explained(&stale),
        stale.to_json().to_string(),
        shown.text,
    ]));
}

#[test]
fn service_commands_keep_their_form_and_refuse_what_cannot_be_meant() {
    let platform = TestPlatform::start();
    let out = platform.change(Subject::Domain, Change::Out, "riga-a").unwrap();
    let again = platform.change(Subject::Domain, Change::Out, "riga-a").unwrap();
    let unknown = platform
        .change(Subject::Domain, Change::Out, "rige-b")
        .unwrap_err();
    let last = platform
        .change(Subject::Domain, Change::Out, "riga-b")
        .unwrap_err();
    let back = platform.change(Subject::Domain, Change::In, "riga-a").unwrap();
    let instance = platform.change(Subject::Instance, Change::Out, "node-2").unwrap();
    insta::assert_snapshot!(lines(&[
        out.text.clone(),
        out.render(true),
        again.text,
        explained(&unknown),
        explained(&last),
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
    let refused = || CtlError::Admin {
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
    insta::assert_snapshot!(lines(&[shown.text, explained(&none)]));
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
        explained(&malformed),
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
        CtlError::Missing { .. } | CtlError::Usage { .. }
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
