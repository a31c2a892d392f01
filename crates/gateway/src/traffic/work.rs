//! A statement that a backend server runs.

use crate::{Command, Request, Shape};
use std::rc::Rc;
use wasabiyard_model::LogPoint;

/// A statement that a backend server runs.
#[derive(Debug, Clone)]
pub(super) struct Work {
    pub(super) writes: bool,
    /// Shape and arguments of a prepared statement.
    pub(super) execute: Option<(Shape, Rc<str>)>,
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
            Some((shape, arguments)) => Command::Execute {
                id: &req.id,
                shape,
                arguments,
                at_least,
            },
        }
    }
}
