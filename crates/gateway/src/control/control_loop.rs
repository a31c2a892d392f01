//! Startup and tasks of the control thread, and its channels to the traffic thread.

use super::failover::ServerContacts;
use super::state::ControlState;
use super::store_calls::StoreCalls;
use super::usage_task::{UsageContext, UsageState};
use crate::usage::{UsageMessage, WindowCounts};
use crate::view::{ViewCursor, ViewPage};
use crate::{ClusterSnapshot, Connector, Discovery, PeerMessage, PrimaryRecord, Promoter, Regions, clock};
use arc_swap::ArcSwap;
use async_channel::{Receiver, Sender};
use async_executor::LocalExecutor;
use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use wasabiyard_model::{Incarnation, InstanceId};
use wasabiyard_platform::{ListedInstance, Platform};

/// An event that the traffic thread forwards to the control thread. Most are messages of peers; heartbeats and
/// releases of this instance itself arrive the same way.
#[derive(Debug, Clone)]
pub enum ControlEvent {
    /// A peer has written a new primary record to the store.
    PrimaryRecordChanged {
        /// Service whose primary changes.
        service: Arc<str>,
        /// The new record; ignored unless its epoch is above the known one.
        record: PrimaryRecord,
    },
    /// An instance has stopped using every primary of the service from before `epoch`.
    PrimaryReleased {
        /// Instance that released the primary.
        from: InstanceId,
        /// Service whose primary was released.
        service: Arc<str>,
        /// The instance uses no primary that a record of a lower epoch names.
        epoch: u64,
    },
    /// An instance is alive and reports the backend servers that it cannot reach.
    Heartbeat {
        /// Instance that sent the heartbeat.
        from: InstanceId,
        /// Its contacts with backend servers since the last heartbeat.
        contacts: ServerContacts,
    },
    /// Usage counts of an instance.
    Usage {
        /// Instance that sent them.
        from: InstanceId,
        /// Incarnation of its process.
        incarnation: Incarnation,
        /// The counts.
        message: UsageMessage,
    },
    /// Usage counts of this instance that the holder of the failover lease has not acknowledged in time.
    UsageNotReceived(Vec<WindowCounts>),
    /// A follower requests the changes since its last page from this relay.
    ViewRequest {
        /// The follower.
        from: InstanceId,
        /// Correlation number chosen by the follower; the response repeats it.
        request_id: u64,
        /// Last change that the follower has received.
        cursor: ViewCursor,
    },
    /// A relay responds to a request of this instance.
    ViewResponse {
        /// Correlation number of the request.
        request_id: u64,
        /// Changes after the cursor of the request.
        page: ViewPage,
    },
}

/// A message that the control thread passes to the traffic thread for sending to peers.
#[derive(Debug, Clone)]
pub enum OutboundMessage {
    /// To one instance.
    Unicast(InstanceId, PeerMessage),
    /// To each listed instance; the sending instance is skipped.
    Multicast(Vec<InstanceId>, PeerMessage),
}

/// Settings of the control thread.
#[derive(Debug, Clone)]
pub struct ControlSettings {
    /// Entry that this instance writes to the instance registry.
    pub instance: ListedInstance,
    /// Regions of the failure domains.
    pub regions: Regions,
}

/// Channels and shared state between the control thread and the traffic thread.
#[derive(Debug)]
pub struct ControlChannels {
    /// Current cluster snapshot; the control thread replaces it and the traffic thread reads it.
    pub snapshot: Arc<ArcSwap<ClusterSnapshot>>,
    /// Notified after each replacement of the snapshot. Capacity 1 is enough, since notices coalesce.
    pub snapshot_changed: Sender<()>,
    /// Events from the traffic thread.
    pub events: Receiver<ControlEvent>,
    /// Messages to other instances, sent by the traffic thread.
    pub outbound: Sender<OutboundMessage>,
    /// Never carries a value; closing it stops the control thread.
    pub stop: Receiver<()>,
    /// Counters of the calls to the store.
    pub store_calls: Arc<StoreCalls>,
    /// Clock and settings of usage reports; `None` if none are required.
    pub usage: Option<UsageContext>,
}

/// Handle to a running control thread.
#[derive(Debug)]
pub struct ControlHandle {
    thread: std::thread::JoinHandle<()>,
}

