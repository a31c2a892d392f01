//! Rate limiting of operations. An operation is a transaction, or a statement outside one.
//!
//! The token bucket of an organisation is held by one instance of the fleet, its rate coordinator. This module requests
//! tokens from that instance. When it does not respond, it falls back to the reserved rate and then to the substitute of
//! the coordinator.

use crate::peer::PeerMessage;
use crate::rate::{LinkMessage, RateDecision, RateLimiterState, TokenRequest, TokenResponse};
use crate::{RouteRule, clock};
use async_channel::Sender;
use async_io::Timer;
use futures_lite::FutureExt;
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;
use wasabiyard_model::{Incarnation, InstanceId, Time};

/// A token is waited for at most the route's target latency divided by this. A short wait smooths bursts; a long one
/// would only delay operations that are refused in the end.
const TOKEN_WAIT_DIVISOR: u32 = 4;
/// Upper bound of the wait for a token, whatever the route's target latency.
const MAX_TOKEN_WAIT: Duration = Duration::from_millis(150);
/// Timeouts of the successive requests to a rate coordinator, in addition to its distance. A datagram may be lost, so the request is sent a second
/// time.
const COORDINATOR_TIMEOUTS: [Duration; 2] = [Duration::from_millis(25), Duration::from_millis(50)];

/// Most requests without a response in time that are remembered.
const MAX_TIMED_OUT: usize = 64;
/// Timeout of a request to the substitute of a coordinator that does not answer.
const SUBSTITUTE_TIMEOUT: Duration = Duration::from_millis(40);

/// Sends a datagram to one instance, without confirmation of its delivery.
pub type SendToPeer = Box<dyn Fn(&InstanceId, PeerMessage)>;

/// How much longer a round trip to an instance takes than one within the region of this instance.
pub type PeerDelay = Box<dyn Fn(&InstanceId) -> Duration>;

/// Admits the operations of callers at the rate of their organisation. Requests tokens from the rate coordinators, and
/// decides by its [`RateLimiterState`] when this instance is the coordinator or the coordinator does not respond.
pub struct OperationRateLimiter {
    state: RefCell<RateLimiterState>,
    send_to: SendToPeer,
    /// Number of the next request, which its response repeats.
    next_request_id: Cell<u64>,
    /// Requests that await a response, by number, with the time of sending.
    pending: RefCell<HashMap<u64, (Time, Sender<TokenResponse>)>>,
    /// The last requests whose response did not come in time. Their responses still tell how long the round trip took.
    timed_out: RefCell<VecDeque<(u64, Time)>>,
    peer_delay: PeerDelay,
}

impl std::fmt::Debug for OperationRateLimiter {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("OperationRateLimiter")
            .field("state", &self.state)
            .finish_non_exhaustive()
    }
}

impl OperationRateLimiter {
    /// Creates a rate limiter that sends requests and responses to other instances through `send_to`.
    pub fn new(state: RateLimiterState, send_to: SendToPeer) -> Self {
        Self {
            state: RefCell::new(state),
            send_to,
            next_request_id: Cell::new(0),
            pending: RefCell::default(),
            timed_out: RefCell::default(),
            peer_delay: Box::new(|_| Duration::ZERO),
        }
    }

    /// Waits longer for responses of distant instances.
    #[must_use]
    pub fn with_peer_delay(self, peer_delay: PeerDelay) -> Self {
        Self { peer_delay, ..self }
    }

    /// Buckets that this instance coordinates, and its reservations at other coordinators. The owner configures them
    /// from each new cluster snapshot.
    pub const fn state(&self) -> &RefCell<RateLimiterState> {
        &self.state
    }

