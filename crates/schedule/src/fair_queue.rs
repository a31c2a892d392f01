//! The queue of transactions that wait for a connection of one database.
//!
//! The classes share the connections 16:4:1 by start-time fair queueing, so a lower class is slowed by a higher one but
//! never stopped. Inside a class the organisations share by weight. The queue is bounded as a whole and for each
//! organisation. A newcomer to a full queue displaces the newest request of the flow that is longest relative to its
//! weight, if that is longer than the newcomer's own: otherwise a few busy organisations that keep the queue full would
//! cause every request of the others to be refused.

use crate::class_queue::ClassQueue;
use crate::flow::{cost, served_by};
use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;
use wasabiyard_model::{NotRun, PriorityClass, Time};

const CLASSES: usize = 3;
const CLASS_WEIGHTS: [u32; CLASSES] = [16, 4, 1];

/// Bounds of a queue, in requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QueueBounds {
    /// Requests of all organisations.
    pub database: usize,
    /// Requests of one organisation.
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

/// Names a waiting request, in order of arrival.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(u64);

/// What the queue needs to know of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct QueuedRequest {
    /// Name of the organisation. A name stays valid when the manifest changes, unlike an entity reference.
    pub organisation: Arc<str>,
    /// Weight of the organisation, 1 to 100.
    pub weight: u32,
    /// Class of the route.
    pub class: PriorityClass,
    /// When the request is no longer worth starting.
    pub deadline: Time,
}

/// A bounded fair queue of requests with payload `P`.
#[derive(Debug)]
pub struct FairQueue<P> {
    bounds: QueueBounds,
    classes: [ClassQueue; CLASSES],
    /// Start tag of the next request of each class.
    class_starts: [u64; CLASSES],
    virtual_time: u64,
    entries: HashMap<Ticket, (QueuedRequest, P)>,
    deadlines: BTreeSet<(Time, Ticket)>,
    organisations: HashMap<Arc<str>, usize>,
    ended: Vec<(P, NotRun)>,
    next_ticket: u64,
}

impl<P> Default for FairQueue<P> {
    fn default() -> Self {
        Self::new(QueueBounds::default())
    }
}

impl<P> FairQueue<P> {
    /// An empty queue.
    pub fn new(bounds: QueueBounds) -> Self {
        Self {
            bounds,
            classes: Default::default(),
            class_starts: [0; CLASSES],
            virtual_time: 0,
            entries: HashMap::new(),
            deadlines: BTreeSet::new(),
            organisations: HashMap::new(),
            ended: Vec::new(),
            next_ticket: 0,
        }
    }

    /// Requests that wait.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Requests of one organisation that wait.
    pub fn organisation_len(&self, organisation: &str) -> usize {
        self.organisations.get(organisation).copied().unwrap_or(0)
    }

    /// When the next request passes its deadline.
    pub fn next_deadline(&self) -> Option<Time> {
        self.deadlines.first().map(|(deadline, _)| *deadline)
    }

    /// Adds a request. A request that it displaces appears in [`Self::take_dropped`].
    ///
    /// # Errors
    ///
    /// The payload with [`NotRun::Deadline`] when the deadline has passed, or with [`NotRun::Overload`] when a bound is
    /// reached and no longer flow can give way.
    pub fn push(&mut self, waiting: QueuedRequest, payload: P, now: Time) -> Result<Ticket, (P, NotRun)> {
        if waiting.deadline <= now {
            return Err((payload, NotRun::Deadline));
        }
        self.expire(now);
        if !self.make_room(&waiting) {
            return Err((payload, NotRun::Overload));
        }
        let ticket = Ticket(self.next_ticket);
        self.next_ticket += 1;
        self.insert(ticket, waiting, payload);
        Ok(ticket)
    }

    /// Removes and returns the request that gets the next connection. Never one whose deadline has passed.
    pub fn pop(&mut self, now: Time) -> Option<(QueuedRequest, P)> {
        self.expire(now);
        let waiting = (0..CLASSES).filter(|c| self.classes[*c].len() > 0);
        let class = waiting.min_by_key(|c| self.class_starts[*c])?;
        let ticket = self.classes[class].pop().expect("a class that is not empty");
        self.virtual_time = self.class_starts[class];
        self.class_starts[class] += cost(CLASS_WEIGHTS[class]);
        Some(self.forget(ticket))
    }

