//! The links of an instance to connection holders and from their users, and what it knows of both.

use super::frames::LeaseSpec;
use super::holder::{HolderPair, SharedServer, SharingRule, assign_holders};
use super::incoming_link::{self, IncomingLink};
use super::lease_server::LeaseServer;
use super::link_socket::{self, LocalEnd};
use super::outgoing_link::{LinkEvents, LinkTarget, OutgoingLink};
use super::relay_route::RelayRoute;
use super::relayed_connection::RelayedConnection;
use super::suspects::{Suspects, Suspicion};
use super::suspension::SuspensionDetector;
use crate::{ClusterSnapshot, clock, event_log};
use arc_swap::ArcSwap;
use async_channel::{Receiver, Sender};
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::{Rc, Weak};
use std::sync::Arc;
use std::time::Duration;
use wasabiyard_model::{InstanceId, Time};
use wasabiyard_platform::ListedInstance;

/// Delay after a failed accept, so that a lasting error does not cause a busy loop.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Sharing of backend connections with other instances.
pub struct ConnectionSharing {
    rule: SharingRule,
    local: LocalEnd,
    snapshot: Arc<ArcSwap<ClusterSnapshot>>,
    executor: Rc<LocalExecutor<'static>>,
    suspects: Rc<RefCell<Suspects>>,
    outgoing: RefCell<HashMap<InstanceId, Rc<OutgoingLink>>>,
    incoming: RefCell<Vec<Weak<IncomingLink>>>,
    /// Closed to end all incoming links.
    stop_incoming: RefCell<(Sender<()>, Receiver<()>)>,
    suspension: SuspensionDetector,
    leaving: Cell<bool>,
    /// Leases that are served for other instances.
    served_leases: Cell<usize>,
}

impl std::fmt::Debug for ConnectionSharing {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("ConnectionSharing")
            .field("served_leases", &self.served_leases)
            .finish_non_exhaustive()
    }
}

impl ConnectionSharing {
    /// Sharing by `rule` for the registered instance `instance`. Opens no port.
    pub fn new(
        rule: SharingRule,
        instance: &ListedInstance,
        snapshot: Arc<ArcSwap<ClusterSnapshot>>,
        executor: Rc<LocalExecutor<'static>>,
    ) -> Rc<Self> {
        Rc::new(Self {
            rule,
            local: LocalEnd {
                id: instance.id.clone(),
                incarnation: instance.incarnation,
            },
            snapshot,
            executor,
            suspects: Rc::default(),
            outgoing: RefCell::default(),
            incoming: RefCell::default(),
            stop_incoming: RefCell::new(async_channel::bounded(1)),
            suspension: SuspensionDetector::new(clock::now()),
            leaving: Cell::new(false),
            served_leases: Cell::new(0),
        })
    }

    /// Accepts links of other instances, whose leases `server` serves. Opens no port when sharing is disabled.
    ///
    /// # Errors
    ///
    /// When the port cannot be opened.
    pub fn listen(self: &Rc<Self>, address: SocketAddr, server: Rc<dyn LeaseServer>) -> io::Result<()> {
        if !self.rule.enabled {
            return Ok(());
        }
        let listener = Async::<TcpListener>::bind(address)?;
        let sharing = Rc::clone(self);
        let accept = async move {
            loop {
                match listener.accept().await {
                    Ok((stream, _peer)) => {
                        let task = Rc::clone(&sharing).serve_link(stream, Rc::clone(&server));
                        sharing.executor.spawn(task).detach();
                    }
                    Err(e) => {
                        log::warn!(error:% = e; "cannot accept a link");
                        Timer::after(ACCEPT_RETRY_DELAY).await;
                    }
                }
            }
        };
        self.executor.spawn(accept).detach();
        Ok(())
    }

