//! The HTTP API of the platform stand-in.

use super::{CallCounts, CallKind, Listing, ObjectStore, PlatformFaults, RateLimiter};
use crate::condition::Condition;
use crate::http::{DroppedResponse, Handler, HttpRequest, HttpResponse};
use async_io::Timer;
use hyper::{Method, StatusCode};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde_json::{Value, json};
use std::sync::{Mutex, MutexGuard};
use std::time::{Duration, Instant};
use wasabiyard_model::{InstanceId, Time, Version};
use wasabiyard_platform::{Changes, ListedInstance};

/// Larger values are rejected with status 413, as the platform does.
const MAX_VALUE_BYTES: usize = 1 << 20;
/// Longest wait of a watch; longer timeouts are shortened to it.
const MAX_WATCH_WAIT: Duration = Duration::from_mins(5);

/// State and request handler of the platform stand-in.
#[derive(Debug)]
pub struct PlatformService {
    started: Instant,
    state: Mutex<State>,
    changed: Condition,
}

#[derive(Debug)]
struct State {
    store: ObjectStore,
    listing: Listing,
    faults: PlatformFaults,
    calls: CallCounts,
    read_limiter: RateLimiter,
    write_limiter: RateLimiter,
    rng: Pcg64Mcg,
}

/// Keeps a watch counted in [`CallCounts::waiting`] until it is dropped.
struct WaitingWatchGuard<'a>(&'a PlatformService);

