//! Statements after the caller protocol has parsed them.

use std::rc::Rc;

/// Definition of a prepared statement. Sessions that prepare the same definition share it on a backend connection.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct PreparedStatement {
    /// Whether executing it writes, so that it needs the primary.
    pub writes: bool,
    /// Text of the statement.
    pub text: Rc<str>,
}

/// A parsed statement, with the parts that decide how it is run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Statement {
    /// Starts a transaction.
    Begin {
        /// Whether the caller promises not to write, so that a replica may run it.
        read_only: bool,
    },
    /// Commits the transaction.
    Commit,
    /// Rolls the transaction back.
    Rollback,
    /// A read in a single statement.
    Read,
    /// A write in a single statement.
    Write,
    /// Sets a session value.
    Set {
        /// Name of the session variable.
        name: Rc<str>,
        /// New value as text.
        value: Rc<str>,
    },
    /// Prepares a statement. The session keeps the definition; a backend connection gets it before its first execution.
    Prepare {
        /// Name within the session.
        name: Rc<str>,
        /// Definition to bind to the name.
        definition: PreparedStatement,
    },
    /// Executes a prepared statement.
    Execute {
        /// Name within the session.
        name: Rc<str>,
        /// Arguments as the caller sent them.
        arguments: Rc<str>,
    },
    /// Removes a prepared statement from the session.
    Deallocate {
        /// Name within the session.
        name: Rc<str>,
    },
}

/// One request of a caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Request {
    /// The caller's id of the statement.
    pub id: Rc<str>,
    /// Text as the caller sent it; backend servers receive it unchanged.
    pub text: Rc<str>,
    /// Parsed statement; `None` when the text is malformed.
    pub statement: Option<Statement>,
}
