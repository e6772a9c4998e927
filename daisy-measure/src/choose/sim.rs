//! Backend servers, the network and the clock of one run.

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, VecDeque},
    time::Duration,
};

use daisy_model::{Instant, VmId};
use hdrhistogram::Histogram;

use crate::choose::policy::{Baseline, Daisy, Later, Plain, Policy, Said, TICK};

pub(crate) const SERVERS: u32 = 65;
pub(crate) const SLOTS: u32 = 8;
/// How long callers wait.
pub(crate) const DEADLINE: Duration = Duration::from_millis(1_000);
/// Mean service time of an ordinary server.
const MEAN: Duration = Duration::from_millis(20);
/// Standard deviation of the service time's logarithm; its 99th percentile is 6 times the mean.
const SIGMA: f64 = 1.0;
/// Server 0 takes this many times as long as the others.
const SLOW: f64 = 4.0;
/// One way between an entry VM and a backend server of its data centre.
const ONE_WAY: Duration = Duration::from_micros(250);
/// Between heartbeats.
const HEARTBEAT: Duration = Duration::from_millis(500);
/// The longest latency that is told apart, in microseconds.
const MAX_LATENCY: u64 = 600_000_000;
/// The part of a run that is not measured.
const WARM_UP: f64 = 0.25;

/// What a run is put under.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Load {
    pub(crate) percent: u32,
    pub(crate) routers: u32,
    pub(crate) length: Duration,
    pub(crate) seed: u64,
}

/// What a run came to.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Summary {
    pub(crate) p50_ms: f64,
    pub(crate) p99_ms: f64,
    pub(crate) p999_ms: f64,
    /// Share of the requests that were refused.
    pub(crate) refused: f64,
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
    work: f64,
}

#[derive(Debug, Default)]
struct Server {
    busy: u32,
    queue: VecDeque<u32>,
}

/// One run of one policy at one load.
pub(crate) struct Run<P> {
    load: Load,
    now: Instant,
    events: BinaryHeap<Reverse<(Instant, u64, Event)>>,
    seq: u64,
    rng: fastrand::Rng,
    requests: Vec<Request>,
    servers: Vec<Server>,
    policies: Vec<P>,
    latencies: Histogram<u64>,
    measured: u64,
    refused: u64,
    in_time: u64,
}

impl Run<Plain> {
    /// Runs a baseline.
    pub(crate) fn with_baseline(load: Load, baseline: Baseline) -> Summary {
        let plain = |index: u32| Plain::new(baseline, load.seed ^ u64::from(index + 1));
        Run::new(load, (0..load.routers).map(plain).collect()).play()
    }
}

impl Run<Daisy> {
    /// Runs daisyshift's router.
    pub(crate) fn with_router(load: Load) -> Summary {
        let daisy = |index| Daisy::new(index, load.routers, load.seed ^ u64::from(index + 1));
        Run::new(load, (0..load.routers).map(daisy).collect()).play()
    }
}

impl<P: Policy> Run<P> {
    fn new(load: Load, policies: Vec<P>) -> Run<P> {
        let mut run = Run {
            load,
            now: Instant::default(),
            events: BinaryHeap::new(),
            seq: 0,
            rng: fastrand::Rng::with_seed(load.seed),
            requests: Vec::new(),
            servers: (0..SERVERS).map(|_| Server::default()).collect(),
            policies,
            latencies: Histogram::new_with_bounds(1, MAX_LATENCY, 3).expect("sound bounds"),
            measured: 0,
            refused: 0,
            in_time: 0,
        };
        run.after(Duration::ZERO, Event::Arrival);
        for router in 0..load.routers {
            run.after(
                HEARTBEAT.mul_f64(f64::from(router + 1) / f64::from(load.routers)),
                Event::Heartbeat { router },
            );
            run.after(TICK, Event::Tick { router });
        }
        run
    }

    fn play(mut self) -> Summary {
        let end = Instant::default() + self.load.length;
        while let Some(Reverse((at, _, event))) = self.events.pop() {
            if at > end {
                break;
            }
            self.now = at;
            self.step(event);
        }
        self.summary()
    }

    fn step(&mut self, event: Event) {
        match event {
            Event::Arrival => self.arrive(),
            Event::AtServer { request, server } => self.at_server(request, server),
            Event::Served { request, server } => self.served(request, server),
            Event::Answered { request, in_flight } => self.answered(request, in_flight),
            Event::Heartbeat { router } => self.heartbeat(router),
            Event::Tick { router } => {
                let later = self.policies[router as usize].tick(self.now);
                self.apply_all(later);
                self.after(TICK, Event::Tick { router });
            }
        }
    }

