//! What runs on a worker, without input or output.

mod usage;

use std::{collections::VecDeque, time::Duration};

use daisy_history::{End, Kind, Run, Size};
use daisy_model::{
    Ended, Epoch, Exit, Incarnation, Instant, JobId, Order, OrderResult, Resources, Running,
    SortedMap, TaskId, Usage, WorkerCall, WorkerReport,
};
use daisy_wire::worker::{ReportJson, ReportVersionJson};
use serde::{Deserialize, Serialize};

use super::journal::Journal;
use crate::backend::Served;

/// How tasks of one job run on a worker.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct JobRun {
    /// The job's number.
    pub job: u32,
    /// Undisturbed run time in milliseconds; absent for until it is stopped.
    #[serde(default)]
    pub run_ms: Option<u64>,
    /// Whether tasks end as failed.
    #[serde(default)]
    pub fails: bool,
    /// The service whose requests a task of this job answers.
    #[serde(default)]
    pub service: Option<String>,
}

/// How much tasks of one job slow those of another down on the same worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Interference {
    /// The job that is slowed down.
    pub victim: u32,
    /// The job that disturbs it.
    pub aggressor: u32,
    /// Added slowdown in thousandths for each whole core that the aggressor uses.
    pub per_core: u32,
}

/// What a worker is and how its tasks go.
#[derive(Debug, Clone)]
pub struct WorkerOptions {
    /// What it holds in all.
    pub capacity: Resources,
    /// Undisturbed run time of tasks of jobs that `jobs` does not name; `None` for
    /// until it is stopped.
    pub run_time: Option<Duration>,
    /// How tasks of particular jobs run.
    pub jobs: Vec<JobRun>,
    /// Who disturbs whom.
    pub interference: Vec<Interference>,
    /// How old the reported usage is.
    pub usage_lag: Duration,
}

impl Default for WorkerOptions {
    fn default() -> WorkerOptions {
        WorkerOptions {
            capacity: super::CONFEITARIA,
            run_time: Some(Duration::from_millis(300)),
            jobs: Vec::new(),
            interference: Vec::new(),
            usage_lag: Duration::from_secs(2),
        }
    }
}

/// What is wrong with a worker at the moment.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Flaws {
    /// Every start fails.
    pub fail_everything: bool,
    /// Tasks are started whether or not there is room.
    pub overcommit: bool,
    /// Epochs mean nothing: stale ones are accepted, and newer ones are not told of.
    pub unfenced: bool,
}

#[derive(Debug)]
struct Task {
    size: Resources,
    share: u32,
    /// Undisturbed work done, in microseconds.
    done: u64,
}

/// One worker.
#[derive(Debug)]
pub struct WorkerState {
    options: WorkerOptions,
    epoch: Epoch,
    /// The lease's end by this worker's own clock.
    lease_end: Instant,
    running: SortedMap<(TaskId, Incarnation), Task>,
    ended: Vec<Ended>,
    /// Every incarnation ever started here: each is started once.
    started: SortedMap<(TaskId, Incarnation), ()>,
    checkpoints: u32,
    worked_until: Instant,
    samples: VecDeque<(Instant, Vec<Usage>)>,
    journal: Journal,
    events: Vec<(Instant, Kind)>,
    now: Instant,
}

const WHOLE: u32 = 1000;

impl WorkerState {
    /// A worker that runs nothing.
    pub fn new(options: WorkerOptions) -> WorkerState {
        WorkerState {
            options,
            epoch: Epoch(0),
            lease_end: Instant(0),
            running: SortedMap::new(),
            ended: Vec::new(),
            started: SortedMap::new(),
            checkpoints: 0,
            worked_until: Instant(0),
            samples: VecDeque::new(),
            journal: Journal::new(),
            events: Vec::new(),
            now: Instant(0),
        }
    }

    /// The number of tasks that run.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Makes a whole report one of the changes since `seen`, if they are known.
    pub fn since(&mut self, seen: Option<ReportVersionJson>, report: WorkerReport) -> ReportJson {
        self.journal.reduce(seen, report)
    }

    /// Numbers reports as those of the agent's start `boot`.
    pub fn set_boot(&mut self, boot: u64) {
        self.journal.set_boot(boot);
    }

    /// Where the journal stood when a task ended last.
    pub fn news(&self) -> ReportVersionJson {
        self.journal.news()
    }

