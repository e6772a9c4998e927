//! What goes wrong, and when, as a seed has it.

use std::time::Duration;

use fastrand::Rng;

/// Something that goes wrong.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// A process is killed and starts again after this long.
    Kill(usize, Duration),
    /// All processes are killed and start again after this long.
    KillAll(Duration),
    /// A process stands still for this long.
    Pause(usize, Duration),
    /// A process is stopped as planned, and starts again when it has ended.
    Terminate(usize),
    /// A process is told that its settings changed.
    Hangup(usize),
    /// A process's link to the log is bad for this long.
    Store(usize, Way, Duration),
    /// A worker's link is bad for this long.
    Worker(usize, Way, Duration),
    /// A worker crashes and starts again.
    Crash(usize),
    /// A worker says nothing to orders and carries them out this long after.
    DelaysStarts(usize, Duration),
    /// The log does nothing and says so, for this long.
    LogBusy(Duration),
    /// The log says nothing for this long.
    LogSilent(Duration),
    /// The log appends without an answer for this long.
    LogLosesAnswers(Duration),
    /// Appends take this long each, for this long.
    LogSlow(Duration, Duration),
    /// The log drops the history of what processes read.
    Forget,
    /// Operators publish a configuration.
    Configure,
}

/// How a link is bad.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Way {
    /// Nothing passes.
    Cut,
    /// Nothing comes back.
    CutBack,
    /// Connections are reset.
    Reset,
    /// All takes this many milliseconds more.
    Delay(u64),
}

/// A seed's schedule.
#[derive(Debug)]
pub struct Plan {
    /// VMs.
    pub vms: usize,
    /// Workers.
    pub workers: usize,
    /// How long callers come.
    pub length: Duration,
    /// When, and what; in the order of time.
    pub faults: Vec<(Duration, Fault)>,
    /// How fast each worker's clock runs, in thousandths.
    pub clocks: Vec<u64>,
}

impl Plan {
    /// The schedule of a seed. Every fifth has several shards.
    pub fn new(seed: u64) -> Plan {
        /// Above this many, workers are divided among two owners.
        const SHARDED: usize = 105;
        const FEW: usize = 6;
        let mut rng = Rng::with_seed(seed);
        let vms = rng.usize(2..=4);
        let workers = if seed.is_multiple_of(5) { SHARDED } else { FEW };
        let length = Duration::from_secs(8);
        let count = rng.usize(3..=9);
        let mut faults: Vec<_> =
            (0..count).map(|_| (time(&mut rng, 300..7_500), fault(&mut rng, vms))).collect();
        faults.sort_by_key(|(at, _)| *at);
        // The platform's contract allows clocks that are 2 % slow.
        let clocks = (0..workers).map(|_| rng.u64(980..=1_000)).collect();
        Plan { vms, workers, length, faults, clocks }
    }
}

fn time(rng: &mut Rng, millis: std::ops::Range<u64>) -> Duration {
    Duration::from_millis(rng.u64(millis))
}

fn fault(rng: &mut Rng, vms: usize) -> Fault {
    /// Workers that have a link of their own.
    const LINKED: usize = 6;
    let vm = rng.usize(..vms);
    let worker = rng.usize(..LINKED);
    match rng.u32(..17) {
        0 | 1 => Fault::Kill(vm, time(rng, 50..2_500)),
        2 => Fault::KillAll(time(rng, 50..1_500)),
        3 | 4 => Fault::Pause(vm, time(rng, 200..4_000)),
        5 => Fault::Terminate(vm),
        6 => Fault::Hangup(vm),
        7 | 8 => Fault::Store(vm, way(rng), time(rng, 300..5_000)),
        9 | 10 => Fault::Worker(worker, way(rng), time(rng, 300..7_000)),
        11 => Fault::Crash(worker),
        12 => Fault::DelaysStarts(worker, time(rng, 500..4_000)),
        13 => match rng.bool() {
            true => Fault::LogBusy(time(rng, 300..4_000)),
            false => Fault::LogSilent(time(rng, 300..4_000)),
        },
        14 => Fault::LogLosesAnswers(time(rng, 300..3_000)),
        15 => match rng.bool() {
            true => Fault::LogSlow(time(rng, 40..200), time(rng, 300..4_000)),
            false => Fault::Forget,
        },
        _ => Fault::Configure,
    }
}

fn way(rng: &mut Rng) -> Way {
    match rng.u32(..4) {
        0 => Way::Cut,
        1 => Way::CutBack,
        2 => Way::Reset,
        _ => Way::Delay(rng.u64(20..400)),
    }
}
