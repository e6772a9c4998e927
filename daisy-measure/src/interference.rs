//! `interference`: what limiting batch work does for services, and what it costs.
//!
//! Noisy kinds come in waves, declared sizes are wrong, usage is reported five seconds
//! late. Every control runs under the same holder, the same seeds and the same load: four fifths
//! of the room is offered to batch work, or, with `--saturate`, more than there is.

use std::time::Duration;

use daisy_model::Resources;
use daisy_placement::{Ceiling, ThrottleControl, ThrottleRule};

use crate::fleet::{BATCHES, Drive, Fleet, Nature, SERVICES};

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
    /// workers (default 65, those of Beaulac's quotation service)
    #[argh(option, default = "65")]
    workers: usize,
    /// keep batch work waiting at all times
    #[argh(switch)]
    saturate: bool,
}

const CAPACITY: Resources = Resources { cpu_milli: 64_000, memory_mib: 250_000, accelerators: 0 };
const WARM_UP: Duration = Duration::from_secs(120);
/// Services hold a third of the declared processors.
const SERVICE_SIZE: Resources = Resources { cpu_milli: 4_000, memory_mib: 8_000, accelerators: 0 };
const REPLICAS_PER_WORKER: u32 = 5;
const BATCH_SIZE: Resources = Resources { cpu_milli: 3_000, memory_mib: 6_000, accelerators: 0 };
/// Seconds of work of a batch task, in the mean.
const WORK: f32 = 120.0;
const JOB_TASKS: u32 = 40;
/// Batch tasks that a worker has room for beside its services.
const SLOTS: f32 = 14.0;
/// Batch work offered, as a share of that room.
const OFFERED: f32 = 0.8;

/// The controls compared: alike for all batch work, or by harm and under a ceiling.
const CONTROLS: [(&str, ThrottleControl); 14] = [
    ("off", alike(ThrottleRule::Off)),
    ("static500", alike(ThrottleRule::Static(500))),
    ("static250", alike(ThrottleRule::Static(250))),
    ("aimd", alike(ThrottleRule::Aimd)),
    ("dpp_v1", alike(ThrottleRule::DriftPlusPenalty(1.0))),
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

const fn alike(rule: ThrottleRule) -> ThrottleControl {
    ThrottleControl { rule, interfering_only: false, ceiling: Ceiling::Fixed(1000) }
}

const fn interfering_only(rule: ThrottleRule, ceiling: Ceiling) -> ThrottleControl {
    ThrottleControl { rule, interfering_only: true, ceiling }
}

/// The users' orders of measures as weights: tail, throughput, evictions.
const USERS: [(&str, [f64; 3]); 2] =
    [("beaulac", [0.80, 0.15, 0.05]), ("confeitaria", [0.95, 0.04, 0.01])];

#[derive(Debug, Default)]
struct Outcome {
    slow_p99: f64,
    slow_p50: f64,
    work_per_second: f64,
    evictions_per_hour: f64,
    waiting: f64,
}

/// Runs the measurement.
pub fn run(args: &Args) {
    let outcomes: Vec<(&str, Outcome)> =
        CONTROLS.iter().map(|(name, control)| (*name, mean(args, *control))).collect();
    let free = outcomes[0].1.work_per_second;
    let mut line = format!("measure=interference seconds={} seeds={}", args.seconds, args.seeds);
    for (name, it) in &outcomes {
        let text = format!(
            "{name}_slow_p99={:.0} {name}_slow_p50={:.0} {name}_work={:.3} {name}_evictions_per_hour={:.0} {name}_waiting={:.0}",
            it.slow_p99,
            it.slow_p50,
            it.work_per_second / free,
            it.evictions_per_hour,
            it.waiting,
        );
        println!("{text}");
        line.push_str(&format!(" {text}"));
    }
    for (user, weights) in USERS {
        let losses = outcomes.iter().map(|(name, it)| (*name, loss(it, free, weights)));
        let mut losses: Vec<(&str, f64)> = losses.collect();
        losses.sort_by(|a, b| a.1.total_cmp(&b.1));
        let order: Vec<String> =
            losses.iter().map(|(name, it)| format!("{name}:{it:.3}")).collect();
        line.push_str(&format!(" {user}={}", order.join(",")));
        println!("{user}: {}", order.join(" "));
    }
    println!("{line}");
}

/// The weighted loss: slowdown at the 99th percentile above none, batch work lost, and
/// evictions, one a worker and hour counting as much as all batch work.
fn loss(it: &Outcome, free: f64, [tail, throughput, evictions]: [f64; 3]) -> f64 {
    tail * (it.slow_p99 / 1000.0 - 1.0)
        + throughput * (1.0 - it.work_per_second / free)
        + evictions * it.evictions_per_hour
}

fn mean(args: &Args, control: ThrottleControl) -> Outcome {
    let mut sum = Outcome::default();
    for seed in 0..args.seeds {
        let it = one(args, control, seed + 1);
        sum.slow_p99 += it.slow_p99 / args.seeds as f64;
        sum.slow_p50 += it.slow_p50 / args.seeds as f64;
        sum.work_per_second += it.work_per_second / args.seeds as f64;
        sum.evictions_per_hour += it.evictions_per_hour / args.seeds as f64;
        sum.waiting += it.waiting / args.seeds as f64;
    }
    sum
}

fn one(args: &Args, control: ThrottleControl, seed: u64) -> Outcome {
    let fleet = Fleet::new(args.workers, CAPACITY, seed);
    let mut drive = Drive::new(fleet, CAPACITY, |options| options.limits.control = Some(control));
    let mut rng = fastrand::Rng::with_seed(seed);
    let replicas = args.workers as u32 * REPLICAS_PER_WORKER / SERVICES as u32;
    for kind in 0..SERVICES {
        let nature = Nature { service: true, kind, work: f32::INFINITY };
        drive.declare(&format!("s{kind}x"), replicas, SERVICE_SIZE, nature);
    }
    let mut second = 0;
    let mut due = 0.0;
    let mut jobs = 0;
    let mut waiting = 0.0;
    while second < WARM_UP.as_secs() + args.seconds {
        if second == WARM_UP.as_secs() {
            drive.fleet.reset_counts();
            waiting = 0.0;
        }
        while args.saturate && drive.state.jobs.pending().len() < 200 || due <= second as f32 {
            due += JOB_TASKS as f32 * WORK / (args.workers as f32 * SLOTS * OFFERED);
            let kind = rng.usize(..BATCHES);
            let nature = Nature { service: false, kind, work: WORK * (0.5 + rng.f32()) };
            jobs += 1;
            drive.declare(&format!("b{kind}x-{jobs}"), JOB_TASKS, BATCH_SIZE, nature);
        }
        waiting += drive.state.jobs.pending().len() as f64;
        drive.run(Duration::from_secs(1));
        second += 1;
    }
    assert_eq!(drive.fleet.no_room, 0, "a worker was given more than it holds");
    let hours = args.seconds as f64 / 3600.0;
    Outcome {
        slow_p99: drive.fleet.slowdowns.value_at_quantile(0.99) as f64,
        slow_p50: drive.fleet.slowdowns.value_at_quantile(0.5) as f64,
        work_per_second: drive.fleet.work_done / args.seconds as f64,
        evictions_per_hour: drive.fleet.evictions as f64 / hours / args.workers as f64,
        waiting: waiting / args.seconds as f64,
    }
}
