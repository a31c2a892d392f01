//! The loops of the control thread.

use super::state::ControlState;
use crate::view::{ViewMark, ViewPage};
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
    PrimaryRecordChanged {
        /// The service.
        service: Arc<str>,
        /// The record.
        record: PrimaryRecord,
    },
    /// An instance uses no primary of an epoch below this one any more.
    PrimaryReleased {
        /// The instance.
        from: InstanceId,
        /// The service.
        service: Arc<str>,
        /// The epoch.
        epoch: u64,
    },
    /// An instance runs, and which servers do not answer it.
    Heartbeat {
        /// The instance.
        from: InstanceId,
        /// Ids of the servers.
        unreachable: Vec<Arc<str>>,
    },
    /// A follower asks for what has changed.
    ViewRequest {
        /// The follower.
        from: InstanceId,
        /// Number of the question.
        question: u64,
        /// What the follower knows.
        mark: ViewMark,
    },
    /// A relay answers.
    ViewResponse {
        /// Number of the question.
        question: u64,
        /// The changes.
        page: ViewPage,
    },
}

/// A message of the control thread to other instances.
#[derive(Debug, Clone)]
pub enum OutboundMessage {
    /// To one of them.
    Unicast(InstanceId, PeerMessage),
    /// To these.
    Multicast(Vec<InstanceId>, PeerMessage),
}

/// Settings of the control thread.
#[derive(Debug, Clone)]
pub struct ControlSettings {
    /// This instance, as it registers itself.
    pub instance: ListedInstance,
}

/// Connections of the control thread to the rest of the process.
#[derive(Debug)]
pub struct ControlChannels {
    /// Where the directory is published.
    pub directory: Arc<ArcSwap<Directory>>,
    /// Told after each publication.
    pub directory_changed: Sender<()>,
    /// What the traffic thread tells.
    pub events: Receiver<ControlEvent>,
    /// Messages to other instances.
    pub outbound: Sender<OutboundMessage>,
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
pub struct ControlThread<P, D, M, C> {
    pub(super) platform: P,
    pub(super) discovery: D,
    pub(super) promoter: M,
    pub(super) connector: C,
    pub(super) settings: ControlSettings,
    pub(super) channels: ControlChannels,
    pub(super) state: RefCell<ControlState>,
}

impl<P, D, M, C> ControlThread<P, D, M, C>
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
        channels: ControlChannels,
        open_edges: F,
    ) -> std::io::Result<ControlHandle>
    where
        F: FnOnce() -> (P, D, M, C) + Send + 'static,
    {
        let thread_main = move || {
            let (platform, discovery, promoter, connector) = open_edges();
            let incarnation = settings.instance.incarnation.0;
            let control = Rc::new(Self {
                platform,
                discovery,
                promoter,
                connector,
                settings,
                channels,
                state: RefCell::new(ControlState::new(incarnation)),
            });
            let executor = Rc::new(LocalExecutor::new());
            async_io::block_on(executor.run(control.run(Rc::clone(&executor))));
        };
        let thread = std::thread::Builder::new()
            .name("control".to_owned())
            .spawn(thread_main)?;
        Ok(ControlHandle { thread })
    }

    async fn run(self: Rc<Self>, executor: Rc<LocalExecutor<'static>>) {
        executor.spawn(Rc::clone(&self).poll_configuration()).detach();
        executor.spawn(Rc::clone(&self).poll_records()).detach();
        executor.spawn(Rc::clone(&self).poll_servers()).detach();
        executor.spawn(Rc::clone(&self).poll_domains()).detach();
        executor.spawn(Rc::clone(&self).handle_events()).detach();
        executor.spawn(Rc::clone(&self).follow_relays()).detach();
        executor
            .spawn(Rc::clone(&self).maintain_failover_lease())
            .detach();
        executor
            .spawn(Rc::clone(&self).monitor_primaries(Rc::clone(&executor)))
            .detach();
        // The channel carries nothing; it is closed when the process stops.
        let _closed = self.channels.stop.recv().await;
        self.state.borrow_mut().stopping = true;
        self.deregister().await;
    }

    async fn handle_events(self: Rc<Self>) {
        while let Ok(event) = self.channels.events.recv().await {
            let now = clock::now();
            match event {
                ControlEvent::PrimaryRecordChanged { service, record } => {
                    let changed = self.state.borrow_mut().apply_primary_record(service, record);
                    if changed {
                        self.publish_directory();
                    }
                }
                ControlEvent::PrimaryReleased { from, service, epoch } => {
                    let mut state = self.state.borrow_mut();
                    state.registry.on_primary_released(from, service, epoch);
                }
                ControlEvent::ViewRequest { from, question, mark } => self.serve_view(from, question, mark),
                ControlEvent::ViewResponse { question, page } => self.on_view_response(question, page),
                ControlEvent::Heartbeat { from, unreachable } => {
                    let mut state = self.state.borrow_mut();
                    state.registry.on_heartbeat(&from, now);
                    state.reachability.on_report(from, unreachable, now);
                }
            }
        }
    }

    /// Hands a message to the traffic thread. All messages are repeated, so a full queue only delays them.
    pub(super) fn send_to_peers(&self, message: OutboundMessage) {
        if let Err(e) = self.channels.outbound.try_send(message) {
            log::debug!(error:% = e; "a message to another instance was dropped");
        }
    }

    /// Makes the present directory visible to the traffic thread.
    pub(super) fn publish_directory(&self) {
        let directory = Arc::new(self.state.borrow().directory.clone());
        self.channels.directory.store(directory);
        // A full channel means that a notice is under way.
        let _notified = self.channels.directory_changed.try_send(());
    }
}
