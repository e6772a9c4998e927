//! Where a best-effort task can work: idle processors, and headroom that serving tasks can spare.
//!
//! The load that this answers: more best-effort work than the serving tasks leave room for. Started
//! all the same, each task would get a part of what it needs, and nearly all jobs would be late.
//! So a task starts only where it and those already there can work at full pace; the others
//! wait in the order of urgency, where they take nothing from anybody.

use super::{
    interference::{ImageKey, Interference},
    worker::{Assignment, Worker},
};
use crate::StepSpec;

/// Headroom (target divided by tail latency) that a serving task is to keep beside tasks that
/// disturb it: reports are rough and half a second old.
pub(super) const HEADROOM_MIN: f64 = 1.5;
/// Headroom that a serving task is to keep from those that hardly disturb it: many such together
/// can make the difference.
pub(super) const HEADROOM_MIN_LOW_INTERFERENCE: f64 = 1.15;
/// Headroom taken from which a best-effort task counts as one that disturbs.
pub(super) const HIGH_INTERFERENCE_MIN: f64 = 0.12;
/// Headroom that the swings of a serving task's own load may take while a best-effort task that
/// disturbs it runs beside it for some two seconds.
const LOAD_SWING_HEADROOM: f64 = 0.6;
/// How much more than the idle processors of a worker its best-effort tasks may ask for, as most
/// use less than that.
const MAX_DEMAND_PER_IDLE_CPU: f64 = 1.1;
/// The share at which a task may be started where no best-effort task is: waiting for a better
/// place might take forever.
const MIN_PACE_ALONE: f64 = 0.3;

/// Serving tasks of one image on a worker, as the best-effort tasks beside them press on each.
#[derive(Debug, Clone, Copy)]
pub(crate) struct InterferenceLoad {
    pub image: Option<ImageKey>,
    /// The least headroom of any of them without best-effort tasks beside it.
    pub own_headroom: f64,
    /// Headroom that the best-effort tasks which disturb them take at full pace.
    pub high: f64,
    /// Headroom that the other best-effort tasks take at full pace.
    pub low: f64,
}

/// The serving images of a worker.
pub(super) fn interference_loads(learnt: &Interference, worker: &Worker) -> Vec<InterferenceLoad> {
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
            match headroom_cost(learnt, worker, serving.image, it) {
                cost if cost >= HIGH_INTERFERENCE_MIN => serving.high += cost,
                cost => serving.low += cost,
            }
        }
    }
    all
}

/// The share of a worker's processors that a best-effort task takes at full pace.
pub(super) fn full_pace_share(worker: &Worker, cpu_milli: u32) -> f64 {
    /// Of what tasks ask for, they use this much in the mean.
    const TYPICAL_USE: f64 = 0.8;
    f64::from(cpu_milli) * TYPICAL_USE / f64::from(worker.capacity.cpu_milli.max(1))
}

/// The headroom that a best-effort task at full pace takes from a serving task of `image`.
pub(super) fn headroom_cost(
    learnt: &Interference,
    worker: &Worker,
    image: Option<ImageKey>,
    it: &Assignment,
) -> f64 {
    learnt.weight(image, it.image) * full_pace_share(worker, it.best_effort_cpu)
}

/// Processor time that is left for best-effort tasks, in thousandths of a core.
pub(super) fn idle_cpu(worker: &Worker) -> u32 {
    /// Serving tasks use about half of what they reserve.
    const SERVING_USE_PERCENT: u32 = 55;
    let used = |it: &Assignment| match it.target_ms {
        0 => it.allocation.cpu_milli,
        _ => it.allocation.cpu_milli / 100 * SERVING_USE_PERCENT,
    };
    worker.capacity.cpu_milli.saturating_sub(worker.tasks.iter().map(used).sum())
}

/// The share of its processor time at which one more best-effort task of `step` could work on a
/// worker without taking too much from those that are there, 0 to 1.
pub(super) fn pace_with(
    learnt: &Interference,
    worker: &Worker,
    step: &StepSpec,
    image: Option<ImageKey>,
) -> f64 {
    let asked = worker.best_effort_cpu() + step.need.cpu_milli;
    let idle = f64::from(idle_cpu(worker)) * MAX_DEMAND_PER_IDLE_CPU;
    let share = full_pace_share(worker, step.need.cpu_milli);
    let beside = worker.interference_loads.iter().map(|it| {
        let more = learnt.weight(it.image, image) * share;
        pace_beside(it, more)
    });
    beside.fold((idle / f64::from(asked.max(1))).min(1.0), f64::min)
}

/// The same for serving tasks of one image, each of which the task would take `more` headroom from.
fn pace_beside(it: &InterferenceLoad, more: f64) -> f64 {
    let spare = it.own_headroom - HEADROOM_MIN;
    if more >= HIGH_INTERFERENCE_MIN {
        return (spare - LOAD_SWING_HEADROOM).max(0.0) / (it.high + it.low + more);
    }
    // Those that disturb are held back first, so only what they keep counts.
    let high = it.high.min((spare - it.low).max(0.0));
    let spare_for_low = it.own_headroom - high - HEADROOM_MIN_LOW_INTERFERENCE;
    spare_for_low.max(0.0) / (it.low + more).max(f64::MIN_POSITIVE)
}

/// Whether a best-effort task that could work at `pace` is to be started on a worker.
pub(super) fn admits(worker: &Worker, pace: f64) -> bool {
    pace >= 1.0 || worker.best_effort_cpu() == 0 && pace >= MIN_PACE_ALONE
}
