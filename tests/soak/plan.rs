//! The schedule of faults that follows from a seed.

use std::{ops::Range, time::Duration};

use fastrand::Rng;

/// A process to which a fault is applied.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Target {
    /// The process with this index.
    Vm(usize),
    /// The process that owns the first shard when the fault is injected.
    Owner,
}

/// A fault to inject. Workers are named by their index.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// A process is killed, and restarted after this time.
    Kill(Target, Duration),
    /// All processes are killed, and restarted after this time.
    KillAll(Duration),
    /// A process is paused for this time.
    Pause(Target, Duration),
    /// A process is stopped as planned, and restarted when it has ended.
    Terminate(Target),
    /// A process is signalled to reload its settings.
    Hangup(Target),
    /// The link of a process to the log has a fault for this time.
    LogLink(Target, LinkFault, Duration),
    /// The link to a worker has a fault for this time.
    WorkerLink(usize, LinkFault, Duration),
    /// The link from a process to a worker has a fault for this time.
    Path(Target, usize, LinkFault, Duration),
    /// A worker crashes and restarts at once.
    CrashWorker(usize),
    /// A worker does not answer orders to start, and carries them out after this delay.
    DelayOrders(usize, Duration),
    /// A worker answers no call, and carries each out after the first time, for the duration of the
    /// second.
    DelayCalls(usize, Duration, Duration),
    /// The log rejects all calls for this time.
    LogBusy(Duration),
    /// The log neither carries out nor answers calls for this time.
    LogUnresponsive(Duration),
    /// The log carries out appends without answering them, for this time.
    LogLosesAnswers(Duration),
    /// Each append takes the first time, for the duration of the second.
    LogSlowAppends(Duration, Duration),
    /// The log drops all records but the newest of each key, in the topics that processes read.
    DropHistory,
    /// Operators publish a configuration.
    Configure,
}

/// The fault of a link.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LinkFault {
    /// Nothing passes in either direction.
    Cut,
    /// Requests pass, but nothing is returned.
    CutReplies,
    /// Connections are reset.
    Reset,
    /// All data is delayed by this many milliseconds.
    Delay(u64),
}

/// Seeds from here on mix kinds of jobs under the deployed policy; lower ones, some of which have
/// found faults, run as they did then.
const FIRST_MIXED_SEED: u64 = 1_000;
/// Seeds from here on also submit jobs with constraints, to workers of two kinds.
const FIRST_CONSTRAINED_SEED: u64 = 2_000;
/// Seeds from here on have long tasks, and changes of the owner in series beside restarts of
/// workers.
const FIRST_SUCCESSION_SEED: u64 = 3_000;
/// Seeds from here on have more pauses of processes instead of the restarts of workers.
const FIRST_PAUSE_SEED: u64 = 4_000;

/// A seed's schedule.
#[derive(Debug)]
pub struct Plan {
    /// The number of VMs, each with one process.
    pub vms: usize,
    /// The number of workers.
    pub workers: usize,
    /// How long callers submit jobs.
    pub duration: Duration,
    /// The faults with the time since the start at which each is injected, in the order of time.
    pub faults: Vec<(Duration, Fault)>,
    /// The duration of a task on each worker.
    pub task_durations: Vec<Duration>,
    /// The range of a caller's pause between two jobs.
    pub pause: Range<Duration>,
    /// How long accepted jobs may take to end after all faults: several times the sum of an owner
    /// change, the longest lease and a job's work, for a busy machine.
    pub settle_timeout: Duration,
    /// Whether each process has a link of its own to each worker.
    pub has_paths: bool,
    /// The speed of each worker's clock, in thousandths of the real speed.
    pub clock_permille: Vec<u64>,
    /// Whether callers also submit long-running jobs, to processes with the deployed policy.
    pub mixes_kinds: bool,
    /// Whether callers also submit jobs with [constraints](crate::callers::Constraint), and every
    /// second worker is of another kind.
    pub has_constraints: bool,
}

impl Plan {
    /// Returns the schedule of a seed. The workers of every fifth seed are divided into several
    /// shards.
    pub fn new(seed: u64) -> Plan {
        /// So many workers are divided among two owners.
        const SHARDED_WORKERS: usize = 105;
        const FEW_WORKERS: usize = 6;
        let mut rng = Rng::with_seed(seed);
        if seed >= FIRST_SUCCESSION_SEED {
            return Plan::with_successions(&mut rng, seed < FIRST_PAUSE_SEED);
        }
        let vms = rng.usize(2..=4);
        let workers = if seed.is_multiple_of(5) { SHARDED_WORKERS } else { FEW_WORKERS };
        let duration = Duration::from_secs(8);
        let count = rng.usize(3..=9);
        let mut faults: Vec<_> = (0..count)
            .map(|_| (random_time(&mut rng, 300..7_500), random_fault(&mut rng, vms)))
            .collect();
        faults.sort_by_key(|(at, _)| *at);
        // The platform's contract allows clocks that are 2 % slow.
        let clock_permille = (0..workers).map(|_| rng.u64(980..=1_000)).collect();
        let mixes_kinds = seed >= FIRST_MIXED_SEED;
        let has_constraints = seed >= FIRST_CONSTRAINED_SEED;
        Plan {
            duration,
            faults,
            clock_permille,
            mixes_kinds,
            has_constraints,
            ..Plan::without_faults(vms, workers)
        }
    }

