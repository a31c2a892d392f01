//! Ends and reports of the paces at backend servers.

use super::pace::PaceEvent;
use super::pool::Pool;
use crate::Connector;
use std::sync::Arc;
use wasabiyard_model::Time;

impl<C> Pool<C>
where
    C: Connector + 'static,
{
    /// Ends the paces that are due, and logs and counts those that began or ended since the last call.
    pub(super) fn report_paces(&self, service: &Arc<str>, now: Time) {
        let mut services = self.services.borrow_mut();
        let Some(pool) = services.get_mut(service) else {
            return;
        };
        for server in pool.servers.values_mut() {
            server.pace.end_if_due(now);
            for event in server.pace.take_events() {
                self.metrics.on_pace(service, &event);
                log_pace(service, &server.server.id, &event);
            }
        }
    }
}

/// Logs the begin or end of a pace. A recovery follows a silence of a second or more, and a restart takes longer, so
/// each server has at most two lines a second.
fn log_pace(service: &str, server: &str, event: &PaceEvent) {
    match event {
        PaceEvent::Began { cause, rate } => log::info!(
            service, server, cause = cause.name(), rate:% = format_args!("{rate:.2}");
            "pace at a backend server is limited"
        ),
        PaceEvent::Ended {
            cause,
            lasted,
            refusals,
        } => log::info!(
            service, server, cause = cause.name(), lasted_ms = lasted.as_millis() as u64, refusals;
            "pace at a backend server is no longer limited"
        ),
    }
}
