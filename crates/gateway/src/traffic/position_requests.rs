//! Requests for samples of a primary's log point, sent to the holder of its connections.

use super::operation_rate_limiter::SendToPeer;
use super::pool::Pool;
use super::position_exchange::{SampledPosition, received_position, select_positions};
use crate::{Connector, PeerMessage, clock};
use async_channel::{Receiver, Sender};
use async_io::Timer;
use futures_lite::FutureExt;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::fmt;
use std::sync::Arc;
use std::time::Duration;
use wasabiyard_model::{InstanceId, Time};

/// Longest wait for a response within a region. Reads that have no sample then go to the primary.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(40);
/// Time after a request without a response in which none is sent for the same service.
const SILENCE_BACKOFF: Duration = Duration::from_millis(500);

/// A request that awaits its response.
#[derive(Debug)]
struct PendingRequest {
    service: Arc<str>,
    sent_at: Time,
    /// Closed when the response has been applied.
    _answered: Sender<()>,
}

/// Requests of this instance.
pub(super) struct PositionRequests {
    send_to: SendToPeer,
    next_id: Cell<u64>,
    pending: RefCell<HashMap<u64, PendingRequest>>,
    /// For each service, the end of the request that is under way.
    under_way: RefCell<HashMap<Arc<str>, Receiver<()>>>,
    /// For each service, until when no request is sent after one without a response.
    silent_until: RefCell<HashMap<Arc<str>, Time>>,
}

impl fmt::Debug for PositionRequests {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("PositionRequests")
            .field("pending", &self.pending)
            .finish_non_exhaustive()
    }
}

impl PositionRequests {
    pub(super) fn new(send_to: SendToPeer) -> Self {
        Self {
            send_to,
            next_id: Cell::new(0),
            pending: RefCell::default(),
            under_way: RefCell::default(),
            silent_until: RefCell::default(),
        }
    }

    /// Sends a request to `holder`, unless one for the service is under way. Returns the channel that is closed at its
    /// end; `None` while the holder counts as silent.
    fn send(
        &self,
        service: &Arc<str>,
        holder: &InstanceId,
        max_age: Duration,
        now: Time,
    ) -> Option<Receiver<()>> {
        if let Some(under_way) = self.under_way.borrow().get(service) {
            return Some(under_way.clone());
        }
        let silent_until = self.silent_until.borrow().get(service).copied();
        if silent_until.is_some_and(|until| now < until) {
            return None;
        }
        let request_id = self.next_id.get();
        self.next_id.set(request_id + 1);
        let (tx, rx) = async_channel::bounded(1);
        let request = PendingRequest {
            service: Arc::clone(service),
            sent_at: now,
            _answered: tx,
        };
        self.pending.borrow_mut().insert(request_id, request);
        self.under_way
            .borrow_mut()
            .insert(Arc::clone(service), rx.clone());
        let message = PeerMessage::PositionRequest {
            request_id,
            service: Arc::clone(service),
            max_age,
        };
        (self.send_to)(holder, message);
        Some(rx)
    }

    /// Ends the request for a service without a response.
    fn on_silence(&self, service: &Arc<str>, now: Time) {
        self.pending.borrow_mut().retain(|_, r| r.service != *service);
        if self.under_way.borrow_mut().remove(service).is_some() {
            self.silent_until
                .borrow_mut()
                .insert(Arc::clone(service), now + SILENCE_BACKOFF);
        }
    }

    /// The request of a response; `None` when it is no longer awaited.
    fn take(&self, request_id: u64) -> Option<PendingRequest> {
        let request = self.pending.borrow_mut().remove(&request_id)?;
        self.under_way.borrow_mut().remove(&request.service);
        Some(request)
    }
}

impl<C> Pool<C>
where
    C: Connector + 'static,
{
    /// Lets this instance request samples from others through `send_to`.
    pub fn enable_position_requests(&self, send_to: SendToPeer) {
        let first = self.positions.set(PositionRequests::new(send_to)).is_ok();
        assert!(first, "requests are enabled once");
    }

    /// Requests samples of the primary's log point that are at most `max_age` old from the instance that holds the
    /// connections to the primary, and waits for them. Does nothing where connections are not shared.
    pub(super) async fn request_positions(&self, service: &Arc<str>, max_age: Duration) {
        let now = clock::now();
        let Some((holder, requests)) = self.primary_holder(service, now).zip(self.positions.get()) else {
            return;
        };
        let Some(answered) = requests.send(service, &holder, max_age, now) else {
            return;
        };
        let timeout = RESPONSE_TIMEOUT + self.peer_delay(&holder, now);
        let answered = async {
            // The channel carries no messages; it is closed at the end of the request.
            let _closed = answered.recv().await;
            true
        };
        let expired = async {
            Timer::after(timeout).await;
            false
        };
        if !answered.or(expired).await {
            requests.on_silence(service, clock::now());
        }
    }

    /// The instance that holds the connections to the primary of a service, if it is another one.
    fn primary_holder(&self, service: &str, now: Time) -> Option<InstanceId> {
        let services = self.services.borrow();
        let pool = services.get(service)?;
        let (primary, _) = pool.usable_primary()?;
        let server = pool.servers.get(primary)?;
        let target = server.relay_target(now)?;
        let is_own = server.relay.as_ref().is_some_and(|r| r.is_own(target));
        (!is_own).then(|| target.clone())
    }

    /// The samples for the response to another instance.
    pub fn positions_within(&self, service: &str, max_age: Duration, now: Time) -> Vec<SampledPosition> {
        let services = self.services.borrow();
        let Some(pool) = services.get(service) else {
            return Vec::new();
        };
        select_positions(pool.samples.within(max_age, now), now)
    }

    /// Applies the response to a request of this instance. A late one is ignored.
    pub fn on_positions(&self, request_id: u64, positions: &[SampledPosition]) {
        let Some(request) = self.positions.get().and_then(|r| r.take(request_id)) else {
            return;
        };
        let mut services = self.services.borrow_mut();
        let Some(pool) = services.get_mut(&request.service) else {
            return;
        };
        let received = positions
            .iter()
            .filter_map(|p| received_position(*p, request.sent_at));
        for sample in received {
            pool.on_primary_point(sample.requested_at, sample.point);
        }
    }
}
