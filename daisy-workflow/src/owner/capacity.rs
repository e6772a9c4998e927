//! Learns the finite load of the shard, and reports what its workers can still take besides.

use std::{sync::Arc, time::Duration};

use daisy_admission::{CapacityPlan, CapacityReport, FiniteLoad, plan_capacity};
use daisy_model::{Instant, Resources, SortedMap};

use super::{Owner, worker::WorkerKey};
use crate::{JobId, Load, StepSpec, TaskId};

/// The time over which the freed capacity is averaged.
const FREED_WINDOW: Duration = Duration::from_secs(10);
/// The most cancelled jobs that are remembered for it.
const MAX_FREED: usize = 256;

/// What an owner has learned about the work of its shard.
#[derive(Debug, Default)]
pub(super) struct ObservedLoad {
    /// The finite work by service.
    finite: SortedMap<Arc<str>, FiniteLoad>,
    /// What long-running jobs reserved that were cancelled: when, for which service, and how much.
    freed: Vec<(Instant, Arc<str>, u64)>,
    /// The running mean of what a long-running task reserves.
    mean_long_running: Resources,
    /// The sum of the plans of the last reports.
    last_plan: Option<CapacityPlan>,
}

impl Owner {
    /// Counts a job that arrived at `at` as load of this shard, unless another shard counts it.
    pub(super) fn observe_job(&mut self, at: Instant, id: JobId) {
        let Some(protected_priority) = self.settings.rules.protected_priority else { return };
        if self.settings.layout.shard_of_job(id) != self.settings.shard {
            return;
        }
        let Some(spec) = self.ledger.job(id).map(|it| it.spec.clone()) else { return };
        let service = self.service(&spec);
        for step in &spec.steps {
            if step.long_running {
                self.observed_load.observe_long_running(step);
            } else if !step.best_effort && spec.terms.priority <= protected_priority {
                let load = || FiniteLoad::new(self.began_at);
                let load = self.observed_load.finite.get_or_insert_with(service.clone(), load);
                let estimate = Duration::from_millis(u64::from(step.estimate_ms));
                load.step_arrived(at, step.allocation(), step.count, estimate);
            }
        }
    }

    /// Learns from a run that ended how long finite tasks hold their capacity.
    pub(super) fn observe_end(&mut self, now: Instant, key: WorkerKey, task: TaskId, run: u32) {
        let Some(spec) = self.ledger.job(task.job).map(|it| it.spec.clone()) else { return };
        let Some(step) = spec.step_of(task).filter(|it| !it.best_effort && !it.long_running) else {
            return;
        };
        let service = self.service(&spec);
        let Some(load) = self.observed_load.finite.get_mut(&service) else { return };
        let Some(it) = self.workers.get_mut(key).and_then(|it| it.find(task, run)) else { return };
        // When a run began that an earlier owner started is not known.
        if it.pace.is_some() {
            let estimate = Duration::from_millis(u64::from(step.estimate_ms));
            load.task_ended(estimate, now.since(it.began_at));
        }
    }

    /// Counts what a cancelled long-running job frees.
    pub(super) fn observe_cancel(&mut self, now: Instant, id: JobId) {
        if self.settings.rules.protected_priority.is_none() || !self.active.contains_key(&id) {
            return;
        }
        let Some(spec) = self.ledger.job(id).map(|it| it.spec.clone()) else { return };
        let cpu = spec.long_running_cpu();
        if cpu > 0 {
            let service = self.service(&spec);
            let freed = &mut self.observed_load.freed;
            freed.retain(|(at, ..)| now.since(*at) < FREED_WINDOW);
            if freed.len() < MAX_FREED {
                freed.push((now, service, cpu));
            }
        }
    }

    /// Returns what this shard's workers can still take, for each service that has finite work.
    pub fn capacity_reports(&mut self, now: Instant) -> Vec<CapacityReport> {
        if self.settings.rules.protected_priority.is_none() {
            return Vec::new();
        }
        let mut services: Vec<Arc<str>> =
            self.workers.iter().map(|(_, it)| it.service.clone()).collect();
        services.sort_unstable();
        services.dedup();
        let reports: Vec<CapacityReport> =
            services.into_iter().map(|it| self.capacity_report(now, it)).collect();
        self.observed_load.last_plan = Load::sum_plans(&reports);
        reports
    }

    /// Returns the sum of the plans of the last reports.
    pub(super) fn last_plan(&self) -> Option<CapacityPlan> {
        self.observed_load.last_plan
    }

    fn capacity_report(&mut self, now: Instant, service: Arc<str>) -> CapacityReport {
        if let Some(load) = self.observed_load.finite.get_mut(&service) {
            load.expire(now);
        }
        let (capacities, _) = self.eventual_free_capacity(now);
        let of_service = capacities.into_iter().filter(|(it, _)| it.service == service);
        let blocks: Vec<Resources> = of_service.map(|(_, free)| free).collect();
        let load = self.observed_load.finite.get(&service);
        let offered = load.map(|it| it.offered(now)).unwrap_or_default();
        let factor = offered.peak_factor(self.settings.layout.shards);
        let tasks = load.map(|it| it.concurrent_tasks(now, factor)).unwrap_or_default();
        let plan = plan_capacity(blocks, &tasks, self.observed_load.mean_long_running);
        let freed_cpu_per_s = self.observed_load.freed_cpu_per_s(now, &service);
        CapacityReport { service, offered, plan, freed_cpu_per_s }
    }
}

impl ObservedLoad {
    fn observe_long_running(&mut self, step: &StepSpec) {
        /// Number of steps after which an older one has little weight.
        const STEPS: u32 = 16;
        let need = step.allocation();
        let mean = &mut self.mean_long_running;
        if *mean == Resources::ZERO {
            *mean = need;
            return;
        }
        let next = |mean: u32, need: u32| mean / STEPS * (STEPS - 1) + need / STEPS;
        *mean = Resources {
            cpu_milli: next(mean.cpu_milli, need.cpu_milli),
            memory_mib: next(mean.memory_mib, need.memory_mib),
            accelerators: 0,
        };
    }

    fn freed_cpu_per_s(&self, now: Instant, service: &str) -> u64 {
        let recent = self
            .freed
            .iter()
            .filter(|(at, it, _)| now.since(*at) < FREED_WINDOW && &**it == service);
        recent.map(|(.., cpu)| *cpu).sum::<u64>() / FREED_WINDOW.as_secs()
    }
}
