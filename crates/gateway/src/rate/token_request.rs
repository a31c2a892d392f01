//! A request for a token, and its form in messages between instances.

use serde::{Deserialize, Serialize};
use std::time::Duration;
use wasabiyard_model::PriorityClass;

/// Request for one token of an organisation's rate.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "TokenRequestMessage", into = "TokenRequestMessage")]
pub struct TokenRequest {
    /// Priority class of the operation's route; less urgent priority classes leave tokens for more urgent ones.
    pub class: PriorityClass,
    /// Longest wait for a token that the operation accepts. It is refused at once when a token takes longer.
    pub max_wait: Duration,
}

/// The form of a [`TokenRequest`] in a message. Builds with three classes read `class` only.
#[derive(Serialize, Deserialize)]
struct TokenRequestMessage {
    class: MessageClass,
    #[serde(rename = "patience")]
    max_wait: Duration,
    /// Rank of a class below [`MessageClass::Background`].
    #[serde(default, skip_serializing_if = "Option::is_none")]
    rank: Option<u8>,
}

#[derive(Serialize, Deserialize)]
enum MessageClass {
    Critical,
    Normal,
    /// This class or a less urgent one.
    Background,
}

impl From<TokenRequestMessage> for TokenRequest {
    fn from(message: TokenRequestMessage) -> Self {
        let named = match message.class {
            MessageClass::Critical => PriorityClass::CRITICAL,
            MessageClass::Normal => PriorityClass::NORMAL,
            MessageClass::Background => PriorityClass::BACKGROUND,
        };
        let class = message.rank.map(|rank| PriorityClass::from_rank(rank.into()));
        Self {
            class: class.unwrap_or(named),
            max_wait: message.max_wait,
        }
    }
}

impl From<TokenRequest> for TokenRequestMessage {
    fn from(request: TokenRequest) -> Self {
        let class = match request.class {
            PriorityClass::CRITICAL => MessageClass::Critical,
            PriorityClass::NORMAL => MessageClass::Normal,
            _ => MessageClass::Background,
        };
        let rank = (request.class > PriorityClass::BACKGROUND).then_some(request.class.rank() as u8);
        Self {
            class,
            max_wait: request.max_wait,
            rank,
        }
    }
}
