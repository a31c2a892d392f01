//! Which callers may use which routes, by the configuration that an instance has.
//!
//! An unknown name or key is a final answer: the caller does not try again. An instance gives it only while its
//! configuration is recent, since a newer one may contain the name or key, and asks the caller to return otherwise.

use super::refusal::{Refusal, busy_error};
use crate::{CallerError, ClusterSnapshot, Configuration, Login, RouteRule};
use std::sync::Arc;
use std::time::Duration;
use wasabiyard_model::Time;

/// Organisation name given to backend servers for callers without a key.
pub(super) const ANONYMOUS_ORGANISATION: &str = "-";

/// Age of the configuration up to which it proves that a name or key does not exist.
const MAX_AGE_FOR_FINAL_REFUSAL: Duration = Duration::from_millis(2_600);
/// Time after which a caller should return that met an instance without a recent configuration.
const RETRY_AFTER: Duration = Duration::from_millis(500);

/// The route and the organisation of a login.
///
/// # Errors
///
/// The error for the caller and its text, when the login is refused at `now`.
pub fn admit(
    snapshot: &ClusterSnapshot,
    login: &Login,
    now: Time,
) -> Result<(Arc<RouteRule>, Arc<str>), Refusal> {
    let route = find_route(snapshot, &login.database, now)?;
    let organisation = organisation_on(snapshot, &login.key, &route, now)?;
    Ok((route, organisation))
}

/// Checks that the key of a session may still use a route as the organisation that the caller logged in as, by a
/// configuration that is not older than `key_lifetime`.
///
/// # Errors
///
/// The error for the caller and its text, when its statement is refused at `now`.
pub fn check_key(
    snapshot: &ClusterSnapshot,
    key: &str,
    organisation: &str,
    route: &RouteRule,
    key_lifetime: Duration,
    now: Time,
) -> Result<(), Refusal> {
    if *organisation_on(snapshot, key, route, now)? != *organisation {
        return Err(invalid_key(
            "the session was opened for another organisation",
            snapshot,
            now,
        ));
    }
    if snapshot.keys_are_current(key_lifetime, now) {
        Ok(())
    } else {
        Err(busy_error(
            "the configuration is too old to trust keys",
            Duration::from_secs(1),
        ))
    }
}

/// The organisation as which a key may use a route. Logins and statements share it, so that a session never keeps what
/// a new login would not get.
fn organisation_on(
    snapshot: &ClusterSnapshot,
    key: &str,
    route: &RouteRule,
    now: Time,
) -> Result<Arc<str>, Refusal> {
    match configuration(snapshot)?.keys.get(key) {
        Some(organisation) => Ok(Arc::clone(&organisation.name)),
        None if route.public => Ok(Arc::from(ANONYMOUS_ORGANISATION)),
        None => Err(invalid_key("the key is not valid", snapshot, now)),
    }
}

/// The route that callers reach under the name `database`.
pub(super) fn find_route(
    snapshot: &ClusterSnapshot,
    database: &str,
    now: Time,
) -> Result<Arc<RouteRule>, Refusal> {
    match configuration(snapshot)?.routes.get(database) {
        Some(route) => Ok(Arc::clone(route)),
        None => Err(refuse(
            CallerError::UnknownDatabase,
            "no route has this name",
            snapshot,
            now,
        )),
    }
}

fn configuration(snapshot: &ClusterSnapshot) -> Result<&Configuration, Refusal> {
    let configuration = snapshot.configuration.as_deref();
    configuration.ok_or_else(|| busy_error("no configuration yet", RETRY_AFTER))
}

fn invalid_key(detail: &str, snapshot: &ClusterSnapshot, now: Time) -> Refusal {
    refuse(CallerError::AuthenticationFailed, detail, snapshot, now)
}

/// A final refusal, or a request to return while the configuration is too old to give one.
fn refuse(error: CallerError, detail: &str, snapshot: &ClusterSnapshot, now: Time) -> Refusal {
    if now.saturating_since(snapshot.configuration_as_of) <= MAX_AGE_FOR_FINAL_REFUSAL {
        (error, detail.into())
    } else {
        busy_error(
            &format!("{detail} in a configuration that is too old"),
            RETRY_AFTER,
        )
    }
}
