//! The messages between instances, and the authenticated datagrams that carry them.

use super::compact::CompactEnvelope;
use crate::PrimaryRecord;
use crate::control::ServerContacts;
use crate::rate::{LinkMessage, TokenRequest, TokenResponse};
use crate::traffic::SampledPosition;
use crate::usage::{UsageMessage, UsageStatus};
use crate::view::{ViewCursor, ViewPage};
use hmac::{Hmac, Mac};
use serde::{Deserialize, Serialize};
use sha2::Sha256;
use std::sync::Arc;
use std::time::Duration;
use thiserror::Error;
use wasabiyard_model::{Incarnation, InstanceId};

/// Length of the truncated HMAC-SHA256 at the end of each datagram.
const MAC_BYTES: usize = 16;
/// Major type of a CBOR array, the upper three bits of its first byte.
const CBOR_ARRAY: u8 = 4;

/// A message to another instance. Any message may be lost without notice to the sender.
///
/// View requests and responses hold revisions with the generation of the store. Builds without it use other names for
/// them, so that neither takes the revisions of the other for its own.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// The sender is alive and reports which backend servers answer it and which do not. Sent to the holder of the
    /// failover lease.
    #[serde(rename = "Report")]
    Heartbeat {
        /// Its contacts since the last heartbeat.
        contacts: ServerContacts,
    },
    /// Requests a token for one operation from the rate coordinator of an organisation.
    #[serde(rename = "RateAsk")]
    RateRequest {
        /// Chosen by the sender; the response repeats it.
        #[serde(rename = "question")]
        request_id: u64,
        /// Organisation that the operation is charged to.
        organisation: Arc<str>,
        /// Priority class and longest wait.
        #[serde(rename = "wish")]
        request: TokenRequest,
    },
    /// Response to [`Self::RateRequest`]. An instance that is not the coordinator sends none.
    #[serde(rename = "RateAnswer")]
    RateResponse {
        /// Id of the request.
        #[serde(rename = "question")]
        request_id: u64,
        /// The decision, and the rate that is reserved for the requester.
        #[serde(rename = "answer")]
        response: TokenResponse,
    },
    /// Contact between the rate coordinator of an organisation and its substitute.
    CoordinatorLink(LinkMessage),
    /// Requests the view changes since `cursor` from a relay.
    ViewRequest {
        /// Chosen by the sender; the response repeats it.
        #[serde(rename = "question")]
        request_id: u64,
        /// Last change that the sender has applied.
        #[serde(rename = "mark")]
        cursor: ViewCursor,
    },
    /// Response to [`Self::ViewRequest`].
    ViewResponse {
        /// Id of the request.
        #[serde(rename = "question")]
        request_id: u64,
        /// Changes after the cursor of the request.
        page: ViewPage,
    },
    /// Requests samples of a primary's log point from the holder of its connections.
    PositionRequest {
        /// Chosen by the sender; the response repeats it.
        request_id: u64,
        /// Service of the primary.
        service: Arc<str>,
        /// Age of the oldest sample that is of use.
        max_age: Duration,
    },
    /// Response to [`Self::PositionRequest`].
    PositionResponse {
        /// Id of the request.
        request_id: u64,
        /// Samples, oldest first.
        positions: Vec<SampledPosition>,
    },
    /// The sender has written a new primary record to the store.
    #[serde(rename = "Recorded")]
    PrimaryRecordChanged {
        /// Service that the record belongs to.
        service: Arc<str>,
        /// The record as written.
        record: PrimaryRecord,
    },
    /// The sender no longer uses any primary of an epoch below `epoch`.
    #[serde(rename = "Released")]
    PrimaryReleased {
        /// Service of the primary.
        service: Arc<str>,
        /// Lowest epoch that the sender may still use.
        epoch: u64,
    },
    /// Usage counts of the sender. Sent only where usage reports are required.
    Usage(UsageMessage),
    /// What the holder of the failover lease has of the usage counts.
    UsageStatus(UsageStatus),
}

/// A message with its sender, as authenticated and sent in one datagram.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Envelope {
    /// Id of the sending instance.
    pub from: InstanceId,
    /// Incarnation of the sending process.
    pub incarnation: Incarnation,
    /// The payload.
    pub message: PeerMessage,
    /// Whether the sender reads [`Encoding::Compact`]. Left out otherwise; builds without that encoding ignore it.
    #[serde(default, rename = "short", skip_serializing_if = "std::ops::Not::not")]
    pub reads_compact: bool,
}

/// How the content of a datagram is encoded. The first byte tells the two apart.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Encoding {
    /// A CBOR map with the names of all fields.
    Named,
    /// A CBOR array, for instances that are known to read it.
    Compact,
}

/// Why a datagram is dropped.
#[derive(Debug, Error)]
pub enum EnvelopeError {
    /// It is too short, or its HMAC does not match the fleet's secret.
    #[error("the datagram is not authentic")]
    NotAuthentic,
    /// The content is authentic but not the CBOR of an envelope, for example from another release.
    #[error("the datagram cannot be read: {0}")]
    Unreadable(#[from] ciborium::de::Error<std::io::Error>),
}

impl Envelope {
    /// Encodes the envelope as a datagram: CBOR followed by a truncated HMAC-SHA256 with the fleet's secret.
    pub fn seal(&self, encoding: Encoding, secret: &[u8]) -> Vec<u8> {
        let mut bytes = Vec::with_capacity(256);
        let written = match encoding {
            Encoding::Named => ciborium::into_writer(self, &mut bytes),
            Encoding::Compact => ciborium::into_writer(&CompactEnvelope::from(self), &mut bytes),
        };
        written.expect("writing to memory cannot fail");
        let tag = mac(secret, &bytes).finalize().into_bytes();
        bytes.extend_from_slice(&tag[..MAC_BYTES]);
        bytes
    }

    /// Authenticates and decodes a datagram.
    ///
    /// # Errors
    ///
    /// See [`EnvelopeError`]. The content is decoded only after its HMAC has been checked.
    pub fn open(datagram: &[u8], secret: &[u8]) -> Result<Self, EnvelopeError> {
        let split = datagram
            .len()
            .checked_sub(MAC_BYTES)
            .ok_or(EnvelopeError::NotAuthentic)?;
        let (content, tag) = datagram.split_at(split);
        mac(secret, content)
            .verify_truncated_left(tag)
            .map_err(|_e| EnvelopeError::NotAuthentic)?;
        if content.first().is_some_and(|byte| byte >> 5 == CBOR_ARRAY) {
            let envelope: CompactEnvelope = ciborium::from_reader(content)?;
            return Ok(envelope.into());
        }
        Ok(ciborium::from_reader(content)?)
    }
}

fn mac(secret: &[u8], content: &[u8]) -> Hmac<Sha256> {
    let mut mac = Hmac::<Sha256>::new_from_slice(secret).expect("a key of any length");
    mac.update(content);
    mac
}
