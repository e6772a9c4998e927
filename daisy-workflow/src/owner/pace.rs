//! Holding best-effort tasks back beside tasks that serve callers.

use std::time::Duration;

use daisy_model::Instant;

use super::{
    Owner,
    message::{Action, OrderReply, Refusal},
    worker::{Sent, Stop, WorkerKey},
};
use crate::TaskId;

/// Share of a serving task's target, in percent, from which best-effort tasks are halted.
///
/// The figure of a task's tail is rough and half a second old.
const HALT_AT: u64 = 90;
/// Share of the target, in percent, from which they are held to half.
const SLOW_AT: u64 = 75;
/// Share of the target, in percent, below which they get more.
const RAISE_BELOW: u64 = 60;
/// How much more, in percent, and how long after the last change.
const RAISE_BY: u8 = 20;
const RAISE_AFTER: Duration = Duration::from_millis(900);

impl Owner {
    /// Chooses the share of a worker's best-effort tasks from what its serving tasks report.
    pub(super) fn pace(&mut self, now: Instant, key: WorkerKey) {
        let Some(worker) = self.workers.get_mut(key) else { return };
        let tightest = worker
            .tasks
            .iter()
            .filter(|it| it.target_ms > 0 && it.percent >= 100)
            .map(|it| u64::from(it.load) * 100 / u64::from(it.target_ms))
            .max();
        let since = now.since(worker.paced_at);
        let pace = match tightest {
            None => 100,
            Some(it) if it >= HALT_AT => 0,
            Some(it) if it >= SLOW_AT => worker.pace / 2,
            Some(it) if it < RAISE_BELOW && since >= RAISE_AFTER => {
                (worker.pace + RAISE_BY).min(100)
            }
            Some(_) => worker.pace,
        };
        if pace != worker.pace {
            worker.pace = pace;
            worker.paced_at = now;
        }
        for it in &mut worker.tasks {
            let there = matches!(it.sent, Sent::There(_)) && it.stop == Stop::No;
            if it.best_effort_cpu > 0 && it.pace != pace && there && !it.pace_in_flight {
                it.pace_in_flight = true;
                self.actions.push(Action::Pace(key, it.task, it.run, pace));
            }
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
