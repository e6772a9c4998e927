//! Which worker takes a task.

use daisy_model::{Instant, Resources};

use super::{
    Owner,
    interference::Interference,
    pace::{HEADROOM_MIN, PRESS_MIN, full_press, full_share},
    worker::{Assignment, Worker, WorkerKey},
};
use crate::{StepSpec, TaskId};

/// Costs of a placement, in thousandths of a worker's processors: what a worker would have to be
/// emptier by to be chosen all the same. The order of their sizes is what matters.
const COST_FAILED_HERE: i64 = 100_000;
const COST_RECENT_FAILURE: i64 = 1_500;
const COST_FAR_FROM_DATA: i64 = 10_000;
const COST_HEADROOM: i64 = 4_000;
const COST_PACED: i64 = 8_000;
/// For each unit of headroom that a placement takes, and that it leaves a serving task short of
/// [`HEADROOM_EASY`].
const COST_TAKEN: f64 = 2_000.0;
const COST_SHORT: f64 = 2_500.0;
/// For each image that could work on a worker without harm: tasks that can go anywhere leave such
/// workers to those that cannot.
const COST_OPEN: i64 = 120;
/// Headroom below which a serving task's own swings of load soon meet the target.
const HEADROOM_EASY: f64 = 1.7;
/// Headroom that the swings of a serving task's own load may take while a best-effort task of some
/// two seconds runs beside it. Without it, a third of the tasks that disturb were started while the
/// load was low and then held back: in three plays each, worth 0.572 to 0.597 on a calm day of 490
/// workers, and 0.698 to 0.715 and 0.522 to 0.595 on two heavy days.
const SWING: f64 = 0.6;
const COST_OTHER_IMAGE: i64 = 300;
/// For each thousandth of a worker's processors that best-effort tasks would lack.
const COST_SLOWED: i64 = 4;
const COST_COLD: i64 = 3_000;

/// What binds a placement besides the step itself.
#[derive(Debug, Clone, Copy)]
pub(super) struct Place<'a> {
    /// The rack that the worker must be on.
    pub rack: Option<&'a str>,
    /// Placements of the same gang that are not made yet.
    pub taken: &'a [(WorkerKey, Resources)],
    /// The share of its processor time at which a best-effort task must be able to work.
    pub pace_min: f64,
    /// Workers that are kept for more urgent tasks.
    pub kept: &'a [WorkerKey],
}

impl Owner {
    /// The worker on which a task of `step` is best started, if any has room.
    pub(super) fn try_place(
        &self,
        now: Instant,
        service: &str,
        step: &StepSpec,
        task: TaskId,
        options: Place<'_>,
    ) -> Option<WorkerKey> {
        let Place { rack, taken, pace_min, kept } = options;
        let candidates = self.workers.iter().filter(|(key, it)| {
            &*it.service == service
                && self.usable(now, it)
                && step.required_label.as_ref().is_none_or(|label| it.has_label(label))
                && rack.is_none_or(|rack| it.has_label(rack))
                && (step.best_effort || !kept.contains(key))
                && fits(step, it, *key, taken)
                && (!step.best_effort || pace_with(&self.interference, it, step) >= pace_min)
                && !crowded(step, it, *key, task, taken)
        });
        candidates
            .min_by_key(|(key, it)| (cost(now, &self.interference, step, it, task), *key))
            .map(|(key, _)| key)
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

/// Whether the worker already has as many tasks of the step of `task` as may be on one.
pub(super) fn is_crowded(step: &StepSpec, worker: &Worker, task: TaskId) -> bool {
    crowded(step, worker, WorkerKey(u32::MAX), task, &[])
}

/// Lower is better.
fn cost(
    now: Instant,
    learnt: &Interference,
    step: &StepSpec,
    worker: &Worker,
    task: TaskId,
) -> i64 {
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
        // Where nobody's tail suffers, and then where the others leave most.
        cost += ((1.0 - pace_with(learnt, worker, step)) * COST_PACED as f64) as i64;
        cost += disturbance_cost(learnt, worker, step);
        cost += i64::from(worker.open_to) * COST_OPEN;
        let needed = worker.best_effort_cpu() + step.need.cpu_milli;
        let left = idle_cpu(worker);
        if needed > left {
            cost += permille(needed - left) * COST_SLOWED;
        }
        return cost + permille(worker.best_effort_cpu());
    }
    if step.target_ms > 0 {
        // Serving tasks of one image are packed together: the fewer images a worker serves, the
        // more kinds of best-effort tasks go well beside them.
        let other = |it: &&Assignment| it.target_ms > 0 && it.image != step.image;
        let others = worker.tasks.iter().filter(other).count() as i64;
        let image = step.image.as_deref().unwrap_or_default();
        let press = full_press(learnt, worker, image).min(4.0);
        cost += others * COST_OTHER_IMAGE + (press * COST_HEADROOM as f64) as i64;
        return cost + 1_000 - used;
    }
    // Best fit: small tasks fill small gaps, and large ones find large gaps.
    cost + 1_000 - used
}

/// What a best-effort task costs the worker's serving tasks, though all could work at full pace
/// now: loads swing, and most images find a worker where they disturb nobody.
fn disturbance_cost(learnt: &Interference, worker: &Worker, step: &StepSpec) -> i64 {
    let other = step.image.as_deref().unwrap_or_default();
    let share = full_share(worker, step.need.cpu_milli);
    let mut worst = 0.0f64;
    for it in worker.tasks.iter().filter(|it| it.target_ms > 0) {
        let image = it.image.as_deref().unwrap_or_default();
        let taken = learnt.weight(image, other) * share;
        let left = it.own_headroom - full_press(learnt, worker, image) - taken;
        let short = (HEADROOM_EASY - left).clamp(0.0, 2.0);
        worst = worst.max(taken.min(2.0) * COST_TAKEN + short * COST_SHORT);
    }
    worst as i64
}

/// The share of its processor time at which one more best-effort task of `step` could work on a
/// worker without taking too much headroom from a serving task, 0 to 1.
pub(super) fn pace_with(learnt: &Interference, worker: &Worker, step: &StepSpec) -> f64 {
    let other = step.image.as_deref().unwrap_or_default();
    let share = full_share(worker, step.need.cpu_milli);
    let mut pace = 1.0f64;
    for it in worker.tasks.iter().filter(|it| it.target_ms > 0) {
        let image = it.image.as_deref().unwrap_or_default();
        let more = learnt.weight(image, other) * share;
        if more < PRESS_MIN {
            continue;
        }
        let full = full_press(learnt, worker, image) + more;
        let room = (it.own_headroom - HEADROOM_MIN - SWING).max(0.0);
        pace = pace.min(room / full);
    }
    pace
}

/// Processor time that is left for best-effort tasks, in thousandths of a core.
fn idle_cpu(worker: &Worker) -> u32 {
    /// Serving tasks use about half of what they reserve.
    const SERVING_USE_PERCENT: u32 = 55;
    let used = |it: &Assignment| match it.target_ms {
        0 => it.counted.cpu_milli,
        _ => it.counted.cpu_milli / 100 * SERVING_USE_PERCENT,
    };
    worker.capacity.cpu_milli.saturating_sub(worker.tasks.iter().map(used).sum())
}
