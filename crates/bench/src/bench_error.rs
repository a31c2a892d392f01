//! Errors of benchmarks and soak tests.

use crate::launcher::LaunchError;
use crate::sql::ClientError;
use miette::Diagnostic;
use std::io;
use thiserror::Error;

/// Why a benchmark or a soak test could not be completed.
#[derive(Debug, Error, Diagnostic)]
pub enum BenchError {
    /// A process could not be started or controlled.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Launch(#[from] LaunchError),
    /// A login or a statement failed that the benchmark depends on.
    #[error("a login or a statement failed during the benchmark")]
    Client(#[from] ClientError),
    /// A thread of the client runtime could not be started.
    #[error("cannot start a client thread")]
    Io(#[from] io::Error),
}
