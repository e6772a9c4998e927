//! `placement`: processor time per start and what the choice of worker does to services.
//!
//! The same seeded load is placed by a [`Holder`](daisy_placement::Holder), by first fit and
//! at random. The holder's share of a core is that of all its work: reports, folds,
//! renewals, usage, placement. Its time per start is what 62 starts a second add to the same
//! cluster without any; that of the plain rules is their choice alone.
//!
//! `holder_unlimited` places in the same way and never limits batch work, so that what
//! placement does alone shows; its time per start is that of all its work.

use std::{
    collections::VecDeque,
    time::{Duration, Instant as Clock},
};

use daisy_model::{Incarnation, Instant, JobId, Resources, TaskId};
use daisy_placement::{Ceiling, ThrottleControl, ThrottleRule};

use crate::fleet::{BATCHES, Drive, Fleet, Nature, SERVICES, Spent};

/// Measures placement against first fit and random.
#[derive(Debug, argh::FromArgs)]
#[argh(subcommand, name = "placement")]
pub struct Args {
    /// seconds measured
    #[argh(option, default = "60")]
    seconds: u64,
    /// seed of the load
    #[argh(option, default = "1")]
    seed: u64,
}

/// Of a worker of Beaulac: 64 cores and 250 GB (the users' sizes of today).
const CAPACITY: Resources = Resources { cpu_milli: 64_000, memory_mib: 250_000, accelerators: 0 };
/// The users' size plan: 3,100 latency-critical and 23,000 batch tasks, 62 starts a second.
const SERVICE_TASKS: u32 = 3_100;
const BATCH_TASKS: u32 = 23_000;
const STARTS_PER_SECOND: u32 = 62;
/// Share of the processors that is declared.
const LOAD: f32 = 0.85;
const WARM_UP: Duration = Duration::from_secs(40);

/// The load of one run.
#[derive(Debug, Clone, Copy)]
struct Load {
    name: &'static str,
    /// Whether tasks start and end.
    moves: bool,
    workers: usize,
    service_tasks: u32,
    batch_tasks: u32,
    seconds: u64,
    seed: u64,
}

impl Load {
    /// Mean declared processors of a task, so that the load is the same at every size.
    fn mean_cpu(&self) -> f32 {
        let whole = self.workers as f32 * CAPACITY.cpu_milli as f32;
        whole * LOAD / (self.service_tasks + self.batch_tasks) as f32
    }

    fn size(&self, rng: &mut fastrand::Rng) -> Resources {
        let cpu = self.mean_cpu() * (0.25 + 1.5 * rng.f32());
        Resources { cpu_milli: cpu as u32, memory_mib: (cpu * 2.5) as u32, accelerators: 0 }
    }

    fn batch(&self, kind: usize, rng: &mut fastrand::Rng) -> Nature {
        let mean = self.batch_tasks as f32 / STARTS_PER_SECOND as f32;
        let work = if self.moves { mean * (0.2 + 1.6 * rng.f32()) } else { f32::INFINITY };
        Nature { service: false, kind, work }
    }
}

/// What came of one rule.
#[derive(Debug, Default)]
struct Outcome {
    per_start: Duration,
    core_share: f64,
    starts: usize,
    waiting: usize,
    evictions: usize,
    busy_p99: u64,
    slow_p99: u64,
    slow_mean: f64,
}

impl Outcome {
    fn of(fleet: &Fleet, spent: Duration, seconds: u64, waiting: usize) -> Outcome {
        Outcome {
            per_start: spent / (fleet.starts.max(1) as u32),
            core_share: spent.as_secs_f64() / seconds as f64,
            starts: fleet.starts,
            waiting,
            evictions: fleet.evictions,
            busy_p99: fleet.busy.value_at_quantile(0.99),
            slow_p99: fleet.slowdowns.value_at_quantile(0.99),
            slow_mean: fleet.slowdowns.mean(),
        }
    }

