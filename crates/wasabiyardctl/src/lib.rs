//! The command-line tool for operators of wasabiyard, as a library, so that tests can call its commands.
//!
//! Operators change the system only by applying manifests and by taking failure domains and instances out of service.
//! Both are stored as platform documents that are changed by conditional writes: of two concurrent changes one
//! succeeds, and the other fails with an error that states both versions. `status` and `timeline` query the admin
//! addresses of daemons; `logs` reads files.

mod admin;
mod arguments;
mod command;
mod document;
mod error;
mod key;
mod logs;
mod manifest;
mod report;
mod service_state;
mod settings;
mod status;
mod table;
mod timeline;

pub use arguments::Arguments;
pub use command::run;
pub use error::CtlError;
pub use key::digest_key;
pub use logs::logs_report;
pub use manifest::{apply_manifest, check_manifest, show_manifest};
pub use report::Report;
pub use service_state::{ServiceState, Target, set_service_state};
pub use settings::Settings;
pub use status::{AdminResponse, status_report};
pub use timeline::timeline_report;
