//! Decides where requests are sent, one event at a time.

use std::time::Duration;

use daisy_model::{Arena, Instant, Name, Priority, SortedMap, VmId};

use crate::{
    Admission, Call, QueueDecision, RejectReason, Rejection, Routes, Target, Ticket, Urgency,
    budget::ByteBudget,
    choose::{REGION_ROUND_TRIP, Requirements, choose, has_usable_server},
    queue::{MAX_QUEUED, Queue, QueuedRequest, Rank},
    server::{Distance, Server},
    service::{ServiceKey, ServiceState},
    slab::{Tickets, Tries, Try},
};

/// Retry delay for rejected callers if nothing is known about the load.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Estimated size of an answer that has not been received yet, for the budget of the region link.
pub(crate) const ESTIMATED_ANSWER_BYTES: u64 = 4 << 10;
/// A waiting request is rejected when other requests have delayed it to this many times the longest
/// wait for which the queue admits requests.
const MAX_WAIT_FACTOR: u32 = 2;

/// A request for which a backend server is to be chosen.
#[derive(Debug, Clone, Copy)]
pub(crate) struct PendingSend<'a> {
    pub(crate) key: ServiceKey,
    pub(crate) call: &'a Call,
    /// The ticket of the request, if it was queued.
    pub(crate) ticket: Option<Ticket>,
    /// The greatest distance of an eligible backend server.
    pub(crate) max_distance: Distance,
    /// Backend servers that have already been tried.
    pub(crate) exclude: &'a [VmId],
}

/// The router of one entry VM.
#[derive(Debug)]
pub struct Router {
    pub(crate) own_vm: VmId,
    pub(crate) routes: Routes,
    /// Backend servers, sorted by VM.
    pub(crate) servers: Vec<Server>,
    /// When the first backend server became known.
    pub(crate) first_servers_at: Option<Instant>,
    pub(crate) service_keys: SortedMap<Name, ServiceKey>,
    pub(crate) services: Arena<ServiceKey, ServiceState>,
    /// Requests in flight from each other entry VM, by backend server.
    pub(crate) in_flight_by_peer: SortedMap<VmId, SortedMap<VmId, u32>>,
    pub(crate) tries: Tries,
    /// Budget of the bytes that this entry VM may send over the region link.
    pub(crate) region_budget: ByteBudget,
    pub(crate) queue: Queue,
    tickets: Tickets,
}

impl Router {
    /// Creates a router without routes for the entry VM `own_vm`.
    pub fn new(own_vm: VmId) -> Router {
        Router {
            own_vm,
            routes: Routes::default(),
            servers: Vec::new(),
            first_servers_at: None,
            service_keys: SortedMap::new(),
            services: Arena::new(),
            in_flight_by_peer: SortedMap::new(),
            tries: Tries::default(),
            region_budget: ByteBudget::new(0, Instant::default()),
            queue: Queue::default(),
            tickets: Tickets::default(),
        }
    }

    /// Decides whether a new request is sent, queued or rejected.
    pub fn admit(&mut self, now: Instant, call: &Call, rng: &mut fastrand::Rng) -> Admission {
        let Some(key) = self.find_service(&call.service) else {
            return reject(RejectReason::UnknownService, DEFAULT_RETRY_AFTER);
        };
        let max_distance = self.max_distance(now, key, call);
        if let Some(service) = self.services.get_mut(key) {
            service.arrivals.add(now);
        }
        let Some(service) = self.services.get(key) else {
            return reject(RejectReason::UnknownService, DEFAULT_RETRY_AFTER);
        };
        if !has_usable_server(&self.servers, &service.servers, max_distance, now) {
            return reject(RejectReason::NoBackend, service.retry_after(now, rng));
        }
        if call.deadline.since(now) < service.typical_latency() / 2 {
            return reject(RejectReason::Deadline, service.retry_after(now, rng));
        }
        let rank = rank(service.priority, call.urgency);
        let pending = PendingSend { key, call, ticket: None, max_distance, exclude: &[] };
        if !self.queue.has_waiting_at_or_above(key, rank)
            && let Some(target) = self.try_send(now, pending, rng)
        {
            return Admission::Send(target);
        }
        self.enqueue(now, key, rank, call, rng)
    }

