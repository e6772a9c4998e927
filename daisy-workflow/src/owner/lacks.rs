//! What keeps a task that lasts from starting, worker by worker.

use std::time::Duration;

use daisy_model::{Instant, Resources};

use super::{Owner, place::is_crowded};
use crate::TaskId;

/// A task that waits, and how many workers lack what it needs; each counts once, by the first that it
/// lacks in the order of the fields.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Lacks {
    /// The task.
    pub task: TaskId,
    /// How long it has waited.
    pub waited: Duration,
    /// What it needs.
    pub need: Resources,
    /// Workers that take no new tasks, or are of another service or kind.
    pub unusable: usize,
    /// Workers without the processors, or accelerators.
    pub processors: usize,
    /// Workers with the processors, and without the memory.
    pub memory: usize,
    /// Workers that have as many tasks of its step as may be on one.
    pub crowded: usize,
    /// Workers that are kept for others.
    pub kept: usize,
    /// Workers that lack nothing.
    pub nothing: usize,
}

impl Owner {
    /// The waiting task that lasts and has waited longest of those for which a worker has the
    /// processors, or of all if there is none; and what the workers lack for it.
    pub fn try_longest_wait(&self, now: Instant) -> Option<Lacks> {
        let waits = self.waits_since.iter();
        let lacks = waits.filter_map(|(task, since)| self.try_lacks(now, *task, now.since(*since)));
        lacks.max_by_key(|it| (it.memory + it.crowded + it.kept + it.nothing > 0, it.waited))
    }

    fn try_lacks(&self, now: Instant, task: TaskId, waited: Duration) -> Option<Lacks> {
        let job = self.ledger.job(task.job)?;
        let step = job.spec.steps.get(usize::from(task.step))?;
        let service = self.service(&job.spec);
        let need = step.allocation();
        let mut lacks = Lacks {
            task,
            waited,
            need,
            unusable: 0,
            processors: 0,
            memory: 0,
            crowded: 0,
            kept: 0,
            nothing: 0,
        };
        for (key, it) in self.workers.iter().filter(|(_, it)| it.listed) {
            let free = it.free();
            let label = step.required_label.as_ref().is_none_or(|label| it.has_label(label));
            let processors =
                need.cpu_milli <= free.cpu_milli && need.accelerators <= free.accelerators;
            let count = if !(it.service == service && label && self.takes_lasting(now, it)) {
                &mut lacks.unusable
            } else if !processors {
                &mut lacks.processors
            } else if !need.fits(free) {
                &mut lacks.memory
            } else if is_crowded(step, it, task) {
                &mut lacks.crowded
            } else if self.kept.iter().any(|it| it.worker == key) {
                &mut lacks.kept
            } else {
                &mut lacks.nothing
            };
            *count += 1;
        }
        Some(lacks)
    }
}
