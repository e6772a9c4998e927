//! Where a best-effort task can run: idle processors, and the headroom that serving tasks can
//! spare.
//!
//! This handles the case of more best-effort work than the serving tasks leave capacity for. If all
//! of it were started, each task would get a part of what it needs, and nearly all jobs would be
//! late. So a task starts only where it and the tasks already there can run at full pace. The
//! others wait in the order of their urgency and take no capacity from any task.

use super::{
    interference::{ImageKey, Interference},
    worker::{Assignment, Worker},
};
use crate::StepSpec;

/// Headroom (target divided by tail latency) to preserve for a serving task beside tasks with high
/// interference: reports are imprecise and half a second old.
pub(super) const HEADROOM_MIN: f64 = 1.3;
/// Headroom to preserve for a serving task beside tasks with low interference: many of them
/// together can matter.
pub(super) const HEADROOM_MIN_LOW_INTERFERENCE: f64 = 1.15;
/// Headroom that a best-effort task must take for its interference to be treated as high.
pub(super) const HIGH_INTERFERENCE_MIN: f64 = 0.12;
/// Headroom that fluctuations of a serving task's own load may take while a best-effort task with
/// high interference runs beside it for about two seconds. A start asks for it, a running task keeps
/// its pace without it: throttled tasks are late and tend to be moved.
const LOAD_SWING_HEADROOM: f64 = 1.0;
/// Processor time that best-effort tasks may request, relative to a worker's idle processors: most
/// use less than they request.
const MAX_DEMAND_PER_IDLE_CPU: f64 = 1.1;
/// The lowest pace at which a task may start on a worker without other best-effort tasks: otherwise
/// it could wait for a better worker for ever.
const MIN_PACE_ALONE: f64 = 0.3;

/// The serving tasks of one image on a worker, and how much the best-effort tasks beside them
/// interfere with each.
#[derive(Debug, Clone, Copy)]
pub(crate) struct InterferenceLoad {
    pub image: Option<ImageKey>,
    /// The least headroom of these tasks, without best-effort tasks beside them.
    pub own_headroom: f64,
    /// Headroom that best-effort tasks with high interference take at full pace.
    pub high: f64,
    /// Headroom that best-effort tasks with low interference take at full pace.
    pub low: f64,
}

/// Computes the interference load of each serving image on a worker.
pub(super) fn interference_loads(
    interference: &Interference,
    worker: &Worker,
) -> Vec<InterferenceLoad> {
    let mut all: Vec<InterferenceLoad> = Vec::new();
    for it in worker.tasks.iter().filter(|it| it.target_ms > 0) {
        match all.iter_mut().find(|known| known.image == it.image) {
            Some(known) => known.own_headroom = known.own_headroom.min(it.own_headroom),
            None => all.push(InterferenceLoad {
                image: it.image,
                own_headroom: it.own_headroom,
                high: 0.0,
                low: 0.0,
            }),
        }
    }
    for serving in &mut all {
        for it in worker.tasks.iter().filter(|it| it.best_effort_cpu > 0) {
            match headroom_cost(interference, worker, serving.image, it) {
                cost if cost >= HIGH_INTERFERENCE_MIN => serving.high += cost,
                cost => serving.low += cost,
            }
        }
    }
    all
}

/// Returns the share of a worker's processors that a best-effort task uses at full pace.
pub(super) fn full_pace_share(worker: &Worker, cpu_milli: u32) -> f64 {
    /// Average share of the requested processor time that tasks use.
    const TYPICAL_USE: f64 = 0.8;
    f64::from(cpu_milli) * TYPICAL_USE / f64::from(worker.capacity.cpu_milli.max(1))
}

/// Returns the headroom that a best-effort task at full pace takes from a serving task of `image`.
pub(super) fn headroom_cost(
    interference: &Interference,
    worker: &Worker,
    image: Option<ImageKey>,
    it: &Assignment,
) -> f64 {
    interference.weight(image, it.image) * full_pace_share(worker, it.best_effort_cpu)
}

/// Returns the processor time that is left for best-effort tasks, in thousandths of a core.
pub(super) fn idle_cpu(worker: &Worker) -> u32 {
    /// Serving tasks use about half of what they reserve.
    const SERVING_USE_PERCENT: u32 = 55;
    let used = |it: &Assignment| match it.target_ms {
        0 => it.allocation.cpu_milli,
        _ => it.allocation.cpu_milli / 100 * SERVING_USE_PERCENT,
    };
    worker.capacity.cpu_milli.saturating_sub(worker.tasks.iter().map(used).sum())
}

/// Returns the pace, from 0 to 1, at which one more best-effort task of `step` could run on a
/// worker without taking too much from the worker's tasks.
pub(super) fn pace_with(
    interference: &Interference,
    worker: &Worker,
    step: &StepSpec,
    image: Option<ImageKey>,
) -> f64 {
    let asked = worker.best_effort_cpu() + step.need.cpu_milli;
    let idle = f64::from(idle_cpu(worker)) * MAX_DEMAND_PER_IDLE_CPU;
    let share = full_pace_share(worker, step.need.cpu_milli);
    let beside = worker.interference_loads.iter().map(|it| {
        let more = interference.weight(it.image, image) * share;
        pace_beside(it, more)
    });
    beside.fold((idle / f64::from(asked.max(1))).min(1.0), f64::min)
}

/// Returns the pace of a best-effort task as limited by the serving tasks of one image, from each
/// of which it would take `more` headroom.
fn pace_beside(it: &InterferenceLoad, more: f64) -> f64 {
    let spare = it.own_headroom - HEADROOM_MIN;
    if more >= HIGH_INTERFERENCE_MIN {
        return (spare - LOAD_SWING_HEADROOM).max(0.0) / (it.high + it.low + more);
    }
    // Tasks with high interference are throttled first, so they take no more headroom than remains
    // after that.
    let high = it.high.min((spare - it.low).max(0.0));
    let spare_for_low = it.own_headroom - high - HEADROOM_MIN_LOW_INTERFERENCE;
    spare_for_low.max(0.0) / (it.low + more).max(f64::MIN_POSITIVE)
}

/// Whether a best-effort task that could run at `pace` is to be started on a worker.
pub(super) fn admits(worker: &Worker, pace: f64) -> bool {
    pace >= 1.0 || worker.best_effort_cpu() == 0 && pace >= MIN_PACE_ALONE
}
