//! Where services run: learnt by a holder from its workers, told to everybody else.

use std::sync::Arc;

use daisy_ledger::State;
use daisy_model::{DcId, Epoch, JobId, JobKind, SortedMap, VmId, WorkerReport};

/// The backend servers of all services of one data centre.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Replicas {
    pub dc: DcId,
    /// The epoch of the holder that says so.
    pub epoch: Epoch,
    /// Counts the changes, across epochs.
    pub version: u64,
    /// Services and the workers that run a task of theirs, sorted.
    pub pairs: Vec<(JobId, VmId)>,
}

impl Replicas {
    /// Whether `other` says the same at the same version.
    pub fn is_same(&self, other: &Replicas) -> bool {
        (self.epoch, self.version) == (other.epoch, other.version)
    }

    /// Whether `other` is later.
    ///
    /// Guard: two paths may tell of the same data centre, an old holder may still speak after
    /// a new one, and a late message must not bring a stopped backend server back. The epoch
    /// decides, then the number of the change.
    pub fn is_before(&self, other: &Replicas) -> bool {
        (self.epoch, self.version) < (other.epoch, other.version)
    }
}

/// What a holder learns of its workers.
#[derive(Debug, Default)]
pub(crate) struct Running {
    by_worker: SortedMap<VmId, Vec<JobId>>,
}

impl Running {
    /// A new holder goes on from what the last one told: its routes must not go empty
    /// before the workers have answered.
    pub fn adopt(&mut self, replicas: Option<&Arc<Replicas>>) {
        self.by_worker = SortedMap::new();
        for (job, vm) in replicas.iter().flat_map(|it| it.pairs.iter()) {
            self.by_worker.get_or_insert_with(*vm, Vec::new).push(*job);
        }
    }

    /// Takes a worker's report in; whether anything has changed.
    pub fn report(&mut self, state: &State, vm: VmId, report: &WorkerReport) -> bool {
        let is_service =
            |job: JobId| state.jobs.get(job).is_some_and(|it| it.spec.kind == JobKind::Service);
        let running = report.running.iter().map(|it| it.task.job);
        let mut jobs: Vec<JobId> = running.filter(|job| is_service(*job)).collect();
        jobs.sort_unstable();
        jobs.dedup();
        if self.by_worker.get(&vm).map_or(jobs.is_empty(), |known| *known == jobs) {
            return false;
        }
        self.by_worker.insert(vm, jobs);
        true
    }

    /// Forgets workers that are not in the platform's list; whether anything has changed.
    pub fn keep(&mut self, listed: impl Fn(VmId) -> bool) -> bool {
        let before = self.by_worker.len();
        self.by_worker.retain(|vm, _| listed(*vm));
        self.by_worker.len() != before
    }

    /// Services and the workers that run a task of theirs, sorted.
    pub fn pairs(&self) -> Vec<(JobId, VmId)> {
        let by_worker = self.by_worker.iter();
        let mut pairs: Vec<(JobId, VmId)> =
            by_worker.flat_map(|(vm, jobs)| jobs.iter().map(|job| (*job, *vm))).collect();
        pairs.sort_unstable();
        pairs
    }
}
