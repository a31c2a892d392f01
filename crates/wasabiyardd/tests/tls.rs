//! Protection of callers' keys by TLS.

mod entry_fixture;

use async_io::Async;
use entry_fixture::{Client, Fixture, frame, settings, startup};
use futures_lite::future::block_on;
use futures_lite::io::{AsyncReadExt, AsyncWriteExt};
use futures_rustls::TlsConnector;
use futures_rustls::rustls::crypto::ring;
use futures_rustls::rustls::pki_types::ServerName;
use futures_rustls::rustls::{ClientConfig, RootCertStore};
use std::net::TcpStream;
use std::sync::Arc;
use wasabiyardd::settings::{Settings, TlsSettings};
use wasabiyardd::tls;

const SSL_REQUEST: u32 = 80_877_103;
const GSSENC_REQUEST: u32 = 80_877_104;

fn settings_without_cleartext_keys() -> Settings {
    let mut settings = settings();
    settings.tls.allow_cleartext_keys = false;
    settings
}

/// Guards against a key that is sent in clear text because the entry did not refuse the login first.
#[test]
fn key_in_clear_text_is_refused_before_it_is_sent() {
    let fixture = Fixture::with(settings_without_cleartext_keys(), None);
    let mut client = Client::connect(fixture.address);
    client.send(&startup(GSSENC_REQUEST, b""));
    client.send(&startup(SSL_REQUEST, b""));
    client.send(&startup(196_608, b"user\0zoo\0database\0membership\0\0"));
    let mut refusals = [0; 2];
    std::io::Read::read_exact(&mut client.socket, &mut refusals).expect("two answers");
    assert_eq!(&refusals, b"NN");
    let answer = client.read_response();
    assert_eq!(
        (answer.error.as_deref(), answer.types.as_str()),
        (Some("28000"), "E")
    );
}

/// Guards against a TLS setup that does not work, and against clear text in front of the handshake that is taken as
/// part of the TLS session.
#[test]
fn key_over_tls_opens_a_session() {
    let directory = tempfile::tempdir().expect("a directory");
    let generated = rcgen::generate_simple_self_signed(vec!["localhost".to_owned()]).expect("a certificate");
    let (certificate, key) = (directory.path().join("c.pem"), directory.path().join("k.pem"));
    std::fs::write(&certificate, generated.cert.pem()).expect("a file");
    std::fs::write(&key, generated.signing_key.serialize_pem()).expect("a file");
    let files = TlsSettings {
        files: Some((certificate, key)),
        allow_cleartext_keys: false,
    };
    let acceptor = tls::acceptor(&files).expect("usable").expect("configured");
    let fixture = Fixture::with(settings_without_cleartext_keys(), Some(acceptor));

    let mut roots = RootCertStore::empty();
    roots.add(generated.cert.der().clone()).expect("a root");
    let config = ClientConfig::builder_with_provider(Arc::new(ring::default_provider()))
        .with_safe_default_protocol_versions()
        .expect("versions")
        .with_root_certificates(roots)
        .with_no_client_auth();
    let types = block_on(async {
        let mut socket = Async::<TcpStream>::connect(fixture.address).await?;
        socket.write_all(&startup(SSL_REQUEST, b"")).await?;
        let mut answer = [0];
        socket.read_exact(&mut answer).await?;
        assert_eq!(&answer, b"S");
        let name = ServerName::try_from("localhost").expect("a name");
        let mut tls = TlsConnector::from(Arc::new(config)).connect(name, socket).await?;
        let login = b"user\0zoo\0database\0membership\0wasabiyard.route\0pay\0\0";
        let messages = [
            startup(196_608, login),
            frame(b'p', b"key-zoo\0"),
            frame(b'Q', b"SELECT 1\0"),
            frame(b'X', b""),
        ];
        tls.write_all(&messages.concat()).await?;
        let mut received = Vec::new();
        tls.read_to_end(&mut received).await?;
        Ok::<_, std::io::Error>(received)
    });
    let received = types.expect("a session");
    let end = frame(b'C', b"SELECT 1\0");
    assert!(
        received.windows(end.len()).any(|w| w == end),
        "the statement is answered"
    );

    let mut client = Client::connect(fixture.address);
    client.send(&[startup(SSL_REQUEST, b""), startup(196_608, b"user\0zoo\0\0")].concat());
    let answer = client.read_response();
    assert_eq!(
        answer.error.as_deref(),
        Some("08P01"),
        "bytes in front of the handshake"
    );
}
