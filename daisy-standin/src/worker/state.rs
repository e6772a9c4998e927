//! The tasks on a worker, without I/O.

mod usage;

use std::{collections::VecDeque, time::Duration};

use daisy_history::{EventKind, Run, RunEnd, Size};
use daisy_model::{
    Epoch, Exit, ExitReport, Incarnation, Instant, JobId, Order, OrderResult, Resources,
    RunningTask, SortedMap, TaskId, Usage, WorkerCall, WorkerReport,
};
use daisy_wire::worker::{ReportJson, ReportVersionJson};
use serde::{Deserialize, Serialize};

use super::journal::ReportJournal;
use crate::backend::ServiceState;

/// How tasks of one job run on a worker.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct JobBehaviour {
    /// The job's number.
    pub job: u32,
    /// Undisturbed run time in milliseconds; absent if tasks run until they are stopped.
    #[serde(default)]
    pub run_ms: Option<u64>,
    /// Whether the tasks fail at the end of their run time.
    #[serde(default)]
    pub fails: bool,
    /// The service whose requests the tasks of this job answer.
    #[serde(default)]
    pub service: Option<String>,
}

/// How much the tasks of one job slow down those of another job on the same worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Interference {
    /// The job that is slowed down.
    pub victim: u32,
    /// The job that slows it down.
    pub aggressor: u32,
    /// Added slowdown, in thousandths, for each whole core that the aggressor uses.
    pub per_core: u32,
}

/// The capacity of a worker and the behaviour of its tasks.
#[derive(Debug, Clone)]
pub struct WorkerOptions {
    /// Its total capacity.
    pub capacity: Resources,
    /// Undisturbed run time of the tasks of jobs that are not in `jobs`; `None` if they run until they
    /// are stopped.
    pub run_time: Option<Duration>,
    /// How tasks of particular jobs run.
    pub jobs: Vec<JobBehaviour>,
    /// The pairs of jobs of which one slows down the other.
    pub interference: Vec<Interference>,
    /// Age of the usage in reports.
    pub usage_lag: Duration,
}

impl Default for WorkerOptions {
    fn default() -> WorkerOptions {
        WorkerOptions {
            capacity: super::SMALL_WORKER,
            run_time: Some(Duration::from_millis(300)),
            jobs: Vec::new(),
            interference: Vec::new(),
            usage_lag: Duration::from_secs(2),
        }
    }
}

/// The faults that are currently injected into a worker.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct WorkerFaults {
    /// Every start fails.
    pub fail_everything: bool,
    /// Tasks are started even if they exceed the free capacity.
    pub overcommit: bool,
    /// Epochs are ignored: stale ones are accepted, and reports do not show newer ones.
    pub unfenced: bool,
}

#[derive(Debug)]
struct Task {
    size: Resources,
    /// The share of processor time that throttling leaves it, in thousandths.
    share: u32,
    /// The work done, in microseconds of undisturbed run time.
    work_done_us: u64,
}

/// The state of one worker.
#[derive(Debug)]
pub struct WorkerState {
    options: WorkerOptions,
    epoch: Epoch,
    /// When the lease ends by this worker's own clock.
    lease_end: Instant,
    running: SortedMap<(TaskId, Incarnation), Task>,
    ended: Vec<ExitReport>,
    /// Every incarnation that was ever started or stopped here, none of which may start again.
    started_or_stopped: SortedMap<(TaskId, Incarnation), ()>,
    /// Number of checkpoints made so far.
    checkpoints: u32,
    /// The time up to which the work of tasks has been accounted for.
    worked_until: Instant,
    /// The usage of all tasks at past times, oldest first.
    samples: VecDeque<(Instant, Vec<Usage>)>,
    journal: ReportJournal,
    /// Events that have not been taken yet, with their times.
    events: Vec<(Instant, EventKind)>,
    now: Instant,
}

/// The share of a task that is not throttled, and the slowdown of one that is not disturbed, in
/// thousandths.
const FULL_SHARE: u32 = 1000;

impl WorkerState {
    /// Creates a worker without tasks.
    pub fn new(options: WorkerOptions) -> WorkerState {
        WorkerState {
            options,
            epoch: Epoch(0),
            lease_end: Instant(0),
            running: SortedMap::new(),
            ended: Vec::new(),
            started_or_stopped: SortedMap::new(),
            checkpoints: 0,
            worked_until: Instant(0),
            samples: VecDeque::new(),
            journal: ReportJournal::new(),
            events: Vec::new(),
            now: Instant(0),
        }
    }

    /// Returns the number of tasks that are running.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Reduces a complete report to the changes since `seen`, if they are known.
    pub fn changes_since(
        &mut self,
        seen: Option<ReportVersionJson>,
        report: WorkerReport,
    ) -> ReportJson {
        self.journal.reduce_to_changes(seen, report)
    }

