//! Simulates the backend servers, the network and the clock of one run.

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, VecDeque},
    time::Duration,
};

use daisy_model::{Instant, VmId};
use hdrhistogram::Histogram;

use crate::choose::policy::{
    Baseline, BaselinePolicy, Decision, DecisionUpdate, Policy, RouterPolicy, TICK_INTERVAL,
};

pub(crate) const SERVER_COUNT: u32 = 65;
pub(crate) const SLOTS_PER_SERVER: u32 = 8;
/// How long callers wait for an answer.
pub(crate) const REQUEST_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Mean service time of an ordinary server.
const MEAN_SERVICE_TIME: Duration = Duration::from_millis(20);
/// Standard deviation of the service time's logarithm; its 99th percentile is 6 times the mean.
const SERVICE_TIME_SIGMA: f64 = 1.0;
/// Factor by which server 0 is slower than the others.
const SLOW_SERVER_FACTOR: f64 = 4.0;
/// One-way delay between an entry VM and a backend server of its data centre.
const ONE_WAY_DELAY: Duration = Duration::from_micros(250);
/// Interval between heartbeats.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
/// Upper bound of the latency histogram, in microseconds.
const MAX_LATENCY_MICROS: u64 = 600_000_000;
/// Share of a run, at its start, that is not measured.
const WARM_UP_SHARE: f64 = 0.25;

/// Load, size, length and seed of a run.
#[derive(Debug, Clone, Copy)]
pub(crate) struct RunOptions {
    pub(crate) load_percent: u32,
    pub(crate) routers: u32,
    pub(crate) length: Duration,
    pub(crate) seed: u64,
}

/// Results of a run.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Summary {
    pub(crate) p50_ms: f64,
    pub(crate) p99_ms: f64,
    pub(crate) p999_ms: f64,
    /// Share of the requests that were rejected.
    pub(crate) rejected: f64,
    /// Answers in time, as a share of capacity.
    pub(crate) goodput: f64,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival,
    AtServer { request: u32, server: u32 },
    Served { request: u32, server: u32 },
    Answered { request: u32, in_flight: u32 },
    Heartbeat { router: u32 },
    Tick { router: u32 },
}

#[derive(Debug, Clone, Copy)]
struct Request {
    router: u32,
    arrived: Instant,
    service_time_s: f64,
}

#[derive(Debug, Default)]
struct Server {
    busy: u32,
    queue: VecDeque<u32>,
}

/// One run of one policy at one load.
pub(crate) struct Run<P> {
    options: RunOptions,
    now: Instant,
    events: BinaryHeap<Reverse<(Instant, u64, Event)>>,
    last_event_number: u64,
    rng: fastrand::Rng,
    requests: Vec<Request>,
    servers: Vec<Server>,
    policies: Vec<P>,
    latencies: Histogram<u64>,
    measured: u64,
    rejected: u64,
    answered_in_time: u64,
}

impl Run<BaselinePolicy> {
    /// Runs a baseline.
    pub(crate) fn with_baseline(options: RunOptions, baseline: Baseline) -> Summary {
        let new_policy =
            |index: u32| BaselinePolicy::new(baseline, options.seed ^ u64::from(index + 1));
        Run::new(options, (0..options.routers).map(new_policy).collect()).simulate()
    }
}

impl Run<RouterPolicy> {
    /// Runs daisyshift's router.
    pub(crate) fn with_router(options: RunOptions) -> Summary {
        let new_router_policy =
            |index| RouterPolicy::new(index, options.routers, options.seed ^ u64::from(index + 1));
        Run::new(options, (0..options.routers).map(new_router_policy).collect()).simulate()
    }
}

impl<P: Policy> Run<P> {
    fn new(options: RunOptions, policies: Vec<P>) -> Run<P> {
        let mut run = Run {
            options,
            now: Instant::default(),
            events: BinaryHeap::new(),
            last_event_number: 0,
            rng: fastrand::Rng::with_seed(options.seed),
            requests: Vec::new(),
            servers: (0..SERVER_COUNT).map(|_| Server::default()).collect(),
            policies,
            latencies: Histogram::new_with_bounds(1, MAX_LATENCY_MICROS, 3).expect("sound bounds"),
            measured: 0,
            rejected: 0,
            answered_in_time: 0,
        };
        run.schedule_after(Duration::ZERO, Event::Arrival);
        for router in 0..options.routers {
            run.schedule_after(
                HEARTBEAT_INTERVAL.mul_f64(f64::from(router + 1) / f64::from(options.routers)),
                Event::Heartbeat { router },
            );
            run.schedule_after(TICK_INTERVAL, Event::Tick { router });
        }
        run
    }

