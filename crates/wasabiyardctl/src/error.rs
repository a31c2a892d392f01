//! Errors reported to the operator, each with a remedy.

use miette::Diagnostic;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use thiserror::Error;
use wasabiyard_model::ManifestError;
use wasabiyard_platform::PlatformError;

/// Why a command failed.
#[derive(Debug, Error, Diagnostic)]
pub enum CtlError {
    /// The command or its subcommand is missing.
    #[error("wasabiyardctl {parent_command}: a command is missing")]
    #[diagnostic(help("see `wasabiyardctl {parent_command} --help`"))]
    MissingCommand {
        /// Command that lacks its subcommand; empty when there is no command at all.
        parent_command: &'static str,
    },
    /// A file cannot be read.
    #[error("{} cannot be read", path.display())]
    ReadFile {
        /// Path of the file.
        path: PathBuf,
        /// The I/O error.
        #[source]
        source: io::Error,
    },
    /// No log line has the request's id.
    #[error("no log line is about request {request}")]
    #[diagnostic(help("give the logs of all instances; a line may also have been left out under load"))]
    NoSuchRequest {
        /// Id of the request.
        request: String,
    },
    /// The key is too short or cannot be read.
    #[error("the key on standard input has {bytes} bytes")]
    #[diagnostic(help("give one line of at least {min_bytes} bytes, drawn at random"))]
    InvalidKey {
        /// Length of the key, 0 when it cannot be read.
        bytes: usize,
        /// Minimum length.
        min_bytes: usize,
    },
    /// A setting that the command needs is missing.
    #[error("{description}: not given")]
    #[diagnostic(help("use {option}, or set {setting} in the file of --config"))]
    MissingSetting {
        /// What the setting is, in words.
        description: &'static str,
        /// Option that gives it, with its value's form.
        option: &'static str,
        /// Section and key that give it in the settings file.
        setting: &'static str,
    },
    /// A setting is malformed.
    #[error("{location} = {value}: not {expected}")]
    #[diagnostic(help("write {expected}"))]
    InvalidSetting {
        /// Section and key, or the option, that has the value.
        location: &'static str,
        /// The malformed value.
        value: String,
        /// Description of a well-formed value.
        expected: &'static str,
    },
    /// The settings file does not parse as INI.
    #[error("the settings are not INI, line {line}")]
    #[diagnostic(help("write `[section]` or `key = value`"))]
    SettingsSyntax {
        /// Line number, from 1.
        line: usize,
    },
    /// The manifest is not valid; nothing was written.
    #[error(transparent)]
    #[diagnostic(transparent)]
    InvalidManifest(#[from] ManifestError),
    /// The platform holds no manifest.
    #[error("no manifest is in force")]
    #[diagnostic(help("put one in force with `wasabiyardctl manifest apply FILE`"))]
    NoManifest,
    /// The manifest index names a section that the platform does not hold.
    #[error("the section [{heading}] of manifest {version} is missing at the platform")]
    #[diagnostic(help("apply the manifest again"))]
    MissingSection {
        /// Version of the manifest.
        version: u64,
        /// Heading of the missing section.
        heading: String,
    },
    /// The version in force is not the one given by `--expect`.
    #[error("the file was made from version {expected} of the manifest, but version {found} is in force")]
    #[diagnostic(help("compare with `manifest show`, and apply with --expect {found}"))]
    UnexpectedVersion {
        /// Version given by `--expect`.
        expected: u64,
        /// Version in force.
        found: u64,
    },
    /// The conditional write failed because another operator changed the document meanwhile. This command changed
    /// nothing.
    #[error(
        "another operator changed {document}: this command started from version {base_version}, and version {found} \
         is in force now"
    )]
    #[diagnostic(help("review the version in force before you repeat the command"))]
    ConcurrentChange {
        /// Description of the document.
        document: &'static str,
        /// Version that this command read and based its change on.
        base_version: u64,
        /// Version in force.
        found: u64,
    },
    /// The platform lists no instance or failure domain of this name.
    #[error("{kind} {name}: not known to the platform")]
    #[diagnostic(help("known are: {known}"))]
    UnknownName {
        /// `failure domain` or `instance`.
        kind: &'static str,
        /// The name given.
        name: String,
        /// Known names, separated by commas.
        known: String,
    },
    /// The change would leave no failure domain or no instance in service.
    #[error("{kind} {name} is the last one in service")]
    #[diagnostic(help("take another one in service first"))]
    LastInService {
        /// `failure domain` or `instance`.
        kind: &'static str,
        /// The name given.
        name: String,
    },
    /// A request to the platform failed.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Platform(#[from] PlatformError),
    /// A platform document does not deserialize.
    #[error("{key} at the platform cannot be read")]
    #[diagnostic(help("it was written by another program; repair or delete it"))]
    InvalidDocument {
        /// Key of the document.
        key: String,
        /// The deserialization error.
        #[source]
        source: serde_json::Error,
    },
    /// An instance did not return a valid page from its admin address.
    #[error("request to {address} failed: {reason}")]
    #[diagnostic(help("check that the instance runs, and its [listen] admin"))]
    AdminRequest {
        /// Admin address of the instance.
        address: SocketAddr,
        /// Why there is no page.
        reason: String,
    },
    /// No instance returned a valid page.
    #[error("no instance responded: {reasons}")]
    #[diagnostic(help("check the addresses"))]
    NoAdminResponse {
        /// One error message for each address, separated by semicolons.
        reasons: String,
    },
}
