//! Mixes of jobs drawn from a seed, and when the jobs arrive.

use std::sync::Arc;

use daisy_model::{Instant, Resources};
use daisy_workflow::{JobSpec, StepSpec, Terms};

/// Target of a long-running job's tail latency, in milliseconds.
pub const TARGET_MS: u32 = 50;
/// Number of images of serving tasks.
pub const SERVING_IMAGES: u32 = 16;
/// Number of images of best-effort tasks.
pub const BEST_EFFORT_IMAGES: u32 = 30;
/// Time before the measured part, in which the fleet fills with long-running jobs, in milliseconds.
pub const WARM_UP_MS: u64 = 10_000;

/// The kinds of jobs of a load. Task sizes are shares of one of the smaller workers.
#[derive(Debug, Clone, Copy)]
pub struct Mix {
    /// Cores of the smaller workers. Every third worker has 1.5 times as many.
    pub cores: u32,
    /// Size of a long-running task.
    long_running_size: f64,
    /// Share of all cores that long-running tasks fill at first.
    initial_fill: f64,
    /// Mean time until a long-running job is cancelled, in seconds.
    mean_stay_s: f64,
    /// Mean stay, in seconds, at which as many long-running jobs would leave as arrive. It gives the
    /// arrival rate.
    turnover_s: f64,
    /// Size of a finite task.
    finite_size: f64,
    /// Share of all cores that finite tasks need.
    finite_load: f64,
    /// Size of a best-effort task.
    best_effort_size: f64,
    /// Share of all cores that best-effort tasks need.
    best_effort_load: f64,
}

/// A job that arrives, and facts about it that its owner does not know.
#[derive(Debug, Clone)]
pub struct Arrival {
    /// When it arrives.
    pub at: Instant,
    /// The specification that is submitted.
    pub spec: JobSpec,
    /// Its number, in order of arrival.
    pub id: u64,
    /// Actual milliseconds of work of each task, by step.
    pub work_ms: Vec<Vec<u32>>,
    /// When it is cancelled, if it is long-running.
    pub cancelled_at: Option<Instant>,
}

impl Arrival {
    /// Returns the job's time limit in milliseconds: its actual work along the chain of steps,
    /// multiplied by its slack, plus its target latency.
    pub fn objective_ms(&self) -> u64 {
        let chain: u64 =
            self.work_ms.iter().filter_map(|it| it.iter().max()).map(|it| u64::from(*it)).sum();
        let Terms { slack_permille, target_latency_ms, .. } = self.spec.terms;
        chain * u64::from(slack_permille) / 1_000 + u64::from(target_latency_ms)
    }

    /// Returns the processors that its widest step requests, in thousandths of a core.
    pub fn width(&self) -> u64 {
        let cpu = |it: &StepSpec| u64::from(it.count) * u64::from(it.need.cpu_milli);
        self.spec.steps.iter().map(cpu).max().unwrap_or_default()
    }
}

impl Mix {
    /// Long-running jobs arrive and hardly ever end, until they hold nearly all processors.
    pub const FILLING: Mix = Mix {
        cores: 64,
        long_running_size: 0.2,
        initial_fill: 0.84,
        mean_stay_s: 1_700.0,
        turnover_s: 170.0,
        finite_size: 0.33,
        finite_load: 0.05,
        best_effort_size: 0.11,
        best_effort_load: 0.3,
    };

    /// Draws a mix.
    pub fn draw(rng: &mut fastrand::Rng) -> Mix {
        let cores = [16, 64][rng.usize(..2)];
        let long_running_size = draw_between(rng, 0.12, 0.26);
        let initial_fill = draw_between(rng, 0.70, 0.84);
        let mean_stay_s = draw_between(rng, 50.0, 90.0);
        Mix {
            cores,
            long_running_size,
            initial_fill,
            mean_stay_s,
            turnover_s: mean_stay_s,
            finite_size: draw_between(rng, 0.12, 0.36),
            finite_load: draw_between(rng, 0.03, 0.07),
            best_effort_size: draw_between(rng, 0.08, 0.16),
            best_effort_load: draw_between(rng, 0.25, 0.4),
        }
    }

