//! Mixes of jobs, drawn by seed, and when they come.

use std::sync::Arc;

use daisy_model::{Instant, Resources};
use daisy_workflow::{JobSpec, StepSpec, Terms};

/// Where a lasting job's tail must stay below, in milliseconds.
pub const TARGET_MS: u32 = 50;
/// Serving images, and images of best-effort tasks.
pub const SERVING_IMAGES: u32 = 16;
pub const BEST_EFFORT_IMAGES: u32 = 30;
/// Time before the measured part, in which the fleet fills with lasting jobs.
pub const LEAD_MS: u64 = 10_000;

/// What jobs of a mix look like; sizes are parts of a worker of the smaller kind.
#[derive(Debug, Clone, Copy)]
pub struct Mix {
    /// Processors of the smaller workers; each third worker has half as many again.
    pub cores: u32,
    /// A lasting task's size, and the part of all processors that lasting tasks fill at first.
    lasting: f64,
    fill: f64,
    /// How long lasting jobs stay in the mean, in seconds, and how long they would if as many left as come.
    stay_s: f64,
    turnover_s: f64,
    /// The size of a task that ends by itself, and the part of all processors that these need.
    once: f64,
    once_load: f64,
    /// The same of best-effort tasks.
    best_effort: f64,
    best_effort_load: f64,
}

/// A job, and what its owner does not know of it.
#[derive(Debug, Clone)]
pub struct Arrival {
    /// When it comes.
    pub at: Instant,
    /// What is asked for.
    pub spec: JobSpec,
    /// Its number.
    pub id: u64,
    /// Milliseconds of work of each task, by step.
    pub work_ms: Vec<Vec<u32>>,
    /// When it is cancelled, if it lasts.
    pub leaves: Option<Instant>,
}

impl Arrival {
    /// When the job is in time by the work that it really has: a slack, and a latency.
    pub fn objective_ms(&self) -> u64 {
        let chain: u64 =
            self.work_ms.iter().filter_map(|it| it.iter().max()).map(|it| u64::from(*it)).sum();
        let Terms { slack_permille, target_latency_ms, .. } = self.spec.terms;
        chain * u64::from(slack_permille) / 1_000 + u64::from(target_latency_ms)
    }

    /// The processors that its widest step asks for, in thousandths of a core.
    pub fn width(&self) -> u64 {
        let cpu = |it: &StepSpec| u64::from(it.count) * u64::from(it.need.cpu_milli);
        self.spec.steps.iter().map(cpu).max().unwrap_or_default()
    }
}

impl Mix {
    /// Lasting jobs come and hardly leave, until they hold nearly all processors.
    pub const FILLING: Mix = Mix {
        cores: 64,
        lasting: 0.2,
        fill: 0.84,
        stay_s: 1_700.0,
        turnover_s: 170.0,
        once: 0.33,
        once_load: 0.05,
        best_effort: 0.11,
        best_effort_load: 0.3,
    };

    /// The mix of a seed.
    pub fn draw(rng: &mut fastrand::Rng) -> Mix {
        let cores = [16, 64][rng.usize(..2)];
        let lasting = between(rng, 0.12, 0.26);
        let fill = between(rng, 0.70, 0.84);
        let stay_s = between(rng, 50.0, 90.0);
        Mix {
            cores,
            lasting,
            fill,
            stay_s,
            turnover_s: stay_s,
            once: between(rng, 0.12, 0.36),
            once_load: between(rng, 0.03, 0.07),
            best_effort: between(rng, 0.08, 0.16),
            best_effort_load: between(rng, 0.25, 0.4),
        }
    }

    /// All jobs of a run of `seconds` on workers of `cores` in all, in the order of time.
    pub fn arrivals(self, rng: &mut fastrand::Rng, cores: u64, seconds: u64) -> Vec<Arrival> {
        let mut all = Vec::new();
        let end_ms = LEAD_MS + seconds * 1_000;
        let mut filled = 0.0;
        while filled < self.fill * cores as f64 {
            let at = rng.u64(500..LEAD_MS - 2_000);
            let job = self.lasting_job(rng, at);
            filled += job.width() as f64 / 1_000.0;
            all.push(job);
        }
        // As many come as leave: the fleet stays as full as it was.
        let width = filled / all.len() as f64;
        let rate = filled / width / self.turnover_s * 1.15;
        self.stream(rng, &mut all, rate, end_ms, Mix::lasting_job);
        let once_s = 1.6 * 9.0 * 0.64 * self.once * f64::from(self.cores);
        let rate = self.once_load * cores as f64 / once_s;
        self.stream(rng, &mut all, rate, end_ms, Mix::once_job);
        let best_effort_s = 2.0 * 30.0 * 2.2 * self.best_effort * f64::from(self.cores);
        let rate = self.best_effort_load * cores as f64 / best_effort_s;
        self.stream(rng, &mut all, rate, end_ms, Mix::best_effort_job);
        all.sort_by_key(|it| it.at);
        (0..).zip(&mut all).for_each(|(id, it)| it.id = id);
        all
    }

