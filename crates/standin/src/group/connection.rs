//! Reading and writing of one connection to a slot, with the injected faults applied.

use super::group_state::{Group, Member};
use super::sql_error::SqlError;
use async_io::{Async, Timer};
use bytes::BytesMut;
use futures_lite::{AsyncReadExt, AsyncWriteExt, FutureExt};
use pgwire::messages::{DecodeContext, PgWireFrontendMessage, ProtocolVersion};
use std::io::{self, Read};
use std::net::TcpStream;
use std::sync::Arc;
use std::time::Duration;

const READ_CHUNK_BYTES: usize = 16 << 10;
/// Buffered output is written once it reaches this size, so that large results are never held whole.
const FLUSH_THRESHOLD_BYTES: usize = 64 << 10;

/// A connection to a slot, with its read and write buffers.
#[derive(Debug)]
pub(crate) struct Connection {
    stream: Async<TcpStream>,
    group: Arc<Group>,
    index: usize,
    /// Value of `SlotFaults::silence` when the connection was accepted; the connection is silent once it has grown.
    accepted_silence: u64,
    input: BytesMut,
    /// Encoded messages that are not written yet.
    pub(crate) output: BytesMut,
    /// The last output, if `SlotFaults::repeat` was set when it was written.
    repeated: BytesMut,
    /// Which kinds of message the decoder expects before and after the startup.
    pub(crate) context: DecodeContext,
}

impl Connection {
    pub(crate) fn new(stream: Async<TcpStream>, group: Arc<Group>, index: usize) -> Self {
        let accepted_silence = group.faults(index).silence;
        Self {
            stream,
            group,
            index,
            accepted_silence,
            input: BytesMut::new(),
            output: BytesMut::new(),
            repeated: BytesMut::new(),
            context: DecodeContext::new(ProtocolVersion::PROTOCOL3_0),
        }
    }

    /// Reads the next message; `None` when the client closed the connection. Writes the output before it waits.
    pub(crate) async fn next_message(&mut self) -> io::Result<Option<PgWireFrontendMessage>> {
        loop {
            let decoded = PgWireFrontendMessage::decode(&mut self.input, &self.context)
                .map_err(|e| io::Error::new(io::ErrorKind::InvalidData, e))?;
            if let Some(message) = decoded {
                return Ok(Some(message));
            }
            self.flush().await?;
            if self.read().await? == 0 {
                return Ok(None);
            }
        }
    }

    /// Writes the output if it has reached `FLUSH_THRESHOLD_BYTES`.
    pub(crate) async fn flush_large(&mut self) -> io::Result<()> {
        if self.output.len() >= FLUSH_THRESHOLD_BYTES {
            self.flush().await?;
        }
        Ok(())
    }

    /// Writes the output, after the delay of `SlotFaults::late_ms`.
    pub(crate) async fn flush(&mut self) -> io::Result<()> {
        if self.output.is_empty() {
            return Ok(());
        }
        let delay_ms = self.member().faults().late_ms;
        if delay_ms > 0 {
            Timer::after(Duration::from_millis(delay_ms)).await;
        }
        self.apply_faults().await?;
        let output = self.output.split();
        let repeated = std::mem::take(&mut self.repeated);
        self.stream.write_all(&repeated).await?;
        if self.member().faults().repeat {
            self.repeated = output.clone();
        }
        self.stream.write_all(&output).await
    }

    /// Sends an error of severity FATAL; the caller then closes the connection.
    pub(crate) async fn send_fatal(&mut self, error: &SqlError) -> io::Result<()> {
        super::reply::error_response(&mut self.output, "FATAL", error);
        self.flush().await
    }

    /// Reads into the input buffer; fails as soon as the slot goes down.
    async fn read(&mut self) -> io::Result<usize> {
        let down = async {
            let member = &self.group.members[self.index];
            member
                .faults_changed
                .wait(|| member.faults().down.then_some(()))
                .await;
            Err(io::ErrorKind::ConnectionAborted.into())
        };
        let input = &mut self.input;
        let read = self.stream.read_with(|mut stream| {
            let mut chunk = [0; READ_CHUNK_BYTES];
            let n = stream.read(&mut chunk)?;
            input.extend_from_slice(&chunk[..n]);
            Ok(n)
        });
        let n = read.or(down).await?;
        self.apply_faults().await?;
        Ok(n)
    }

    /// Applies the faults `silence`, `freeze` and `down`: discards input until the client closes a silent connection,
    /// waits while the slot is frozen, and fails when it is down.
    async fn apply_faults(&mut self) -> io::Result<()> {
        let faults = self.member().faults();
        if faults.silence > self.accepted_silence {
            return self.discard_input().await;
        }
        if faults.freeze {
            let member = self.member();
            member
                .faults_changed
                .wait(|| (!member.faults().freeze).then_some(()))
                .await;
        }
        if self.member().faults().down {
            return Err(io::ErrorKind::ConnectionAborted.into());
        }
        Ok(())
    }

    /// Reads and discards input until the client closes the connection, then fails.
    async fn discard_input(&mut self) -> io::Result<()> {
        let mut chunk = vec![0; READ_CHUNK_BYTES];
        while self.stream.read(&mut chunk).await? > 0 {}
        Err(io::ErrorKind::UnexpectedEof.into())
    }

    pub(crate) const fn group(&self) -> &Arc<Group> {
        &self.group
    }

    pub(crate) const fn index(&self) -> usize {
        self.index
    }

    pub(crate) fn member(&self) -> &Member {
        &self.group.members[self.index]
    }
}
