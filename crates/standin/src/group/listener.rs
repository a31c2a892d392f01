//! The listener of a slot and the login of its connections.

use super::connection::Connection;
use super::group_state::Group;
use super::reply::{put, ready_for_query};
use super::session::Session;
use super::sql_error::SqlError;
use crate::runtime::SharedExecutor;
use async_io::{Async, Timer};
use pgwire::messages::response::{SslResponse, TransactionStatus};
use pgwire::messages::startup::{
    Authentication, BackendKeyData, ParameterStatus, PasswordMessageFamily, SecretKey,
};
use pgwire::messages::{PgWireFrontendMessage, SslNegotiationMetaMessage};
use rand::Rng;
use std::io;
use std::net::{TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// Server parameters that clients get as `ParameterStatus` at login.
const SERVER_PARAMETERS: [(&str, &str); 5] = [
    ("server_version", "16.0"),
    ("server_encoding", "UTF8"),
    ("client_encoding", "UTF8"),
    ("DateStyle", "ISO, MDY"),
    ("standard_conforming_strings", "on"),
];

/// A place under the connection limit of a slot, freed on drop.
struct ConnectionPermit {
    group: Arc<Group>,
    index: usize,
}

/// Accepts connections to the slot `index` until the process ends.
pub async fn serve_slot(ex: SharedExecutor, group: Arc<Group>, index: usize, listener: Async<TcpListener>) {
    loop {
        match listener.accept().await {
            // Dropping the stream closes the connection, which is how a process that is down looks to a client.
            Ok(_) if group.faults(index).down => {}
            Ok((stream, _)) => ex
                .spawn(serve_connection(stream, Arc::clone(&group), index))
                .detach(),
            Err(e) => log::warn!("cannot accept a connection: {e}"),
        }
    }
}

async fn serve_connection(stream: Async<TcpStream>, group: Arc<Group>, index: usize) {
    if let Err(e) = stream.get_ref().set_nodelay(true) {
        log::debug!("cannot set TCP_NODELAY: {e}");
    }
    let conn = Connection::new(stream, group, index);
    if let Err(e) = log_in_and_run(conn).await {
        log::debug!("connection to slot s{index} failed: {e}");
    }
}

/// Logs a connection in and serves its session.
async fn log_in_and_run(mut conn: Connection) -> io::Result<()> {
    let Some(user) = read_startup(&mut conn).await? else {
        return Ok(());
    };
    put(&mut conn.output, &Authentication::CleartextPassword);
    let password = match conn.next_message().await? {
        Some(PgWireFrontendMessage::PasswordMessageFamily(message)) => password_text(message)?,
        _ => return Ok(()),
    };
    let credentials = &conn.group().credentials;
    if credentials.user != user || credentials.password != password {
        return conn.send_fatal(&SqlError::WrongPassword(user)).await;
    }
    let Some(_permit) = ConnectionPermit::acquire(conn.group(), conn.index()) else {
        return conn.send_fatal(&SqlError::TooManyConnections).await;
    };
    let connect_ms = conn.group().faults(conn.index()).connect_ms;
    Timer::after(Duration::from_millis(connect_ms)).await;
    let secret = SecretKey::I32(rand::rng().random());
    let cancel_registration = conn.group().register_cancel(secret.clone());
    put(&mut conn.output, &Authentication::Ok);
    for (name, value) in SERVER_PARAMETERS {
        put(
            &mut conn.output,
            &ParameterStatus::new(name.to_owned(), value.to_owned()),
        );
    }
    put(
        &mut conn.output,
        &BackendKeyData::new(cancel_registration.pid, secret),
    );
    ready_for_query(&mut conn.output, TransactionStatus::Idle);
    Session::new(conn, cancel_registration).run().await
}

/// Handles the messages before authentication. Returns the user name of the startup message, or `None` when the
/// connection ends here, as after a `CancelRequest`.
async fn read_startup(conn: &mut Connection) -> io::Result<Option<String>> {
    loop {
        match conn.next_message().await? {
            Some(PgWireFrontendMessage::SslNegotiation(SslNegotiationMetaMessage::None)) => {
                conn.context.awaiting_frontend_ssl = false;
            }
            Some(PgWireFrontendMessage::SslNegotiation(_)) => put(&mut conn.output, &SslResponse::Refuse),
            Some(PgWireFrontendMessage::CancelRequest(req)) => {
                conn.group().cancel(req.pid, &req.secret_key);
                return Ok(None);
            }
            Some(PgWireFrontendMessage::Startup(startup)) => {
                conn.context.awaiting_frontend_startup = false;
                return Ok(Some(startup.parameters.get("user").cloned().unwrap_or_default()));
            }
            _ => return Ok(None),
        }
    }
}

fn password_text(message: PasswordMessageFamily) -> io::Result<String> {
    let message = message
        .into_password()
        .map_err(|e| io::Error::new(io::ErrorKind::InvalidData, e))?;
    Ok(message.password)
}

impl ConnectionPermit {
    /// Counts the connection; `None` when the slot has reached its connection limit.
    fn acquire(group: &Arc<Group>, index: usize) -> Option<Self> {
        let member = &group.members[index];
        let cap = member.faults().cap;
        let admitted = member
            .connections
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, |n| {
                (cap == 0 || n < cap).then_some(n + 1)
            })
            .is_ok();
        if !admitted {
            member.refused_connections.fetch_add(1, Ordering::Relaxed);
            return None;
        }
        Some(Self {
            group: Arc::clone(group),
            index,
        })
    }
}

impl Drop for ConnectionPermit {
    fn drop(&mut self) {
        self.group.members[self.index]
            .connections
            .fetch_sub(1, Ordering::AcqRel);
    }
}
