//! Exchanges with peers what an instance could not read from the platform: replication groups and the session
//! token key.

use super::{ControlLoop, term_changed};
use crate::control::platform_reader::SESSION_KEY_BYTES;
use rand::seq::IteratorRandom as _;
use std::net::SocketAddr;
use std::sync::Arc;
use wasabiyard_cluster::Place;
use wasabiyard_platform::Platform;
use wasabiyard_wire::ControlMessage;

impl<P> ControlLoop<P>
where
    P: Platform + 'static,
{
    /// Requests from the standbys each group that could not be read from the platform, and a missing session token key
    /// from a random peer.
    pub(super) fn pull_from_peers(&mut self) {
        for database in self.groups.unavailable() {
            let place = self.cluster.placement().place(database);
            for id in place.into_iter().flat_map(Place::standbys) {
                if let Some(member) = self.cluster.members().find(id) {
                    let control = ControlMessage::PullGroup {
                        database: database.to_owned(),
                    };
                    (self.outbound)(self.cluster.members().get(member).address, control);
                }
            }
        }
        let others = self.cluster.members().others();
        let peer = others.map(|(_, m)| m.address).choose(&mut self.rng);
        if let (true, Some(peer)) = (self.session_key.is_empty(), peer) {
            (self.outbound)(peer, ControlMessage::PullSessionKey);
        }
    }

    /// Answers a peer's request for a group or the session token key, or stores a peer's answer. Returns any other
    /// message unhandled.
    pub(super) fn on_fallback_message(
        &mut self,
        address: SocketAddr,
        control: ControlMessage,
    ) -> Option<ControlMessage> {
        match control {
            ControlMessage::PullGroup { database } => {
                if let Some(group) = self.groups.get(&database) {
                    let object = serde_json::to_string(group).expect("a group is JSON");
                    (self.outbound)(address, ControlMessage::Group { database, object });
                }
            }
            ControlMessage::Group { database, object } => {
                let group = serde_json::from_str(&object);
                let group = group.inspect_err(|e| log::warn!("malformed copy of group {database}: {e}"));
                if let Some(group) = group.ok().and_then(|g| self.groups.on_peer_copy(&database, g)) {
                    self.snapshot_dirty = true;
                    self.deps.recorder.record(term_changed(&database, group));
                }
            }
            ControlMessage::PullSessionKey if !self.session_key.is_empty() => {
                (self.outbound)(address, ControlMessage::SessionKey(self.session_key.to_vec()));
            }
            ControlMessage::SessionKey(key)
                if self.session_key.is_empty() && key.len() >= SESSION_KEY_BYTES =>
            {
                self.session_key = Arc::from(key);
                self.snapshot_dirty = true;
            }
            ControlMessage::PullSessionKey | ControlMessage::SessionKey(_) => {}
            other => return Some(other),
        }
        None
    }
}
