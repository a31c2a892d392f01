//! The connection of a caller: plain TCP or TLS, with its input and output buffers.
//!
//! Buffers start small, and large ones are released when a connection is idle, because an instance holds thousands of
//! idle connections.

use async_io::Async;
use bytes::{Buf, BytesMut};
use futures_lite::io::{AsyncRead, AsyncWrite};
use futures_lite::{future, ready};
use futures_rustls::server::TlsStream;
use std::io;
use std::net::{Shutdown, TcpStream};
use std::pin::Pin;
use std::task::{Context, Poll};

/// Size of a read, unless the one before filled its buffer.
const SMALL_READ_BYTES: usize = 1_024;
/// Size of a read after one that filled its buffer.
const LARGE_READ_BYTES: usize = 16 * 1_024;
/// Size of the output buffer above which nothing more is taken from the home until the caller has read some.
const MAX_OUTPUT_BYTES: usize = 64 * 1024;
/// Largest capacity of an empty buffer that an idle connection retains.
const MAX_IDLE_BUFFER_BYTES: usize = 4 * 1_024;

/// The byte stream of a caller, with or without TLS.
#[derive(Debug)]
pub enum CallerStream {
    /// Unencrypted TCP.
    Plain(Async<TcpStream>),
    /// TLS over TCP.
    Tls(Box<TlsStream<Async<TcpStream>>>),
}

impl CallerStream {
    /// Whether the stream is encrypted.
    pub const fn is_tls(&self) -> bool {
        matches!(self, Self::Tls(_))
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut [u8]) -> Poll<io::Result<usize>> {
        match self.get_mut() {
            Self::Plain(s) => Pin::new(s).poll_read(cx, buf),
            Self::Tls(s) => Pin::new(s.as_mut()).poll_read(cx, buf),
        }
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        match self.get_mut() {
            Self::Plain(s) => Pin::new(s).poll_write(cx, buf),
            Self::Tls(s) => Pin::new(s.as_mut()).poll_write(cx, buf),
        }
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        match self.get_mut() {
            Self::Plain(s) => Pin::new(s).poll_flush(cx),
            Self::Tls(s) => Pin::new(s.as_mut()).poll_flush(cx),
        }
    }

    /// Shuts down the write half, so that the caller sees the end of the stream. Closing an `Async` does not do that.
    fn poll_close(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let socket = match self.get_mut() {
            Self::Plain(s) => s.get_ref(),
            Self::Tls(s) => {
                ready!(Pin::new(s.as_mut()).poll_close(cx))?;
                s.get_ref().0.get_ref()
            }
        };
        Poll::Ready(socket.shutdown(Shutdown::Write))
    }
}

/// A caller's stream with its buffers.
#[derive(Debug)]
pub struct CallerIo {
    /// `None` only during a TLS handshake.
    stream: Option<CallerStream>,
    /// Received bytes that are not consumed yet.
    pub input: BytesMut,
    /// Bytes that are not sent yet.
    pub output: BytesMut,
    /// Whether everything written was flushed; TLS buffers what is written.
    flushed: bool,
    large_reads: bool,
    /// Whether to wait for readiness before the next read: set when the last read emptied the socket.
    await_readable: bool,
}

impl CallerIo {
    /// Wraps a stream with empty buffers.
    pub fn new(stream: CallerStream) -> Self {
        Self {
            stream: Some(stream),
            input: BytesMut::new(),
            output: BytesMut::new(),
            flushed: true,
            large_reads: false,
            await_readable: true,
        }
    }

    /// Whether the stream is encrypted.
    pub fn is_tls(&self) -> bool {
        self.stream.as_ref().is_some_and(CallerStream::is_tls)
    }

    /// Takes the stream out for a TLS handshake.
    ///
    /// # Panics
    ///
    /// When a buffer is not empty.
    pub fn take_stream(&mut self) -> Option<CallerStream> {
        assert!(
            self.input.is_empty() && self.output.is_empty(),
            "clear text must not be carried into TLS"
        );
        self.stream.take()
    }

