//! `placement`: time per start, and how the choice of worker affects services.
//!
//! The same seeded load is placed by a [`Holder`](daisy_placement::Holder), by first fit and at
//! random. The holder's share of a core covers all its work: reports, folds, renewals, usage and
//! placement. Its time per start is the time that 62 starts a second add to that of the same cluster
//! without any starts. The time per start of the plain rules is that of choosing a worker only.
//!
//! `holder_unlimited` places in the same way and never limits batch work, so that it shows the effect
//! of placement alone. Its time per start is that of all its work divided by the starts.

use std::{
    collections::VecDeque,
    time::{Duration, Instant as RealInstant},
};

use daisy_model::{Incarnation, Instant, JobId, Resources, TaskId};
use daisy_placement::{Ceiling, ThrottleControl, ThrottleRule};

use crate::fleet::{
    BATCH_KINDS, HolderDriver, HolderTime, SERVICE_KINDS, TaskProfile, WorkerFleet,
};

/// Measures placement against first fit and random.
#[derive(Debug, argh::FromArgs)]
#[argh(subcommand, name = "placement")]
pub struct Args {
    /// seconds measured (default 60)
    #[argh(option, default = "60")]
    seconds: u64,
    /// seed of the load (default 1)
    #[argh(option, default = "1")]
    seed: u64,
}

/// Capacity of a worker of Beaulac: 64 cores and 250 GB (the users' current sizes).
const WORKER_CAPACITY: Resources =
    Resources { cpu_milli: 64_000, memory_mib: 250_000, accelerators: 0 };
/// The users' size plan: 3,100 latency-critical and 23,000 batch tasks, 62 starts a second.
const SERVICE_TASKS: u32 = 3_100;
const BATCH_TASKS: u32 = 23_000;
const STARTS_PER_SECOND: u32 = 62;
/// Share of all processors that the tasks declare.
const DECLARED_SHARE: f32 = 0.85;
const WARM_UP: Duration = Duration::from_secs(40);

/// The load of one run.
#[derive(Debug, Clone, Copy)]
struct Load {
    name: &'static str,
    /// Whether tasks start and end during the run.
    has_turnover: bool,
    workers: usize,
    service_tasks: u32,
    batch_tasks: u32,
    seconds: u64,
    seed: u64,
}

impl Load {
    /// Returns the mean processors that a task declares, in thousandths of a core. It depends on the
    /// number of tasks, so that the load is the same at every size.
    fn mean_cpu_milli(&self) -> f32 {
        let total_cpu_milli = self.workers as f32 * WORKER_CAPACITY.cpu_milli as f32;
        total_cpu_milli * DECLARED_SHARE / (self.service_tasks + self.batch_tasks) as f32
    }

    /// Draws the size of a task.
    fn draw_size(&self, rng: &mut fastrand::Rng) -> Resources {
        let cpu = self.mean_cpu_milli() * (0.25 + 1.5 * rng.f32());
        Resources { cpu_milli: cpu as u32, memory_mib: (cpu * 2.5) as u32, accelerators: 0 }
    }

    /// Draws the work of a batch task of a kind; endless if the load has no turnover.
    fn draw_batch_profile(&self, kind: usize, rng: &mut fastrand::Rng) -> TaskProfile {
        let mean = self.batch_tasks as f32 / STARTS_PER_SECOND as f32;
        let work_s = if self.has_turnover { mean * (0.2 + 1.6 * rng.f32()) } else { f32::INFINITY };
        TaskProfile { is_service: false, kind, work_s }
    }
}

/// Results of one rule.
#[derive(Debug, Default)]
struct RuleResult {
    time_per_start: Duration,
    core_share: f64,
    starts: usize,
    waiting: usize,
    evictions: usize,
    busy_p99: u64,
    slow_p99: u64,
    slow_mean: f64,
}

impl RuleResult {
    fn of(fleet: &WorkerFleet, time_spent: Duration, seconds: u64, waiting: usize) -> RuleResult {
        RuleResult {
            time_per_start: time_spent / (fleet.starts.max(1) as u32),
            core_share: time_spent.as_secs_f64() / seconds as f64,
            starts: fleet.starts,
            waiting,
            evictions: fleet.evictions,
            busy_p99: fleet.cpu_use.value_at_quantile(0.99),
            slow_p99: fleet.slowdowns.value_at_quantile(0.99),
            slow_mean: fleet.slowdowns.mean(),
        }
    }

