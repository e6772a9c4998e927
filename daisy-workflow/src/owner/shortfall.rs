//! What keeps a task that lasts from starting, worker by worker.

use std::time::Duration;

use daisy_model::{Instant, Resources};

use super::{Owner, placement::is_at_step_limit};
use crate::TaskId;

/// A task that waits, and how many workers lack what it needs; each counts once, by the first that it
/// lacks in the order of the fields.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PlacementShortfall {
    /// The task.
    pub task: TaskId,
    /// How long it has waited.
    pub waited: Duration,
    /// What it needs.
    pub need: Resources,
    /// Workers that take no new tasks, or are of another service or kind.
    pub ineligible: usize,
    /// Workers without the processors, or accelerators.
    pub short_of_cpu: usize,
    /// Workers with the processors, and without the memory.
    pub short_of_memory: usize,
    /// Workers that have as many tasks of its step as may be on one.
    pub at_step_limit: usize,
    /// Workers that are kept for others.
    pub reserved: usize,
    /// Workers that lack nothing.
    pub suitable: usize,
}

impl Owner {
    /// The waiting task that lasts and has waited longest of those for which a worker has the
    /// processors, or of all if there is none; and what the workers lack for it.
    pub fn longest_waiting_task(&self, now: Instant) -> Option<PlacementShortfall> {
        let waits = self.waiting_since.iter();
        let lacks = waits.filter_map(|(task, since)| self.try_lacks(now, *task, now.since(*since)));
        lacks.max_by_key(|it| {
            (it.short_of_memory + it.at_step_limit + it.reserved + it.suitable > 0, it.waited)
        })
    }

    fn try_lacks(
        &self,
        now: Instant,
        task: TaskId,
        waited: Duration,
    ) -> Option<PlacementShortfall> {
        let job = self.ledger.job(task.job)?;
        let step = job.spec.steps.get(usize::from(task.step))?;
        let service = self.service(&job.spec);
        let need = step.counted();
        let mut lacks = PlacementShortfall {
            task,
            waited,
            need,
            ineligible: 0,
            short_of_cpu: 0,
            short_of_memory: 0,
            at_step_limit: 0,
            reserved: 0,
            suitable: 0,
        };
        for (key, it) in self.workers.iter().filter(|(_, it)| it.listed) {
            let free = it.free();
            let label = step.required_label.as_ref().is_none_or(|label| it.has_label(label));
            let short_of_cpu =
                need.cpu_milli <= free.cpu_milli && need.accelerators <= free.accelerators;
            let count = if !(it.service == service && label && self.accepts_long_running(now, it)) {
                &mut lacks.ineligible
            } else if !short_of_cpu {
                &mut lacks.short_of_cpu
            } else if !need.fits(free) {
                &mut lacks.short_of_memory
            } else if is_at_step_limit(step, it, task) {
                &mut lacks.at_step_limit
            } else if self.reservations.iter().any(|it| it.worker == key) {
                &mut lacks.reserved
            } else {
                &mut lacks.suitable
            };
            *count += 1;
        }
        Some(lacks)
    }
}
