//! Workers that fail what they start.

use std::time::Duration;

use daisy_model::{Instant, JobId, VmId};

use crate::{
    holder::Holder,
    reason::{Reason, Wait},
    worker::{Hold, WorkerKey},
};

/// Failures in a row after which a worker is put aside.
const FAILURES: u32 = 3;
/// How long a worker is put aside the first time; twice as long each time after.
const ASIDE: Duration = Duration::from_secs(10);
/// The longest that a worker is put aside: ten minutes and a bit.
const MOST_DOUBLINGS: u32 = 6;
/// At most one worker in so many is put aside: when more fail, the cause lies elsewhere,
/// and putting all aside would stop all work.
const ASIDE_SHARE: usize = 4;
/// A task that ran for this long shows that its worker works.
const WORKS_AFTER: Duration = Duration::from_secs(10);
/// First wait of a job whose start failed; twice as long each time after.
const JOB_BACKOFF: Duration = Duration::from_millis(200);
const MOST_JOB_DOUBLINGS: u32 = 7;

/// What speaks against a worker.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Faults {
    in_a_row: u32,
    /// The job of the first failure in a row.
    first_job: Option<JobId>,
    /// Whether more than one job failed.
    several_jobs: bool,
    /// How often it has been put aside since it last worked.
    times: u32,
    /// It gets nothing until then.
    aside_until: Option<Instant>,
    /// It gets one task, to see whether it works.
    probing: bool,
    /// The probe is on its way.
    probed: bool,
}

impl Faults {
    /// Whether the worker may be given a task.
    pub(crate) fn is_open(&self) -> bool {
        self.aside_until.is_none() && !(self.probing && self.probed)
    }

    pub(crate) fn is_aside(&self) -> bool {
        self.aside_until.is_some() || self.probing
    }

    pub(crate) fn is_suspect(&self) -> bool {
        self.in_a_row > 0 || self.probing
    }

    /// Notes that a task was given to the worker.
    pub(crate) fn note_start(&mut self) {
        self.probed = self.probing;
    }
}

/// What speaks against a job.
#[derive(Debug, Clone, Default)]
pub(crate) struct JobFaults {
    in_a_row: u32,
    /// Two workers that failed it; more are of no interest.
    failed_on: Vec<VmId>,
    /// Nothing of it starts before.
    pub(crate) retry_at: Option<Instant>,
}

impl Holder {
    /// Takes in that a task failed on a worker, at its start or soon after.
    pub(crate) fn note_failure(&mut self, now: Instant, key: WorkerKey, job: JobId) {
        let Some(vm) = self.roster.get(key).map(|worker| worker.id) else { return };
        let is_jobs_fault = self.fails_elsewhere(job, vm);
        self.back_off(now, job, vm);
        let is_bounded = self.is_too_much_aside();
        let random = self.roster.random(500);
        let Some(worker) = self.roster.get_mut(key) else { return };
        let faults = &mut worker.faults;
        faults.in_a_row = faults.in_a_row.saturating_add(1);
        let first = *faults.first_job.get_or_insert(job);
        faults.several_jobs |= first != job;
        // A job that fails on other workers as well speaks against itself, not against them.
        let is_workers_fault = !is_jobs_fault || faults.several_jobs;
        let is_enough = (faults.in_a_row >= FAILURES || faults.probing) && is_workers_fault;
        if !is_enough || is_bounded && !faults.probing || faults.aside_until.is_some() {
            return;
        }
        // Spread by up to a half, so that workers that failed together are tried apart.
        let wait = ASIDE * 2_u32.pow(faults.times.min(MOST_DOUBLINGS));
        let wait = wait + wait * random / 1000;
        faults.times += 1;
        faults.aside_until = Some(now + wait);
        faults.probing = false;
        let failures = faults.in_a_row;
        worker.notes.add(now, Reason::PutAside { failures, wait });
        self.roster.reindex(key);
    }

    /// Takes in that a worker ran a task as it should.
    pub(crate) fn note_success(&mut self, key: WorkerKey, job: JobId) {
        if let Some(worker) = self.roster.get_mut(key) {
            worker.faults = Faults::default();
        }
        if let Some(job) = self.jobs.get_mut(&job) {
            job.faults = JobFaults::default();
        }
    }

    /// Clears a suspect worker that has run something for a while.
    pub(crate) fn clear_suspect(&mut self, now: Instant, key: WorkerKey) {
        let Some(worker) = self.roster.get(key).filter(|it| it.faults.is_suspect()) else { return };
        let old = worker
            .held
            .iter()
            .find(|(_, held)| held.hold == Hold::Running && now >= held.since + WORKS_AFTER);
        // While it fails other work, what ran before proves nothing: only a probe clears.
        let is_probe = worker.faults.probing;
        if let Some((task, held)) = old
            && (!is_probe || now < held.since + 3 * WORKS_AFTER)
        {
            let job = task.job;
            self.note_success(key, job);
        }
    }

    /// Gives workers that have been aside for long enough one task each.
    pub(crate) fn probe(&mut self, now: Instant) {
        for key in self.roster.keys() {
            let Some(worker) = self.roster.get_mut(key) else { continue };
            if worker.faults.aside_until.is_some_and(|until| now >= until) {
                worker.faults.aside_until = None;
                worker.faults.probing = true;
                worker.faults.probed = false;
                worker.notes.add(now, Reason::Probed);
                self.roster.reindex(key);
            }
        }
    }

    /// Whether a job has failed on another worker since it last ran as it should.
    fn fails_elsewhere(&self, job: JobId, vm: VmId) -> bool {
        let Some(job) = self.jobs.get(&job) else { return false };
        job.faults.failed_on.iter().any(|other| *other != vm)
    }

    fn back_off(&mut self, now: Instant, job: JobId, vm: VmId) {
        let Some(job) = self.jobs.get_mut(&job) else { return };
        let faults = &mut job.faults;
        let wait = JOB_BACKOFF * 2_u32.pow(faults.in_a_row.min(MOST_JOB_DOUBLINGS));
        faults.in_a_row = faults.in_a_row.saturating_add(1);
        faults.retry_at = Some(now + wait);
        if faults.failed_on.len() < 2 && !faults.failed_on.contains(&vm) {
            faults.failed_on.push(vm);
        }
        job.waits(now, Wait::Backoff { wait });
    }

    fn is_too_much_aside(&self) -> bool {
        let aside = self.roster.iter().filter(|(_, it)| it.faults.is_aside()).count();
        let workers = self.roster.iter().count();
        aside + 1 > (workers / ASIDE_SHARE).max(1)
    }
}