    /// Puts a stream back after the handshake.
    pub fn set_stream(&mut self, stream: CallerStream) {
        self.stream = Some(stream);
    }

    /// Whether more output may be added. Together with the credit of a stream this bounds the memory that a slow caller
    /// can claim.
    pub fn has_output_room(&self) -> bool {
        self.output.len() < MAX_OUTPUT_BYTES
    }

    /// Writes and flushes all output.
    pub fn poll_send(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        while !self.output.is_empty() {
            let n = ready!(stream(&mut self.stream)?.poll_write(cx, &self.output))?;
            if n == 0 {
                return Poll::Ready(Err(io::ErrorKind::WriteZero.into()));
            }
            self.output.advance(n);
            self.flushed = false;
        }
        if !self.flushed {
            ready!(stream(&mut self.stream)?.poll_flush(cx))?;
            self.flushed = true;
        }
        Poll::Ready(Ok(()))
    }

    /// Reads once and appends to the input. Returns the number of bytes; 0 means that the caller closed its side.
    pub fn poll_receive(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<usize>> {
        // A caller has rarely sent more already, so a read before the reactor reports data mostly wastes a system call.
        if let Some(CallerStream::Plain(stream)) = &self.stream
            && self.await_readable
        {
            ready!(stream.poll_readable(cx))?;
            self.await_readable = false;
        }
        let chunk = if self.large_reads {
            LARGE_READ_BYTES
        } else {
            SMALL_READ_BYTES
        };
        let len = self.input.len();
        self.input.resize(len + chunk, 0);
        let result = match stream(&mut self.stream) {
            Ok(stream) => stream.poll_read(cx, &mut self.input[len..]),
            Err(e) => Poll::Ready(Err(e)),
        };
        let n = match &result {
            Poll::Ready(Ok(n)) => *n,
            _ => 0,
        };
        self.input.truncate(len + n);
        if result.is_ready() {
            self.large_reads = n == chunk;
            self.await_readable = n < chunk;
        }
        result
    }

    /// Writes and flushes all output.
    ///
    /// # Errors
    ///
    /// When the connection is broken.
    pub async fn send(&mut self) -> io::Result<()> {
        future::poll_fn(|cx| self.poll_send(cx)).await
    }

    /// Reads once and appends to the input. Returns the number of bytes; 0 means that the caller closed its side.
    ///
    /// # Errors
    ///
    /// When the connection is broken.
    pub async fn receive(&mut self) -> io::Result<usize> {
        future::poll_fn(|cx| self.poll_receive(cx)).await
    }

    /// Releases large buffers that are empty.
    pub fn shrink(&mut self) {
        for buf in [&mut self.input, &mut self.output] {
            if buf.is_empty() && buf.capacity() > MAX_IDLE_BUFFER_BYTES {
                *buf = BytesMut::new();
            }
        }
    }

    /// Sends the output and the end of the stream, then discards input until the caller closes its side. Closing a
    /// socket with unread input resets the connection, and the caller could miss the last message. Sets no time limit.
    pub async fn close(&mut self) {
        if self.send().await.is_err() {
            return;
        }
        let closed = future::poll_fn(|cx| match stream(&mut self.stream) {
            Ok(stream) => stream.poll_close(cx),
            Err(e) => Poll::Ready(Err(e)),
        })
        .await;
        if closed.is_err() {
            return;
        }
        loop {
            match self.receive().await {
                Ok(0) | Err(_) => return,
                Ok(_) => self.input.clear(),
            }
        }
    }
}

fn stream(stream: &mut Option<CallerStream>) -> io::Result<Pin<&mut CallerStream>> {
    stream
        .as_mut()
        .map(Pin::new)
        .ok_or_else(|| io::ErrorKind::NotConnected.into())
}