    fn print(&self, rule: &str, load: &str) -> String {
        let at = format!("{rule}_{load}");
        let line = format!(
            "{at}_us_per_start={:.1} {at}_core_percent={:.3} {at}_starts={} {at}_waiting={} \
             {at}_evicted={} {at}_busy_p99={} {at}_slow_p99={} {at}_slow_mean={:.0}",
            self.time_per_start.as_secs_f64() * 1e6,
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
        let without_turnover = measure_holder(&Load { has_turnover: false, ..load });
        let mut with_turnover = measure_holder(&load);
        let added =
            (with_turnover.core_share - without_turnover.core_share).max(0.0) * load.seconds as f64;
        with_turnover.time_per_start =
            Duration::from_secs_f64(added / with_turnover.starts.max(1) as f64);
        println!(
            "holder_{}_upkeep_core_percent={:.3}",
            load.name,
            without_turnover.core_share * 100.0
        );
        lines.push(with_turnover.print("holder", load.name));
        let off = ThrottleControl {
            rule: ThrottleRule::Off,
            interfering_only: false,
            ceiling: Ceiling::Fixed(1000),
        };
        lines.push(measure_holder_with(&load, Some(off)).print("holder_unlimited", load.name));
        lines.push(measure_plain(&load, PlainRule::FirstFit).print("first_fit", load.name));
        lines.push(measure_plain(&load, PlainRule::Random).print("random", load.name));
    }
    println!("measure=placement seconds={} seed={} {}", args.seconds, args.seed, lines.join(" "));
}

/// Returns three loads: a data centre with its part of the plan's tasks, one with all of them, and the
/// whole plan under one holder. Each has 62 starts a second.
fn loads(args: &Args) -> [Load; 3] {
    let dc_share = |tasks: u32| tasks * 130 / 790;
    let load = |name, workers, service_tasks, batch_tasks| Load {
        name,
        has_turnover: true,
        workers,
        service_tasks,
        batch_tasks,
        seconds: args.seconds,
        seed: args.seed,
    };
    [
        load("130", 130, dc_share(SERVICE_TASKS), dc_share(BATCH_TASKS)),
        load("130_dense", 130, SERVICE_TASKS, BATCH_TASKS),
        load("790", 790, SERVICE_TASKS, BATCH_TASKS),
    ]
}

/// Draws the jobs declared at the start: services, and batch work that has already done a part of its
/// work.
fn draw_first_jobs(
    load: &Load,
    rng: &mut fastrand::Rng,
) -> Vec<(String, u32, Resources, TaskProfile)> {
    const SERVICE_REPLICAS: u32 = 10;
    const JOB_TASKS: u32 = 62;
    let mut jobs = Vec::new();
    for at in 0..load.service_tasks / SERVICE_REPLICAS {
        let kind = at as usize % SERVICE_KINDS;
        let profile = TaskProfile { is_service: true, kind, work_s: f32::INFINITY };
        jobs.push((format!("s{kind}x-{at}"), SERVICE_REPLICAS, load.draw_size(rng), profile));
    }
    for at in 0..load.batch_tasks / JOB_TASKS {
        let kind = at as usize % BATCH_KINDS;
        let mut profile = load.draw_batch_profile(kind, rng);
        if load.has_turnover {
            profile.work_s *= rng.f32();
        }
        jobs.push((format!("b{kind}x-{at}"), JOB_TASKS, load.draw_size(rng), profile));
    }
    // Without the shuffle, services would be declared first and would fill workers of their own.
    rng.shuffle(&mut jobs);
    jobs
}

/// Draws the batch job that is declared in a second of the run.
fn draw_next_job(
    load: &Load,
    second: u64,
    rng: &mut fastrand::Rng,
) -> (String, u32, Resources, TaskProfile) {
    let kind = rng.usize(..BATCH_KINDS);
    let profile = load.draw_batch_profile(kind, rng);
    (format!("b{kind}x-1{second}"), STARTS_PER_SECOND, load.draw_size(rng), profile)
}

/// Measures the holder under the policy's own control.
fn measure_holder(load: &Load) -> RuleResult {
    measure_holder_with(load, None)
}

/// Measures the holder under a control that limits batch work, or under the policy's own if `None`.
fn measure_holder_with(load: &Load, control: Option<ThrottleControl>) -> RuleResult {
    let mut rng = fastrand::Rng::with_seed(load.seed);
    let fleet = WorkerFleet::new(load.workers, WORKER_CAPACITY, load.seed);
    let mut driver =
        HolderDriver::new(fleet, WORKER_CAPACITY, |options| options.limits.control = control);
    for (text, tasks, size, profile) in draw_first_jobs(load, &mut rng) {
        driver.create_job(&text, tasks, size, profile);
    }
    for second in 0..WARM_UP.as_secs() + load.seconds {
        if second == WARM_UP.as_secs() {
            driver.fleet.reset_counts();
            driver.time_spent = HolderTime::default();
        }
        if load.has_turnover {
            let (text, tasks, size, profile) = draw_next_job(load, second, &mut rng);
            driver.create_job(&text, tasks, size, profile);
        }
        driver.run(Duration::from_secs(1));
    }
    assert_eq!(
        driver.fleet.starts_without_capacity, 0,
        "a worker was sent a task that exceeds its free capacity"
    );
    let waiting = driver.state.jobs.pending().len();
    let HolderTime { list, fold, report, tick } = driver.time_spent;
    println!(
        "load={} moves={} list_ms={} fold_ms={} report_ms={} tick_ms={}",
        load.name,
        load.has_turnover,
        list.as_millis(),
        fold.as_millis(),
        report.as_millis(),
        tick.as_millis()
    );
    RuleResult::of(&driver.fleet, driver.time_spent.sum(), load.seconds, waiting)
}

/// A baseline for the choice of a worker.
#[derive(Debug, Clone, Copy, PartialEq)]
enum PlainRule {
    FirstFit,
    Random,
}

/// Measures a plain rule.
fn measure_plain(load: &Load, rule: PlainRule) -> RuleResult {
    const TICK: Duration = Duration::from_millis(100);
    let mut rng = fastrand::Rng::with_seed(load.seed);
    let mut choice_rng = fastrand::Rng::with_seed(load.seed);
    let mut fleet = WorkerFleet::new(load.workers, WORKER_CAPACITY, load.seed);
    let mut waiting: VecDeque<(TaskId, Resources)> = VecDeque::new();
    let mut next = 0;
    let mut add_waiting =
        |fleet: &mut WorkerFleet,
         waiting: &mut VecDeque<(TaskId, Resources)>,
         (_, tasks, size, profile): (String, u32, Resources, TaskProfile)| {
            let job = JobId(next);
            next += 1;
            fleet.set_profile(job, profile);
            waiting.extend((0..tasks).map(|index| (TaskId { job, index }, size)));
        };
    for job in draw_first_jobs(load, &mut rng) {
        add_waiting(&mut fleet, &mut waiting, job);
    }
    let mut now = Instant::from_millis(1_000);
    let mut time_spent = Duration::ZERO;
    for second in 0..WARM_UP.as_secs() + load.seconds {
        if second == WARM_UP.as_secs() {
            fleet.reset_counts();
            time_spent = Duration::ZERO;
        }
        add_waiting(&mut fleet, &mut waiting, draw_next_job(load, second, &mut rng));
        for _ in 0..10 {
            now = now + TICK;
            fleet.advance(now, TICK.as_secs_f32());
            let free: Vec<Resources> = (0..fleet.len()).map(|at| fleet.free(at)).collect();
            time_spent += place_plain(rule, &mut fleet, free, &mut waiting, &mut choice_rng);
        }
    }
    RuleResult::of(&fleet, time_spent, load.seconds, waiting.len())
}

/// Places tasks from the front of the queue until one fits on no worker, and returns the time spent on
/// choosing workers.
fn place_plain(
    rule: PlainRule,
    fleet: &mut WorkerFleet,
    mut free: Vec<Resources>,
    waiting: &mut VecDeque<(TaskId, Resources)>,
    rng: &mut fastrand::Rng,
) -> Duration {
    let mut time_spent = Duration::ZERO;
    while let Some((task, size)) = waiting.front().copied() {
        let started = RealInstant::now();
        let chosen = match rule {
            PlainRule::FirstFit => free.iter().position(|free| size.fits(*free)),
            PlainRule::Random => random_fit(&free, size, rng),
        };
        time_spent += started.elapsed();
        let Some(at) = chosen else { break };
        waiting.pop_front();
        free[at] = free[at].try_sub(size).unwrap_or(Resources::ZERO);
        fleet.start(at, task, Incarnation(1), size, None);
    }
    time_spent
}

/// Returns the first of 8 random workers on which the size fits, or else the first worker on which it
/// fits.
fn random_fit(free: &[Resources], size: Resources, rng: &mut fastrand::Rng) -> Option<usize> {
    const TRIES: usize = 8;
    let tried = (0..TRIES).map(|_| rng.usize(..free.len()));
    let found = tried.into_iter().find(|at| size.fits(free[*at]));
    found.or_else(|| free.iter().position(|free| size.fits(*free)))
}
