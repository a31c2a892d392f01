//! A caller: one session of an organisation that sends random requests and reconnects to random instances.

use super::history::{Event, History, Outcome, Request};
use super::layout::{GREEDY_ORGANISATION, SERVICES, api_key, organisation_name, route_name, service_name};
use crate::sql::{ClientError, Login, SqlClient};
use async_io::Timer;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

const REQUEST_TIMEOUT: Duration = Duration::from_secs(8);
/// Pause between two requests of a caller. With eight callers, an organisation then uses about half of its rate limit.
const REQUEST_PAUSE_MS: std::ops::Range<u64> = 20..120;
const RECONNECT_PAUSE: Duration = Duration::from_millis(100);
/// Number of requests on one connection before the session reconnects to a random instance.
const REQUESTS_PER_CONNECTION: std::ops::Range<u32> = 5..60;
/// Number of booking slots of an organisation, for which all of its callers compete.
const BOOKING_SLOT_COUNT: u32 = 2_000;
const SERIES_ROW_COUNT: usize = 5_000;

/// State shared by all callers.
#[derive(Debug)]
pub(super) struct SharedState {
    pub(super) history: History,
    pub(super) instance_addresses: Vec<SocketAddr>,
    pub(super) stopped: AtomicBool,
}

/// A caller with the state of its session.
pub(super) struct Caller {
    shared: Arc<SharedState>,
    number: usize,
    organisation: usize,
    service: usize,
    rng: Pcg64Mcg,
    client: Option<SqlClient>,
    instance: usize,
    requests_until_move: u32,
    token: String,
    /// Generation in the session's key; constant so far. A new generation is meant to follow a write with an unknown
    /// outcome, because that write might still run after later ones and overwrite them.
    key_generation: u64,
    /// Last number written to the current key, and the highest acknowledged one.
    last_written: u64,
    last_acknowledged: u64,
    payments: u64,
}

impl Caller {
    pub(super) fn new(shared: Arc<SharedState>, number: usize, organisations: usize, seed: u64) -> Self {
        Self {
            shared,
            number,
            organisation: number % organisations,
            service: number / organisations % SERVICES,
            rng: Pcg64Mcg::seed_from_u64(seed.wrapping_add(number as u64)),
            client: None,
            instance: 0,
            requests_until_move: 0,
            token: String::new(),
            key_generation: 0,
            last_written: 0,
            last_acknowledged: 0,
            payments: 0,
        }
    }

    /// Sends requests until the run stops.
    pub(super) async fn run(mut self) {
        while !self.shared.stopped.load(Ordering::Acquire) {
            if self.client.is_none() || self.requests_until_move == 0 {
                self.connect().await;
            }
            if self.client.is_some() {
                self.send_random_request().await;
                self.requests_until_move = self.requests_until_move.saturating_sub(1);
            }
            if self.organisation != GREEDY_ORGANISATION {
                let pause = self.rng.random_range(REQUEST_PAUSE_MS);
                Timer::after(Duration::from_millis(pause)).await;
            }
        }
    }

    /// Connects to a random instance and resumes the session there by its token.
    async fn connect(&mut self) {
        self.client = None;
        self.instance = self.rng.random_range(0..self.shared.instance_addresses.len());
        let address = self.shared.instance_addresses[self.instance];
        let mut login = Login::new(
            &organisation_name(self.organisation),
            &api_key(self.organisation),
            &service_name(self.service),
        );
        if !self.token.is_empty() {
            login = login.with_option("wasabiyard.session", &self.token);
        }
        match SqlClient::connect(address, &login, REQUEST_TIMEOUT).await {
            Ok(client) => self.client = Some(client),
            Err(e) => {
                log::debug!("cannot log in: {e}");
                Timer::after(RECONNECT_PAUSE).await;
            }
        }
        self.requests_until_move = self.rng.random_range(REQUESTS_PER_CONNECTION);
    }

    async fn send_random_request(&mut self) {
        let key = format!(
            "{}/session-{}.{}",
            organisation_name(self.organisation),
            self.number,
            self.key_generation
        );
        match self.rng.random_range(0..100) {
            0..25 => {
                self.payments += 1;
                let id = format!("{key}/payment-{}", self.payments);
                let sql = format!("INSERT INTO ledger VALUES ('{id}', 1)");
                self.send("pay", &sql, Request::Pay(id)).await;
            }
            25..40 => {
                let slot = self.rng.random_range(0..BOOKING_SLOT_COUNT);
                let slot = format!("{}/slot-{slot}", organisation_name(self.organisation));
                let artist = format!("artist-{}", self.number);
                let sql = format!("BEGIN; INSERT INTO booking VALUES ('{slot}', '{artist}'); COMMIT");
                self.send("book", &sql, Request::Book { slot, artist }).await;
            }
            40..60 => {
                self.last_written += 1;
                let number = self.last_written;
                let sql = format!("INSERT INTO kv VALUES ('{key}', '{key}#{number}')");
                if self.send("pay", &sql, Request::Write { key, number }).await {
                    self.last_acknowledged = number;
                    self.refresh_token().await;
                }
            }
            60..85 => {
                let at_least = self.last_acknowledged;
                let sql = format!("SELECT value FROM kv WHERE key = '{key}'");
                self.send("look", &sql, Request::Read { key, at_least }).await;
            }
            85..97 => {
                let sql = format!("SELECT value FROM kv WHERE key = '{key}'");
                self.send("stock", &sql, Request::ReadBoundedStaleness { key })
                    .await;
            }
            _ => {
                let sql = format!("SELECT generate_series(1, {SERIES_ROW_COUNT})");
                self.send(
                    "look",
                    &sql,
                    Request::Series {
                        count: SERIES_ROW_COUNT,
                    },
                )
                .await;
            }
        }
    }

    /// Sends one request on a route and records its outcome. Returns whether the request succeeded.
    async fn send(&mut self, name: &str, sql: &str, request: Request) -> bool {
        let Some(client) = &mut self.client else {
            return false;
        };
        let set = format!("SET wasabiyard.route = '{}'", route_name(name, self.service));
        if let Err(e) = client.query(&set).await {
            log::debug!("cannot set the route: {e}");
            self.client = None;
            return false;
        }
        let sent = self.shared.history.now();
        let result = client.query(sql).await;
        let outcome = match &result {
            Ok(result) => {
                let first = result.rows.iter().filter_map(|row| row.first().cloned());
                Outcome::Done(first.collect())
            }
            Err(e) => {
                log::debug!("{request:?} failed: {e}");
                Outcome::from_error(e)
            }
        };
        if result.as_ref().is_err_and(ClientError::is_fatal) || client.in_transaction() {
            self.client = None;
        }
        self.shared.history.add(Event {
            organisation: self.organisation,
            service: self.service,
            instance: self.instance,
            request,
            outcome,
            sent,
            ended: self.shared.history.now(),
        });
        result.is_ok()
    }

    /// Fetches the session token, which the session needs to read its own writes through another instance. If that fails,
    /// the caller continues with a new session, which need not see the earlier writes.
    async fn refresh_token(&mut self) {
        let Some(client) = &mut self.client else {
            return;
        };
        match client.query("SHOW wasabiyard.session").await {
            Ok(result) => {
                let cell = result.rows.into_iter().flatten().next();
                self.token = cell.unwrap_or_default();
            }
            Err(e) => {
                log::debug!("cannot read the session token: {e}");
                self.client = None;
                self.last_acknowledged = 0;
                self.token.clear();
            }
        }
    }
}
