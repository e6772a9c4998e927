//! Placement: which worker a checked-out task starts on.

use std::cmp::Reverse;

use daisy_ledger::{Placement, Task};
use daisy_model::{
    Incarnation, Instant, JobId, JobKind, Order, Priority, Resources, TaskId, VmId, WorkClass,
};

use crate::{
    holder::Holder,
    job::JobView,
    reason::Reason,
    task::{Local, Phase},
    worker::{Held, Hold, Worker, WorkerKey},
};

/// A share that is not limited, in thousandths.
pub(crate) const FULL_SHARE: u32 = 1000;

/// A place in line: urgent work first, then the older job.
pub(crate) type Turn = (Reverse<Priority>, JobId);

impl Holder {
    /// Starts what waits, as far as there is room.
    pub(crate) fn place(&mut self, now: Instant) {
        if !std::mem::take(&mut self.place_due) {
            return;
        }
        let line = self.line.clone();
        for (_, id) in line {
            self.place_job(now, id);
        }
        let jobs = &self.jobs;
        self.line.retain(|(_, id)| jobs.get(id).is_some_and(|job| !job.waiting.is_empty()));
    }

    fn place_job(&mut self, now: Instant, id: JobId) {
        loop {
            let Some(job) = self.jobs.get(&id) else { return };
            let Some(index) = job.waiting.front().copied() else { return };
            if self.is_paused(job) {
                return;
            }
            // What is not restartable must be recorded before it starts; see `start`.
            let is_recorded_first = job
                .tasks
                .get(index as usize)
                .is_some_and(|local| is_recorded_first(local, job.spec.restartable));
            if is_recorded_first && !self.log_reachable {
                return;
            }
            let Some(key) = self.choose(now, TaskId { job: id, index }) else { return };
            if let Some(job) = self.jobs.get_mut(&id) {
                job.waiting.pop_front();
            }
            self.start(now, key, TaskId { job: id, index });
        }
    }

    /// The best of a few workers with room: the one that is left with the least.
    fn choose(&mut self, now: Instant, task: TaskId) -> Option<WorkerKey> {
        let size = self.local(task)?.ledger.size;
        let mut found = Vec::new();
        self.roster.find(size, self.options.limits.candidates, &mut found);
        let weighed = found.len();
        let left = |key: &WorkerKey| self.roster.get(*key).map_or(u64::MAX, |it| left(it, size));
        let best = found.into_iter().min_by_key(left)?;
        let vm = self.roster.get(best)?.label.clone();
        self.note(now, task, Reason::Placed { vm, weighed });
        Some(best)
    }

    /// Takes room on a worker and orders the start.
    ///
    /// See `is_recorded_first` for what comes before the order.
    fn start(&mut self, now: Instant, key: WorkerKey, task: TaskId) {
        let Some(job) = self.jobs.get_mut(&task.job) else { return };
        let is_restartable = job.spec.restartable;
        let Some(local) = job.tasks.get_mut(task.index as usize) else { return };
        let is_recorded_first = is_recorded_first(local, is_restartable);
        local.incarnation = local.next_incarnation();
        local.phase = Phase::Starting { worker: key };
        let incarnation = local.incarnation;
        let Task { checkpoint, size, .. } = local.ledger;
        let hold = if is_recorded_first { Hold::Reserved } else { Hold::Queued };
        let Some(worker) = self.roster.get_mut(key) else { return };
        worker.hold(task, Held { incarnation, size, hold, ending: false, share: FULL_SHARE });
        let vm = worker.id;
        if is_recorded_first {
            self.record_start(now, task, incarnation, vm);
        } else {
            worker.orders.push(Order::Start { task, incarnation, size, checkpoint });
            self.roster.touch(key);
        }
        self.roster.reindex(key);
    }

    /// Orders a start that the ledger has just shown, or records it again.
    pub(crate) fn start_recorded(&mut self, now: Instant, key: WorkerKey, task: TaskId) {
        let resend = self.options.limits.resend;
        let Some(local) = self.local_mut(task) else { return };
        let is_lost = local.placed_at.is_some_and(|at| now >= at + resend);
        let incarnation = local.incarnation;
        let checkpoint = local.ledger.checkpoint;
        let is_shown = local.ledger.incarnation == incarnation;
        let shown_vm = local.ledger.vm;
        let Some(worker) = self.roster.get_mut(key) else { return };
        let vm = worker.id;
        let Some(held) = worker.held.get_mut(&task) else { return };
        if held.hold != Hold::Reserved {
            return;
        }
        if !is_shown || shown_vm != Some(vm) {
            if is_lost {
                self.record_start(now, task, incarnation, vm);
            }
            return;
        }
        held.hold = Hold::Queued;
        let size = held.size;
        worker.orders.push(Order::Start { task, incarnation, size, checkpoint });
        self.roster.touch(key);
    }

    fn record_start(&mut self, now: Instant, task: TaskId, incarnation: Incarnation, vm: VmId) {
        if let Some(local) = self.local_mut(task) {
            local.placed_at = Some(now);
        }
        self.outbox.placed.push(Placement { task, incarnation, vm });
    }

    pub(crate) fn is_unsent(&self, key: WorkerKey, task: TaskId) -> bool {
        let held = self.roster.get(key).and_then(|worker| worker.held.get(&task));
        held.is_some_and(|held| matches!(held.hold, Hold::Queued | Hold::Reserved))
    }

    /// Whether an operator has paused the class of a job.
    pub(crate) fn is_paused(&self, job: &JobView) -> bool {
        self.paused.iter().any(|class| match class {
            WorkClass::Batch => job.spec.kind == JobKind::Batch,
            WorkClass::Priority(priority) => job.spec.priority == *priority,
        })
    }
}

/// What is left on a worker after a start, weighted so that accelerators are spent last.
fn left(worker: &Worker, size: Resources) -> u64 {
    const ACCELERATOR_WEIGHT: u64 = 1 << 20;
    let Some(rest) = worker.free().try_sub(size) else { return u64::MAX };
    u64::from(rest.cpu_milli)
        + u64::from(rest.memory_mib)
        + ACCELERATOR_WEIGHT * u64::from(rest.accelerators)
}

/// Whether a start has to be in the ledger before it is ordered.
///
/// Restartable work starts at once and is recorded afterwards. Work that must not run again
/// when its fate is unknown is recorded first: else a new holder could not tell a task that
/// never started from one that ran on a VM which is gone. So is any incarnation but the one
/// after the last ended: a new holder takes that one for started, and would give the
/// number of a later one out a second time.
fn is_recorded_first(local: &Local, is_restartable: bool) -> bool {
    !is_restartable || local.next_incarnation() != local.ledger.next_incarnation()
}
