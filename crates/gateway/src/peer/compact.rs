//! The short encoding of messages between regions, where bytes are scarce.
//!
//! A token request and its response cross for each operation of an organisation whose rate coordinator is in the other
//! region. In the usual encoding most of their bytes are names of fields. The short one has the same content as an array.
//! Times are in milliseconds and rounded to the side that admits less: a requester waits no longer than it asked for, an
//! operation runs no earlier than its token is there, and no more is reserved than the coordinator counts.

use super::{Envelope, PeerMessage};
use crate::rate::{LinkEcho, LinkMessage, RateDecision, TokenRequest, TokenResponse};
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use std::time::Duration;
use wasabiyard_model::{Incarnation, InstanceId, PriorityClass, Time};

/// An envelope as an array: sender, incarnation and message.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct CompactEnvelope(InstanceId, Incarnation, CompactMessage);

#[derive(Debug, Serialize, Deserialize)]
enum CompactMessage {
    /// Id of the request, organisation, class and longest wait.
    #[serde(rename = "q")]
    RateRequest(u64, Arc<str>, PriorityClass, u64),
    /// Id of the request, decision, and thousandths of an operation a second that are reserved.
    #[serde(rename = "a")]
    RateResponse(u64, CompactDecision, u64),
    /// Time of sending, incarnation and time of the echo, and whether it is a reply.
    #[serde(rename = "l")]
    CoordinatorLink(Time, Option<(Incarnation, Time)>, bool),
    /// Any other message, in the usual encoding.
    #[serde(rename = "m")]
    Other(Box<PeerMessage>),
}

/// A [`RateDecision`] with its time in milliseconds.
#[derive(Debug, Serialize, Deserialize)]
enum CompactDecision {
    #[serde(rename = "g")]
    GrantedAfter(u64),
    #[serde(rename = "r")]
    Refused(u64),
}

impl From<&Envelope> for CompactEnvelope {
    fn from(envelope: &Envelope) -> Self {
        let message = CompactMessage::from(&envelope.message);
        Self(envelope.from.clone(), envelope.incarnation, message)
    }
}

impl From<CompactEnvelope> for Envelope {
    fn from(CompactEnvelope(from, incarnation, message): CompactEnvelope) -> Self {
        Self {
            from,
            incarnation,
            message: message.into(),
            reads_compact: true,
        }
    }
}

impl From<&PeerMessage> for CompactMessage {
    fn from(message: &PeerMessage) -> Self {
        match message {
            PeerMessage::RateRequest {
                request_id,
                organisation,
                request,
            } => {
                let max_wait_ms = request.max_wait.as_millis() as u64;
                Self::RateRequest(*request_id, Arc::clone(organisation), request.class, max_wait_ms)
            }
            PeerMessage::RateResponse { request_id, response } => {
                let decision = match response.decision {
                    RateDecision::GrantedAfter(wait) => CompactDecision::GrantedAfter(ceil_millis(wait)),
                    RateDecision::Refused { retry_after } => {
                        CompactDecision::Refused(ceil_millis(retry_after))
                    }
                };
                let reserved = (response.reserved_rate * 1_000.0).floor() as u64;
                Self::RateResponse(*request_id, decision, reserved)
            }
            PeerMessage::CoordinatorLink(link) => {
                let echo = link.echo.map(|e| (e.incarnation, e.sent_at));
                Self::CoordinatorLink(link.sent_at, echo, link.reply)
            }
            other => Self::Other(Box::new(other.clone())),
        }
    }
}

impl From<CompactMessage> for PeerMessage {
    fn from(message: CompactMessage) -> Self {
        match message {
            CompactMessage::RateRequest(request_id, organisation, class, max_wait_ms) => Self::RateRequest {
                request_id,
                organisation,
                request: TokenRequest {
                    class,
                    max_wait: Duration::from_millis(max_wait_ms),
                },
            },
            CompactMessage::RateResponse(request_id, decision, reserved) => Self::RateResponse {
                request_id,
                response: TokenResponse {
                    decision: match decision {
                        CompactDecision::GrantedAfter(wait_ms) => {
                            RateDecision::GrantedAfter(Duration::from_millis(wait_ms))
                        }
                        CompactDecision::Refused(retry_ms) => RateDecision::Refused {
                            retry_after: Duration::from_millis(retry_ms),
                        },
                    },
                    reserved_rate: reserved as f64 / 1_000.0,
                },
            },
            CompactMessage::CoordinatorLink(sent_at, echo, reply) => Self::CoordinatorLink(LinkMessage {
                sent_at,
                echo: echo.map(|(incarnation, sent_at)| LinkEcho { incarnation, sent_at }),
                reply,
            }),
            CompactMessage::Other(message) => *message,
        }
    }
}

fn ceil_millis(duration: Duration) -> u64 {
    duration.as_micros().div_ceil(1_000) as u64
}
