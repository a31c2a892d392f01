//! The command-line tool of wasabiyard's operators, as a library, so that tests can reach its commands.
//!
//! Operators change the system only by manifests and by taking failure domains and instances out of service. Both are
//! documents at the platform that are changed by conditional update; of two operators who race one wins, and the other
//! one is told both versions. `status` and `timeline` ask the admin addresses of daemons.

mod admin;
mod arguments;
mod command;
mod document;
mod error;
mod key;
mod logs;
mod manifest;
mod report;
mod service;
mod settings;
mod status;
mod table;
mod timeline;

pub use arguments::Arguments;
pub use command::run;
pub use error::CtlError;
pub use key::digest_of_key;
pub use logs::logs_report;
pub use manifest::{apply, check, show};
pub use report::Report;
pub use service::{Change, Subject, change_service};
pub use settings::Settings;
pub use status::{Answer, status_report};
pub use timeline::timeline_report;
