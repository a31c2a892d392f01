//! Rate limiting of operations. An operation is a transaction, or a statement outside one.
//!
//! The token bucket of an organisation is kept by one instance of the fleet. This module asks that instance for a
//! token, and falls back to the local reserve when it does not answer.

use crate::peer::PeerMessage;
use crate::rate::{RateAnswer, RateBook, RateDecision, RateWish};
use crate::{RouteRule, clock};
use async_channel::Sender;
use async_io::Timer;
use futures_lite::FutureExt;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;
use wasabiyard_model::InstanceId;

/// A token is waited for at most the route's target latency divided by this. A short wait smooths bursts; a long one
/// would only delay operations that are refused in the end.
const TOKEN_WAIT_DIVISOR: u32 = 4;
/// Upper bound of the wait for a token, whatever the route's target latency.
const MAX_TOKEN_WAIT: Duration = Duration::from_millis(150);
/// Timeouts of the successive requests to the instance that keeps the bucket. A datagram may be lost, so the request is
/// sent a second time.
const RATE_ANSWER_TIMEOUTS: [Duration; 2] = [Duration::from_millis(25), Duration::from_millis(50)];

/// Sends a datagram to one instance, without confirmation of its delivery.
pub type SendToPeer = Box<dyn Fn(&InstanceId, PeerMessage)>;

/// Admits operations at the rate of their organisation.
pub struct OperationRateLimiter {
    rates: RefCell<RateBook>,
    send_to: SendToPeer,
    /// Number of the next request, which its answer repeats.
    next_question: Cell<u64>,
    /// Requests without an answer yet, by number.
    pending: RefCell<HashMap<u64, Sender<RateAnswer>>>,
}

impl std::fmt::Debug for OperationRateLimiter {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("OperationRateLimiter")
            .field("rates", &self.rates)
            .finish_non_exhaustive()
    }
}

impl OperationRateLimiter {
    /// A rate limiter that asks other instances through `send_to`.
    pub fn new(rates: RateBook, send_to: SendToPeer) -> Self {
        Self {
            rates: RefCell::new(rates),
            send_to,
            next_question: Cell::new(0),
            pending: RefCell::default(),
        }
    }

    /// Buckets kept by this instance, and its reserves of the others. Configured from each new directory.
    pub const fn rates(&self) -> &RefCell<RateBook> {
        &self.rates
    }

    /// Takes a token of the organisation, waiting for it if it is free soon enough.
    ///
    /// # Errors
    ///
    /// The time after which a token is free, when the organisation exceeds its rate.
    pub(super) async fn acquire_token(
        &self,
        organisation: &Arc<str>,
        route: &RouteRule,
    ) -> Result<(), Duration> {
        let wish = RateWish {
            class: route.class,
            patience: (route.target / TOKEN_WAIT_DIVISOR).min(MAX_TOKEN_WAIT),
        };
        match self.decide(organisation, wish).await {
            RateDecision::After(Duration::ZERO) => Ok(()),
            RateDecision::After(wait) => {
                Timer::after(wait).await;
                Ok(())
            }
            RateDecision::Refused { retry_after } => Err(retry_after),
        }
    }

    async fn decide(&self, organisation: &Arc<str>, wish: RateWish) -> RateDecision {
        for wait in RATE_ANSWER_TIMEOUTS {
            let asked = clock::now();
            let keeper = self.rates.borrow().keeper(organisation, asked);
            let Some(keeper) = keeper else {
                break;
            };
            if let Some(answer) = self.request_token(&keeper, organisation, wish, wait).await {
                let mut rates = self.rates.borrow_mut();
                rates.on_answer(organisation, answer.reserve, asked);
                return answer.decision;
            }
            self.rates.borrow_mut().on_no_answer(organisation, clock::now());
        }
        self.rates.borrow_mut().decide(organisation, wish, clock::now())
    }

    async fn request_token(
        &self,
        keeper: &InstanceId,
        organisation: &Arc<str>,
        wish: RateWish,
        wait: Duration,
    ) -> Option<RateAnswer> {
        let question = self.next_question.get();
        self.next_question.set(question + 1);
        let (tx, rx) = async_channel::bounded(1);
        self.pending.borrow_mut().insert(question, tx);
        let message = PeerMessage::RateAsk {
            question,
            organisation: Arc::clone(organisation),
            wish,
        };
        (self.send_to)(keeper, message);
        let answered = async { rx.recv().await.ok() };
        let expired = async {
            Timer::after(wait).await;
            None
        };
        let answer = answered.or(expired).await;
        self.pending.borrow_mut().remove(&question);
        answer
    }

    /// Answers a token request of another instance.
    pub fn on_ask(&self, from: &InstanceId, question: u64, organisation: &str, wish: RateWish) {
        let answer = self
            .rates
            .borrow_mut()
            .on_ask(organisation, from, wish, clock::now());
        // An instance that does not keep the bucket sends no answer: the two instances see different lists of members
        // for a moment, and the sender soon reads the same list.
        if let Some(answer) = answer {
            (self.send_to)(from, PeerMessage::RateAnswer { question, answer });
        }
    }

    /// Handles the answer to a token request. An answer after the timeout is ignored, and its token is lost.
    pub fn on_answer(&self, question: u64, answer: RateAnswer) {
        if let Some(pending) = self.pending.borrow_mut().remove(&question) {
            let _delivered = pending.try_send(answer);
        }
    }
}
