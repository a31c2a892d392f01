//! A `PostgreSQL` connection to a slot, opened with the credential of this instance.
//!
//! Writes are queued and sent while the task waits for frames. A slot that starts to answer before it has read the
//! whole request therefore cannot deadlock with this side.

use super::frame::{self, Frame, FrameBuffer};
use super::group_sql::{self, Row};
use async_io::{Async, Timer};
use bytes::{Buf, BytesMut};
use futures_lite::future;
use futures_lite::io::{AsyncRead, AsyncWrite};
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;
use wasabiyard_model::LogPoint;

/// Most bytes read from the socket at once.
const READ_CHUNK_BYTES: usize = 16 * 1024;
/// Protocol version 3.0, in the startup message.
const PROTOCOL_VERSION_3: i32 = 196_608;
/// Takes the place of the protocol version in a cancel request.
const CANCEL_REQUEST_CODE: i32 = 80_877_102;
/// Tag of the `Authentication` messages.
const AUTHENTICATION: u8 = b'R';
/// Tag of `BackendKeyData`.
const BACKEND_KEY_DATA: u8 = b'K';
const PROTOCOL_VIOLATION: &str = "unexpected message from the slot";

/// User and password with which this instance logs in to slots.
#[derive(Debug, Clone)]
pub struct Credential {
    /// User name.
    pub user: String,
    /// Password in clear text; empty for none.
    pub password: String,
}

/// Identifies a connection to a slot in a cancel request of this instance.
#[derive(Debug, Clone, Copy)]
pub struct SlotCancelKey {
    address: SocketAddr,
    process: i32,
    secret: i32,
}

/// An authenticated connection to a slot.
#[derive(Debug)]
pub struct SlotConnection {
    socket: Async<TcpStream>,
    address: SocketAddr,
    incoming: FrameBuffer,
    outgoing: BytesMut,
    /// Process number and secret key that identify the connection in a cancel request.
    backend_key: Option<(i32, i32)>,
    /// Number of reset statements whose answers have not been read yet. They precede any later answer.
    pub(super) pending_resets: usize,
    /// Last commit that the slot reported for this connection; the default point when there is none.
    pub(super) last_commit: LogPoint,
    /// Number of the last statement of [`group_sql::show_mark`] on this connection.
    last_mark: u64,
}

impl SlotConnection {
    /// Connects and authenticates within `timeout`.
    ///
    /// # Errors
    ///
    /// When the slot refuses, does not answer in time, or violates the protocol.
    pub async fn connect(
        address: SocketAddr,
        database: &str,
        credential: &Credential,
        timeout: Duration,
    ) -> io::Result<Self> {
        with_timeout(timeout, async {
            let socket = Async::<TcpStream>::connect(address).await?;
            socket.get_ref().set_nodelay(true)?;
            let mut conn = Self {
                socket,
                address,
                incoming: FrameBuffer::default(),
                outgoing: BytesMut::new(),
                backend_key: None,
                pending_resets: 0,
                last_commit: LogPoint::default(),
                last_mark: 0,
            };
            conn.start_up(database, credential).await?;
            Ok(conn)
        })
        .await
    }

    async fn start_up(&mut self, database: &str, credential: &Credential) -> io::Result<()> {
        let mut body = PROTOCOL_VERSION_3.to_be_bytes().to_vec();
        for text in ["user", &credential.user, "database", database] {
            body.extend_from_slice(text.as_bytes());
            body.push(0);
        }
        body.push(0);
        self.queue(&(body.len() as u32 + 4).to_be_bytes());
        self.queue(&body);
        loop {
            let frame = self.next_frame().await?;
            match frame.tag() {
                AUTHENTICATION => self.authenticate(&frame, credential)?,
                BACKEND_KEY_DATA => {
                    let mut body = frame.body();
                    if let (Ok(process), Ok(secret)) = (body.try_get_i32(), body.try_get_i32()) {
                        self.backend_key = Some((process, secret));
                    }
                }
                frame::READY_FOR_QUERY => return Ok(()),
                frame::ERROR_RESPONSE => {
                    let code = frame.sqlstate().unwrap_or("unknown").to_owned();
                    // The slot monitor relies on this error kind: a slot that answers with an error is alive.
                    return Err(io::Error::new(
                        io::ErrorKind::ResourceBusy,
                        format!("the slot refused the connection with SQLSTATE {code}"),
                    ));
                }
                _ => {}
            }
        }
    }

