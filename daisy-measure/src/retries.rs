//! A burst of failures with and without a budget for retries: extra load, and time to recover.
//!
//! Explicit time: one router before 20 backend servers at 80 % of capacity. For five seconds half
//! of all tries fail after having taken twice their time. Callers wait for one second.

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

const SERVERS: u32 = 20;
const SLOTS: u32 = 8;
const MEAN: f64 = 0.020;
const LOAD: f64 = 0.8;
const DEADLINE: Duration = Duration::from_secs(1);
const BURST: (Duration, Duration) = (Duration::from_secs(5), Duration::from_secs(10));
const END: Duration = Duration::from_secs(40);
const FAIL_SHARE: f64 = 0.5;
const FAIL_TIME: f64 = 2.0;
const MAX_TRIES: u32 = 4;
const TICK: Duration = Duration::from_millis(5);
/// Windows in which recovery is judged, and the share of good answers that counts as recovered.
const WINDOW: Duration = Duration::from_millis(250);
const RECOVERED: f64 = 0.99;

/// Measures a burst of failures with no budget for retries and with ours.
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
    /// Least in flight, no refusals; failed and late tries are repeated at once.
    Plain,
    /// The router's choice and admission; failed tries are offered again.
    NoBudget,
    /// The router's retries.
    Budget,
}

/// Runs all variants and prints one line for all.
pub(crate) fn run(args: &Args) {
    let mut line = format!("measure=retries seed={}", args.seed);
    let variants =
        [(Variant::Plain, "plain"), (Variant::NoBudget, "no_budget"), (Variant::Budget, "budget")];
    for (variant, name) in variants {
        let Summary { extra, good_in_burst, recover } = Run::new(variant, args.seed).play();
        line.push_str(&format!(
            " {name}_extra_load={extra:.3} {name}_good_in_burst={good_in_burst:.3} \
             {name}_recover_s={recover:.2}"
        ));
    }
    println!("{line}");
}

#[derive(Debug, Clone, Copy)]
struct Summary {
    /// Tries for each request offered during the burst, less one.
    extra: f64,
    /// Share of the requests offered during the burst that were answered in time.
    good_in_burst: f64,
    /// Seconds from the burst's end until all windows are good.
    recover: f64,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival,
    Done { request: u32, server: u32, try_id: u32, failed: bool },
    Late { request: u32 },
    Tick,
}

#[derive(Debug, Clone, Copy)]
struct Request {
    arrived: Instant,
    tries: u32,
    ended: bool,
    good: bool,
}

