//! The interface that a run uses to choose backend servers, the baselines and the router behind it.

use std::time::Duration;

use daisy_model::{DcId, Instant, JobId, Name, Priority, SortedMap, VmId};
use daisy_routing::{
    Admission, Backend, Call, CallerId, QueueDecision, Router, Routes, Service, TryId, TryOutcome,
    TryReport, Urgency,
};

use crate::choose::sim::{REQUEST_TIMEOUT, SERVER_COUNT, SLOTS_PER_SERVER};

/// Number of callers that share the load, between which the router is fair.
const CALLER_COUNT: u64 = 100;

/// What a policy decides for a request.
#[derive(Debug, Clone, Copy)]
pub(crate) enum Decision {
    /// The request is sent to this server.
    Send(u32),
    /// The request waits at the entry VM.
    Wait,
    /// The request is rejected.
    Reject,
}

/// A decision for a request that was waiting.
#[derive(Debug, Clone, Copy)]
pub(crate) struct DecisionUpdate {
    /// The request.
    pub(crate) request: u32,
    /// What is decided for it.
    pub(crate) decision: Decision,
}

/// The policy of one entry VM.
pub(crate) trait Policy {
    /// Decides on a request that arrives.
    fn decide(&mut self, now: Instant, request: u32) -> Decision;
    /// Handles an answer, which states the server's requests in flight when it was sent.
    fn answered(&mut self, now: Instant, request: u32, in_flight: u32) -> Vec<DecisionUpdate>;
    /// Handles a peer's heartbeat, which states its requests in flight by server.
    fn heartbeat(
        &mut self,
        now: Instant,
        peer: u32,
        in_flight: &[(VmId, u32)],
    ) -> Vec<DecisionUpdate>;
    /// Returns this entry VM's requests in flight by server, for its heartbeat.
    fn in_flight(&self) -> Vec<(VmId, u32)>;
    /// Handles the passing of time.
    fn tick(&mut self, now: Instant) -> Vec<DecisionUpdate>;
}

/// A rule that knows the requests of its own entry VM only and never rejects one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Baseline {
    Random,
    RoundRobin,
    LeastInFlight,
    TwoChoices,
}

impl Baseline {
    pub(crate) const ALL: [Baseline; 4] =
        [Baseline::Random, Baseline::RoundRobin, Baseline::LeastInFlight, Baseline::TwoChoices];

    pub(crate) fn as_str(self) -> &'static str {
        match self {
            Baseline::Random => "random",
            Baseline::RoundRobin => "round_robin",
            Baseline::LeastInFlight => "least_in_flight",
            Baseline::TwoChoices => "two_choices",
        }
    }
}

/// A baseline at one entry VM.
#[derive(Debug)]
pub(crate) struct BaselinePolicy {
    baseline: Baseline,
    /// Requests in flight from this entry VM, by server.
    own_in_flight: Vec<u32>,
    /// The server of each request in flight.
    sent_to: SortedMap<u32, u32>,
    next_server: u32,
    rng: fastrand::Rng,
}

impl BaselinePolicy {
    pub(crate) fn new(baseline: Baseline, seed: u64) -> BaselinePolicy {
        let mut rng = fastrand::Rng::with_seed(seed);
        let next_server = rng.u32(..SERVER_COUNT);
        BaselinePolicy {
            baseline,
            own_in_flight: vec![0; SERVER_COUNT as usize],
            sent_to: SortedMap::new(),
            next_server,
            rng,
        }
    }

    fn choose_server(&mut self) -> u32 {
        match self.baseline {
            Baseline::Random => self.rng.u32(..SERVER_COUNT),
            Baseline::RoundRobin => {
                self.next_server = (self.next_server + 1) % SERVER_COUNT;
                self.next_server
            }
            Baseline::LeastInFlight => {
                let rng = &mut self.rng;
                let own_in_flight = &self.own_in_flight;
                (0..SERVER_COUNT)
                    .min_by_key(|&at| (own_in_flight[at as usize], rng.u32(..)))
                    .unwrap_or(0)
            }
            Baseline::TwoChoices => {
                let (a, b) = (self.rng.u32(..SERVER_COUNT), self.rng.u32(..SERVER_COUNT));
                if self.own_in_flight[a as usize] <= self.own_in_flight[b as usize] { a } else { b }
            }
        }
    }
}

impl Policy for BaselinePolicy {
    fn decide(&mut self, _: Instant, request: u32) -> Decision {
        let server = self.choose_server();
        self.own_in_flight[server as usize] += 1;
        self.sent_to.insert(request, server);
        Decision::Send(server)
    }

    fn answered(&mut self, _: Instant, request: u32, _: u32) -> Vec<DecisionUpdate> {
        if let Some(server) = self.sent_to.remove(&request) {
            self.own_in_flight[server as usize] -= 1;
        }
        Vec::new()
    }

