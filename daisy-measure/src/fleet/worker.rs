//! Workers that run, end, throttle and checkpoint tasks, and report late.

use std::collections::VecDeque;

use daisy_model::{
    Epoch, Exit, ExitReport, Incarnation, Instant, JobId, Order, OrderResult, Resources,
    RunningTask, SortedMap, TaskId, Usage, WorkerCall, WorkerReport,
};
use hdrhistogram::Histogram;

use super::Truth;

/// How late usage is reported.
const LAG_MICROS: u64 = 5_000_000;
/// Between two samples of usage, in microseconds.
const SAMPLE_MICROS: u64 = 2_000_000;

/// The highest value counted; what is above counts as this.
const HIGHEST: u64 = 1_000_000;

/// What a job's tasks are in truth.
#[derive(Debug, Clone, Copy)]
pub struct Nature {
    pub service: bool,
    pub kind: usize,
    /// Seconds of work of one task when undisturbed and not limited.
    pub work: f32,
}

/// A task that runs.
#[derive(Debug, Clone, Copy)]
pub struct Task {
    pub task: TaskId,
    pub incarnation: Incarnation,
    pub size: Resources,
    pub share: u32,
    pub nature: Nature,
    left: f32,
    slowdown: u32,
}

#[derive(Debug)]
struct Worker {
    capacity: Resources,
    tasks: Vec<Task>,
    ended: Vec<ExitReport>,
    samples: VecDeque<(Instant, Vec<Usage>)>,
    sampled: Instant,
    lease_end: Instant,
    busy: f32,
}

/// All workers, and what the measurements count.
#[derive(Debug)]
pub struct Fleet {
    pub truth: Truth,
    workers: Vec<Worker>,
    natures: SortedMap<JobId, Nature>,
    rng: fastrand::Rng,
    pub epoch: Epoch,
    /// Slowdowns of services, sampled once a second for each replica.
    pub slowdowns: Histogram<u64>,
    /// Processor use of workers in thousandths, sampled once a second.
    pub busy: Histogram<u64>,
    /// Seconds of batch work done.
    pub work_done: f64,
    pub finished: usize,
    pub evictions: usize,
    pub starts: usize,
    pub no_room: usize,
    pub lapsed: usize,
    counted: Instant,
}

impl Fleet {
    pub fn new(workers: usize, capacity: Resources, seed: u64) -> Fleet {
        let worker = || Worker {
            capacity,
            tasks: Vec::new(),
            ended: Vec::new(),
            samples: VecDeque::new(),
            sampled: Instant(0),
            lease_end: Instant(u64::MAX),
            busy: 0.0,
        };
        Fleet {
            truth: Truth::new(seed),
            workers: (0..workers).map(|_| worker()).collect(),
            natures: SortedMap::new(),
            rng: fastrand::Rng::with_seed(seed),
            epoch: Epoch(0),
            slowdowns: Histogram::new_with_bounds(1, HIGHEST, 3).expect("the bounds are in order"),
            busy: Histogram::new_with_bounds(1, HIGHEST, 3).expect("the bounds are in order"),
            work_done: 0.0,
            finished: 0,
            evictions: 0,
            starts: 0,
            no_room: 0,
            lapsed: 0,
            counted: Instant(0),
        }
    }

    /// Tells what a job's tasks are.
    pub fn declare(&mut self, job: JobId, nature: Nature) {
        self.natures.insert(job, nature);
    }

    /// Starts what is counted anew.
    pub fn reset_counts(&mut self) {
        self.slowdowns.reset();
        self.busy.reset();
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
        let taken = it.tasks.iter().fold(Resources::ZERO, |sum, task| {
            sum.try_add(task.size).expect("sums of a worker are small")
        });
        it.capacity.try_sub(taken).unwrap_or(Resources::ZERO)
    }

    /// Lets time pass to `now`.
    pub fn advance(&mut self, now: Instant, seconds: f32) {
        let is_count = now.since(self.counted).as_millis() >= 1_000;
        if is_count {
            self.counted = now;
        }
        for at in 0..self.workers.len() {
            self.lapse(at, now);
            self.progress(at, now, seconds, is_count);
            self.sample(at, now);
        }
    }

    fn lapse(&mut self, at: usize, now: Instant) {
        let worker = &mut self.workers[at];
        if now > worker.lease_end {
            self.lapsed += worker.tasks.len();
            worker.tasks.clear();
        }
    }