impl ControlHandle {
    /// Blocks until the thread has ended. Close the stop channel first.
    pub fn join(self) {
        if self.thread.join().is_err() {
            log::error!("the control thread panicked");
        }
    }
}

/// The control thread with its clients: the store (`P`), the documents of operators and backend servers (`D`),
/// promotions (`M`) and connections to backend servers (`C`).
#[derive(Debug)]
pub struct ControlThread<P, D, M, C> {
    pub(super) platform: P,
    pub(super) discovery: D,
    pub(super) promoter: M,
    pub(super) connector: C,
    pub(super) settings: ControlSettings,
    pub(super) channels: ControlChannels,
    pub(super) store_calls: Arc<StoreCalls>,
    /// Notified when this instance has renewed the failover lease.
    pub(super) lease_renewed: (Sender<()>, Receiver<()>),
    pub(super) state: RefCell<ControlState>,
    /// Usage reports; `None` if none are required.
    pub(super) usage: Option<RefCell<UsageState>>,
}

impl<P, D, M, C> ControlThread<P, D, M, C>
where
    P: Platform + 'static,
    D: Discovery + 'static,
    M: Promoter + 'static,
    C: Connector + 'static,
{
    /// Starts the control thread. `open_clients` runs on that thread and creates its clients, which need not be `Send`.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system when the thread cannot be spawned.
    pub fn spawn<F>(
        settings: ControlSettings,
        channels: ControlChannels,
        open_clients: F,
    ) -> std::io::Result<ControlHandle>
    where
        F: FnOnce() -> (P, D, M, C) + Send + 'static,
    {
        let thread_main = move || {
            let (platform, discovery, promoter, connector) = open_clients();
            let incarnation = settings.instance.incarnation.0;
            let control = Rc::new(Self {
                platform,
                discovery,
                promoter,
                connector,
                settings,
                store_calls: Arc::clone(&channels.store_calls),
                usage: channels.usage.clone().map(|cx| RefCell::new(UsageState::new(cx))),
                channels,
                lease_renewed: async_channel::bounded(1),
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
        executor.spawn(Rc::clone(&self).poll_store()).detach();
        executor.spawn(Rc::clone(&self).handle_events()).detach();
        executor.spawn(Rc::clone(&self).follow_relays()).detach();
        executor
            .spawn(Rc::clone(&self).maintain_failover_lease())
            .detach();
        executor
            .spawn(Rc::clone(&self).monitor_primaries(Rc::clone(&executor)))
            .detach();
        executor.spawn(Rc::clone(&self).report_usage()).detach();
        // The channel carries no values; `recv` returns once it is closed.
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
                        self.publish_snapshot();
                    }
                }
                ControlEvent::PrimaryReleased { from, service, epoch } => {
                    let mut state = self.state.borrow_mut();
                    state.registry.on_primary_released(from, service, epoch);
                }
                ControlEvent::ViewRequest {
                    from,
                    request_id,
                    cursor,
                } => self.serve_view(from, request_id, &cursor),
                ControlEvent::UsageNotReceived(windows) => self.store_counts_later(windows),
                ControlEvent::Usage {
                    from,
                    incarnation,
                    message,
                } => self.on_usage_message(from, incarnation, &message, now),
                ControlEvent::ViewResponse { request_id, page } => self.on_view_response(request_id, page),
                ControlEvent::Heartbeat { from, contacts } => {
                    let mut state = self.state.borrow_mut();
                    state.registry.on_heartbeat(&from, now);
                    state.reachability.on_report(from, contacts, now);
                }
            }
        }
    }

    /// Queues a message for the traffic thread without blocking. A message that finds the queue full is dropped. Every
    /// message is repeated or requested again, so the loss only delays it.
    pub(super) fn send_to_peers(&self, message: OutboundMessage) {
        if let Err(e) = self.channels.outbound.try_send(message) {
            log::debug!(error:% = e; "outbound queue is full; a message to another instance was dropped");
        }
    }

    /// Publishes a copy of the current cluster snapshot to the traffic thread.
    pub(super) fn publish_snapshot(&self) {
        let snapshot = Arc::new(self.state.borrow().snapshot.clone());
        self.channels.snapshot.store(snapshot);
        // A full channel means that an earlier notice is still pending, which covers this change too.
        let _notified = self.channels.snapshot_changed.try_send(());
    }
}
