//! The messages and their authentication.

use crate::PrimaryRecord;
use crate::rate::{RateAnswer, RateWish};
use crate::view::{ViewMark, ViewPage};
use hmac::{Hmac, Mac};
use serde::{Deserialize, Serialize};
use sha2::Sha256;
use std::sync::Arc;
use thiserror::Error;
use wasabiyard_model::{Incarnation, InstanceId};

const MAC_BYTES: usize = 16;

/// A message to another instance.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// The sender runs, and these backend servers do not answer it. Sent to the holder of the failover duty.
    Report {
        /// Ids of backend servers that do not answer the sender.
        unreachable: Vec<Arc<str>>,
    },
    /// Asks the keeper of an organisation's rate for one operation.
    RateAsk {
        /// Number of the question.
        question: u64,
        /// The organisation.
        organisation: Arc<str>,
        /// What the operation asks for.
        wish: RateWish,
    },
    /// The keeper's answer.
    RateAnswer {
        /// Number of the question.
        question: u64,
        /// The answer.
        answer: RateAnswer,
    },
    /// Asks an instance that reads the store for what has changed.
    ViewAsk {
        /// Number of the question.
        question: u64,
        /// Up to which change the sender knows its view.
        mark: ViewMark,
    },
    /// What has changed.
    ViewAnswer {
        /// Number of the question.
        question: u64,
        /// The changes.
        page: ViewPage,
    },
    /// A new record, told by the instance that wrote it to the store.
    Recorded {
        /// The service.
        service: Arc<str>,
        /// The record.
        record: PrimaryRecord,
    },
    /// The sender uses no primary of an epoch below this one any more.
    Released {
        /// The service.
        service: Arc<str>,
        /// The epoch.
        epoch: u64,
    },
}

/// A message with its sender.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Envelope {
    /// Sender.
    pub from: InstanceId,
    /// Its process.
    pub incarnation: Incarnation,
    /// The message.
    pub message: PeerMessage,
}

/// Why a datagram is dropped.
#[derive(Debug, Error)]
pub enum SealError {
    /// It is too short or was not made with the fleet's secret.
    #[error("the datagram is not authentic")]
    NotAuthentic,
    /// The content cannot be read.
    #[error("the datagram cannot be read: {0}")]
    Unreadable(#[from] ciborium::de::Error<std::io::Error>),
}

impl Envelope {
    /// The datagram: CBOR followed by a truncated HMAC-SHA256.
    pub fn seal(&self, secret: &[u8]) -> Vec<u8> {
        let mut bytes = Vec::with_capacity(256);
        ciborium::into_writer(self, &mut bytes).expect("writing to memory cannot fail");
        let code = mac(secret, &bytes).finalize().into_bytes();
        bytes.extend_from_slice(&code[..MAC_BYTES]);
        bytes
    }

    /// Checks and reads a datagram.
    ///
    /// # Errors
    ///
    /// See [`SealError`]; nothing of the datagram is used then.
    pub fn open(datagram: &[u8], secret: &[u8]) -> Result<Self, SealError> {
        let split = datagram
            .len()
            .checked_sub(MAC_BYTES)
            .ok_or(SealError::NotAuthentic)?;
        let (content, code) = datagram.split_at(split);
        mac(secret, content)
            .verify_truncated_left(code)
            .map_err(|_e| SealError::NotAuthentic)?;
        Ok(ciborium::from_reader(content)?)
    }
}

fn mac(secret: &[u8], content: &[u8]) -> Hmac<Sha256> {
    let mut mac = Hmac::<Sha256>::new_from_slice(secret).expect("a key of any length");
    mac.update(content);
    mac
}
