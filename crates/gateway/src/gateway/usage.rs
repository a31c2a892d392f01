//! Sending the usage counts of this instance to the holder of the failover lease.

use super::Gateway;
use crate::control::{ControlEvent, UsageContext};
use crate::usage::{SharedFleetClock, UsageCounter, UsageMessage, UsageSender, UsageStatus};
use crate::view::rank_instances;
use crate::{Connector, PeerMessage, clock};
use async_io::Timer;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use wasabiyard_model::{InstanceId, Time};

/// Period of checking whether counts are due.
const SEND_PERIOD: Duration = Duration::from_millis(100);
/// Number of instances that receive a copy of the counts of the holder, which has nobody to send them to. They are those that
/// acquire the lease next.
const COPIES: usize = 2;
/// Number of times that a stopping instance sends its counts, and the pause after each.
const LAST_SENDS: u32 = 3;
const LAST_SEND_PAUSE: Duration = Duration::from_millis(120);

/// Counts of this instance and their sending.
#[derive(Debug)]
pub(super) struct UsageTraffic {
    pub(super) counter: Rc<RefCell<UsageCounter>>,
    sender: RefCell<UsageSender>,
    clock: SharedFleetClock,
}

impl UsageTraffic {
    pub(super) fn new(cx: &UsageContext, own_id: &InstanceId) -> Self {
        let counter = UsageCounter::new(cx.settings, cx.clock.clone());
        Self {
            counter: Rc::new(RefCell::new(counter)),
            sender: RefCell::new(UsageSender::new(own_id)),
            clock: cx.clock.clone(),
        }
    }
}

impl<C> Gateway<C>
where
    C: Connector + 'static,
{
    /// Sends counts when they are due. Ends at once if the settings require no reports.
    pub(super) async fn usage_loop(self: Rc<Self>) {
        let Some(usage) = &self.usage else {
            return;
        };
        loop {
            Timer::after(SEND_PERIOD).await;
            let now = clock::now();
            usage.counter.borrow_mut().advance(now);
            let to_store = usage.sender.borrow_mut().to_store(&usage.counter.borrow(), now);
            if let Some(windows) = to_store {
                self.notify_control(ControlEvent::UsageNotReceived(windows));
            }
            let Some(target) = self.usage_target(now) else {
                continue;
            };
            let fleet_size = self.pool.snapshot().fleet_size();
            let counter = usage.counter.borrow();
            let mut sender = usage.sender.borrow_mut();
            let due = sender.due(&counter, &target, fleet_size, clock::wall(), now);
            drop(sender);
            for message in due {
                self.send_usage(&target, message);
            }
        }
    }

    /// Sends what is not recorded yet for the last time, when no session is left. The holder of the failover lease, which is about to
    /// release it, sends its counts to all, since any instance may be the next one.
    pub(super) async fn hand_over_usage(&self) {
        let Some(usage) = &self.usage else {
            return;
        };
        usage.counter.borrow_mut().end_all(clock::now());
        for _ in 0..LAST_SENDS {
            let now = clock::now();
            let Some(target) = self.usage_target(now) else {
                return;
            };
            let messages = {
                let counter = usage.counter.borrow();
                usage.sender.borrow().undelivered(&counter, clock::wall(), now)
            };
            if messages.is_empty() {
                return;
            }
            let is_holder = target == self.settings.instance.id;
            for message in messages {
                if is_holder {
                    let message = PeerMessage::Usage(message);
                    for member in self.other_members() {
                        self.peers.send(&member, &message);
                    }
                } else {
                    self.send_usage(&target, message);
                }
            }
            Timer::after(LAST_SEND_PAUSE).await;
        }
    }

    /// Applies the status of a holder of the failover lease.
    pub(super) fn on_usage_status(&self, from: &InstanceId, status: &UsageStatus) {
        let Some(usage) = &self.usage else {
            return;
        };
        let now = clock::now();
        if !usage.sender.borrow_mut().on_status(from, status, now) {
            return;
        }
        if let Some(recorded) = status.recorded {
            usage.counter.borrow_mut().on_recorded(recorded);
        }
        if let (Some(time), Some(receipt)) = (status.time, status.receipt)
            && *from != self.settings.instance.id
        {
            usage.clock.lock().on_fleet_time(time, receipt.sent, now);
        }
    }

    fn usage_target(&self, now: Time) -> Option<InstanceId> {
        let usage = self.usage.as_ref()?;
        let snapshot = self.pool.snapshot();
        let stored_holder = snapshot.failover_lease_holder.as_deref();
        usage.sender.borrow().target(stored_holder, now)
    }

    fn send_usage(&self, target: &InstanceId, message: UsageMessage) {
        let own = &self.settings.instance;
        if *target != own.id {
            self.peers.send(target, &PeerMessage::Usage(message));
            return;
        }
        if message.counts.is_some() {
            let snapshot = self.pool.snapshot();
            let ranked = rank_instances(&snapshot.members);
            let others = ranked.into_iter().filter(|m| m.id != own.id);
            for other in others.take(COPIES) {
                self.peers.send(&other.id, &PeerMessage::Usage(message.clone()));
            }
        }
        self.notify_control(ControlEvent::Usage {
            from: own.id.clone(),
            incarnation: own.incarnation,
            message,
        });
    }

    fn other_members(&self) -> Vec<InstanceId> {
        let own_id = &self.settings.instance.id;
        let snapshot = self.pool.snapshot();
        let ids = snapshot.members.iter().map(|m| m.id.clone());
        ids.filter(|id| id != own_id).collect()
    }
}
