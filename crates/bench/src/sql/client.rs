//! Client connections.

use super::{ClientError, Login};
use async_io::{Async, Timer};
use bytes::{Buf, BytesMut};
use futures_lite::{AsyncWriteExt, FutureExt};
use pgwire::messages::data::DataRow;
use pgwire::messages::response::{ErrorResponse, TransactionStatus};
use pgwire::messages::simplequery::Query;
use pgwire::messages::startup::{Authentication, Password, PasswordMessageFamily, Startup};
use pgwire::messages::terminate::Terminate;
use pgwire::messages::{DecodeContext, PgWireBackendMessage, PgWireFrontendMessage, ProtocolVersion};
use std::io::{self, Read};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

const READ_CHUNK_BYTES: usize = 16 << 10;

/// A logged-in connection.
#[derive(Debug)]
pub struct SqlClient {
    stream: Async<TcpStream>,
    read_buffer: BytesMut,
    context: DecodeContext,
    timeout: Duration,
    transaction_status: TransactionStatus,
}

/// Result of a simple query, which may hold several statements.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct QueryResult {
    /// Rows of all statements, in text format. NULL becomes an empty string.
    pub rows: Vec<Vec<String>>,
    /// Command tag of the last statement, such as `INSERT 0 1`.
    pub tag: String,
}

impl SqlClient {
    /// Connects and logs in. `timeout` applies to the login and to each later query.
    ///
    /// # Errors
    /// When the server rejects the login, the connection fails, or the timeout elapses.
    pub async fn connect(address: SocketAddr, login: &Login, timeout: Duration) -> Result<Self, ClientError> {
        with_timeout(timeout, Self::log_in(address, login, timeout)).await
    }

    /// Runs a simple query.
    ///
    /// # Errors
    /// When the server responds with an error, the connection fails, or the timeout elapses.
    pub async fn query(&mut self, sql: &str) -> Result<QueryResult, ClientError> {
        with_timeout(self.timeout, self.run_query(sql)).await
    }

    /// Whether a transaction block is open, also a failed one, according to the last `ReadyForQuery`.
    pub fn in_transaction(&self) -> bool {
        self.transaction_status != TransactionStatus::Idle
    }

    /// Sends `Terminate` and closes the connection. Dropping the client closes it without that message.
    pub async fn close(mut self) {
        let terminate = PgWireFrontendMessage::Terminate(Terminate::new());
        if let Err(e) = self.send(&terminate).await {
            log::debug!("cannot send Terminate: {e}");
        }
    }

    async fn log_in(address: SocketAddr, login: &Login, timeout: Duration) -> Result<Self, ClientError> {
        let stream = Async::<TcpStream>::connect(address).await?;
        stream.get_ref().set_nodelay(true)?;
        let mut client = Self {
            stream,
            read_buffer: BytesMut::new(),
            context: DecodeContext::new(ProtocolVersion::PROTOCOL3_0),
            timeout,
            transaction_status: TransactionStatus::Idle,
        };
        let mut startup = Startup::new();
        startup.protocol_number_minor = 0;
        startup.parameters = login.startup_parameters();
        client.send(&PgWireFrontendMessage::Startup(startup)).await?;
        loop {
            match client.read_message().await? {
                PgWireBackendMessage::Authentication(Authentication::CleartextPassword) => {
                    let password = Password::new(login.password.clone());
                    let message = PasswordMessageFamily::Password(password);
                    client
                        .send(&PgWireFrontendMessage::PasswordMessageFamily(message))
                        .await?;
                }
                PgWireBackendMessage::ErrorResponse(error) => return Err(sql_error(&error)),
                PgWireBackendMessage::ReadyForQuery(_) => return Ok(client),
                _ => {}
            }
        }
    }

    async fn run_query(&mut self, sql: &str) -> Result<QueryResult, ClientError> {
        let query = PgWireFrontendMessage::Query(Query::new(sql.to_owned()));
        self.send(&query).await?;
        let mut result = QueryResult::default();
        let mut error = None;
        loop {
            match self.read_message().await? {
                PgWireBackendMessage::DataRow(row) => result.rows.push(decode_row(row)),
                PgWireBackendMessage::CommandComplete(done) => result.tag = done.tag,
                PgWireBackendMessage::ErrorResponse(response) => {
                    let e = sql_error(&response);
                    if e.is_fatal() {
                        return Err(e);
                    }
                    error = Some(e);
                }
                PgWireBackendMessage::ReadyForQuery(ready) => {
                    self.transaction_status = ready.status;
                    return error.map_or(Ok(result), Err);
                }
                _ => {}
            }
        }
    }

    async fn send(&mut self, message: &PgWireFrontendMessage) -> Result<(), ClientError> {
        let mut buf = BytesMut::new();
        message.encode(&mut buf).map_err(invalid_data)?;
        self.stream.write_all(&buf).await?;
        Ok(())
    }

    async fn read_message(&mut self) -> Result<PgWireBackendMessage, ClientError> {
        loop {
            let message =
                PgWireBackendMessage::decode(&mut self.read_buffer, &self.context).map_err(invalid_data)?;
            if let Some(message) = message {
                return Ok(message);
            }
            let read_buffer = &mut self.read_buffer;
            let read = self.stream.read_with(|mut stream| {
                let mut chunk = [0; READ_CHUNK_BYTES];
                let n = stream.read(&mut chunk)?;
                read_buffer.extend_from_slice(&chunk[..n]);
                Ok(n)
            });
            if read.await? == 0 {
                return Err(io::Error::from(io::ErrorKind::UnexpectedEof).into());
            }
        }
    }
}

async fn with_timeout<T, F>(timeout: Duration, operation: F) -> Result<T, ClientError>
where
    F: Future<Output = Result<T, ClientError>>,
{
    let expiry = async {
        Timer::after(timeout).await;
        Err(ClientError::Timeout(timeout))
    };
    operation.or(expiry).await
}

fn decode_row(row: DataRow) -> Vec<String> {
    let mut data = row.data;
    let mut fields = Vec::with_capacity(row.field_count as usize);
    for _ in 0..row.field_count {
        let length = usize::try_from(data.get_i32()).unwrap_or(0);
        fields.push(String::from_utf8_lossy(&data.split_to(length)).into_owned());
    }
    fields
}

fn sql_error(response: &ErrorResponse) -> ClientError {
    let field = |tag: u8| {
        let field = response.fields.iter().find(|(t, _)| *t == tag);
        field.map_or_else(String::new, |(_, text)| text.clone())
    };
    ClientError::Sql {
        code: field(b'C'),
        message: field(b'M'),
        fatal: field(b'S') == "FATAL",
    }
}

fn invalid_data(e: pgwire::error::PgWireError) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, e)
}
