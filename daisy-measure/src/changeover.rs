//! `changeover`: how long nothing is started after a holder was killed.
//!
//! The decisions are those of the product: [`Membership`] of seven entry VMs finds the holder
//! silent and claims, a new [`Holder`] polls its workers and starts what waits. Given are the
//! delays: 1 ms between entry VMs and 3 ms for a worker's answer within a data centre, 12 ms
//! one way to the log across the region link (the users' sizes of today), and 5 ms for the
//! log itself. Some workers
//! do not answer for 15 seconds.

use std::{collections::VecDeque, time::Duration};

use daisy_ledger::{AppendId, Batch, Record, State};
use daisy_membership::{Heartbeat, HolderClaim, Membership, Role};
use daisy_model::{DcId, Epoch, Instant, Order, Resources, Vm, VmId, WorkerCall};
use daisy_placement::{Holder, Options, WorkerStatus};
use hdrhistogram::Histogram;

use crate::fleet::{self, Fleet, Nature};

/// Measures the time without starts after a holder was killed.
#[derive(Debug, argh::FromArgs)]
#[argh(subcommand, name = "changeover")]
pub struct Args {
    /// holders killed, each at another phase of its heartbeats (default 100)
    #[argh(option, default = "100")]
    kills: u64,
    /// workers (default 130)
    #[argh(option, default = "130")]
    workers: usize,
}

const ENTRIES: u32 = 7;
/// VM numbers of entry VMs start here, above those of workers.
const FIRST_ENTRY: u32 = 9_000;
const HEARTBEAT: Duration = Duration::from_millis(500);
const HOLDER_TIMEOUT: Duration = Duration::from_millis(2_000);
const LEASE: Duration = Duration::from_secs(30);
const STEP: Duration = Duration::from_millis(5);
/// Steps between two ticks of every process.
const TICK_STEPS: u64 = 10;
const PEER_DELAY: Duration = Duration::from_millis(1);
const CALL_DELAY: Duration = Duration::from_millis(3);
/// To the log, through it and back: two ways over the region link.
const LOG_DELAY: Duration = Duration::from_millis(29);
/// From the log to a reader, the same way once more.
const READ_DELAY: Duration = Duration::from_millis(12);
/// A call to a worker that does not answer ends after this.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_000);
/// One worker in so many does not answer the new holder, for a time.
const MUTE: usize = 50;
const MUTE_FOR: Duration = Duration::from_secs(15);
const CAPACITY: Resources = Resources { cpu_milli: 64_000, memory_mib: 250_000, accelerators: 0 };
const SIZE: Resources = Resources { cpu_milli: 2_000, memory_mib: 4_000, accelerators: 0 };
const BEFORE: Duration = Duration::from_secs(8);
/// Long enough for every lease of the dead holder to lapse.
const AFTER: Duration = Duration::from_secs(25);

/// What travels.
#[derive(Debug)]
enum Message {
    Heartbeat { to: usize, heartbeat: Heartbeat },
    Appended { from: usize, record: Record },
    Call { from: usize, vm: VmId, call: WorkerCall },
    NoAnswer { from: usize, vm: VmId },
}

/// One entry VM's process.
#[derive(Debug)]
struct Entry {
    membership: Membership,
    holder: Option<Holder>,
    alive: bool,
}

#[derive(Debug)]
struct Run {
    now: Instant,
    steps: u64,
    entries: Vec<Entry>,
    vms: Vec<Vm>,
    fleet: Fleet,
    state: State,
    seq: u64,
    flying: VecDeque<(Instant, Message)>,
    mute: bool,
    killed: Option<Instant>,
    claimed: Option<Instant>,
    started: Option<Instant>,
    polled: Option<Instant>,
}

/// Runs the measurement.
pub fn run(args: &Args) {
    let mut claim = histogram();
    let mut start = histogram();
    let mut polled = histogram();
    let mut lapsed = 0;
    let mut none = 0;
    for seed in 0..args.kills {
        let mut run = Run::new(args.workers, seed);
        run.kill_and_wait(seed);
        lapsed += run.fleet.lapsed;
        none += usize::from(run.started.is_none());
        for (times, at) in
            [(&mut claim, run.claimed), (&mut start, run.started), (&mut polled, run.polled)]
        {
            if let Some((at, killed)) = at.zip(run.killed) {
                times.saturating_record(at.since(killed).as_millis() as u64);
            }
        }
    }
    println!(
        "measure=changeover kills={} workers={} claim_p50_ms={} claim_max_ms={} start_p50_ms={} \
         start_p99_ms={} start_max_ms={} polled_p50_ms={} polled_max_ms={} never_started={none} \
         tasks_lapsed={lapsed}",
        args.kills,
        args.workers,
        claim.value_at_quantile(0.5),
        claim.max(),
        start.value_at_quantile(0.5),
        start.value_at_quantile(0.99),
        start.max(),
        polled.value_at_quantile(0.5),
        polled.max(),
    );
}

/// The longest time counted, in milliseconds.
const HIGHEST: u64 = 1_000_000;

fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, HIGHEST, 3).expect("the bounds are in order")
}

