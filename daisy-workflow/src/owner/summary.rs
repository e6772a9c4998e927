//! What an owner has before it, in a few figures.

use std::time::Duration;

use daisy_model::Instant;

use super::Owner;
use crate::JobState;

/// Figures of one moment.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Summary {
    /// Jobs that are not ended.
    pub jobs: usize,
    /// Tasks whose turn has come and that are nowhere: those that are to last, those that use what
    /// others leave, and all others.
    pub waiting_lasting: usize,
    /// See [`waiting_lasting`](Summary::waiting_lasting).
    pub waiting_best_effort: usize,
    /// See [`waiting_lasting`](Summary::waiting_lasting).
    pub waiting: usize,
    /// Runs that may be on a worker.
    pub runs: usize,
    /// Workers that the platform's list names.
    pub workers: usize,
    /// Workers that take new tasks.
    pub usable: usize,
    /// Workers that do not answer and may still run something.
    pub silent: usize,
    /// Runs of tasks that last and whose fate is not known.
    pub uncertain: usize,
    /// How long until the last of them counts as over.
    pub uncertain_for: Duration,
    /// Processor time that is free on usable workers, in thousandths of a core.
    pub free_cpu: u64,
    /// The part of it in pieces too small for a task of the mean size that ends by itself.
    pub unusable_cpu: u64,
    /// The most of it on one worker.
    pub largest_room: u32,
    /// The most of it on one worker once all has ended that ends by itself.
    pub largest_room_in_time: u32,
    /// The least that any waiting task needs that is to last, in thousandths of a core; 0 for none.
    pub least_lasting: u32,
    /// How long the first of the waiting tasks that are to last has waited.
    pub longest_wait: Duration,
}

impl Owner {
    /// The figures of this moment.
    pub fn summary(&self, now: Instant) -> Summary {
        let mut sum = Summary { jobs: self.active.len(), ..Summary::default() };
        for (_, worker) in self.workers.iter() {
            sum.runs += worker.tasks.len();
            sum.workers += usize::from(worker.listed);
            sum.silent += usize::from(worker.hold_failures > 0 && !worker.tasks.is_empty());
            if self.usable(now, worker) {
                sum.usable += 1;
                let room = worker.free().cpu_milli;
                sum.free_cpu += u64::from(room);
                sum.largest_room = sum.largest_room.max(room);
                if room < self.typical_cpu {
                    sum.unusable_cpu += u64::from(room);
                }
                sum.largest_room_in_time =
                    sum.largest_room_in_time.max(worker.room_in_time().cpu_milli);
            }
        }
        for (id, _) in self.active.iter() {
            let Some(job) = self.ledger.job(*id) else { continue };
            if !matches!(job.state(), JobState::Queued | JobState::Running) {
                continue;
            }
            for ready in self.ready_steps(now, *id) {
                let step = &job.spec.steps[usize::from(ready.step)];
                let steps = &job.progress.occurrences[ready.occurrence as usize];
                let count = steps[usize::from(ready.step)].iter().filter(|it| it.is_waiting());
                let count = count.count();
                if step.long_running && count > 0 {
                    let need = step.allocation().cpu_milli;
                    sum.least_lasting = match sum.least_lasting {
                        0 => need,
                        least => least.min(need),
                    };
                }
                let sum = match (step.long_running, step.best_effort) {
                    (true, _) => &mut sum.waiting_lasting,
                    (false, true) => &mut sum.waiting_best_effort,
                    (false, false) => &mut sum.waiting,
                };
                *sum += count;
            }
        }
        let uncertain = self.uncertain(now);
        sum.uncertain = uncertain.len();
        sum.uncertain_for = uncertain.iter().map(|it| it.left).max().unwrap_or_default();
        let waits = self.waits_since.iter().map(|(_, since)| now.since(*since));
        sum.longest_wait = waits.max().unwrap_or_default();
        sum
    }
}
