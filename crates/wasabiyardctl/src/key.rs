//! Digests of keys for the manifest.

use crate::{CtlError, Report};
use serde_json::json;
use std::io::BufRead;
use wasabiyard_model::KeyDigest;

/// Shorter keys can be guessed from their digests, which are not slow to compute.
const MIN_KEY_BYTES: usize = 16;
/// Length of the salt, in bytes.
const SALT_BYTES: usize = 16;

/// Reads one line with a key and makes its digest. The key is read from standard input, because arguments of a command
/// show in the list of processes.
///
/// # Errors
///
/// [`CtlError::Key`] when the key is shorter than 16 bytes or cannot be read.
pub fn digest_of_key<R>(mut input: R, salt: [u8; SALT_BYTES]) -> Result<Report, CtlError>
where
    R: BufRead,
{
    let mut line = String::new();
    let read = input.read_line(&mut line);
    let key = line.trim_end_matches(['\r', '\n']);
    if read.is_err() || key.len() < MIN_KEY_BYTES {
        let bytes = if read.is_ok() { key.len() } else { 0 };
        return Err(CtlError::Key {
            bytes,
            least: MIN_KEY_BYTES,
        });
    }
    let digest = KeyDigest::compute(&salt, key.as_bytes()).to_string();
    Ok(Report {
        text: format!("{digest}\n"),
        json: json!({ "digest": digest }),
    })
}
