//! Figures on an owner's workload and workers.

use std::time::Duration;

use daisy_model::Instant;

use super::Owner;
use crate::JobState;

/// Figures of one moment.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Summary {
    /// Jobs that have not ended.
    pub jobs: usize,
    /// Ready tasks without a run: long-running ones, best-effort ones, and all others.
    pub waiting_long_running: usize,
    /// See [`waiting_long_running`](Summary::waiting_long_running).
    pub waiting_best_effort: usize,
    /// See [`waiting_long_running`](Summary::waiting_long_running).
    pub waiting: usize,
    /// Runs that may be on a worker.
    pub runs: usize,
    /// Workers in the platform's list.
    pub workers: usize,
    /// Workers that accept new tasks.
    pub usable: usize,
    /// Workers that do not answer and may still be running tasks.
    pub unresponsive: usize,
    /// Runs of long-running tasks whose outcome is unknown.
    pub unconfirmed_runs: usize,
    /// Time until the last of the `unconfirmed_runs` can be treated as ended.
    pub unconfirmed_for: Duration,
    /// Runs whose start orders may still be carried out.
    pub open_starts: usize,
    /// Workers that may hold the longest lease since a restart.
    pub long_leases: usize,
    /// Ends of runs that are not acknowledged yet because their tasks could start again.
    pub held_ends: usize,
    /// Free processor time on usable workers, in thousandths of a core.
    pub free_cpu: u64,
    /// The part of `free_cpu` on workers with less free processor time than a finite task reserves
    /// on average.
    pub unusable_cpu: u64,
    /// The most free processor time on one usable worker, in thousandths of a core.
    pub largest_free_cpu: u32,
    /// The most free processor time on one usable worker once all finite tasks have ended, in
    /// thousandths of a core.
    pub largest_future_free_cpu: u32,
    /// The least processor time that a waiting long-running task reserves, in thousandths of a
    /// core; 0 if none waits.
    pub smallest_waiting_cpu: u32,
    /// The longest time that a long-running task has waited.
    pub longest_wait: Duration,
    /// Jobs with ready tasks of which none runs, and how long one of them has been so.
    pub idle_jobs: usize,
    /// See [`idle_jobs`](Summary::idle_jobs).
    pub longest_idle: Duration,
}

impl Owner {
    /// Returns the figures of this moment.
    pub fn summary(&self, now: Instant) -> Summary {
        let mut sum = Summary {
            jobs: self.active.len(),
            open_starts: self.open_starts.len(),
            long_leases: self.count_long_leases(now),
            ..Summary::default()
        };
        for (_, worker) in self.workers.iter() {
            sum.runs += worker.tasks.len();
            sum.workers += usize::from(worker.listed);
            sum.held_ends += worker.held_ends.len();
            sum.unresponsive +=
                usize::from(worker.renewal_failures > 0 && !worker.tasks.is_empty());
            if self.is_usable(now, worker) {
                sum.usable += 1;
                let free = worker.free().cpu_milli;
                sum.free_cpu += u64::from(free);
                sum.largest_free_cpu = sum.largest_free_cpu.max(free);
                if free < self.mean_task_cpu {
                    sum.unusable_cpu += u64::from(free);
                }
                sum.largest_future_free_cpu =
                    sum.largest_future_free_cpu.max(worker.eventual_free().cpu_milli);
            }
        }
        for (id, view) in self.active.iter() {
            if let Some(since) = view.idle_since {
                sum.idle_jobs += 1;
                sum.longest_idle = sum.longest_idle.max(now.since(since));
            }
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
                    sum.smallest_waiting_cpu = match sum.smallest_waiting_cpu {
                        0 => need,
                        least => least.min(need),
                    };
                }
                let sum = match (step.long_running, step.best_effort) {
                    (true, _) => &mut sum.waiting_long_running,
                    (false, true) => &mut sum.waiting_best_effort,
                    (false, false) => &mut sum.waiting,
                };
                *sum += count;
            }
        }
        let unconfirmed_runs = self.unconfirmed_runs(now);
        sum.unconfirmed_runs = unconfirmed_runs.len();
        sum.unconfirmed_for =
            unconfirmed_runs.iter().map(|it| it.time_left).max().unwrap_or_default();
        let waits = self.waiting_since.iter().map(|(_, since)| now.since(*since));
        sum.longest_wait = waits.max().unwrap_or_default();
        sum
    }
}
