//! Processes usage reports: learns interference, throttles batch work, and evicts it where
//! throttling does not help the services.

use std::time::Duration;

use daisy_model::{Instant, Order, TaskId, Usage};

use crate::{
    holder::Holder,
    interference::Interference,
    job_family::JobFamily,
    place::FULL_SHARE,
    reason::Reason,
    throttle::{SHARE_LEVELS, TARGET_SLOWDOWN, ThrottleControl, ThrottleRule, UsageSignal},
    worker::{AllocationState, Removal, Worker, WorkerKey},
};

/// The assumed delay of usage reports.
const REPORT_LAG: Duration = Duration::from_secs(6);
/// The minimum interval between two reports of one worker from which interference is learned.
const LEARN_INTERVAL: Duration = Duration::from_secs(5);
/// The minimum slowdown, in thousandths, with which a task is treated as noisy for the services
/// beside it.
pub(crate) const NOISY_SLOWDOWN: f32 = 40.0;
/// The interval between two evictions for interference on one worker: the effect of the first
/// one shows only after this time.
const INTERFERENCE_EVICTION_INTERVAL: Duration = Duration::from_secs(30);
/// The least change of a throttled share that is ordered, in thousandths.
const MIN_SHARE_CHANGE: u32 = 40;

impl Holder {
    /// Handles a worker's usage report: learns from it and adjusts the throttling of batch work.
    pub(crate) fn adjust_throttle(&mut self, now: Instant, key: WorkerKey, usage: &[Usage]) {
        if usage.is_empty() {
            return;
        }
        if let Some(worker) = self.worker_mut(key) {
            worker.record_load(now, REPORT_LAG);
        }
        if let Some(worker) = self.worker_mut(key).filter(|it| now >= it.next_learn_at) {
            worker.next_learn_at = now + LEARN_INTERVAL;
            self.learn(now, key, usage);
        }
        let Some(slowdown) = self.worst_service_slowdown(key, usage) else {
            self.set_share(now, key, FULL_SHARE, 1000, None);
            return;
        };
        let cpu_use = self.cpu_use(key, usage);
        let max_cpu_use = self.policy.throttle_above;
        let of_policy = || ThrottleControl::of(&self.policy.objective);
        let control = self.options.limits.control.unwrap_or_else(of_policy);
        let backlog = self.backlog;
        let eviction_delay = ThrottleControl::eviction_delay(&self.policy.objective);
        let Some(worker) = self.worker_mut(key) else { return };
        let share =
            worker.throttle.step(now, control.rule, UsageSignal { slowdown, cpu_use, max_cpu_use });
        let is_ineffective = worker.throttle.is_ineffective(now, eviction_delay);
        let is_cpu_full = cpu_use > max_cpu_use;
        let interfering_only = control.interfering_only && !is_cpu_full;
        let noisy = if interfering_only { self.noisy_families(key) } else { None };
        let share = match (&noisy, control.rule) {
            (Some(_), _) => {
                share.min(control.ceiling.share(backlog)).min(self.predicted_share(key))
            }
            // A fixed share is meant for noisy families, and there are none here.
            (None, ThrottleRule::Static(_)) if control.interfering_only && !is_cpu_full => {
                FULL_SHARE
            }
            (None, _) => share,
        };
        self.set_share(now, key, share, slowdown, noisy.as_deref());
        if is_ineffective {
            self.evict_worst_neighbour(now, key, slowdown);
        }
    }

    /// Computes the number of waiting batch tasks per worker that takes new work.
    pub(crate) fn count_backlog(&mut self) {
        let batch = self.jobs.iter().filter(|(_, job)| !job.is_service() && !job.cancelled);
        let waiting: usize = batch.map(|(_, job)| job.waiting.len() + job.pending.len()).sum();
        let data_centres = self.options.data_centres.len().max(1);
        let open = self.roster.iter().filter(|(_, worker)| worker.is_open()).count();
        self.backlog = waiting as f32 / (data_centres * open.max(1)) as f32;
    }

