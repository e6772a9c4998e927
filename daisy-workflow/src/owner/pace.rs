//! Holding best-effort tasks back beside tasks that serve callers.

use std::{sync::Arc, time::Duration};

use daisy_model::Instant;

use super::{
    Owner,
    interference::Interference,
    message::{Action, OrderReply, Refusal},
    worker::{Assignment, Sent, Stop, Worker, WorkerKey},
};
use crate::TaskId;

/// Share of its target that a serving task's tail is held to. The reports are rough.
pub(super) const TAIL_LIMIT: f64 = 0.75;
/// Tails at and above the target halve all best-effort tasks beside, whatever was learnt.
const TAIL_OVER: f64 = 1.0;
/// The smallest change of a share that is ordered, in percent.
const STEP: u8 = 10;
/// How long after its last change a task gets more again.
const RAISE_AFTER: Duration = Duration::from_millis(900);
/// A task that was held to less than this, in percent, for this long, starts anew elsewhere.
const STARVED_BELOW: u8 = 40;
const STARVED_AFTER: Duration = Duration::from_millis(1_000);
/// Work done, in percent, that a task without checkpoints may lose by starting anew.
const LOSS_MAX: u8 = 25;
/// Weight of the newest report in the running mean of a serving task's tail of its own.
const SMOOTHING: f64 = 0.3;

/// Whether a run can be paced at present.
fn is_there(it: &Assignment) -> bool {
    matches!(it.sent, Sent::There(_)) && it.stop == Stop::No
}

/// The share of a worker's processors that a best-effort task takes at full pace.
pub(super) fn full_share(worker: &Worker, cpu_milli: u32) -> f64 {
    /// Best-effort tasks use somewhat less than they ask for where others work beside them.
    const TYPICAL_USE: f64 = 0.85;
    f64::from(cpu_milli) * TYPICAL_USE / f64::from(worker.capacity.cpu_milli.max(1))
}

/// What best-effort tasks at full pace add to the tail of a serving task of `image`, in targets.
pub(super) fn full_press(learnt: &Interference, worker: &Worker, image: &str) -> f64 {
    let each = worker.tasks.iter().filter(|it| it.best_effort_cpu > 0).map(|it| {
        let other = it.image.as_deref().unwrap_or_default();
        learnt.weight(image, other) * full_share(worker, it.best_effort_cpu)
    });
    each.sum()
}

impl Owner {
    /// Learns from a worker's report and chooses the shares of its best-effort tasks.
    pub(super) fn pace(&mut self, now: Instant, key: WorkerKey) {
        let Some(worker) = self.workers.get_mut(key) else { return };
        let best_effort = worker.tasks.iter().any(|it| it.best_effort_cpu > 0);
        let serving = worker.tasks.iter().any(|it| it.target_ms > 0);
        if !serving {
            if best_effort {
                order(now, worker, key, |_| 100, &mut self.actions);
            }
            return;
        }
        let capacity = f64::from(worker.capacity.cpu_milli.max(1));
        let beside: Vec<(Arc<str>, f64)> = worker
            .tasks
            .iter()
            .filter(|it| it.best_effort_cpu > 0 && is_there(it))
            .filter_map(|it| Some((it.image.clone()?, f64::from(it.load) / capacity)))
            .collect();
        let mut caps: Vec<(usize, f64)> = Vec::new();
        let mut over = false;
        for at in 0..worker.tasks.len() {
            let it = &worker.tasks[at];
            if it.target_ms == 0 || it.percent < 100 {
                continue;
            }
            let image = it.image.clone().unwrap_or_else(|| "".into());
            let tail = f64::from(it.load) / f64::from(it.target_ms);
            if tail > 0.0 {
                self.interference.learn(now, &image, tail, &beside);
            }
            let learnt = &self.interference;
            let pressed: f64 =
                beside.iter().map(|(other, share)| learnt.weight(&image, other) * share).sum();
            let own = (tail - pressed).max(tail * 0.2);
            let it = &mut worker.tasks[at];
            it.own_tail = it.own_tail * (1.0 - SMOOTHING) + own * SMOOTHING;
            over |= tail >= TAIL_OVER;
            let room = (TAIL_LIMIT - it.own_tail.max(own)).max(0.0);
            let full = full_press(learnt, worker, &image);
            if full > room {
                caps.push((at, room / full));
            }
        }
        let shares = shares(&self.interference, worker, &caps, over);
        order(now, worker, key, |at| shares[at], &mut self.actions);
        self.move_starved(now, key);
    }

