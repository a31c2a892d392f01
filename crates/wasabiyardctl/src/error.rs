//! Errors that an operator sees.

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
    /// No command, or an incomplete one.
    #[error("wasabiyardctl {given}: a command is missing")]
    #[diagnostic(help("see `wasabiyardctl {given} --help`"))]
    Usage {
        /// What was given.
        given: &'static str,
    },
    /// A file cannot be read.
    #[error("{} cannot be read", path.display())]
    File {
        /// The file.
        path: PathBuf,
        /// Cause.
        #[source]
        source: io::Error,
    },
    /// No log line is about a request.
    #[error("no log line is about request {request}")]
    #[diagnostic(help("give the logs of all instances; a line may also have been left out under load"))]
    NoSuchRequest {
        /// Its id.
        request: String,
    },
    /// A key is too short, or cannot be read.
    #[error("the key on standard input has {bytes} bytes")]
    #[diagnostic(help("give one line of at least {least} bytes, drawn at random"))]
    Key {
        /// Its length in bytes, 0 when it cannot be read.
        bytes: usize,
        /// The least length in bytes.
        least: usize,
    },
    /// A setting is missing.
    #[error("{what}: not given")]
    #[diagnostic(help("use {option}, or set {setting} in the file of --config"))]
    Missing {
        /// What is missing.
        what: &'static str,
        /// The option.
        option: &'static str,
        /// The setting.
        setting: &'static str,
    },
    /// A setting is malformed.
    #[error("{place} = {value}: not {expected}")]
    #[diagnostic(help("write {expected}"))]
    Setting {
        /// Section and key, or the option.
        place: &'static str,
        /// The value.
        value: String,
        /// What it should be.
        expected: &'static str,
    },
    /// The settings are not INI.
    #[error("the settings are not INI, line {line}")]
    #[diagnostic(help("write `[section]` or `key = value`"))]
    SettingsSyntax {
        /// Line, from 1.
        line: usize,
    },
    /// The manifest is not valid. Nothing changed.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Manifest(#[from] ManifestError),
    /// There is no manifest at the platform.
    #[error("no manifest is in force")]
    #[diagnostic(help("put one in force with `wasabiyardctl manifest apply FILE`"))]
    NoManifest,
    /// The manifest at the platform lacks a section.
    #[error("the section [{heading}] of manifest {version} is missing at the platform")]
    #[diagnostic(help("apply the manifest again"))]
    MissingSection {
        /// Version of the manifest.
        version: u64,
        /// Heading.
        heading: String,
    },
    /// Another manifest is in force than the one that the file was made from.
    #[error("the file was made from version {expected} of the manifest, but version {found} is in force")]
    #[diagnostic(help("compare with `manifest show`, and apply with --expect {found}"))]
    OtherBase {
        /// Version expected.
        expected: u64,
        /// Version in force.
        found: u64,
    },
    /// Another operator changed the same document at the same time. Nothing changed by this command.
    #[error(
        "another operator changed {document}: this command started from version {started}, and version {found} is in \
         force now"
    )]
    #[diagnostic(help("look at the version in force and decide anew"))]
    Lost {
        /// What both changed.
        document: &'static str,
        /// Version that this command started from.
        started: u64,
        /// Version in force.
        found: u64,
    },
    /// A name that no instance and no slot has.
    #[error("{kind} {name}: not known to the platform")]
    #[diagnostic(help("known are: {known}"))]
    UnknownName {
        /// Kind of name.
        kind: &'static str,
        /// The name.
        name: String,
        /// The known names.
        known: String,
    },
    /// The last failure domain or instance would leave.
    #[error("{kind} {name} is the last one in service")]
    #[diagnostic(help("take another one in service first"))]
    Last {
        /// Kind of name.
        kind: &'static str,
        /// The name.
        name: String,
    },
    /// The platform failed.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Platform(#[from] PlatformError),
    /// A document at the platform has another form.
    #[error("{key} at the platform cannot be read")]
    #[diagnostic(help("it was written by another program; repair or delete it"))]
    Document {
        /// Key.
        key: String,
        /// Cause.
        #[source]
        source: serde_json::Error,
    },
    /// An admin address does not answer.
    #[error("{address} does not answer: {reason}")]
    #[diagnostic(help("check that the instance runs, and its [listen] admin"))]
    Admin {
        /// The address.
        address: SocketAddr,
        /// What happened.
        reason: String,
    },
    /// No admin address answers.
    #[error("no instance answers: {reasons}")]
    #[diagnostic(help("check the addresses"))]
    NoAnswer {
        /// What happened, by address.
        reasons: String,
    },
}
