//! The login of a caller: encryption request, startup message, authentication and the first session variables.

use super::Entry;
use super::backend::{self, Severity};
use super::caller_identity::CallerIdentity;
use super::frontend::{self, Frame, FrameError, cstring};
use super::lazy_timer::LazyTimer;
use super::listener;
use super::prepared_statements::PreparedStatements;
use super::session::{Session, SessionEnd, protocol_error};
use super::startup::{InitialMessage, Startup};
use super::transport::{CallerIo, CallerStream};
use super::variables::Variable;
use crate::counters::{self, Counter};
use crate::snapshot::{AdmissionState, Snapshot};
use async_io::Timer;
use futures_lite::future;
use pgwire::messages::response::TransactionStatus;
use std::sync::Arc;
use std::time::Duration;
use wasabiyard_model::NotRun;
use wasabiyard_schedule::RetryBudget;
use wasabiyard_session::{SessionId, SessionToken};

/// Time limit for the startup message, and again for the authentication. Bounds how long connections without a valid
/// key hold resources.
const LOGIN_TIMEOUT: Duration = Duration::from_secs(10);
/// Longest message during the authentication, in bytes.
const MAX_LOGIN_MESSAGE_BYTES: usize = 4 * 1024;

/// Parameters that client libraries expect to be reported at login.
const REPORTED_PARAMETERS: [(&str, &str); 8] = [
    ("server_version", "16.0 (wasabiyard)"),
    ("server_encoding", "UTF8"),
    ("client_encoding", "UTF8"),
    ("DateStyle", "ISO, MDY"),
    ("IntervalStyle", "postgres"),
    ("TimeZone", "UTC"),
    ("integer_datetimes", "on"),
    ("standard_conforming_strings", "on"),
];

/// Serves a connection from its first byte until it is closed.
pub(super) async fn serve(entry: Arc<Entry>, mut io: CallerIo) {
    let timeout = async {
        Timer::after(LOGIN_TIMEOUT).await;
        Err(SessionEnd::Fatal("08P01", "the login took too long".to_owned()))
    };
    let startup_result = future::or(read_startup(&entry, &mut io), timeout).await;
    let startup_message = match startup_result {
        Ok(Some(startup)) => startup,
        Ok(None) => return,
        Err(end) => return reject(&mut io, end).await,
    };
    let timeout = async {
        Timer::after(LOGIN_TIMEOUT).await;
        Err(SessionEnd::Fatal("08P01", "the login took too long".to_owned()))
    };
    let identity = future::or(authenticate(&entry, &mut io, &startup_message), timeout).await;
    match identity {
        // The future of a session is large. Boxing it keeps the future of connections that are still logging in small.
        Ok(identity) => match start_session(entry, io, startup_message, identity) {
            Ok(session) => Box::pin(session.run()).await,
            Err(refused) => {
                let (mut io, end) = *refused;
                reject(&mut io, end).await;
            }
        },
        Err(end) => reject(&mut io, end).await,
    }
}

async fn reject(io: &mut CallerIo, end: SessionEnd) {
    if let SessionEnd::Fatal(sqlstate, message) = end {
        counters::add(Counter::LoginsFailed, 1);
        backend::error_response(&mut io.output, Severity::Fatal, sqlstate, &message);
        listener::close(io).await;
    }
}

/// Reads up to and including the startup message. `None` for a cancel request, which ends the connection.
async fn read_startup(entry: &Entry, io: &mut CallerIo) -> Result<Option<Startup>, SessionEnd> {
    loop {
        match InitialMessage::take(&mut io.input).map_err(protocol_error)? {
            None => receive(io).await?,
            Some(InitialMessage::Startup(startup)) => return Ok(Some(startup)),
            Some(InitialMessage::Cancel(key)) => {
                entry.cancels.cancel(key);
                return Ok(None);
            }
            Some(InitialMessage::Ssl) => start_tls(entry, io).await?,
            Some(InitialMessage::GssEnc) => {
                io.output.extend_from_slice(b"N");
                io.send().await.map_err(|_e| SessionEnd::Closed)?;
            }
        }
    }
}

async fn start_tls(entry: &Entry, io: &mut CallerIo) -> Result<(), SessionEnd> {
    let Some(acceptor) = entry.tls.as_ref().filter(|_| !io.is_tls()) else {
        io.output.extend_from_slice(b"N");
        return io.send().await.map_err(|_e| SessionEnd::Closed);
    };
    if !io.input.is_empty() {
        // Bytes in front of the handshake may have been injected by an attacker. As part of the encrypted session they
        // would pass for input of the caller.
        return Err(protocol_error(FrameError::MalformedBody));
    }
    io.output.extend_from_slice(b"S");
    io.send().await.map_err(|_e| SessionEnd::Closed)?;
    let Some(CallerStream::Plain(stream)) = io.take_stream() else {
        return Err(SessionEnd::Closed);
    };
    let tls = acceptor.accept(stream).await.map_err(|e| {
        log::debug!(error:% = e; "TLS handshake failed");
        SessionEnd::Closed
    })?;
    io.set_stream(CallerStream::Tls(Box::new(tls)));
    Ok(())
}

async fn receive(io: &mut CallerIo) -> Result<(), SessionEnd> {
    match io.receive().await {
        Ok(0) | Err(_) => Err(SessionEnd::Closed),
        Ok(_) => Ok(()),
    }
}

