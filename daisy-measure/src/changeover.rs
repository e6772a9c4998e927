//! `changeover`: how long no task is started after a holder was killed.
//!
//! The decisions are those of the product: the [`Membership`] of seven entry VMs notices that the
//! holder no longer sends heartbeats and claims the data centre, and a new [`Holder`] polls its
//! workers and starts waiting tasks. The delays are given: 1 ms between entry VMs, 3 ms for a
//! worker's answer within a data centre, 12 ms one way to the log across the region link (the users'
//! current sizes), and 5 ms for the log itself. Some workers do not answer for 15 seconds.

use std::{collections::VecDeque, time::Duration};

use daisy_ledger::{AppendId, Batch, Record, State};
use daisy_membership::{Heartbeat, HolderClaim, Membership, Role};
use daisy_model::{DcId, Epoch, Instant, Order, Resources, Vm, VmId, WorkerCall};
use daisy_placement::{Holder, Options, WorkerStatus};
use hdrhistogram::Histogram;

use crate::fleet::{self, TaskProfile, WorkerFleet};

/// Measures the time without starts after a holder was killed.
#[derive(Debug, argh::FromArgs)]
#[argh(subcommand, name = "changeover")]
pub struct Args {
    /// number of holders killed, each at a different phase of its heartbeats (default 100)
    #[argh(option, default = "100")]
    kills: u64,
    /// number of workers (default 130)
    #[argh(option, default = "130")]
    workers: usize,
}

const ENTRY_COUNT: u32 = 7;
/// Lowest VM number of an entry VM, above those of workers.
const FIRST_ENTRY: u32 = 9_000;
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
const HOLDER_TIMEOUT: Duration = Duration::from_millis(2_000);
const LEASE_DURATION: Duration = Duration::from_secs(30);
/// Simulated time of one step.
const TIME_STEP: Duration = Duration::from_millis(5);
/// Steps between two ticks of every process.
const STEPS_PER_TICK: u64 = 10;
/// One-way delay between entry VMs.
const PEER_DELAY: Duration = Duration::from_millis(1);
/// Time until a worker has answered a call.
const CALL_DELAY: Duration = Duration::from_millis(3);
/// Round trip to the log, with the log's own time: 12 ms each way over the region link, and 5 ms.
const LOG_DELAY: Duration = Duration::from_millis(29);
/// One-way delay from the log to a reader over the region link.
const READ_DELAY: Duration = Duration::from_millis(12);
/// Timeout of a call to a worker that does not answer.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_000);
/// One in this many workers does not answer the new holder for a time.
const UNRESPONSIVE_EVERY: usize = 50;
/// How long these workers do not answer.
const UNRESPONSIVE_TIME: Duration = Duration::from_secs(15);
const WORKER_CAPACITY: Resources =
    Resources { cpu_milli: 64_000, memory_mib: 250_000, accelerators: 0 };
const TASK_SIZE: Resources = Resources { cpu_milli: 2_000, memory_mib: 4_000, accelerators: 0 };
/// Time before the holder is killed, plus a random phase of up to one second.
const TIME_BEFORE_KILL: Duration = Duration::from_secs(8);
/// Time that a run continues once all workers answer again; long enough for every lease of the dead
/// holder to expire.
const TIME_AFTER_UNRESPONSIVE: Duration = Duration::from_secs(25);

/// A message in transit, or a timeout that is pending.
#[derive(Debug)]
enum Message {
    Heartbeat { to: usize, heartbeat: Heartbeat },
    Appended { from: usize, record: Record },
    Call { from: usize, vm: VmId, call: WorkerCall },
    NoAnswer { from: usize, vm: VmId },
}

/// The process of one entry VM.
#[derive(Debug)]
struct Entry {
    membership: Membership,
    holder: Option<Holder>,
    alive: bool,
}

