//! Processes runs that have ended, and the consequences for their jobs.

use std::time::Duration;

use daisy_model::Instant;

use super::{
    Owner,
    message::{Action, EndedRun, Note, Outcome, StopCause},
    worker::{HeldEnd, StartState, StopState, Worker, WorkerKey},
};
use crate::{JobId, Phase, TaskId};

/// Number of consecutive failed runs on a worker after which it gets no new tasks for a while;
/// failures of steps that have failed before do not count.
const MAX_CONSECUTIVE_FAILURES: u32 = 2;
/// Failures further apart than this are not consecutive: long-running tasks seldom end, and may
/// fail at any time.
const FAILURE_WINDOW: Duration = Duration::from_secs(3);
/// Maximum number of ended runs on a worker that wait for an acknowledgement behind one that is held
/// back: a worker lists at most 500.
const MAX_HELD_ENDS: u64 = 400;

impl Owner {
    pub(super) fn run_ended(&mut self, now: Instant, key: WorkerKey, it: EndedRun) {
        self.open_starts.listed(it.task, it.run);
        self.mark_begun(it.task.job);
        if it.outcome == Outcome::Done {
            self.observe_end(now, key, it.task, it.run);
        }
        let is_superseded = it.outcome == Outcome::Done && self.is_superseded(it.task, it.run);
        let is_held = it.outcome == Outcome::Done && self.may_start_again(now, it.task);
        // The log keeps no tasks of an ended job, so there is nothing to record.
        let is_recorded = match self.ledger.job(it.task.job) {
            Some(job) => {
                job.progress.phase != Phase::Active && job.progress.task(it.task).is_none()
            }
            None => self.ledger.state(it.task.job).is_some(),
        };
        let Some(worker) = self.workers.get_mut(key) else { return };
        if is_recorded && worker.cursor_durable == worker.cursor_seen {
            worker.cursor_durable = worker.cursor_durable.max(it.number);
        }
        worker.cursor_seen = worker.cursor_seen.max(it.number);
        if is_superseded || is_held {
            worker.held_ends.push(HeldEnd { number: it.number, task: it.task, is_superseded });
        }
        let id = worker.id.clone();
        worker.remove(it.task, it.run);
        self.plan_due = true;
        let EndedRun { task, run, outcome, .. } = it;
        if is_superseded {
            self.actions.push(Action::Note(Note::EndSuperseded { task, run, worker: id }));
            return self.remove_if_ended(task.job);
        }
        let saved = !it.checkpoint.is_empty();
        self.actions.push(Action::Note(Note::RunEnded { task, run, worker: id, outcome, saved }));
        let Some(state) = self.task_mut(task) else { return };
        let is_uncounted = state.is_uncounted_failure(run);
        state.copies.retain(|it| it.run != run);
        if !it.checkpoint.is_empty() {
            state.checkpoint.clone_from(&it.checkpoint);
        }
        match outcome {
            Outcome::Done => self.task_done(now, key, task),
            Outcome::Failed if is_uncounted => self.run_failed(now, key, task, run),
            _ => {}
        }
        self.remove_if_ended(task.job);
    }

    /// Returns the number of the last ended run on a worker that may be acknowledged.
    ///
    /// An end as done is held back while a copy of a start order of its task may be carried out:
    /// the worker could crash, and its next incarnation could start the task again after its
    /// acknowledged end. So is one of a run that was superseded, for as long as the worker lists it.
    pub(super) fn acknowledged_ends(&mut self, now: Instant, key: WorkerKey) -> u64 {
        let Some(worker) = self.workers.get_mut(key) else { return 0 };
        if worker.held_ends.is_empty() {
            return worker.cursor_durable;
        }
        let (seen, durable) = (worker.cursor_seen, worker.cursor_durable);
        let mut held_ends = std::mem::take(&mut worker.held_ends);
        held_ends.retain(|it| {
            it.number + MAX_HELD_ENDS > seen
                && (it.is_superseded || self.may_start_again(now, it.task))
        });
        let cursor = held_ends.iter().map(|it| it.number - 1).fold(durable, u64::min);
        if let Some(worker) = self.workers.get_mut(key) {
            worker.held_ends = held_ends;
        }
        cursor
    }

    /// Whether a copy of a start order may still start a task whose end must be final.
    fn may_start_again(&self, now: Instant, task: TaskId) -> bool {
        let step =
            self.ledger.job(task.job).and_then(|it| it.spec.steps.get(usize::from(task.step)));
        // The copies of a speculative step may run at any time. One end of a gang stands for all of
        // its tasks; of a job whose steps are not kept, any may be one.
        let tasks = match step {
            Some(it) if it.speculative => return false,
            it if it.is_none_or(|it| it.gang) => {
                TaskId { index: 0, ..task }..=TaskId { index: u32::MAX, ..task }
            }
            _ => task..=task,
        };
        self.open_starts.any_may_be_carried_out(now, tasks)
    }

