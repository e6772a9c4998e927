//! Decides which requests a backend server runs.

use std::{
    fmt,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU32, Ordering},
    },
};

use crate::recorder::lock;

/// Why a request is rejected without being run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum RejectReason {
    /// All slots are in use.
    NoFreeSlot,
    /// No task of the service runs on this VM.
    ServiceAbsent,
    /// The server is leaving and accepts no new requests.
    Leaving,
}

impl fmt::Display for RejectReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            RejectReason::NoFreeSlot => "all slots are in use",
            RejectReason::ServiceAbsent => "no task of the service runs here",
            RejectReason::Leaving => "the server is leaving",
        })
    }
}

/// Counts the requests in progress, up to a limit.
#[derive(Debug)]
pub(super) struct Slots {
    limit: u32,
    taken: Arc<AtomicU32>,
}

/// The slot of one request in progress, released when dropped.
#[derive(Debug)]
pub(super) struct Slot {
    taken: Arc<AtomicU32>,
}

impl Slots {
    pub(super) fn new(limit: u32) -> Slots {
        Slots { limit, taken: Arc::default() }
    }

    /// Takes a slot, if one is free.
    pub(super) fn try_acquire(&self) -> Option<Slot> {
        let increment = |taken: u32| (taken < self.limit).then_some(taken + 1);
        self.taken.fetch_update(Ordering::AcqRel, Ordering::Acquire, increment).ok()?;
        Some(Slot { taken: self.taken.clone() })
    }

    /// Returns the number of slots in use.
    pub(super) fn taken(&self) -> u32 {
        self.taken.load(Ordering::Acquire)
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.taken.fetch_sub(1, Ordering::AcqRel);
    }
}

/// The state of a service on a worker.
#[derive(Debug, Clone)]
pub struct ServiceState {
    /// The service's name.
    pub service: String,
    /// Its service time relative to that of an undisturbed task, in thousandths; `None` while none of
    /// its tasks runs here.
    pub slowdown: Option<u32>,
}

/// The states of the services on a worker; clones share the list.
///
/// A service that is not in the list is served as if a task of it ran undisturbed.
#[derive(Debug, Clone, Default)]
pub struct ServiceStates {
    services: Arc<Mutex<Vec<ServiceState>>>,
}

/// The slowdown, in thousandths, of an undisturbed task.
const NO_SLOWDOWN: u32 = 1000;

impl ServiceStates {
    /// Replaces the states of all services.
    pub fn set(&self, services: Vec<ServiceState>) {
        *lock(&self.services) = services;
    }

    /// Returns the slowdown of a service in thousandths, or `None` if no task of it runs here.
    pub fn slowdown(&self, service: &str) -> Option<u32> {
        let services = lock(&self.services);
        let known = services.iter().find(|it| it.service == service);
        known.map_or(Some(NO_SLOWDOWN), |it| it.slowdown)
    }
}