    /// Sets the number that identifies this start of the worker in reports.
    pub fn set_boot_id(&mut self, boot: u64) {
        self.journal.set_boot_id(boot);
    }

    /// Returns the version at which a task ended last, or a slowdown changed considerably.
    pub fn last_update(&self) -> ReportVersionJson {
        self.journal.last_update()
    }

    /// Replaces the list of jobs whose tasks run in a particular way.
    pub fn set_jobs(&mut self, jobs: Vec<JobBehaviour>) {
        self.options.jobs = jobs;
    }

    /// Carries out a call at `now` and returns the complete report.
    pub fn call(&mut self, now: Instant, call: WorkerCall, faults: WorkerFaults) -> WorkerReport {
        self.tick(now);
        let accepted = self.accept(call.epoch) || faults.unfenced;
        let results = if accepted {
            self.lease_end = now + call.lease;
            call.orders.into_iter().map(|order| self.order(order, faults)).collect()
        } else {
            Vec::new()
        };
        WorkerReport {
            epoch: if faults.unfenced { call.epoch } else { self.epoch },
            accepted,
            capacity: self.options.capacity,
            results,
            running: self.running.iter().map(running_report).collect(),
            ended: self.ended.clone(),
            usage: self.usage(now),
        }
    }

    /// Advances the state to `now`: tasks work, finish, or end because the lease has expired.
    pub fn tick(&mut self, now: Instant) {
        self.now = now;
        self.advance_work(now);
        if now >= self.lease_end {
            // No work was done after the lease's end, even if the end is noticed much later.
            self.now = self.lease_end;
            self.end_all(Exit::LeaseExpired);
            self.now = now;
        }
        self.sample(now);
    }

    /// Returns the events since the last call of this function, with their times.
    pub fn take_events(&mut self) -> Vec<(Instant, EventKind)> {
        std::mem::take(&mut self.events)
    }

    /// Returns the services of the known jobs, and their states on this worker.
    pub fn services(&self) -> Vec<ServiceState> {
        let known = self.options.jobs.iter();
        let services = known.filter_map(|behaviour| {
            let slowdown = self.slowdown_of_job(JobId(behaviour.job));
            Some(ServiceState { service: behaviour.service.clone()?, slowdown })
        });
        services.collect()
    }

    fn record(&mut self, kind: EventKind) {
        self.events.push((self.now, kind));
    }

    /// Returns whether a call with this epoch is accepted, and remembers a new highest epoch.
    fn accept(&mut self, epoch: Epoch) -> bool {
        if epoch < self.epoch {
            let (epoch, seen) = (epoch.0, self.epoch.0);
            self.record(EventKind::EpochRefused { epoch, seen });
            return false;
        }
        if epoch > self.epoch {
            self.epoch = epoch;
            self.record(EventKind::EpochSeen { epoch: epoch.0 });
        }
        true
    }

    fn order(&mut self, order: Order, faults: WorkerFaults) -> OrderResult {
        match order {
            Order::Start { task, incarnation, size, checkpoint } => {
                self.start((task, incarnation), size, checkpoint, faults)
            }
            Order::Stop { task, incarnation } => self.stop((task, incarnation)),
            Order::Checkpoint { task, incarnation } => self.checkpoint((task, incarnation)),
            Order::Throttle { task, incarnation, share } => {
                match self.running.get_mut(&(task, incarnation)) {
                    Some(running) => {
                        running.share = share.min(FULL_SHARE);
                        self.journal.record_change((task, incarnation));
                        OrderResult::Done
                    }
                    None => OrderResult::Unknown,
                }
            }
            Order::Acknowledge { task, incarnation } => {
                self.ended.retain(|it| (it.task, it.incarnation) != (task, incarnation));
                self.journal.record_acknowledge((task, incarnation));
                OrderResult::Done
            }
        }
    }

    fn start(
        &mut self,
        key: (TaskId, Incarnation),
        size: Resources,
        checkpoint: Option<u64>,
        faults: WorkerFaults,
    ) -> OrderResult {
        if self.started_or_stopped.contains_key(&key) {
            return OrderResult::Done;
        }
        if !faults.overcommit && !self.has_capacity_for(size) {
            return OrderResult::NoCapacity;
        }
        if faults.fail_everything {
            return OrderResult::Failed;
        }
        self.started_or_stopped.insert(key, ());
        let work_done_us = checkpoint.map_or(0, work_of_token);
        self.running.insert(key, Task { size, share: FULL_SHARE, work_done_us });
        self.journal.record_change(key);
        let (run, size, epoch) = (history_run(key), history_size(size), self.epoch.0);
        self.record(EventKind::TaskStarted { run, epoch, size, checkpoint });
        OrderResult::Done
    }

    fn has_capacity_for(&self, size: Resources) -> bool {
        let used = self.running.iter().try_fold(size, |sum, (_, task)| sum.try_add(task.size));
        used.is_some_and(|used| used.fits(self.options.capacity))
    }

