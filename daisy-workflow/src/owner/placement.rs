//! Chooses the worker for a task.

use daisy_model::{Instant, Resources};

use super::{
    Owner,
    best_effort::{admits, full_pace_share, headroom_cost, idle_cpu, pace_with},
    interference::ImageKey,
    worker::{Assignment, Worker, WorkerKey},
};
use crate::{Packing, StepSpec, TaskId};

// Costs of a placement, in thousandths of a worker's processors: how much more free capacity a
// worker needs to be chosen in spite of the cost. Only the order of their magnitudes matters.

/// Cost if another run of the task is on the worker.
const COST_OTHER_COPY_HERE: i64 = 100_000;
const COST_RECENT_FAILURE: i64 = 1_500;
const COST_FAR_FROM_DATA: i64 = 10_000;
/// Cost for each unit of headroom that a serving task would lose to the worker's best-effort tasks.
const COST_HEADROOM_LOST: f64 = 4_000.0;
const COST_BELOW_FULL_PACE: f64 = 8_000.0;
/// Costs of a best-effort task for each unit of headroom that it takes from a serving task, and for
/// each unit that the serving task is then short of [`COMFORTABLE_HEADROOM`].
const COST_HEADROOM_TAKEN: f64 = 2_000.0;
const COST_HEADROOM_SHORT: f64 = 2_500.0;
/// Cost for each best-effort image that interferes little with the worker's serving tasks: tasks
/// that can run on any worker leave these workers to tasks that cannot.
const COST_HARMLESS_IMAGE: i64 = 120;
/// Headroom below which fluctuations of a serving task's own load soon reach its target.
const COMFORTABLE_HEADROOM: f64 = 1.7;
/// Cost for each serving task of another image: more kinds of best-effort tasks can run on a worker
/// that serves few images.
const COST_OTHER_IMAGE: i64 = 1_000;
/// Cost for each thousandth of a worker's processors that best-effort tasks would be short of.
const COST_CPU_SHORTAGE: i64 = 4;
const COST_SLOW_START: i64 = 3_000;
const COST_SUSPECTED: i64 = 1_000_000;

/// Constraints on a placement in addition to those of the step.
#[derive(Debug, Clone, Copy)]
pub(super) struct PlacementOptions<'a> {
    /// The rack that the worker must be in.
    pub rack: Option<&'a str>,
    /// Placements of other members of the gang that are not assigned yet.
    pub tentative: &'a [(WorkerKey, Resources)],
    /// Whether a best-effort task may be placed where it would be throttled.
    pub allow_throttled: bool,
    /// Workers that are reserved for more urgent tasks.
    pub reservations: &'a [Reservation],
}

/// A worker that is reserved for a waiting task until enough of the worker's runs have ended for
/// the task to fit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Reservation {
    pub worker: WorkerKey,
    /// Resources that the task reserves.
    pub need: Resources,
}

impl Owner {
    /// Returns the best worker for a task of `step`, if the task fits on any.
    pub(super) fn try_place(
        &self,
        now: Instant,
        service: &str,
        step: &StepSpec,
        task: TaskId,
        options: PlacementOptions<'_>,
    ) -> Option<WorkerKey> {
        let PlacementOptions { rack, tentative, allow_throttled, reservations } = options;
        let image = step.image.as_ref().and_then(|it| self.interference.try_best_effort(it));
        let mut best: Option<(i64, WorkerKey)> = None;
        for (key, it) in self.workers.iter() {
            let accepts = match step.long_running {
                true => self.accepts_long_running(now, it),
                false => self.is_usable(now, it),
            };
            let is_candidate = it.suits(service, step)
                && accepts
                && rack.is_none_or(|rack| it.has_label(rack))
                && reservations.iter().all(|reservation| {
                    reservation.worker != key || leaves_reservation(step, it, reservation.need)
                })
                && fits(now, step, it, key, tentative)
                && !is_at_step_limit_with(step, it, key, task, tentative);
            if !is_candidate {
                continue;
            }
            let mut cost = cost(now, step, it, task) + self.cost_packing(step, it);
            if step.best_effort {
                let pace = pace_with(&self.interference, it, step, image);
                if !allow_throttled && !admits(it, pace) {
                    continue;
                }
                cost += self.cost_best_effort(step, it, image, pace);
            } else if step.target_ms > 0 {
                cost += self.cost_serving(step, it);
            }
            if best.is_none_or(|best| (cost, key) < best) {
                best = Some((cost, key));
            }
        }
        best.map(|(_, key)| key)
    }

    /// Returns the cost of the free capacity that a task's reservation takes from other waiting
    /// tasks, according to the packing rule.
    fn cost_packing(&self, step: &StepSpec, worker: &Worker) -> i64 {
        let used = permille(worker, worker.used.cpu_milli);
        match self.settings.rules.packing {
            _ if step.best_effort => 0,
            Packing::FirstFit => 0,
            Packing::BestFit => 1_000 - used,
            Packing::WorstFit => used,
        }
    }

