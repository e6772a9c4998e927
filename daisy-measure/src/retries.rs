//! `retries`: extra load and time to recover of a burst of failures, with and without a retry budget.
//!
//! The run uses simulated time. One router stands before 20 backend servers at 80 % of capacity. For
//! five seconds half of all tries fail after taking twice their normal time. Callers wait for one
//! second.

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, VecDeque},
    time::Duration,
};

use daisy_model::{DcId, Instant, JobId, Name, Priority, SortedMap, VmId};
use daisy_routing::{
    Admission, Backend, Call, CallerId, QueueDecision, Router, Routes, Service, Target, TryId,
    TryOutcome, TryReport, Urgency,
};

const SERVER_COUNT: u32 = 20;
const SLOTS_PER_SERVER: u32 = 8;
const MEAN_SERVICE_TIME_S: f64 = 0.020;
const LOAD_SHARE: f64 = 0.8;
const REQUEST_TIMEOUT: Duration = Duration::from_secs(1);
/// Start and end of the burst of failures, from the start of the run.
const BURST_WINDOW: (Duration, Duration) = (Duration::from_secs(5), Duration::from_secs(10));
const RUN_LENGTH: Duration = Duration::from_secs(40);
/// Share of the tries that fail during the burst.
const BURST_FAILURE_SHARE: f64 = 0.5;
/// How much longer a failed try takes than a successful one.
const FAILED_TIME_FACTOR: f64 = 2.0;
const MAX_TRIES: u32 = 4;
const TICK_INTERVAL: Duration = Duration::from_millis(5);
/// Length of the windows by which recovery is judged.
const RECOVERY_WINDOW: Duration = Duration::from_millis(250);
/// Share of answers in time from which a window is treated as recovered.
const RECOVERED_SHARE: f64 = 0.99;

/// Measures a burst of failures without a retry budget and with the router's.
#[derive(Debug, argh::FromArgs)]
#[argh(subcommand, name = "retries")]
pub(crate) struct Args {
    /// seed of arrivals, service times and failures (default 1)
    #[argh(option, default = "1")]
    seed: u64,
}

/// How failed tries are repeated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Variant {
    /// Chooses the server with the fewest tries in flight and never rejects; failed and timed-out
    /// tries are repeated at once.
    Plain,
    /// Uses the router's choice and admission; failed tries are offered again as new requests.
    NoBudget,
    /// Uses the router's retries with their budget.
    Budget,
}

/// Runs all variants and prints one line for all.
pub(crate) fn run(args: &Args) {
    let mut line = format!("measure=retries seed={}", args.seed);
    let variants =
        [(Variant::Plain, "plain"), (Variant::NoBudget, "no_budget"), (Variant::Budget, "budget")];
    for (variant, name) in variants {
        let Summary { extra_load, good_in_burst, recovery_s } =
            Run::new(variant, args.seed).simulate();
        line.push_str(&format!(
            " {name}_extra_load={extra_load:.3} {name}_good_in_burst={good_in_burst:.3} \
             {name}_recover_s={recovery_s:.2}"
        ));
    }
    println!("{line}");
}

#[derive(Debug, Clone, Copy)]
struct Summary {
    /// Tries for each request offered during the burst, minus one.
    extra_load: f64,
    /// Share of the requests offered during the burst that were answered in time.
    good_in_burst: f64,
    /// Seconds from the end of the burst until all later windows are recovered.
    recovery_s: f64,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival,
    Done { request: u32, server: u32, try_index: u32, failed: bool },
    TimedOut { request: u32 },
    Tick,
}

#[derive(Debug, Clone, Copy)]
struct Request {
    arrived: Instant,
    tries: u32,
    ended: bool,
    answered_in_time: bool,
}

#[derive(Debug, Default)]
struct Server {
    busy: u32,
    /// Waiting tries: the request and the index in `Run::try_ids`.
    queue: VecDeque<(u32, u32)>,
    in_flight_tries: u32,
}

struct Run {
    variant: Variant,
    now: Instant,
    events: BinaryHeap<Reverse<(Instant, u64, Event)>>,
    seq: u64,
    rng: fastrand::Rng,
    requests: Vec<Request>,
    servers: Vec<Server>,
    router: Router,
    /// The router's id of each try that is in flight, by the try's index; none for plain tries.
    try_ids: Vec<Option<TryId>>,
    /// Requests that wait, by the router's tickets.
    queued: SortedMap<daisy_routing::Ticket, u32>,
}

