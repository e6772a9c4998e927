//! Modelled workers that run, end, throttle and checkpoint tasks, and report usage with a delay.

use std::collections::VecDeque;

use daisy_model::{
    Epoch, Exit, ExitReport, Incarnation, Instant, JobId, Order, OrderResult, Resources,
    RunningTask, SortedMap, TaskId, Usage, WorkerCall, WorkerReport,
};
use hdrhistogram::Histogram;

use super::InterferenceModel;

/// Delay with which usage is reported, in microseconds.
const USAGE_LAG_MICROS: u64 = 5_000_000;
/// Interval between two samples of usage, in microseconds.
const SAMPLE_INTERVAL_MICROS: u64 = 2_000_000;

/// Upper bound of the histograms; higher values are counted as this.
const HISTOGRAM_MAX: u64 = 1_000_000;

/// The actual behaviour of a job's tasks, which the decisions under measurement do not know.
#[derive(Debug, Clone, Copy)]
pub struct TaskProfile {
    /// Whether the tasks are replicas of a service; otherwise they are batch work.
    pub is_service: bool,
    /// The kind of service or batch work, as in [`InterferenceModel`].
    pub kind: usize,
    /// Seconds of work of one task without interference and throttling.
    pub work_s: f32,
}

/// A running task.
#[derive(Debug, Clone, Copy)]
pub struct Task {
    pub task: TaskId,
    pub incarnation: Incarnation,
    pub size: Resources,
    /// Share of its processors that the task may use, in thousandths.
    pub share: u32,
    pub profile: TaskProfile,
    remaining_work_s: f32,
    /// Current slowdown in thousandths; 1000 is none.
    slowdown: u32,
}

#[derive(Debug)]
struct Worker {
    capacity: Resources,
    tasks: Vec<Task>,
    ended: Vec<ExitReport>,
    samples: VecDeque<(Instant, Vec<Usage>)>,
    last_sample_at: Instant,
    lease_end: Instant,
    /// Share of the worker's processors in use.
    cpu_use: f32,
}

/// All workers, and the figures that the measurements count.
#[derive(Debug)]
pub struct WorkerFleet {
    pub interference_model: InterferenceModel,
    workers: Vec<Worker>,
    profiles: SortedMap<JobId, TaskProfile>,
    rng: fastrand::Rng,
    pub epoch: Epoch,
    /// Slowdowns of services, sampled once a second for each replica.
    pub slowdowns: Histogram<u64>,
    /// Processor use of workers in thousandths, sampled once a second.
    pub cpu_use: Histogram<u64>,
    /// Seconds of batch work done.
    pub work_done: f64,
    pub finished: usize,
    pub evictions: usize,
    pub starts: usize,
    /// Starts refused because the task did not fit.
    pub starts_without_capacity: usize,
    /// Tasks ended because their worker's lease expired.
    pub tasks_lost_to_lease_expiry: usize,
    last_count_at: Instant,
}

impl WorkerFleet {
    pub fn new(workers: usize, capacity: Resources, seed: u64) -> WorkerFleet {
        let worker = || Worker {
            capacity,
            tasks: Vec::new(),
            ended: Vec::new(),
            samples: VecDeque::new(),
            last_sample_at: Instant(0),
            lease_end: Instant(u64::MAX),
            cpu_use: 0.0,
        };
        WorkerFleet {
            interference_model: InterferenceModel::new(seed),
            workers: (0..workers).map(|_| worker()).collect(),
            profiles: SortedMap::new(),
            rng: fastrand::Rng::with_seed(seed),
            epoch: Epoch(0),
            slowdowns: Histogram::new_with_bounds(1, HISTOGRAM_MAX, 3)
                .expect("the bounds are in order"),
            cpu_use: Histogram::new_with_bounds(1, HISTOGRAM_MAX, 3)
                .expect("the bounds are in order"),
            work_done: 0.0,
            finished: 0,
            evictions: 0,
            starts: 0,
            starts_without_capacity: 0,
            tasks_lost_to_lease_expiry: 0,
            last_count_at: Instant(0),
        }
    }

    /// Sets the behaviour of a job's tasks.
    pub fn set_profile(&mut self, job: JobId, profile: TaskProfile) {
        self.profiles.insert(job, profile);
    }

