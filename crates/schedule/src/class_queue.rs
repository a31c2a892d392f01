//! Start-time fair queueing (SFQ) of the organisations within one class.
//!
//! Each request has a start tag in virtual time. The request with the lowest tag is served first, and the virtual time
//! is the tag of the request served last. A flow that becomes active again starts at the current virtual time, so it
//! neither accumulates credit while idle nor is charged for earlier service.

use crate::Ticket;
use crate::flow::{Flow, virtual_cost};
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

/// The flows of one class, one for each organisation.
#[derive(Debug, Default)]
pub(crate) struct ClassQueue {
    flows: HashMap<Arc<str>, Flow>,
    /// Organisations with queued requests, ordered by the start tag and then the arrival of their first request.
    by_start_tag: BTreeMap<(u64, Ticket), Arc<str>>,
    /// Start tag of the request that was served last.
    virtual_time: u64,
    /// Number of queued requests in all flows.
    len: usize,
}

impl ClassQueue {
    pub(crate) fn len(&self) -> usize {
        self.len
    }

    pub(crate) fn push(&mut self, organisation: &Arc<str>, weight: u32, ticket: Ticket) {
        let flow = self.flows.entry(Arc::clone(organisation)).or_default();
        flow.weight = weight;
        if flow.tickets.is_empty() {
            flow.start_tag = flow.start_tag.max(self.virtual_time);
            self.by_start_tag
                .insert((flow.start_tag, ticket), Arc::clone(organisation));
        }
        flow.tickets.push_back(ticket);
        self.len += 1;
    }

    /// Removes the request with the lowest start tag, to be served, and advances the virtual time.
    pub(crate) fn pop(&mut self) -> Option<Ticket> {
        let (&(start, ticket), organisation) = self.by_start_tag.iter().next()?;
        let organisation = Arc::clone(organisation);
        self.virtual_time = start;
        self.remove_ticket(&organisation, ticket, true);
        Some(ticket)
    }

    /// Removes a request without serving it: it expired, was displaced or was cancelled.
    pub(crate) fn remove(&mut self, organisation: &Arc<str>, ticket: Ticket) {
        self.remove_ticket(organisation, ticket, false);
    }

    /// Removes a request and updates the position of its flow. Only a served request advances the start tag.
    fn remove_ticket(&mut self, organisation: &Arc<str>, ticket: Ticket, served: bool) {
        let flow = self
            .flows
            .get_mut(organisation)
            .expect("flow of a queued request");
        let index = flow
            .tickets
            .iter()
            .position(|t| *t == ticket)
            .expect("queued request in its flow");
        if index == 0 {
            self.by_start_tag.remove(&(flow.start_tag, ticket));
        }
        flow.tickets.remove(index);
        if served {
            flow.start_tag += virtual_cost(flow.weight);
        }
        if let (0, Some(first)) = (index, flow.tickets.front()) {
            self.by_start_tag
                .insert((flow.start_tag, *first), Arc::clone(organisation));
        }
        self.len -= 1;
        if self.len == 0 {
            // The next request begins a new busy period, in which no flow is charged for earlier service.
            self.flows.clear();
        }
    }

    /// Estimated number of requests of this class that are served before a new one of `organisation`, if no others
    /// arrive.
    pub(crate) fn requests_ahead(&self, organisation: &str, weight: u32) -> usize {
        let own_flow = self.flows.get(organisation);
        let own_len = own_flow.map_or(0, |f| f.tickets.len());
        let start = own_flow.map_or(0, |f| f.start_tag).max(self.virtual_time);
        let tag = start + own_len as u64 * virtual_cost(weight);
        let others = self.by_start_tag.values().filter(|name| &***name != organisation);
        own_len
            + others
                .map(|name| self.flows[name].served_up_to(tag))
                .sum::<usize>()
    }

    /// Length of a flow divided by its weight, as if one more request were queued.
    pub(crate) fn normalized_len_after_push(&self, organisation: &str, weight: u32) -> u64 {
        self.flows
            .get(organisation)
            .map_or(virtual_cost(weight), |f| f.normalized_len(1))
    }

    /// Normalized length and newest request of the flow that is longest relative to its weight; considers only the flow
    /// of `only_organisation` when that is given.
    pub(crate) fn longest_flow(&self, only_organisation: Option<&str>) -> Option<(u64, Ticket)> {
        let names = self
            .by_start_tag
            .values()
            .filter(|name| only_organisation.is_none_or(|wanted| &***name == wanted));
        let flows = names.map(|name| &self.flows[name]);
        flows
            .filter_map(|f| Some((f.normalized_len(0), *f.tickets.back()?)))
            .max()
    }
}