    /// The holders of the servers whose connections are shared, with the limit of connections of each.
    pub(crate) fn holders(&self, snapshot: &ClusterSnapshot) -> BTreeMap<Arc<str>, (HolderPair, u32)> {
        let Some(configuration) = &snapshot.configuration else {
            return BTreeMap::new();
        };
        let limit_of = |service: &Arc<str>| {
            configuration
                .services
                .get(service)
                .map_or(0, |r| r.max_connections)
        };
        let shared: BTreeSet<_> = snapshot
            .servers
            .values()
            .filter(|s| self.rule.applies(limit_of(&s.service), snapshot.fleet_size()))
            .map(|s| SharedServer {
                id: Arc::clone(&s.id),
                domain: Arc::clone(&s.domain),
            })
            .collect();
        if shared.is_empty() {
            return BTreeMap::new();
        }
        let holders = assign_holders(&shared, &snapshot.members);
        holders
            .into_iter()
            .map(|(id, pair)| {
                let limit = limit_of(&snapshot.servers[&id].service);
                (id, (pair, limit))
            })
            .collect()
    }

    /// The way to a server with these holders.
    pub(crate) fn route(&self, server: &Arc<str>, holders: HolderPair) -> RelayRoute {
        let suspects = Rc::clone(&self.suspects);
        RelayRoute::new(Arc::clone(server), self.local.id.clone(), holders, suspects)
    }

    /// A connection through `holder`, which is opened with its first command. `None` when the holder's address or the
    /// fleet's secret is unknown.
    pub fn connect(
        self: &Rc<Self>,
        holder: &InstanceId,
        spec: LeaseSpec,
        server: Rc<dyn LeaseServer>,
    ) -> Option<RelayedConnection> {
        if *holder == self.local.id {
            let own_id = self.local.id.clone();
            return Some(RelayedConnection::local(Rc::clone(self), own_id, server, spec));
        }
        let link = self.link_to(holder)?;
        Some(RelayedConnection::over_link(Rc::clone(self), link, spec))
    }

    fn link_to(self: &Rc<Self>, holder: &InstanceId) -> Option<Rc<OutgoingLink>> {
        if let Some(link) = self.outgoing.borrow().get(holder)
            && !link.is_closed()
        {
            return Some(Rc::clone(link));
        }
        let snapshot = self.snapshot.load();
        let member = snapshot.members.binary_search_by(|m| m.id.cmp(holder)).ok()?;
        let target = LinkTarget {
            peer: holder.clone(),
            address: snapshot.members[member].address.parse().ok()?,
            secret: Arc::clone(snapshot.peer_secret.as_ref()?),
            local: self.local.clone(),
        };
        let (link, task) = OutgoingLink::open(target, Rc::clone(self));
        self.executor.spawn(task).detach();
        let known = self
            .outgoing
            .borrow_mut()
            .insert(holder.clone(), Rc::clone(&link));
        drop(known);
        Some(link)
    }

    pub(crate) fn suspects(&self) -> &RefCell<Suspects> {
        &self.suspects
    }

    /// Records that a holder did not respond on a link. When that happens again without a sign between, new leases use a new
    /// link, because a connection that was silent may stay so for long after the network has recovered.
    pub(super) fn on_silence(&self, link: &Rc<OutgoingLink>, cause: &'static str) {
        if link.set_silent() {
            self.detach(link);
        }
        self.on_suspicion(of_instance(&link.peer), cause);
    }

    /// Records that a link was lost or could not be opened.
    pub(super) fn on_link_lost(&self, link: &Rc<OutgoingLink>, cause: &'static str) {
        self.detach(link);
        self.on_suspicion(of_instance(&link.peer), cause);
    }

    fn detach(&self, link: &Rc<OutgoingLink>) {
        let detached = {
            let mut outgoing = self.outgoing.borrow_mut();
            match outgoing.get(&link.peer) {
                Some(current) if Rc::ptr_eq(current, link) => outgoing.remove(&link.peer),
                _ => None,
            }
        };
        drop(detached);
    }

    pub(super) fn on_suspicion(&self, suspicion: Suspicion, cause: &'static str) {
        let now = clock::now();
        let (instance, server) = (suspicion.instance.clone(), suspicion.server.clone());
        let counts = self.suspects.borrow_mut().on_failure(suspicion, now);
        if counts && event_log::try_acquire_line(now) {
            let server = server.as_deref().unwrap_or("-");
            log::info!(holder:% = instance, server, cause; "connection holder is avoided for now");
        }
    }

