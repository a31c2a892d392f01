//! Background tasks of an instance: messages between instances, heartbeats, and updates from new cluster snapshots.

use super::{Gateway, TICK_INTERVAL};
use crate::control::{ControlEvent, OutboundMessage, heartbeat_period};
use crate::peer::Envelope;
use crate::{ClusterSnapshot, Connector, PeerMessage, clock};
use async_channel::Receiver;
use async_io::Timer;
use std::rc::Rc;
use std::sync::Arc;
use wasabiyard_model::{InstanceId, Time};

impl<C> Gateway<C>
where
    C: Connector + 'static,
{
    /// Passes the organisations and members of a snapshot to the rate limiter, if they have changed.
    pub(super) fn configure_rate_limiter(&self, snapshot: &ClusterSnapshot, now: Time) {
        let Some(configuration) = &snapshot.configuration else {
            return;
        };
        let members: Vec<_> = snapshot.members.iter().map(|m| m.id.clone()).collect();
        let inputs = (Some(configuration.version), members);
        if *self.rate_inputs.borrow() == inputs {
            return;
        }
        let rules = configuration.organisations.values();
        let mut limiter_state = self.rate_limiter.state().borrow_mut();
        limiter_state.configure(rules, &inputs.1, now);
        *self.rate_inputs.borrow_mut() = inputs;
    }

    pub(super) async fn send_outbound(self: Rc<Self>, outbound: Receiver<OutboundMessage>) {
        while let Ok(outbound) = outbound.recv().await {
            match outbound {
                OutboundMessage::Unicast(to, message) => match message {
                    PeerMessage::UsageStatus(status) if to == self.settings.instance.id => {
                        self.on_usage_status(&to, &status);
                    }
                    message => self.peers.send(&to, &message),
                },
                OutboundMessage::Multicast(to, message) => {
                    let own_id = &self.settings.instance.id;
                    for to in to.iter().filter(|id| *id != own_id) {
                        self.peers.send(to, &message);
                    }
                }
            }
        }
    }

    /// Sends a message to the holder of the failover lease, unless that is this instance.
    pub(super) fn send_to_lease_holder(&self, message: &PeerMessage) {
        let snapshot = self.pool.snapshot();
        if let Some(holder) = &snapshot.failover_lease_holder
            && **holder != *self.settings.instance.id.as_str()
        {
            self.peers.send(&InstanceId::from(&**holder), message);
        }
    }

    /// Receives the datagrams of other instances. All are dropped until the peer secret has been read from the store.
    pub(super) async fn receive_from_peers(self: Rc<Self>) {
        let mut buf = Vec::new();
        loop {
            if let Err(e) = self.peers.socket.receive(&mut buf).await {
                log::warn!(error:% = e; "receiving from the peer socket failed");
                Timer::after(TICK_INTERVAL).await;
                continue;
            }
            let snapshot = self.pool.snapshot();
            let Some(secret) = &snapshot.peer_secret else {
                continue;
            };
            match Envelope::open(&buf, secret) {
                Ok(envelope) => {
                    if self.settings.regions.are_several() {
                        let mut readers = self.peers.compact_readers.borrow_mut();
                        readers.on_envelope(&envelope.from, envelope.incarnation, envelope.reads_compact);
                    }
                    self.on_envelope(envelope);
                }
                Err(e) => log::debug!(error:% = e; "dropped an invalid datagram"),
            }
        }
    }

    pub(super) fn on_envelope(&self, envelope: Envelope) {
        let from = envelope.from;
        match envelope.message {
            PeerMessage::CoordinatorLink(message) => {
                let own_incarnation = self.settings.instance.incarnation;
                self.rate_limiter
                    .on_link_message(&from, envelope.incarnation, message, own_incarnation);
            }
            PeerMessage::Heartbeat { contacts } => {
                self.notify_control(ControlEvent::Heartbeat { from, contacts });
            }
            PeerMessage::RateRequest {
                request_id,
                organisation,
                request,
            } => self
                .rate_limiter
                .on_request(&from, request_id, &organisation, request),
            PeerMessage::RateResponse { request_id, response } => {
                let now = clock::now();
                if let Some(took) = self.rate_limiter.on_response(request_id, response, now) {
                    self.pool.on_peer_round_trip(&from, took, now);
                }
            }
            PeerMessage::ViewRequest { request_id, cursor } => {
                self.notify_control(ControlEvent::ViewRequest {
                    from,
                    request_id,
                    cursor,
                });
            }
            PeerMessage::ViewResponse { request_id, page } => {
                self.notify_control(ControlEvent::ViewResponse { request_id, page });
            }
            PeerMessage::PositionRequest {
                request_id,
                service,
                max_age,
            } => {
                let positions = self.pool.positions_within(&service, max_age, clock::now());
                let response = PeerMessage::PositionResponse {
                    request_id,
                    positions,
                };
                self.peers.send(&from, &response);
            }
            PeerMessage::PositionResponse {
                request_id,
                positions,
            } => self.pool.on_positions(request_id, &positions),
            PeerMessage::PrimaryRecordChanged { service, record } => {
                let changed_service = Arc::clone(&service);
                self.release_targets
                    .borrow_mut()
                    .on_primary_record(changed_service, from);
                self.notify_control(ControlEvent::PrimaryRecordChanged { service, record });
            }
            PeerMessage::Usage(message) => {
                self.notify_control(ControlEvent::Usage {
                    from,
                    incarnation: envelope.incarnation,
                    message,
                });
            }
            PeerMessage::UsageStatus(status) => self.on_usage_status(&from, &status),
            PeerMessage::PrimaryReleased { service, epoch } => {
                self.notify_control(ControlEvent::PrimaryReleased { from, service, epoch });
            }
        }
    }

    pub(super) fn notify_control(&self, event: ControlEvent) {
        if let Err(e) = self.events.try_send(event) {
            log::debug!(error:% = e; "dropped an event for the control thread");
        }
    }

    pub(super) async fn heartbeat_loop(self: Rc<Self>) {
        loop {
            let period = heartbeat_period(self.pool.snapshot().fleet_size());
            Timer::after(period).await;
            let now = clock::now();
            let contacts = self.pool.primary_contacts(period, now);
            self.send_to_lease_holder(&PeerMessage::Heartbeat {
                contacts: contacts.clone(),
            });
            self.notify_control(ControlEvent::Heartbeat {
                from: self.settings.instance.id.clone(),
                contacts,
            });
            self.resend_releases();
        }
    }

    /// Repeats, while a primary is being replaced, that this instance no longer uses the old one.
    pub(super) fn resend_releases(&self) {
        for (service, epoch) in self.pool.released() {
            self.send_release(&service, epoch);
        }
    }

    /// Reports to the instances that wait for it, and to the own control thread, that this instance uses no primary of
    /// the service from before `epoch`.
    pub(super) fn send_release(&self, service: &Arc<str>, epoch: u64) {
        let snapshot = self.pool.snapshot();
        let own_id = &self.settings.instance.id;
        let targets = self.release_targets.borrow().for_service(
            service,
            snapshot.failover_lease_holder.as_deref(),
            own_id,
        );
        let message = PeerMessage::PrimaryReleased {
            service: Arc::clone(service),
            epoch,
        };
        for target in targets {
            self.peers.send(&target, &message);
        }
        self.notify_control(ControlEvent::PrimaryReleased {
            from: self.settings.instance.id.clone(),
            service: Arc::clone(service),
            epoch,
        });
    }

    /// Ends expired waits, idle connections and the use of stale primaries, and reports new releases.
    pub(super) async fn tick_loop(self: Rc<Self>) {
        loop {
            Timer::after(TICK_INTERVAL).await;
            let now = clock::now();
            self.sharing.tick(now);
            self.pool.tick(now);
            self.rate_limiter.send_link_messages(now);
            for (service, epoch) in self.pool.take_released() {
                self.send_release(&service, epoch);
            }
        }
    }

    /// Applies each new cluster snapshot to the rate limiter and the connection pool.
    pub(super) async fn follow_snapshots(self: Rc<Self>, changed: Receiver<()>) {
        while changed.recv().await.is_ok() {
            let snapshot = self.snapshot.load_full();
            let now = clock::now();
            self.configure_rate_limiter(&snapshot, now);
            self.pool.update(&snapshot, now);
        }
    }
}