    /// Queues a request, unless it could not finish in time from there.
    fn enqueue(
        &mut self,
        now: Instant,
        key: ServiceKey,
        rank: Rank,
        call: &Call,
        rng: &mut fastrand::Rng,
    ) -> Admission {
        let ticket = self.tickets.draw();
        self.queue.push(ticket, key, rank, call.clone(), now);
        match self.queue_reject_reason(now, ticket) {
            Some(reason) => {
                self.queue.try_remove_ticket(ticket);
                let wait = self.retry_after_of(now, key, rng);
                reject(reason, wait)
            }
            None => Admission::Wait(ticket),
        }
    }

    /// Returns why a request that was just queued must be removed again, if it must.
    fn queue_reject_reason(&self, now: Instant, ticket: Ticket) -> Option<RejectReason> {
        let at = self.queue.iter().position(|waiting| waiting.ticket == ticket)?;
        let waiting = self.queue.get(at)?;
        let ahead =
            self.queue.iter().take(at).filter(|other| other.service == waiting.service).count();
        let service = self.services.get(waiting.service)?;
        let wait = service.expected_wait(ahead, now);
        if wait + service.typical_latency() > waiting.call.deadline.since(now) {
            Some(RejectReason::Deadline)
        } else if wait > service.max_queue_wait() || self.queue.len() > MAX_QUEUED {
            Some(RejectReason::Overload)
        } else {
            None
        }
    }

    /// Sends waiting requests for which there are free slots, in queue order, and rejects those
    /// that can no longer finish in time.
    pub(crate) fn dispatch(&mut self, now: Instant, rng: &mut fastrand::Rng) -> Vec<QueueDecision> {
        let mut decisions = Vec::new();
        // The queue is taken out of `self` during the loop and put back below.
        let mut queue = std::mem::take(&mut self.queue);
        let mut blocked_services: Vec<ServiceKey> = Vec::new();
        let mut index = 0;
        while let Some(waiting) = queue.get(index) {
            match self.try_send_queued(now, waiting, &blocked_services, rng) {
                Some(target) => {
                    queue.take_served(index);
                    decisions.push(QueueDecision::Send(target));
                }
                // Later requests of the same service rank lower and find no free slot either.
                None => {
                    blocked_services.push(waiting.service);
                    index += 1;
                }
            }
        }
        self.queue = queue;
        self.reject_overdue(now, rng, &mut decisions);
        decisions
    }

    fn try_send_queued(
        &mut self,
        now: Instant,
        waiting: &QueuedRequest,
        blocked_services: &[ServiceKey],
        rng: &mut fastrand::Rng,
    ) -> Option<Target> {
        let QueuedRequest { service: key, ticket, call, .. } = waiting;
        if blocked_services.contains(key) {
            return None;
        }
        let max_distance = self.max_distance(now, *key, call);
        let pending =
            PendingSend { key: *key, call, ticket: Some(*ticket), max_distance, exclude: &[] };
        self.try_send(now, pending, rng)
    }

    /// Rejects requests that can no longer finish in time and those that other requests have
    /// delayed for too long.
    ///
    /// Prevents answers that arrive too late for their caller: a request is rejected as soon as it
    /// can no longer be sent in time, not only when its deadline has passed.
    fn reject_overdue(
        &mut self,
        now: Instant,
        rng: &mut fastrand::Rng,
        decisions: &mut Vec<QueueDecision>,
    ) {
        let mut counts: Vec<(ServiceKey, usize)> = Vec::new();
        let mut index = 0;
        while let Some(waiting) = self.queue.get(index) {
            let key = waiting.service;
            let ahead = match counts.iter_mut().find(|(other, _)| *other == key) {
                Some((_, count)) => count,
                None => {
                    counts.push((key, 0));
                    &mut counts.last_mut().expect("pushed above").1
                }
            };
            match self.overdue_reason(now, waiting, *ahead) {
                Some(reason) => {
                    let waiting = self.queue.remove(index);
                    let retry_after = self.retry_after_of(now, key, rng);
                    decisions.push(QueueDecision::Reject(
                        waiting.ticket,
                        Rejection { reason, retry_after },
                    ));
                }
                None => {
                    *ahead += 1;
                    index += 1;
                }
            }
        }
    }

    fn overdue_reason(
        &self,
        now: Instant,
        waiting: &QueuedRequest,
        ahead: usize,
    ) -> Option<RejectReason> {
        let service = self.services.get(waiting.service)?;
        let waited = now.since(waiting.queued_at);
        let left = waiting.call.deadline.since(now);
        if !service.in_routes {
            Some(RejectReason::UnknownService)
        } else if left < service.typical_latency() {
            Some(RejectReason::Deadline)
        } else if waited + service.expected_wait(ahead, now)
            > service.max_queue_wait() * MAX_WAIT_FACTOR
        {
            Some(RejectReason::Overload)
        } else {
            None
        }
    }