    fn learn(&mut self, now: Instant, key: WorkerKey, usage: &[Usage]) {
        for it in usage {
            if let Some(job) = self.jobs.get_mut(&it.task.job) {
                job.measured.add_sample(it.used);
            }
        }
        let Some(worker) = self.roster.get(key) else { return };
        // The report describes the neighbours at the time of measurement. Otherwise the slowdown
        // would be attributed to neighbours that arrived since, and not to those that left.
        let Some((at, weights)) = worker.load_history.front() else { return };
        if now < *at + REPORT_LAG {
            return;
        }
        for it in usage {
            let Some(allocation) = worker.allocations.get(&it.task) else { continue };
            if allocation.class.is_service && now >= allocation.since + REPORT_LAG {
                let neighbours = neighbours(weights, allocation.class.family);
                self.interference.learn(allocation.class.family, &neighbours, it.slowdown);
            }
        }
    }

    fn worst_service_slowdown(&self, key: WorkerKey, usage: &[Usage]) -> Option<u32> {
        let worker = self.roster.get(key)?;
        let is_service = |it: &&Usage| {
            worker.allocations.get(&it.task).is_some_and(|allocation| allocation.class.is_service)
        };
        usage.iter().filter(is_service).map(|it| it.slowdown).max()
    }

    /// Returns the processor use of a worker, in thousandths of its capacity.
    fn cpu_use(&self, key: WorkerKey, usage: &[Usage]) -> u32 {
        let Some(worker) = self.roster.get(key) else { return 0 };
        let used: u64 = usage.iter().map(|it| u64::from(it.used.cpu_milli)).sum();
        let capacity = u64::from(worker.capacity.cpu_milli.max(1));
        u32::try_from(used * 1000 / capacity).unwrap_or(u32::MAX)
    }

    /// Returns the batch families on a worker that are known to be noisy for its services.
    ///
    /// Returns `None` if there are none: all batch work is throttled alike then.
    fn noisy_families(&self, key: WorkerKey) -> Option<Vec<JobFamily>> {
        let worker = self.roster.get(key)?;
        let services = service_families(worker);
        let batch = worker.families.iter().filter(|(family, _)| !self.families.is_service(*family));
        let is_noisy = |family: &JobFamily| {
            expected_harm(&self.interference, &services, *family) >= NOISY_SLOWDOWN
        };
        let noisy: Vec<JobFamily> = batch.map(|(family, _)| *family).filter(is_noisy).collect();
        (!noisy.is_empty()).then_some(noisy)
    }

    /// Predicts the share at which the neighbours are expected to keep the services near the
    /// target slowdown.
    ///
    /// Reports come too late for the first seconds of a burst of noise, and these seconds
    /// determine the tail latency. Families known to be noisy are therefore throttled before a
    /// report shows it. The slowdown caused by a neighbour falls about with the square of its
    /// share.
    fn predicted_share(&self, key: WorkerKey) -> u32 {
        let Some(worker) = self.roster.get(key) else { return FULL_SHARE };
        let worst = service_families(worker)
            .into_iter()
            .map(|service| self.interference.slowdown_of_all(service, &worker.families))
            .max()
            .unwrap_or(0);
        let budget = TARGET_SLOWDOWN - 1000;
        if worst <= budget {
            return FULL_SHARE;
        }
        let share = (budget as f32 / worst as f32).sqrt() * 1000.0;
        (share as u32).max(SHARE_LEVELS[SHARE_LEVELS.len() - 1])
    }

