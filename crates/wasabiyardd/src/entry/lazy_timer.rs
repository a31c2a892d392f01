//! A timer that is rearmed only when it fires.
//!
//! The deadline of a busy session moves later with each statement. Rearming a timer each time would cost a call into
//! the reactor; this one stays armed at an earlier deadline and is moved when that passes.

use crate::clock;
use async_io::Timer;
use std::pin::Pin;
use std::task::{Context, Poll};
use wasabiyard_model::Time;

/// A timer for one deadline that mostly moves later; see the module.
#[derive(Debug)]
pub struct LazyTimer {
    timer: Timer,
    /// When the timer fires; `None` while it is not armed.
    armed: Option<Time>,
}

impl Default for LazyTimer {
    fn default() -> Self {
        Self {
            timer: Timer::never(),
            armed: None,
        }
    }
}

impl LazyTimer {
    /// Ready when `deadline` has passed. The deadline may differ from call to call.
    pub fn poll(&mut self, cx: &mut Context<'_>, deadline: Time) -> Poll<()> {
        loop {
            let now = clock::now();
            if now >= deadline {
                return Poll::Ready(());
            }
            if self.armed.is_none_or(|armed| armed > deadline) {
                self.timer.set_after(deadline.saturating_since(now));
                self.armed = Some(deadline);
            }
            if Pin::new(&mut self.timer).poll(cx).is_pending() {
                return Poll::Pending;
            }
            self.armed = None;
        }
    }
}
