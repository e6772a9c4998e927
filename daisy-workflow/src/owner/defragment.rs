//! Moves long-running tasks so that free capacity is contiguous on one worker.
//!
//! Workers may be nearly full of long-running tasks, each with a free block too small for any
//! waiting task, though the blocks together would suffice. A long-running task is moved to a worker
//! whose free block just fits it; the capacity it leaves joins the free block of its old worker.
//! The task is not running for about a second meanwhile. So tasks are moved only while others
//! cannot be placed, few at a time, and only one of a step.

use std::time::Duration;

use daisy_model::{Instant, Resources};

use super::{
    Owner,
    message::{Action, Note, StopCause},
    placement::{Reservation, is_at_step_limit},
    worker::{Assignment, StartState, StopState, Worker, WorkerKey},
};
use crate::{StepSpec, TaskId};

/// Interval between checks for tasks to move: stopping a task takes about as long.
const CHECK_INTERVAL: Duration = Duration::from_millis(300);
/// Maximum number of relocations started per check, and the number of workers for each relocation
/// that may be in progress.
const MAX_STARTED_PER_CHECK: usize = 3;
const WORKERS_PER_RELOCATION: usize = 12;
/// How long capacity is reserved for a task that is being moved.
const RESERVATION_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Minimum time that a long-running task runs before it is moved, as its placement was based on
/// recent information; also the minimum age of an owner that moves tasks.
const MIN_RUN_TIME: Duration = Duration::from_secs(3);
/// If the newest stored append is older than this, no task is stopped: it could not be started
/// again.
const MAX_APPEND_AGE: Duration = Duration::from_millis(600);
/// Maximum number of unplaced sizes handled per check.
const MAX_UNPLACED_SIZES: usize = 4;
/// Cost of each other serving image on the target worker, in thousandths of its processors.
const COST_OTHER_IMAGE: u32 = 40;

/// A task that is stopped on one worker to start on another.
#[derive(Debug, Clone, Copy)]
pub(super) struct Relocation {
    task: TaskId,
    to: WorkerKey,
    need: Resources,
    until: Instant,
}

/// A relocation that could be made.
#[derive(Debug, Clone, Copy)]
struct RelocationChoice {
    /// Cost of the relocation; lower is better.
    cost: u32,
    task: TaskId,
    run: u32,
    from: WorkerKey,
    to: WorkerKey,
    need: Resources,
    /// Free capacity of the worker that the task leaves, after the relocation.
    free_after: Resources,
}

impl Owner {
    /// Remembers that no worker has capacity for a task of `step`.
    pub(super) fn add_unplaced_size(&mut self, step: &StepSpec) {
        let need = step.allocation();
        let plain = !step.best_effort && !step.gang && step.required_label.is_none();
        if plain
            && self.unplaced_sizes.len() < MAX_UNPLACED_SIZES
            && !self.unplaced_sizes.contains(&need)
        {
            self.unplaced_sizes.push(need);
        }
    }

    /// Returns the capacity reserved for tasks that are being moved.
    pub(super) fn relocation_reservations(&self) -> Vec<Reservation> {
        self.relocations.iter().map(|it| Reservation { worker: it.to, need: it.need }).collect()
    }

    /// Returns the worker that a task is being moved to, if the task still fits there.
    pub(super) fn relocation_target(
        &self,
        now: Instant,
        step: &StepSpec,
        task: TaskId,
    ) -> Option<WorkerKey> {
        let it = self.relocations.iter().find(|it| it.task == task)?;
        let worker = self.workers.get(it.to)?;
        let takes = self.accepts_long_running(now, worker)
            && step.allocation().fits(worker.free())
            && !is_at_step_limit(step, worker, task);
        takes.then_some(it.to)
    }

    /// Ends the relocation of a task that has been placed.
    pub(super) fn end_relocation(&mut self, task: TaskId) {
        self.relocations.retain(|it| it.task != task);
    }

    /// Moves long-running tasks to make space for sizes that could not be placed.
    pub(super) fn defragment(&mut self, now: Instant) {
        self.relocations.retain(|it| it.until > now);
        if now.since(self.defragmented_at) < CHECK_INTERVAL || !self.may_relocate(now) {
            return;
        }
        self.defragmented_at = now;
        let mut begun = 0;
        for need in std::mem::take(&mut self.unplaced_sizes) {
            while begun < MAX_STARTED_PER_CHECK
                && self.relocations.len() <= self.workers.len() / WORKERS_PER_RELOCATION
            {
                let Some(choice) = self.cheapest_relocation(now, need) else { break };
                self.begin_relocation(now, choice, need);
                begun += 1;
            }
        }
    }

    fn may_relocate(&self, now: Instant) -> bool {
        self.settings.rules.defragments
            && !self.unplaced_sizes.is_empty()
            && now.since(self.began_at) >= MIN_RUN_TIME
            && self.succession.since_last_append(now) <= MAX_APPEND_AGE
    }

