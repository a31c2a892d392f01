//! Whether, and when, a request that arrives now could be sent to a server of its service.

use super::locality::Locality;
use super::service_pool::{QueueKind, ServicePool};
use std::sync::Arc;
use wasabiyard_model::{PriorityClass, Time};

impl<C, R> ServicePool<C, R> {
    /// When the pace of the servers lets a request start that comes after `ahead` others of its queue.
    pub(super) fn paced_turn(
        &self,
        queue_kind: QueueKind,
        class: PriorityClass,
        ahead: usize,
        now: Time,
    ) -> Time {
        let turn = |id: &Arc<str>, ahead| {
            let server = self.servers.get(id)?;
            let is_relayed = server.relay_target(now).is_some();
            // The holder paces what is sent through it.
            Some(if is_relayed {
                now
            } else {
                server.pace.turn(ahead, now)
            })
        };
        let turn = match queue_kind {
            QueueKind::Primary => self.usable_primary().and_then(|(id, _)| turn(id, ahead)),
            QueueKind::Reads => {
                let servers = self.read_servers(class, now).count().max(1);
                self.read_servers(class, now)
                    .filter_map(|id| turn(id, ahead / servers))
                    .min()
            }
        };
        turn.unwrap_or(now)
    }

    /// Whether any server that can serve a queue may be reached by a request of a class now.
    pub(super) fn may_reach(
        &self,
        queue_kind: QueueKind,
        class: PriorityClass,
        locality: &Locality<'_>,
        now: Time,
    ) -> bool {
        let reaches = |id: &Arc<str>| {
            let server = self.servers.get(id);
            server.is_none_or(|s| locality.may_reach(&s.server.domain, class, now))
        };
        match queue_kind {
            QueueKind::Primary => self.usable_primary().is_none_or(|(id, _)| reaches(id)),
            QueueKind::Reads => {
                self.accepting_servers.is_empty() || self.accepting_servers.iter().any(reaches)
            }
        }
    }
}
