//! The queue of transactions that wait for a connection to one database.
//!
//! Each class gets four times the connections of the next one by start-time fair queueing, so a higher class slows a lower
//! one but cannot starve it. Within a class, the organisations share by weight. The length is limited in total and for each
//! organisation. A request that arrives at a full queue displaces the newest request of the flow that is longest
//! relative to its weight, if that flow is longer than the request's own. Otherwise a few busy organisations that keep
//! the queue full would cause all requests of the others to be refused.

use crate::class_queue::ClassQueue;
use crate::flow::served_up_to;
use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;
use wasabiyard_model::{NotRun, PriorityClass, Time};

/// Ratio of the connections of a class to those of the next one.
const CLASS_WEIGHT_RATIO: u64 = 4;
/// Advance in virtual time for one request of the most urgent class.
const MOST_URGENT_VIRTUAL_COST: u64 = 62_500;
/// Requests that a class may have beyond its share before a less urgent one gets its turn.
const HEAD_START_REQUESTS: u64 = 16;

/// Maximum lengths of a queue, in requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QueueBounds {
    /// Limit over all organisations of the database.
    pub database: usize,
    /// Limit for each organisation.
    pub organisation: usize,
}

impl Default for QueueBounds {
    fn default() -> Self {
        Self {
            database: 512,
            organisation: 128,
        }
    }
}

/// Identifies a queued request. Tickets are ordered by arrival and never reused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(u64);

/// The properties of a request by which it is queued.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct QueuedRequest {
    /// Name of the organisation. Unlike an entity reference, a name stays valid when the manifest changes.
    pub organisation: Arc<str>,
    /// Weight of the organisation within its class, from 1 to 100.
    pub weight: u32,
    /// Priority class of the route.
    pub class: PriorityClass,
    /// Time from which the request must no longer be started.
    pub deadline: Time,
}

/// A bounded weighted fair queue of requests with payload `P`.
#[derive(Debug)]
pub struct FairQueue<P> {
    bounds: QueueBounds,
    classes: [ClassQueue; PriorityClass::COUNT],
    /// Start tag of the next request of each class, in the virtual time shared by the classes.
    class_start_tags: [u64; PriorityClass::COUNT],
    /// Virtual time that the classes share: the start tag of the class that was served last.
    virtual_time: u64,
    /// Every queued request with its payload.
    requests: HashMap<Ticket, (QueuedRequest, P)>,
    deadlines: BTreeSet<(Time, Ticket)>,
    /// Number of queued requests of each organisation over all classes; without an entry when there are none.
    organisation_lens: HashMap<Arc<str>, usize>,
    /// Expired and displaced requests that [`Self::take_dropped`] has not returned yet.
    dropped: Vec<(P, NotRun)>,
    next_ticket: u64,
}

impl<P> Default for FairQueue<P> {
    fn default() -> Self {
        Self::new(QueueBounds::default())
    }
}

impl<P> FairQueue<P> {
    /// Creates an empty queue.
    pub fn new(bounds: QueueBounds) -> Self {
        Self {
            bounds,
            classes: Default::default(),
            class_start_tags: [0; PriorityClass::COUNT],
            virtual_time: 0,
            requests: HashMap::new(),
            deadlines: BTreeSet::new(),
            organisation_lens: HashMap::new(),
            dropped: Vec::new(),
            next_ticket: 0,
        }
    }

    /// Number of queued requests, including expired ones that are not dropped yet.
    pub fn len(&self) -> usize {
        self.requests.len()
    }

    /// Whether no request is queued.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Number of queued requests of one organisation over all classes.
    pub fn organisation_len(&self, organisation: &str) -> usize {
        self.organisation_lens.get(organisation).copied().unwrap_or(0)
    }

    /// Earliest deadline of a queued request, at which the caller collects it with [`Self::take_dropped`].
    pub fn next_deadline(&self) -> Option<Time> {
        self.deadlines.first().map(|(deadline, _)| *deadline)
    }