/// Authenticates the caller. A caller that names no known organisation and requests a route that allows anonymous
/// callers needs no key.
async fn authenticate(
    entry: &Entry,
    io: &mut CallerIo,
    startup: &Startup,
) -> Result<CallerIdentity, SessionEnd> {
    let snapshot = entry.snapshots.load();
    check_admission(entry, &snapshot)?;
    if startup.minor > 0 || !startup.unsupported.is_empty() {
        backend::negotiate_protocol_version(&mut io.output, startup.unsupported.clone());
    }
    let known = snapshot.manifest.organisation(&startup.user).is_some();
    if !known && requests_anonymous_route(&snapshot, startup) {
        return check_service(&snapshot, startup).map(|()| CallerIdentity::Anonymous);
    }
    if !io.is_tls() && !entry.settings.tls.allow_cleartext_keys {
        let message = "a key in clear text is accepted over TLS only";
        return Err(SessionEnd::Fatal("28000", message.to_owned()));
    }
    drop(snapshot);
    backend::request_cleartext_password(&mut io.output);
    io.send().await.map_err(|_e| SessionEnd::Closed)?;
    let frame = loop {
        let frame = Frame::take(&mut io.input, MAX_LOGIN_MESSAGE_BYTES).map_err(protocol_error)?;
        match frame {
            Some(frame) => break frame,
            None => receive(io).await?,
        }
    };
    match frame.tag() {
        frontend::PASSWORD => {}
        frontend::TERMINATE => return Err(SessionEnd::Closed),
        tag => return Err(protocol_error(FrameError::UnknownTag(tag))),
    }
    let (key, _rest) = cstring(frame.body()).map_err(protocol_error)?;
    let snapshot = entry.snapshots.load();
    let identity = CallerIdentity::verify_key(&snapshot.manifest, &startup.user, key).ok_or_else(|| {
        log::warn!(organisation:? = startup.user; "login refused: wrong key or unknown organisation");
        SessionEnd::Fatal("28P01", "wrong key or unknown organisation".to_owned())
    })?;
    check_service(&snapshot, startup).map(|()| identity)
}

fn check_admission(entry: &Entry, snapshot: &Snapshot) -> Result<(), SessionEnd> {
    let fatal = |reason: NotRun| Err(SessionEnd::Fatal(reason.sqlstate(), reason.to_string()));
    match snapshot.admission {
        _ if entry.drain_notifier.is_draining() => fatal(NotRun::Draining),
        AdmissionState::Open => Ok(()),
        AdmissionState::OutOfService | AdmissionState::Draining => fatal(NotRun::Draining),
        AdmissionState::CutOff => fatal(NotRun::StaleConfiguration),
        AdmissionState::NotReady => Err(SessionEnd::Fatal(
            "57P03",
            "this instance has no configuration yet".to_owned(),
        )),
    }
}

fn requests_anonymous_route(snapshot: &Snapshot, startup: &Startup) -> bool {
    let route_variable = startup
        .variables
        .iter()
        .rfind(|(name, _)| Variable::parse(name) == Some(Variable::Route));
    let manifest = &snapshot.manifest;
    route_variable
        .zip(manifest.service(&startup.database))
        .and_then(|((_, route), service)| manifest.route(service, route))
        .is_some_and(|route| manifest.routes[route].allows_anonymous)
}

fn check_service(snapshot: &Snapshot, startup: &Startup) -> Result<(), SessionEnd> {
    match snapshot.manifest.service(&startup.database) {
        Some(_) => Ok(()),
        None => Err(SessionEnd::Fatal("3D000", "unknown service".to_owned())),
    }
}

/// Creates the session, applies the variables of the startup message and accepts the login. An error hands the
/// connection back, so that it can be reported to the caller.
fn start_session(
    entry: Arc<Entry>,
    io: CallerIo,
    startup: Startup,
    identity: CallerIdentity,
) -> Result<Session, Box<(CallerIo, SessionEnd)>> {
    let token = SessionToken::empty(identity.organisation(), SessionId::random(&mut rand::rng()));
    let mut session = Session {
        cancel: entry.cancels.register(),
        snapshot_changes: entry.drain_notifier.subscribe(),
        entry,
        io,
        timer: LazyTimer::default(),
        identity,
        service: startup.database.into(),
        route: None,
        shard: None,
        token,
        token_from_caller: false,
        resolved: None,
        prepared_statements: PreparedStatements::default(),
        retries: RetryBudget::default(),
        lost_block: None,
        skip_to_sync: false,
        key_checked_version: 0,
    };
    for (name, value) in &startup.variables {
        let result = match Variable::parse(name) {
            Some(variable) => session.set(variable, Some(value)),
            None => Err(("42704", format!("the option {name:?} is not supported"))),
        };
        if let Err((sqlstate, message)) = result {
            return Err(Box::new((session.io, SessionEnd::Fatal(sqlstate, message))));
        }
    }
    append_login_response(&mut session, &startup.application);
    Ok(session)
}

fn append_login_response(session: &mut Session, application: &str) {
    let key = session.cancel.key();
    let out = &mut session.io.output;
    backend::authentication_ok(out);
    for (name, value) in REPORTED_PARAMETERS {
        backend::parameter_status(out, name, value);
    }
    backend::parameter_status(out, "application_name", application);
    backend::parameter_status(out, "session_authorization", session.identity.organisation());
    backend::backend_key_data(out, key.process_id, key.secret);
    backend::ready_for_query(out, TransactionStatus::Idle);
}