    /// Ends the incoming links and their leases if the process was suspended, since their requests may be too old.
    pub(crate) fn tick(&self, now: Time) {
        if self.suspension.on_tick(now) {
            let ended = self.stop_incoming.replace(async_channel::bounded(1));
            ended.0.close();
            let leases = self.served_leases.get();
            if leases > 0 {
                log::warn!(leases; "the process was suspended; leases of other instances are ended");
            }
        }
    }

    /// Forgets what is known of instances that are no longer registered.
    pub(crate) fn update(&self, snapshot: &ClusterSnapshot) {
        let is_registered = |id: &InstanceId| snapshot.members.binary_search_by(|m| m.id.cmp(id)).is_ok();
        self.suspects.borrow_mut().retain(is_registered);
        let mut outgoing = self.outgoing.borrow_mut();
        outgoing.retain(|id, link| is_registered(id) && !link.is_closed());
    }

    /// Grants no more leases, and tells the instances that have links.
    pub(crate) fn leave(&self) {
        self.leaving.set(true);
        let incoming = self.incoming.borrow();
        for link in incoming.iter().filter_map(Weak::upgrade) {
            link.send_leaving();
        }
    }

    /// Ends the incoming links and their leases.
    pub fn end_links(&self) {
        self.stop_incoming.borrow().0.close();
    }

    /// Whether the instance is about to stop.
    pub(crate) const fn is_leaving(&self) -> bool {
        self.leaving.get()
    }

    /// Number of leases that are served for other instances.
    pub fn served_leases(&self) -> usize {
        self.served_leases.get()
    }

    async fn serve_link(self: Rc<Self>, stream: Async<TcpStream>, server: Rc<dyn LeaseServer>) {
        let Some(secret) = self.snapshot.load().peer_secret.clone() else {
            return;
        };
        let (socket, remote) = match link_socket::accept(stream, &self.local, &secret).await {
            Ok(accepted) => accepted,
            Err(e) => {
                if event_log::try_acquire_line(clock::now()) {
                    log::info!(error:% = e; "incoming link refused");
                }
                return;
            }
        };
        log::info!(instance:% = remote.id, incarnation:% = remote.incarnation; "link of an instance opened");
        let stop = self.stop_incoming.borrow().1.clone();
        let on_open = |link: &Rc<IncomingLink>| {
            if self.leaving.get() {
                link.send_leaving();
            }
            let mut incoming = self.incoming.borrow_mut();
            incoming.retain(|known| known.strong_count() > 0);
            incoming.push(Rc::downgrade(link));
        };
        let serve = |opening| Rc::clone(&server).serve_lease(opening);
        let error = incoming_link::run(socket, &self.suspension, stop, on_open, serve).await;
        log::info!(instance:% = remote.id, error:% = error; "link of an instance ended");
    }
}

impl LinkEvents for ConnectionSharing {
    fn on_leaving(&self, peer: &InstanceId) {
        self.on_suspicion(of_instance(peer), "holder_leaving");
    }

    fn on_recovered(&self, peer: &InstanceId) {
        self.suspects.borrow_mut().remove(&of_instance(peer));
    }
}

/// Suspicion of an instance as a whole.
fn of_instance(instance: &InstanceId) -> Suspicion {
    Suspicion {
        instance: instance.clone(),
        server: None,
    }
}

/// Counts a lease of another instance while it is served.
#[derive(Debug)]
pub(crate) struct ServedLease(Rc<ConnectionSharing>);

impl ServedLease {
    pub(crate) fn new(sharing: &Rc<ConnectionSharing>) -> Self {
        sharing.served_leases.set(sharing.served_leases.get() + 1);
        Self(Rc::clone(sharing))
    }
}

impl Drop for ServedLease {
    fn drop(&mut self) {
        self.0.served_leases.set(self.0.served_leases.get() - 1);
    }
}
