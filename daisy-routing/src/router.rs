//! Decides where requests go, one event at a time.

use std::time::Duration;

use daisy_model::{Arena, Instant, Name, Priority, SortedMap, VmId};

use crate::{
    Admission, Call, QueueDecision, RejectReason, Rejection, Routes, Target, Ticket, Urgency,
    budget::ByteBudget,
    choose::{FAR_ROUND_TRIP, Wish, any_usable, choose},
    queue::{MAX_WAITING, Queue, Rank, Waiting},
    server::{Distance, Server},
    service::{ServiceKey, ServiceState},
    slab::{Tickets, Tries, Try},
};

/// When to come again if nothing is known of the load.
const UNKNOWN_RETRY: Duration = Duration::from_secs(1);
/// Guess of an answer's bytes before it has come, for the budget of the region link.
pub(crate) const ANSWER_BYTES: u64 = 4 << 10;
/// A request that waits is given up when others have pushed it back this many times as far as the
/// queue promised.
const GIVE_UP_BOUNDS: u32 = 2;

/// A request on its way to a choice.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Placing<'a> {
    pub(crate) key: ServiceKey,
    pub(crate) call: &'a Call,
    /// Its ticket, if it waited.
    pub(crate) ticket: Option<Ticket>,
    /// The farthest that it may go.
    pub(crate) farthest: Distance,
    /// Backend servers that it has been at.
    pub(crate) exclude: &'a [VmId],
}

/// The router of one entry VM.
#[derive(Debug)]
pub struct Router {
    pub(crate) me: VmId,
    pub(crate) routes: Routes,
    /// Sorted by VM.
    pub(crate) servers: Vec<Server>,
    pub(crate) names: SortedMap<Name, ServiceKey>,
    pub(crate) services: Arena<ServiceKey, ServiceState>,
    pub(crate) peers: SortedMap<VmId, SortedMap<VmId, u32>>,
    pub(crate) tries: Tries,
    pub(crate) region: ByteBudget,
    pub(crate) queue: Queue,
    tickets: Tickets,
}

impl Router {
    /// A router of the entry VM `me` that knows no service yet.
    pub fn new(me: VmId) -> Router {
        Router {
            me,
            routes: Routes::default(),
            servers: Vec::new(),
            names: SortedMap::new(),
            services: Arena::new(),
            peers: SortedMap::new(),
            tries: Tries::default(),
            region: ByteBudget::new(0, Instant::default()),
            queue: Queue::default(),
            tickets: Tickets::default(),
        }
    }

    /// Decides about a new request.
    pub fn offer(&mut self, now: Instant, call: &Call, rng: &mut fastrand::Rng) -> Admission {
        let Some(key) = self.try_service(&call.service) else {
            return refuse(RejectReason::UnknownService, UNKNOWN_RETRY);
        };
        let reach = self.reach(now, key, call);
        if let Some(service) = self.services.get_mut(key) {
            service.offered.add(now);
        }
        let Some(service) = self.services.get(key) else {
            return refuse(RejectReason::UnknownService, UNKNOWN_RETRY);
        };
        if !any_usable(&self.servers, &service.servers, reach, now) {
            return refuse(RejectReason::NoBackend, service.retry_after(now, rng));
        }
        if call.deadline.since(now) < service.typical() / 2 {
            return refuse(RejectReason::Deadline, service.retry_after(now, rng));
        }
        let rank = rank(service.priority, call.urgency);
        let placing = Placing { key, call, ticket: None, farthest: reach, exclude: &[] };
        if !self.queue.has_ahead(key, rank)
            && let Some(target) = self.try_send(now, placing, rng)
        {
            return Admission::Send(target);
        }
        self.wait(now, key, rank, call, rng)
    }

    /// Puts a request in the queue, unless it could not finish from there.
    fn wait(
        &mut self,
        now: Instant,
        key: ServiceKey,
        rank: Rank,
        call: &Call,
        rng: &mut fastrand::Rng,
    ) -> Admission {
        let ticket = self.tickets.draw();
        self.queue.push(ticket, key, rank, call.clone(), now);
        match self.try_refuse(now, ticket) {
            Some(reason) => {
                self.queue.try_forget(ticket);
                let wait = self.retry_after_of(now, key, rng);
                refuse(reason, wait)
            }
            None => Admission::Wait(ticket),
        }
    }

    /// Why a request that has just been put in the queue must not stay there.
    fn try_refuse(&self, now: Instant, ticket: Ticket) -> Option<RejectReason> {
        let at = self.queue.iter().position(|waiting| waiting.ticket == ticket)?;
        let waiting = self.queue.get(at)?;
        let ahead =
            self.queue.iter().take(at).filter(|other| other.service == waiting.service).count();
        let service = self.services.get(waiting.service)?;
        let wait = service.wait(ahead, now);
        if wait + service.typical() > waiting.call.deadline.since(now) {
            Some(RejectReason::Deadline)
        } else if wait > service.queue_bound() || self.queue.len() > MAX_WAITING {
            Some(RejectReason::Overload)
        } else {
            None
        }
    }

    /// Grants slots to those that wait, in their order, and refuses those pushed out.
    pub(crate) fn dispatch(&mut self, now: Instant, rng: &mut fastrand::Rng) -> Vec<QueueDecision> {
        let mut grants = Vec::new();
        // Taken out while its requests are looked at, and put back below.
        let mut queue = std::mem::take(&mut self.queue);
        let mut stuck: Vec<ServiceKey> = Vec::new();
        let mut index = 0;
        while let Some(waiting) = queue.get(index) {
            match self.try_turn(now, waiting, &stuck, rng) {
                Some(target) => {
                    queue.serve(index);
                    grants.push(QueueDecision::Send(target));
                }
                // Those of the same service behind it rank lower and find no slot either.
                None => {
                    stuck.push(waiting.service);
                    index += 1;
                }
            }
        }
        self.queue = queue;
        self.refuse_late(now, rng, &mut grants);
        grants
    }

