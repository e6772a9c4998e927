//! State shared by all requests of an entry VM: the router, its waiting requests and the
//! connections.

use std::{
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use daisy_model::{SortedMap, VmId};
use daisy_routing::{
    Admission, Call, KeyAnswer, KeyId, KeyLimits, KeyQuery, KeyTable, QueueDecision, Rejection,
    Router, Routes, Target, Ticket, TryId, TryOutcome, TryReport,
};
use tokio::sync::{Notify, Semaphore, oneshot};

use crate::proxy::{
    Options,
    clock::Clock,
    metrics::RequestMetrics,
    pool::{Pool, lock},
};

/// Memory for stored answers to repeated attempts, in bytes: a quarter of the memory for control.
const MAX_STORED_BYTES: usize = 64 << 20;

/// The maximum number of concurrent keyed requests; each holds at most its short body.
pub(super) const MAX_KEYED_IN_PROGRESS: u32 = 8_192;

/// State shared by all requests; not generic over the client that queries peers.
#[derive(Debug)]
pub(super) struct Core {
    pub(super) options: Options,
    pub(super) clock: Clock,
    pub(super) pool: Pool,
    pub(super) draining: AtomicBool,
    pub(super) keys: Mutex<KeyTable>,
    /// A permit for each keyed request in progress, which may outlive its caller's connection.
    pub(super) keyed_permits: Arc<Semaphore>,
    pub(super) metrics: RequestMetrics,
    /// Notified when a request is queued.
    pub(super) queued: Notify,
    router_state: Mutex<RouterState>,
}

/// The router and the requests that wait for it, under one lock, so that no decision is lost
/// between them.
#[derive(Debug)]
struct RouterState {
    router: Router,
    rng: fastrand::Rng,
    waiters: SortedMap<Ticket, oneshot::Sender<QueueDecision>>,
}

/// A request in the router's queue; dropping it removes the request from the queue.
#[derive(Debug)]
pub(super) struct QueuedRequest<'a> {
    core: &'a Core,
    ticket: Ticket,
    rx: oneshot::Receiver<QueueDecision>,
}

/// The router's answer to a new request.
#[derive(Debug)]
pub(super) enum AdmissionResult<'a> {
    Send(Target),
    Wait(QueuedRequest<'a>),
    Reject(Rejection),
}

impl Core {
    /// Creates a core without routes.
    pub(super) fn new(options: Options) -> Core {
        let router_state = RouterState {
            router: Router::new(options.vm),
            rng: fastrand::Rng::with_seed(options.seed),
            waiters: SortedMap::new(),
        };
        let clock = Clock::new();
        let limits = KeyLimits { keys: options.limits.keys as usize, bytes: MAX_STORED_BYTES };
        let keys = KeyTable::new(options.vm, limits, clock.now());
        Core {
            options,
            clock,
            keys: Mutex::new(keys),
            keyed_permits: Arc::new(Semaphore::new(MAX_KEYED_IN_PROGRESS as usize)),
            pool: Pool::default(),
            draining: AtomicBool::new(false),
            metrics: RequestMetrics::new(),
            queued: Notify::new(),
            router_state: Mutex::new(router_state),
        }
    }

    /// Returns whether requests wait for a backend server.
    pub(super) fn has_waiting(&self) -> bool {
        !lock(&self.router_state).waiters.is_empty()
    }

