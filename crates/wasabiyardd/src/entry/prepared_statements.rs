//! Prepared statements of a session.
//!
//! Prepared statements outlive transactions, but each transaction may run on another slot connection. The entry
//! therefore stores the `Parse` messages and injects them into a batch that refers to a statement which its slot
//! connection does not have. The completions of injected messages are removed from the response.

use super::frontend::{self, Frame, FrameError};
use super::variables::{LocalStatement, TransactionEnd, begins_transaction, ends_transaction};
use std::collections::{HashMap, HashSet, VecDeque};
use thiserror::Error;

/// Most statements that a session may hold. Bounds the memory that one caller can claim.
const MAX_STATEMENTS: usize = 1_000;
/// Most bytes of statements and their names that a session may hold.
const MAX_STATEMENT_BYTES: usize = 1024 * 1024;

/// Whose message a completion answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CompletionOwner {
    /// The caller sent it; the completion is forwarded.
    Caller,
    /// The entry injected it; the completion is dropped.
    Entry,
}

/// A completion that a slot has yet to send. That of a `Parse` of the caller holds the message, to store it on success.
#[derive(Debug)]
enum PendingCompletion {
    Parse(CompletionOwner, Option<Frame>),
    Close(CompletionOwner),
    BatchEnd,
}

/// A statement would exceed the limits of the session.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("the session holds too many prepared statements")]
pub struct TooManyStatements;

/// A stored statement. A remote one is its raw `Parse` message and how its text ends a transaction block, if it does.
#[derive(Debug)]
enum PreparedStatement {
    Remote(Box<[u8]>, Option<TransactionEnd>),
    Local(LocalStatement),
}

/// The prepared statements of a session, by name.
#[derive(Debug, Default)]
pub struct PreparedStatements {
    by_name: HashMap<Box<str>, PreparedStatement>,
    bytes: usize,
}

/// The completions that a stream has yet to bring, in order, and the statements that its slot connection holds.
#[derive(Debug, Default)]
pub struct PendingCompletions {
    queue: VecDeque<PendingCompletion>,
    /// `Parse` messages of the caller that succeeded and are not stored yet.
    parsed_frames: Vec<Frame>,
    /// Names of the statements that the slot connection holds once it has handled what was sent.
    names_on_slot: HashSet<Box<str>>,
    /// Set after an error, when it is not known which statements the slot connection holds.
    slot_contents_unknown: bool,
}

impl PreparedStatements {
    /// The statement of that name, if it is a local one.
    pub fn local(&self, name: &str) -> Option<&LocalStatement> {
        match self.by_name.get(name)? {
            PreparedStatement::Local(statement) => Some(statement),
            PreparedStatement::Remote(..) => None,
        }
    }

    /// How the stored statement of that name ends a transaction block, if it does.
    pub fn ends_transaction(&self, name: &str) -> Option<TransactionEnd> {
        match self.by_name.get(name)? {
            PreparedStatement::Remote(_, end) => *end,
            PreparedStatement::Local(_) => None,
        }
    }

    /// Whether the stored statement of that name begins a transaction block.
    pub fn begins_transaction(&self, name: &str) -> bool {
        match self.by_name.get(name) {
            Some(PreparedStatement::Remote(parse, _)) => query_text(parse).is_some_and(begins_transaction),
            Some(PreparedStatement::Local(_)) | None => false,
        }
    }

    /// Stores a local statement.
    ///
    /// # Errors
    ///
    /// When the statement would exceed the limits of the session.
    pub fn store_local(&mut self, name: &str, statement: LocalStatement) -> Result<(), TooManyStatements> {
        self.store(name, PreparedStatement::Local(statement))
    }

    /// Stores the statements of the caller that the slot has parsed.
    ///
    /// # Errors
    ///
    /// When the statement would exceed the limits of the session.
    pub fn store_parsed(
        &mut self,
        pending_completions: &mut PendingCompletions,
    ) -> Result<(), TooManyStatements> {
        for frame in pending_completions.parsed_frames.drain(..) {
            let Ok((name, text)) = frame.parse() else { continue };
            let prepared = PreparedStatement::Remote(frame.bytes().as_ref().into(), ends_transaction(text));
            self.store(name, prepared)?;
        }
        Ok(())
    }

    /// Discards a statement; does nothing for an unknown name.
    pub fn discard(&mut self, name: &str) {
        if let Some(old) = self.by_name.remove(name) {
            self.bytes -= old.len() + name.len();
        }
    }

