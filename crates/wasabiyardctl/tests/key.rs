//! Guards against digests that do not match their key in a manifest, and against keys short enough to be guessed.

use wasabiyard_model::KeyDigest;
use wasabiyardctl::{CtlError, digest_key};

#[test]
fn digest_fits_the_key_without_its_line_break() {
    let report = digest_key(&b"a key of twenty bytes\n"[..], [7; 16]).expect("a digest");
    let digest = KeyDigest::parse(report.text.trim()).expect("the form of the manifest");
    assert!(digest.matches(b"a key of twenty bytes"));
    assert_eq!(report.json["digest"], report.text.trim());
}

#[test]
fn short_key_is_refused() {
    let result = digest_key(&b"short\n"[..], [7; 16]);
    assert!(matches!(
        result,
        Err(CtlError::InvalidKey {
            bytes: 5,
            min_bytes: 16
        })
    ));
}
