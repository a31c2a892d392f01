//! The check of an organisation's rate in front of an operation.

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

/// Longest wait for a token, as a part of the time in which a caller wants its operation done. A short wait smooths
/// bursts; a long one would only hold what has to be refused.
const PATIENT_PART: u32 = 4;
/// Longest wait for a token in any case.
const MAX_PATIENCE: Duration = Duration::from_millis(150);
/// Longest waits for the keeper's answer, one for each question. A datagram may be lost.
const ANSWER_WAITS: [Duration; 2] = [Duration::from_millis(25), Duration::from_millis(50)];

/// Sends a message to one instance.
pub type SendTo = Box<dyn Fn(&InstanceId, PeerMessage)>;

/// Lets operations through at the rate of their organisation.
pub struct AdmissionGate {
    rates: RefCell<RateLimiter>,
    send_to: SendTo,
    next_request_id: Cell<u64>,
    waiting: RefCell<HashMap<u64, Sender<TokenResponse>>>,
}

impl std::fmt::Debug for AdmissionGate {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("AdmissionGate")
            .field("rates", &self.rates)
            .finish_non_exhaustive()
    }
}

impl AdmissionGate {
    /// A gate that asks other instances through `send_to`.
    pub fn new(rates: RateLimiter, send_to: SendTo) -> Self {
        Self {
            rates: RefCell::new(rates),
            send_to,
            next_request_id: Cell::new(0),
            waiting: RefCell::default(),
        }
    }

    /// The rates.
    pub const fn rates(&self) -> &RefCell<RateLimiter> {
        &self.rates
    }

    /// Waits for a token of the organisation.
    ///
    /// # Errors
    ///
    /// The time after which a token is free, when the organisation is above its rate.
    pub(super) async fn pass(&self, organisation: &Arc<str>, route: &RouteRule) -> Result<(), Duration> {
        let request = TokenRequest {
            class: route.class,
            max_wait: (route.target_latency / PATIENT_PART).min(MAX_PATIENCE),
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
        for wait in ANSWER_WAITS {
            let asked = clock::now();
            let keeper = self.rates.borrow().coordinator(organisation, asked);
            let Some(keeper) = keeper else {
                break;
            };
            if let Some(answer) = self.ask(&keeper, organisation, request, wait).await {
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

    async fn ask(
        &self,
        keeper: &InstanceId,
        organisation: &Arc<str>,
        request: TokenRequest,
        wait: Duration,
    ) -> Option<TokenResponse> {
        let request_id = self.next_request_id.get();
        self.next_request_id.set(request_id + 1);
        let (tx, rx) = async_channel::bounded(1);
        self.waiting.borrow_mut().insert(request_id, tx);
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
        self.waiting.borrow_mut().remove(&request_id);
        answer
    }

    /// Handles a question of another instance.
    pub fn on_ask(&self, from: &InstanceId, request_id: u64, organisation: &str, request: TokenRequest) {
        let answer = self
            .rates
            .borrow_mut()
            .on_request(organisation, from, request, clock::now());
        // An instance that is not the keeper stays silent; the asker will see the same register soon.
        if let Some(answer) = answer {
            (self.send_to)(from, PeerMessage::RateResponse { request_id, answer });
        }
    }

    /// Handles an answer. One that comes too late finds nobody waiting, and its token is lost.
    pub fn on_answer(&self, request_id: u64, answer: TokenResponse) {
        if let Some(waiting) = self.waiting.borrow_mut().remove(&request_id) {
            let _delivered = waiting.try_send(answer);
        }
    }
}