    /// Queues a request. A request that it displaces is returned by [`Self::take_dropped`].
    ///
    /// # Errors
    ///
    /// Returns the payload with [`NotRun::Deadline`] when the deadline has passed, or with [`NotRun::Overload`] when a
    /// limit is reached and no longer flow exists from which a request can be displaced.
    pub fn push(&mut self, request: QueuedRequest, payload: P, now: Time) -> Result<Ticket, (P, NotRun)> {
        if request.deadline <= now {
            return Err((payload, NotRun::Deadline));
        }
        self.drop_expired(now);
        if !self.make_room(&request) {
            return Err((payload, NotRun::Overload));
        }
        let ticket = Ticket(self.next_ticket);
        self.next_ticket += 1;
        self.insert(ticket, request, payload);
        Ok(ticket)
    }

    /// Removes and returns the request that gets the next connection, after dropping those whose deadline has passed.
    pub fn pop(&mut self, now: Time) -> Option<(QueuedRequest, P)> {
        self.drop_expired(now);
        let nonempty = (0..PriorityClass::COUNT).filter(|c| self.classes[*c].len() > 0);
        let class = nonempty.min_by_key(|c| self.class_start_tags[*c])?;
        Some(self.pop_from(class))
    }

    /// As [`Self::pop`], but only from classes that `may_start` accepts, and with a head start for more urgent classes: a
    /// class goes before a less urgent one until it has had [`HEAD_START_REQUESTS`] more than its share. For a server that
    /// gets one request at a time, where the shares alone would send a less urgent one while a more urgent one waits.
    pub fn pop_urgent<F>(&mut self, now: Time, may_start: F) -> Option<(QueuedRequest, P)>
    where
        F: Fn(PriorityClass) -> bool,
    {
        self.drop_expired(now);
        let nonempty = PriorityClass::all().filter(|c| self.classes[c.rank()].len() > 0);
        let head_start = HEAD_START_REQUESTS * MOST_URGENT_VIRTUAL_COST;
        let class = nonempty
            .filter(|c| may_start(*c))
            .min_by_key(|c| self.class_start_tags[c.rank()] + head_start * c.rank() as u64)?;
        Some(self.pop_from(class.rank()))
    }

    /// Drops the requests that cannot start before their deadline because their class may not start before
    /// `earliest_start`. They are returned, rather than by [`Self::take_dropped`].
    pub fn take_unservable<F>(&mut self, earliest_start: F) -> Vec<(QueuedRequest, P)>
    where
        F: Fn(PriorityClass) -> Time,
    {
        let unservable = self.requests.iter();
        let unservable = unservable.filter(|(_, (r, _))| earliest_start(r.class) >= r.deadline);
        let mut tickets: Vec<_> = unservable.map(|(ticket, _)| *ticket).collect();
        tickets.sort_unstable();
        tickets
            .into_iter()
            .map(|ticket| {
                let (request, _) = &self.requests[&ticket];
                let (rank, organisation) = (request.class.rank(), Arc::clone(&request.organisation));
                self.classes[rank].remove(&organisation, ticket);
                self.remove_entry(ticket)
            })
            .collect()
    }

    fn pop_from(&mut self, class: usize) -> (QueuedRequest, P) {
        let ticket = self.classes[class].pop().expect("a class that is not empty");
        // A class with a head start may be ahead of one that is served after it.
        self.virtual_time = self.virtual_time.max(self.class_start_tags[class]);
        self.class_start_tags[class] += class_virtual_cost(class);
        self.remove_entry(ticket)
    }

    /// Removes a request whose caller disconnected; `None` when it is no longer queued.
    pub fn remove(&mut self, ticket: Ticket) -> Option<P> {
        let (request, _) = self.requests.get(&ticket)?;
        let organisation = Arc::clone(&request.organisation);
        self.classes[request.class.rank()].remove(&organisation, ticket);
        Some(self.remove_entry(ticket).1)
    }

    /// Returns the requests that expired by `now` or were displaced since the last call, each with the reason for its
    /// refusal.
    pub fn take_dropped(&mut self, now: Time) -> Vec<(P, NotRun)> {
        self.drop_expired(now);
        std::mem::take(&mut self.dropped)
    }