    /// Stops best-effort tasks that are held back for long where another worker would not.
    fn move_starved(&mut self, now: Instant, key: WorkerKey) {
        let Some(worker) = self.workers.get(key) else { return };
        let starved = |it: &Assignment| {
            it.best_effort_cpu > 0
                && is_there(it)
                && it.pace < STARVED_BELOW
                && now.since(it.slowed_at) > STARVED_AFTER
        };
        let Some(it) = worker.tasks.iter().find(|it| starved(it)) else { return };
        let (task, run, percent) = (it.task, it.run, it.percent);
        let Some(job) = self.ledger.job(task.job) else { return };
        let spec = job.spec.clone();
        let step = &spec.steps[usize::from(task.step)];
        if !step.checkpoints && percent > LOSS_MAX {
            return;
        }
        let service = worker.service.clone();
        let Some(to) = self.try_place(now, &service, step, task, None, &[]) else { return };
        let better = self.workers.get(to).is_some_and(|it| {
            to != key && super::place::tail_with(&self.interference, it, step) <= TAIL_LIMIT
        });
        if better && let Some(it) = self.workers.get_mut(key).and_then(|it| it.find(task, run)) {
            it.stop = Stop::Due(now);
        }
    }

    pub(super) fn paced(
        &mut self,
        key: WorkerKey,
        task: TaskId,
        run: u32,
        percent: u8,
        reply: OrderReply,
    ) {
        if reply == OrderReply::Refused(Refusal::Fenced) {
            self.actions.push(Action::StepDown);
            return;
        }
        let Some(it) = self.workers.get_mut(key).and_then(|it| it.find(task, run)) else { return };
        it.pace_in_flight = false;
        // Anything but a plain yes is ordered again after the next renewal.
        if let OrderReply::Done { .. } = reply {
            it.pace = percent;
        }
    }
}

/// For each task of a worker, the share that it is to work at, in percent. `caps` holds the
/// serving tasks that are pressed too hard, each with the part of the pressure that it can bear.
fn shares(learnt: &Interference, worker: &Worker, caps: &[(usize, f64)], over: bool) -> Vec<u8> {
    /// Pressure, in targets, below which a task is not worth holding back.
    const PRESS_MIN: f64 = 0.02;
    let share = |it: &Assignment| {
        if it.best_effort_cpu == 0 {
            return 100;
        }
        let other = it.image.as_deref().unwrap_or_default();
        let mut share = 1.0f64;
        for (at, bearable) in caps {
            let image = worker.tasks[*at].image.as_deref().unwrap_or_default();
            let press = learnt.weight(image, other) * full_share(worker, it.best_effort_cpu);
            if press >= PRESS_MIN {
                share = share.min(*bearable);
            }
        }
        let mut percent = (share * 100.0) as u8;
        if over {
            percent = percent.min(it.pace / 2);
        }
        if percent < STEP { 0 } else { percent }
    };
    worker.tasks.iter().map(share).collect()
}

/// Orders the shares that differ enough from what was ordered last.
fn order(
    now: Instant,
    worker: &mut Worker,
    key: WorkerKey,
    share: impl Fn(usize) -> u8,
    actions: &mut Vec<Action>,
) {
    for (at, it) in worker.tasks.iter_mut().enumerate() {
        if it.best_effort_cpu == 0 || !is_there(it) || it.pace_in_flight {
            continue;
        }
        let wanted = share(at);
        let lower = wanted + STEP <= it.pace || (wanted == 0 && it.pace > 0);
        let raise = wanted >= it.pace + STEP || (wanted == 100 && it.pace < 100);
        if lower || (raise && now.since(it.paced_at) >= RAISE_AFTER) {
            if wanted < STARVED_BELOW && it.pace >= STARVED_BELOW {
                it.slowed_at = now;
            }
            it.pace_in_flight = true;
            it.paced_at = now;
            actions.push(Action::Pace(key, it.task, it.run, wanted));
        }
    }
}
