//! Moving tasks that last, so that the room which they leave is in pieces of use.
//!
//! The load that this answers: workers are nearly full of tasks that last, each with a piece left that
//! is too small for any task that waits, though together these pieces would hold them all. A task that
//! lasts goes to a worker whose piece just holds it, and what it leaves is one with the piece beside
//! it. It is away for about a second then; so tasks are moved only while others find no room, few at a
//! time, and one of a step.

use std::time::Duration;

use daisy_model::{Instant, Resources};

use super::{
    Owner,
    message::{Action, Note, StopCause},
    placement::{Reservation, is_at_step_limit},
    worker::{Assignment, StartState, StopState, Worker, WorkerKey},
};
use crate::{StepSpec, TaskId};

/// Between looks for tasks to move: a stop takes about as long.
const CHECK_INTERVAL: Duration = Duration::from_millis(300);
/// Moves that begin in one look, and the part of all workers that they may concern at one time.
const MAX_STARTED_PER_CHECK: usize = 3;
const WORKERS_PER_RELOCATION: usize = 12;
/// How long the place of a task that moves is kept.
const RESERVATION_TIMEOUT: Duration = Duration::from_millis(1_500);
/// How long a task that lasts stays at least: it was placed by what was known then.
const MIN_RUN_TIME: Duration = Duration::from_secs(3);
/// Without a batch in the log for this long, nothing is stopped that could not be started again.
const MAX_APPEND_AGE: Duration = Duration::from_millis(600);
/// Sizes that found no room, of which as many are looked after at one time.
const MAX_UNPLACED_SIZES: usize = 4;
/// What another serving image on a worker costs, in thousandths of its processors.
const COST_OTHER_IMAGE: u32 = 40;

/// A task that is stopped on one worker to start on another.
#[derive(Debug, Clone, Copy)]
pub(super) struct Relocation {
    task: TaskId,
    to: WorkerKey,
    need: Resources,
    until: Instant,
}

/// A move that could be made.
#[derive(Debug, Clone, Copy)]
struct RelocationChoice {
    /// Lower is better.
    cost: u32,
    task: TaskId,
    run: u32,
    from: WorkerKey,
    to: WorkerKey,
    need: Resources,
    /// What is free on the worker that the task leaves.
    room: Resources,
}

impl Owner {
    /// Notes that no worker has room for a task of `step`.
    pub(super) fn add_unplaced_size(&mut self, step: &StepSpec) {
        let need = step.counted();
        let plain = !step.best_effort && !step.gang && step.required_label.is_none();
        if plain
            && self.unplaced_sizes.len() < MAX_UNPLACED_SIZES
            && !self.unplaced_sizes.contains(&need)
        {
            self.unplaced_sizes.push(need);
        }
    }

    /// Workers whose room is kept for tasks that move.
    pub(super) fn relocation_reservations(&self) -> Vec<Reservation> {
        self.relocations.iter().map(|it| Reservation { worker: it.to, need: it.need }).collect()
    }

    /// The worker that a task moves to, if it still has the room.
    pub(super) fn relocation_target(
        &self,
        now: Instant,
        step: &StepSpec,
        task: TaskId,
    ) -> Option<WorkerKey> {
        let it = self.relocations.iter().find(|it| it.task == task)?;
        let worker = self.workers.get(it.to)?;
        let takes = self.accepts_long_running(now, worker)
            && step.counted().fits(worker.free())
            && !is_at_step_limit(step, worker, task);
        takes.then_some(it.to)
    }

    /// A task has been placed: if it was to move, it has.
    pub(super) fn end_relocation(&mut self, task: TaskId) {
        self.relocations.retain(|it| it.task != task);
    }

    /// Moves tasks that last, where others find no room and would then.
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
        let RelocationChoice { task, run, from, to, room, .. } = choice;
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
        let (free_cpu, needed_cpu) = (room.cpu_milli, need.cpu_milli);
        self.actions.push(Action::Note(Note::TaskMoving {
            task,
            worker: id,
            free_cpu,
            needed_cpu,
        }));
    }

    /// The move that makes room for `need` at the least cost, if one does.
    fn cheapest_relocation(&self, now: Instant, need: Resources) -> Option<RelocationChoice> {
        let mut best: Option<RelocationChoice> = None;
        for (from, worker) in self.workers.iter() {
            let free = worker.free();
            if !self.is_usable(now, worker) || self.is_in_relocation(from) || need.fits(free) {
                continue;
            }
            for it in worker.tasks.iter().filter(|it| may_leave(now, it)) {
                let Some(room) = free.try_add(it.allocation).filter(|it| need.fits(*it)) else {
                    continue;
                };
                let Some((cost, to)) = self.cheapest_target(now, from, it) else { continue };
                let better = best.is_none_or(|best| cost < best.cost);
                if better && self.are_siblings_running(it) {
                    let (task, run, need) = (it.task, it.run, it.allocation);
                    best = Some(RelocationChoice { cost, task, run, from, to, need, room });
                }
            }
        }
        best
    }

    /// Whether a worker gives or gets a task by a move under way.
    fn is_in_relocation(&self, key: WorkerKey) -> bool {
        let gives = |it: &Worker| it.tasks.iter().any(|it| it.stop_cause == StopCause::Moved);
        self.relocations.iter().any(|it| it.to == key) || self.workers.get(key).is_some_and(gives)
    }

    /// The worker on which a run leaves least beside it, and what that costs in thousandths of its
    /// processors.
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
                && it.service == service
                && run.allocation.fits(it.free())
                && self.is_usable(now, it)
                && step.required_label.as_ref().is_none_or(|label| it.has_label(label))
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

    /// Whether all other tasks of a run's step are at work, as far as this shard knows.
    fn are_siblings_running(&self, run: &Assignment) -> bool {
        let Some(job) = self.ledger.job(run.task.job) else { return false };
        let steps = job.progress.occurrences.get(run.task.occurrence as usize);
        let Some(tasks) = steps.and_then(|it| it.get(usize::from(run.task.step))) else {
            return false;
        };
        let at_work = |index: u32| {
            let task = TaskId { index, ..run.task };
            let here = self.workers.iter().filter(|(_, it)| it.hold_failures == 0 && it.listed);
            here.flat_map(|(_, it)| &it.tasks).any(|it| it.task == task && is_at_work(it))
        };
        !job.is_part() && (0..tasks.len() as u32).all(at_work)
    }
}

/// Whether one task of a step may be away: the others of a gang would end with it.
fn allows_relocation(step: &StepSpec) -> bool {
    !step.gang && step.data_rack.is_none() && step.max_unavailable != Some(0)
}

/// Whether a run is known to be there and at work.
fn is_at_work(it: &Assignment) -> bool {
    matches!(it.start_state, StartState::Confirmed(_))
        && it.listed
        && it.stop_state == StopState::NotRequested
        && it.percent >= 100
}

fn may_leave(now: Instant, it: &Assignment) -> bool {
    it.is_long_running && is_at_work(it) && now.since(it.began_at) >= MIN_RUN_TIME
}
