//! Processes submissions and cancellations of jobs.

use std::time::Duration;

use daisy_model::Instant;

use super::{
    JobView, Owner,
    message::StopCause,
    worker::{StartState, StopState, WorkerKey},
};
use crate::{FoldEffect, Job, JobId, JobSpec, JobState, Phase, Record, RecordKey};

impl Owner {
    pub(super) fn process_record(&mut self, now: Instant, record: Record) {
        if let Record::Removed(RecordKey::Submission(id)) = &record
            && !self.submission_removed(*id)
        {
            return;
        }
        let cancelled = if let Record::Cancelled(id) = &record { Some(*id) } else { None };
        match self.ledger.fold(record) {
            FoldEffect::Submitted(id) => {
                self.job_submitted(now, id);
            }
            FoldEffect::Cancelled(id) => {
                self.observe_cancel(now, id);
                self.publish_state(id);
                self.forward_cancel(id);
                self.cancel(now, id);
            }
            FoldEffect::Ended(id) => self.states.extend(self.ledger.state(id).map(|it| (id, it))),
            FoldEffect::TaskReceived(task) => self.task_received(now, task),
            FoldEffect::Progress(_) | FoldEffect::Claim | FoldEffect::Nothing => {}
        }
        // The submission of a cancelled job may never come.
        self.removals.noticed.extend(cancelled);
        self.plan_due = true;
    }

    /// Processes a submission of a job that was not known.
    ///
    /// Submissions and progress are read independently, so an earlier owner may have started or
    /// delegated the job between this owner's reads of the two. If it were treated as new, it would
    /// run both here and in the shard that it was delegated to, or twice here.
    fn job_submitted(&mut self, now: Instant, id: JobId) {
        let Some(job) = self.ledger.job(id) else { return };
        if job.delegated.is_some() {
            let returned = job.has_received_tasks();
            self.forward_job(id);
            if returned {
                self.inherit_job(now, id);
            }
            return;
        }
        let is_new = job_is_new(job);
        self.publish_state(id);
        match is_new {
            true => {
                self.activate(now, id);
                self.try_delegate(now, id);
            }
            // Tasks of the job that were transferred to this shard may be running already.
            false if self.active.contains_key(&id) => {}
            false => self.inherit_job(now, id),
        }
    }

    fn publish_state(&mut self, id: JobId) {
        // The start of a job that is not recorded yet is published with its record.
        let job = self.ledger.job(id).filter(|it| !it.has_only_received_tasks);
        let state = job.map(|it| match it.state() {
            JobState::Cancelled => JobState::Cancelled,
            _ => JobState::Queued,
        });
        self.states.extend(state.map(|it| (id, it)));
    }

    pub(super) fn activate(&mut self, now: Instant, id: JobId) {
        let Some(job) = self.ledger.job(id) else { return };
        let spec = &job.spec;
        // The clock of the VM that accepted the job may be wrong, so it only determines the age of
        // jobs that are older than this owner, and never as a time in the future.
        let age_ms = self.began_wall_ms.saturating_sub(spec.accepted_ms).min(120_000);
        let accepted_at = match now == self.began_at {
            true => now - Duration::from_millis(age_ms),
            false => now,
        };
        let chain = spec.chain_ms() * u64::from(spec.terms.slack_permille) / 1_000;
        let objective = chain + u64::from(spec.terms.target_latency_ms);
        let view = JobView {
            accepted_at,
            objective: accepted_at + Duration::from_millis(objective),
            times_to_end_ms: spec.times_to_end_ms(),
            idle_since: None,
            logged_waiting: Vec::new(),
        };
        let cancelled = job.cancelled;
        self.mean_task_cpu = mean_task_cpu(self.mean_task_cpu, spec);
        self.observe_job(accepted_at, id);
        self.active.insert(id, view);
        self.last_arrival_at = now;
        if cancelled {
            self.cancel(now, id);
        }
    }

    fn cancel(&mut self, now: Instant, id: JobId) {
        let mut has_runs = false;
        for at in 0..self.workers.len() {
            let Some(worker) = self.workers.get_mut(WorkerKey(at as u32)) else { continue };
            for it in worker.tasks.iter_mut().filter(|it| it.task.job == id) {
                has_runs = true;
                if it.stop_state == StopState::NotRequested
                    && it.start_state != StartState::Recording
                {
                    it.request_stop(now, StopCause::JobOver);
                }
            }
        }
        if !has_runs {
            self.active.remove(&id);
            self.removals.noticed.push(id);
        }
        self.send_stops(now);
    }
}

/// Returns the running mean of the processor time that a finite task reserves, with one more job.
fn mean_task_cpu(mean: u32, spec: &JobSpec) -> u32 {
    /// Number of steps after which an older one has little weight.
    const STEPS: u32 = 16;
    let finite = spec.steps.iter().filter(|it| !it.best_effort && !it.long_running);
    finite.map(|it| it.need.cpu_milli).fold(mean, |mean, cpu| match mean {
        0 => cpu,
        mean => mean / STEPS * (STEPS - 1) + cpu / STEPS,
    })
}

/// Whether no owner has recorded any progress of a job.
fn job_is_new(job: &Job) -> bool {
    job.progress.phase == Phase::Active && !job.progress.may_have_started()
}