    /// Sends a request if a backend server has a free slot for it now.
    pub(crate) fn try_send(
        &mut self,
        now: Instant,
        pending: PendingSend<'_>,
        rng: &mut fastrand::Rng,
    ) -> Option<Target> {
        let service = self.services.get(pending.key)?;
        let requirements = Requirements {
            now,
            may_wait: is_delayable(rank(service.priority, pending.call.urgency)),
            max_distance: pending.max_distance,
            exclude: pending.exclude,
            median_log_latency: service.median_log_latency,
        };
        let position = choose(&self.servers, &service.servers, &requirements, rng)?;
        Some(self.send(now, pending, position))
    }

    fn send(&mut self, now: Instant, pending: PendingSend<'_>, position: u32) -> Target {
        let PendingSend { key, call, ticket, .. } = pending;
        let ticket = ticket.unwrap_or_else(|| self.tickets.draw());
        let server = &mut self.servers[position as usize];
        server.own_in_flight += 1;
        let crosses_region = server.distance == Distance::OtherRegion;
        if crosses_region {
            self.region_budget.spend(call.bytes + ESTIMATED_ANSWER_BYTES);
        }
        if let Some(service) = self.services.get_mut(key) {
            service.in_flight += 1;
        }
        let try_id =
            self.tries.insert(Try { vm: server.vm, service: key, started_at: now, crosses_region });
        Target {
            ticket,
            try_id,
            vm: server.vm,
            address: server.address,
            connections: server.connections,
        }
    }

    /// Returns the greatest distance at which a request may be sent: another region is allowed only
    /// while the deadline and the budget of the region link permit it.
    pub(crate) fn max_distance(&mut self, now: Instant, key: ServiceKey, call: &Call) -> Distance {
        let typical_latency =
            self.services.get(key).map_or(DEFAULT_RETRY_AFTER, ServiceState::typical_latency);
        let in_time = call.deadline.since(now) > typical_latency + REGION_ROUND_TRIP;
        if in_time && self.region_budget.allows(call.bytes + ESTIMATED_ANSWER_BYTES, now) {
            Distance::OtherRegion
        } else {
            Distance::SameRegion
        }
    }

    /// Advances the time: sends probes that are due and rejects waiting requests that can no longer
    /// finish.
    pub fn tick(&mut self, now: Instant, rng: &mut fastrand::Rng) -> Vec<QueueDecision> {
        self.refresh_medians();
        self.dispatch(now, rng)
    }

    /// Removes a queued request whose caller has disconnected.
    pub fn cancel_waiting(&mut self, ticket: Ticket) {
        self.queue.try_remove_ticket(ticket);
    }

    /// Returns the number of requests in flight from this entry VM for each backend server.
    pub fn in_flight(&self) -> Vec<(VmId, u32)> {
        let busy = self.servers.iter().filter(|server| server.own_in_flight > 0);
        busy.map(|server| (server.vm, server.own_in_flight)).collect()
    }

    pub(crate) fn find_service(&self, name: &Name) -> Option<ServiceKey> {
        let key = *self.service_keys.get(name)?;
        self.services.get(key).filter(|service| service.in_routes).map(|_| key)
    }

    /// Returns after how long a caller of `service` that is rejected now should retry.
    pub fn retry_after(&self, now: Instant, service: &Name, rng: &mut fastrand::Rng) -> Duration {
        let key = self.find_service(service);
        key.map_or(DEFAULT_RETRY_AFTER, |key| self.retry_after_of(now, key, rng))
    }

    fn retry_after_of(&self, now: Instant, key: ServiceKey, rng: &mut fastrand::Rng) -> Duration {
        self.services.get(key).map_or(DEFAULT_RETRY_AFTER, |service| service.retry_after(now, rng))
    }
}

fn reject(reason: RejectReason, retry_after: Duration) -> Admission {
    Admission::Reject(Rejection { reason, retry_after })
}

fn rank(priority: Priority, urgency: Urgency) -> Rank {
    (priority, urgency)
}

/// Returns whether a request may wait so that a critical request finds a free slot.
fn is_delayable((priority, urgency): Rank) -> bool {
    priority < Priority::Urgent || urgency == Urgency::Low
}