    fn begin_relocation(&mut self, now: Instant, choice: RelocationChoice, need: Resources) {
        let RelocationChoice { task, run, from, to, free_after, .. } = choice;
        let Some(worker) = self.workers.get_mut(from) else { return };
        let id = worker.id.clone();
        let Some(it) = worker.find(task, run) else { return };
        it.request_stop(now, StopCause::Moved);
        self.relocations.push(Relocation {
            task,
            to,
            need: choice.need,
            until: now + RESERVATION_TIMEOUT,
        });
        let (free_cpu, needed_cpu) = (free_after.cpu_milli, need.cpu_milli);
        self.actions.push(Action::Note(Note::TaskMoving {
            task,
            worker: id,
            free_cpu,
            needed_cpu,
        }));
    }

    /// Returns the cheapest relocation that frees enough capacity for `need`.
    fn cheapest_relocation(&self, now: Instant, need: Resources) -> Option<RelocationChoice> {
        let mut best: Option<RelocationChoice> = None;
        for (from, worker) in self.workers.iter() {
            let free = worker.free();
            if !self.is_usable(now, worker) || self.is_in_relocation(from) || need.fits(free) {
                continue;
            }
            for it in worker.tasks.iter().filter(|it| may_be_relocated(now, it)) {
                let Some(free_after) = free.try_add(it.allocation).filter(|it| need.fits(*it))
                else {
                    continue;
                };
                let Some((cost, to)) = self.cheapest_target(now, from, it) else { continue };
                let better = best.is_none_or(|best| cost < best.cost);
                if better && self.are_siblings_running(it) {
                    let (task, run, need) = (it.task, it.run, it.allocation);
                    best = Some(RelocationChoice { cost, task, run, from, to, need, free_after });
                }
            }
        }
        best
    }

    /// Whether a relocation takes a task from a worker or to it.
    fn is_in_relocation(&self, key: WorkerKey) -> bool {
        let loses_task = |it: &Worker| it.tasks.iter().any(|it| it.stop_cause == StopCause::Moved);
        self.relocations.iter().any(|it| it.to == key)
            || self.workers.get(key).is_some_and(loses_task)
    }

    /// Returns the worker on which the run would leave the least free capacity, with the cost in
    /// thousandths of that worker's processors.
    fn cheapest_target(
        &self,
        now: Instant,
        from: WorkerKey,
        run: &Assignment,
    ) -> Option<(u32, WorkerKey)> {
        let spec = &self.ledger.job(run.task.job)?.spec;
        let step = spec.step_of(run.task).filter(|it| allows_relocation(it))?;
        let service = self.service(spec);
        let candidates = self.workers.iter().filter(|(key, it)| {
            *key != from
                && it.suits(&service, step)
                && run.allocation.fits(it.free())
                && self.is_usable(now, it)
                && !is_at_step_limit(step, it, run.task)
                && !self.reservations.iter().any(|reservation| reservation.worker == *key)
                && !self.is_in_relocation(*key)
        });
        let cost = |it: &Worker| {
            let left = it.free().cpu_milli - run.allocation.cpu_milli;
            let others =
                it.interference_loads.iter().filter(|it| it.image != run.image).count() as u32;
            left / (it.capacity.cpu_milli / 1_000).max(1) + others * COST_OTHER_IMAGE
        };
        candidates.map(|(key, it)| (cost(it), key)).min()
    }

    /// Whether all tasks of a run's step are running and ready, as far as this shard knows.
    fn are_siblings_running(&self, run: &Assignment) -> bool {
        let Some(job) = self.ledger.job(run.task.job) else { return false };
        let steps = job.progress.occurrences.get(run.task.occurrence as usize);
        let Some(tasks) = steps.and_then(|it| it.get(usize::from(run.task.step))) else {
            return false;
        };
        let at_work = |index: u32| {
            let task = TaskId { index, ..run.task };
            let here = self.workers.iter().filter(|(_, it)| it.renewal_failures == 0 && it.listed);
            here.flat_map(|(_, it)| &it.tasks).any(|it| it.task == task && is_at_work(it))
        };
        !job.belongs_to_other_shard() && (0..tasks.len() as u32).all(at_work)
    }
}

/// Whether one task of a step may be stopped by itself: the other members of a gang would end with
/// it.
fn allows_relocation(step: &StepSpec) -> bool {
    !step.gang && step.data_rack.is_none() && step.max_unavailable != Some(0)
}

/// Whether a run is confirmed, running and ready.
fn is_at_work(it: &Assignment) -> bool {
    matches!(it.start_state, StartState::Confirmed(_))
        && it.listed
        && it.stop_state == StopState::NotRequested
        && it.percent >= 100
}

fn may_be_relocated(now: Instant, it: &Assignment) -> bool {
    it.is_long_running && is_at_work(it) && now.since(it.began_at) >= MIN_RUN_TIME
}
