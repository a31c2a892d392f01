//! The count of one operation, through its attempts.

use super::{Period, UsageCounter};
use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use wasabiyard_model::Time;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Progress {
    /// No server has been sent the operation, or all have refused it.
    NotSent,
    /// A server was sent it and has not answered.
    Sent(Period),
    /// It counts.
    Ran,
}

/// Counts one operation once, in the window in which it was first sent to a server that did not refuse it. One whose answer is
/// not known when this is dropped counts.
#[derive(Debug)]
pub struct OperationCount {
    counter: Option<Rc<RefCell<UsageCounter>>>,
    organisation: Arc<str>,
    progress: Progress,
}

impl OperationCount {
    /// Creates the count of an operation that no server has been sent. Without a counter, nothing is counted.
    pub const fn new(counter: Option<Rc<RefCell<UsageCounter>>>, organisation: Arc<str>) -> Self {
        Self {
            counter,
            organisation,
            progress: Progress::NotSent,
        }
    }

    /// The operation is about to be sent to a server.
    pub fn on_send(&mut self, now: Time) {
        if let (Some(counter), Progress::NotSent) = (&self.counter, self.progress) {
            let period = counter.borrow_mut().open_operation(&self.organisation, now);
            self.progress = Progress::Sent(period);
        }
    }

    /// The last attempt ended. `ran` is false if the server guarantees that it has not run the operation.
    pub fn on_attempt_ended(&mut self, ran: bool) {
        if let (Some(counter), Progress::Sent(period)) = (&self.counter, self.progress) {
            counter
                .borrow_mut()
                .end_operation(&self.organisation, period, ran);
            self.progress = if ran { Progress::Ran } else { Progress::NotSent };
        }
    }
}

impl Drop for OperationCount {
    fn drop(&mut self) {
        self.on_attempt_ended(true);
    }
}
