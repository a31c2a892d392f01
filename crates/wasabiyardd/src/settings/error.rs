//! Errors in the settings file.

use miette::Diagnostic;
use std::path::PathBuf;
use thiserror::Error;

/// Why the settings were rejected. The message names the section, the key and the value; the help text names the
/// remedy.
#[derive(Debug, Error, Diagnostic)]
pub enum SettingsError {
    /// The settings file cannot be read.
    #[error("the settings file {} cannot be read", path.display())]
    #[diagnostic(help("check the path after --config and its permissions"))]
    Unreadable {
        /// Path of the settings file.
        path: PathBuf,
        /// Error of the operating system.
        #[source]
        source: std::io::Error,
    },
    /// A line is neither a heading nor `key = value`.
    #[error("line {line}: not an INI line")]
    #[diagnostic(help("write `[section]` or `key = value`"))]
    Syntax {
        /// Line number, counted from 1.
        line: usize,
    },
    /// A section that does not exist.
    #[error("[{section}]: unknown section")]
    #[diagnostic(help("remove it; known sections are: {known}"))]
    UnknownSection {
        /// The heading.
        section: String,
        /// The sections that exist, separated by commas.
        known: String,
    },
    /// A key that does not exist in its section.
    #[error("[{section}] {key} = {value}: unknown key")]
    #[diagnostic(help("remove it; known keys are: {known}"))]
    UnknownKey {
        /// The heading.
        section: String,
        /// The key.
        key: String,
        /// The value; `(hidden)` in a section that holds a secret.
        value: String,
        /// The keys of the section, separated by commas.
        known: String,
    },
    /// A required key is missing.
    #[error("[{section}] {key}: missing")]
    #[diagnostic(help("add `{key} = …`: {form}"))]
    MissingKey {
        /// The heading.
        section: &'static str,
        /// The key.
        key: &'static str,
        /// Description of the valid values.
        form: &'static str,
    },
    /// A value does not have the required form or is out of range.
    #[error("[{section}] {key} = {value}: not {form}")]
    #[diagnostic(help("write {form}"))]
    InvalidValue {
        /// The heading.
        section: &'static str,
        /// The key.
        key: &'static str,
        /// The value; `(hidden)` for a secret.
        value: String,
        /// Description of the valid values.
        form: &'static str,
    },
    /// A file named by a setting cannot be opened.
    #[error("[{section}] {key} = {value}: {reason}")]
    #[diagnostic(help("name a readable PEM file"))]
    UnusableFile {
        /// The heading.
        section: &'static str,
        /// The key.
        key: &'static str,
        /// The value, a path.
        value: String,
        /// Error of the operating system.
        reason: String,
    },
}