impl Run {
    fn new(variant: Variant, seed: u64) -> Run {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut router = Router::new(VmId(10_000));
        router.set_routes(Instant::default(), &routes(), &mut rng);
        Run {
            variant,
            now: Instant::default(),
            events: BinaryHeap::new(),
            seq: 0,
            rng,
            requests: Vec::new(),
            servers: (0..SERVER_COUNT).map(|_| Server::default()).collect(),
            router,
            try_ids: Vec::new(),
            queued: SortedMap::new(),
        }
    }

    fn simulate(mut self) -> Summary {
        self.schedule_after(Duration::ZERO, Event::Arrival);
        self.schedule_after(TICK_INTERVAL, Event::Tick);
        while let Some(Reverse((at, _, event))) = self.events.pop() {
            if at > Instant::default() + RUN_LENGTH {
                break;
            }
            self.now = at;
            self.step(event);
        }
        self.summary()
    }

    fn step(&mut self, event: Event) {
        match event {
            Event::Arrival => self.handle_arrival(),
            Event::Done { request, server, try_index, failed } => {
                self.handle_completion(request, server, try_index, failed);
            }
            Event::TimedOut { request } => self.handle_timeout(request),
            Event::Tick => {
                let decisions = self.router.tick(self.now, &mut self.rng);
                self.apply(decisions);
                self.schedule_after(TICK_INTERVAL, Event::Tick);
            }
        }
    }

    fn handle_arrival(&mut self) {
        let rate = LOAD_SHARE * f64::from(SERVER_COUNT * SLOTS_PER_SERVER) / MEAN_SERVICE_TIME_S;
        let gap = -(1.0 - self.rng.f64()).ln() / rate;
        self.schedule_after(Duration::from_secs_f64(gap), Event::Arrival);
        let request = self.requests.len() as u32;
        self.requests.push(Request {
            arrived: self.now,
            tries: 0,
            ended: false,
            answered_in_time: false,
        });
        self.schedule_after(REQUEST_TIMEOUT, Event::TimedOut { request });
        self.offer(request);
    }

    fn offer(&mut self, request: u32) {
        if self.variant == Variant::Plain {
            let rng = &mut self.rng;
            let servers = &self.servers;
            let least_loaded = (0..SERVER_COUNT)
                .min_by_key(|&at| (servers[at as usize].in_flight_tries, rng.u32(..)))
                .unwrap_or(0);
            return self.send(request, least_loaded, None);
        }
        let call = self.call(request);
        match self.router.admit(self.now, &call, &mut self.rng) {
            Admission::Send(target) => self.send_to(request, target),
            Admission::Wait(ticket) => {
                self.queued.insert(ticket, request);
            }
            Admission::Reject(_) => self.requests[request as usize].ended = true,
        }
    }

    fn send_to(&mut self, request: u32, target: Target) {
        self.send(request, target.vm.0, Some(target.try_id));
    }

    fn send(&mut self, request: u32, server: u32, try_id: Option<TryId>) {
        self.requests[request as usize].tries += 1;
        let try_index = self.try_ids.len() as u32;
        self.try_ids.push(try_id);
        let state = &mut self.servers[server as usize];
        state.in_flight_tries += 1;
        if state.busy < SLOTS_PER_SERVER {
            state.busy += 1;
            self.serve(request, server, try_index);
        } else {
            state.queue.push_back((request, try_index));
        }
    }

    fn serve(&mut self, request: u32, server: u32, try_index: u32) {
        let since = self.now.since(Instant::default());
        let burst = since >= BURST_WINDOW.0 && since < BURST_WINDOW.1;
        let failed = burst && self.rng.f64() < BURST_FAILURE_SHARE;
        let time = -(1.0 - self.rng.f64()).ln()
            * MEAN_SERVICE_TIME_S
            * if failed { FAILED_TIME_FACTOR } else { 1.0 };
        let completion = Event::Done { request, server, try_index, failed };
        self.schedule_after(Duration::from_secs_f64(time), completion);
    }

    fn handle_completion(&mut self, request: u32, server: u32, try_index: u32, failed: bool) {
        let state = &mut self.servers[server as usize];
        state.in_flight_tries -= 1;
        match state.queue.pop_front() {
            Some((next, try_index)) => self.serve(next, server, try_index),
            None => state.busy -= 1,
        }
        let end = if failed { TryOutcome::Broken } else { TryOutcome::Answered };
        if let Some(try_id) = self.try_ids[try_index as usize].take() {
            let report = TryReport {
                in_flight: Some(self.servers[server as usize].in_flight_tries),
                ..TryReport::without_answer(end)
            };
            let decisions = self.router.finish(self.now, try_id, report, &mut self.rng);
            self.apply(decisions);
        }
        let state = &mut self.requests[request as usize];
        if state.ended {
            return;
        }
        if failed {
            self.retry(request, server);
        } else {
            state.ended = true;
            state.answered_in_time = true;
        }
    }

