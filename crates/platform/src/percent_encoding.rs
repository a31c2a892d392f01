//! Percent-encoding of names in the path and the query of a request.

use std::fmt::Write as _;

/// Encodes all but unreserved characters, for one segment of a path or one value of a query.
pub fn encode_segment(text: &str) -> String {
    encode(text, b"-._~")
}

/// As [`encode_segment`], but keeps slashes, for a path of several segments.
pub(crate) fn encode_path(text: &str) -> String {
    encode(text, b"-._~/")
}

fn encode(text: &str, kept: &[u8]) -> String {
    let mut encoded = String::with_capacity(text.len());
    for byte in text.bytes() {
        if byte.is_ascii_alphanumeric() || kept.contains(&byte) {
            encoded.push(char::from(byte));
        } else {
            write!(encoded, "%{byte:02X}").expect("writing to a string cannot fail");
        }
    }
    encoded
}