/// One run, in which one holder is killed.
#[derive(Debug)]
struct Run {
    now: Instant,
    steps: u64,
    entries: Vec<Entry>,
    vms: Vec<Vm>,
    fleet: WorkerFleet,
    state: State,
    append_seq: u64,
    /// Messages with the times at which they arrive.
    in_transit: VecDeque<(Instant, Message)>,
    /// Whether one in [`UNRESPONSIVE_EVERY`] workers does not answer now.
    some_unresponsive: bool,
    killed_at: Option<Instant>,
    claimed_at: Option<Instant>,
    /// When a worker first accepted a start from the new holder.
    first_start_at: Option<Instant>,
    /// When every worker that can answer had answered the new holder.
    all_polled_at: Option<Instant>,
}

/// Runs the measurement.
pub fn run(args: &Args) {
    let mut claim_times = histogram();
    let mut start_times = histogram();
    let mut polled_times = histogram();
    let mut tasks_lapsed = 0;
    let mut never_started = 0;
    for seed in 0..args.kills {
        let mut run = Run::new(args.workers, seed);
        run.kill_and_wait(seed);
        tasks_lapsed += run.fleet.tasks_lost_to_lease_expiry;
        never_started += usize::from(run.first_start_at.is_none());
        for (times, at) in [
            (&mut claim_times, run.claimed_at),
            (&mut start_times, run.first_start_at),
            (&mut polled_times, run.all_polled_at),
        ] {
            if let Some((at, killed_at)) = at.zip(run.killed_at) {
                times.saturating_record(at.since(killed_at).as_millis() as u64);
            }
        }
    }
    println!(
        "measure=changeover kills={} workers={} claim_p50_ms={} claim_max_ms={} start_p50_ms={} \
         start_p99_ms={} start_max_ms={} polled_p50_ms={} polled_max_ms={} never_started={never_started} \
         tasks_lapsed={tasks_lapsed}",
        args.kills,
        args.workers,
        claim_times.value_at_quantile(0.5),
        claim_times.max(),
        start_times.value_at_quantile(0.5),
        start_times.value_at_quantile(0.99),
        start_times.max(),
        polled_times.value_at_quantile(0.5),
        polled_times.max(),
    );
}

/// Upper bound of the histograms, in milliseconds.
const HISTOGRAM_MAX_MS: u64 = 1_000_000;

fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, HISTOGRAM_MAX_MS, 3).expect("the bounds are in order")
}

impl Run {
    fn new(workers: usize, seed: u64) -> Run {
        let now = Instant::from_millis(1_000);
        let options = |at: u32| daisy_membership::Options {
            vm: VmId(FIRST_ENTRY + at),
            dc: DcId(0),
            heartbeat_interval: HEARTBEAT_INTERVAL,
            holder_timeout: HOLDER_TIMEOUT,
        };
        let entry =
            |at| Entry { membership: Membership::new(now, options(at)), holder: None, alive: true };
        let mut vms: Vec<Vm> =
            (0..workers).map(|at| fleet::worker_vm(at, WORKER_CAPACITY)).collect();
        vms.extend((0..ENTRY_COUNT).map(|at| fleet::entry_vm(VmId(FIRST_ENTRY + at))));
        let mut run = Run {
            now,
            steps: 0,
            entries: (0..ENTRY_COUNT).map(entry).collect(),
            vms,
            fleet: WorkerFleet::new(workers, WORKER_CAPACITY, seed),
            state: State::default(),
            append_seq: 0,
            in_transit: VecDeque::new(),
            some_unresponsive: false,
            killed_at: None,
            claimed_at: None,
            first_start_at: None,
            all_polled_at: None,
        };
        run.fold(fleet::quota_record());
        let profile = TaskProfile { is_service: true, kind: 0, work_s: f32::INFINITY };
        run.create_job("s0x", workers as u32, profile);
        run
    }

    fn create_job(&mut self, text: &str, tasks: u32, profile: TaskProfile) {
        let job = self.state.jobs.next_id();
        self.fleet.set_profile(job, profile);
        self.fold(fleet::create_job_record(text, tasks, TASK_SIZE, profile));
    }

