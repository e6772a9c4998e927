//! A worker that enforces the platform's rules.

use std::time::Duration;

use daisy_model::{
    Epoch, Exit, ExitReport, Incarnation, Instant, Order, OrderResult, Resources, RunningTask,
    SortedMap, TaskId, Usage, WorkerCall, WorkerReport,
};

/// A start that took effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Started {
    pub at: Instant,
    pub task: TaskId,
    pub incarnation: Incarnation,
    pub checkpoint: Option<u64>,
}

/// Rejects lower epochs, starts an incarnation once, never exceeds its capacity, keeps exit
/// reports until they are acknowledged, and ends its tasks when the lease lapses.
#[derive(Debug, Clone)]
pub struct FakeWorker {
    pub capacity: Resources,
    pub epoch: Epoch,
    pub running: Vec<RunningTask>,
    pub ended: Vec<ExitReport>,
    pub started: Vec<Started>,
    /// The number of starts rejected for lack of capacity.
    pub rejected_starts: usize,
    /// The measured use in the reports.
    pub usage: Vec<Usage>,
    /// The number of tasks ended by a checkpoint or stop order.
    pub ended_by_order: usize,
    /// How long a checkpoint takes; the task runs on meanwhile.
    pub checkpoint_time: Duration,
    checkpoints: Vec<(Instant, TaskId, Incarnation)>,
    /// Whether every start fails.
    pub broken: bool,
    pub renewed_at: Option<Instant>,
    pub lapsed_tasks: usize,
    lease_end: Instant,
    used_incarnations: SortedMap<TaskId, Incarnation>,
}

impl FakeWorker {
    pub fn new(capacity: Resources) -> FakeWorker {
        FakeWorker {
            capacity,
            epoch: Epoch(0),
            running: Vec::new(),
            ended: Vec::new(),
            started: Vec::new(),
            rejected_starts: 0,
            usage: Vec::new(),
            ended_by_order: 0,
            checkpoint_time: Duration::ZERO,
            checkpoints: Vec::new(),
            broken: false,
            renewed_at: None,
            lapsed_tasks: 0,
            lease_end: Instant(0),
            used_incarnations: SortedMap::new(),
        }
    }

    pub fn call(&mut self, now: Instant, call: &WorkerCall) -> WorkerReport {
        self.lapse(now);
        self.finish_checkpoints(now);
        if call.epoch < self.epoch {
            return self.report(false, Vec::new());
        }
        self.epoch = call.epoch;
        self.lease_end = self.lease_end.max(now + call.lease);
        self.renewed_at = Some(now);
        let results = call.orders.iter().map(|order| self.carry_out(now, order)).collect();
        self.report(true, results)
    }

    /// Ends all tasks if the lease has lapsed by the worker's own clock.
    pub fn lapse(&mut self, now: Instant) {
        if now <= self.lease_end {
            return;
        }
        self.lapsed_tasks += self.running.len();
        for it in std::mem::take(&mut self.running) {
            let RunningTask { task, incarnation, .. } = it;
            self.ended.push(ExitReport { task, incarnation, exit: Exit::LeaseExpired });
        }
    }

    fn checkpoint(&mut self, now: Instant, task: TaskId, incarnation: Incarnation) -> OrderResult {
        let is_running =
            self.running.iter().any(|it| (it.task, it.incarnation) == (task, incarnation));
        if self.checkpoint_time.is_zero() || !is_running {
            return self.end(task, incarnation, checkpointed(incarnation));
        }
        if !self.checkpoints.iter().any(|it| (it.1, it.2) == (task, incarnation)) {
            self.checkpoints.push((now + self.checkpoint_time, task, incarnation));
        }
        OrderResult::Done
    }

    fn finish_checkpoints(&mut self, now: Instant) {
        let (done, rest) = self.checkpoints.drain(..).partition(|it| it.0 <= now);
        self.checkpoints = rest;
        let done: Vec<(Instant, TaskId, Incarnation)> = done;
        for (_, task, incarnation) in done {
            if self.running.iter().any(|it| (it.task, it.incarnation) == (task, incarnation)) {
                self.end(task, incarnation, checkpointed(incarnation));
            }
        }
    }

    pub fn finish(&mut self, task: TaskId, exit: Exit) {
        let Some(at) = self.running.iter().position(|it| it.task == task) else { return };
        let RunningTask { task, incarnation, .. } = self.running.remove(at);
        self.ended.push(ExitReport { task, incarnation, exit });
    }

    pub fn taken(&self) -> Resources {
        let sizes = self.running.iter().map(|it| it.size);
        sizes.fold(Resources::ZERO, |sum, size| sum.try_add(size).expect("sums are small"))
    }

    pub fn runs(&self, task: TaskId) -> bool {
        self.running.iter().any(|it| it.task == task)
    }

    fn report(&self, accepted: bool, results: Vec<OrderResult>) -> WorkerReport {
        WorkerReport {
            epoch: self.epoch,
            accepted,
            capacity: self.capacity,
            results,
            running: self.running.clone(),
            ended: self.ended.clone(),
            usage: self.usage.clone(),
        }
    }

    fn carry_out(&mut self, now: Instant, order: &Order) -> OrderResult {
        match *order {
            Order::Start { task, incarnation, size, checkpoint } => {
                self.start(Started { at: now, task, incarnation, checkpoint }, size)
            }
            Order::Stop { task, incarnation } => self.end(task, incarnation, Exit::Stopped),
            Order::Checkpoint { task, incarnation } => self.checkpoint(now, task, incarnation),
            Order::Throttle { task, share, .. } => {
                let Some(it) = self.running.iter_mut().find(|it| it.task == task) else {
                    return OrderResult::Unknown;
                };
                it.share = share;
                OrderResult::Done
            }
            Order::Acknowledge { task, incarnation } => {
                self.ended.retain(|it| (it.task, it.incarnation) != (task, incarnation));
                OrderResult::Done
            }
        }
    }

    fn start(&mut self, started: Started, size: Resources) -> OrderResult {
        let Started { task, incarnation, .. } = started;
        if self
            .used_incarnations
            .get(&task)
            .is_some_and(|used_incarnations| *used_incarnations >= incarnation)
        {
            return OrderResult::Done;
        }
        if self.broken {
            return OrderResult::Failed;
        }
        let taken = self.taken().try_add(size);
        if !taken.is_some_and(|taken| taken.fits(self.capacity)) {
            self.rejected_starts += 1;
            return OrderResult::NoCapacity;
        }
        self.used_incarnations.insert(task, incarnation);
        self.started.push(started);
        self.running.push(RunningTask { task, incarnation, size, share: 1000 });
        OrderResult::Done
    }

    fn end(&mut self, task: TaskId, incarnation: Incarnation, exit: Exit) -> OrderResult {
        let is_match = |it: &RunningTask| (it.task, it.incarnation) == (task, incarnation);
        if let Some(at) = self.running.iter().position(is_match) {
            self.running.remove(at);
            self.ended_by_order += 1;
            self.ended.push(ExitReport { task, incarnation, exit });
            return OrderResult::Done;
        }
        // The incarnation is stopped for good: a copy of a lost call must not start it later.
        let used_incarnations = self.used_incarnations.get_or_insert_with(task, || incarnation);
        *used_incarnations = (*used_incarnations).max(incarnation);
        OrderResult::Unknown
    }
}

fn checkpointed(incarnation: Incarnation) -> Exit {
    Exit::Checkpointed(u64::from(incarnation.0) + 1_000)
}