    fn simulate(mut self) -> Summary {
        let end = Instant::default() + self.options.length;
        while let Some(Reverse((at, _, event))) = self.events.pop() {
            if at > end {
                break;
            }
            self.now = at;
            self.handle_event(event);
        }
        self.summary()
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::Arrival => self.handle_arrival(),
            Event::AtServer { request, server } => self.handle_request_at_server(request, server),
            Event::Served { request, server } => self.handle_served(request, server),
            Event::Answered { request, in_flight } => self.handle_answer(request, in_flight),
            Event::Heartbeat { router } => self.send_heartbeat(router),
            Event::Tick { router } => {
                let updates = self.policies[router as usize].tick(self.now);
                self.apply_all(updates);
                self.schedule_after(TICK_INTERVAL, Event::Tick { router });
            }
        }
    }

    fn handle_arrival(&mut self) {
        let gap = -(1.0 - self.rng.f64()).ln() / self.offered_per_second();
        self.schedule_after(Duration::from_secs_f64(gap), Event::Arrival);
        let request = self.requests.len() as u32;
        let router = self.rng.u32(..self.options.routers);
        let service_time_s = self.draw_service_time_s();
        self.requests.push(Request { router, arrived: self.now, service_time_s });
        if self.is_measured(request) {
            self.measured += 1;
        }
        let decision = self.policies[router as usize].decide(self.now, request);
        self.apply(DecisionUpdate { request, decision });
    }

    fn handle_request_at_server(&mut self, request: u32, server: u32) {
        let state = &mut self.servers[server as usize];
        if state.busy < SLOTS_PER_SERVER {
            state.busy += 1;
            self.start_serving(request, server);
        } else {
            state.queue.push_back(request);
        }
    }

    fn start_serving(&mut self, request: u32, server: u32) {
        let factor = if server == 0 { SLOW_SERVER_FACTOR } else { 1.0 };
        let time = Duration::from_secs_f64(self.requests[request as usize].service_time_s * factor);
        self.schedule_after(time, Event::Served { request, server });
    }

    fn handle_served(&mut self, request: u32, server: u32) {
        let state = &mut self.servers[server as usize];
        match state.queue.pop_front() {
            Some(next) => self.start_serving(next, server),
            None => state.busy -= 1,
        }
        let state = &self.servers[server as usize];
        let in_flight = state.busy + state.queue.len() as u32;
        self.schedule_after(ONE_WAY_DELAY, Event::Answered { request, in_flight });
    }

    fn handle_answer(&mut self, request: u32, in_flight: u32) {
        let Request { router, arrived, .. } = self.requests[request as usize];
        let latency = self.now.since(arrived);
        if self.is_measured(request) {
            self.latencies.saturating_record(latency.as_micros() as u64);
        }
        if self.is_in_measured_window(self.now) && latency <= REQUEST_TIMEOUT {
            self.answered_in_time += 1;
        }
        let updates = self.policies[router as usize].answered(self.now, request, in_flight);
        self.apply_all(updates);
    }

    /// Passes a heartbeat to all other routers at once: its network delay is small against the age
    /// that its figures reach until the next heartbeat.
    fn send_heartbeat(&mut self, router: u32) {
        let in_flight: Vec<(VmId, u32)> = self.policies[router as usize].in_flight();
        for other in (0..self.options.routers).filter(|other| *other != router) {
            let policy = &mut self.policies[other as usize];
            let updates = policy.heartbeat(self.now, router, &in_flight);
            self.apply_all(updates);
        }
        self.schedule_after(HEARTBEAT_INTERVAL, Event::Heartbeat { router });
    }

    fn apply_all(&mut self, updates: Vec<DecisionUpdate>) {
        updates.into_iter().for_each(|update| self.apply(update));
    }

    fn apply(&mut self, DecisionUpdate { request, decision }: DecisionUpdate) {
        match decision {
            Decision::Send(server) => {
                self.schedule_after(ONE_WAY_DELAY, Event::AtServer { request, server })
            }
            Decision::Wait => {}
            Decision::Reject => self.rejected += u64::from(self.is_measured(request)),
        }
    }

    fn schedule_after(&mut self, wait: Duration, event: Event) {
        self.last_event_number += 1;
        self.events.push(Reverse((self.now + wait, self.last_event_number, event)));
    }

    /// Draws a service time from a lognormal distribution, by the Box–Muller transform.
    fn draw_service_time_s(&mut self) -> f64 {
        let (u, v) = (1.0 - self.rng.f64(), self.rng.f64());
        let normal = (-2.0 * u.ln()).sqrt() * (std::f64::consts::TAU * v).cos();
        MEAN_SERVICE_TIME.as_secs_f64()
            * (SERVICE_TIME_SIGMA * normal - SERVICE_TIME_SIGMA * SERVICE_TIME_SIGMA / 2.0).exp()
    }

    fn capacity_per_second(&self) -> f64 {
        let servers = f64::from(SERVER_COUNT - 1) + 1.0 / SLOW_SERVER_FACTOR;
        servers * f64::from(SLOTS_PER_SERVER) / MEAN_SERVICE_TIME.as_secs_f64()
    }

    fn offered_per_second(&self) -> f64 {
        self.capacity_per_second() * f64::from(self.options.load_percent) / 100.0
    }

    fn is_in_measured_window(&self, at: Instant) -> bool {
        at.since(Instant::default()) >= self.options.length.mul_f64(WARM_UP_SHARE)
    }

    fn is_measured(&self, request: u32) -> bool {
        self.is_in_measured_window(self.requests[request as usize].arrived)
    }

    fn summary(&self) -> Summary {
        let quantile = |q| self.latencies.value_at_quantile(q) as f64 / 1_000.0;
        let seconds = self.options.length.as_secs_f64() * (1.0 - WARM_UP_SHARE);
        Summary {
            p50_ms: quantile(0.5),
            p99_ms: quantile(0.99),
            p999_ms: quantile(0.999),
            rejected: self.rejected as f64 / self.measured.max(1) as f64,
            goodput: self.answered_in_time as f64 / seconds / self.capacity_per_second(),
        }
    }
}
