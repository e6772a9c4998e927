//! The cost of starting a task on a worker.

use daisy_model::{JobId, Resources};

use crate::{
    control::NOISY_SLOWDOWN,
    holder::Holder,
    job::JobView,
    task::Phase,
    throttle::TARGET_SLOWDOWN,
    worker::{Worker, WorkerKey},
};

/// The `free_fraction` of an empty worker.
const EMPTY_WORKER_FRACTION: u64 = 1_000;
/// The cost of a rack that already has a replica of the service, for each replica.
const SAME_RACK_COST: u64 = 2_000;
/// The cost of a worker that already has a replica of the service, for each replica.
const SAME_WORKER_COST: u64 = 8_000;
/// The cost of each accelerator left idle by a task that needs none.
const IDLE_ACCELERATOR_COST: u64 = 1_000;
/// The cost factor of the squared slowdown that a start is expected to add to services.
const SLOWDOWN_COST: u64 = 8;
/// The cost of each thousandth by which the worker's batch work is already throttled.
const THROTTLED_COST: u64 = 2;

impl Holder {
    /// Returns the cost of starting a task of `job` on a worker; the least is best.
    ///
    /// Work is spread over the emptiest workers, where interference is least, as long as
    /// everything finds capacity. When something does not, new work is packed, so that whole
    /// workers become free for large tasks. Starts that disturb services, or that would lose two
    /// replicas with one rack, cost more than either.
    pub(crate) fn cost(
        &self,
        job: &JobView,
        size: Resources,
        racks: &[(u16, u64)],
        key: WorkerKey,
    ) -> u64 {
        let Some(worker) = self.roster.get(key) else { return u64::MAX };
        let Some(rest) = worker.free().try_sub(size) else { return u64::MAX };
        let left = free_fraction(rest, worker.capacity);
        let mut cost = if self.is_packing { left } else { EMPTY_WORKER_FRACTION - left };
        if size.accelerators == 0 {
            cost += IDLE_ACCELERATOR_COST * u64::from(rest.accelerators);
        }
        cost += SLOWDOWN_COST * self.expected_interference(job, worker);
        if job.is_service() {
            let in_rack = racks.iter().find(|(rack, _)| *rack == worker.rack);
            let on_worker = worker.families.iter().find(|(family, _)| *family == job.family);
            cost += SAME_RACK_COST * in_rack.map_or(0, |(_, count)| *count);
            cost += SAME_WORKER_COST * on_worker.map_or(0, |(_, count)| u64::from(*count));
        } else {
            cost += THROTTLED_COST * u64::from(1000 - worker.throttle.share().min(1000));
        }
        cost
    }

    /// Returns the interference of a start with services: the added squared slowdown, in
    /// thousandths.
    ///
    /// The square spreads noisy neighbours: a second one on a worker costs more than the first one
    /// on another worker, since workers with several noisy neighbours determine the tail latency.
    fn expected_interference(&self, job: &JobView, worker: &Worker) -> u64 {
        let square = |slowdown: u32| u64::from(slowdown) * u64::from(slowdown) / 1000;
        if job.is_service() {
            return square(self.interference.slowdown_of_all(job.family, &worker.families));
        }
        let services =
            worker.families.iter().filter(|(family, _)| self.families.is_service(*family));
        let harms = services.map(|(service, count)| {
            let added = self.interference.slowdown_of_one(*service, job.family) as u32;
            if added == 0 {
                return 0;
            }
            let before = self.interference.slowdown_of_all(*service, &worker.families);
            u64::from(*count) * (square(before + added) - square(before))
        });
        harms.sum()
    }

    /// Whether a start is expected to slow a service on the worker beyond the target.
    ///
    /// Tasks of one family are noisy at the same time; those of several families seldom are, so
    /// their slowdowns may add up to twice as much.
    pub(crate) fn exceeds_interference_budget(&self, job: &JobView, worker: &Worker) -> bool {
        const BUDGET: f32 = (TARGET_SLOWDOWN - 1000) as f32;
        let same_family_tasks = worker.families.iter().find(|(family, _)| *family == job.family);
        let same_family_tasks = same_family_tasks.map_or(0, |(_, count)| *count) as f32 + 1.0;
        let mut services =
            worker.families.iter().filter(|(family, _)| self.families.is_service(*family));
        services.any(|(service, _)| {
            let per_task = self.interference.slowdown_of_one(*service, job.family);
            let total =
                || self.interference.slowdown_of_all(*service, &worker.families) as f32 + per_task;
            per_task > 0.0
                && (per_task * same_family_tasks > BUDGET
                    || per_task > NOISY_SLOWDOWN && total() > 2.0 * BUDGET)
        })
    }

    /// Returns the number of replicas of a service on each rack.
    pub(crate) fn replicas_per_rack(&self, id: JobId) -> Vec<(u16, u64)> {
        let mut racks: Vec<(u16, u64)> = Vec::new();
        let Some(job) = self.jobs.get(&id).filter(|job| job.is_service()) else { return racks };
        for local in &job.tasks {
            let (Phase::Running { worker } | Phase::Starting { worker }) = local.phase else {
                continue;
            };
            let Some(rack) = self.roster.get(worker).map(|worker| worker.rack) else { continue };
            match racks.iter_mut().find(|(it, _)| *it == rack) {
                Some((_, count)) => *count += 1,
                None => racks.push((rack, 1)),
            }
        }
        racks
    }
}

/// Returns the free fraction of a worker in thousandths, as the mean over processors and memory.
fn free_fraction(rest: Resources, whole: Resources) -> u64 {
    let part = |rest: u32, whole: u32| u64::from(rest) * 500 / u64::from(whole.max(1));
    part(rest.cpu_milli, whole.cpu_milli) + part(rest.memory_mib, whole.memory_mib)
}
