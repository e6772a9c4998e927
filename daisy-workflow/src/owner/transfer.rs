//! Transfers single long-running tasks to shards with free capacity.
//!
//! As with whole jobs, the decision is first recorded in the shard that transfers the task, and
//! only then written to the submissions of the other one; the next owner writes it again. A task is
//! transferred only while it has no run in its shard: if one may still be running, the task stays.

use std::time::Duration;

use daisy_model::Instant;

use super::{
    Owner,
    delegate::WORKER_DISCOVERY_TIME,
    message::{Action, Note},
};
use crate::{
    Demand, IncomingTransfer, Job, JobId, JobState, OutgoingTransfer, Record, StepSpec, TaskId,
};

/// How long a task waits for capacity in its shard before it is transferred.
const TRANSFER_DELAY: Duration = Duration::from_millis(1_000);
/// Remaining delay of a task whose worker was unreachable, as it has been without a run for longer
/// already.
const TRANSFER_DELAY_DISPLACED: Duration = Duration::from_millis(100);
/// Number of transfers after which the delay does not grow any more.
const MAX_BACKOFF_TRANSFERS: u32 = 4;

impl Owner {
    /// Transfers long-running tasks that have waited long for capacity in this shard.
    pub(super) fn transfer_waiting_tasks(&mut self, now: Instant) {
        if now.since(self.began_at) < WORKER_DISCOVERY_TIME {
            return;
        }
        // Tasks that will fit on a reserved worker stay: in another shard their wait would start
        // again.
        let (_, mut staying) = self.eventual_free_capacity(now);
        staying.truncate(self.max_reservations());
        let waiting = self.waiting_since.iter().filter(|(task, _)| !staying.contains(task));
        let due = waiting.filter(|(task, since)| now.since(**since) >= self.transfer_delay(**task));
        let due: Vec<TaskId> = due.map(|(task, _)| *task).collect();
        due.into_iter().for_each(|task| self.try_transfer(now, task));
    }

    /// Returns how long a task waits for capacity in its shard before it is transferred. The delay
    /// grows with each transfer of a task that needs a label: shards do not publish labels, so the
    /// task could circulate among shards that cannot run it.
    fn transfer_delay(&self, task: TaskId) -> Duration {
        let Some(job) = self.ledger.job(task.job) else { return TRANSFER_DELAY };
        let labelled = job.spec.step_of(task).is_some_and(|it| it.required_label.is_some());
        let number = job.transfers.get(&task).filter(|_| labelled).map_or(0, |it| it.number);
        TRANSFER_DELAY * 2u32.pow(number.min(MAX_BACKOFF_TRANSFERS))
    }

    /// Records that a task has already waited while the outcome of its run was unknown.
    pub(super) fn note_displaced(&mut self, now: Instant, task: TaskId) {
        let since = now - (TRANSFER_DELAY - TRANSFER_DELAY_DISPLACED);
        self.waiting_since.insert(task, since);
    }

    /// Updates since when long-running tasks have waited.
    pub(super) fn update_waiting_since(&mut self, now: Instant) {
        let waiting = self.waiting_tasks(now);
        self.waiting_since.retain(|task, _| waiting.binary_search(task).is_ok());
        for task in waiting {
            self.waiting_since.get_or_insert_with(task, || now);
        }
    }

    /// Returns the waiting long-running tasks that may be transferred, sorted.
    fn waiting_tasks(&self, now: Instant) -> Vec<TaskId> {
        let mut waiting = Vec::new();
        for (id, _) in self.active.iter() {
            let Some(job) = self.ledger.job(*id).filter(|it| has_independent_tasks(it)) else {
                continue;
            };
            for ready in self.ready_steps(now, *id) {
                let steps = &job.progress.occurrences[ready.occurrence as usize];
                let tasks = (0u32..).zip(&steps[usize::from(ready.step)]);
                let here = tasks.filter(|(_, it)| it.is_waiting());
                let (occurrence, step) = (ready.occurrence, ready.step);
                waiting.extend(here.map(|(index, _)| TaskId { job: *id, occurrence, step, index }));
            }
        }
        waiting.sort_unstable();
        waiting
    }

