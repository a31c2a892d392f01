//! Links to the instances with which this one shares an organisation as coordinator or substitute.
//!
//! One link serves all organisations that two instances share, so that the number of messages follows the number of
//! instances and not that of organisations.

use super::{CoordinatorLink, LinkEcho, LinkMessage};
use std::collections::{HashMap, HashSet};
use std::time::Duration;
use wasabiyard_model::{Incarnation, InstanceId, Time};

/// Interval between the messages of a substitute to the coordinator.
const LINK_PERIOD: Duration = Duration::from_millis(400);

/// Contact with one instance, and its last message, which the next one to it echoes.
#[derive(Debug)]
struct PeerLink {
    link: CoordinatorLink,
    received: Option<LinkEcho>,
}

/// Contact with each of these instances.
#[derive(Debug, Default)]
pub(super) struct PeerLinks {
    links: HashMap<InstanceId, PeerLink>,
    next_round: Time,
}

impl PeerLinks {
    /// Opens the missing links to `peers`, and drops those to other instances.
    pub(super) fn open(&mut self, peers: HashSet<InstanceId>, now: Time) {
        self.links.retain(|id, _| peers.contains(id));
        for id in peers {
            self.links.entry(id).or_insert_with(|| PeerLink {
                link: CoordinatorLink::open(now),
                received: None,
            });
        }
    }

    /// The link to an instance, if there is one.
    pub(super) fn get(&self, id: &InstanceId) -> Option<&CoordinatorLink> {
        self.links.get(id).map(|peer| &peer.link)
    }

    /// Whether messages to the coordinators are due. Starts the next period if they are.
    pub(super) fn start_round(&mut self, now: Time) -> bool {
        let due = now >= self.next_round;
        if due {
            self.next_round = now + LINK_PERIOD;
        }
        due
    }

    /// A message to an instance, if there is a link to it.
    pub(super) fn message_to(&self, id: &InstanceId, now: Time) -> Option<LinkMessage> {
        Some(LinkMessage {
            sent_at: now,
            echo: self.links.get(id)?.received,
            reply: false,
        })
    }

    /// Handles a message on a link, and returns the reply to it. `own_incarnation` is that of this process.
    pub(super) fn on_message(
        &mut self,
        from: &InstanceId,
        incarnation: Incarnation,
        message: LinkMessage,
        own_incarnation: Incarnation,
        now: Time,
    ) -> Option<LinkMessage> {
        let peer = self.links.get_mut(from)?;
        let echo = message.echo.filter(|e| e.incarnation == own_incarnation);
        peer.link.on_message(echo.map(|e| e.sent_at), now);
        peer.received = Some(LinkEcho {
            incarnation,
            sent_at: message.sent_at,
        });
        (!message.reply).then_some(LinkMessage {
            sent_at: now,
            echo: peer.received,
            reply: true,
        })
    }
}