    fn task_done(&mut self, now: Instant, key: WorkerKey, task: TaskId) {
        if let Some(worker) = self.workers.get_mut(key) {
            worker.failures = 0;
        }
        let Some(job) = self.ledger.job_mut(task.job) else { return };
        let Some(step) = job.spec.steps.get(usize::from(task.step)) else { return };
        let steps = &mut job.progress.occurrences[task.occurrence as usize];
        let tasks = &mut steps[usize::from(task.step)];
        match step.gang {
            true => tasks.iter_mut().for_each(|it| it.done = true),
            false => tasks[task.index as usize].done = true,
        }
        let all_done = job.progress.occurrences.iter().flatten().flatten().all(|it| it.done);
        if all_done && job.progress.phase == Phase::Active {
            self.end_job(now, task.job, Phase::Completed);
        }
        self.stop_copies(now, StopCause::Done, |it| it == task);
    }

    fn run_failed(&mut self, now: Instant, key: WorkerKey, task: TaskId, run: u32) {
        let failed_elsewhere = self.failed_before(task);
        let Some(job) = self.ledger.job_mut(task.job) else { return };
        let Some(step) = job.spec.steps.get(usize::from(task.step)) else { return };
        let steps = &mut job.progress.occurrences[task.occurrence as usize];
        let tasks = &mut steps[usize::from(task.step)];
        // The members of a gang share the numbers of their runs, and each may list the failure of
        // the same run, also to different owners.
        match step.gang {
            true => tasks.iter_mut().for_each(|it| it.count_failure(run)),
            false => tasks[task.index as usize].count_failure(run),
        }
        let failures = tasks[task.index as usize].failures;
        let is_long_running = step.long_running;
        let attempts = job.spec.terms.max_attempts.max(1);
        let is_active = job.progress.phase == Phase::Active;
        self.actions.push(Action::Note(Note::FailureCounted { task, run, failures, attempts }));
        if failures >= attempts && !is_long_running && is_active {
            self.end_job(now, task.job, Phase::Failed);
        }
        // A long-running task may fit on no other worker and be started on this one repeatedly.
        let failed_again =
            is_long_running && self.workers.get(key).is_some_and(|it| has_recent_failure(now, it));
        if !failed_elsewhere || failed_again {
            self.count_failure(now, key);
        }
    }

    /// Whether tasks of this task's step have failed before: then the task is more likely at fault
    /// than the worker.
    fn failed_before(&self, task: TaskId) -> bool {
        let Some(job) = self.ledger.job(task.job) else { return true };
        let steps = job.progress.occurrences.get(task.occurrence as usize);
        let tasks = steps.and_then(|it| it.get(usize::from(task.step)));
        tasks.is_none_or(|it| it.iter().any(|it| it.failures > 0))
    }

    fn count_failure(&mut self, now: Instant, key: WorkerKey) {
        let Some(worker) = self.workers.get_mut(key) else { return };
        if !has_recent_failure(now, worker) {
            worker.failures = 0;
        }
        worker.failures += 1;
        worker.failed_at = now;
        if worker.failures >= MAX_CONSECUTIVE_FAILURES {
            self.suspect(now, key, "consecutive runs failed on it");
        }
    }

    fn end_job(&mut self, now: Instant, id: JobId, phase: Phase) {
        self.note_reruns(id);
        let Some(job) = self.ledger.job_mut(id) else { return };
        job.progress.phase = phase;
        self.unrecorded_jobs.push(id);
        let kind = job.spec.kind();
        let view = self.active.get(&id);
        let (since, due) = view.map_or((now, now), |it| (it.accepted_at, it.objective));
        let outcome = if phase == Phase::Completed { "completed" } else { "failed" };
        let (age, objective) = (now.since(since), due.since(since));
        self.actions.push(Action::Note(Note::JobEnded { job: id, outcome, kind, age, objective }));
        self.stop_copies(now, StopCause::JobOver, |it| it.job == id);
    }

    /// Stops all runs of the tasks for which `includes` returns true.
    pub(super) fn stop_copies(
        &mut self,
        now: Instant,
        cause: StopCause,
        includes: impl Fn(TaskId) -> bool,
    ) {
        for at in 0..self.workers.len() {
            let Some(worker) = self.workers.get_mut(WorkerKey(at as u32)) else { continue };
            for it in worker.tasks.iter_mut().filter(|it| includes(it.task)) {
                if it.stop_state == StopState::NotRequested
                    && it.start_state != StartState::Recording
                {
                    it.request_stop(now, cause);
                }
            }
        }
        self.send_stops(now);
    }

    /// Removes an ended job once none of its runs can be on a worker.
    pub(super) fn remove_if_ended(&mut self, id: JobId) {
        let Some(job) = self.ledger.job(id) else { return };
        if job.progress.phase == Phase::Active && !job.cancelled {
            return;
        }
        let has_runs =
            self.workers.iter().any(|(_, it)| it.tasks.iter().any(|it| it.task.job == id));
        if !has_runs {
            self.active.remove(&id);
            self.removals.noticed.push(id);
        }
    }
}

/// Whether a failure was counted against the worker a short time ago, with no success since.
fn has_recent_failure(now: Instant, worker: &Worker) -> bool {
    worker.failures > 0 && now.since(worker.failed_at) <= FAILURE_WINDOW
}