    /// Returns all jobs of a run of `seconds` on workers with `cores` in all, in order of arrival.
    pub fn arrivals(self, rng: &mut fastrand::Rng, cores: u64, seconds: u64) -> Vec<Arrival> {
        let mut all = Vec::new();
        let end_ms = WARM_UP_MS + seconds * 1_000;
        let mut filled = 0.0;
        while filled < self.initial_fill * cores as f64 {
            let at = rng.u64(500..WARM_UP_MS - 2_000);
            let job = self.long_running_job(rng, at);
            filled += job.width() as f64 / 1_000.0;
            all.push(job);
        }
        // Long-running jobs arrive at the rate at which they would leave after `turnover_s`, so that
        // the fleet stays as full as it was if this is their mean stay.
        let width = filled / all.len() as f64;
        let rate = filled / width / self.turnover_s * 1.15;
        self.add_arrivals(rng, &mut all, rate, end_ms, Mix::long_running_job);
        let finite_core_s = 1.6 * 9.0 * 0.64 * self.finite_size * f64::from(self.cores);
        let rate = self.finite_load * cores as f64 / finite_core_s;
        self.add_arrivals(rng, &mut all, rate, end_ms, Mix::finite_job);
        let best_effort_core_s = 2.0 * 30.0 * 2.2 * self.best_effort_size * f64::from(self.cores);
        let rate = self.best_effort_load * cores as f64 / best_effort_core_s;
        self.add_arrivals(rng, &mut all, rate, end_ms, Mix::best_effort_job);
        all.sort_by_key(|it| it.at);
        (0..).zip(&mut all).for_each(|(id, it)| it.id = id);
        all
    }

    /// Adds jobs that arrive at random, `rate` a second, from the end of the warm-up to `end_ms`.
    fn add_arrivals(
        self,
        rng: &mut fastrand::Rng,
        all: &mut Vec<Arrival>,
        rate: f64,
        end_ms: u64,
        job: impl Fn(Mix, &mut fastrand::Rng, u64) -> Arrival,
    ) {
        let mut at = WARM_UP_MS as f64;
        loop {
            at += -rng.f64().max(1e-9).ln() / rate * 1_000.0;
            if at as u64 >= end_ms {
                return;
            }
            all.push(job(self, rng, at as u64));
        }
    }

    fn long_running_job(self, rng: &mut fastrand::Rng, at_ms: u64) -> Arrival {
        let image = format!("serve-{}", rng.u32(..SERVING_IMAGES));
        let step = StepSpec {
            count: draw_around(rng, 24.0, 0.4).round().clamp(1.0, 48.0) as u32,
            need: self.need(rng, self.long_running_size, 0.25, 0.32),
            long_running: true,
            image: Some(image.into()),
            target_ms: TARGET_MS,
            max_per_worker: if rng.bool() { 2 } else { 0 },
            ..StepSpec::default()
        };
        let stay_ms = (draw_around(rng, self.mean_stay_s, 0.5) * 1_000.0) as u64;
        let cancelled_at = Some(Instant::from_millis(at_ms + stay_ms));
        Arrival { cancelled_at, ..arrival(at_ms, vec![step], vec![Vec::new()], 0) }
    }

    fn finite_job(self, rng: &mut fastrand::Rng, at_ms: u64) -> Arrival {
        let need = self.need(rng, self.finite_size, 0.45, 1.0);
        let steps = if rng.f64() < 0.6 { 2 } else { 1 };
        self.chain(rng, at_ms, steps, 9.0, 640.0, StepSpec { need, ..StepSpec::default() })
    }

