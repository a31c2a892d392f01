//! One request of a caller: a simple query, or a batch of extended query messages.

use super::frontend::{self, Frame, FrameError};
use super::prepared_statements::PreparedStatements;
use super::variables::{StatementKind, TransactionEnd, begins_transaction, classify, ends_transaction};

/// Bytes of a batch that are collected. A longer batch is sent before its end was received.
pub const MAX_BATCH_BUFFER_BYTES: usize = 32 * 1024;

/// Who answers a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestKind {
    /// The database.
    Remote,
    /// The entry.
    Local,
    /// Nobody: its text must not reach the database, so it is refused.
    Forbidden,
}

/// The messages of a request, and what they say about its transaction.
#[derive(Debug, Clone)]
pub struct Request {
    /// The messages, in the order received.
    pub frames: Vec<Frame>,
    /// Whether the last message is a `Query` or `Sync`, which a slot answers with `ReadyForQuery`.
    pub synced: bool,
    /// Whether the messages belong to the extended query protocol.
    pub extended: bool,
    /// Number of statements to execute, each of which takes a rate limit token. A request takes at least one.
    pub statement_count: u32,
    /// Whether a statement begins a transaction block.
    pub begins_block: bool,
    /// How the first statement that ends a transaction block does so; `None` without one.
    pub block_end: Option<TransactionEnd>,
    /// Who answers the request.
    pub kind: RequestKind,
    bytes: usize,
}

impl Request {
    /// The request of a `Query` message.
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

    /// A batch without messages.
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

    /// Adds a message to a batch. Returns whether the batch has to be handled now: at its end, at a `Flush`, or when it
    /// exceeds [`MAX_BATCH_BUFFER_BYTES`].
    ///
    /// # Errors
    ///
    /// When the message is malformed or not part of the extended query protocol.
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

    /// Total size of the messages, in bytes.
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
