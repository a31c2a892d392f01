//! Computes the salted key digests that a manifest contains.

use crate::{CtlError, Report};
use serde_json::json;
use std::io::BufRead;
use wasabiyard_model::KeyDigest;

/// Minimum length of a key. The digest is fast to compute, so a shorter key could be guessed from it.
const MIN_KEY_BYTES: usize = 16;
/// Length of the random salt of a digest.
const SALT_BYTES: usize = 16;

/// Reads a key from the first line of `input` and reports its digest. Operators give the key on standard input, because
/// command-line arguments show in the process list.
///
/// # Errors
///
/// [`CtlError::Key`] when the key is shorter than 16 bytes or cannot be read.
pub fn digest_key<R>(mut input: R, salt: [u8; SALT_BYTES]) -> Result<Report, CtlError>
where
    R: BufRead,
{
    let mut line = String::new();
    let read = input.read_line(&mut line);
    let key = line.trim_end_matches(['\r', '\n']);
    if read.is_err() || key.len() < MIN_KEY_BYTES {
        let bytes = if read.is_ok() { key.len() } else { 0 };
        return Err(CtlError::InvalidKey {
            bytes,
            min_bytes: MIN_KEY_BYTES,
        });
    }
    let digest = KeyDigest::compute(&salt, key.as_bytes()).to_string();
    Ok(Report {
        text: format!("{digest}\n"),
        json: json!({ "digest": digest }),
    })
}