    fn print(&self, rule: &str, load: &str) -> String {
        let at = format!("{rule}_{load}");
        let line = format!(
            "{at}_us_per_start={:.1} {at}_core_percent={:.3} {at}_starts={} {at}_waiting={} \
             {at}_evicted={} {at}_busy_p99={} {at}_slow_p99={} {at}_slow_mean={:.0}",
            self.per_start.as_secs_f64() * 1e6,
            self.core_share * 100.0,
            self.starts,
            self.waiting,
            self.evictions,
            self.busy_p99,
            self.slow_p99,
            self.slow_mean,
        );
        println!("{line}");
        line
    }
}

/// Runs the measurement.
pub fn run(args: &Args) {
    let mut lines = Vec::new();
    for load in loads(args) {
        let upkeep = holder(&Load { moves: false, ..load });
        let mut moving = holder(&load);
        let added = (moving.core_share - upkeep.core_share).max(0.0) * load.seconds as f64;
        moving.per_start = Duration::from_secs_f64(added / moving.starts.max(1) as f64);
        println!("holder_{}_upkeep_core_percent={:.3}", load.name, upkeep.core_share * 100.0);
        lines.push(moving.print("holder", load.name));
        let off = ThrottleControl {
            rule: ThrottleRule::Off,
            interfering_only: false,
            ceiling: Ceiling::Fixed(1000),
        };
        lines.push(holder_under(&load, Some(off)).print("holder_unlimited", load.name));
        lines.push(plain(&load, Plain::FirstFit).print("first_fit", load.name));
        lines.push(plain(&load, Plain::Random).print("random", load.name));
    }
    println!("measure=placement seconds={} seed={} {}", args.seconds, args.seed, lines.join(" "));
}

/// One data centre with its part of the plan's tasks, one with all of them, and the whole
/// plan under one holder; 62 starts a second in each.
fn loads(args: &Args) -> [Load; 3] {
    let part = |tasks: u32| tasks * 130 / 790;
    let load = |name, workers, service_tasks, batch_tasks| Load {
        name,
        moves: true,
        workers,
        service_tasks,
        batch_tasks,
        seconds: args.seconds,
        seed: args.seed,
    };
    [
        load("130", 130, part(SERVICE_TASKS), part(BATCH_TASKS)),
        load("130_dense", 130, SERVICE_TASKS, BATCH_TASKS),
        load("790", 790, SERVICE_TASKS, BATCH_TASKS),
    ]
}

/// The tasks declared at the start: services, then batch work with a part of its run left.
fn first_jobs(load: &Load, rng: &mut fastrand::Rng) -> Vec<(String, u32, Resources, Nature)> {
    const SERVICE_REPLICAS: u32 = 10;
    const JOB_TASKS: u32 = 62;
    let mut jobs = Vec::new();
    for at in 0..load.service_tasks / SERVICE_REPLICAS {
        let kind = at as usize % SERVICES;
        let nature = Nature { service: true, kind, work: f32::INFINITY };
        jobs.push((format!("s{kind}x-{at}"), SERVICE_REPLICAS, load.size(rng), nature));
    }
    for at in 0..load.batch_tasks / JOB_TASKS {
        let kind = at as usize % BATCHES;
        let mut nature = load.batch(kind, rng);
        if load.moves {
            nature.work *= rng.f32();
        }
        jobs.push((format!("b{kind}x-{at}"), JOB_TASKS, load.size(rng), nature));
    }
    // Declared in one order, services would have workers of their own by accident.
    rng.shuffle(&mut jobs);
    jobs
}

/// The batch job declared in a second of the run.
fn next_job(load: &Load, second: u64, rng: &mut fastrand::Rng) -> (String, u32, Resources, Nature) {
    let kind = rng.usize(..BATCHES);
    let nature = load.batch(kind, rng);
    (format!("b{kind}x-1{second}"), STARTS_PER_SECOND, load.size(rng), nature)
}

fn holder(load: &Load) -> Outcome {
    holder_under(load, None)
}

