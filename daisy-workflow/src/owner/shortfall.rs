//! Counts why workers cannot take a waiting long-running task.

use std::time::Duration;

use daisy_model::{Instant, Resources};

use super::{Owner, placement::is_at_step_limit};
use crate::TaskId;

/// A waiting task and the number of workers by the reason why they cannot take it. Each worker is
/// counted once, under the first field that applies.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PlacementShortfall {
    /// The waiting task.
    pub task: TaskId,
    /// How long the task has waited.
    pub waited: Duration,
    /// Resources that the task reserves.
    pub need: Resources,
    /// Workers that accept no new tasks, belong to another service, or lack the required label.
    pub ineligible: usize,
    /// Workers without enough free processor time or accelerators.
    pub short_of_cpu: usize,
    /// Workers with enough processor time and accelerators, but not enough memory.
    pub short_of_memory: usize,
    /// Workers that already run the maximum number of tasks of this step.
    pub at_step_limit: usize,
    /// Workers that are reserved for other tasks.
    pub reserved: usize,
    /// Workers that could take the task.
    pub suitable: usize,
}

impl Owner {
    /// Returns the long-running task that has waited longest, and why workers cannot take it.
    /// Prefers tasks for which at least one worker has enough processor time and accelerators.
    pub fn longest_waiting_task(&self, now: Instant) -> Option<PlacementShortfall> {
        let waits = self.waiting_since.iter();
        let shortfalls = waits
            .filter_map(|(task, since)| self.placement_shortfall(now, *task, now.since(*since)));
        shortfalls.max_by_key(|it| {
            (it.short_of_memory + it.at_step_limit + it.reserved + it.suitable > 0, it.waited)
        })
    }

    fn placement_shortfall(
        &self,
        now: Instant,
        task: TaskId,
        waited: Duration,
    ) -> Option<PlacementShortfall> {
        let job = self.ledger.job(task.job)?;
        let step = job.spec.steps.get(usize::from(task.step))?;
        let service = self.service(&job.spec);
        let need = step.allocation();
        let mut shortfall = PlacementShortfall {
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
            let has_cpu =
                need.cpu_milli <= free.cpu_milli && need.accelerators <= free.accelerators;
            let count = if !(it.suits(&service, step) && self.accepts_long_running(now, it)) {
                &mut shortfall.ineligible
            } else if !has_cpu {
                &mut shortfall.short_of_cpu
            } else if !need.fits(free) {
                &mut shortfall.short_of_memory
            } else if is_at_step_limit(step, it, task) {
                &mut shortfall.at_step_limit
            } else if self.reservations.iter().any(|it| it.worker == key) {
                &mut shortfall.reserved
            } else {
                &mut shortfall.suitable
            };
            *count += 1;
        }
        Some(shortfall)
    }
}
