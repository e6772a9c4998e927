//! The finite work that callers submit, learned from the jobs that arrive and the runs that end.

use std::{collections::VecDeque, ops::Add, time::Duration};

use daisy_model::{Instant, Resources};

/// Steps count as load for this long after their arrival: dozens of jobs on a busy shard, and a
/// burst is over soon after.
const WINDOW: Duration = Duration::from_secs(10);
/// The shortest time over which arrivals are averaged, so that the first job that a new owner sees
/// does not count as a burst.
const MIN_WINDOW: Duration = Duration::from_secs(2);
/// The most steps that are remembered; beyond it the oldest are forgotten early.
const MAX_ARRIVALS: usize = 4_096;
/// The part of what was learned about durations that is kept at each ended run: some hundred runs
/// decide.
const DURATION_RETENTION: f64 = 0.995;
/// The prior of that ratio: the callers' estimates count as right until this much work, in
/// milliseconds, has ended.
const PRIOR_WORK_MS: f64 = 10_000.0;

/// A step of a finite job that arrived.
#[derive(Debug, Clone, Copy)]
struct Arrival {
    at: Instant,
    need: Resources,
    count: u32,
    estimate: Duration,
}

/// The finite work that arrives at one shard for one service.
#[derive(Debug, Clone)]
pub struct FiniteLoad {
    arrivals: VecDeque<Arrival>,
    /// When the first arrivals could be seen.
    since: Instant,
    /// Decayed sums over ended runs, in milliseconds: what callers estimated, and what it took.
    estimated_ms: f64,
    ran_ms: f64,
}

/// The processors that finite work uses at one time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct OfferedLoad {
    /// The mean, in thousandths of a core.
    pub cpu_milli: u64,
    /// The variance, in cores squared. Loads of several shards are independent, so that their
    /// variances can be added.
    pub variance: u64,
}

impl Add for OfferedLoad {
    type Output = OfferedLoad;

    fn add(self, rhs: OfferedLoad) -> OfferedLoad {
        OfferedLoad {
            cpu_milli: self.cpu_milli + rhs.cpu_milli,
            variance: self.variance + rhs.variance,
        }
    }
}

impl OfferedLoad {
    /// Returns the factor by which the mean is multiplied to cover the peaks of `shards` shards that
    /// have loads like this one: the more there are, the less their sum varies.
    pub fn peak_factor(self, shards: u16) -> f64 {
        /// Standard deviations above the mean: nineteen of twenty finite jobs find capacity.
        const DEVIATIONS: f64 = 1.64;
        /// Few and wide jobs have a large deviation; more than this is not kept free for them.
        const MAX_FACTOR: f64 = 3.0;
        let mean = self.cpu_milli as f64 / 1_000.0;
        if mean <= 0.0 {
            return 1.0;
        }
        let deviation = (self.variance as f64 / f64::from(shards.max(1))).sqrt();
        (1.0 + DEVIATIONS * deviation / mean).min(MAX_FACTOR)
    }
}

impl FiniteLoad {
    /// Creates a load that is learned from now on.
    pub fn new(now: Instant) -> FiniteLoad {
        FiniteLoad {
            arrivals: VecDeque::new(),
            since: now,
            estimated_ms: PRIOR_WORK_MS,
            ran_ms: PRIOR_WORK_MS,
        }
    }

    /// Records that a step of `count` tasks arrived at `at`; `estimate` is the caller's estimate of
    /// a task's duration.
    pub fn step_arrived(&mut self, at: Instant, need: Resources, count: u32, estimate: Duration) {
        if self.arrivals.len() >= MAX_ARRIVALS {
            self.arrivals.pop_front();
        }
        self.since = self.since.min(at);
        self.arrivals.push_back(Arrival { at, need, count, estimate });
    }

    /// Records that a task ended whose capacity was taken for `held`.
    pub fn task_ended(&mut self, estimate: Duration, held: Duration) {
        let keep = |sum: f64, more: Duration| sum * DURATION_RETENTION + more.as_secs_f64() * 1e3;
        self.estimated_ms = keep(self.estimated_ms, estimate);
        self.ran_ms = keep(self.ran_ms, held);
    }

    /// Returns how many times as long as estimated a task takes.
    fn duration_factor(&self) -> f64 {
        /// Callers' estimates are not trusted beyond this factor either way.
        const MAX_FACTOR: f64 = 8.0;
        (self.ran_ms / self.estimated_ms.max(1.0)).clamp(1.0 / MAX_FACTOR, MAX_FACTOR)
    }

    /// Forgets the steps that arrived too long ago.
    pub fn expire(&mut self, now: Instant) {
        while self.arrivals.front().is_some_and(|it| now.since(it.at) > WINDOW) {
            self.arrivals.pop_front();
        }
    }

    /// Returns how many tasks of an arrival run at one time in the mean.
    fn concurrency(&self, now: Instant, it: &Arrival) -> f64 {
        let window = now.since(self.since).clamp(MIN_WINDOW, WINDOW);
        let duration = it.estimate.as_secs_f64() * self.duration_factor();
        f64::from(it.count) * duration / window.as_secs_f64()
    }

    /// Returns the processors that the work which arrives uses at one time.
    pub fn offered(&self, now: Instant) -> OfferedLoad {
        let mut cpu_milli = 0.0;
        let mut variance = 0.0;
        for it in &self.arrivals {
            let concurrent = self.concurrency(now, it) * f64::from(it.need.cpu_milli);
            let step_cores = f64::from(it.count) * f64::from(it.need.cpu_milli) / 1e3;
            cpu_milli += concurrent;
            // All tasks of a step come together, so its whole width counts at once.
            variance += concurrent / 1e3 * step_cores;
        }
        OfferedLoad { cpu_milli: cpu_milli as u64, variance: variance as u64 }
    }

    /// Returns the tasks that run at one time, times `factor`; the largest first.
    pub fn concurrent_tasks(&self, now: Instant, factor: f64) -> Vec<Resources> {
        let mut steps: Vec<&Arrival> = self.arrivals.iter().collect();
        steps.sort_by_key(|it| std::cmp::Reverse((it.need.cpu_milli, it.need.memory_mib)));
        let mut tasks = Vec::new();
        let mut fraction = 0.0;
        for it in steps {
            fraction += self.concurrency(now, it) * factor;
            let whole = fraction as usize;
            tasks.extend(std::iter::repeat_n(it.need, whole));
            fraction -= whole as f64;
        }
        tasks
    }
}
