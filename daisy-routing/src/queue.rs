//! The short queue of requests that wait for a slot.

use std::cmp::Reverse;

use daisy_model::{Instant, Priority, SortedMap};

use crate::{Call, CallerId, Ticket, Urgency, service::ServiceKey};

/// Requests that wait at one time, of all services together.
pub(crate) const MAX_WAITING: usize = 1_024;

/// Who goes first: the service's priority, then the caller's word.
///
/// The caller's word only ranks requests of equally important services: no caller can make a
/// delayable service's request go before a critical one's.
pub(crate) type Rank = (Priority, Urgency);

/// Where a request stands: higher ranks first, then the caller that had least, then by arrival.
type Place = (Reverse<Rank>, u64, Ticket);

/// A request that waits.
#[derive(Debug, Clone)]
pub(crate) struct Waiting {
    pub(crate) ticket: Ticket,
    pub(crate) service: ServiceKey,
    pub(crate) rank: Rank,
    pub(crate) call: Call,
    pub(crate) since: Instant,
    turn: u64,
}

impl Waiting {
    fn place(&self) -> Place {
        (Reverse(self.rank), self.turn, self.ticket)
    }
}

/// Requests that wait, in the order in which they go.
///
/// Fair between callers by start-time fair queueing: each request of a caller takes the turn after
/// the caller's last one, and a caller that was idle starts at the turn being served.
#[derive(Debug, Default)]
pub(crate) struct Queue {
    waiting: Vec<Waiting>,
    served: u64,
    last_turns: SortedMap<(Rank, CallerId), u64>,
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
        let last = self.last_turns.get_or_insert_with((rank, call.caller), || 0);
        *last = (*last).max(self.served) + 1;
        let turn = *last;
        let waiting = Waiting { ticket, service, rank, call, since: now, turn };
        let at = self.waiting.partition_point(|other| other.place() < waiting.place());
        self.waiting.insert(at, waiting);
    }

    /// Whether a request of `rank` for `service` would wait behind another.
    pub(crate) fn has_ahead(&self, service: ServiceKey, rank: Rank) -> bool {
        self.waiting.iter().any(|other| other.service == service && other.rank >= rank)
    }

    /// Whether anything waits for `service`.
    pub(crate) fn has(&self, service: ServiceKey) -> bool {
        self.waiting.iter().any(|other| other.service == service)
    }

    /// The request at `index` in the order of going.
    pub(crate) fn get(&self, index: usize) -> Option<&Waiting> {
        self.waiting.get(index)
    }

    /// Requests that wait.
    pub(crate) fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Requests in the order of going.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &Waiting> {
        self.waiting.iter()
    }

    /// Takes the request at `index` out because its turn has come.
    pub(crate) fn serve(&mut self, index: usize) -> Waiting {
        let waiting = self.remove(index);
        self.served = self.served.max(waiting.turn);
        waiting
    }

    /// Takes the request at `index` out because it is given up.
    pub(crate) fn remove(&mut self, index: usize) -> Waiting {
        let waiting = self.waiting.remove(index);
        if self.waiting.is_empty() {
            self.last_turns = SortedMap::new();
            self.served = 0;
        } else if self.last_turns.len() > 2 * MAX_WAITING {
            let served = self.served;
            self.last_turns.retain(|_, turn| *turn > served);
        }
        waiting
    }

    /// Takes a request out by its ticket.
    pub(crate) fn try_forget(&mut self, ticket: Ticket) -> Option<Waiting> {
        let index = self.waiting.iter().position(|other| other.ticket == ticket)?;
        Some(self.remove(index))
    }
}
