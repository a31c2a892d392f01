//! Statements that a backend server runs.

use crate::{Command, PreparedStatement, Request};
use std::rc::Rc;
use wasabiyard_model::LogPoint;

/// A read or write, or the execution of a prepared statement.
#[derive(Debug, Clone)]
pub(super) struct BackendStatement {
    pub(super) writes: bool,
    /// Definition and arguments of a prepared statement, `None` for a statement that is forwarded as text.
    pub(super) prepared_call: Option<(PreparedStatement, Rc<str>)>,
}

impl BackendStatement {
    pub(super) const fn unprepared(writes: bool) -> Self {
        Self {
            writes,
            prepared_call: None,
        }
    }

    /// Definition that must be prepared on the connection.
    pub(super) fn definition(&self) -> Option<&PreparedStatement> {
        self.prepared_call.as_ref().map(|(definition, _)| definition)
    }

    pub(super) fn command<'a>(&'a self, req: &'a Request, at_least: Option<LogPoint>) -> Command<'a> {
        match &self.prepared_call {
            None => Command::Forward {
                id: &req.id,
                text: &req.text,
                at_least,
            },
            Some((definition, arguments)) => Command::Execute {
                id: &req.id,
                definition,
                arguments,
                at_least,
            },
        }
    }
}