    /// Resets the figures that are counted over the measured time.
    pub fn reset_counts(&mut self) {
        self.slowdowns.reset();
        self.cpu_use.reset();
        self.work_done = 0.0;
        self.finished = 0;
        self.evictions = 0;
        self.starts = 0;
    }

    pub fn len(&self) -> usize {
        self.workers.len()
    }

    pub fn free(&self, worker: usize) -> Resources {
        let it = &self.workers[worker];
        let allocated = it.tasks.iter().fold(Resources::ZERO, |sum, task| {
            sum.try_add(task.size).expect("sums of a worker are small")
        });
        it.capacity.try_sub(allocated).unwrap_or(Resources::ZERO)
    }

    /// Advances all workers by `seconds`, to `now`.
    pub fn advance(&mut self, now: Instant, seconds: f32) {
        let is_count_due = now.since(self.last_count_at).as_millis() >= 1_000;
        if is_count_due {
            self.last_count_at = now;
        }
        for at in 0..self.workers.len() {
            self.expire_lease(at, now);
            self.progress(at, now, seconds, is_count_due);
            self.sample(at, now);
        }
    }

    fn expire_lease(&mut self, at: usize, now: Instant) {
        let worker = &mut self.workers[at];
        if now > worker.lease_end {
            self.tasks_lost_to_lease_expiry += worker.tasks.len();
            worker.tasks.clear();
        }
    }

    fn progress(&mut self, at: usize, now: Instant, seconds: f32, is_count_due: bool) {
        let seconds_now = now.0 as f32 / 1e6;
        let cpu_use = self.cpu_use_of(at, seconds_now);
        let worker = &mut self.workers[at];
        worker.cpu_use = cpu_use;
        if is_count_due {
            self.cpu_use.saturating_record((cpu_use * 1000.0) as u64);
        }
        let overload_slowdown = self.interference_model.overload_slowdown(cpu_use);
        let mut service_slowdowns = [0.0_f32; super::SERVICE_KINDS];
        for (service, sum) in service_slowdowns.iter_mut().enumerate() {
            let batch = worker.tasks.iter().filter(|it| !it.profile.is_service);
            let added_slowdown = batch.map(|it| {
                self.interference_model.added_slowdown(
                    service,
                    it.profile.kind,
                    it.share,
                    seconds_now,
                )
            });
            *sum = added_slowdown.sum();
        }
        let mut finished_indexes = Vec::new();
        for (index, it) in worker.tasks.iter_mut().enumerate() {
            if it.profile.is_service {
                it.slowdown =
                    (1000.0 + service_slowdowns[it.profile.kind] + overload_slowdown) as u32;
                if is_count_due {
                    self.slowdowns.saturating_record(u64::from(it.slowdown));
                }
                continue;
            }
            it.slowdown = (1000.0 + overload_slowdown) as u32;
            let speed = it.share as f32 / it.slowdown as f32;
            it.remaining_work_s -= speed * seconds;
            self.work_done += f64::from(speed * seconds);
            if it.remaining_work_s <= 0.0 {
                finished_indexes.push(index);
            }
        }
        for index in finished_indexes.into_iter().rev() {
            let Task { task, incarnation, .. } = worker.tasks.swap_remove(index);
            worker.ended.push(ExitReport { task, incarnation, exit: Exit::Done });
            self.finished += 1;
        }
    }

    fn cpu_use_of(&self, at: usize, seconds_now: f32) -> f32 {
        let worker = &self.workers[at];
        let used = worker.tasks.iter().map(|it| self.cpu_used_by(it, seconds_now)).sum::<f32>();
        used / worker.capacity.cpu_milli as f32
    }

    fn cpu_used_by(&self, it: &Task, seconds_now: f32) -> f32 {
        let TaskProfile { is_service, kind, .. } = it.profile;
        let interference_wave = if is_service {
            1.0
        } else {
            self.interference_model.interference_wave(kind, seconds_now)
        };
        let share = it.share as f32 / 1000.0;
        it.size.cpu_milli as f32
            * self.interference_model.cpu_use_share(is_service, kind)
            * share
            * (0.5 + 0.5 * interference_wave)
    }

