//! The resource usage of tasks, their mutual slowdown, and the delayed reports of both.

use std::time::Duration;

use daisy_model::{Incarnation, Instant, JobId, Resources, TaskId, Usage};

use super::{FULL_SHARE, WorkerState};

/// Minimum time between two samples.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(100);

impl WorkerState {
    /// Returns the slowdown of a running task by all others, in thousandths.
    pub(super) fn slowdown(&self, victim: (TaskId, Incarnation)) -> u32 {
        let others = self.running.iter().filter(|(key, _)| **key != victim);
        let added = others.map(|(key, task)| {
            let per_core = self.slowdown_per_core(victim.0.job, key.0.job);
            let used =
                u64::from(task.size.cpu_milli) * u64::from(task.share) / u64::from(FULL_SHARE);
            (u64::from(per_core) * used / 1000) as u32
        });
        added.fold(FULL_SHARE, u32::saturating_add)
    }

    /// Returns the slowdown, in thousandths, that each core used by `aggressor` adds to `victim`.
    fn slowdown_per_core(&self, victim: JobId, aggressor: JobId) -> u32 {
        let interference = self.options.interference.iter();
        let matching =
            interference.filter(|it| (it.victim, it.aggressor) == (victim.0, aggressor.0));
        matching.map(|it| it.per_core).sum()
    }

    /// Returns the slowdown of one task of a job, in thousandths, or `None` if none is running.
    pub(super) fn slowdown_of_job(&self, job: JobId) -> Option<u32> {
        let mut of_job = self.running.iter().filter(|(key, _)| key.0.job == job);
        of_job.next().map(|(key, _)| self.slowdown(*key))
    }

    /// Samples the usage of all tasks, unless the newest sample is recent.
    pub(super) fn sample(&mut self, now: Instant) {
        let is_recent = self.samples.back().is_some_and(|(at, _)| now.since(*at) < SAMPLE_INTERVAL);
        if is_recent {
            return;
        }
        let usage = self.running.iter().map(|(key, task)| {
            let cpu =
                u64::from(task.size.cpu_milli) * u64::from(task.share) / u64::from(FULL_SHARE);
            let used = Resources { cpu_milli: cpu as u32, ..task.size };
            Usage { task: key.0, used, slowdown: self.slowdown(*key) }
        });
        let usage = usage.collect();
        self.samples.push_back((now, usage));
        let lag = self.options.usage_lag;
        while self.samples.get(1).is_some_and(|(at, _)| now.since(*at) >= lag) {
            self.samples.pop_front();
        }
        let reported = self.usage(now);
        self.journal.record_usage(&reported);
    }

    /// Returns the newest usage that is at least as old as the lag of reports.
    pub(super) fn usage(&self, now: Instant) -> Vec<Usage> {
        let old = self.samples.front().filter(|(at, _)| now.since(*at) >= self.options.usage_lag);
        old.map(|(_, usage)| usage.clone()).unwrap_or_default()
    }
}