    fn fold(&mut self, record: Record) -> Epoch {
        let offset = self.state.next;
        self.append_seq += 1;
        let id = AppendId { sender: 1, seq: self.append_seq };
        self.state.apply(offset, &Batch { id, records: vec![record] });
        Epoch(offset.0 + 1)
    }

    /// Lets a holder work, kills it, and lets the other entry VMs continue.
    fn kill_and_wait(&mut self, seed: u64) {
        let mut rng = fastrand::Rng::with_seed(seed);
        let phase = Duration::from_millis(rng.u64(0..1_000));
        self.run_for(TIME_BEFORE_KILL + phase);
        let holder = self.entries.iter().position(|it| it.holder.is_some());
        let holder = holder.expect("one entry VM became the holder");
        self.entries[holder].alive = false;
        self.killed_at = Some(self.now);
        self.some_unresponsive = true;
        self.run_for(UNRESPONSIVE_TIME);
        self.some_unresponsive = false;
        self.run_for(TIME_AFTER_UNRESPONSIVE);
    }

    fn run_for(&mut self, duration: Duration) {
        let end = self.now + duration;
        while self.now < end {
            self.step();
        }
    }

    fn step(&mut self) {
        self.now = self.now + TIME_STEP;
        self.steps += 1;
        let due = self.in_transit.iter().filter(|(at, _)| *at <= self.now).count();
        if due > 0 {
            let in_transit = std::mem::take(&mut self.in_transit);
            for (at, message) in in_transit {
                if at <= self.now {
                    self.deliver(message);
                } else {
                    self.in_transit.push_back((at, message));
                }
            }
        }
        if self.steps.is_multiple_of(STEPS_PER_TICK) {
            self.tick();
        }
    }

    fn tick(&mut self) {
        self.fleet.advance(self.now, (TIME_STEP * STEPS_PER_TICK as u32).as_secs_f32());
        if self.steps.is_multiple_of(STEPS_PER_TICK * 4) {
            // Keeps tasks waiting to be started at all times.
            let profile = TaskProfile { is_service: false, kind: 1, work_s: 20.0 };
            self.create_job(&format!("b1x-{}", self.steps), 4, profile);
        }
        for at in 0..self.entries.len() {
            if self.entries[at].alive {
                self.tick_entry(at);
            }
        }
        self.record_polled();
    }

    fn tick_entry(&mut self, at: usize) {
        let holder_claim = self.state.holders.get(&DcId(0)).map(|it| HolderClaim {
            holder: it.holder,
            epoch: it.epoch,
            released: it.released,
        });
        let next = self.state.next;
        let generation = self.state.generation.0;
        let sent_at = self.now - LOG_DELAY;
        let vms = self.vms.clone();
        for event in [
            daisy_membership::Event::Vms(&vms),
            daisy_membership::Event::Folded { next, generation, holder_claim },
            daisy_membership::Event::LogAnswered { sent_at, end: Some(next) },
            daisy_membership::Event::Tick,
        ] {
            self.step_membership(at, event);
        }
        let Some(mut holder) = self.entries[at].holder.take() else { return };
        let mut actions = Vec::new();
        holder.step(self.now, daisy_placement::Event::Vms(&vms), &mut actions);
        holder.step(self.now, daisy_placement::Event::Ledger(&self.state), &mut actions);
        holder.step(self.now, daisy_placement::Event::Tick, &mut actions);
        self.entries[at].holder = Some(holder);
        self.send(at, actions);
    }

    fn step_membership(&mut self, at: usize, event: daisy_membership::Event<'_>) {
        let mut actions = Vec::new();
        self.entries[at].membership.step(self.now, event, &mut actions);
        for action in actions {
            match action {
                daisy_membership::Action::Heartbeat(to) => self.send_heartbeat(at, to),
                daisy_membership::Action::Claim => {
                    let holder = VmId(FIRST_ENTRY + at as u32);
                    let record = Record::Claim { dc: DcId(0), holder };
                    self.append(at, record);
                }
                daisy_membership::Action::ChangeRole(Role::Holder(epoch)) => {
                    self.take_over(at, epoch)
                }
                daisy_membership::Action::ChangeRole(_) => self.entries[at].holder = None,
                _ => {}
            }
        }
    }