    /// Returns a schedule in which, again and again, calls to some workers are delayed, these
    /// workers restart if `has_restarts`, the owner is disturbed, and others lose touch with some
    /// workers.
    fn with_successions(rng: &mut Rng, has_restarts: bool) -> Plan {
        const DURATION_MS: u64 = 38_000;
        let vms = rng.usize(3..=4);
        let workers = rng.usize(12..=20);
        let mut faults = Vec::new();
        let mut at_ms = rng.u64(4_000..7_000);
        while at_ms < DURATION_MS - 6_000 {
            add_succession(rng, &mut faults, at_ms, (vms, workers));
            at_ms += rng.u64(2_000..8_000);
        }
        if !has_restarts {
            faults.retain(|(_, it)| !matches!(it, Fault::CrashWorker(_)));
        }
        for _ in 0..rng.usize(if has_restarts { 5..30 } else { 30..90 }) {
            let target = random_target(rng, vms);
            let pause = Fault::Pause(target, random_time(rng, 40..900));
            faults.push((random_time(rng, 2_000..DURATION_MS), pause));
        }
        faults.sort_by_key(|(at, _)| *at);
        let task_durations = (0..workers).map(|_| random_time(rng, 6_000..20_000)).collect();
        let clock_permille = (0..workers).map(|_| rng.u64(980..=1_000)).collect();
        Plan {
            duration: Duration::from_millis(DURATION_MS),
            faults,
            task_durations,
            pause: Duration::from_millis(500)..Duration::from_millis(2_000),
            settle_timeout: Duration::from_secs(150),
            has_paths: true,
            clock_permille,
            mixes_kinds: true,
            has_constraints: true,
            ..Plan::without_faults(vms, workers)
        }
    }

    /// Returns a schedule in which a worker restarts, and carries out a renewal for its last
    /// incarnation within 2.7 s after that.
    pub fn with_late_renewal() -> Plan {
        let millis = Duration::from_millis;
        let faults = vec![
            (millis(1_000), Fault::DelayCalls(0, millis(3_000), millis(1_900))),
            (millis(2_800), Fault::CrashWorker(0)),
        ];
        Plan {
            duration: millis(3_000),
            faults,
            task_durations: vec![millis(14_000), millis(1_000)],
            ..Plan::without_faults(2, 2)
        }
    }

    /// Returns a schedule in which a worker restarts after orders to start that come 1.2 s after the
    /// begin, and carries them out before the end.
    pub fn with_late_orders() -> Plan {
        let millis = Duration::from_millis;
        let faults = vec![
            (millis(1_000), Fault::DelayOrders(0, millis(3_000))),
            (millis(1_900), Fault::CrashWorker(0)),
        ];
        Plan { duration: millis(5_000), faults, ..Plan::with_late_renewal() }
    }

    /// Returns a schedule in which orders to start that come 1.2 s after the begin get no answer, the
    /// owner is killed, and their worker restarts out of reach after the next owner has called it.
    pub fn with_late_orders_of_earlier_owner() -> Plan {
        let millis = Duration::from_millis;
        let faults = vec![
            (millis(1_000), Fault::DelayOrders(0, millis(5_500))),
            (millis(1_800), Fault::Kill(Target::Owner, millis(8_000))),
            (millis(6_000), Fault::WorkerLink(0, LinkFault::Cut, millis(2_000))),
            (millis(6_000), Fault::CrashWorker(0)),
        ];
        Plan {
            duration: millis(9_000),
            faults,
            task_durations: vec![millis(6_000); 3],
            ..Plan::without_faults(2, 3)
        }
    }

    /// Returns a schedule in which the owner is killed and the first worker is cut off.
    pub fn with_killed_owner() -> Plan {
        let time = Duration::from_secs(14);
        let faults = vec![
            (Duration::ZERO, Fault::Kill(Target::Owner, time)),
            (Duration::ZERO, Fault::WorkerLink(0, LinkFault::Cut, time)),
        ];
        Plan { duration: time, faults, ..Plan::without_faults(2, 2) }
    }

    /// Returns a schedule without faults, in which nothing is submitted.
    pub fn without_faults(vms: usize, workers: usize) -> Plan {
        Plan {
            vms,
            workers,
            duration: Duration::ZERO,
            faults: Vec::new(),
            task_durations: vec![Duration::from_millis(400); workers],
            pause: Duration::from_millis(50)..Duration::from_millis(250),
            settle_timeout: Duration::from_secs(60),
            has_paths: false,
            clock_permille: vec![1_000; workers],
            mixes_kinds: false,
            has_constraints: false,
        }
    }
}

