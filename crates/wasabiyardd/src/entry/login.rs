//! From the first byte of a connection to a session.

use super::Entry;
use super::backend::{self, Severity};
use super::frontend::{self, Frame, FrameError, cstring};
use super::identity::Identity;
use super::lazy_timer::LazyTimer;
use super::listener;
use super::session::{End, Session, protocol_error};
use super::startup::{Opening, Startup};
use super::statements::Statements;
use super::transport::{CallerIo, CallerStream};
use super::variables::Variable;
use crate::counters::{self, Counter};
use crate::snapshot::{Admission, Snapshot};
use async_io::Timer;
use futures_lite::future;
use pgwire::messages::response::TransactionStatus;
use std::sync::Arc;
use std::time::Duration;
use wasabiyard_model::NotRun;
use wasabiyard_schedule::RetryBudget;
use wasabiyard_session::{SessionId, SessionToken};

/// Time from the first byte to the end of the login. Bounds what connections without a key can hold.
const LOGIN_TIMEOUT: Duration = Duration::from_secs(10);
/// Longest message during the login, in bytes.
const MAX_LOGIN_MESSAGE_BYTES: usize = 4 * 1024;

/// Parameters that client libraries expect.
const PARAMETERS: [(&str, &str); 8] = [
    ("server_version", "16.0 (wasabiyard)"),
    ("server_encoding", "UTF8"),
    ("client_encoding", "UTF8"),
    ("DateStyle", "ISO, MDY"),
    ("IntervalStyle", "postgres"),
    ("TimeZone", "UTC"),
    ("integer_datetimes", "on"),
    ("standard_conforming_strings", "on"),
];

/// Serves a connection to its end.
pub(super) async fn serve(entry: Arc<Entry>, mut io: CallerIo) {
    let timeout = async {
        Timer::after(LOGIN_TIMEOUT).await;
        Err(End::Fatal("08P01", "the login took too long".to_owned()))
    };
    let opened = future::or(open(&entry, &mut io), timeout).await;
    let opened = match opened {
        Ok(Some(startup)) => startup,
        Ok(None) => return,
        Err(end) => return refuse(&mut io, end).await,
    };
    let timeout = async {
        Timer::after(LOGIN_TIMEOUT).await;
        Err(End::Fatal("08P01", "the login took too long".to_owned()))
    };
    let identity = future::or(authenticate(&entry, &mut io, &opened), timeout).await;
    match identity {
        // The future of a session is large; boxing it keeps that of the login small.
        Ok(identity) => match start(entry, io, opened, identity) {
            Ok(session) => Box::pin(session.run()).await,
            Err(refused) => {
                let (mut io, end) = *refused;
                refuse(&mut io, end).await;
            }
        },
        Err(end) => refuse(&mut io, end).await,
    }
}

async fn refuse(io: &mut CallerIo, end: End) {
    if let End::Fatal(sqlstate, message) = end {
        counters::add(Counter::LoginsFailed, 1);
        backend::error(&mut io.output, Severity::Fatal, sqlstate, &message);
        listener::close(io).await;
    }
}

/// Reads up to the startup message. `None` for a cancel request.
async fn open(entry: &Entry, io: &mut CallerIo) -> Result<Option<Startup>, End> {
    loop {
        match Opening::take(&mut io.input).map_err(protocol_error)? {
            None => receive(io).await?,
            Some(Opening::Startup(startup)) => return Ok(Some(startup)),
            Some(Opening::Cancel(key)) => {
                entry.cancels.cancel(key);
                return Ok(None);
            }
            Some(Opening::Ssl) => start_tls(entry, io).await?,
            Some(Opening::GssEnc) => {
                io.output.extend_from_slice(b"N");
                io.send().await.map_err(|_e| End::Closed)?;
            }
        }
    }
}

async fn start_tls(entry: &Entry, io: &mut CallerIo) -> Result<(), End> {
    let Some(acceptor) = entry.tls.as_ref().filter(|_| !io.is_tls()) else {
        io.output.extend_from_slice(b"N");
        return io.send().await.map_err(|_e| End::Closed);
    };
    if !io.input.is_empty() {
        // Bytes before the handshake could have been put there by somebody else.
        return Err(protocol_error(FrameError::BadBody));
    }
    io.output.extend_from_slice(b"S");
    io.send().await.map_err(|_e| End::Closed)?;
    let Some(CallerStream::Plain(stream)) = io.take_stream() else {
        return Err(End::Closed);
    };
    let tls = acceptor.accept(stream).await.map_err(|e| {
        log::debug!(error:% = e; "a TLS handshake failed");
        End::Closed
    })?;
    io.set_stream(CallerStream::Tls(Box::new(tls)));
    Ok(())
}

async fn receive(io: &mut CallerIo) -> Result<(), End> {
    match io.receive().await {
        Ok(0) | Err(_) => Err(End::Closed),
        Ok(_) => Ok(()),
    }
}

