//! `interference`: how much limiting batch work helps services, and what it costs.
//!
//! Noisy kinds interfere in waves, declared sizes are wrong, and usage is reported five seconds late.
//! Every control runs under the same holder, the same seeds and the same load: the batch work offered
//! needs four fifths of the capacity left for it, or, with `--saturate`, more than there is.

use std::time::Duration;

use daisy_model::Resources;
use daisy_placement::{Ceiling, ThrottleControl, ThrottleRule};

use crate::fleet::{BATCH_KINDS, HolderDriver, SERVICE_KINDS, TaskProfile, WorkerFleet};

/// Measures the controls that limit batch work.
#[derive(Debug, argh::FromArgs)]
#[argh(subcommand, name = "interference")]
pub struct Args {
    /// seconds measured for each seed (default 600)
    #[argh(option, default = "600")]
    seconds: u64,
    /// number of seeds (default 3)
    #[argh(option, default = "3")]
    seeds: u64,
    /// number of workers (default 65, those of Beaulac's quotation service)
    #[argh(option, default = "65")]
    workers: usize,
    /// keep batch work waiting at all times
    #[argh(switch)]
    saturate: bool,
}

const WORKER_CAPACITY: Resources =
    Resources { cpu_milli: 64_000, memory_mib: 250_000, accelerators: 0 };
const WARM_UP: Duration = Duration::from_secs(120);
/// Services hold a third of the declared processors.
const SERVICE_SIZE: Resources = Resources { cpu_milli: 4_000, memory_mib: 8_000, accelerators: 0 };
const REPLICAS_PER_WORKER: u32 = 5;
const BATCH_SIZE: Resources = Resources { cpu_milli: 3_000, memory_mib: 6_000, accelerators: 0 };
/// Mean work of a batch task, in seconds.
const MEAN_WORK_S: f32 = 120.0;
const TASKS_PER_JOB: u32 = 40;
/// Number of batch tasks that fit on a worker beside its services.
const BATCH_TASKS_PER_WORKER: f32 = 14.0;
/// Batch work offered, as a share of the work of that many tasks.
const OFFERED_SHARE: f32 = 0.8;

/// The controls compared: those that limit all batch work alike, and those that limit only tasks that
/// interfere, under a ceiling.
const CONTROLS: [(&str, ThrottleControl); 14] = [
    ("off", all_batch_work(ThrottleRule::Off)),
    ("static500", all_batch_work(ThrottleRule::Static(500))),
    ("static250", all_batch_work(ThrottleRule::Static(250))),
    ("aimd", all_batch_work(ThrottleRule::Aimd)),
    ("dpp_v1", all_batch_work(ThrottleRule::DriftPlusPenalty(1.0))),
    ("static250h", interfering_only(ThrottleRule::Static(250), Ceiling::Fixed(1000))),
    ("aimd_h", interfering_only(ThrottleRule::Aimd, Ceiling::Fixed(1000))),
    ("aimd_h200", interfering_only(ThrottleRule::Aimd, Ceiling::Fixed(200))),
    ("aimd_b1", interfering_only(ThrottleRule::Aimd, Ceiling::Backlog(1.0))),
    ("aimd_b3", interfering_only(ThrottleRule::Aimd, Ceiling::Backlog(3.0))),
    ("aimd_b5", interfering_only(ThrottleRule::Aimd, Ceiling::Backlog(5.0))),
    ("aimd_b12", interfering_only(ThrottleRule::Aimd, Ceiling::Backlog(12.0))),
    ("dpp_v1h", interfering_only(ThrottleRule::DriftPlusPenalty(1.0), Ceiling::Fixed(1000))),
    ("off_b1", interfering_only(ThrottleRule::Off, Ceiling::Backlog(1.0))),
];

const fn all_batch_work(rule: ThrottleRule) -> ThrottleControl {
    ThrottleControl { rule, interfering_only: false, ceiling: Ceiling::Fixed(1000) }
}

const fn interfering_only(rule: ThrottleRule, ceiling: Ceiling) -> ThrottleControl {
    ThrottleControl { rule, interfering_only: true, ceiling }
}

/// How each user ranks the measures, as weights of tail slowdown, throughput and evictions.
const USER_WEIGHTS: [(&str, [f64; 3]); 2] =
    [("beaulac", [0.80, 0.15, 0.05]), ("confeitaria", [0.95, 0.04, 0.01])];

/// Results of one control.
#[derive(Debug, Default)]
struct Outcome {
    /// Slowdown of services at the 99th percentile, in thousandths.
    slow_p99: f64,
    slow_p50: f64,
    work_per_second: f64,
    /// Evictions an hour on each worker.
    evictions_per_hour: f64,
    /// Mean number of tasks that wait.
    waiting: f64,
}

