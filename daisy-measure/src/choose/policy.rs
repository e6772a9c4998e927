//! The baselines, and what a run asks of any policy.

use std::time::Duration;

use daisy_model::{DcId, Instant, JobId, Name, Priority, SortedMap, VmId};
use daisy_routing::{
    Admission, Backend, Call, CallerId, QueueDecision, Router, Routes, Service, TryId, TryOutcome,
    TryReport, Urgency,
};

use crate::choose::sim::{DEADLINE, SERVERS, SLOTS};

/// Callers that share the load, for the router's fairness.
const CALLERS: u64 = 100;

/// What a policy says of a request.
#[derive(Debug, Clone, Copy)]
pub(crate) enum Said {
    /// It goes to this server.
    Send(u32),
    /// It waits at the entry VM.
    Wait,
    /// It is refused.
    Reject,
}

/// A change for a request that waited.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Later {
    /// The request.
    pub(crate) request: u32,
    /// What becomes of it.
    pub(crate) said: Said,
}

/// One entry VM's policy.
pub(crate) trait Policy {
    /// A request arrives.
    fn offer(&mut self, now: Instant, request: u32) -> Said;
    /// An answer arrives, with the server's requests in progress at that time.
    fn answered(&mut self, now: Instant, request: u32, in_flight: u32) -> Vec<Later>;
    /// A peer's heartbeat arrives.
    fn heartbeat(&mut self, now: Instant, peer: u32, in_flight: &[(VmId, u32)]) -> Vec<Later>;
    /// What the own heartbeat says.
    fn in_flight(&self) -> Vec<(VmId, u32)>;
    /// Time passes.
    fn tick(&mut self, now: Instant) -> Vec<Later>;
}

/// A way to choose that knows the own requests only and never refuses.
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
pub(crate) struct Plain {
    baseline: Baseline,
    own: Vec<u32>,
    sent: SortedMap<u32, u32>,
    next: u32,
    rng: fastrand::Rng,
}

impl Plain {
    pub(crate) fn new(baseline: Baseline, seed: u64) -> Plain {
        let mut rng = fastrand::Rng::with_seed(seed);
        let next = rng.u32(..SERVERS);
        Plain { baseline, own: vec![0; SERVERS as usize], sent: SortedMap::new(), next, rng }
    }

    fn pick(&mut self) -> u32 {
        match self.baseline {
            Baseline::Random => self.rng.u32(..SERVERS),
            Baseline::RoundRobin => {
                self.next = (self.next + 1) % SERVERS;
                self.next
            }
            Baseline::LeastInFlight => {
                let rng = &mut self.rng;
                let own = &self.own;
                (0..SERVERS).min_by_key(|&at| (own[at as usize], rng.u32(..))).unwrap_or(0)
            }
            Baseline::TwoChoices => {
                let (a, b) = (self.rng.u32(..SERVERS), self.rng.u32(..SERVERS));
                if self.own[a as usize] <= self.own[b as usize] { a } else { b }
            }
        }
    }
}

impl Policy for Plain {
    fn offer(&mut self, _: Instant, request: u32) -> Said {
        let server = self.pick();
        self.own[server as usize] += 1;
        self.sent.insert(request, server);
        Said::Send(server)
    }

    fn answered(&mut self, _: Instant, request: u32, _: u32) -> Vec<Later> {
        if let Some(server) = self.sent.remove(&request) {
            self.own[server as usize] -= 1;
        }
        Vec::new()
    }

    fn heartbeat(&mut self, _: Instant, _: u32, _: &[(VmId, u32)]) -> Vec<Later> {
        Vec::new()
    }

    fn in_flight(&self) -> Vec<(VmId, u32)> {
        Vec::new()
    }

    fn tick(&mut self, _: Instant) -> Vec<Later> {
        Vec::new()
    }
}

/// daisyshift's router at one entry VM.
#[derive(Debug)]
pub(crate) struct Daisy {
    router: Router,
    rng: fastrand::Rng,
    service: Name,
    tries: SortedMap<u32, TryId>,
    waiting: SortedMap<daisy_routing::Ticket, u32>,
}

impl Daisy {
    pub(crate) fn new(me: u32, routers: u32, seed: u64) -> Daisy {
        let service = Name::new("quote").expect("a name");
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut router = Router::new(entry(me));
        router.set_routes(Instant::default(), &routes(routers, &service), &mut rng);
        Daisy { router, rng, service, tries: SortedMap::new(), waiting: SortedMap::new() }
    }

    fn later(&mut self, grants: Vec<QueueDecision>) -> Vec<Later> {
        grants.into_iter().filter_map(|grant| self.try_later(grant)).collect()
    }

    fn try_later(&mut self, grant: QueueDecision) -> Option<Later> {
        match grant {
            QueueDecision::Send(target) => {
                let request = self.waiting.remove(&target.ticket)?;
                self.tries.insert(request, target.try_id);
                Some(Later { request, said: Said::Send(target.vm.0) })
            }
            QueueDecision::Reject(ticket, _) => {
                let request = self.waiting.remove(&ticket)?;
                Some(Later { request, said: Said::Reject })
            }
        }
    }
}

impl Policy for Daisy {
    fn offer(&mut self, now: Instant, request: u32) -> Said {
        let call = Call {
            service: self.service.clone(),
            urgency: Urgency::Normal,
            caller: CallerId(u64::from(request) % CALLERS),
            deadline: now + DEADLINE,
            idempotent: false,
            bytes: 200,
        };
        match self.router.admit(now, &call, &mut self.rng) {
            Admission::Send(target) => {
                self.tries.insert(request, target.try_id);
                Said::Send(target.vm.0)
            }
            Admission::Wait(ticket) => {
                self.waiting.insert(ticket, request);
                Said::Wait
            }
            Admission::Reject(_) => Said::Reject,
        }
    }

    fn answered(&mut self, now: Instant, request: u32, in_flight: u32) -> Vec<Later> {
        let Some(try_id) = self.tries.remove(&request) else { return Vec::new() };
        let report = TryReport {
            outcome: TryOutcome::Answered,
            in_flight: Some(in_flight),
            leaving: false,
            bytes: 200,
        };
        let grants = self.router.finish(now, try_id, report, &mut self.rng);
        self.later(grants)
    }

    fn heartbeat(&mut self, now: Instant, peer: u32, in_flight: &[(VmId, u32)]) -> Vec<Later> {
        let grants = self.router.peer_in_flight(now, entry(peer), in_flight, &mut self.rng);
        self.later(grants)
    }

    fn in_flight(&self) -> Vec<(VmId, u32)> {
        self.router.in_flight()
    }

    fn tick(&mut self, now: Instant) -> Vec<Later> {
        let grants = self.router.tick(now, &mut self.rng);
        self.later(grants)
    }
}

fn entry(index: u32) -> VmId {
    VmId(10_000 + index)
}

fn routes(routers: u32, service: &Name) -> Routes {
    let entries: Vec<(DcId, VmId)> = (0..routers).map(|index| (DcId(0), entry(index))).collect();
    let backends = (0..SERVERS)
        .map(|vm| Backend {
            vm: VmId(vm),
            dc: DcId(0),
            address: ([127, 0, 0, 1], 1).into(),
            slots: SLOTS,
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

/// Between looks at the queue, as the entry VM does.
pub(crate) const TICK: Duration = Duration::from_millis(5);
