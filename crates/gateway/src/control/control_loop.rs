//! The loops of the control thread.

use super::state::State;
use crate::view::{ViewCursor, ViewPage};
use crate::{Connector, Directory, Discovery, PeerMessage, PrimaryRecord, Promoter, clock};
use arc_swap::ArcSwap;
use async_channel::{Receiver, Sender};
use async_executor::LocalExecutor;
use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use wasabiyard_model::InstanceId;
use wasabiyard_platform::{ListedInstance, Platform};

/// What the traffic thread tells the control thread.
#[derive(Debug, Clone)]
pub enum ControlEvent {
    /// A peer recorded a change of a primary.
    Recorded {
        /// The service.
        service: Arc<str>,
        /// The record.
        record: PrimaryRecord,
    },
    /// An instance uses no primary of an epoch below this one any more.
    Released {
        /// The instance.
        from: InstanceId,
        /// The service.
        service: Arc<str>,
        /// The epoch.
        epoch: u64,
    },
    /// An instance runs, and which servers do not answer it.
    Report {
        /// The instance.
        from: InstanceId,
        /// Ids of the servers.
        unreachable: Vec<Arc<str>>,
    },
    /// A follower asks for what has changed.
    ViewAsk {
        /// The follower.
        from: InstanceId,
        /// Number of the question.
        request_id: u64,
        /// What the follower knows.
        cursor: ViewCursor,
    },
    /// A relay answers.
    ViewAnswer {
        /// Number of the question.
        request_id: u64,
        /// The changes.
        page: ViewPage,
    },
}

/// A message of the control thread to other instances.
#[derive(Debug, Clone)]
pub enum Outgoing {
    /// To one of them.
    One(InstanceId, PeerMessage),
    /// To these.
    Many(Vec<InstanceId>, PeerMessage),
}

/// Settings of the control thread.
#[derive(Debug, Clone)]
pub struct ControlSettings {
    /// This instance, as it registers itself.
    pub instance: ListedInstance,
}

/// Connections of the control thread to the rest of the process.
#[derive(Debug)]
pub struct ControlWiring {
    /// Where the directory is published.
    pub directory: Arc<ArcSwap<Directory>>,
    /// Told after each publication.
    pub changed: Sender<()>,
    /// What the traffic thread tells.
    pub events: Receiver<ControlEvent>,
    /// Messages to other instances.
    pub outgoing: Sender<Outgoing>,
    /// Closed when the process stops.
    pub stop: Receiver<()>,
}

/// The other side of a running control thread.
#[derive(Debug)]
pub struct ControlHandle {
    thread: std::thread::JoinHandle<()>,
}

impl ControlHandle {
    /// Waits until the thread has ended, which it does after its stop channel is closed.
    pub fn join(self) {
        if self.thread.join().is_err() {
            log::error!("the control thread panicked");
        }
    }
}

/// State of the control thread.
#[derive(Debug)]
pub struct Control<P, D, M, C> {
    pub(super) platform: P,
    pub(super) discovery: D,
    pub(super) promoter: M,
    pub(super) connector: C,
    pub(super) settings: ControlSettings,
    pub(super) wiring: ControlWiring,
    pub(super) state: RefCell<State>,
}

impl<P, D, M, C> Control<P, D, M, C>
where
    P: Platform + 'static,
    D: Discovery + 'static,
    M: Promoter + 'static,
    C: Connector + 'static,
{
    /// Starts the control thread. `open` makes its edges on that thread.
    ///
    /// # Errors
    ///
    /// When the thread cannot be started.
    pub fn spawn<F>(
        settings: ControlSettings,
        wiring: ControlWiring,
        open: F,
    ) -> std::io::Result<ControlHandle>
    where
        F: FnOnce() -> (P, D, M, C) + Send + 'static,
    {
        let run = move || {
            let (platform, discovery, promoter, connector) = open();
            let incarnation = settings.instance.incarnation.0;
            let control = Rc::new(Self {
                platform,
                discovery,
                promoter,
                connector,
                settings,
                wiring,
                state: RefCell::new(State::new(incarnation)),
            });
            let executor = Rc::new(LocalExecutor::new());
            async_io::block_on(executor.run(control.run(Rc::clone(&executor))));
        };
        let thread = std::thread::Builder::new()
            .name("control".to_owned())
            .spawn(run)?;
        Ok(ControlHandle { thread })
    }

    async fn run(self: Rc<Self>, executor: Rc<LocalExecutor<'static>>) {
        executor.spawn(Rc::clone(&self).poll_configuration()).detach();
        executor.spawn(Rc::clone(&self).poll_records()).detach();
        executor.spawn(Rc::clone(&self).poll_servers()).detach();
        executor.spawn(Rc::clone(&self).poll_domains()).detach();
        executor.spawn(Rc::clone(&self).take_events()).detach();
        executor.spawn(Rc::clone(&self).follow_relays()).detach();
        executor.spawn(Rc::clone(&self).keep_duty()).detach();
        executor
            .spawn(Rc::clone(&self).watch_primaries(Rc::clone(&executor)))
            .detach();
        // The channel carries nothing; it is closed when the process stops.
        let _closed = self.wiring.stop.recv().await;
        self.state.borrow_mut().stopping = true;
        self.sign_off().await;
    }

    async fn take_events(self: Rc<Self>) {
        while let Ok(event) = self.wiring.events.recv().await {
            let now = clock::now();
            match event {
                ControlEvent::Recorded { service, record } => {
                    let changed = self.state.borrow_mut().adopt(service, record);
                    if changed {
                        self.publish();
                    }
                }
                ControlEvent::Released { from, service, epoch } => {
                    let mut state = self.state.borrow_mut();
                    state.register.on_released(from, service, epoch);
                }
                ControlEvent::ViewAsk {
                    from,
                    request_id,
                    cursor,
                } => self.on_view_ask(from, request_id, cursor),
                ControlEvent::ViewAnswer { request_id, page } => self.on_view_answer(request_id, page),
                ControlEvent::Report { from, unreachable } => {
                    let mut state = self.state.borrow_mut();
                    state.register.on_heard(&from, now);
                    state.reports.on_report(from, unreachable, now);
                }
            }
        }
    }

    /// Hands a message to the traffic thread. All messages are repeated, so a full queue only delays them.
    pub(super) fn send(&self, outgoing: Outgoing) {
        if let Err(e) = self.wiring.outgoing.try_send(outgoing) {
            log::debug!(error:% = e; "a message to another instance was dropped");
        }
    }

    /// Makes the present directory visible to the traffic thread.
    pub(super) fn publish(&self) {
        let directory = Arc::new(self.state.borrow().directory.clone());
        self.wiring.directory.store(directory);
        // A full channel means that a notice is under way.
        let _notified = self.wiring.changed.try_send(());
    }
}
