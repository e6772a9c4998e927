//! Which requests a backend server works on.

use std::{
    fmt,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU32, Ordering},
    },
};

use crate::recorder::lock;

/// Why a request is not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum RejectReason {
    /// All slots are taken.
    NoFreeSlot,
    /// No task of the service runs here.
    ServiceAbsent,
    /// The server takes nothing new.
    Leaving,
}

impl fmt::Display for RejectReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            RejectReason::NoFreeSlot => "all slots are taken",
            RejectReason::ServiceAbsent => "the service is not here",
            RejectReason::Leaving => "leaving",
        })
    }
}

/// Requests in progress, up to a bound.
#[derive(Debug)]
pub(super) struct Slots {
    limit: u32,
    taken: Arc<AtomicU32>,
}

/// One request in progress; given back when dropped.
#[derive(Debug)]
pub(super) struct Slot {
    taken: Arc<AtomicU32>,
}

impl Slots {
    pub(super) fn new(limit: u32) -> Slots {
        Slots { limit, taken: Arc::default() }
    }

    /// A slot, if one is free.
    pub(super) fn try_acquire(&self) -> Option<Slot> {
        let more = |taken: u32| (taken < self.limit).then_some(taken + 1);
        self.taken.fetch_update(Ordering::AcqRel, Ordering::Acquire, more).ok()?;
        Some(Slot { taken: self.taken.clone() })
    }

    /// Slots taken.
    pub(super) fn taken(&self) -> u32 {
        self.taken.load(Ordering::Acquire)
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.taken.fetch_sub(1, Ordering::AcqRel);
    }
}

/// A service that a worker knows of.
#[derive(Debug, Clone)]
pub struct ServiceState {
    /// The service's name.
    pub service: String,
    /// How much it is slowed down, in thousandths; `None` while no task of it runs here.
    pub slowdown: Option<u32>,
}

/// Services whose tasks may or may not run on a worker; clones share the list.
///
/// A service that the list does not name is served as if it ran undisturbed.
#[derive(Debug, Clone, Default)]
pub struct ServiceStates {
    services: Arc<Mutex<Vec<ServiceState>>>,
}

const NO_SLOWDOWN: u32 = 1000;

impl ServiceStates {
    /// Replaces all that is known.
    pub fn set(&self, services: Vec<ServiceState>) {
        *lock(&self.services) = services;
    }

    /// How much a service is slowed down, in thousandths; `None` if it is not here.
    pub fn slowdown(&self, service: &str) -> Option<u32> {
        let services = lock(&self.services);
        let known = services.iter().find(|it| it.service == service);
        known.map_or(Some(NO_SLOWDOWN), |it| it.slowdown)
    }
}
