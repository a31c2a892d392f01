//! TLS for connections of callers.

use crate::settings::TlsSettings;
use futures_rustls::TlsAcceptor;
use futures_rustls::rustls::ServerConfig;
use futures_rustls::rustls::crypto::ring;
use miette::Diagnostic;
use std::fs::File;
use std::io::{self, BufReader};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use thiserror::Error;

/// Why the certificate or the key cannot be used.
#[derive(Debug, Error, Diagnostic)]
pub enum TlsError {
    /// A file cannot be read or is not valid PEM.
    #[error("[tls]: {} cannot be read", path.display())]
    #[diagnostic(help("name a readable PEM file"))]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// Cause.
        #[source]
        source: io::Error,
    },
    /// The key file holds no private key.
    #[error("[tls] key: {} holds no private key", path.display())]
    #[diagnostic(help("name a PEM file with a PKCS#8, PKCS#1 or SEC1 key"))]
    NoPrivateKey {
        /// The file.
        path: PathBuf,
    },
    /// Certificate and key do not match or are not supported.
    #[error("[tls]: certificate and key cannot be used")]
    #[diagnostic(help("name a certificate chain and the key of its first certificate"))]
    Unusable(#[from] futures_rustls::rustls::Error),
}

/// Creates the TLS acceptor from the certificate and key files of the settings. `None` if the settings name none.
///
/// # Errors
///
/// When a file cannot be read or used.
pub fn acceptor(settings: &TlsSettings) -> Result<Option<TlsAcceptor>, TlsError> {
    let Some((certificate, key)) = &settings.files else {
        return Ok(None);
    };
    let chain = rustls_pemfile::certs(&mut open(certificate)?)
        .collect::<Result<Vec<_>, _>>()
        .map_err(|source| unreadable(certificate, source))?;
    let private_key_der = rustls_pemfile::private_key(&mut open(key)?)
        .map_err(|source| unreadable(key, source))?
        .ok_or_else(|| TlsError::NoPrivateKey { path: key.clone() })?;
    let config = ServerConfig::builder_with_provider(Arc::new(ring::default_provider()))
        .with_safe_default_protocol_versions()?
        .with_no_client_auth()
        .with_single_cert(chain, private_key_der)?;
    Ok(Some(TlsAcceptor::from(Arc::new(config))))
}

fn open(path: &Path) -> Result<BufReader<File>, TlsError> {
    File::open(path)
        .map(BufReader::new)
        .map_err(|source| unreadable(path, source))
}

fn unreadable(path: &Path, source: io::Error) -> TlsError {
    TlsError::Unreadable {
        path: path.to_owned(),
        source,
    }
}