    fn authenticate(&mut self, frame: &Frame, credential: &Credential) -> io::Result<()> {
        let mut body = frame.body();
        match body.try_get_i32() {
            Ok(0) => Ok(()),
            Ok(3) => {
                let password = credential.password.as_bytes();
                self.queue(b"p");
                self.queue(&(password.len() as u32 + 5).to_be_bytes());
                self.queue(password);
                self.queue(&[0]);
                Ok(())
            }
            _ => Err(invalid_data(
                "the slot requests an unsupported authentication method",
            )),
        }
    }

    /// Queues bytes to send. They are sent by [`Self::next_frame`], [`Self::flush`] and [`Self::try_flush`].
    pub fn queue(&mut self, bytes: &[u8]) {
        self.outgoing.extend_from_slice(bytes);
    }

    /// Queues the statement that shows a new mark, and returns the mark.
    pub fn queue_mark(&mut self) -> u64 {
        self.last_mark += 1;
        self.queue(&frame::query(&group_sql::show_mark(self.last_mark)));
        self.last_mark
    }

    /// Number of bytes that were queued and not sent yet.
    pub fn queued_bytes(&self) -> usize {
        self.outgoing.len()
    }

    /// Waits until all queued bytes are sent.
    ///
    /// # Errors
    ///
    /// When the connection failed.
    pub async fn flush(&mut self) -> io::Result<()> {
        future::poll_fn(|cx| self.poll_flush(cx)).await
    }

    /// Waits for the next frame, and sends queued bytes meanwhile. Cancel safe: no bytes are lost when the future is
    /// dropped.
    ///
    /// # Errors
    ///
    /// When the connection failed or ended.
    pub async fn next_frame(&mut self) -> io::Result<Frame> {
        future::poll_fn(|cx| {
            if let Poll::Ready(Err(e)) = self.poll_flush(cx) {
                return Poll::Ready(Err(e));
            }
            self.poll_frame(cx)
        })
        .await
    }

    /// Returns the next frame if it was already received completely.
    ///
    /// # Errors
    ///
    /// When the length of the frame is impossible.
    pub fn buffered_frame(&mut self) -> io::Result<Option<Frame>> {
        self.incoming.pop_frame()
    }

    /// Whether the connection is open and the slot sent nothing unexpected while it was idle. Only answers to resets
    /// are expected then.
    pub fn is_open_and_quiet(&mut self) -> bool {
        let mut chunk = [0; 256];
        let mut cx = Context::from_waker(std::task::Waker::noop());
        loop {
            match Pin::new(&mut &self.socket).poll_read(&mut cx, &mut chunk) {
                Poll::Pending => return self.incoming.is_empty() || self.pending_resets > 0,
                Poll::Ready(Ok(n)) if n > 0 && self.pending_resets > 0 => self.incoming.extend(&chunk[..n]),
                Poll::Ready(_) => return false,
            }
        }
    }

    /// Sends as many queued bytes as possible without waiting.
    pub fn try_flush(&mut self) -> io::Result<()> {
        match self.poll_flush(&mut Context::from_waker(std::task::Waker::noop())) {
            Poll::Ready(Err(e)) => Err(e),
            _ => Ok(()),
        }
    }

    /// Reads the answer to one internal statement, up to `ReadyForQuery`.
    ///
    /// # Errors
    ///
    /// When the connection failed or the slot violated the protocol. An error of the statement is part of the answer.
    pub async fn read_answer(&mut self) -> io::Result<Answer> {
        let mut answer = Answer::default();
        loop {
            let frame = self.next_frame().await?;
            match frame.tag() {
                frame::DATA_ROW => answer.rows.push(Row(frame.columns())),
                frame::ERROR_RESPONSE => answer.error = frame.sqlstate().map(str::to_owned),
                frame::READY_FOR_QUERY => {
                    answer.status = frame
                        .transaction_status()
                        .ok_or_else(|| invalid_data(PROTOCOL_VIOLATION))?;
                    return Ok(answer);
                }
                _ => {}
            }
        }
    }

    /// As [`Self::read_answer`], and reads the answer that has to show `mark` after it.
    async fn read_marked_answer(&mut self, mark: u64) -> io::Result<Answer> {
        let answer = self.read_answer().await?;
        let marked = self.read_answer().await?;
        if marked.error.is_some() || !group_sql::shows_mark(&marked.rows, mark) {
            return Err(invalid_data(PROTOCOL_VIOLATION));
        }
        Ok(answer)
    }

