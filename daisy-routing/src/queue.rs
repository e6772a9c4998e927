//! The short queue of requests that wait for a slot.

use std::cmp::Reverse;

use daisy_model::{Instant, Priority, SortedMap};

use crate::{Call, CallerId, Ticket, Urgency, service::ServiceKey};

/// Requests that wait at one time, of all services together.
pub(crate) const MAX_QUEUED: usize = 1_024;

/// Who goes first: the service's priority, then the caller's word.
///
/// The caller's word only ranks requests of equally important services: no caller can make a
/// delayable service's request go before a critical one's.
pub(crate) type Rank = (Priority, Urgency);

/// Where a request stands: higher ranks first, then the caller that had least, then by arrival.
type QueueOrder = (Reverse<Rank>, u64, Ticket);

/// A request that waits.
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

/// Requests that wait, in the order in which they go.
///
/// Fair between callers by start-time fair queueing: each request of a caller takes the turn after
/// the caller's last one, and a caller that was idle starts at the turn being served.
#[derive(Debug, Default)]
pub(crate) struct Queue {
    waiting: Vec<QueuedRequest>,
    virtual_time: u64,
    last_start_tags: SortedMap<(Rank, CallerId), u64>,
}

impl Queue {
    /// Puts a request in.
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

    /// Whether a request of `rank` for `service` would wait behind another.
    pub(crate) fn has_waiting_at_or_above(&self, service: ServiceKey, rank: Rank) -> bool {
        self.waiting.iter().any(|other| other.service == service && other.rank >= rank)
    }

    /// Whether anything waits for `service`.
    pub(crate) fn has_waiting(&self, service: ServiceKey) -> bool {
        self.waiting.iter().any(|other| other.service == service)
    }

    /// The request at `index` in the order of going.
    pub(crate) fn get(&self, index: usize) -> Option<&QueuedRequest> {
        self.waiting.get(index)
    }

    /// Requests that wait.
    pub(crate) fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Requests in the order of going.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &QueuedRequest> {
        self.waiting.iter()
    }

    /// Takes the request at `index` out because its turn has come.
    pub(crate) fn take_served(&mut self, index: usize) -> QueuedRequest {
        let waiting = self.remove(index);
        self.virtual_time = self.virtual_time.max(waiting.start_tag);
        waiting
    }

    /// Takes the request at `index` out because it is given up.
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

    /// Takes a request out by its ticket.
    pub(crate) fn try_remove_ticket(&mut self, ticket: Ticket) -> Option<QueuedRequest> {
        let index = self.waiting.iter().position(|other| other.ticket == ticket)?;
        Some(self.remove(index))
    }
}