    /// Orders a share for the tasks of a worker that may be delayed, or only for those of
    /// `only_families` if given; the others get their full share.
    ///
    /// Throttling a neighbour that slows no service would delay its work without any benefit.
    fn set_share(
        &mut self,
        now: Instant,
        key: WorkerKey,
        share: u32,
        slowdown: u32,
        only_families: Option<&[JobFamily]>,
    ) {
        let Some(worker) = self.roster.get_mut(key) else { return };
        let mut is_changed = false;
        for (task, allocation) in worker.allocations.iter_mut() {
            let is_running = allocation.state == AllocationState::Running
                && allocation.removal == Removal::NotPlanned;
            let is_affected =
                only_families.is_none_or(|families| families.contains(&allocation.class.family));
            let share = if is_affected { share } else { FULL_SHARE };
            if !allocation.class.may_delay
                || !is_running
                || !is_significant(allocation.share, share)
            {
                continue;
            }
            allocation.share = share;
            let (task, incarnation) = (*task, allocation.incarnation);
            worker.orders.retain(|order| !is_throttle_of(order, task));
            worker.orders.push(Order::Throttle { task, incarnation, share });
            is_changed = true;
        }
        if is_changed {
            worker.notes.add(now, Reason::Throttled { share, slowdown });
            self.roster.mark_for_call(key);
        }
    }

    /// Checkpoints the neighbour that is expected to slow the services down most.
    fn evict_worst_neighbour(&mut self, now: Instant, key: WorkerKey, slowdown: u32) {
        let Some(worker) = self.roster.get(key) else { return };
        if worker.next_interference_eviction_at.is_some_and(|at| now < at) {
            return;
        }
        let Some(task) = self.worst_neighbour(key) else { return };
        let vm = worker.label.clone();
        self.note(now, task, Reason::EvictedForInterference { vm, slowdown });
        self.checkpoint(key, task);
        if let Some(worker) = self.worker_mut(key) {
            worker.next_interference_eviction_at = Some(now + INTERFERENCE_EVICTION_INTERVAL);
            worker.throttle.restart_ineffective_timer();
        }
    }

    fn worst_neighbour(&self, key: WorkerKey) -> Option<TaskId> {
        let worker = self.roster.get(key)?;
        let services = service_families(worker);
        let evictable = worker.allocations.iter().filter(|(_, allocation)| {
            allocation.class.may_evict
                && !allocation.class.is_service
                && allocation.state == AllocationState::Running
                && allocation.removal == Removal::NotPlanned
        });
        let expected_harm =
            |family: JobFamily| expected_harm(&self.interference, &services, family);
        let worst = evictable.max_by(|(_, a), (_, b)| {
            let by_harm = expected_harm(a.class.family).total_cmp(&expected_harm(b.class.family));
            by_harm.then(a.size.cpu_milli.cmp(&b.size.cpu_milli))
        });
        worst.map(|(task, _)| *task)
    }
}

/// Returns the families of the services on a worker, each one once.
fn service_families(worker: &Worker) -> Vec<JobFamily> {
    let services = worker.allocations.iter().filter(|(_, allocation)| allocation.class.is_service);
    let mut families: Vec<JobFamily> =
        services.map(|(_, allocation)| allocation.class.family).collect();
    families.sort_unstable();
    families.dedup();
    families
}

/// Returns the slowdown that a task of a family is expected to add to the services in total, in
/// thousandths.
fn expected_harm(interference: &Interference, services: &[JobFamily], family: JobFamily) -> f32 {
    services.iter().map(|victim| interference.slowdown_of_one(*victim, family)).sum()
}

/// Returns the weights of the families beside one task of the family `own`, without that task
/// itself.
fn neighbours(weights: &[(JobFamily, f32)], own: JobFamily) -> Vec<(JobFamily, f32)> {
    let without_itself = |(family, weight): &(JobFamily, f32)| {
        let weight = if *family == own { (weight - 1.0).max(0.0) } else { *weight };
        (*family, weight)
    };
    weights.iter().map(without_itself).collect()
}

fn is_significant(old: u32, new: u32) -> bool {
    old.abs_diff(new) > MIN_SHARE_CHANGE || new == FULL_SHARE && old != new
}

fn is_throttle_of(order: &Order, task: TaskId) -> bool {
    matches!(order, Order::Throttle { task: it, .. } if *it == task)
}