    fn try_transfer(&mut self, now: Instant, task: TaskId) {
        let own = self.settings.shard;
        let step = self.ledger.job(task.job).and_then(|it| it.spec.step_of(task));
        if step.is_some_and(|it| self.is_bound_to_shard(it)) {
            return;
        }
        let Some(job) = self.ledger.job_mut(task.job) else { return };
        // The whole job may have been delegated since the waiting tasks were listed.
        if job.progress.task(task).is_none_or(|it| !it.is_waiting()) {
            return;
        }
        let Some(step) = job.spec.steps.get(usize::from(task.step)) else { return };
        let Some(to) = self.other_shards.try_find_capacity(now, own, step.allocation()) else {
            return;
        };
        self.other_shards.add_transfer(now, to, Demand::of_long_running_task(step));
        let number = job.transfers.get(&task).map_or(0, |it| it.number) + 1;
        job.add_transfer(task, OutgoingTransfer { number, to }.into());
        // Only the other shard learns when the task begins.
        job.progress.has_started = true;
        self.unrecorded_jobs.push(task.job);
        self.transferring.push(task);
        self.actions.push(Action::Note(Note::TaskTransferred { task, number, to }));
    }

    /// Returns the records of transfers that are not recorded yet.
    pub(super) fn transfer_records(&self, transferring: &[TaskId]) -> Vec<Record> {
        let record = |task: &TaskId| {
            let newest = self.ledger.job(task.job)?.transfers.get(task)?;
            Some(Record::TaskTransferredOut(
                *task,
                OutgoingTransfer { number: newest.number, to: newest.to? },
            ))
        };
        transferring.iter().filter_map(record).collect()
    }

    /// Writes a task, and its job's cancellation if there is one, to the shard that it was
    /// transferred to.
    pub(super) fn forward_task(&mut self, task: TaskId) {
        let Some(job) = self.ledger.job(task.job) else { return };
        let Some(newest) = job.transfers.get(&task) else { return };
        let (Some(to), Some(state)) = (newest.to, job.progress.task(task)) else { return };
        let transfer = IncomingTransfer {
            number: newest.number,
            spec: (*job.spec).clone(),
            runs: state.runs,
            failures: state.failures,
            checkpoint: state.checkpoint.clone(),
        };
        self.actions.push(Action::Forward(to, Record::TaskTransferredIn(task, Box::new(transfer))));
        if job.cancelled {
            self.actions.push(Action::Forward(to, Record::Cancelled(task.job)));
        }
    }

    /// Writes all transferred tasks again: a new owner does not know which ones its predecessor has
    /// written.
    pub(super) fn forward_all_tasks(&mut self) {
        let transferred = |(_, job): (JobId, &Job)| {
            let outgoing = job.transfers.iter().filter(|(_, it)| it.to.is_some());
            outgoing.map(|(task, _)| *task).collect::<Vec<_>>()
        };
        let tasks: Vec<TaskId> = self.ledger.jobs().flat_map(transferred).collect();
        tasks.into_iter().for_each(|it| self.forward_task(it));
    }

    /// Takes over a task that was transferred to this shard.
    pub(super) fn task_received(&mut self, now: Instant, task: TaskId) {
        if !self.active.contains_key(&task.job) {
            self.inherit_job(now, task.job);
        }
    }
}

/// Whether single tasks of a job may run in another shard: they do not depend on each other, and
/// the end of one does not end the job.
fn has_independent_tasks(job: &Job) -> bool {
    let is_independent = |it: &StepSpec| it.long_running && !it.gang && it.depends_on.is_empty();
    matches!(job.state(), JobState::Queued | JobState::Running)
        && job.spec.steps.iter().all(is_independent)
}