    /// Estimated number of requests that are served before a new one of `organisation`, if no others arrive. This is the
    /// input of [`AdmissionControl`](crate::AdmissionControl): an organisation with few requests does not wait for the
    /// whole queue.
    pub fn requests_ahead(&self, organisation: &str, weight: u32, class: PriorityClass) -> usize {
        let own_class = class.rank();
        let in_class = self.classes[own_class].requests_ahead(organisation, weight);
        let tag = self.class_start_tags[own_class].max(self.virtual_time)
            + in_class as u64 * class_virtual_cost(own_class);
        let others = (0..PriorityClass::COUNT).filter(|c| *c != own_class);
        let in_others = others.map(|c| {
            served_up_to(
                self.class_start_tags[c],
                class_virtual_cost(c),
                self.classes[c].len(),
                tag,
            )
        });
        in_class + in_others.sum::<usize>()
    }

    /// Displaces a request if a limit is reached; `false` when the limit cannot be kept and `incoming` is refused.
    fn make_room(&mut self, incoming: &QueuedRequest) -> bool {
        let only_organisation = if self.organisation_len(&incoming.organisation) >= self.bounds.organisation {
            Some(&*incoming.organisation)
        } else if self.len() >= self.bounds.database {
            None
        } else {
            return true;
        };
        let Some((longest, ticket)) = self.longest_flow(only_organisation) else {
            return false;
        };
        let class = incoming.class.rank();
        let incoming_len =
            self.classes[class].normalized_len_after_push(&incoming.organisation, incoming.weight);
        if longest <= incoming_len * class_scale(class) {
            return false;
        }
        let payload = self.remove(ticket).expect("a queued request");
        self.dropped.push((payload, NotRun::Overload));
        true
    }

    /// Normalized length and newest request of the flow that is longest relative to the weights of its class and
    /// organisation.
    fn longest_flow(&self, only_organisation: Option<&str>) -> Option<(u64, Ticket)> {
        let classes = self.classes.iter().enumerate();
        let longest = classes.filter_map(|(class, queue)| {
            let (len, ticket) = queue.longest_flow(only_organisation)?;
            Some((len * class_scale(class), ticket))
        });
        longest.max()
    }

    fn insert(&mut self, ticket: Ticket, request: QueuedRequest, payload: P) {
        let class = request.class.rank();
        if self.classes[class].len() == 0 {
            self.class_start_tags[class] = self.class_start_tags[class].max(self.virtual_time);
        }
        self.classes[class].push(&request.organisation, request.weight, ticket);
        *self
            .organisation_lens
            .entry(Arc::clone(&request.organisation))
            .or_default() += 1;
        self.deadlines.insert((request.deadline, ticket));
        self.requests.insert(ticket, (request, payload));
        assert!(
            self.len() <= self.bounds.database,
            "the queue exceeds its maximum length"
        );
    }

    fn drop_expired(&mut self, now: Time) {
        while let Some(&(deadline, ticket)) = self.deadlines.first()
            && deadline <= now
        {
            let payload = self.remove(ticket).expect("a queued request");
            self.dropped.push((payload, NotRun::Deadline));
        }
    }

    fn remove_entry(&mut self, ticket: Ticket) -> (QueuedRequest, P) {
        let (request, payload) = self.requests.remove(&ticket).expect("a queued request");
        self.deadlines.remove(&(request.deadline, ticket));
        let count = self
            .organisation_lens
            .get_mut(&request.organisation)
            .expect("a counted organisation");
        *count -= 1;
        if *count == 0 {
            self.organisation_lens.remove(&request.organisation);
        }
        (request, payload)
    }
}

/// Factor by which normalized flow lengths of a class become comparable with those of the highest class.
const fn class_scale(class: usize) -> u64 {
    CLASS_WEIGHT_RATIO.pow(class as u32)
}

/// Advance in virtual time for one request of a class.
const fn class_virtual_cost(class: usize) -> u64 {
    MOST_URGENT_VIRTUAL_COST * class_scale(class)
}
