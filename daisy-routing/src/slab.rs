//! Storage whose keys are never reused.

use daisy_model::Instant;

use crate::{TryId, call::Ticket, service::ServiceKey};

/// A try in flight.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Try {
    pub(crate) vm: daisy_model::VmId,
    pub(crate) service: ServiceKey,
    pub(crate) started_at: Instant,
    /// Whether its bytes count against the region link.
    pub(crate) crosses_region: bool,
}

#[derive(Debug)]
struct Slot {
    generation: u32,
    item: Option<Try>,
}

/// Tries in flight by [`TryId`].
///
/// Guards against a try that is ended twice, once by its answer and once by its caller's leaving:
/// the second would free the slot of another request. The generation tells them apart.
#[derive(Debug, Default)]
pub(crate) struct Tries {
    slots: Vec<Slot>,
    free: Vec<u32>,
}

impl Tries {
    /// Stores `item`.
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

    /// Takes the try out, once.
    pub(crate) fn try_remove(&mut self, id: TryId) -> Option<Try> {
        let slot = self.slots.get_mut(id.index as usize)?;
        if slot.generation != id.generation {
            return None;
        }
        let item = slot.item.take()?;
        self.free.push(id.index);
        Some(item)
    }

    /// All tries in flight.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &Try> {
        self.slots.iter().filter_map(|slot| slot.item.as_ref())
    }
}

/// Draws tickets.
#[derive(Debug, Default)]
pub(crate) struct Tickets {
    next: u64,
}

impl Tickets {
    /// A ticket that was not drawn before.
    pub(crate) fn draw(&mut self) -> Ticket {
        self.next += 1;
        Ticket(self.next)
    }
}