    /// Takes a token of the organisation, and waits for it if it becomes available soon enough.
    ///
    /// # Errors
    ///
    /// The time after which a token is expected to be available, when the organisation exceeds its rate.
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
        for timeout in COORDINATOR_TIMEOUTS {
            let sent_at = clock::now();
            let coordinator = self.state.borrow().coordinator(organisation, sent_at);
            let Some(coordinator) = coordinator else {
                break;
            };
            if let Some(response) = self
                .request_token(&coordinator, organisation, request, timeout)
                .await
            {
                let mut state = self.state.borrow_mut();
                state.on_response(organisation, response.reserved_rate, sent_at);
                return response.decision;
            }
            self.state.borrow_mut().on_timeout(organisation, clock::now());
        }
        let now = clock::now();
        let local = self.state.borrow_mut().decide(organisation, request, now);
        let substitute = self.state.borrow().substitute(organisation, now);
        match (local, substitute) {
            (RateDecision::Refused { .. }, Some(substitute)) => {
                let decision = self.ask_substitute(&substitute, organisation, request).await;
                decision.unwrap_or(local)
            }
            _ => local,
        }
    }

    async fn ask_substitute(
        &self,
        substitute: &InstanceId,
        organisation: &Arc<str>,
        request: TokenRequest,
    ) -> Option<RateDecision> {
        let response = self
            .request_token(substitute, organisation, request, SUBSTITUTE_TIMEOUT)
            .await;
        if response.is_none() {
            let mut state = self.state.borrow_mut();
            state.on_substitute_timeout(organisation, clock::now());
        }
        response.map(|r| r.decision)
    }

    /// Sends the messages that are due to the coordinators whose substitute this instance is.
    pub fn send_link_messages(&self, now: Time) {
        for (to, message) in self.state.borrow_mut().due_link_messages(now) {
            (self.send_to)(&to, PeerMessage::CoordinatorLink(message));
        }
    }

    /// Handles a message between a coordinator and its substitute.
    pub fn on_link_message(
        &self,
        from: &InstanceId,
        incarnation: Incarnation,
        message: LinkMessage,
        own_incarnation: Incarnation,
    ) {
        let reply = self.state.borrow_mut().on_link_message(
            from,
            incarnation,
            message,
            own_incarnation,
            clock::now(),
        );
        if let Some(reply) = reply {
            (self.send_to)(from, PeerMessage::CoordinatorLink(reply));
        }
    }

    async fn request_token(
        &self,
        coordinator: &InstanceId,
        organisation: &Arc<str>,
        request: TokenRequest,
        timeout: Duration,
    ) -> Option<TokenResponse> {
        let request_id = self.next_request_id.get();
        self.next_request_id.set(request_id + 1);
        let (tx, rx) = async_channel::bounded(1);
        let sent_at = clock::now();
        self.pending.borrow_mut().insert(request_id, (sent_at, tx));
        let message = PeerMessage::RateRequest {
            request_id,
            organisation: Arc::clone(organisation),
            request,
        };
        (self.send_to)(coordinator, message);
        let received = async { rx.recv().await.ok() };
        let timeout = timeout + (self.peer_delay)(coordinator);
        let expired = async {
            Timer::after(timeout).await;
            None
        };
        let response = received.or(expired).await;
        if self.pending.borrow_mut().remove(&request_id).is_some() {
            let mut timed_out = self.timed_out.borrow_mut();
            timed_out.truncate(MAX_TIMED_OUT - 1);
            timed_out.push_front((request_id, sent_at));
        }
        response
    }

    /// Responds to a token request of another instance.
    pub fn on_request(&self, from: &InstanceId, request_id: u64, organisation: &str, request: TokenRequest) {
        let response = self
            .state
            .borrow_mut()
            .on_request(organisation, from, request, clock::now());
        // An instance that is not the coordinator sends no response: the two instances see different lists of members
        // for a moment, and the sender soon reads the same list.
        if let Some(response) = response {
            (self.send_to)(from, PeerMessage::RateResponse { request_id, response });
        }
    }

    /// Handles the response to a token request. A response after the timeout is ignored, and its token is lost. Returns how
    /// long the round trip took, if the request is known.
    pub fn on_response(&self, request_id: u64, response: TokenResponse, now: Time) -> Option<Duration> {
        let pending = self.pending.borrow_mut().remove(&request_id);
        let sent_at = if let Some((sent_at, response_tx)) = pending {
            let _delivered = response_tx.try_send(response);
            sent_at
        } else {
            let mut timed_out = self.timed_out.borrow_mut();
            let known = timed_out.iter().position(|(id, _)| *id == request_id)?;
            timed_out.remove(known)?.1
        };
        Some(now.saturating_since(sent_at))
    }
}