    fn progress(&mut self, at: usize, now: Instant, seconds: f32, is_count: bool) {
        let clock = now.0 as f32 / 1e6;
        let busy = self.busy_of(at, clock);
        let worker = &mut self.workers[at];
        worker.busy = busy;
        if is_count {
            self.busy.saturating_record((busy * 1000.0) as u64);
        }
        let crowding = self.truth.crowding(busy);
        let mut counts = [0.0_f32; super::SERVICES];
        for (service, sum) in counts.iter_mut().enumerate() {
            let batch = worker.tasks.iter().filter(|it| !it.nature.service);
            let added = batch.map(|it| self.truth.added(service, it.nature.kind, it.share, clock));
            *sum = added.sum();
        }
        let mut done = Vec::new();
        for (index, it) in worker.tasks.iter_mut().enumerate() {
            if it.nature.service {
                it.slowdown = (1000.0 + counts[it.nature.kind] + crowding) as u32;
                if is_count {
                    self.slowdowns.saturating_record(u64::from(it.slowdown));
                }
                continue;
            }
            it.slowdown = (1000.0 + crowding) as u32;
            let speed = it.share as f32 / it.slowdown as f32;
            it.left -= speed * seconds;
            self.work_done += f64::from(speed * seconds);
            if it.left <= 0.0 {
                done.push(index);
            }
        }
        for index in done.into_iter().rev() {
            let Task { task, incarnation, .. } = worker.tasks.swap_remove(index);
            worker.ended.push(ExitReport { task, incarnation, exit: Exit::Done });
            self.finished += 1;
        }
    }

    fn busy_of(&self, at: usize, clock: f32) -> f32 {
        let worker = &self.workers[at];
        let used = worker.tasks.iter().map(|it| self.cpu_of(it, clock)).sum::<f32>();
        used / worker.capacity.cpu_milli as f32
    }

    fn cpu_of(&self, it: &Task, clock: f32) -> f32 {
        let Nature { service, kind, .. } = it.nature;
        let wave = if service { 1.0 } else { self.truth.wave(kind, clock) };
        let share = it.share as f32 / 1000.0;
        it.size.cpu_milli as f32 * self.truth.use_of(service, kind) * share * (0.5 + 0.5 * wave)
    }

    fn sample(&mut self, at: usize, now: Instant) {
        if now.0 < self.workers[at].sampled.0 + SAMPLE_MICROS {
            return;
        }
        let clock = now.0 as f32 / 1e6;
        let usage = self.workers[at].tasks.iter().map(|it| Usage {
            task: it.task,
            used: Resources { cpu_milli: self.cpu_of(it, clock) as u32, ..it.size },
            slowdown: it.slowdown,
        });
        let mut usage: Vec<Usage> = usage.collect();
        // Measured through noise of a few percent.
        for it in &mut usage {
            it.slowdown = it.slowdown * self.rng.u32(970..1_030) / 1_000;
        }
        let worker = &mut self.workers[at];
        worker.sampled = now;
        worker.samples.push_back((now, usage));
        while worker.samples.len() > 1 && worker.samples[1].0.0 + LAG_MICROS <= now.0 {
            worker.samples.pop_front();
        }
    }

    /// A worker's answer to a call, by the platform's rules.
    pub fn call(&mut self, now: Instant, at: usize, call: &WorkerCall) -> WorkerReport {
        let accepted = call.epoch >= self.epoch;
        self.epoch = self.epoch.max(call.epoch);
        let mut results = Vec::new();
        if accepted {
            self.workers[at].lease_end = now + call.lease;
            results = call.orders.iter().map(|order| self.carry_out(at, order)).collect();
        }
        let worker = &self.workers[at];
        let running = worker.tasks.iter().map(|it| RunningTask {
            task: it.task,
            incarnation: it.incarnation,
            size: it.size,
            share: it.share,
        });
        let usage = worker.samples.front().filter(|(at, _)| at.0 + LAG_MICROS <= now.0);
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

    fn carry_out(&mut self, at: usize, order: &Order) -> OrderResult {
        match *order {
            Order::Start { task, incarnation, size, checkpoint } => {
                self.start(at, task, incarnation, size, checkpoint)
            }
            Order::Stop { task, .. } => self.end(at, task, Exit::Stopped),
            Order::Checkpoint { task, .. } => {
                let found = self.workers[at].tasks.iter().find(|it| it.task == task);
                let Some(left) = found.map(|it| it.left) else { return OrderResult::Unknown };
                self.evictions += 1;
                self.end(at, task, Exit::Checkpointed((left * 1000.0) as u64))
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

    /// Starts a task, with what is left of its work.
    pub fn start(
        &mut self,
        at: usize,
        task: TaskId,
        incarnation: Incarnation,
        size: Resources,
        checkpoint: Option<u64>,
    ) -> OrderResult {
        if !size.fits(self.free(at)) {
            self.no_room += 1;
            return OrderResult::NoCapacity;
        }
        let Some(nature) = self.natures.get(&task.job).copied() else {
            return OrderResult::Failed;
        };
        self.starts += 1;
        let left = checkpoint.map_or(nature.work, |left| left as f32 / 1000.0);
        let started = Task { task, incarnation, size, share: 1000, nature, left, slowdown: 1000 };
        self.workers[at].tasks.push(started);
        OrderResult::Done
    }

    fn end(&mut self, at: usize, task: TaskId, exit: Exit) -> OrderResult {
        let worker = &mut self.workers[at];
        let Some(index) = worker.tasks.iter().position(|it| it.task == task) else {
            return OrderResult::Unknown;
        };
        let Task { incarnation, .. } = worker.tasks.swap_remove(index);
        worker.ended.push(ExitReport { task, incarnation, exit });
        OrderResult::Done
    }
}
