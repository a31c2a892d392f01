//! Rate limiting of operations. An operation is a transaction, or a statement outside one.
//!
//! The token bucket of an organisation is kept by one instance of the fleet. This module asks that instance for a
//! token, and falls back to the local reserve when it does not answer.

use crate::peer::PeerMessage;
use crate::rate::{RateDecision, RateLimiter, TokenRequest, TokenResponse};
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
    rates: RefCell<RateLimiter>,
    send_to: SendToPeer,
    /// Number of the next request, which its answer repeats.
    next_request_id: Cell<u64>,
    /// Requests without an answer yet, by number.
    pending: RefCell<HashMap<u64, Sender<TokenResponse>>>,
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
    pub fn new(rates: RateLimiter, send_to: SendToPeer) -> Self {
        Self {
            rates: RefCell::new(rates),
            send_to,
            next_request_id: Cell::new(0),
            pending: RefCell::default(),
        }
    }

    /// Buckets kept by this instance, and its reserves of the others. Configured from each new directory.
    pub const fn rates(&self) -> &RefCell<RateLimiter> {
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
        let request = TokenRequest {
            class: route.class,
            max_wait: (route.target_latency / TOKEN_WAIT_DIVISOR).min(MAX_TOKEN_WAIT),
        };
        match self.decide(organisation, request).await {
            RateDecision::GrantedAfter(Duration::ZERO) => Ok(()),
            RateDecision::GrantedAfter(wait) => {
                Timer::after(wait).await;
                Ok(())
            }
            RateDecision::Refused { retry_after } => Err(retry_after),
        }
    }

    async fn decide(&self, organisation: &Arc<str>, request: TokenRequest) -> RateDecision {
        for wait in RATE_ANSWER_TIMEOUTS {
            let asked = clock::now();
            let keeper = self.rates.borrow().coordinator(organisation, asked);
            let Some(keeper) = keeper else {
                break;
            };
            if let Some(answer) = self.request_token(&keeper, organisation, request, wait).await {
                let mut rates = self.rates.borrow_mut();
                rates.on_response(organisation, answer.reserved_rate, asked);
                return answer.decision;
            }
            self.rates.borrow_mut().on_timeout(organisation, clock::now());
        }
        self.rates
            .borrow_mut()
            .decide(organisation, request, clock::now())
    }

    async fn request_token(
        &self,
        keeper: &InstanceId,
        organisation: &Arc<str>,
        request: TokenRequest,
        wait: Duration,
    ) -> Option<TokenResponse> {
        let request_id = self.next_request_id.get();
        self.next_request_id.set(request_id + 1);
        let (tx, rx) = async_channel::bounded(1);
        self.pending.borrow_mut().insert(request_id, tx);
        let message = PeerMessage::RateRequest {
            request_id,
            organisation: Arc::clone(organisation),
            request,
        };
        (self.send_to)(keeper, message);
        let answered = async { rx.recv().await.ok() };
        let expired = async {
            Timer::after(wait).await;
            None
        };
        let answer = answered.or(expired).await;
        self.pending.borrow_mut().remove(&request_id);
        answer
    }

    /// Answers a token request of another instance.
    pub fn on_ask(&self, from: &InstanceId, request_id: u64, organisation: &str, request: TokenRequest) {
        let answer = self
            .rates
            .borrow_mut()
            .on_request(organisation, from, request, clock::now());
        // An instance that does not keep the bucket sends no answer: the two instances see different lists of members
        // for a moment, and the sender soon reads the same list.
        if let Some(answer) = answer {
            (self.send_to)(from, PeerMessage::RateResponse { request_id, answer });
        }
    }

    /// Handles the answer to a token request. An answer after the timeout is ignored, and its token is lost.
    pub fn on_answer(&self, request_id: u64, answer: TokenResponse) {
        if let Some(pending) = self.pending.borrow_mut().remove(&request_id) {
            let _delivered = pending.try_send(answer);
        }
    }
}