    /// Returns the cost of a best-effort task that could run at `pace`: workers where no tail
    /// latency suffers are preferred, then those with the most idle processors.
    fn cost_best_effort(
        &self,
        step: &StepSpec,
        worker: &Worker,
        image: Option<ImageKey>,
        pace: f64,
    ) -> i64 {
        let asked = worker.best_effort_cpu() + step.need.cpu_milli;
        let cpu_shortage = asked.saturating_sub(idle_cpu(worker));
        ((1.0 - pace) * COST_BELOW_FULL_PACE) as i64
            + self.cost_interference(step, worker, image)
            + i64::from(worker.harmless_images) * COST_HARMLESS_IMAGE
            + permille(worker, cpu_shortage) * COST_CPU_SHORTAGE
            + permille(worker, worker.best_effort_cpu())
    }

    /// Returns the cost for the worker's serving tasks, even if all tasks could run at full pace
    /// now: loads fluctuate, and most images find a worker where they cause little interference.
    fn cost_interference(&self, step: &StepSpec, worker: &Worker, image: Option<ImageKey>) -> i64 {
        let share = full_pace_share(worker, step.need.cpu_milli);
        let mut worst = 0.0f64;
        for it in &worker.interference_loads {
            let taken = self.interference.weight(it.image, image) * share;
            let left = it.own_headroom - it.high - it.low - taken;
            let shortfall = (COMFORTABLE_HEADROOM - left).clamp(0.0, 2.0);
            worst =
                worst.max(taken.min(2.0) * COST_HEADROOM_TAKEN + shortfall * COST_HEADROOM_SHORT);
        }
        worst as i64
    }

    /// Returns the cost of a serving task. Serving tasks of one image are packed together: the
    /// fewer images a worker serves, the more kinds of best-effort tasks can run beside them.
    fn cost_serving(&self, step: &StepSpec, worker: &Worker) -> i64 {
        let image = step.image.as_ref().and_then(|it| self.interference.try_serving(it));
        let other = |it: &&Assignment| it.target_ms > 0 && it.image != image;
        let others = worker.tasks.iter().filter(other).count() as i64;
        let best_effort = worker.tasks.iter().filter(|it| it.best_effort_cpu > 0);
        let lost: f64 =
            best_effort.map(|it| headroom_cost(&self.interference, worker, image, it)).sum();
        others * COST_OTHER_IMAGE + (lost.min(4.0) * COST_HEADROOM_LOST) as i64
    }
}

fn fits(
    now: Instant,
    step: &StepSpec,
    worker: &Worker,
    key: WorkerKey,
    tentative: &[(WorkerKey, Resources)],
) -> bool {
    let mut need = step.allocation();
    let delayed = worker.delayed_start_demand(now);
    let others = tentative.iter().filter(|(it, _)| *it == key).map(|(_, more)| more);
    for more in others.chain([&delayed]) {
        match need.try_add(*more) {
            Some(sum) => need = sum,
            None => return false,
        }
    }
    need.fits(worker.free())
}

/// Whether a reserved worker still has the capacity `need` after a task of `step` is placed on it:
/// best-effort tasks take memory, but no reserved processor time.
fn leaves_reservation(step: &StepSpec, worker: &Worker, need: Resources) -> bool {
    let both = Resources { cpu_milli: 0, ..need }.try_add(step.allocation());
    step.best_effort && both.is_some_and(|it| it.fits(worker.free()))
}

/// Whether the worker already has the maximum number of tasks of the step, tentative placements
/// included.
fn is_at_step_limit_with(
    step: &StepSpec,
    worker: &Worker,
    key: WorkerKey,
    task: TaskId,
    tentative: &[(WorkerKey, Resources)],
) -> bool {
    if step.max_per_worker == 0 {
        return false;
    }
    let same =
        |it: TaskId| it.job == task.job && it.occurrence == task.occurrence && it.step == task.step;
    let here = worker.tasks.iter().filter(|it| same(it.task)).count();
    let more = tentative.iter().filter(|(it, _)| *it == key).count();
    here + more >= step.max_per_worker as usize
}

/// Whether the worker already has the maximum number of tasks of the step of `task`.
pub(super) fn is_at_step_limit(step: &StepSpec, worker: &Worker, task: TaskId) -> bool {
    is_at_step_limit_with(step, worker, WorkerKey(u32::MAX), task, &[])
}

/// Returns the cost that applies to all kinds of tasks; lower is better.
fn cost(now: Instant, step: &StepSpec, worker: &Worker, task: TaskId) -> i64 {
    let mut cost = 0;
    if worker.failures > 0 {
        cost += COST_RECENT_FAILURE * i64::from(worker.failures);
    }
    if worker.tasks.iter().any(|it| it.task == task) {
        cost += COST_OTHER_COPY_HERE;
    }
    if step.data_rack.as_ref().is_some_and(|it| !worker.has_label(it)) {
        cost += COST_FAR_FROM_DATA;
    }
    if worker.suspected_until > now {
        cost += COST_SUSPECTED;
    }
    if worker.slow_start_until > now {
        cost += COST_SLOW_START;
    }
    cost
}

/// Converts processor time to thousandths of a worker's processors.
fn permille(worker: &Worker, cpu_milli: u32) -> i64 {
    i64::from(cpu_milli) * 1_000 / i64::from(worker.capacity.cpu_milli.max(1))
}