    fn try_turn(
        &mut self,
        now: Instant,
        waiting: &Waiting,
        stuck: &[ServiceKey],
        rng: &mut fastrand::Rng,
    ) -> Option<Target> {
        let Waiting { service: key, ticket, call, .. } = waiting;
        if stuck.contains(key) {
            return None;
        }
        let farthest = self.reach(now, *key, call);
        let placing = Placing { key: *key, call, ticket: Some(*ticket), farthest, exclude: &[] };
        self.try_send(now, placing, rng)
    }

    /// Gives up those that can no longer finish and those that others have pushed too far back.
    ///
    /// Guards against answers that come too late for their caller: a request is refused as soon as
    /// its turn cannot come in time, not when its deadline has passed.
    fn refuse_late(
        &mut self,
        now: Instant,
        rng: &mut fastrand::Rng,
        grants: &mut Vec<QueueDecision>,
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
            match self.try_give_up(now, waiting, *ahead) {
                Some(reason) => {
                    let waiting = self.queue.remove(index);
                    let retry_after = self.retry_after_of(now, key, rng);
                    grants.push(QueueDecision::Reject(
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

    fn try_give_up(&self, now: Instant, waiting: &Waiting, ahead: usize) -> Option<RejectReason> {
        let service = self.services.get(waiting.service)?;
        let waited = now.since(waiting.since);
        let left = waiting.call.deadline.since(now);
        if !service.known {
            Some(RejectReason::UnknownService)
        } else if left < service.typical() {
            Some(RejectReason::Deadline)
        } else if waited + service.wait(ahead, now) > service.queue_bound() * GIVE_UP_BOUNDS {
            Some(RejectReason::Overload)
        } else {
            None
        }
    }

    /// Sends a request if a backend server has room for it now.
    pub(crate) fn try_send(
        &mut self,
        now: Instant,
        placing: Placing<'_>,
        rng: &mut fastrand::Rng,
    ) -> Option<Target> {
        let service = self.services.get(placing.key)?;
        let wish = Wish {
            now,
            delayable: is_delayable(rank(service.priority, placing.call.urgency)),
            reach: placing.farthest,
            exclude: placing.exclude,
            median: service.median,
        };
        let position = choose(&self.servers, &service.servers, &wish, rng)?;
        Some(self.send(now, placing, position))
    }

    fn send(&mut self, now: Instant, placing: Placing<'_>, position: u32) -> Target {
        let Placing { key, call, ticket, .. } = placing;
        let ticket = ticket.unwrap_or_else(|| self.tickets.draw());
        let server = &mut self.servers[position as usize];
        server.own += 1;
        let far = server.distance == Distance::Far;
        if far {
            self.region.spend(call.bytes + ANSWER_BYTES);
        }
        if let Some(service) = self.services.get_mut(key) {
            service.in_flight += 1;
        }
        let try_id = self.tries.insert(Try { vm: server.vm, service: key, begun: now, far });
        Target {
            ticket,
            try_id,
            vm: server.vm,
            address: server.address,
            connections: server.connections,
        }
    }

    /// How far a request may go: to another region only while its deadline and the budget of the
    /// region link allow it.
    pub(crate) fn reach(&mut self, now: Instant, key: ServiceKey, call: &Call) -> Distance {
        let typical = self.services.get(key).map_or(UNKNOWN_RETRY, ServiceState::typical);
        let in_time = call.deadline.since(now) > typical + FAR_ROUND_TRIP;
        if in_time && self.region.has(call.bytes + ANSWER_BYTES, now) {
            Distance::Far
        } else {
            Distance::Near
        }
    }

    /// Lets time pass: probes fall due, and what waits and can no longer finish is refused.
    pub fn tick(&mut self, now: Instant, rng: &mut fastrand::Rng) -> Vec<QueueDecision> {
        self.refresh_medians();
        self.dispatch(now, rng)
    }

    /// Forgets a request whose caller has left while it waited.
    pub fn cancel_waiting(&mut self, ticket: Ticket) {
        self.queue.try_forget(ticket);
    }

    /// Requests in flight from this entry VM by backend server.
    pub fn in_flight(&self) -> Vec<(VmId, u32)> {
        let busy = self.servers.iter().filter(|server| server.own > 0);
        busy.map(|server| (server.vm, server.own)).collect()
    }

    pub(crate) fn try_service(&self, name: &Name) -> Option<ServiceKey> {
        let key = *self.names.get(name)?;
        self.services.get(key).filter(|service| service.known).map(|_| key)
    }

    /// When a caller of `service` is to come again after a refusal now.
    pub fn retry_after(&self, now: Instant, service: &Name, rng: &mut fastrand::Rng) -> Duration {
        let key = self.try_service(service);
        key.map_or(UNKNOWN_RETRY, |key| self.retry_after_of(now, key, rng))
    }

    fn retry_after_of(&self, now: Instant, key: ServiceKey, rng: &mut fastrand::Rng) -> Duration {
        self.services.get(key).map_or(UNKNOWN_RETRY, |service| service.retry_after(now, rng))
    }
}

fn refuse(reason: RejectReason, retry_after: Duration) -> Admission {
    Admission::Reject(Rejection { reason, retry_after })
}

fn rank(priority: Priority, urgency: Urgency) -> Rank {
    (priority, urgency)
}

/// Whether a request may wait so that a critical one finds a free slot.
fn is_delayable((priority, urgency): Rank) -> bool {
    priority < Priority::Urgent || urgency == Urgency::Low
}