    fn take_over(&mut self, at: usize, epoch: Epoch) {
        if self.killed_at.is_some() && self.claimed_at.is_none() {
            self.claimed_at = Some(self.now);
        }
        self.entries[at].holder =
            Some(Holder::new(Options::new(DcId(0), epoch, LEASE_DURATION, 1)));
    }

    fn send_heartbeat(&mut self, at: usize, to: VmId) {
        let heartbeat = self.entries[at].membership.heartbeat(self.now);
        let to = (to.0 - FIRST_ENTRY) as usize;
        self.in_transit.push_back((self.now + PEER_DELAY, Message::Heartbeat { to, heartbeat }));
    }

    fn append(&mut self, from: usize, record: Record) {
        let at = self.now + LOG_DELAY + READ_DELAY;
        self.in_transit.push_back((at, Message::Appended { from, record }));
    }

    fn send(&mut self, from: usize, actions: Vec<daisy_placement::Action>) {
        for action in actions {
            match action {
                daisy_placement::Action::Append(record) => self.append(from, record),
                daisy_placement::Action::Call { vm, call } => {
                    let is_unresponsive = self.some_unresponsive
                        && (vm.0 as usize).is_multiple_of(UNRESPONSIVE_EVERY);
                    let message = if is_unresponsive {
                        (self.now + CALL_TIMEOUT, Message::NoAnswer { from, vm })
                    } else {
                        (self.now + CALL_DELAY, Message::Call { from, vm, call })
                    };
                    self.in_transit.push_back(message);
                }
            }
        }
    }

    fn deliver(&mut self, message: Message) {
        match message {
            Message::Heartbeat { to, heartbeat } if self.entries[to].alive => {
                self.step_membership(to, daisy_membership::Event::Heartbeat(heartbeat));
            }
            Message::Heartbeat { .. } => {}
            // An append in transit takes effect even if its sender has been killed.
            Message::Appended { from, record } => {
                let is_claim = matches!(record, Record::Claim { .. });
                self.fold(record);
                if is_claim && self.entries[from].alive {
                    self.step_membership(from, daisy_membership::Event::ClaimEnded);
                }
            }
            Message::Call { from, vm, call } => self.deliver_call(from, vm, &call),
            Message::NoAnswer { from, vm } => {
                let event = daisy_placement::Event::CallFailed { vm, sent: true };
                self.step_holder(from, event);
            }
        }
    }

    fn deliver_call(&mut self, from: usize, vm: VmId, call: &WorkerCall) {
        let starts = call.orders.iter().any(|it| matches!(it, Order::Start { .. }));
        let report = self.fleet.call(self.now, vm.0 as usize, call);
        if starts && report.accepted && self.claimed_at.is_some() && self.first_start_at.is_none() {
            self.first_start_at = Some(self.now);
        }
        self.step_holder(from, daisy_placement::Event::Report { vm, report: &report });
    }

    fn step_holder(&mut self, at: usize, event: daisy_placement::Event<'_>) {
        if !self.entries[at].alive {
            return;
        }
        let Some(mut holder) = self.entries[at].holder.take() else { return };
        let mut actions = Vec::new();
        holder.step(self.now, event, &mut actions);
        self.entries[at].holder = Some(holder);
        self.send(at, actions);
    }

    /// Records the time at which every worker that can answer has answered the new holder.
    fn record_polled(&mut self) {
        if self.claimed_at.is_none() || self.all_polled_at.is_some() {
            return;
        }
        let Some(holder) =
            self.entries.iter().filter(|it| it.alive).find_map(|it| it.holder.as_ref())
        else {
            return;
        };
        let workers = holder.workers();
        let is_done = |it: &daisy_placement::WorkerView| {
            it.status == WorkerStatus::Open || (it.vm.0 as usize).is_multiple_of(UNRESPONSIVE_EVERY)
        };
        if !workers.is_empty() && workers.iter().all(is_done) {
            self.all_polled_at = Some(self.now);
        }
    }
}
