//! One caller: an organisation's session that pays, books, writes, reads and moves between instances.

use super::history::{Event, History, Outcome, Request};
use super::layout::{GREEDY, SERVICES, key, organisation, route, service};
use crate::sql::{ClientError, Login, SqlClient};
use async_io::Timer;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

const TIMEOUT: Duration = Duration::from_secs(8);
/// Pause between requests in milliseconds: with eight callers, an organisation asks for about half of its rate.
const PAUSE_MS: std::ops::Range<u64> = 20..120;
const RECONNECT_PAUSE: Duration = Duration::from_millis(100);
/// Requests on one connection before the session moves to another instance.
const MOVE_AFTER: std::ops::Range<u32> = 5..60;
/// Slots for which all callers of an organisation compete.
const BOOKING_SLOTS: u32 = 2_000;
const SERIES_ROWS: usize = 5_000;

/// What callers share.
#[derive(Debug)]
pub(super) struct Shared {
    pub(super) history: History,
    pub(super) addresses: Vec<SocketAddr>,
    pub(super) stopped: AtomicBool,
}

/// A caller.
pub(super) struct Caller {
    shared: Arc<Shared>,
    number: usize,
    organisation: usize,
    service: usize,
    rng: Pcg64Mcg,
    client: Option<SqlClient>,
    instance: usize,
    moves_in: u32,
    token: String,
    /// Number of the session's key. A new key is used after a write with an unknown outcome, which might still run after
    /// later writes and overwrite them.
    generation: u64,
    /// Numbers of the key: the last one written, and the highest acknowledged one.
    written: u64,
    acknowledged: u64,
    payments: u64,
}

impl Caller {
    pub(super) fn new(shared: Arc<Shared>, number: usize, organisations: usize, seed: u64) -> Self {
        Self {
            shared,
            number,
            organisation: number % organisations,
            service: number / organisations % SERVICES,
            rng: Pcg64Mcg::seed_from_u64(seed.wrapping_add(number as u64)),
            client: None,
            instance: 0,
            moves_in: 0,
            token: String::new(),
            generation: 0,
            written: 0,
            acknowledged: 0,
            payments: 0,
        }
    }

    /// Sends requests until the run is stopped.
    pub(super) async fn run(mut self) {
        while !self.shared.stopped.load(Ordering::Acquire) {
            if self.client.is_none() || self.moves_in == 0 {
                self.connect().await;
            }
            if self.client.is_some() {
                self.step().await;
                self.moves_in = self.moves_in.saturating_sub(1);
            }
            if self.organisation != GREEDY {
                let pause = self.rng.random_range(PAUSE_MS);
                Timer::after(Duration::from_millis(pause)).await;
            }
        }
    }

    /// Connects to any instance with the token of the session.
    async fn connect(&mut self) {
        self.client = None;
        self.instance = self.rng.random_range(0..self.shared.addresses.len());
        let address = self.shared.addresses[self.instance];
        let mut login = Login::new(
            &organisation(self.organisation),
            &key(self.organisation),
            &service(self.service),
        );
        if !self.token.is_empty() {
            login = login.with_option("wasabiyard.session", &self.token);
        }
        match SqlClient::connect(address, &login, TIMEOUT).await {
            Ok(client) => self.client = Some(client),
            Err(e) => {
                log::debug!("login: {e}");
                Timer::after(RECONNECT_PAUSE).await;
            }
        }
        self.moves_in = self.rng.random_range(MOVE_AFTER);
    }

    async fn step(&mut self) {
        let key = format!(
            "{}/session-{}.{}",
            organisation(self.organisation),
            self.number,
            self.generation
        );
        match self.rng.random_range(0..100) {
            0..25 => {
                self.payments += 1;
                let id = format!("{key}/payment-{}", self.payments);
                let sql = format!("INSERT INTO ledger VALUES ('{id}', 1)");
                self.send("pay", &sql, Request::Pay(id)).await;
            }
            25..40 => {
                let slot = self.rng.random_range(0..BOOKING_SLOTS);
                let slot = format!("{}/slot-{slot}", organisation(self.organisation));
                let artist = format!("artist-{}", self.number);
                let sql = format!("BEGIN; INSERT INTO booking VALUES ('{slot}', '{artist}'); COMMIT");
                self.send("book", &sql, Request::Book { slot, artist }).await;
            }
            40..60 => {
                self.written += 1;
                let number = self.written;
                let sql = format!("INSERT INTO kv VALUES ('{key}', '{key}#{number}')");
                if self.send("pay", &sql, Request::Write { key, number }).await {
                    self.acknowledged = number;
                    self.take_token().await;
                }
            }
            60..85 => {
                let at_least = self.acknowledged;
                let sql = format!("SELECT value FROM kv WHERE key = '{key}'");
                self.send("look", &sql, Request::Read { key, at_least }).await;
            }
            85..97 => {
                let sql = format!("SELECT value FROM kv WHERE key = '{key}'");
                self.send("stock", &sql, Request::ReadAged { key }).await;
            }
            _ => {
                let sql = format!("SELECT generate_series(1, {SERIES_ROWS})");
                self.send("look", &sql, Request::Series { count: SERIES_ROWS })
                    .await;
            }
        }
    }

    /// Sends one request on a route and records its outcome. True when it is done.
    async fn send(&mut self, name: &str, sql: &str, request: Request) -> bool {
        let Some(client) = &mut self.client else {
            return false;
        };
        let set = format!("SET wasabiyard.route = '{}'", route(name, self.service));
        if let Err(e) = client.query(&set).await {
            log::debug!("SET: {e}");
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
                log::debug!("{request:?}: {e}");
                Outcome::of_error(e)
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

    /// Reads the token, without which the session could not move. A session that lost its token starts a new one, and
    /// may then demand nothing of earlier writes.
    async fn take_token(&mut self) {
        let Some(client) = &mut self.client else {
            return;
        };
        match client.query("SHOW wasabiyard.session").await {
            Ok(result) => {
                let cell = result.rows.into_iter().flatten().next();
                self.token = cell.unwrap_or_default();
            }
            Err(e) => {
                log::debug!("SHOW: {e}");
                self.client = None;
                self.acknowledged = 0;
                self.token.clear();
            }
        }
    }
}
