//! The schedule of faults that follows from a seed.

use std::time::Duration;

use fastrand::Rng;

/// A fault to inject. Processes and workers are named by their index.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// A process is killed, and restarted after this time.
    Kill(usize, Duration),
    /// All processes are killed, and restarted after this time.
    KillAll(Duration),
    /// A process is paused for this time.
    Pause(usize, Duration),
    /// A process is stopped as planned, and restarted when it has ended.
    Terminate(usize),
    /// A process is signalled to reload its settings.
    Hangup(usize),
    /// The link of a process to the log has a fault for this time.
    LogLink(usize, LinkFault, Duration),
    /// The link to a worker has a fault for this time.
    WorkerLink(usize, LinkFault, Duration),
    /// A worker crashes and restarts at once.
    CrashWorker(usize),
    /// A worker does not answer orders to start, and carries them out after this delay.
    DelayOrders(usize, Duration),
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
        Plan { vms, workers, duration, faults, clock_permille, mixes_kinds, has_constraints }
    }

    /// Returns a schedule without faults, in which nothing is submitted.
    pub fn without_faults(vms: usize, workers: usize) -> Plan {
        Plan {
            vms,
            workers,
            duration: Duration::ZERO,
            faults: Vec::new(),
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
    let vm = rng.usize(..vms);
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

fn random_link_fault(rng: &mut Rng) -> LinkFault {
    match rng.u32(..4) {
        0 => LinkFault::Cut,
        1 => LinkFault::CutReplies,
        2 => LinkFault::Reset,
        _ => LinkFault::Delay(rng.u64(20..400)),
    }
}
