//! A statement that a backend server runs.

use crate::{Command, PreparedStatement, Request};
use std::rc::Rc;
use wasabiyard_model::LogPoint;

/// A statement that a backend server runs.
#[derive(Debug, Clone)]
pub(super) struct Work {
    pub(super) writes: bool,
    /// Definition and arguments of a prepared statement.
    pub(super) execute: Option<(PreparedStatement, Rc<str>)>,
}

impl Work {
    pub(super) const fn plain(writes: bool) -> Self {
        Self {
            writes,
            execute: None,
        }
    }

    pub(super) fn command<'a>(&'a self, req: &'a Request, at_least: Option<LogPoint>) -> Command<'a> {
        match &self.execute {
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