fn random_time(rng: &mut Rng, millis: std::ops::Range<u64>) -> Duration {
    Duration::from_millis(rng.u64(millis))
}

fn random_fault(rng: &mut Rng, vms: usize) -> Fault {
    /// The number of workers that have a link of their own.
    const LINKED_WORKERS: usize = 6;
    let vm = Target::Vm(rng.usize(..vms));
    let worker = rng.usize(..LINKED_WORKERS);
    match rng.u32(..17) {
        0 | 1 => Fault::Kill(vm, random_time(rng, 50..2_500)),
        2 => Fault::KillAll(random_time(rng, 50..1_500)),
        3 | 4 => Fault::Pause(vm, random_time(rng, 200..4_000)),
        5 => Fault::Terminate(vm),
        6 => Fault::Hangup(vm),
        7 | 8 => Fault::LogLink(vm, random_link_fault(rng), random_time(rng, 300..5_000)),
        9 | 10 => Fault::WorkerLink(worker, random_link_fault(rng), random_time(rng, 300..7_000)),
        11 => Fault::CrashWorker(worker),
        12 => Fault::DelayOrders(worker, random_time(rng, 500..4_000)),
        13 => match rng.bool() {
            true => Fault::LogBusy(random_time(rng, 300..4_000)),
            false => Fault::LogUnresponsive(random_time(rng, 300..4_000)),
        },
        14 => Fault::LogLosesAnswers(random_time(rng, 300..3_000)),
        15 => match rng.bool() {
            true => Fault::LogSlowAppends(random_time(rng, 40..200), random_time(rng, 300..4_000)),
            false => Fault::DropHistory,
        },
        _ => Fault::Configure,
    }
}

/// Adds a change of the owner with restarts of workers before it and lost links after it.
///
/// A link that is cut carries out later what was sent before; together with a worker's delays, that
/// is at most 12 s late, as on the platform.
fn add_succession(
    rng: &mut Rng,
    faults: &mut Vec<(Duration, Fault)>,
    at_ms: u64,
    (vms, workers): (usize, usize),
) {
    let mut all: Vec<usize> = (0..workers).collect();
    rng.shuffle(&mut all);
    let (restarting, others) = all.split_at(rng.usize(2..=workers / 2));
    for worker in restarting {
        let crashed_ms = at_ms + rng.u64(200..2_500);
        let delay = random_time(rng, 300..2_000);
        let delays = match rng.u32(..4) {
            0 => None,
            1 => Some(Fault::DelayOrders(*worker, delay)),
            _ => Some(Fault::DelayCalls(*worker, delay, random_time(rng, 500..2_500))),
        };
        let delayed_at = Duration::from_millis(crashed_ms - rng.u64(100..1_500).min(crashed_ms));
        faults.extend(delays.map(|it| (delayed_at, it)));
        faults.push((Duration::from_millis(crashed_ms), Fault::CrashWorker(*worker)));
    }
    let owner_ms = at_ms + rng.u64(1_500..4_500);
    let fault = match rng.u32(..8) {
        0..3 => Fault::Pause(Target::Owner, random_time(rng, 1_000..8_000)),
        3 | 4 => Fault::Kill(Target::Owner, random_time(rng, 50..4_000)),
        5 => Fault::Terminate(Target::Owner),
        _ => Fault::LogLink(Target::Owner, random_link_fault(rng), random_time(rng, 1_000..9_000)),
    };
    faults.push((Duration::from_millis(owner_ms), fault));
    let cut_off = restarting.iter().chain(&others[..rng.usize(..=others.len() / 2)]);
    for worker in cut_off {
        if rng.u32(..4) == 0 {
            continue;
        }
        let cut_at = Duration::from_millis(owner_ms + rng.u64(..2_500) - 500);
        let duration = random_time(rng, 4_000..11_000);
        let fault = match rng.u32(..5) {
            0 => LinkFault::Delay(rng.u64(200..2_000)),
            1 | 2 => LinkFault::Cut,
            _ => random_link_fault(rng),
        };
        let cut = match rng.u32(..4) {
            0 | 1 => Fault::WorkerLink(*worker, fault, duration),
            2 => Fault::Path(Target::Owner, *worker, fault, duration),
            _ => Fault::Path(Target::Vm(rng.usize(..vms)), *worker, fault, duration),
        };
        faults.push((cut_at, cut));
    }
}

fn random_target(rng: &mut Rng, vms: usize) -> Target {
    match rng.bool() {
        true => Target::Owner,
        false => Target::Vm(rng.usize(..vms)),
    }
}

fn random_link_fault(rng: &mut Rng) -> LinkFault {
    match rng.u32(..4) {
        0 => LinkFault::Cut,
        1 => LinkFault::CutReplies,
        2 => LinkFault::Reset,
        _ => LinkFault::Delay(rng.u64(20..400)),
    }
}
