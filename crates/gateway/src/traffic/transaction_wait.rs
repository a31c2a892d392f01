//! Precedence of transactions that have begun over new work at a server that refuses work.
//!
//! Load: two fifths of the most urgent operations are transactions. One that is refused midway has spent a connection and
//! the time of its earlier statements, and its caller starts again from the beginning. New work that this instance sends in
//! the meantime takes the place that it waits for.

use super::connection_lease::ConnectionLease;
use super::pool::Pool;
use crate::{Connector, clock};
use std::rc::Rc;
use std::sync::Arc;
use wasabiyard_model::PriorityClass;

/// Holds back new work of the same and of less urgent classes at a server until it is dropped.
pub(super) struct TransactionWait<C>
where
    C: Connector + 'static,
{
    pool: Rc<Pool<C>>,
    service: Arc<str>,
    server: Arc<str>,
    class: PriorityClass,
}

impl<C> TransactionWait<C>
where
    C: Connector + 'static,
{
    pub(super) fn open(lease: &ConnectionLease<C>) -> Self {
        lease.pool.with_server(&lease.service, &lease.server, |server| {
            server.waiting_transactions.push(lease.class);
        });
        Self {
            pool: Rc::clone(&lease.pool),
            service: Arc::clone(&lease.service),
            server: Arc::clone(&lease.server),
            class: lease.class,
        }
    }
}

impl<C> Drop for TransactionWait<C>
where
    C: Connector + 'static,
{
    fn drop(&mut self) {
        self.pool.with_server(&self.service, &self.server, |server| {
            // The list is empty if the server has restarted meanwhile.
            let waiting = &mut server.waiting_transactions;
            if let Some(index) = waiting.iter().position(|class| *class == self.class) {
                waiting.swap_remove(index);
            }
        });
        let pool = Rc::clone(&self.pool);
        pool.dispatch(&self.service, clock::now());
    }
}