impl Run {
    fn new(workers: usize, seed: u64) -> Run {
        let now = Instant::from_millis(1_000);
        let options = |at: u32| daisy_membership::Options {
            vm: VmId(FIRST_ENTRY + at),
            dc: DcId(0),
            heartbeat_interval: HEARTBEAT,
            holder_timeout: HOLDER_TIMEOUT,
        };
        let entry =
            |at| Entry { membership: Membership::new(now, options(at)), holder: None, alive: true };
        let mut vms: Vec<Vm> = (0..workers).map(|at| fleet::vm(at, CAPACITY)).collect();
        vms.extend((0..ENTRIES).map(|at| fleet::entry_vm(VmId(FIRST_ENTRY + at))));
        let mut run = Run {
            now,
            steps: 0,
            entries: (0..ENTRIES).map(entry).collect(),
            vms,
            fleet: Fleet::new(workers, CAPACITY, seed),
            state: State::default(),
            seq: 0,
            flying: VecDeque::new(),
            mute: false,
            killed: None,
            claimed: None,
            started: None,
            polled: None,
        };
        run.fold(fleet::quota());
        let nature = Nature { service: true, kind: 0, work: f32::INFINITY };
        run.declare("s0x", workers as u32, nature);
        run
    }

    fn declare(&mut self, text: &str, tasks: u32, nature: Nature) {
        let job = self.state.jobs.next_id();
        self.fleet.declare(job, nature);
        self.fold(fleet::create(text, tasks, SIZE, nature));
    }

    fn fold(&mut self, record: Record) -> Epoch {
        let offset = self.state.next;
        self.seq += 1;
        let id = AppendId { sender: 1, seq: self.seq };
        self.state.apply(offset, &Batch { id, records: vec![record] });
        Epoch(offset.0 + 1)
    }

    /// Lets one holder work, kills it, and lets the others go on.
    fn kill_and_wait(&mut self, seed: u64) {
        let mut rng = fastrand::Rng::with_seed(seed);
        let phase = Duration::from_millis(rng.u64(0..1_000));
        self.run_for(BEFORE + phase);
        let holder = self.entries.iter().position(|it| it.holder.is_some());
        let holder = holder.expect("one entry VM became the holder");
        self.entries[holder].alive = false;
        self.killed = Some(self.now);
        self.mute = true;
        self.run_for(MUTE_FOR);
        self.mute = false;
        self.run_for(AFTER);
    }

    fn run_for(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.step();
        }
    }

    fn step(&mut self) {
        self.now = self.now + STEP;
        self.steps += 1;
        let due = self.flying.iter().filter(|(at, _)| *at <= self.now).count();
        if due > 0 {
            let flying = std::mem::take(&mut self.flying);
            for (at, message) in flying {
                if at <= self.now {
                    self.deliver(message);
                } else {
                    self.flying.push_back((at, message));
                }
            }
        }
        if self.steps.is_multiple_of(TICK_STEPS) {
            self.tick();
        }
    }

    fn tick(&mut self) {
        self.fleet.advance(self.now, (STEP * TICK_STEPS as u32).as_secs_f32());
        if self.steps.is_multiple_of(TICK_STEPS * 4) {
            // Something always waits to be started.
            let nature = Nature { service: false, kind: 1, work: 20.0 };
            self.declare(&format!("b1x-{}", self.steps), 4, nature);
        }
        for at in 0..self.entries.len() {
            if self.entries[at].alive {
                self.tick_entry(at);
            }
        }
        self.note_polled();
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
        if self.killed.is_some() && self.claimed.is_none() {
            self.claimed = Some(self.now);
        }
        self.entries[at].holder = Some(Holder::new(Options::new(DcId(0), epoch, LEASE, 1)));
    }

    fn send_heartbeat(&mut self, at: usize, to: VmId) {
        let heartbeat = self.entries[at].membership.heartbeat(self.now);
        let to = (to.0 - FIRST_ENTRY) as usize;
        self.flying.push_back((self.now + PEER_DELAY, Message::Heartbeat { to, heartbeat }));
    }

    fn append(&mut self, from: usize, record: Record) {
        let at = self.now + LOG_DELAY + READ_DELAY;
        self.flying.push_back((at, Message::Appended { from, record }));
    }

    fn send(&mut self, from: usize, actions: Vec<daisy_placement::Action>) {
        for action in actions {
            match action {
                daisy_placement::Action::Append(record) => self.append(from, record),
                daisy_placement::Action::Call { vm, call } => {
                    let is_mute = self.mute && (vm.0 as usize).is_multiple_of(MUTE);
                    let message = if is_mute {
                        (self.now + CALL_TIMEOUT, Message::NoAnswer { from, vm })
                    } else {
                        (self.now + CALL_DELAY, Message::Call { from, vm, call })
                    };
                    self.flying.push_back(message);
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
            // An append that is on its way takes effect though its sender is dead.
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
        if starts && report.accepted && self.claimed.is_some() && self.started.is_none() {
            self.started = Some(self.now);
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

    /// Notes when every worker that can answer has answered the new holder.
    fn note_polled(&mut self) {
        if self.claimed.is_none() || self.polled.is_some() {
            return;
        }
        let Some(holder) =
            self.entries.iter().filter(|it| it.alive).find_map(|it| it.holder.as_ref())
        else {
            return;
        };
        let workers = holder.workers();
        let answers = |it: &daisy_placement::WorkerView| {
            it.status == WorkerStatus::Open || (it.vm.0 as usize).is_multiple_of(MUTE)
        };
        if !workers.is_empty() && workers.iter().all(answers) {
            self.polled = Some(self.now);
        }
    }
}
