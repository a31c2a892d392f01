//! Where other instances are reached.

use crate::peer::PeerSocket;
use crate::{Directory, PeerMessage};
use arc_swap::ArcSwap;
use std::rc::Rc;
use std::sync::Arc;
use wasabiyard_model::InstanceId;

/// Sends messages to registered instances.
#[derive(Debug, Clone)]
pub(super) struct Peers {
    pub(super) socket: Rc<PeerSocket>,
    pub(super) directory: Arc<ArcSwap<Directory>>,
}

impl Peers {
    pub(super) fn send(&self, to: &InstanceId, message: &PeerMessage) {
        let directory = self.directory.load();
        let member = directory.members.binary_search_by(|m| m.id.cmp(to));
        let (Ok(member), Some(secret)) = (member, &directory.peer_secret) else {
            log::debug!(instance:% = to; "a message to an instance that is not registered was dropped");
            return;
        };
        let member = &directory.members[member];
        match member.address.parse() {
            Ok(address) => self.socket.send(address, message.clone(), secret),
            Err(e) => log::warn!(instance:% = to, error:% = e; "unreadable address of an instance"),
        }
    }
}
