//! Quarantine of workers that fail what they start, and backoff of jobs whose starts fail.

use std::time::Duration;

use daisy_model::{Instant, JobId, VmId};

use crate::{
    holder::Holder,
    reason::{Reason, WaitReason},
    worker::{AllocationState, WorkerKey},
};

/// The number of consecutive failures after which a worker is quarantined.
const FAILURES_TO_QUARANTINE: u32 = 3;
/// The duration of a worker's first quarantine; it doubles with each further one.
const FIRST_QUARANTINE: Duration = Duration::from_secs(10);
/// The maximum number of doublings of the quarantine, which bound it to 640 s before the random
/// addition.
const MAX_QUARANTINE_DOUBLINGS: u32 = 6;
/// At most one in this many workers is quarantined. If more workers fail, they are not the cause,
/// and quarantining all of them would stop all work.
const QUARANTINE_DIVISOR: usize = 4;
/// The run time of a task after which its worker is considered healthy.
const HEALTHY_RUN_TIME: Duration = Duration::from_secs(10);
/// The first backoff of a job whose start failed; it doubles with each further failure.
const FIRST_JOB_BACKOFF: Duration = Duration::from_millis(200);
const MAX_JOB_BACKOFF_DOUBLINGS: u32 = 7;

/// The recent failures of a worker and its quarantine.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct WorkerFaults {
    consecutive_failures: u32,
    /// The job of the first of the consecutive failures.
    first_job: Option<JobId>,
    /// Whether more than one job failed.
    several_jobs: bool,
    /// The number of quarantines since the worker was last healthy.
    quarantine_count: u32,
    /// The worker gets no task until this time.
    quarantined_until: Option<Instant>,
    /// Whether the worker gets a single task to test whether it works again.
    probing: bool,
    /// Whether that task has been given to the worker.
    probe_sent: bool,
}

impl WorkerFaults {
    /// Whether the worker may be given a task.
    pub(crate) fn accepts_tasks(&self) -> bool {
        self.quarantined_until.is_none() && !(self.probing && self.probe_sent)
    }

    pub(crate) fn is_quarantined(&self) -> bool {
        self.quarantined_until.is_some() || self.probing
    }

    pub(crate) fn is_suspect(&self) -> bool {
        self.consecutive_failures > 0 || self.probing
    }

    /// Records that a task was given to the worker.
    pub(crate) fn note_start(&mut self) {
        self.probe_sent = self.probing;
    }
}

/// The recent failures of a job.
#[derive(Debug, Clone, Default)]
pub(crate) struct JobFaults {
    consecutive_failures: u32,
    /// Up to two workers on which the job failed; more make no difference.
    failed_on: Vec<VmId>,
    /// No task of the job starts before this time.
    pub(crate) retry_at: Option<Instant>,
}

impl Holder {
    /// Records that a task failed on a worker, at its start or soon after.
    pub(crate) fn note_failure(&mut self, now: Instant, key: WorkerKey, job: JobId) {
        let Some(vm) = self.roster.get(key).map(|worker| worker.id) else { return };
        let is_job_at_fault = self.has_failed_elsewhere(job, vm);
        self.back_off_job(now, job, vm);
        let is_limit_reached = self.is_quarantine_limit_reached();
        let random = self.roster.random(500);
        let Some(worker) = self.roster.get_mut(key) else { return };
        let faults = &mut worker.faults;
        faults.consecutive_failures = faults.consecutive_failures.saturating_add(1);
        let first = *faults.first_job.get_or_insert(job);
        faults.several_jobs |= first != job;
        // A job that also fails on other workers is at fault itself, not its workers.
        let is_worker_at_fault = !is_job_at_fault || faults.several_jobs;
        let is_quarantine_due = (faults.consecutive_failures >= FAILURES_TO_QUARANTINE
            || faults.probing)
            && is_worker_at_fault;
        if !is_quarantine_due
            || is_limit_reached && !faults.probing
            || faults.quarantined_until.is_some()
        {
            return;
        }
        // A random addition of up to a half spreads the probes of workers that failed together.
        let duration =
            FIRST_QUARANTINE * 2_u32.pow(faults.quarantine_count.min(MAX_QUARANTINE_DOUBLINGS));
        let duration = duration + duration * random / 1000;
        faults.quarantine_count += 1;
        faults.quarantined_until = Some(now + duration);
        faults.probing = false;
        let failures = faults.consecutive_failures;
        worker.notes.add(now, Reason::Quarantined { failures, duration });
        self.roster.reindex(key);
    }

    /// Records that a worker ran a task successfully.
    pub(crate) fn note_success(&mut self, key: WorkerKey, job: JobId) {
        if let Some(worker) = self.roster.get_mut(key) {
            worker.faults = WorkerFaults::default();
        }
        if let Some(job) = self.jobs.get_mut(&job) {
            job.faults = JobFaults::default();
        }
    }

    /// Clears the failures of a worker that has run a task for long enough.
    pub(crate) fn clear_suspect(&mut self, now: Instant, key: WorkerKey) {
        let Some(worker) = self.roster.get(key).filter(|it| it.faults.is_suspect()) else { return };
        let long_run = worker.allocations.iter().find(|(_, allocation)| {
            allocation.state == AllocationState::Running
                && now >= allocation.since + HEALTHY_RUN_TIME
        });
        // While a quarantined worker is probed, tasks that ran before prove nothing: only the
        // probe clears it.
        let is_probing = worker.faults.probing;
        if let Some((task, allocation)) = long_run
            && (!is_probing || now < allocation.since + 3 * HEALTHY_RUN_TIME)
        {
            let job = task.job;
            self.note_success(key, job);
        }
    }

    /// Lets workers whose quarantine is over have one task each as a probe.
    pub(crate) fn probe_quarantined_workers(&mut self, now: Instant) {
        for key in self.roster.keys() {
            let Some(worker) = self.roster.get_mut(key) else { continue };
            if worker.faults.quarantined_until.is_some_and(|until| now >= until) {
                worker.faults.quarantined_until = None;
                worker.faults.probing = true;
                worker.faults.probe_sent = false;
                worker.notes.add(now, Reason::Probing);
                self.roster.reindex(key);
            }
        }
    }

    /// Whether a job has failed on another worker since it last succeeded.
    fn has_failed_elsewhere(&self, job: JobId, vm: VmId) -> bool {
        let Some(job) = self.jobs.get(&job) else { return false };
        job.faults.failed_on.iter().any(|other| *other != vm)
    }

    fn back_off_job(&mut self, now: Instant, job: JobId, vm: VmId) {
        let Some(job) = self.jobs.get_mut(&job) else { return };
        let faults = &mut job.faults;
        let retry_in = FIRST_JOB_BACKOFF
            * 2_u32.pow(faults.consecutive_failures.min(MAX_JOB_BACKOFF_DOUBLINGS));
        faults.consecutive_failures = faults.consecutive_failures.saturating_add(1);
        faults.retry_at = Some(now + retry_in);
        if faults.failed_on.len() < 2 && !faults.failed_on.contains(&vm) {
            faults.failed_on.push(vm);
        }
        job.set_wait_reason(now, WaitReason::Backoff { retry_in });
    }

    fn is_quarantine_limit_reached(&self) -> bool {
        let quarantined = self.roster.iter().filter(|(_, it)| it.faults.is_quarantined()).count();
        let workers = self.roster.iter().count();
        quarantined + 1 > (workers / QUARANTINE_DIVISOR).max(1)
    }
}
