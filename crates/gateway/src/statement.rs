//! Statements as the core sees them, after a codec has read them.

use std::rc::Rc;

/// What a prepared name stands for.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Shape {
    /// Whether executing it writes.
    pub writes: bool,
    /// The text that defines it.
    pub text: Rc<str>,
}

/// The parts of a statement that the core decides on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Statement {
    /// Starts a transaction.
    Begin {
        /// Whether it promises not to write.
        read_only: bool,
    },
    /// Ends a transaction and keeps its writes.
    Commit,
    /// Ends a transaction and drops its writes.
    Rollback,
    /// Reads one item.
    Read,
    /// Writes one item.
    Write,
    /// Sets a session value.
    Set {
        /// Name of the value.
        name: Rc<str>,
        /// The value.
        value: Rc<str>,
    },
    /// Defines a prepared name.
    Prepare {
        /// The name.
        name: Rc<str>,
        /// What it stands for.
        shape: Shape,
    },
    /// Runs a prepared name.
    Execute {
        /// The name.
        name: Rc<str>,
        /// Arguments, as text.
        arguments: Rc<str>,
    },
    /// Forgets a prepared name.
    Deallocate {
        /// The name.
        name: Rc<str>,
    },
}

/// One message of a caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Request {
    /// The caller's id of the statement.
    pub id: Rc<str>,
    /// The text as the caller sent it; backend servers receive it unchanged.
    pub text: Rc<str>,
    /// The statement, `None` when the text is not one.
    pub statement: Option<Statement>,
}
