//! Decides where requests go, one event at a time.

use std::time::Duration;

use daisy_model::{Instant, SortedMap, VmId};

use crate::{Call, Grant, Offer, Reason, Refusal, Routes, Target, Ticket, TryId};

/// How a try ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TryEnd {
    /// The whole answer came.
    Answered,
    /// The backend server refused it and proved that it did not run.
    Refused,
    /// No connection could be had; nothing was sent.
    NotSent,
    /// It was sent, and what came back is no whole answer.
    Broken,
    /// The caller left or another try answered first.
    Cancelled,
}

/// What a try taught about its backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Report {
    /// How the try ended.
    pub end: TryEnd,
    /// Requests in progress there, as its answer said.
    pub in_flight: Option<u32>,
    /// Whether its answer said that it is leaving.
    pub leaving: bool,
}

#[derive(Debug)]
struct Attempt {
    vm: VmId,
}

/// The router of one entry VM.
#[derive(Debug)]
pub struct Router {
    routes: Routes,
    in_flight: SortedMap<VmId, u32>,
    attempts: Vec<Option<Attempt>>,
    next: u32,
}

impl Router {
    /// A router of the entry VM `me` that knows no service yet.
    pub fn new(_me: VmId) -> Router {
        Router {
            routes: Routes::default(),
            in_flight: SortedMap::new(),
            attempts: Vec::new(),
            next: 0,
        }
    }

    /// Takes in new routes.
    pub fn set_routes(
        &mut self,
        _now: Instant,
        routes: &Routes,
        _rng: &mut fastrand::Rng,
    ) -> Vec<Grant> {
        if routes.version >= self.routes.version {
            self.routes = routes.clone();
        }
        Vec::new()
    }

    /// Decides about a new request.
    pub fn offer(&mut self, _now: Instant, call: &Call, rng: &mut fastrand::Rng) -> Offer {
        let Some(service) = self.routes.services.get(&call.service) else {
            return refuse(Reason::UnknownService);
        };
        let least = service
            .backends
            .iter()
            .filter(|backend| !backend.leaving)
            .min_by_key(|backend| (self.in_flight_at(backend.vm), rng.u32(..)));
        let Some(backend) = least else {
            return refuse(Reason::NoBackend);
        };
        let index = self.next;
        self.next += 1;
        let target = Target {
            ticket: Ticket { index, generation: 0 },
            attempt: TryId { index, generation: 0 },
            vm: backend.vm,
            address: backend.address,
            connections: (backend.connections / (self.routes.entries.len() as u32 + 1)).max(1),
        };
        *self.in_flight.get_or_insert_with(target.vm, || 0) += 1;
        self.attempts.push(Some(Attempt { vm: target.vm }));
        Offer::Send(target)
    }

    /// Ends a try.
    pub fn finish(
        &mut self,
        _now: Instant,
        attempt: TryId,
        _report: Report,
        _rng: &mut fastrand::Rng,
    ) -> Vec<Grant> {
        let ended = self.attempts.get_mut(attempt.index as usize).and_then(Option::take);
        if let Some(count) = ended.and_then(|ended| self.in_flight.get_mut(&ended.vm)) {
            *count = count.saturating_sub(1);
        }
        Vec::new()
    }

    /// Lets time pass: refuses what waits and can no longer finish.
    pub fn tick(&mut self, _now: Instant, _rng: &mut fastrand::Rng) -> Vec<Grant> {
        Vec::new()
    }

    /// Takes in what another entry VM has in flight by backend server.
    pub fn peer_in_flight(
        &mut self,
        _now: Instant,
        _peer: VmId,
        _in_flight: &[(VmId, u32)],
        _rng: &mut fastrand::Rng,
    ) -> Vec<Grant> {
        Vec::new()
    }

    /// Forgets a request whose caller has left while it waited.
    pub fn forget(&mut self, _ticket: Ticket) {}

    /// Requests in flight from this entry VM by backend server.
    pub fn in_flight(&self) -> Vec<(VmId, u32)> {
        self.in_flight.iter().filter(|(_, count)| **count > 0).map(|(vm, n)| (*vm, *n)).collect()
    }

    fn in_flight_at(&self, vm: VmId) -> u32 {
        self.in_flight.get(&vm).copied().unwrap_or(0)
    }
}

fn refuse(reason: Reason) -> Offer {
    Offer::Refuse(Refusal { reason, retry_after: Duration::from_secs(1) })
}