    fn heartbeat(&mut self, _: Instant, _: u32, _: &[(VmId, u32)]) -> Vec<DecisionUpdate> {
        Vec::new()
    }

    fn in_flight(&self) -> Vec<(VmId, u32)> {
        Vec::new()
    }

    fn tick(&mut self, _: Instant) -> Vec<DecisionUpdate> {
        Vec::new()
    }
}

/// daisyshift's router at one entry VM.
#[derive(Debug)]
pub(crate) struct RouterPolicy {
    router: Router,
    rng: fastrand::Rng,
    service: Name,
    /// Try ids of requests in flight.
    try_ids: SortedMap<u32, TryId>,
    /// Requests that wait, by the router's tickets.
    queued: SortedMap<daisy_routing::Ticket, u32>,
}

impl RouterPolicy {
    pub(crate) fn new(me: u32, routers: u32, seed: u64) -> RouterPolicy {
        let service = Name::new("quote").expect("a name");
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut router = Router::new(entry(me));
        router.set_routes(Instant::default(), &routes(routers, &service), &mut rng);
        RouterPolicy { router, rng, service, try_ids: SortedMap::new(), queued: SortedMap::new() }
    }

    fn collect_updates(&mut self, decisions: Vec<QueueDecision>) -> Vec<DecisionUpdate> {
        decisions.into_iter().filter_map(|queue_decision| self.try_update(queue_decision)).collect()
    }

    fn try_update(&mut self, queue_decision: QueueDecision) -> Option<DecisionUpdate> {
        match queue_decision {
            QueueDecision::Send(target) => {
                let request = self.queued.remove(&target.ticket)?;
                self.try_ids.insert(request, target.try_id);
                Some(DecisionUpdate { request, decision: Decision::Send(target.vm.0) })
            }
            QueueDecision::Reject(ticket, _) => {
                let request = self.queued.remove(&ticket)?;
                Some(DecisionUpdate { request, decision: Decision::Reject })
            }
        }
    }
}

impl Policy for RouterPolicy {
    fn decide(&mut self, now: Instant, request: u32) -> Decision {
        let call = Call {
            service: self.service.clone(),
            urgency: Urgency::Normal,
            caller: CallerId(u64::from(request) % CALLER_COUNT),
            deadline: now + REQUEST_TIMEOUT,
            idempotent: false,
            bytes: 200,
        };
        match self.router.admit(now, &call, &mut self.rng) {
            Admission::Send(target) => {
                self.try_ids.insert(request, target.try_id);
                Decision::Send(target.vm.0)
            }
            Admission::Wait(ticket) => {
                self.queued.insert(ticket, request);
                Decision::Wait
            }
            Admission::Reject(_) => Decision::Reject,
        }
    }

    fn answered(&mut self, now: Instant, request: u32, in_flight: u32) -> Vec<DecisionUpdate> {
        let Some(try_id) = self.try_ids.remove(&request) else { return Vec::new() };
        let report = TryReport {
            outcome: TryOutcome::Answered,
            in_flight: Some(in_flight),
            leaving: false,
            bytes: 200,
        };
        let decisions = self.router.finish(now, try_id, report, &mut self.rng);
        self.collect_updates(decisions)
    }

    fn heartbeat(
        &mut self,
        now: Instant,
        peer: u32,
        in_flight: &[(VmId, u32)],
    ) -> Vec<DecisionUpdate> {
        let decisions = self.router.peer_in_flight(now, entry(peer), in_flight, &mut self.rng);
        self.collect_updates(decisions)
    }

    fn in_flight(&self) -> Vec<(VmId, u32)> {
        self.router.in_flight()
    }

    fn tick(&mut self, now: Instant) -> Vec<DecisionUpdate> {
        let decisions = self.router.tick(now, &mut self.rng);
        self.collect_updates(decisions)
    }
}

fn entry(index: u32) -> VmId {
    VmId(10_000 + index)
}

fn routes(routers: u32, service: &Name) -> Routes {
    let entries: Vec<(DcId, VmId)> = (0..routers).map(|index| (DcId(0), entry(index))).collect();
    let backends = (0..SERVER_COUNT)
        .map(|vm| Backend {
            vm: VmId(vm),
            dc: DcId(0),
            address: ([127, 0, 0, 1], 1).into(),
            slots: SLOTS_PER_SERVER,
            connections: 64,
            leaving: false,
        })
        .collect();
    let state = Service { job: JobId(0), priority: Priority::Critical, may_reject: true, backends };
    Routes {
        version: 1,
        dc: DcId(0),
        regions: vec![0],
        live_entries: entries.clone(),
        listed_entries: entries,
        services: SortedMap::from_iter([(service.clone(), state)]),
        ..Routes::default()
    }
}

/// Interval between checks of the queue, the same as in the entry VM.
pub(crate) const TICK_INTERVAL: Duration = Duration::from_millis(5);