    /// Runs an internal statement and returns its rows. No other answer may be awaited.
    ///
    /// # Errors
    ///
    /// As [`Self::read_answer`], and when the statement failed or took longer than `timeout`.
    pub async fn run_query(&mut self, sql: &str, timeout: Duration) -> io::Result<Vec<Row>> {
        self.queue(&frame::query(sql));
        let mark = self.queue_mark();
        let answer = with_timeout(timeout, self.read_marked_answer(mark)).await?;
        match answer.error {
            Some(code) => Err(io::Error::other(format!("the slot answered SQLSTATE {code}"))),
            None => Ok(answer.rows),
        }
    }

    /// As [`Self::run_query`], but first reads the answers to pending resets.
    ///
    /// # Errors
    ///
    /// As [`Self::run_query`], and when a reset failed.
    pub async fn query_after_resets(&mut self, sql: &str, timeout: Duration) -> io::Result<Vec<Row>> {
        self.queue(&frame::query(sql));
        let mark = self.queue_mark();
        let resets = std::mem::take(&mut self.pending_resets);
        let answer = with_timeout(timeout, async {
            for _ in 0..resets {
                let reset = self.read_answer().await?;
                if reset.error.is_some() || reset.status != b'I' {
                    return Err(invalid_data(PROTOCOL_VIOLATION));
                }
            }
            self.read_marked_answer(mark).await
        });
        let answer = answer.await?;
        match answer.error {
            Some(code) => Err(io::Error::other(format!("the slot answered SQLSTATE {code}"))),
            None => Ok(answer.rows),
        }
    }

    /// The key that cancels the running statement; `None` when the slot sent none at login.
    pub fn cancel_key(&self) -> Option<SlotCancelKey> {
        self.backend_key.map(|(process, secret)| SlotCancelKey {
            address: self.address,
            process,
            secret,
        })
    }

    fn poll_flush(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        while !self.outgoing.is_empty() {
            match Pin::new(&mut &self.socket).poll_write(cx, &self.outgoing) {
                Poll::Ready(Ok(0)) => return Poll::Ready(Err(io::ErrorKind::WriteZero.into())),
                Poll::Ready(Ok(n)) => self.outgoing.advance(n),
                Poll::Ready(Err(e)) => return Poll::Ready(Err(e)),
                Poll::Pending => return Poll::Pending,
            }
        }
        Poll::Ready(Ok(()))
    }

    fn poll_frame(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<Frame>> {
        let mut chunk = [0; READ_CHUNK_BYTES];
        loop {
            if let Some(frame) = self.incoming.pop_frame()? {
                return Poll::Ready(Ok(frame));
            }
            match Pin::new(&mut &self.socket).poll_read(cx, &mut chunk) {
                Poll::Ready(Ok(0)) => return Poll::Ready(Err(io::ErrorKind::UnexpectedEof.into())),
                Poll::Ready(Ok(n)) => self.incoming.extend(&chunk[..n]),
                Poll::Ready(Err(e)) => return Poll::Ready(Err(e)),
                Poll::Pending => return Poll::Pending,
            }
        }
    }
}

impl SlotCancelKey {
    /// Sends a request to cancel the statement that runs on the connection of this key.
    ///
    /// # Errors
    ///
    /// When connecting to the slot or sending the request fails or takes longer than `timeout`.
    pub async fn cancel(self, timeout: Duration) -> io::Result<()> {
        with_timeout(timeout, async {
            let socket = Async::<TcpStream>::connect(self.address).await?;
            let mut buf = Vec::with_capacity(16);
            for word in [16, CANCEL_REQUEST_CODE, self.process, self.secret] {
                buf.extend_from_slice(&word.to_be_bytes());
            }
            futures_lite::AsyncWriteExt::write_all(&mut &socket, &buf).await
        })
        .await
    }
}

/// The answer to one internal statement.
#[derive(Debug, Default)]
pub struct Answer {
    /// Rows of the result; empty for a statement without one.
    pub rows: Vec<Row>,
    /// SQLSTATE if the statement failed.
    pub error: Option<String>,
    /// Transaction status after the statement: `I`, `T` or `E`.
    pub status: u8,
}

/// Runs an operation with a timeout.
///
/// # Errors
///
/// [`io::ErrorKind::TimedOut`] when `timeout` passes first.
pub async fn with_timeout<T>(
    timeout: Duration,
    operation: impl Future<Output = io::Result<T>>,
) -> io::Result<T> {
    future::or(operation, async {
        Timer::after(timeout).await;
        Err(io::ErrorKind::TimedOut.into())
    })
    .await
}

fn invalid_data(reason: &'static str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, reason)
}