    fn arrive(&mut self) {
        let gap = -(1.0 - self.rng.f64()).ln() / self.offered_per_second();
        self.after(Duration::from_secs_f64(gap), Event::Arrival);
        let request = self.requests.len() as u32;
        let router = self.rng.u32(..self.load.routers);
        let work = self.draw_work();
        self.requests.push(Request { router, arrived: self.now, work });
        if self.is_measured(request) {
            self.measured += 1;
        }
        let said = self.policies[router as usize].offer(self.now, request);
        self.apply(Later { request, said });
    }

    fn at_server(&mut self, request: u32, server: u32) {
        let state = &mut self.servers[server as usize];
        if state.busy < SLOTS {
            state.busy += 1;
            self.serve(request, server);
        } else {
            state.queue.push_back(request);
        }
    }

    fn serve(&mut self, request: u32, server: u32) {
        let slow = if server == 0 { SLOW } else { 1.0 };
        let time = Duration::from_secs_f64(self.requests[request as usize].work * slow);
        self.after(time, Event::Served { request, server });
    }

    fn served(&mut self, request: u32, server: u32) {
        let state = &mut self.servers[server as usize];
        match state.queue.pop_front() {
            Some(next) => self.serve(next, server),
            None => state.busy -= 1,
        }
        let state = &self.servers[server as usize];
        let in_flight = state.busy + state.queue.len() as u32;
        self.after(ONE_WAY, Event::Answered { request, in_flight });
    }

    fn answered(&mut self, request: u32, in_flight: u32) {
        let Request { router, arrived, .. } = self.requests[request as usize];
        let latency = self.now.since(arrived);
        if self.is_measured(request) {
            self.latencies.saturating_record(latency.as_micros() as u64);
        }
        if self.in_window(self.now) && latency <= DEADLINE {
            self.in_time += 1;
        }
        let later = self.policies[router as usize].answered(self.now, request, in_flight);
        self.apply_all(later);
    }

    /// A heartbeat reaches all others; its delay is small against its age at the next one.
    fn heartbeat(&mut self, router: u32) {
        let in_flight: Vec<(VmId, u32)> = self.policies[router as usize].in_flight();
        for other in (0..self.load.routers).filter(|other| *other != router) {
            let policy = &mut self.policies[other as usize];
            let later = policy.heartbeat(self.now, router, &in_flight);
            self.apply_all(later);
        }
        self.after(HEARTBEAT, Event::Heartbeat { router });
    }

    fn apply_all(&mut self, later: Vec<Later>) {
        later.into_iter().for_each(|later| self.apply(later));
    }

    fn apply(&mut self, Later { request, said }: Later) {
        match said {
            Said::Send(server) => self.after(ONE_WAY, Event::AtServer { request, server }),
            Said::Wait => {}
            Said::Reject => self.refused += u64::from(self.is_measured(request)),
        }
    }

    fn after(&mut self, wait: Duration, event: Event) {
        self.seq += 1;
        self.events.push(Reverse((self.now + wait, self.seq, event)));
    }

    /// Lognormal, by Box and Muller.
    fn draw_work(&mut self) -> f64 {
        let (u, v) = (1.0 - self.rng.f64(), self.rng.f64());
        let normal = (-2.0 * u.ln()).sqrt() * (std::f64::consts::TAU * v).cos();
        MEAN.as_secs_f64() * (SIGMA * normal - SIGMA * SIGMA / 2.0).exp()
    }

    fn capacity_per_second(&self) -> f64 {
        let servers = f64::from(SERVERS - 1) + 1.0 / SLOW;
        servers * f64::from(SLOTS) / MEAN.as_secs_f64()
    }

    fn offered_per_second(&self) -> f64 {
        self.capacity_per_second() * f64::from(self.load.percent) / 100.0
    }

    fn in_window(&self, at: Instant) -> bool {
        at.since(Instant::default()) >= self.load.length.mul_f64(WARM_UP)
    }

    fn is_measured(&self, request: u32) -> bool {
        self.in_window(self.requests[request as usize].arrived)
    }

    fn summary(&self) -> Summary {
        let quantile = |q| self.latencies.value_at_quantile(q) as f64 / 1_000.0;
        let seconds = self.load.length.as_secs_f64() * (1.0 - WARM_UP);
        Summary {
            p50_ms: quantile(0.5),
            p99_ms: quantile(0.99),
            p999_ms: quantile(0.999),
            refused: self.refused as f64 / self.measured.max(1) as f64,
            goodput: self.in_time as f64 / seconds / self.capacity_per_second(),
        }
    }
}
