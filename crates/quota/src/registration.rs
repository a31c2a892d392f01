//! The registration of this process at the platform.

use crate::{Holder, PlatformRequest};
use std::time::Duration;
use wasabiyard_model::Time;

const REQUEST_RETRY_INTERVAL: Duration = Duration::from_secs(1);
const MAX_LIST_INTERVAL: Duration = Duration::from_secs(5);

/// Progress of the registration. A process registers after it saw itself in the platform's list, because its absence
/// from the list proves its end only from then on. Units may be received from `Ready` on. The rounds are read after
/// the registration exists, so a coordinator that did not find the registration has already written its round, and
/// the read returns that round.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    NotListed,
    Registering,
    ReadingRounds,
    Ready,
    Unregistered,
}

/// Registers this process once it is listed, and reads the rounds.
#[derive(Debug)]
pub(crate) struct Registration {
    state: State,
    next_request: Time,
    list_interval: Duration,
}

impl Registration {
    pub(crate) fn new() -> Self {
        Self {
            state: State::NotListed,
            next_request: Time::ZERO,
            list_interval: REQUEST_RETRY_INTERVAL / 10,
        }
    }

    /// Returns the next platform request, repeated until it is answered.
    pub(crate) fn tick(&mut self, now: Time) -> Option<PlatformRequest> {
        let request = match self.state {
            State::Registering => PlatformRequest::Register,
            State::ReadingRounds => PlatformRequest::ReadRounds,
            State::NotListed | State::Ready | State::Unregistered => return None,
        };
        let is_due = now >= self.next_request;
        if is_due {
            self.next_request = now + REQUEST_RETRY_INTERVAL;
        }
        is_due.then_some(request)
    }

    /// Whether the platform's list should be read to find this process in it. The interval doubles with each read,
    /// because the whole fleet may start at once.
    pub(crate) fn list_is_due(&mut self, now: Time) -> bool {
        let is_due = self.state == State::NotListed && now >= self.next_request;
        if is_due {
            self.next_request = now + self.list_interval;
            self.list_interval = (self.list_interval * 2).min(MAX_LIST_INTERVAL);
        }
        is_due
    }

    /// Handles the platform's list. Returns the registration request when this process is listed.
    pub(crate) fn on_holders_read(
        &mut self,
        me: &Holder,
        listed: &[Holder],
        now: Time,
    ) -> Option<PlatformRequest> {
        (self.state == State::NotListed && listed.contains(me)).then(|| {
            self.state = State::Registering;
            self.next_request = now + REQUEST_RETRY_INTERVAL;
            PlatformRequest::Register
        })
    }

    /// The registration exists. Returns the read of the rounds that has to follow.
    pub(crate) fn on_registered(&mut self, now: Time) -> Option<PlatformRequest> {
        (self.state == State::Registering).then(|| {
            self.state = State::ReadingRounds;
            self.next_request = now + REQUEST_RETRY_INTERVAL;
            PlatformRequest::ReadRounds
        })
    }

    /// All rounds were read and processed. Returns whether this process becomes ready.
    pub(crate) fn on_rounds_read(&mut self) -> bool {
        let becomes_ready = self.state == State::ReadingRounds;
        if becomes_ready {
            self.state = State::Ready;
        }
        becomes_ready
    }

    /// Returns the request to delete the registration, repeated until it is answered. To be called when this process
    /// holds no units and will accept none.
    pub(crate) fn unregister_if_due(&mut self, me: &Holder, now: Time) -> Option<PlatformRequest> {
        match self.state {
            State::NotListed => {
                self.state = State::Unregistered;
                None
            }
            State::Unregistered => None,
            State::Registering | State::ReadingRounds | State::Ready => {
                let is_due = now >= self.next_request;
                if is_due {
                    self.next_request = now + REQUEST_RETRY_INTERVAL;
                }
                is_due.then(|| PlatformRequest::Unregister(me.clone()))
            }
        }
    }

    /// The registration is deleted.
    pub(crate) fn on_unregistered(&mut self) {
        self.state = State::Unregistered;
    }

    /// Whether nothing of this process remains at the platform.
    pub(crate) fn is_unregistered(&self) -> bool {
        self.state == State::Unregistered
    }
}