    fn best_effort_job(self, rng: &mut fastrand::Rng, at_ms: u64) -> Arrival {
        let image = format!("batch-{}", rng.u32(..BEST_EFFORT_IMAGES));
        let step = StepSpec {
            need: self.need(rng, self.best_effort_size, 0.3, 0.25),
            best_effort: true,
            checkpoints: true,
            image: Some(image.into()),
            ..StepSpec::default()
        };
        self.chain(rng, at_ms, 2, 30.0, 2_200.0, step)
    }

    /// Draws a job whose steps each depend on the step before.
    fn chain(
        self,
        rng: &mut fastrand::Rng,
        at_ms: u64,
        steps: u16,
        width: f64,
        mean_ms: f64,
        template: StepSpec,
    ) -> Arrival {
        let mut all = Vec::new();
        let mut work = Vec::new();
        for at in 0..steps {
            let count = draw_around(rng, width, 0.7).round().clamp(1.0, 160.0) as u32;
            let base = draw_around(rng, mean_ms, 0.5).clamp(50.0, mean_ms * 2.5);
            let estimate_ms = draw_around(rng, base, 0.3) as u32;
            let depends_on = if at == 0 { Vec::new() } else { vec![at - 1] };
            all.push(StepSpec { count, estimate_ms, depends_on, ..template.clone() });
            work.push((0..count).map(|_| draw_around(rng, base, 0.2) as u32).collect());
        }
        arrival(at_ms, all, work, if template.best_effort { 2 } else { 0 })
    }

    /// Draws a size around a share of a worker, up to `largest`. Memory is half of what would be in
    /// proportion to the processors.
    fn need(self, rng: &mut fastrand::Rng, share: f64, sigma: f64, largest: f64) -> Resources {
        let share = draw_around(rng, share, sigma).clamp(0.02, largest);
        let milli = f64::from(self.cores) * 1_000.0;
        let memory_mib = (share * milli * MIB_PER_MILLI * 0.5) as u32;
        Resources { cpu_milli: (share * milli) as u32, memory_mib, accelerators: 0 }
    }
}

/// Memory of a worker for each thousandth of a core, in MiB.
pub const MIB_PER_MILLI: f64 = 3.9;

fn arrival(at_ms: u64, steps: Vec<StepSpec>, work_ms: Vec<Vec<u32>>, priority: i32) -> Arrival {
    let spec = JobSpec {
        terms: Terms {
            queue: "jobs".into(),
            service: "shop".into(),
            priority,
            max_attempts: 3,
            slack_permille: if priority == 0 { 1_500 } else { 2_000 },
            target_latency_ms: if priority == 0 { 400 } else { 1_000 },
        },
        text: "text".into(),
        accepted_ms: 0,
        first_due_ms: 0,
        interval_ms: 0,
        occurrences: 1,
        timed: false,
        steps,
    };
    Arrival { at: Instant::from_millis(at_ms), spec, id: 0, work_ms, cancelled_at: None }
}

/// Draws a value between two bounds.
fn draw_between(rng: &mut fastrand::Rng, smallest: f64, largest: f64) -> f64 {
    smallest + (largest - smallest) * rng.f64()
}

/// Draws a value from a distribution with mean `mean` whose logarithm has a standard deviation of
/// about `sigma`.
fn draw_around(rng: &mut fastrand::Rng, mean: f64, sigma: f64) -> f64 {
    let normal: f64 = (0..12).map(|_| rng.f64()).sum::<f64>() - 6.0;
    mean * (normal * sigma - sigma * sigma / 2.0).exp()
}

/// Returns whether best-effort tasks of one image interfere strongly with serving tasks of the other.
/// A hash of both names decides, and does so for about 60 % of the pairs.
pub fn interferes_strongly(serving: &str, best_effort: &str) -> bool {
    let name: Arc<str> = format!("{serving} {best_effort}").into();
    let sum = name.bytes().fold(7u64, |sum, it| sum.wrapping_mul(31).wrapping_add(u64::from(it)));
    sum.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 32 & 0xff < 0x99
}