    /// Stops an incarnation. One that has not started can no longer start, so that a delayed copy of its
    /// start order has no effect.
    fn stop(&mut self, key: (TaskId, Incarnation)) -> OrderResult {
        let result = self.end(key, Exit::Stopped);
        self.started_or_stopped.insert(key, ());
        result
    }

    fn checkpoint(&mut self, key: (TaskId, Incarnation)) -> OrderResult {
        let Some(work_done_us) = self.running.get(&key).map(|task| task.work_done_us) else {
            return self.end(key, Exit::Stopped);
        };
        self.checkpoints += 1;
        let token = checkpoint_token(key, self.checkpoints, work_done_us);
        self.end(key, Exit::Checkpointed(token))
    }

    fn end(&mut self, key: (TaskId, Incarnation), exit: Exit) -> OrderResult {
        if self.running.remove(&key).is_none() {
            let is_known = self.started_or_stopped.contains_key(&key);
            return if is_known { OrderResult::Done } else { OrderResult::Unknown };
        }
        self.ended.push(ExitReport { task: key.0, incarnation: key.1, exit });
        self.journal.record_end(key);
        if let Some(end) = history_end(exit) {
            self.record(EventKind::TaskEnded { run: history_run(key), end });
        }
        OrderResult::Done
    }

    fn end_all(&mut self, exit: Exit) {
        let all: Vec<_> = self.running.iter().map(|(key, _)| *key).collect();
        for key in all {
            self.end(key, exit);
        }
    }

    fn advance_work(&mut self, now: Instant) {
        // Work stops when the lease ends, even if the worker itself was frozen at that time.
        let work_end = now.min(self.lease_end);
        let elapsed_us = work_end.since(self.worked_until).as_micros() as u64;
        self.worked_until = now;
        let keys: Vec<_> = self.running.iter().map(|(key, _)| *key).collect();
        let slowdowns: Vec<_> = keys.iter().map(|key| self.slowdown(*key)).collect();
        for (key, slowdown) in keys.into_iter().zip(slowdowns) {
            if let Some(task) = self.running.get_mut(&key) {
                task.work_done_us +=
                    elapsed_us * u64::from(task.share) / u64::from(slowdown.max(1));
            }
        }
        self.end_finished_tasks();
    }

    fn end_finished_tasks(&mut self) {
        let due = self.running.iter().filter_map(|(key, task)| {
            let (run_time, exit) = self.run_time_and_exit(key.0.job);
            (task.work_done_us >= run_time?.as_micros() as u64).then_some((*key, exit))
        });
        let due: Vec<_> = due.collect();
        for (key, exit) in due {
            self.end(key, exit);
        }
    }

    /// Returns how long the tasks of a job run undisturbed, and how they end then.
    fn run_time_and_exit(&self, job: JobId) -> (Option<Duration>, Exit) {
        match self.options.jobs.iter().find(|it| it.job == job.0) {
            Some(behaviour) => {
                let exit = if behaviour.fails { Exit::Failed } else { Exit::Done };
                (behaviour.run_ms.map(Duration::from_millis), exit)
            }
            None => (self.options.run_time, Exit::Done),
        }
    }
}

/// Returns a token that identifies the checkpoint and contains the work done in milliseconds.
fn checkpoint_token(key: (TaskId, Incarnation), count: u32, work_done_us: u64) -> u64 {
    let (task, incarnation) = key;
    let mut mixed = fastrand::Rng::with_seed(
        u64::from(task.job.0) << 40 ^ u64::from(task.index) << 20 ^ u64::from(incarnation.0),
    );
    let unique = mixed.u32(..) ^ count;
    u64::from(unique) << 32 | (work_done_us / 1000).min(u64::from(u32::MAX))
}

/// Returns the work done, in microseconds, that a checkpoint's token contains.
fn work_of_token(token: u64) -> u64 {
    (token & u64::from(u32::MAX)) * 1000
}

fn running_report((key, task): (&(TaskId, Incarnation), &Task)) -> RunningTask {
    RunningTask { task: key.0, incarnation: key.1, size: task.size, share: task.share }
}

fn history_run((task, incarnation): (TaskId, Incarnation)) -> Run {
    Run { job: task.job.0, index: task.index, incarnation: incarnation.0 }
}

pub(super) fn history_size(it: Resources) -> Size {
    let Resources { cpu_milli, memory_mib, accelerators } = it;
    Size { cpu_milli, memory_mib, accelerators }
}

fn history_end(exit: Exit) -> Option<RunEnd> {
    match exit {
        Exit::Done => Some(RunEnd::Done),
        Exit::Failed => Some(RunEnd::Failed),
        Exit::Checkpointed(token) => Some(RunEnd::Checkpointed(token)),
        Exit::Stopped => Some(RunEnd::Stopped),
        Exit::LeaseExpired => Some(RunEnd::LeaseLapsed),
        Exit::Refused | Exit::Unknown => None,
    }
}