    fn store(&mut self, name: &str, prepared: PreparedStatement) -> Result<(), TooManyStatements> {
        self.discard(name);
        let bytes = self.bytes + prepared.len() + name.len();
        if self.by_name.len() >= MAX_STATEMENTS || bytes > MAX_STATEMENT_BYTES {
            return Err(TooManyStatements);
        }
        self.bytes = bytes;
        self.by_name.insert(name.into(), prepared);
        Ok(())
    }

    /// Appends a message of the caller to `out`, behind the `Parse` of the stored statement that it needs.
    ///
    /// # Errors
    ///
    /// When the frame is malformed.
    pub fn forward(
        &mut self,
        frame: &Frame,
        pending_completions: &mut PendingCompletions,
        out: &mut Vec<u8>,
    ) -> Result<(), FrameError> {
        match frame.tag() {
            frontend::PARSE => {
                let (name, _) = frame.parse()?;
                pending_completions.names_on_slot.insert(name.into());
                pending_completions.push(PendingCompletion::Parse(
                    CompletionOwner::Caller,
                    Some(frame.clone()),
                ));
            }
            frontend::BIND => self.inject_missing_parse(frame.bind()?.1, pending_completions, out),
            frontend::DESCRIBE => {
                if let (b'S', name) = frame.target()? {
                    self.inject_missing_parse(name, pending_completions, out);
                }
            }
            frontend::CLOSE => {
                if let (b'S', name) = frame.target()? {
                    self.discard(name);
                    pending_completions.names_on_slot.remove(name);
                }
                pending_completions.push(PendingCompletion::Close(CompletionOwner::Caller));
            }
            frontend::SYNC | frontend::QUERY => pending_completions.push(PendingCompletion::BatchEnd),
            _ => {}
        }
        out.extend_from_slice(frame.bytes());
        Ok(())
    }

    /// Injects the `Parse` of a stored statement that the slot connection does not hold, behind a `Close` where it may
    /// hold one of that name.
    fn inject_missing_parse(
        &self,
        name: &str,
        pending_completions: &mut PendingCompletions,
        out: &mut Vec<u8>,
    ) {
        if pending_completions.names_on_slot.contains(name) {
            return;
        }
        let Some(PreparedStatement::Remote(parse, _)) = self.by_name.get(name) else {
            return;
        };
        if pending_completions.slot_contents_unknown {
            append_close_statement(name, out);
            pending_completions.push(PendingCompletion::Close(CompletionOwner::Entry));
        }
        out.extend_from_slice(parse);
        pending_completions.names_on_slot.insert(name.into());
        pending_completions.push(PendingCompletion::Parse(CompletionOwner::Entry, None));
    }
}

impl PreparedStatement {
    fn len(&self) -> usize {
        match self {
            Self::Remote(bytes, _) => bytes.len(),
            Self::Local(_) => size_of::<LocalStatement>(),
        }
    }
}

impl PendingCompletions {
    fn push(&mut self, completion: PendingCompletion) {
        self.queue.push_back(completion);
    }

    /// Records that the slot completed a `Parse`. Returns who had sent it.
    pub fn parse_completed(&mut self) -> CompletionOwner {
        match self.queue.front_mut() {
            Some(PendingCompletion::Parse(owner, frame)) => {
                let owner = *owner;
                self.parsed_frames.extend(frame.take());
                self.queue.pop_front();
                owner
            }
            _ => CompletionOwner::Caller,
        }
    }

    /// Records that the slot completed a `Close`. Returns who had sent it.
    pub fn close_completed(&mut self) -> CompletionOwner {
        match self.queue.front() {
            Some(PendingCompletion::Close(owner)) => {
                let owner = *owner;
                self.queue.pop_front();
                owner
            }
            _ => CompletionOwner::Caller,
        }
    }

    /// Records that the slot answered a whole batch. Completions of the batch that are still pending will not come,
    /// because an error made the slot skip the rest.
    pub fn batch_ended(&mut self) {
        while let Some(completion) = self.queue.pop_front() {
            match completion {
                PendingCompletion::BatchEnd => return,
                PendingCompletion::Parse(..) | PendingCompletion::Close(_) => {
                    self.names_on_slot.clear();
                    self.slot_contents_unknown = true;
                }
            }
        }
    }
}

fn append_close_statement(name: &str, out: &mut Vec<u8>) {
    out.push(frontend::CLOSE);
    out.extend_from_slice(&(name.len() as u32 + 6).to_be_bytes());
    out.push(b'S');
    out.extend_from_slice(name.as_bytes());
    out.push(0);
}

/// The query text of a raw `Parse` message.
fn query_text(parse: &[u8]) -> Option<&str> {
    let (_name, rest) = frontend::cstring(parse.get(5..)?).ok()?;
    frontend::cstring(rest).ok().map(|(text, _types)| text)
}