    /// Replaces how tasks of particular jobs run.
    pub fn set_jobs(&mut self, jobs: Vec<JobRun>) {
        self.options.jobs = jobs;
    }

    /// Carries a call out at `now`.
    pub fn call(&mut self, now: Instant, call: WorkerCall, flaws: Flaws) -> WorkerReport {
        self.tick(now);
        let accepted = self.accept(call.epoch) || flaws.unfenced;
        let results = if accepted {
            self.lease_end = now + call.lease;
            call.orders.into_iter().map(|order| self.order(order, flaws)).collect()
        } else {
            Vec::new()
        };
        WorkerReport {
            epoch: if flaws.unfenced { call.epoch } else { self.epoch },
            accepted,
            capacity: self.options.capacity,
            results,
            running: self.running.iter().map(running).collect(),
            ended: self.ended.clone(),
            usage: self.usage(now),
        }
    }

    /// Lets time pass up to `now`: work goes on, ends, or loses its lease.
    pub fn tick(&mut self, now: Instant) {
        self.now = now;
        self.work(now);
        if now >= self.lease_end {
            // No work was done since the lease's end, however late that is noticed.
            self.now = self.lease_end;
            self.end_all(Exit::LeaseLapsed);
            self.now = now;
        }
        self.sample(now);
    }

    /// What happened since the last time, and when.
    pub fn take_events(&mut self) -> Vec<(Instant, Kind)> {
        std::mem::take(&mut self.events)
    }

    /// Services that jobs are known to answer for, and how they fare here.
    pub fn services(&self) -> Vec<Served> {
        let known = self.options.jobs.iter();
        let services = known.filter_map(|run| {
            let slowdown = self.slowdown_of_job(JobId(run.job));
            Some(Served { service: run.service.clone()?, slowdown })
        });
        services.collect()
    }

    fn note(&mut self, kind: Kind) {
        self.events.push((self.now, kind));
    }

    fn accept(&mut self, epoch: Epoch) -> bool {
        if epoch < self.epoch {
            let (epoch, seen) = (epoch.0, self.epoch.0);
            self.note(Kind::EpochRefused { epoch, seen });
            return false;
        }
        if epoch > self.epoch {
            self.epoch = epoch;
            self.note(Kind::EpochSeen { epoch: epoch.0 });
        }
        true
    }

    fn order(&mut self, order: Order, flaws: Flaws) -> OrderResult {
        match order {
            Order::Start { task, incarnation, size, checkpoint } => {
                self.start((task, incarnation), size, checkpoint, flaws)
            }
            Order::Stop { task, incarnation } => self.stop((task, incarnation)),
            Order::Checkpoint { task, incarnation } => self.checkpoint((task, incarnation)),
            Order::Throttle { task, incarnation, share } => {
                match self.running.get_mut(&(task, incarnation)) {
                    Some(running) => {
                        running.share = share.min(WHOLE);
                        self.journal.changed((task, incarnation));
                        OrderResult::Done
                    }
                    None => OrderResult::Unknown,
                }
            }
            Order::Acknowledge { task, incarnation } => {
                self.ended.retain(|it| (it.task, it.incarnation) != (task, incarnation));
                self.journal.forgot((task, incarnation));
                OrderResult::Done
            }
        }
    }

    fn start(
        &mut self,
        key: (TaskId, Incarnation),
        size: Resources,
        checkpoint: Option<u64>,
        flaws: Flaws,
    ) -> OrderResult {
        if self.started.contains_key(&key) {
            return OrderResult::Done;
        }
        if !flaws.overcommit && !self.has_room(size) {
            return OrderResult::NoRoom;
        }
        if flaws.fail_everything {
            return OrderResult::Failed;
        }
        self.started.insert(key, ());
        let done = checkpoint.map_or(0, work_of_checkpoint);
        self.running.insert(key, Task { size, share: WHOLE, done });
        self.journal.changed(key);
        let (run, size, epoch) = (run_of(key), size_of(size), self.epoch.0);
        self.note(Kind::TaskStarted { run, epoch, size, checkpoint });
        OrderResult::Done
    }

    fn has_room(&self, size: Resources) -> bool {
        let used = self.running.iter().try_fold(size, |sum, (_, task)| sum.try_add(task.size));
        used.is_some_and(|used| used.fits(self.options.capacity))
    }

