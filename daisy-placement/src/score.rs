//! What speaks for and against a worker with room.

use daisy_model::{JobId, Resources};

use crate::{
    holder::Holder,
    job::JobView,
    task::Phase,
    worker::{Worker, WorkerKey},
};

/// Of a rack that already has a replica of the service, for each replica.
const SAME_RACK: u64 = 2_000;
/// Of a worker that already has a replica of the service.
const SAME_WORKER: u64 = 8_000;
/// Of accelerators left idle by a task that wants none, for each.
const IDLE_ACCELERATOR: u64 = 1_000;
/// Of one thousandth of slowdown that is expected to be added to services.
const SLOWDOWN: u64 = 4;
/// Of one thousandth by which the worker's batch work is limited already.
const LIMITED: u64 = 2;

impl Holder {
    /// The cost of starting a task of `job` on a worker; the least is best.
    ///
    /// Fit counts as the share of the worker that would be left, so that whole workers stay
    /// free for large tasks; what disturbs services, or loses two replicas with one rack,
    /// costs more than any fit.
    pub(crate) fn cost(
        &self,
        job: &JobView,
        size: Resources,
        racks: &[(u16, u64)],
        key: WorkerKey,
    ) -> u64 {
        let Some(worker) = self.roster.get(key) else { return u64::MAX };
        let Some(rest) = worker.free().try_sub(size) else { return u64::MAX };
        let mut cost = left_over(rest, worker.capacity);
        if size.accelerators == 0 {
            cost += IDLE_ACCELERATOR * u64::from(rest.accelerators);
        }
        cost += SLOWDOWN * self.expected_slowdown(job, worker);
        if job.is_service() {
            let in_rack = racks.iter().find(|(rack, _)| *rack == worker.rack);
            let on_worker = worker.kinds.iter().find(|(kind, _)| *kind == job.kind);
            cost += SAME_RACK * in_rack.map_or(0, |(_, count)| *count);
            cost += SAME_WORKER * on_worker.map_or(0, |(_, count)| u64::from(*count));
        } else {
            cost += LIMITED * u64::from(1000 - worker.throttle.share().min(1000));
        }
        cost
    }

    /// The slowdown in thousandths that the start is expected to add to services there.
    fn expected_slowdown(&self, job: &JobView, worker: &Worker) -> u64 {
        if job.is_service() {
            return u64::from(self.interference.added(job.kind, &worker.kinds));
        }
        let services = worker.held.iter().filter(|(_, held)| held.class.service);
        let added = services.map(|(_, held)| self.interference.pair(held.class.kind, job.kind));
        added.sum::<f32>() as u64
    }

    /// How many replicas of a service each rack has.
    pub(crate) fn racks_of(&self, id: JobId) -> Vec<(u16, u64)> {
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

/// What is left of a worker in thousandths, the mean of processors and memory.
fn left_over(rest: Resources, whole: Resources) -> u64 {
    let part = |rest: u32, whole: u32| u64::from(rest) * 500 / u64::from(whole.max(1));
    part(rest.cpu_milli, whole.cpu_milli) + part(rest.memory_mib, whole.memory_mib)
}