/// Finds out who the caller is.
async fn authenticate(entry: &Entry, io: &mut CallerIo, startup: &Startup) -> Result<Identity, End> {
    let snapshot = entry.snapshots.load();
    check_admission(entry, &snapshot)?;
    if startup.minor > 0 || !startup.unsupported.is_empty() {
        backend::negotiate_protocol(&mut io.output, startup.unsupported.clone());
    }
    let known = snapshot.manifest.organisation(&startup.user).is_some();
    if !known && asks_open_route(&snapshot, startup) {
        return check_service(&snapshot, startup).map(|()| Identity::Anonymous);
    }
    if !io.is_tls() && !entry.settings.tls.allow_cleartext_keys {
        let message = "a key in clear text is accepted over TLS only";
        return Err(End::Fatal("28000", message.to_owned()));
    }
    drop(snapshot);
    backend::ask_cleartext_password(&mut io.output);
    io.send().await.map_err(|_e| End::Closed)?;
    let frame = loop {
        let frame = Frame::take(&mut io.input, MAX_LOGIN_MESSAGE_BYTES).map_err(protocol_error)?;
        match frame {
            Some(frame) => break frame,
            None => receive(io).await?,
        }
    };
    match frame.tag() {
        frontend::PASSWORD => {}
        frontend::TERMINATE => return Err(End::Closed),
        tag => return Err(protocol_error(FrameError::UnknownTag(tag))),
    }
    let (key, _rest) = cstring(frame.body()).map_err(protocol_error)?;
    let snapshot = entry.snapshots.load();
    let identity = Identity::check(&snapshot.manifest, &startup.user, key).ok_or_else(|| {
        log::warn!(organisation:? = startup.user; "a login was refused");
        End::Fatal("28P01", "wrong key or unknown organisation".to_owned())
    })?;
    check_service(&snapshot, startup).map(|()| identity)
}

fn check_admission(entry: &Entry, snapshot: &Snapshot) -> Result<(), End> {
    let fatal = |reason: NotRun| Err(End::Fatal(reason.sqlstate(), reason.to_string()));
    match snapshot.admission {
        _ if entry.boundary.is_draining() => fatal(NotRun::Draining),
        Admission::Open => Ok(()),
        Admission::OutOfService | Admission::Draining => fatal(NotRun::Draining),
        Admission::CutOff => fatal(NotRun::StaleConfiguration),
        Admission::NotReady => Err(End::Fatal(
            "57P03",
            "this instance has no configuration yet".to_owned(),
        )),
    }
}

fn asks_open_route(snapshot: &Snapshot, startup: &Startup) -> bool {
    let name = startup
        .variables
        .iter()
        .rfind(|(name, _)| Variable::parse(name) == Some(Variable::Route));
    let manifest = &snapshot.manifest;
    name.zip(manifest.service(&startup.database))
        .and_then(|((_, route), service)| manifest.route(service, route))
        .is_some_and(|route| manifest.routes[route].allows_anonymous)
}

fn check_service(snapshot: &Snapshot, startup: &Startup) -> Result<(), End> {
    match snapshot.manifest.service(&startup.database) {
        Some(_) => Ok(()),
        None => Err(End::Fatal("3D000", "unknown service".to_owned())),
    }
}

/// Makes the session and greets the caller.
fn start(
    entry: Arc<Entry>,
    io: CallerIo,
    startup: Startup,
    identity: Identity,
) -> Result<Session, Box<(CallerIo, End)>> {
    let token = SessionToken::empty(identity.organisation(), SessionId::random(&mut rand::rng()));
    let mut session = Session {
        cancel: entry.cancels.register(),
        changes: entry.boundary.subscribe(),
        entry,
        io,
        timer: LazyTimer::default(),
        identity,
        service: startup.database.into(),
        route: None,
        shard: None,
        token,
        token_given: false,
        resolved: None,
        statements: Statements::default(),
        retries: RetryBudget::default(),
        lost_block: None,
        skip_to_sync: false,
        checked_version: 0,
    };
    for (name, value) in &startup.variables {
        let result = match Variable::parse(name) {
            Some(variable) => session.set(variable, Some(value)),
            None => Err(("42704", format!("the option {name:?} is not supported"))),
        };
        if let Err((sqlstate, message)) = result {
            return Err(Box::new((session.io, End::Fatal(sqlstate, message))));
        }
    }
    greet(&mut session, &startup.application);
    Ok(session)
}

fn greet(session: &mut Session, application: &str) {
    let key = session.cancel.key();
    let out = &mut session.io.output;
    backend::authentication_ok(out);
    for (name, value) in PARAMETERS {
        backend::parameter(out, name, value);
    }
    backend::parameter(out, "application_name", application);
    backend::parameter(out, "session_authorization", session.identity.organisation());
    backend::cancel_key(out, key.process, key.secret);
    backend::ready(out, TransactionStatus::Idle);
}