    /// Ends an incarnation; one that never started does not start any more, so that a late
    /// copy of its start runs nothing.
    fn stop(&mut self, key: (TaskId, Incarnation)) -> OrderResult {
        let result = self.end(key, Exit::Stopped);
        self.started.insert(key, ());
        result
    }

    fn checkpoint(&mut self, key: (TaskId, Incarnation)) -> OrderResult {
        let Some(done) = self.running.get(&key).map(|task| task.done) else {
            return self.end(key, Exit::Stopped);
        };
        self.checkpoints += 1;
        let token = checkpoint_token(key, self.checkpoints, done);
        self.end(key, Exit::Checkpointed(token))
    }

    fn end(&mut self, key: (TaskId, Incarnation), exit: Exit) -> OrderResult {
        if self.running.remove(&key).is_none() {
            let was_here = self.started.contains_key(&key);
            return if was_here { OrderResult::Done } else { OrderResult::Unknown };
        }
        self.ended.push(Ended { task: key.0, incarnation: key.1, exit });
        self.journal.ended(key);
        if let Some(end) = end_of(exit) {
            self.note(Kind::TaskEnded { run: run_of(key), end });
        }
        OrderResult::Done
    }

    fn end_all(&mut self, exit: Exit) {
        let all: Vec<_> = self.running.iter().map(|(key, _)| *key).collect();
        for key in all {
            self.end(key, exit);
        }
    }

    fn work(&mut self, now: Instant) {
        // Work stops where the lease ends, also when the worker itself was frozen past it.
        let until = now.min(self.lease_end);
        let step = until.since(self.worked_until).as_micros() as u64;
        self.worked_until = now;
        let keys: Vec<_> = self.running.iter().map(|(key, _)| *key).collect();
        let slowdowns: Vec<_> = keys.iter().map(|key| self.slowdown(*key)).collect();
        for (key, slowdown) in keys.into_iter().zip(slowdowns) {
            if let Some(task) = self.running.get_mut(&key) {
                task.done += step * u64::from(task.share) / u64::from(slowdown.max(1));
            }
        }
        self.finish();
    }

    fn finish(&mut self) {
        let due = self.running.iter().filter_map(|(key, task)| {
            let (run_time, exit) = self.plan(key.0.job);
            (task.done >= run_time?.as_micros() as u64).then_some((*key, exit))
        });
        let due: Vec<_> = due.collect();
        for (key, exit) in due {
            self.end(key, exit);
        }
    }

    fn plan(&self, job: JobId) -> (Option<Duration>, Exit) {
        match self.options.jobs.iter().find(|run| run.job == job.0) {
            Some(run) => {
                let exit = if run.fails { Exit::Failed } else { Exit::Done };
                (run.run_ms.map(Duration::from_millis), exit)
            }
            None => (self.options.run_time, Exit::Done),
        }
    }
}

/// A token that no other checkpoint has, and that carries the work done in milliseconds.
fn checkpoint_token(key: (TaskId, Incarnation), count: u32, done: u64) -> u64 {
    let (task, incarnation) = key;
    let mut mixed = fastrand::Rng::with_seed(
        u64::from(task.job.0) << 40 ^ u64::from(task.index) << 20 ^ u64::from(incarnation.0),
    );
    let unique = mixed.u32(..) ^ count;
    u64::from(unique) << 32 | (done / 1000).min(u64::from(u32::MAX))
}

fn work_of_checkpoint(token: u64) -> u64 {
    (token & u64::from(u32::MAX)) * 1000
}

fn running((key, task): (&(TaskId, Incarnation), &Task)) -> Running {
    Running { task: key.0, incarnation: key.1, size: task.size, share: task.share }
}

fn run_of((task, incarnation): (TaskId, Incarnation)) -> Run {
    Run { job: task.job.0, index: task.index, incarnation: incarnation.0 }
}

pub(super) fn size_of(it: Resources) -> Size {
    let Resources { cpu_milli, memory_mib, accelerators } = it;
    Size { cpu_milli, memory_mib, accelerators }
}

fn end_of(exit: Exit) -> Option<End> {
    match exit {
        Exit::Done => Some(End::Done),
        Exit::Failed => Some(End::Failed),
        Exit::Checkpointed(token) => Some(End::Checkpointed(token)),
        Exit::Stopped => Some(End::Stopped),
        Exit::LeaseLapsed => Some(End::LeaseLapsed),
        Exit::Refused | Exit::Unknown => None,
    }
}