impl PlatformService {
    /// A platform without objects and instances. `seed` selects the writes whose response is dropped.
    pub fn new(seed: u64) -> Self {
        let faults = PlatformFaults::default();
        let state = State {
            store: ObjectStore::default(),
            listing: Listing::default(),
            calls: CallCounts::default(),
            read_limiter: RateLimiter::new(faults.reads_per_second),
            write_limiter: RateLimiter::new(faults.writes_per_second),
            faults,
            rng: Pcg64Mcg::seed_from_u64(seed),
        };
        Self {
            started: Instant::now(),
            state: Mutex::new(state),
            changed: Condition::default(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no panic under this lock")
    }

    fn now(&self) -> Time {
        Time::from_micros(self.started.elapsed().as_micros() as u64)
    }

    /// Handles the requests of tests and of the bench launcher, which faults and counters do not apply to. `None` for
    /// all other requests.
    fn handle_control(&self, req: &HttpRequest) -> Option<HttpResponse> {
        let response = match (&req.method, req.path.as_str()) {
            (&Method::GET, "/health") => HttpResponse::ok(&json!({ "ready": true })),
            (&Method::GET, "/calls") => HttpResponse::ok(&json!(self.lock().calls)),
            (&Method::GET, "/faults") => HttpResponse::ok(&json!(self.lock().faults)),
            (&Method::POST, "/faults") => self.set_faults(&req.body),
            (method, path) => {
                let id = InstanceId::from(path.strip_prefix("/instances/")?);
                let now = self.now();
                let instance = match *method {
                    Method::DELETE => None,
                    Method::PUT => match serde_json::from_slice::<ListedInstance>(&req.body) {
                        Ok(instance) => Some(instance),
                        Err(e) => return Some(HttpResponse::err(StatusCode::BAD_REQUEST, &e.to_string())),
                    },
                    _ => return None,
                };
                self.lock().listing.set(now, id, instance);
                HttpResponse::ok(&json!({}))
            }
        };
        Some(response)
    }

    fn set_faults(&self, changes: &[u8]) -> HttpResponse {
        let mut state = self.lock();
        let response = match state.faults.with_changes(changes) {
            Ok(faults) => {
                if faults.reads_per_second != state.faults.reads_per_second {
                    state.read_limiter = RateLimiter::new(faults.reads_per_second);
                }
                if faults.writes_per_second != state.faults.writes_per_second {
                    state.write_limiter = RateLimiter::new(faults.writes_per_second);
                }
                state.faults = faults;
                log::info!("faults set: {faults:?}");
                HttpResponse::ok(&json!(faults))
            }
            Err(e) => HttpResponse::err(StatusCode::BAD_REQUEST, &e.to_string()),
        };
        drop(state);
        self.changed.notify_all();
        response
    }

    /// Counts a call and applies the outage and the rate limits. Returns the delay of the response.
    fn admit(&self, kind: CallKind) -> Result<Duration, HttpResponse> {
        let now = self.now();
        let mut state = self.lock();
        state.calls.count(kind);
        if state.faults.outage {
            return Err(outage_response());
        }
        let limiter = match kind {
            CallKind::Read | CallKind::Watch => &mut state.read_limiter,
            CallKind::Write => &mut state.write_limiter,
        };
        if !limiter.admit(now) {
            state.calls.refused += 1;
            return Err(HttpResponse::err(
                StatusCode::TOO_MANY_REQUESTS,
                "rate ceiling reached",
            ));
        }
        Ok(Duration::from_millis(state.faults.slow_ms))
    }

    async fn handle_call(&self, req: &HttpRequest) -> Result<HttpResponse, DroppedResponse> {
        let Some(kind) = call_kind(req) else {
            return Ok(HttpResponse::err(StatusCode::NOT_FOUND, "no such call"));
        };
        let delay = match self.admit(kind) {
            Ok(delay) => delay,
            Err(error_response) => return Ok(error_response),
        };
        let response = match kind {
            CallKind::Read => self.read(req),
            CallKind::Watch => self.watch(req).await,
            CallKind::Write => self.write(req)?,
        };
        if !delay.is_zero() {
            Timer::after(delay).await;
        }
        Ok(response)
    }

    fn read(&self, req: &HttpRequest) -> HttpResponse {
        let now = self.now();
        let state = self.lock();
        match req.path.as_str() {
            "/instances" => {
                let lag = Duration::from_millis(state.faults.listing_lag_ms);
                HttpResponse::ok(&json!({ "instances": state.listing.read(now, lag) }))
            }
            "/objects" => HttpResponse::ok(&json!(state.store.list(req.query_text("prefix")))),
            _ => match state.store.get(object_key(req)) {
                Some((version, value)) => HttpResponse::ok(&json!({ "version": version, "value": value })),
                None => HttpResponse::err(StatusCode::NOT_FOUND, "no such object"),
            },
        }
    }

    async fn watch(&self, req: &HttpRequest) -> HttpResponse {
        let prefix = req.query_text("prefix");
        let since = req.query_number("since").unwrap_or(0);
        let timeout = Duration::from_millis(req.query_number("timeout_ms").unwrap_or(0)).min(MAX_WATCH_WAIT);
        let _waiting = WaitingWatchGuard::start(self);
        let changes = self
            .changed
            .wait_until(Instant::now() + timeout, || self.watch_result(prefix, since))
            .await;
        match changes {
            Some(Ok(changes)) => HttpResponse::ok(&json!(changes)),
            Some(Err(error_response)) => error_response,
            None => HttpResponse::ok(&json!(Changes {
                revision: self.lock().store.revision(),
                objects: Vec::new(),
            })),
        }
    }

    /// Completes a watch: with the changes after `since`, or with an error when an outage starts. `None` while there is
    /// neither.
    fn watch_result(&self, prefix: &str, since: u64) -> Option<Result<Changes, HttpResponse>> {
        let state = self.lock();
        if state.faults.outage {
            return Some(Err(outage_response()));
        }
        let changes = state.store.changes_since(prefix, since);
        (!changes.objects.is_empty()).then_some(Ok(changes))
    }

    fn write(&self, req: &HttpRequest) -> Result<HttpResponse, DroppedResponse> {
        let Some(expected) = req.query_number("if_version").map(Version) else {
            return Ok(HttpResponse::err(
                StatusCode::BAD_REQUEST,
                "if_version is missing",
            ));
        };
        let value = match parse_value(req) {
            Ok(value) => value,
            Err(error_response) => return Ok(error_response),
        };
        let mut state = self.lock();
        let response = match state.store.update(object_key(req), expected, value) {
            Ok(version) => HttpResponse::ok(&json!({ "version": version })),
            Err(conflict) => HttpResponse::new(StatusCode::CONFLICT, &json!({ "version": conflict.found })),
        };
        let probability = state.faults.lost_answers.clamp(0.0, 1.0);
        let lost = state.rng.random_bool(probability);
        state.calls.lost_answers += u64::from(lost);
        drop(state);
        self.changed.notify_all();
        if lost { Err(DroppedResponse) } else { Ok(response) }
    }
}

impl Handler for PlatformService {
    async fn handle(&self, req: HttpRequest) -> Result<HttpResponse, DroppedResponse> {
        match self.handle_control(&req) {
            Some(response) => Ok(response),
            None => self.handle_call(&req).await,
        }
    }
}

impl<'a> WaitingWatchGuard<'a> {
    fn start(service: &'a PlatformService) -> Self {
        service.lock().calls.waiting += 1;
        Self(service)
    }
}

impl Drop for WaitingWatchGuard<'_> {
    fn drop(&mut self) {
        self.0.lock().calls.waiting -= 1;
    }
}

fn outage_response() -> HttpResponse {
    HttpResponse::err(StatusCode::SERVICE_UNAVAILABLE, "outage")
}

fn call_kind(req: &HttpRequest) -> Option<CallKind> {
    let is_object_path = req.path.starts_with("/objects/");
    match (&req.method, req.path.as_str()) {
        (&Method::GET, "/watch") => Some(CallKind::Watch),
        (&Method::GET, "/objects" | "/instances") => Some(CallKind::Read),
        (&Method::GET, _) if is_object_path => Some(CallKind::Read),
        (&Method::PUT | &Method::DELETE, _) if is_object_path => Some(CallKind::Write),
        _ => None,
    }
}

fn object_key(req: &HttpRequest) -> &str {
    req.path.strip_prefix("/objects/").unwrap_or("")
}

/// Parses the value of a write; `None` for a deletion.
fn parse_value(req: &HttpRequest) -> Result<Option<Value>, HttpResponse> {
    if req.method == Method::DELETE {
        return Ok(None);
    }
    if req.body.len() > MAX_VALUE_BYTES {
        return Err(HttpResponse::err(
            StatusCode::PAYLOAD_TOO_LARGE,
            "the value exceeds 1 MB",
        ));
    }
    serde_json::from_slice(&req.body)
        .map(Some)
        .map_err(|e| HttpResponse::err(StatusCode::BAD_REQUEST, &e.to_string()))
}