/// Runs the measurement.
pub fn run(args: &Args) {
    let outcomes: Vec<(&str, Outcome)> =
        CONTROLS.iter().map(|(name, control)| (*name, measure_mean(args, *control))).collect();
    let unlimited_work = outcomes[0].1.work_per_second;
    let mut line = format!("measure=interference seconds={} seeds={}", args.seconds, args.seeds);
    for (name, it) in &outcomes {
        let text = format!(
            "{name}_slow_p99={:.0} {name}_slow_p50={:.0} {name}_work={:.3} {name}_evictions_per_hour={:.0} {name}_waiting={:.0}",
            it.slow_p99,
            it.slow_p50,
            it.work_per_second / unlimited_work,
            it.evictions_per_hour,
            it.waiting,
        );
        println!("{text}");
        line.push_str(&format!(" {text}"));
    }
    for (user, weights) in USER_WEIGHTS {
        let losses = outcomes.iter().map(|(name, it)| (*name, loss(it, unlimited_work, weights)));
        let mut losses: Vec<(&str, f64)> = losses.collect();
        losses.sort_by(|a, b| a.1.total_cmp(&b.1));
        let order: Vec<String> =
            losses.iter().map(|(name, it)| format!("{name}:{it:.3}")).collect();
        line.push_str(&format!(" {user}={}", order.join(",")));
        println!("{user}: {}", order.join(" "));
    }
    println!("{line}");
}

/// Returns the weighted loss: the excess of the 99th percentile of slowdown over no slowdown, the
/// share of batch work lost, and evictions. One eviction an hour on each worker weighs as much as
/// losing all batch work.
fn loss(it: &Outcome, unlimited_work: f64, [tail, throughput, evictions]: [f64; 3]) -> f64 {
    tail * (it.slow_p99 / 1000.0 - 1.0)
        + throughput * (1.0 - it.work_per_second / unlimited_work)
        + evictions * it.evictions_per_hour
}

/// Returns the mean results of a control over all seeds.
fn measure_mean(args: &Args, control: ThrottleControl) -> Outcome {
    let mut sum = Outcome::default();
    for seed in 0..args.seeds {
        let it = measure_seed(args, control, seed + 1);
        sum.slow_p99 += it.slow_p99 / args.seeds as f64;
        sum.slow_p50 += it.slow_p50 / args.seeds as f64;
        sum.work_per_second += it.work_per_second / args.seeds as f64;
        sum.evictions_per_hour += it.evictions_per_hour / args.seeds as f64;
        sum.waiting += it.waiting / args.seeds as f64;
    }
    sum
}

/// Returns the results of a control with one seed.
fn measure_seed(args: &Args, control: ThrottleControl, seed: u64) -> Outcome {
    let fleet = WorkerFleet::new(args.workers, WORKER_CAPACITY, seed);
    let mut driver =
        HolderDriver::new(fleet, WORKER_CAPACITY, |options| options.limits.control = Some(control));
    let mut rng = fastrand::Rng::with_seed(seed);
    let replicas = args.workers as u32 * REPLICAS_PER_WORKER / SERVICE_KINDS as u32;
    for kind in 0..SERVICE_KINDS {
        let profile = TaskProfile { is_service: true, kind, work_s: f32::INFINITY };
        driver.create_job(&format!("s{kind}x"), replicas, SERVICE_SIZE, profile);
    }
    let mut elapsed_s = 0;
    let mut next_job_due_s = 0.0;
    let mut jobs = 0;
    let mut waiting = 0.0;
    while elapsed_s < WARM_UP.as_secs() + args.seconds {
        if elapsed_s == WARM_UP.as_secs() {
            driver.fleet.reset_counts();
            waiting = 0.0;
        }
        while args.saturate && driver.state.jobs.pending().len() < 200
            || next_job_due_s <= elapsed_s as f32
        {
            next_job_due_s += TASKS_PER_JOB as f32 * MEAN_WORK_S
                / (args.workers as f32 * BATCH_TASKS_PER_WORKER * OFFERED_SHARE);
            let kind = rng.usize(..BATCH_KINDS);
            let profile =
                TaskProfile { is_service: false, kind, work_s: MEAN_WORK_S * (0.5 + rng.f32()) };
            jobs += 1;
            driver.create_job(&format!("b{kind}x-{jobs}"), TASKS_PER_JOB, BATCH_SIZE, profile);
        }
        waiting += driver.state.jobs.pending().len() as f64;
        driver.run(Duration::from_secs(1));
        elapsed_s += 1;
    }
    assert_eq!(
        driver.fleet.starts_without_capacity, 0,
        "a worker was sent a task that exceeds its free capacity"
    );
    let hours = args.seconds as f64 / 3600.0;
    Outcome {
        slow_p99: driver.fleet.slowdowns.value_at_quantile(0.99) as f64,
        slow_p50: driver.fleet.slowdowns.value_at_quantile(0.5) as f64,
        work_per_second: driver.fleet.work_done / args.seconds as f64,
        evictions_per_hour: driver.fleet.evictions as f64 / hours / args.workers as f64,
        waiting: waiting / args.seconds as f64,
    }
}
