//! Validation errors of a manifest.

use miette::Diagnostic;
use thiserror::Error;

/// Why a manifest was rejected. The message names the place and the value, the help text the remedy.
#[derive(Debug, Clone, PartialEq, Eq, Error, Diagnostic)]
pub enum ManifestError {
    /// The text is not valid INI.
    #[error("line {line}: invalid INI syntax")]
    #[diagnostic(help("write `[section]` or `key = value`"))]
    Syntax {
        /// Line number, starting at 1.
        line: usize,
    },
    /// A section heading has an unknown type or no name.
    #[error("[{section}]: unknown section type")]
    #[diagnostic(help("use `[service NAME]`, `[organisation NAME]` or `[route NAME]`"))]
    UnknownSection {
        /// The heading of the section.
        section: String,
    },
    /// A name is too long or has characters that are not allowed.
    #[error("[{section}]: invalid name {name:?}")]
    #[diagnostic(help("use up to 63 letters, digits, `-`, `_` and `.`"))]
    InvalidName {
        /// The heading of the section.
        section: String,
        /// The name.
        name: String,
    },
    /// Two sections of one type have the same name.
    #[error("[{section}]: duplicate section")]
    #[diagnostic(help("remove or rename one of them"))]
    Duplicate {
        /// The heading of the section.
        section: String,
    },
    /// A section has a key that its type does not define.
    #[error("[{section}] {key}: unknown key")]
    #[diagnostic(help("remove it; known keys are: {known}"))]
    UnknownKey {
        /// The heading of the section.
        section: String,
        /// The key.
        key: String,
        /// The keys that the section type defines, separated by commas.
        known: &'static str,
    },
    /// A section has the same key more than once.
    #[error("[{section}] {key}: duplicate key")]
    #[diagnostic(help("remove all but one of these lines"))]
    DuplicateKey {
        /// The heading of the section.
        section: String,
        /// The key.
        key: String,
    },
    /// A required key is missing.
    #[error("[{section}] {key}: required key is missing")]
    #[diagnostic(help("add `{key} = {example}`"))]
    MissingKey {
        /// The heading of the section.
        section: String,
        /// The key.
        key: &'static str,
        /// A valid value, for the help text.
        example: &'static str,
    },
    /// A value does not have the required form or is out of range.
    #[error("[{section}] {key} = {value}: expected {expected}")]
    #[diagnostic(help("use {expected}"))]
    InvalidValue {
        /// The heading of the section.
        section: String,
        /// The key.
        key: String,
        /// The value found.
        value: String,
        /// A description of the valid values.
        expected: &'static str,
    },
    /// A value refers to a section that is not declared.
    #[error("[{section}] {key} = {value}: no such {kind}")]
    #[diagnostic(help("declare [{kind} {value}] or correct the name"))]
    UnknownName {
        /// The heading of the section.
        section: String,
        /// The key.
        key: String,
        /// The name found.
        value: String,
        /// The type of the section that is not declared.
        kind: &'static str,
    },
}