    fn stream(
        self,
        rng: &mut fastrand::Rng,
        all: &mut Vec<Arrival>,
        rate: f64,
        end_ms: u64,
        job: impl Fn(Mix, &mut fastrand::Rng, u64) -> Arrival,
    ) {
        let mut at = LEAD_MS as f64;
        loop {
            at += -rng.f64().max(1e-9).ln() / rate * 1_000.0;
            if at as u64 >= end_ms {
                return;
            }
            all.push(job(self, rng, at as u64));
        }
    }

    fn lasting_job(self, rng: &mut fastrand::Rng, at_ms: u64) -> Arrival {
        let image = format!("serve-{}", rng.u32(..SERVING_IMAGES));
        let step = StepSpec {
            count: spread(rng, 24.0, 0.4).round().clamp(1.0, 48.0) as u32,
            need: self.need(rng, self.lasting, 0.25, 0.32),
            long_running: true,
            image: Some(image.into()),
            target_ms: TARGET_MS,
            max_per_worker: if rng.bool() { 2 } else { 0 },
            ..StepSpec::default()
        };
        let stay = (spread(rng, self.stay_s, 0.5) * 1_000.0) as u64;
        let leaves = Some(Instant::from_millis(at_ms + stay));
        Arrival { leaves, ..arrival(at_ms, vec![step], vec![Vec::new()], 0) }
    }

    fn once_job(self, rng: &mut fastrand::Rng, at_ms: u64) -> Arrival {
        let need = self.need(rng, self.once, 0.45, 1.0);
        let steps = if rng.f64() < 0.6 { 2 } else { 1 };
        self.chain(rng, at_ms, steps, 9.0, 640.0, StepSpec { need, ..StepSpec::default() })
    }

    fn best_effort_job(self, rng: &mut fastrand::Rng, at_ms: u64) -> Arrival {
        let image = format!("batch-{}", rng.u32(..BEST_EFFORT_IMAGES));
        let step = StepSpec {
            need: self.need(rng, self.best_effort, 0.3, 0.25),
            best_effort: true,
            checkpoints: true,
            image: Some(image.into()),
            ..StepSpec::default()
        };
        self.chain(rng, at_ms, 2, 30.0, 2_200.0, step)
    }

    fn chain(
        self,
        rng: &mut fastrand::Rng,
        at_ms: u64,
        steps: u16,
        width: f64,
        mean_ms: f64,
        like: StepSpec,
    ) -> Arrival {
        let mut all = Vec::new();
        let mut work = Vec::new();
        for at in 0..steps {
            let count = spread(rng, width, 0.7).round().clamp(1.0, 160.0) as u32;
            let base = spread(rng, mean_ms, 0.5).clamp(50.0, mean_ms * 2.5);
            let estimate_ms = spread(rng, base, 0.3) as u32;
            let depends_on = if at == 0 { Vec::new() } else { vec![at - 1] };
            all.push(StepSpec { count, estimate_ms, depends_on, ..like.clone() });
            work.push((0..count).map(|_| spread(rng, base, 0.2) as u32).collect());
        }
        arrival(at_ms, all, work, if like.best_effort { 2 } else { 0 })
    }

    /// A size around a part of a worker, up to `most`; memory in proportion, and a little less.
    fn need(self, rng: &mut fastrand::Rng, part: f64, by: f64, most: f64) -> Resources {
        let part = spread(rng, part, by).clamp(0.02, most);
        let milli = f64::from(self.cores) * 1_000.0;
        let memory_mib = (part * milli * MIB_PER_MILLI * 0.5) as u32;
        Resources { cpu_milli: (part * milli) as u32, memory_mib, accelerators: 0 }
    }
}

/// Memory of workers for each thousandth of a core, in MiB.
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
    Arrival { at: Instant::from_millis(at_ms), spec, id: 0, work_ms, leaves: None }
}

fn between(rng: &mut fastrand::Rng, least: f64, most: f64) -> f64 {
    least + (most - least) * rng.f64()
}

/// A draw around `mean` whose logarithm varies by about `by`.
fn spread(rng: &mut fastrand::Rng, mean: f64, by: f64) -> f64 {
    let normal: f64 = (0..12).map(|_| rng.f64()).sum::<f64>() - 6.0;
    mean * (normal * by - by * by / 2.0).exp()
}

/// The images' queues of best-effort tasks and the tails of serving ones.
pub fn disturbs(serving: &str, best_effort: &str) -> bool {
    let name: Arc<str> = format!("{serving} {best_effort}").into();
    let sum = name.bytes().fold(7u64, |sum, it| sum.wrapping_mul(31).wrapping_add(u64::from(it)));
    sum.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 32 & 0xff < 0x99
}
