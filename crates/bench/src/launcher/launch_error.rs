//! Errors of the launcher.

use miette::Diagnostic;
use std::io;
use thiserror::Error;
use wasabiyard_platform::PlatformError;
use wasabiyard_standin::control::ControlError;

/// Why a process could not be started or controlled.
#[derive(Debug, Error, Diagnostic)]
pub enum LaunchError {
    /// A binary is missing from the directory of the running one.
    #[error("{name} is missing from the directory of the running binary")]
    #[diagnostic(help("build the whole workspace with the same profile: cargo build [--release]"))]
    MissingBinary {
        /// File name of the binary.
        name: String,
    },
    /// The build of the binaries failed.
    #[error("cannot build wasabiyardd, wasabiyardctl and wasabiyard-standin")]
    #[diagnostic(help("see the output of cargo above"))]
    Build,
    /// The search for free ports ran out of attempts.
    #[error("no {count} free consecutive ports on the loopback address")]
    NoPorts {
        /// Number of requested ports.
        count: u16,
    },
    /// A file operation failed, or a process could not be started.
    #[error("{message}")]
    Io {
        /// The failed operation, as in `cannot start NAME`.
        message: String,
        /// Error of the operating system.
        #[source]
        source: io::Error,
    },
    /// A process exited, or did not become ready in time.
    #[error("{name} is not ready: {reason}\n{log}")]
    NotReady {
        /// Name of the process, database or instance.
        name: String,
        /// Why it does not count as ready, such as the error of the last readiness probe.
        reason: String,
        /// Tail of the process log, or the last status response.
        log: String,
    },
    /// `wasabiyardctl` exited with an error.
    #[error("wasabiyardctl {arguments} failed:\n{output}")]
    Command {
        /// Command-line arguments, joined by spaces.
        arguments: String,
        /// Its standard output, then its standard error.
        output: String,
    },
    /// A request to an admin interface or to a stand-in's control interface failed.
    #[error(transparent)]
    Control(#[from] ControlError),
    /// A request to the platform failed.
    #[error(transparent)]
    Platform(#[from] PlatformError),
}

impl LaunchError {
    /// Wraps an I/O error with a message about the failed operation, for use with `map_err`.
    pub fn io(message: impl Into<String>) -> impl FnOnce(io::Error) -> Self {
        let message = message.into();
        move |source| Self::Io { message, source }
    }
}
