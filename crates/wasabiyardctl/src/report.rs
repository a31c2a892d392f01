//! Output of a command, as text and as JSON.

use crate::CtlError;
use miette::Diagnostic as _;
use serde_json::{Value, json};

/// The output of a successful command in both forms.
#[derive(Debug, Clone, PartialEq)]
pub struct Report {
    /// Text for the terminal; ends with a newline.
    pub text: String,
    /// The same result for `--json`.
    pub json: Value,
}

impl Report {
    /// Returns the JSON form when `json` is set, else the text. Both end with a newline.
    pub fn render(&self, json: bool) -> String {
        if json {
            format!("{:#}\n", self.json)
        } else {
            self.text.clone()
        }
    }
}

impl CtlError {
    /// The error for `--json`: its message and its remedy, which may be null.
    pub fn to_json(&self) -> Value {
        json!({ "error": self.to_string(), "help": self.help().map(|h| h.to_string()) })
    }
}
