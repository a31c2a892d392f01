//! The side of a connection holder as its links and its own callers see it.

use super::incoming_link::LeaseOpening;
use std::fmt::Debug;
use std::rc::Rc;
use std::sync::Arc;
use wasabiyard_model::Time;

/// Serves leases of the connections that this instance holds.
pub trait LeaseServer: Debug {
    /// Starts a task that serves a lease until it ends.
    fn serve_lease(self: Rc<Self>, opening: LeaseOpening);

    /// Records that work which was let through to a server at `started` has finished, and lets the next work through.
    fn leave_gate(self: Rc<Self>, service: &Arc<str>, server: &Arc<str>, started: Time);
}

/// Permission to send one statement, or to open a connection, to a server. Dropping it lets the next work through.
#[derive(Debug)]
pub struct GatePass {
    server: Rc<dyn LeaseServer>,
    service_name: Arc<str>,
    server_id: Arc<str>,
    started: Time,
}

impl GatePass {
    /// Permission for work that `server` let through to the server `server_id` at `started`.
    pub const fn new(
        server: Rc<dyn LeaseServer>,
        service_name: Arc<str>,
        server_id: Arc<str>,
        started: Time,
    ) -> Self {
        Self {
            server,
            service_name,
            server_id,
            started,
        }
    }
}

impl Drop for GatePass {
    fn drop(&mut self) {
        Rc::clone(&self.server).leave_gate(&self.service_name, &self.server_id, self.started);
    }
}
