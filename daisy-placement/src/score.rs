//! What speaks for and against a worker with room.

use daisy_model::{JobId, Resources};

use crate::{
    control::NOISY,
    holder::Holder,
    job::JobView,
    task::Phase,
    throttle::TARGET,
    worker::{Worker, WorkerKey},
};

/// What is left of an empty worker, in the measure of `left_over`.
const WHOLE: u64 = 1_000;
/// Of a rack that already has a replica of the service, for each replica.
const SAME_RACK: u64 = 2_000;
/// Of a worker that already has a replica of the service.
const SAME_WORKER: u64 = 8_000;
/// Of accelerators left idle by a task that wants none, for each.
const IDLE_ACCELERATOR: u64 = 1_000;
/// Of what a start is expected to add to the squared slowdowns of services.
const SLOWDOWN: u64 = 8;
/// Of one thousandth by which the worker's batch work is limited already.
const LIMITED: u64 = 2;

impl Holder {
    /// The cost of starting a task of `job` on a worker; the least is best.
    ///
    /// Work is spread over the emptiest workers, where it disturbs and is disturbed least,
    /// as long as everything finds room; when something does not, new work is packed, so
    /// that whole workers come free for large tasks. What disturbs services, or loses two
    /// replicas with one rack, costs more than either.
    pub(crate) fn cost(
        &self,
        job: &JobView,
        size: Resources,
        racks: &[(u16, u64)],
        key: WorkerKey,
    ) -> u64 {
        let Some(worker) = self.roster.get(key) else { return u64::MAX };
        let Some(rest) = worker.free().try_sub(size) else { return u64::MAX };
        let left = left_over(rest, worker.capacity);
        let mut cost = if self.packs { left } else { WHOLE - left };
        if size.accelerators == 0 {
            cost += IDLE_ACCELERATOR * u64::from(rest.accelerators);
        }
        cost += SLOWDOWN * self.expected_harm(job, worker);
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

    /// What the start is expected to do to services, in thousandths of slowdown squared.
    ///
    /// The square spreads noisy neighbours: a second one on a worker costs more than the
    /// first one on the next, since a tail is made where several meet.
    fn expected_harm(&self, job: &JobView, worker: &Worker) -> u64 {
        let square = |slowdown: u32| u64::from(slowdown) * u64::from(slowdown) / 1000;
        if job.is_service() {
            return square(self.interference.added(job.kind, &worker.kinds));
        }
        let services = worker.kinds.iter().filter(|(kind, _)| self.kinds.is_service(*kind));
        let harms = services.map(|(service, count)| {
            let added = self.interference.pair(*service, job.kind) as u32;
            if added == 0 {
                return 0;
            }
            let before = self.interference.added(*service, &worker.kinds);
            u64::from(*count) * (square(before + added) - square(before))
        });
        harms.sum()
    }

    /// Whether a start is expected to slow a service there beyond the target.
    ///
    /// Tasks of one kind are noisy together; those of several kinds seldom are, so they
    /// may add up to twice as much.
    pub(crate) fn is_too_much(&self, job: &JobView, worker: &Worker) -> bool {
        const BUDGET: f32 = (TARGET - 1000) as f32;
        let same = worker.kinds.iter().find(|(kind, _)| *kind == job.kind);
        let same = same.map_or(0, |(_, count)| *count) as f32 + 1.0;
        let mut services = worker.kinds.iter().filter(|(kind, _)| self.kinds.is_service(*kind));
        services.any(|(service, _)| {
            let each = self.interference.pair(*service, job.kind);
            let all = || self.interference.added(*service, &worker.kinds) as f32 + each;
            each > 0.0 && (each * same > BUDGET || each > NOISY && all() > 2.0 * BUDGET)
        })
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
