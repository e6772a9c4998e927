//! Storage for tries in flight, whose ids are never reused, and a generator of tickets.

use daisy_model::Instant;

use crate::{TryId, call::Ticket, service::ServiceKey};

/// A try in flight.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Try {
    pub(crate) vm: daisy_model::VmId,
    pub(crate) service: ServiceKey,
    pub(crate) started_at: Instant,
    /// Whether its bytes are charged to the budget of the region link.
    pub(crate) crosses_region: bool,
}

#[derive(Debug)]
struct Slot {
    generation: u32,
    item: Option<Try>,
}

/// Tries in flight by [`TryId`].
///
/// Prevents a try from being ended twice, once by its answer and once by the disconnection of its
/// caller: the second end would free the slot of another request. The generation in the id differs
/// between a try and a later one in the same slot.
#[derive(Debug, Default)]
pub(crate) struct Tries {
    slots: Vec<Slot>,
    free: Vec<u32>,
}

impl Tries {
    /// Stores `item` and returns its id.
    pub(crate) fn insert(&mut self, item: Try) -> TryId {
        let index = self.free.pop().unwrap_or(self.slots.len() as u32);
        if index as usize == self.slots.len() {
            self.slots.push(Slot { generation: 0, item: None });
        }
        let slot = &mut self.slots[index as usize];
        slot.generation = slot.generation.wrapping_add(1);
        slot.item = Some(item);
        TryId { index, generation: slot.generation }
    }

    /// Removes a try; returns `None` if it was removed before.
    pub(crate) fn try_remove(&mut self, id: TryId) -> Option<Try> {
        let slot = self.slots.get_mut(id.index as usize)?;
        if slot.generation != id.generation {
            return None;
        }
        let item = slot.item.take()?;
        self.free.push(id.index);
        Some(item)
    }

    /// Returns all tries in flight.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &Try> {
        self.slots.iter().filter_map(|slot| slot.item.as_ref())
    }
}

/// Generates tickets.
#[derive(Debug, Default)]
pub(crate) struct Tickets {
    next: u64,
}

impl Tickets {
    /// Returns a new ticket.
    pub(crate) fn draw(&mut self) -> Ticket {
        self.next += 1;
        Ticket(self.next)
    }
}