    fn retry(&mut self, request: u32, server: u32) {
        if self.requests[request as usize].tries >= MAX_TRIES {
            self.requests[request as usize].ended = true;
            return;
        }
        if self.variant != Variant::Budget {
            return self.offer(request);
        }
        let call = self.call(request);
        match self.router.retry(self.now, &call, &[VmId(server)], &mut self.rng) {
            Some(target) => self.send_to(request, target),
            None => self.requests[request as usize].ended = true,
        }
    }

    /// Ends a request whose caller has stopped waiting. A plain caller repeats it, while the first
    /// try goes on at its server.
    fn handle_timeout(&mut self, request: u32) {
        let state = &mut self.requests[request as usize];
        if state.ended {
            return;
        }
        state.ended = true;
        if self.variant == Variant::Plain && state.tries < MAX_TRIES {
            let arrived = self.now;
            let repeated = self.requests.len() as u32;
            let tries = self.requests[request as usize].tries;
            self.requests.push(Request { arrived, tries, ended: false, answered_in_time: false });
            self.schedule_after(REQUEST_TIMEOUT, Event::TimedOut { request: repeated });
            self.offer(repeated);
        }
    }

    fn apply(&mut self, decisions: Vec<QueueDecision>) {
        for decision in decisions {
            match decision {
                QueueDecision::Send(target) => {
                    if let Some(request) = self.queued.remove(&target.ticket) {
                        self.send_to(request, target);
                    }
                }
                QueueDecision::Reject(ticket, _) => {
                    if let Some(request) = self.queued.remove(&ticket) {
                        self.requests[request as usize].ended = true;
                    }
                }
            }
        }
    }

    fn call(&self, request: u32) -> Call {
        Call {
            service: service(),
            urgency: Urgency::Normal,
            caller: CallerId(u64::from(request) % 100),
            deadline: self.requests[request as usize].arrived + REQUEST_TIMEOUT,
            idempotent: true,
            bytes: 200,
        }
    }

    fn schedule_after(&mut self, wait: Duration, event: Event) {
        self.seq += 1;
        self.events.push(Reverse((self.now + wait, self.seq, event)));
    }

    fn summary(&self) -> Summary {
        let since = |request: &Request| request.arrived.since(Instant::default());
        let in_burst = |request: &&Request| {
            since(request) >= BURST_WINDOW.0 && since(request) < BURST_WINDOW.1
        };
        let burst: Vec<&Request> = self.requests.iter().filter(in_burst).collect();
        let tries: u32 = burst.iter().map(|request| request.tries).sum();
        let answered_in_time = burst.iter().filter(|request| request.answered_in_time).count();
        let windows = ((RUN_LENGTH - REQUEST_TIMEOUT - BURST_WINDOW.1).as_secs_f64()
            / RECOVERY_WINDOW.as_secs_f64()) as usize;
        let mut counts = vec![(0_u32, 0_u32); windows];
        for request in self.requests.iter().filter(|request| since(request) >= BURST_WINDOW.1) {
            let at = ((since(request) - BURST_WINDOW.1).as_secs_f64()
                / RECOVERY_WINDOW.as_secs_f64()) as usize;
            if let Some((all, answered_in_time)) = counts.get_mut(at) {
                *all += 1;
                *answered_in_time += u32::from(request.answered_in_time);
            }
        }
        let bad = |(all, answered_in_time): &(u32, u32)| {
            f64::from(*answered_in_time) < f64::from(*all) * RECOVERED_SHARE
        };
        let last_bad = counts.iter().rposition(bad).map_or(0, |at| at + 1);
        Summary {
            extra_load: f64::from(tries) / burst.len().max(1) as f64 - 1.0,
            good_in_burst: answered_in_time as f64 / burst.len().max(1) as f64,
            recovery_s: last_bad as f64 * RECOVERY_WINDOW.as_secs_f64(),
        }
    }
}

fn service() -> Name {
    Name::new("quote").expect("a name")
}

fn routes() -> Routes {
    let entries = vec![(DcId(0), VmId(10_000))];
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
        services: SortedMap::from_iter([(service(), state)]),
        ..Routes::default()
    }
}
