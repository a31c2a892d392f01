//! The first message of a connection, which has a request code instead of a tag.

use super::cancel::CancelKey;
use super::frontend::{FrameError, cstring};
use bytes::BytesMut;

const PROTOCOL_MAJOR: u16 = 3;
const CANCEL_REQUEST_CODE: u32 = 80_877_102;
const SSL_REQUEST_CODE: u32 = 80_877_103;
const GSSENC_REQUEST_CODE: u32 = 80_877_104;
/// Longest first message, in bytes. Other implementations of the protocol have the same limit.
const MAX_STARTUP_BYTES: usize = 10_000;

/// The first message of a connection.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum InitialMessage {
    /// `SSLRequest`: switch to TLS.
    Ssl,
    /// `GSSENCRequest`: switch to GSSAPI encryption, which is not supported.
    GssEnc,
    /// `CancelRequest`: cancel the statement of another connection.
    Cancel(CancelKey),
    /// `StartupMessage`: begin a session.
    Startup(Startup),
}

/// The parameters of a `StartupMessage`.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Startup {
    /// Minor version of the protocol that the caller requests; only 0 is supported.
    pub minor: u16,
    /// The user name, which names the organisation.
    pub user: String,
    /// The database name, which names the service; the user name if the caller gave none.
    pub database: String,
    /// The application name, which is reported back to the caller.
    pub application: String,
    /// Names and values of the `wasabiyard.*` parameters and of all settings in `options`. Names are not checked here.
    pub variables: Vec<(String, String)>,
    /// Names of `_pq_.*` protocol options, none of which is supported.
    pub unsupported: Vec<String>,
}

impl InitialMessage {
    /// Takes the first message from `input`. `None` when more bytes are needed.
    ///
    /// # Errors
    ///
    /// When the message breaks the protocol.
    pub fn take(input: &mut BytesMut) -> Result<Option<Self>, FrameError> {
        let Some(length) = input.first_chunk::<4>() else {
            return Ok(None);
        };
        let length = u32::from_be_bytes(*length) as usize;
        if !(8..=MAX_STARTUP_BYTES).contains(&length) {
            return Err(FrameError::InvalidLength);
        }
        if input.len() < length {
            return Ok(None);
        }
        let message = input.split_to(length);
        let (code, body) = message[4..]
            .split_first_chunk()
            .ok_or(FrameError::InvalidLength)?;
        match u32::from_be_bytes(*code) {
            SSL_REQUEST_CODE => Ok(Some(Self::Ssl)),
            GSSENC_REQUEST_CODE => Ok(Some(Self::GssEnc)),
            CANCEL_REQUEST_CODE => parse_cancel(body).map(Some),
            version if version >> 16 == u32::from(PROTOCOL_MAJOR) => {
                Startup::parse((version & 0xffff) as u16, body).map(|s| Some(Self::Startup(s)))
            }
            _ => Err(FrameError::MalformedBody),
        }
    }
}

fn parse_cancel(body: &[u8]) -> Result<InitialMessage, FrameError> {
    let (process_id, secret) = body.split_first_chunk().ok_or(FrameError::MalformedBody)?;
    let secret = secret.try_into().map_err(|_e| FrameError::MalformedBody)?;
    Ok(InitialMessage::Cancel(CancelKey {
        process_id: i32::from_be_bytes(*process_id),
        secret: i32::from_be_bytes(secret),
    }))
}

impl Startup {
    fn parse(minor: u16, mut body: &[u8]) -> Result<Self, FrameError> {
        let mut startup = Self {
            minor,
            ..Self::default()
        };
        loop {
            let (name, rest) = cstring(body)?;
            if name.is_empty() {
                break;
            }
            let (value, rest) = cstring(rest)?;
            startup.add(name, value)?;
            body = rest;
        }
        if startup.database.is_empty() {
            startup.database.clone_from(&startup.user);
        }
        Ok(startup)
    }

    fn add(&mut self, name: &str, value: &str) -> Result<(), FrameError> {
        match name {
            "user" => value.clone_into(&mut self.user),
            "database" => value.clone_into(&mut self.database),
            "application_name" => value.clone_into(&mut self.application),
            "options" => self.add_options(value)?,
            _ if name.starts_with("wasabiyard.") => {
                self.variables.push((name.to_owned(), value.to_owned()));
            }
            _ if name.starts_with("_pq_.") => self.unsupported.push(name.to_owned()),
            // Settings of the client library such as DateStyle are ignored; the defaults of the slots apply.
            _ => {}
        }
        Ok(())
    }

    /// Reads `-c name=value`, `-cname=value` and `--name=value`, in which a backslash escapes the next character.
    fn add_options(&mut self, text: &str) -> Result<(), FrameError> {
        let mut words = split_options(text).into_iter();
        while let Some(word) = words.next() {
            let setting = if word == "-c" {
                words.next().ok_or(FrameError::MalformedBody)?
            } else {
                let rest = word.strip_prefix("--").or_else(|| word.strip_prefix("-c"));
                rest.ok_or(FrameError::MalformedBody)?.to_owned()
            };
            let (name, value) = setting.split_once('=').ok_or(FrameError::MalformedBody)?;
            self.variables.push((name.to_owned(), value.to_owned()));
        }
        Ok(())
    }
}

fn split_options(text: &str) -> Vec<String> {
    let mut words = Vec::new();
    let mut word = String::new();
    let mut chars = text.chars();
    while let Some(c) = chars.next() {
        match c {
            '\\' => word.extend(chars.next()),
            c if c.is_whitespace() => {
                if !word.is_empty() {
                    words.push(std::mem::take(&mut word));
                }
            }
            c => word.push(c),
        }
    }
    if !word.is_empty() {
        words.push(word);
    }
    words
}