    fn sample(&mut self, at: usize, now: Instant) {
        if now.0 < self.workers[at].last_sample_at.0 + SAMPLE_INTERVAL_MICROS {
            return;
        }
        let seconds_now = now.0 as f32 / 1e6;
        let usage = self.workers[at].tasks.iter().map(|it| Usage {
            task: it.task,
            used: Resources { cpu_milli: self.cpu_used_by(it, seconds_now) as u32, ..it.size },
            slowdown: it.slowdown,
        });
        let mut usage: Vec<Usage> = usage.collect();
        // Adds measurement noise of up to 3 percent.
        for it in &mut usage {
            it.slowdown = it.slowdown * self.rng.u32(970..1_030) / 1_000;
        }
        let worker = &mut self.workers[at];
        worker.last_sample_at = now;
        worker.samples.push_back((now, usage));
        while worker.samples.len() > 1 && worker.samples[1].0.0 + USAGE_LAG_MICROS <= now.0 {
            worker.samples.pop_front();
        }
    }

    /// Returns a worker's answer to a call, by the platform's rules.
    pub fn call(&mut self, now: Instant, at: usize, call: &WorkerCall) -> WorkerReport {
        let accepted = call.epoch >= self.epoch;
        self.epoch = self.epoch.max(call.epoch);
        let mut results = Vec::new();
        if accepted {
            self.workers[at].lease_end = now + call.lease;
            results = call.orders.iter().map(|order| self.carry_out_order(at, order)).collect();
        }
        let worker = &self.workers[at];
        let running = worker.tasks.iter().map(|it| RunningTask {
            task: it.task,
            incarnation: it.incarnation,
            size: it.size,
            share: it.share,
        });
        let usage = worker.samples.front().filter(|(at, _)| at.0 + USAGE_LAG_MICROS <= now.0);
        WorkerReport {
            epoch: self.epoch,
            accepted,
            capacity: worker.capacity,
            results,
            running: running.collect(),
            ended: worker.ended.clone(),
            usage: usage.map(|(_, usage)| usage.clone()).unwrap_or_default(),
        }
    }

    fn carry_out_order(&mut self, at: usize, order: &Order) -> OrderResult {
        match *order {
            Order::Start { task, incarnation, size, checkpoint } => {
                self.start(at, task, incarnation, size, checkpoint)
            }
            Order::Stop { task, .. } => self.end_task(at, task, Exit::Stopped),
            Order::Checkpoint { task, .. } => {
                let found = self.workers[at].tasks.iter().find(|it| it.task == task);
                let Some(remaining_work_s) = found.map(|it| it.remaining_work_s) else {
                    return OrderResult::Unknown;
                };
                self.evictions += 1;
                self.end_task(at, task, Exit::Checkpointed((remaining_work_s * 1000.0) as u64))
            }
            Order::Throttle { task, share, .. } => {
                let found = self.workers[at].tasks.iter_mut().find(|it| it.task == task);
                let Some(it) = found else { return OrderResult::Unknown };
                it.share = share;
                OrderResult::Done
            }
            Order::Acknowledge { task, incarnation } => {
                let ended = &mut self.workers[at].ended;
                ended.retain(|it| (it.task, it.incarnation) != (task, incarnation));
                OrderResult::Done
            }
        }
    }

    /// Starts a task with its whole work, or with what its checkpoint says is left.
    pub fn start(
        &mut self,
        at: usize,
        task: TaskId,
        incarnation: Incarnation,
        size: Resources,
        checkpoint: Option<u64>,
    ) -> OrderResult {
        if !size.fits(self.free(at)) {
            self.starts_without_capacity += 1;
            return OrderResult::NoCapacity;
        }
        let Some(profile) = self.profiles.get(&task.job).copied() else {
            return OrderResult::Failed;
        };
        self.starts += 1;
        let remaining_work_s =
            checkpoint.map_or(profile.work_s, |remaining_work_s| remaining_work_s as f32 / 1000.0);
        let started = Task {
            task,
            incarnation,
            size,
            share: 1000,
            profile,
            remaining_work_s,
            slowdown: 1000,
        };
        self.workers[at].tasks.push(started);
        OrderResult::Done
    }

    fn end_task(&mut self, at: usize, task: TaskId, exit: Exit) -> OrderResult {
        let worker = &mut self.workers[at];
        let Some(index) = worker.tasks.iter().position(|it| it.task == task) else {
            return OrderResult::Unknown;
        };
        let Task { incarnation, .. } = worker.tasks.swap_remove(index);
        worker.ended.push(ExitReport { task, incarnation, exit });
        OrderResult::Done
    }
}
