//! One request of a caller: a simple query, or a batch of extended messages.

use super::frontend::{self, Frame, FrameError};
use super::prepared_statements::PreparedStatements;
use super::variables::{StatementKind, TransactionEnd, begins_transaction, classify, ends_transaction};

/// Bytes of a batch that are collected before it is sent without its end.
pub const MAX_BATCH_BUFFER_BYTES: usize = 32 * 1024;

/// Where a request has to be answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestKind {
    /// By the database.
    Remote,
    /// By the entry.
    Local,
    /// Nowhere: its text must not reach the database.
    Forbidden,
}

/// See the module.
#[derive(Debug, Clone)]
pub struct Request {
    /// The messages, in order.
    pub frames: Vec<Frame>,
    /// Whether the last message makes the slot answer with `ReadyForQuery`.
    pub synced: bool,
    /// Whether the messages are extended ones.
    pub extended: bool,
    /// Statements that count against the rate.
    pub statement_count: u32,
    /// Whether it begins a transaction block.
    pub begins_block: bool,
    /// Whether it ends a transaction block.
    pub block_end: Option<TransactionEnd>,
    /// Where it is answered.
    pub kind: RequestKind,
    bytes: usize,
}

impl Request {
    /// A simple query.
    ///
    /// # Errors
    ///
    /// When the message is malformed.
    pub fn simple(frame: Frame) -> Result<Self, FrameError> {
        let text = frame.query()?;
        let kind = match classify(text) {
            StatementKind::Remote => RequestKind::Remote,
            StatementKind::Local(_) => RequestKind::Local,
            StatementKind::Forbidden => RequestKind::Forbidden,
        };
        Ok(Self {
            begins_block: begins_transaction(text),
            block_end: ends_transaction(text),
            bytes: frame.bytes().len(),
            frames: vec![frame],
            synced: true,
            extended: false,
            statement_count: 1,
            kind,
        })
    }

    /// A batch without messages yet.
    pub const fn batch() -> Self {
        Self {
            frames: Vec::new(),
            synced: false,
            extended: true,
            statement_count: 0,
            begins_block: false,
            block_end: None,
            kind: RequestKind::Remote,
            bytes: 0,
        }
    }

    /// Adds a message to a batch. Returns whether the batch is complete or has to be sent.
    ///
    /// # Errors
    ///
    /// When the message is malformed or may not stand in a batch.
    pub fn push(&mut self, frame: Frame, prepared: &PreparedStatements) -> Result<bool, FrameError> {
        let mut flush = false;
        match frame.tag() {
            frontend::PARSE => self.inspect_text(frame.parse()?.1),
            frontend::BIND => self.inspect_statement(frame.bind()?.1, prepared),
            frontend::DESCRIBE => {
                if let (b'S', name) = frame.target()? {
                    self.inspect_statement(name, prepared);
                }
            }
            frontend::CLOSE => {
                frame.target()?;
            }
            frontend::EXECUTE => {
                frame.execute()?;
                self.statement_count += 1;
            }
            frontend::SYNC => self.synced = true,
            frontend::FLUSH => flush = true,
            tag => return Err(FrameError::UnknownTag(tag)),
        }
        self.bytes += frame.bytes().len();
        self.frames.push(frame);
        Ok(self.synced || flush || self.bytes > MAX_BATCH_BUFFER_BYTES)
    }

    /// Bytes of the messages.
    pub const fn size_bytes(&self) -> usize {
        self.bytes
    }

    fn inspect_text(&mut self, text: &str) {
        self.begins_block |= begins_transaction(text);
        self.block_end = self.block_end.or_else(|| ends_transaction(text));
        match classify(text) {
            StatementKind::Forbidden => self.kind = RequestKind::Forbidden,
            StatementKind::Local(_) if self.kind == RequestKind::Remote => self.kind = RequestKind::Local,
            StatementKind::Local(_) | StatementKind::Remote => {}
        }
    }

    fn inspect_statement(&mut self, name: &str, prepared: &PreparedStatements) {
        if prepared.local(name).is_some() && self.kind == RequestKind::Remote {
            self.kind = RequestKind::Local;
        }
        self.begins_block |= prepared.begins_transaction(name);
        self.block_end = self.block_end.or_else(|| prepared.ends_transaction(name));
    }
}
