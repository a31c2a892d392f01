//! Logins and sessions that the configuration of an instance does not admit.

use std::sync::Arc;
use std::time::Duration;
use wasabiyard_gateway::traffic::{admit, check_key};
use wasabiyard_gateway::{
    CallerError, ClusterSnapshot, Configuration, Freshness, Login, OrganisationRule, RouteRule,
};
use wasabiyard_model::{PriorityClass, Time, Version};

fn configuration() -> Configuration {
    let route = RouteRule {
        name: "renew".into(),
        service: "members".into(),
        freshness: Freshness::Latest,
        timeout: Duration::from_secs(1),
        target_latency: Duration::from_millis(200),
        class: PriorityClass::NORMAL,
        public: false,
    };
    Configuration {
        version: Version(1),
        routes: [("renew".into(), Arc::new(route))].into(),
        ..Configuration::default()
    }
}

/// The answer of an instance whose configuration is `age` old.
fn refusal(database: &str, age: Duration) -> CallerError {
    let now = Time::from_millis(10_000);
    let snapshot = ClusterSnapshot {
        configuration: Some(Arc::new(configuration())),
        configuration_as_of: now - age,
        ..ClusterSnapshot::default()
    };
    let login = Login {
        database: database.into(),
        key: "unknown".into(),
    };
    let (error, _) = admit(&snapshot, &login, now).expect_err("a refusal");
    error
}

/// A recent configuration decides at once, so that the caller does not try again for nothing.
#[test]
fn unknown_names_and_keys_are_refused_for_good_by_a_recent_configuration() {
    let age = Duration::from_secs(1);
    assert_eq!(refusal("gift", age), CallerError::UnknownDatabase);
    assert_eq!(refusal("renew", age), CallerError::AuthenticationFailed);
}

/// A newer configuration may have added the route or the key 3 s ago, and callers of an added route do not try again after
/// a final refusal.
#[test]
fn an_old_configuration_refuses_no_name_or_key_for_good() {
    let age = Duration::from_secs(3);
    assert_eq!(refusal("gift", age), CallerError::Busy);
    assert_eq!(refusal("renew", age), CallerError::Busy);
}

/// A configuration in which the key `k` belongs to `organisation`.
fn snapshot_with_key(organisation: Option<&str>) -> ClusterSnapshot {
    let mut configuration = configuration();
    if let Some(name) = organisation {
        let rule = OrganisationRule {
            name: name.into(),
            rate: 100.0,
            burst: 100.0,
        };
        configuration.keys.insert("k".into(), Arc::new(rule));
    }
    ClusterSnapshot {
        configuration: Some(Arc::new(configuration)),
        ..ClusterSnapshot::default()
    }
}

/// A session keeps nothing that a new login would not get: it was opened without a key on a public route, with a key that
/// has been withdrawn, or with one that belongs to another organisation now.
#[test]
fn a_session_is_checked_as_a_new_login_is() {
    let check = |owner, session_organisation, public| {
        let route = RouteRule {
            public,
            ..(*configuration().routes["renew"]).clone()
        };
        let snapshot = snapshot_with_key(owner);
        let lifetime = Duration::from_secs(5);
        let checked = check_key(&snapshot, "k", session_organisation, &route, lifetime, Time::ZERO);
        checked.map_err(|(error, _)| error)
    };
    assert_eq!(check(None, "-", true), Ok(()));
    assert_eq!(check(None, "-", false), Err(CallerError::AuthenticationFailed));
    assert_eq!(check(Some("org"), "org", false), Ok(()));
    assert_eq!(
        check(Some("org"), "other", false),
        Err(CallerError::AuthenticationFailed)
    );
    assert_eq!(check(None, "org", false), Err(CallerError::AuthenticationFailed));
    assert_eq!(check(None, "org", true), Err(CallerError::AuthenticationFailed));
}