    /// Removes a request whose caller is gone.
    pub fn remove(&mut self, ticket: Ticket) -> Option<P> {
        let (waiting, _) = self.entries.get(&ticket)?;
        let organisation = Arc::clone(&waiting.organisation);
        self.classes[waiting.class as usize].remove(&organisation, ticket);
        Some(self.forget(ticket).1)
    }

    /// Returns the requests that passed their deadline by `now` or were displaced, each with its refusal.
    pub fn take_dropped(&mut self, now: Time) -> Vec<(P, NotRun)> {
        self.expire(now);
        std::mem::take(&mut self.ended)
    }

    /// How many requests are served before a new one of `organisation`, if none arrives later. For
    /// [`AdmissionControl`](crate::AdmissionControl): a light organisation does not wait for the whole queue.
    pub fn requests_ahead(&self, organisation: &str, weight: u32, class: PriorityClass) -> usize {
        let own = class as usize;
        let in_class = self.classes[own].ahead(organisation, weight);
        let tag = self.class_starts[own].max(self.virtual_time) + in_class as u64 * cost(CLASS_WEIGHTS[own]);
        let others = (0..CLASSES).filter(|c| *c != own);
        let in_others = others.map(|c| {
            served_by(
                self.class_starts[c],
                cost(CLASS_WEIGHTS[c]),
                self.classes[c].len(),
                tag,
            )
        });
        in_class + in_others.sum::<usize>()
    }

    fn make_room(&mut self, newcomer: &QueuedRequest) -> bool {
        let only = if self.organisation_len(&newcomer.organisation) >= self.bounds.organisation {
            Some(&*newcomer.organisation)
        } else if self.len() >= self.bounds.database {
            None
        } else {
            return true;
        };
        let Some((longest, ticket)) = self.longest(only) else {
            return false;
        };
        let class = newcomer.class as usize;
        let own = self.classes[class].relative_len_with_one_more(&newcomer.organisation, newcomer.weight);
        if longest <= own * class_scale(class) {
            return false;
        }
        let payload = self.remove(ticket).expect("a waiting request");
        self.ended.push((payload, NotRun::Overload));
        true
    }

    /// The flow that is longest relative to the weights of its class and organisation.
    fn longest(&self, only: Option<&str>) -> Option<(u64, Ticket)> {
        let classes = self.classes.iter().enumerate();
        let longest = classes.filter_map(|(class, queue)| {
            let (len, ticket) = queue.longest(only)?;
            Some((len * class_scale(class), ticket))
        });
        longest.max()
    }

    fn insert(&mut self, ticket: Ticket, waiting: QueuedRequest, payload: P) {
        let class = waiting.class as usize;
        if self.classes[class].len() == 0 {
            self.class_starts[class] = self.class_starts[class].max(self.virtual_time);
        }
        self.classes[class].push(&waiting.organisation, waiting.weight, ticket);
        *self
            .organisations
            .entry(Arc::clone(&waiting.organisation))
            .or_default() += 1;
        self.deadlines.insert((waiting.deadline, ticket));
        self.entries.insert(ticket, (waiting, payload));
        assert!(self.len() <= self.bounds.database, "the queue is bounded");
    }

    fn expire(&mut self, now: Time) {
        while let Some(&(deadline, ticket)) = self.deadlines.first()
            && deadline <= now
        {
            let payload = self.remove(ticket).expect("a waiting request");
            self.ended.push((payload, NotRun::Deadline));
        }
    }

    fn forget(&mut self, ticket: Ticket) -> (QueuedRequest, P) {
        let (waiting, payload) = self.entries.remove(&ticket).expect("a waiting request");
        self.deadlines.remove(&(waiting.deadline, ticket));
        let count = self
            .organisations
            .get_mut(&waiting.organisation)
            .expect("a counted organisation");
        *count -= 1;
        if *count == 0 {
            self.organisations.remove(&waiting.organisation);
        }
        (waiting, payload)
    }
}

/// Scale that makes lengths of flows of different classes comparable.
fn class_scale(class: usize) -> u64 {
    u64::from(CLASS_WEIGHTS[0] / CLASS_WEIGHTS[class])
}
