//! Messages between instances, and what follows from a new directory.

use super::{Gateway, TICK};
use crate::control::{ControlEvent, OutboundMessage};
use crate::peer::Envelope;
use crate::{Connector, Directory, PeerMessage, clock};
use async_channel::Receiver;
use async_io::Timer;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use wasabiyard_model::{InstanceId, Time};

/// Shortest period of reporting to the instance that replaces primaries.
const REPORT_PERIOD: Duration = Duration::from_millis(200);
/// Period of reporting for each instance of the fleet, so that one instance can take all reports.
const REPORT_PERIOD_PER_INSTANCE: Duration = Duration::from_millis(4);

impl<C> Gateway<C>
where
    C: Connector + 'static,
{
    pub(super) fn configure_rates(&self, directory: &Directory, now: Time) {
        let Some(configuration) = &directory.configuration else {
            return;
        };
        let members: Vec<_> = directory.members.iter().map(|m| m.id.clone()).collect();
        let new = (Some(configuration.version), members);
        if *self.configured.borrow() == new {
            return;
        }
        let rules = configuration.organisations.values();
        let mut rates = self.gate.rates().borrow_mut();
        rates.configure(rules, &new.1, now);
        *self.configured.borrow_mut() = new;
    }

    pub(super) async fn send_outgoing(self: Rc<Self>, outgoing: Receiver<OutboundMessage>) {
        while let Ok(outgoing) = outgoing.recv().await {
            match outgoing {
                OutboundMessage::Unicast(to, message) => self.peers.send(&to, &message),
                OutboundMessage::Multicast(to, message) => {
                    let me = &self.settings.instance.id;
                    for to in to.iter().filter(|id| *id != me) {
                        self.peers.send(to, &message);
                    }
                }
            }
        }
    }

    /// Sends a message to the instance that replaces primaries.
    pub(super) fn tell_duty_holder(&self, message: &PeerMessage) {
        let directory = self.pool.directory();
        if let Some(holder) = &directory.duty_holder
            && **holder != *self.settings.instance.id.as_str()
        {
            self.peers.send(&InstanceId::from(&**holder), message);
        }
    }

    pub(super) async fn receive_from_peers(self: Rc<Self>) {
        let mut buf = Vec::new();
        loop {
            if let Err(e) = self.peers.socket.receive(&mut buf).await {
                log::warn!(error:% = e; "the peer socket failed");
                Timer::after(TICK).await;
                continue;
            }
            let directory = self.pool.directory();
            let Some(secret) = &directory.peer_secret else {
                continue;
            };
            match Envelope::open(&buf, secret) {
                Ok(envelope) => self.on_peer(envelope),
                Err(e) => log::debug!(error:% = e; "a datagram was dropped"),
            }
        }
    }

    pub(super) fn on_peer(&self, envelope: Envelope) {
        let from = envelope.from;
        match envelope.message {
            PeerMessage::Report { unreachable } => {
                self.tell_control(ControlEvent::Heartbeat { from, unreachable });
            }
            PeerMessage::RateAsk {
                question,
                organisation,
                wish,
            } => self.gate.on_ask(&from, question, &organisation, wish),
            PeerMessage::RateAnswer { question, answer } => self.gate.on_answer(question, answer),
            PeerMessage::ViewAsk { question, mark } => {
                self.tell_control(ControlEvent::ViewRequest { from, question, mark });
            }
            PeerMessage::ViewAnswer { question, page } => {
                self.tell_control(ControlEvent::ViewResponse { question, page });
            }
            PeerMessage::Recorded { service, record } => {
                let told = Arc::clone(&service);
                self.release_targets.borrow_mut().on_recorded(told, from);
                self.tell_control(ControlEvent::PrimaryRecordChanged { service, record });
            }
            PeerMessage::Released { service, epoch } => {
                self.tell_control(ControlEvent::PrimaryReleased { from, service, epoch });
            }
        }
    }

    pub(super) fn tell_control(&self, event: ControlEvent) {
        if let Err(e) = self.events.try_send(event) {
            log::debug!(error:% = e; "the control thread is behind");
        }
    }

    pub(super) async fn report(self: Rc<Self>) {
        loop {
            let fleet = self.pool.directory().fleet_size() as u32;
            Timer::after(REPORT_PERIOD.max(REPORT_PERIOD_PER_INSTANCE * fleet)).await;
            let now = clock::now();
            let unreachable = self.pool.unreachable(now);
            self.tell_duty_holder(&PeerMessage::Report {
                unreachable: unreachable.clone(),
            });
            self.tell_control(ControlEvent::Heartbeat {
                from: self.settings.instance.id.clone(),
                unreachable,
            });
            self.repeat_releases(now);
        }
    }

    /// While a primary is replaced, says again that this instance does not use the old one.
    pub(super) fn repeat_releases(&self, now: Time) {
        for (service, epoch) in self.pool.released(now) {
            self.tell_released(&service, epoch);
        }
    }

    pub(super) fn tell_released(&self, service: &Arc<str>, epoch: u64) {
        let directory = self.pool.directory();
        let me = &self.settings.instance.id;
        let targets = self
            .release_targets
            .borrow()
            .of(service, directory.duty_holder.as_deref(), me);
        let message = PeerMessage::Released {
            service: Arc::clone(service),
            epoch,
        };
        for target in targets {
            self.peers.send(&target, &message);
        }
        self.tell_control(ControlEvent::PrimaryReleased {
            from: self.settings.instance.id.clone(),
            service: Arc::clone(service),
            epoch,
        });
    }

    pub(super) async fn tick(self: Rc<Self>) {
        loop {
            Timer::after(TICK).await;
            let now = clock::now();
            self.pool.tick(now);
            for (service, epoch) in self.pool.take_released() {
                self.tell_released(&service, epoch);
            }
        }
    }

    pub(super) async fn follow_directory(self: Rc<Self>, changed: Receiver<()>) {
        while changed.recv().await.is_ok() {
            let directory = self.directory.load_full();
            let now = clock::now();
            self.configure_rates(&directory, now);
            self.pool.update(&directory, now);
        }
    }
}
