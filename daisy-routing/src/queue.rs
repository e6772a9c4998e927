//! The short queue of requests that wait for a free slot.

use std::cmp::Reverse;

use daisy_model::{Instant, Priority, SortedMap};

use crate::{Call, CallerId, Ticket, Urgency, service::ServiceKey};

/// Maximum number of waiting requests, over all services.
pub(crate) const MAX_QUEUED: usize = 1_024;

/// The rank of a request: the priority of its service, then the urgency that its caller declares.
///
/// The declared urgency only ranks requests of services of the same priority: no caller can make a
/// request of a delayable service precede one of a critical service.
pub(crate) type Rank = (Priority, Urgency);

/// The sort key of a waiting request: higher ranks first, then the lower start tag (the caller that
/// has been served least), then the order of arrival.
type QueueOrder = (Reverse<Rank>, u64, Ticket);

/// A request that waits in the queue.
#[derive(Debug, Clone)]
pub(crate) struct QueuedRequest {
    pub(crate) ticket: Ticket,
    pub(crate) service: ServiceKey,
    pub(crate) rank: Rank,
    pub(crate) call: Call,
    pub(crate) queued_at: Instant,
    start_tag: u64,
}

impl QueuedRequest {
    fn order(&self) -> QueueOrder {
        (Reverse(self.rank), self.start_tag, self.ticket)
    }
}

/// Waiting requests in the order in which they are served.
///
/// Callers are served fairly by start-time fair queueing: the start tag of a request is one higher
/// than that of the caller's previous request, and a caller that was idle continues from the
/// current virtual time.
#[derive(Debug, Default)]
pub(crate) struct Queue {
    waiting: Vec<QueuedRequest>,
    virtual_time: u64,
    last_start_tags: SortedMap<(Rank, CallerId), u64>,
}

impl Queue {
    /// Adds a request.
    pub(crate) fn push(
        &mut self,
        ticket: Ticket,
        service: ServiceKey,
        rank: Rank,
        call: Call,
        now: Instant,
    ) {
        let last = self.last_start_tags.get_or_insert_with((rank, call.caller), || 0);
        *last = (*last).max(self.virtual_time) + 1;
        let start_tag = *last;
        let waiting = QueuedRequest { ticket, service, rank, call, queued_at: now, start_tag };
        let at = self.waiting.partition_point(|other| other.order() < waiting.order());
        self.waiting.insert(at, waiting);
    }

    /// Returns whether a request of `rank` for `service` would wait behind another one.
    pub(crate) fn has_waiting_at_or_above(&self, service: ServiceKey, rank: Rank) -> bool {
        self.waiting.iter().any(|other| other.service == service && other.rank >= rank)
    }

    /// Returns whether any request for `service` is waiting.
    pub(crate) fn has_waiting(&self, service: ServiceKey) -> bool {
        self.waiting.iter().any(|other| other.service == service)
    }

    /// Returns the request at `index` in serving order.
    pub(crate) fn get(&self, index: usize) -> Option<&QueuedRequest> {
        self.waiting.get(index)
    }

    /// Returns the number of waiting requests.
    pub(crate) fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns the waiting requests in serving order.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &QueuedRequest> {
        self.waiting.iter()
    }

    /// Removes the request at `index` because it is served, and advances the virtual time.
    pub(crate) fn take_served(&mut self, index: usize) -> QueuedRequest {
        let waiting = self.remove(index);
        self.virtual_time = self.virtual_time.max(waiting.start_tag);
        waiting
    }

    /// Removes the request at `index` without serving it.
    pub(crate) fn remove(&mut self, index: usize) -> QueuedRequest {
        let waiting = self.waiting.remove(index);
        if self.waiting.is_empty() {
            self.last_start_tags = SortedMap::new();
            self.virtual_time = 0;
        } else if self.last_start_tags.len() > 2 * MAX_QUEUED {
            let virtual_time = self.virtual_time;
            self.last_start_tags.retain(|_, start_tag| *start_tag > virtual_time);
        }
        waiting
    }

    /// Removes a request by its ticket.
    pub(crate) fn try_remove_ticket(&mut self, ticket: Ticket) -> Option<QueuedRequest> {
        let index = self.waiting.iter().position(|other| other.ticket == ticket)?;
        Some(self.remove(index))
    }
}