/// The holder under a control that limits batch work, that of the policy if `None`.
fn holder_under(load: &Load, control: Option<ThrottleControl>) -> Outcome {
    let mut rng = fastrand::Rng::with_seed(load.seed);
    let fleet = Fleet::new(load.workers, CAPACITY, load.seed);
    let mut drive = Drive::new(fleet, CAPACITY, |options| options.limits.control = control);
    for (text, tasks, size, nature) in first_jobs(load, &mut rng) {
        drive.declare(&text, tasks, size, nature);
    }
    for second in 0..WARM_UP.as_secs() + load.seconds {
        if second == WARM_UP.as_secs() {
            drive.fleet.reset_counts();
            drive.spent = Spent::default();
        }
        if load.moves {
            let (text, tasks, size, nature) = next_job(load, second, &mut rng);
            drive.declare(&text, tasks, size, nature);
        }
        drive.run(Duration::from_secs(1));
    }
    assert_eq!(drive.fleet.no_room, 0, "a worker was given more than it holds");
    let waiting = drive.state.jobs.pending().len();
    let Spent { list, fold, report, tick } = drive.spent;
    println!(
        "load={} moves={} list_ms={} fold_ms={} report_ms={} tick_ms={}",
        load.name,
        load.moves,
        list.as_millis(),
        fold.as_millis(),
        report.as_millis(),
        tick.as_millis()
    );
    Outcome::of(&drive.fleet, drive.spent.sum(), load.seconds, waiting)
}

/// A plain rule.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Plain {
    FirstFit,
    Random,
}

fn plain(load: &Load, rule: Plain) -> Outcome {
    const TICK: Duration = Duration::from_millis(100);
    let mut rng = fastrand::Rng::with_seed(load.seed);
    let mut choice = fastrand::Rng::with_seed(load.seed);
    let mut fleet = Fleet::new(load.workers, CAPACITY, load.seed);
    let mut waiting: VecDeque<(TaskId, Resources)> = VecDeque::new();
    let mut next = 0;
    let mut declare =
        |fleet: &mut Fleet,
         waiting: &mut VecDeque<(TaskId, Resources)>,
         (_, tasks, size, nature): (String, u32, Resources, Nature)| {
            let job = JobId(next);
            next += 1;
            fleet.declare(job, nature);
            waiting.extend((0..tasks).map(|index| (TaskId { job, index }, size)));
        };
    for job in first_jobs(load, &mut rng) {
        declare(&mut fleet, &mut waiting, job);
    }
    let mut now = Instant::from_millis(1_000);
    let mut spent = Duration::ZERO;
    for second in 0..WARM_UP.as_secs() + load.seconds {
        if second == WARM_UP.as_secs() {
            fleet.reset_counts();
            spent = Duration::ZERO;
        }
        declare(&mut fleet, &mut waiting, next_job(load, second, &mut rng));
        for _ in 0..10 {
            now = now + TICK;
            fleet.advance(now, TICK.as_secs_f32());
            let free: Vec<Resources> = (0..fleet.len()).map(|at| fleet.free(at)).collect();
            spent += place_plain(rule, &mut fleet, free, &mut waiting, &mut choice);
        }
    }
    Outcome::of(&fleet, spent, load.seconds, waiting.len())
}

/// Places from the front of the line until something finds no room; returns the time taken.
fn place_plain(
    rule: Plain,
    fleet: &mut Fleet,
    mut free: Vec<Resources>,
    waiting: &mut VecDeque<(TaskId, Resources)>,
    rng: &mut fastrand::Rng,
) -> Duration {
    let mut spent = Duration::ZERO;
    while let Some((task, size)) = waiting.front().copied() {
        let started = Clock::now();
        let chosen = match rule {
            Plain::FirstFit => free.iter().position(|free| size.fits(*free)),
            Plain::Random => random_fit(&free, size, rng),
        };
        spent += started.elapsed();
        let Some(at) = chosen else { break };
        waiting.pop_front();
        free[at] = free[at].try_sub(size).unwrap_or(Resources::ZERO);
        fleet.start(at, task, Incarnation(1), size, None);
    }
    spent
}

/// Random workers until one has room, then the first that has.
fn random_fit(free: &[Resources], size: Resources, rng: &mut fastrand::Rng) -> Option<usize> {
    const TRIES: usize = 8;
    let tried = (0..TRIES).map(|_| rng.usize(..free.len()));
    let found = tried.into_iter().find(|at| size.fits(free[*at]));
    found.or_else(|| free.iter().position(|free| size.fits(*free)))
}
