//! Which worker takes a task.

use daisy_model::{Instant, Resources};

use super::{
    Owner,
    worker::{Worker, WorkerKey},
};
use crate::{StepSpec, TaskId};

/// Costs of a placement, in thousandths of a worker's processors: what a worker would have to be
/// emptier by to be chosen all the same. The order of their sizes is what matters.
const COST_FAILED_HERE: i64 = 100_000;
const COST_RECENT_FAILURE: i64 = 20_000;
const COST_FAR_FROM_DATA: i64 = 10_000;
const COST_BESIDE_SERVING: i64 = 4_000;
const COST_COLD: i64 = 3_000;

impl Owner {
    /// The worker on which a task of `step` is best started, if any has room.
    pub(super) fn try_place(
        &self,
        now: Instant,
        service: &str,
        step: &StepSpec,
        task: TaskId,
        rack: Option<&str>,
        taken: &[(WorkerKey, Resources)],
    ) -> Option<WorkerKey> {
        let candidates = self.workers.iter().filter(|(key, it)| {
            &*it.service == service
                && self.usable(now, it)
                && step.required_label.as_ref().is_none_or(|label| it.has_label(label))
                && rack.is_none_or(|rack| it.has_label(rack))
                && fits(step, it, *key, taken)
                && !crowded(step, it, *key, task, taken)
        });
        candidates.min_by_key(|(key, it)| (cost(now, step, it, task), *key)).map(|(key, _)| key)
    }
}

fn fits(
    step: &StepSpec,
    worker: &Worker,
    key: WorkerKey,
    taken: &[(WorkerKey, Resources)],
) -> bool {
    let mut need = step.counted();
    for (_, more) in taken.iter().filter(|(it, _)| *it == key) {
        match need.try_add(*more) {
            Some(sum) => need = sum,
            None => return false,
        }
    }
    need.fits(worker.free())
}

/// Whether the worker already has as many tasks of the step as may be on one.
fn crowded(
    step: &StepSpec,
    worker: &Worker,
    key: WorkerKey,
    task: TaskId,
    taken: &[(WorkerKey, Resources)],
) -> bool {
    if step.max_per_worker == 0 {
        return false;
    }
    let same =
        |it: TaskId| it.job == task.job && it.occurrence == task.occurrence && it.step == task.step;
    let here = worker.tasks.iter().filter(|it| same(it.task)).count();
    let more = taken.iter().filter(|(it, _)| *it == key).count();
    here + more >= step.max_per_worker as usize
}

/// Lower is better.
fn cost(now: Instant, step: &StepSpec, worker: &Worker, task: TaskId) -> i64 {
    let permille = |cpu: u32| i64::from(cpu) * 1_000 / i64::from(worker.capacity.cpu_milli.max(1));
    let used = permille(worker.used.cpu_milli);
    let mut cost = 0;
    if worker.failures > 0 {
        cost += COST_RECENT_FAILURE * i64::from(worker.failures);
    }
    if worker.tasks.iter().any(|it| it.task == task) {
        cost += COST_FAILED_HERE;
    }
    if step.data_rack.as_ref().is_some_and(|it| !worker.has_label(it)) {
        cost += COST_FAR_FROM_DATA;
    }
    if worker.cold_until > now {
        cost += COST_COLD;
    }
    if step.best_effort {
        // Where the others leave most, and where nobody's tail suffers.
        cost += used + permille(worker.best_effort_cpu());
        if worker.serving() > 0 {
            cost += COST_BESIDE_SERVING;
        }
        return cost;
    }
    if step.target_ms > 0 {
        // Serving tasks are packed together, away from best-effort tasks, so that these find
        // workers without any.
        return cost + 1_000 - used + permille(worker.best_effort_cpu());
    }
    cost + used
}
