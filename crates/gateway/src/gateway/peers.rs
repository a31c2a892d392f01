//! Sending of messages to other instances by id.

use crate::peer::{CompactReaders, Encoding, PeerSocket};
use crate::{ClusterSnapshot, PeerMessage};
use arc_swap::ArcSwap;
use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use wasabiyard_model::InstanceId;

/// Sends messages to registered instances, with their addresses and the secret from the current cluster snapshot.
#[derive(Debug, Clone)]
pub(super) struct Peers {
    pub(super) socket: Rc<PeerSocket>,
    pub(super) snapshot: Arc<ArcSwap<ClusterSnapshot>>,
    /// Instances that get the short encoding; none if there is only one region.
    pub(super) compact_readers: Rc<RefCell<CompactReaders>>,
}

impl Peers {
    pub(super) fn send(&self, to: &InstanceId, message: &PeerMessage) {
        let snapshot = self.snapshot.load();
        let member = snapshot.members.binary_search_by(|m| m.id.cmp(to));
        let (Ok(member), Some(secret)) = (member, &snapshot.peer_secret) else {
            log::debug!(instance:% = to; "dropped a message: unregistered instance or unknown peer secret");
            return;
        };
        let member = &snapshot.members[member];
        let is_reader = self.compact_readers.borrow().contains(to, member.incarnation);
        let encoding = if is_reader {
            Encoding::Compact
        } else {
            Encoding::Named
        };
        match member.address.parse() {
            Ok(address) => self.socket.send(address, message.clone(), encoding, secret),
            Err(e) => log::warn!(instance:% = to, error:% = e; "registered instance has an invalid address"),
        }
    }
}