#[derive(Debug, Default)]
struct Server {
    busy: u32,
    queue: VecDeque<(u32, u32)>,
    sent: u32,
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
    attempts: Vec<Option<TryId>>,
    waiting: SortedMap<daisy_routing::Ticket, u32>,
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
            servers: (0..SERVERS).map(|_| Server::default()).collect(),
            router,
            attempts: Vec::new(),
            waiting: SortedMap::new(),
        }
    }

    fn play(mut self) -> Summary {
        self.after(Duration::ZERO, Event::Arrival);
        self.after(TICK, Event::Tick);
        while let Some(Reverse((at, _, event))) = self.events.pop() {
            if at > Instant::default() + END {
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
            Event::Done { request, server, try_id, failed } => {
                self.done(request, server, try_id, failed);
            }
            Event::Late { request } => self.late(request),
            Event::Tick => {
                let grants = self.router.tick(self.now, &mut self.rng);
                self.apply(grants);
                self.after(TICK, Event::Tick);
            }
        }
    }

    fn arrive(&mut self) {
        let rate = LOAD * f64::from(SERVERS * SLOTS) / MEAN;
        let gap = -(1.0 - self.rng.f64()).ln() / rate;
        self.after(Duration::from_secs_f64(gap), Event::Arrival);
        let request = self.requests.len() as u32;
        self.requests.push(Request { arrived: self.now, tries: 0, ended: false, good: false });
        self.after(DEADLINE, Event::Late { request });
        self.offer(request);
    }

    fn offer(&mut self, request: u32) {
        if self.variant == Variant::Plain {
            let rng = &mut self.rng;
            let servers = &self.servers;
            let least = (0..SERVERS)
                .min_by_key(|&at| (servers[at as usize].sent, rng.u32(..)))
                .unwrap_or(0);
            return self.send(request, least, None);
        }
        let call = self.call(request);
        match self.router.admit(self.now, &call, &mut self.rng) {
            Admission::Send(target) => self.send_to(request, target),
            Admission::Wait(ticket) => {
                self.waiting.insert(ticket, request);
            }
            Admission::Reject(_) => self.requests[request as usize].ended = true,
        }
    }

    fn send_to(&mut self, request: u32, target: Target) {
        self.send(request, target.vm.0, Some(target.try_id));
    }

    fn send(&mut self, request: u32, server: u32, try_id: Option<TryId>) {
        self.requests[request as usize].tries += 1;
        let number = self.attempts.len() as u32;
        self.attempts.push(try_id);
        let state = &mut self.servers[server as usize];
        state.sent += 1;
        if state.busy < SLOTS {
            state.busy += 1;
            self.serve(request, server, number);
        } else {
            state.queue.push_back((request, number));
        }
    }

    fn serve(&mut self, request: u32, server: u32, try_id: u32) {
        let since = self.now.since(Instant::default());
        let burst = since >= BURST.0 && since < BURST.1;
        let failed = burst && self.rng.f64() < FAIL_SHARE;
        let time = -(1.0 - self.rng.f64()).ln() * MEAN * if failed { FAIL_TIME } else { 1.0 };
        let done = Event::Done { request, server, try_id, failed };
        self.after(Duration::from_secs_f64(time), done);
    }

    fn done(&mut self, request: u32, server: u32, try_id: u32, failed: bool) {
        let state = &mut self.servers[server as usize];
        state.sent -= 1;
        match state.queue.pop_front() {
            Some((next, number)) => self.serve(next, server, number),
            None => state.busy -= 1,
        }
        let end = if failed { TryOutcome::Broken } else { TryOutcome::Answered };
        if let Some(try_id) = self.attempts[try_id as usize].take() {
            let report = TryReport {
                in_flight: Some(self.servers[server as usize].sent),
                ..TryReport::without_answer(end)
            };
            let grants = self.router.finish(self.now, try_id, report, &mut self.rng);
            self.apply(grants);
        }
        let state = &mut self.requests[request as usize];
        if state.ended {
            return;
        }
        if failed {
            self.retry(request, server);
        } else {
            state.ended = true;
            state.good = true;
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

    /// A plain caller that has waited in vain asks again; the first try goes on at its server.
    fn late(&mut self, request: u32) {
        let state = &mut self.requests[request as usize];
        if state.ended {
            return;
        }
        state.ended = true;
        if self.variant == Variant::Plain && state.tries < MAX_TRIES {
            let arrived = self.now;
            let again = self.requests.len() as u32;
            let tries = self.requests[request as usize].tries;
            self.requests.push(Request { arrived, tries, ended: false, good: false });
            self.after(DEADLINE, Event::Late { request: again });
            self.offer(again);
        }
    }

    fn apply(&mut self, grants: Vec<QueueDecision>) {
        for grant in grants {
            match grant {
                QueueDecision::Send(target) => {
                    if let Some(request) = self.waiting.remove(&target.ticket) {
                        self.send_to(request, target);
                    }
                }
                QueueDecision::Reject(ticket, _) => {
                    if let Some(request) = self.waiting.remove(&ticket) {
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
            deadline: self.requests[request as usize].arrived + DEADLINE,
            idempotent: true,
            bytes: 200,
        }
    }

    fn after(&mut self, wait: Duration, event: Event) {
        self.seq += 1;
        self.events.push(Reverse((self.now + wait, self.seq, event)));
    }

    fn summary(&self) -> Summary {
        let since = |request: &Request| request.arrived.since(Instant::default());
        let in_burst = |request: &&Request| since(request) >= BURST.0 && since(request) < BURST.1;
        let burst: Vec<&Request> = self.requests.iter().filter(in_burst).collect();
        let tries: u32 = burst.iter().map(|request| request.tries).sum();
        let good = burst.iter().filter(|request| request.good).count();
        let windows = ((END - DEADLINE - BURST.1).as_secs_f64() / WINDOW.as_secs_f64()) as usize;
        let mut counts = vec![(0_u32, 0_u32); windows];
        for request in self.requests.iter().filter(|request| since(request) >= BURST.1) {
            let at = ((since(request) - BURST.1).as_secs_f64() / WINDOW.as_secs_f64()) as usize;
            if let Some((all, good)) = counts.get_mut(at) {
                *all += 1;
                *good += u32::from(request.good);
            }
        }
        let bad = |(all, good): &(u32, u32)| f64::from(*good) < f64::from(*all) * RECOVERED;
        let last_bad = counts.iter().rposition(bad).map_or(0, |at| at + 1);
        Summary {
            extra: f64::from(tries) / burst.len().max(1) as f64 - 1.0,
            good_in_burst: good as f64 / burst.len().max(1) as f64,
            recover: last_bad as f64 * WINDOW.as_secs_f64(),
        }
    }
}

fn service() -> Name {
    Name::new("quote").expect("a name")
}

fn routes() -> Routes {
    let entries = vec![(DcId(0), VmId(10_000))];
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
        services: SortedMap::from_iter([(service(), state)]),
        ..Routes::default()
    }
}