    /// Returns whether a planned stop has begun.
    pub(super) fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Relaxed)
    }

    /// Returns a random number that no other request is likely to have.
    pub(super) fn random_id(&self) -> u64 {
        lock(&self.router_state).rng.u64(..)
    }

    /// Requests a backend server from the router.
    pub(super) fn admit(&self, call: &Call) -> AdmissionResult<'_> {
        let now = self.clock.now();
        let mut router_state = lock(&self.router_state);
        let RouterState { router, rng, waiters } = &mut *router_state;
        match router.admit(now, call, rng) {
            Admission::Send(target) => AdmissionResult::Send(target),
            Admission::Reject(rejection) => AdmissionResult::Reject(rejection),
            Admission::Wait(ticket) => {
                let (tx, rx) = oneshot::channel();
                waiters.insert(ticket, tx);
                self.queued.notify_one();
                AdmissionResult::Wait(QueuedRequest { core: self, ticket, rx })
            }
        }
    }

    /// Requests another backend server from the router after a failed try.
    pub(super) fn retry(&self, call: &Call, tried: &[VmId]) -> Option<Target> {
        let now = self.clock.now();
        let mut router_state = lock(&self.router_state);
        let RouterState { router, rng, .. } = &mut *router_state;
        router.retry(now, call, tried, rng)
    }

    /// Returns the delay after which a request may get a hedge.
    pub(super) fn hedge_after(&self, call: &Call) -> Option<Duration> {
        lock(&self.router_state).router.hedge_after(call)
    }

    /// Requests a second backend server from the router for a hedge.
    pub(super) fn hedge(&self, call: &Call, tried: &[VmId]) -> Option<Target> {
        let now = self.clock.now();
        let mut router_state = lock(&self.router_state);
        let RouterState { router, rng, .. } = &mut *router_state;
        router.hedge(now, call, tried, rng)
    }

    /// Returns how long a caller should wait before a retry.
    pub(super) fn retry_after(&self, call: &Call) -> Duration {
        let now = self.clock.now();
        let mut router_state = lock(&self.router_state);
        let RouterState { router, rng, .. } = &mut *router_state;
        router.retry_after(now, &call.service, rng)
    }

    /// Reports the end of a try to the router.
    pub(super) fn finish(&self, try_id: TryId, report: TryReport) {
        let now = self.clock.now();
        lock(&self.router_state).apply(|router, rng| router.finish(now, try_id, report, rng), now);
    }

    /// Updates the entry VMs that are homes of keys; returns the keys that must be handed over.
    pub(super) fn update_key_homes(&self, routes: &Routes) -> Vec<(VmId, KeyQuery)> {
        lock(&self.keys).set_routes(self.clock.now(), routes)
    }

    /// Returns the home of `key` in the own data centre.
    pub(super) fn home(&self, key: &KeyId) -> Option<VmId> {
        self.candidate_homes(key).first().copied()
    }

    /// Returns the entry VMs of the own data centre that may be the home of `key`, the likeliest
    /// first.
    pub(super) fn candidate_homes(&self, key: &KeyId) -> Vec<VmId> {
        let keys = lock(&self.keys);
        keys.candidate_homes(keys.dc(), key)
    }

    /// Returns the home of `key` in each other data centre; `None` where none is known.
    pub(super) fn other_homes(&self, key: &KeyId) -> Vec<Option<VmId>> {
        let keys = lock(&self.keys);
        let other_dcs = keys.other_dcs(self.clock.now());
        other_dcs.into_iter().map(|dc| keys.candidate_homes(dc, key).first().copied()).collect()
    }

    /// Answers a query about a key.
    pub(super) fn answer_key(&self, from: VmId, query: KeyQuery) -> KeyAnswer {
        lock(&self.keys).handle(self.clock.now(), from, query)
    }

    /// Applies new routes and closes connections to removed backend servers.
    pub(super) fn set_routes(&self, routes: &Routes) {
        let now = self.clock.now();
        lock(&self.router_state).apply(|router, rng| router.set_routes(now, routes, rng), now);
        let backends = || routes.services.iter().flat_map(|(_, service)| &service.backends);
        self.pool.retain(|address| backends().any(|backend| backend.address == *address));
    }

    /// Advances the time of the queue and the keys.
    pub(super) fn tick(&self) {
        let now = self.clock.now();
        let gaps = {
            let mut keys = lock(&self.keys);
            keys.observe_time(now);
            keys.take_history_gaps()
        };
        for gap in gaps {
            log::info!("event=key_history_gap vm={} cause=\"{gap:?}\"", self.options.vm);
        }
        lock(&self.router_state).apply(|router, rng| router.tick(now, rng), now);
    }

    /// Updates the requests that a peer has in flight.
    pub(super) fn peer_in_flight(&self, peer: VmId, in_flight: &[(VmId, u32)]) {
        let now = self.clock.now();
        let step =
            |router: &mut Router, rng: &mut _| router.peer_in_flight(now, peer, in_flight, rng);
        lock(&self.router_state).apply(step, now);
    }

    /// Returns the requests in flight by backend server.
    pub(super) fn in_flight(&self) -> Vec<(VmId, u32)> {
        lock(&self.router_state).router.in_flight()
    }
}

impl RouterState {
    /// Runs `step` and sends its decisions to the waiting requests.
    ///
    /// A backend server granted to a request that has left the queue is released at once, which may
    /// produce another decision.
    fn apply(
        &mut self,
        step: impl FnOnce(&mut Router, &mut fastrand::Rng) -> Vec<QueueDecision>,
        now: daisy_model::Instant,
    ) {
        let mut decisions = step(&mut self.router, &mut self.rng);
        while let Some(decision) = decisions.pop() {
            let ticket = match &decision {
                QueueDecision::Send(target) => target.ticket,
                QueueDecision::Reject(ticket, _) => *ticket,
            };
            let undelivered = match self.waiters.remove(&ticket) {
                Some(tx) => tx.send(decision).err(),
                None => Some(decision),
            };
            if let Some(QueueDecision::Send(target)) = undelivered {
                let cancelled = TryReport::without_answer(TryOutcome::Cancelled);
                let more = self.router.finish(now, target.try_id, cancelled, &mut self.rng);
                decisions.extend(more);
            }
        }
    }
}

impl QueuedRequest<'_> {
    /// Waits for the router's decision, which arrives before the request's deadline.
    pub(super) async fn decision(mut self) -> Option<QueueDecision> {
        (&mut self.rx).await.ok()
    }
}

impl Drop for QueuedRequest<'_> {
    fn drop(&mut self) {
        self.rx.close();
        let now = self.core.clock.now();
        let mut router_state = lock(&self.core.router_state);
        router_state.waiters.remove(&self.ticket);
        router_state.router.cancel_waiting(self.ticket);
        if let Ok(QueueDecision::Send(target)) = self.rx.try_recv() {
            let cancelled = TryReport::without_answer(TryOutcome::Cancelled);
            router_state
                .apply(|router, rng| router.finish(now, target.try_id, cancelled, rng), now);
        }
    }
}
