//! Orders to start and stop runs, and their answers.

use std::time::Duration;

use daisy_model::Instant;

use super::{
    InFlightBatch, Owner,
    message::{Action, OrderReply, RejectReason, Start, StopCause},
    open_starts::MAX_ORDER_DELAY,
    worker::{DelayedStart, StartState, StopState, WorkerKey},
};
use crate::{JobId, JobState, TaskId};

/// Interval before an unanswered start is sent again: starts are idempotent, and a worker that
/// missed one order usually receives the next.
const START_RETRY_INTERVAL: Duration = Duration::from_millis(100);
/// Interval before an unanswered stop is sent again.
const STOP_RETRY_INTERVAL: Duration = Duration::from_millis(200);
/// Maximum age of the platform's list for sending a start: what it allows for placing a task, and
/// the time to record the start. The platform allows starts until 2.5 s after a worker has announced
/// that it drains.
const MAX_LIST_AGE_AT_START: Duration = Duration::from_millis(2_300);
/// How long a worker gets no new tasks after it left an order unanswered.
const EXCLUSION_NO_ANSWER: Duration = Duration::from_millis(700);
/// How long a worker gets no new tasks after it rejected an order.
const EXCLUSION_REJECTED: Duration = Duration::from_millis(500);
/// How long a worker gets no new tasks after it rejected an order because it is unhealthy.
const EXCLUSION_UNHEALTHY: Duration = Duration::from_secs(2);

impl Owner {
    /// Handles the storing of the current batch: sends its starts, and acknowledges its ended
    /// runs.
    pub(super) fn batch_appended(&mut self, now: Instant, log_end: u64) {
        let Some(it) = self.in_flight.take() else { return };
        self.succession.append_accepted(it.created_at);
        self.succession.witnesses_recorded();
        self.open_starts.record_stored();
        let InFlightBatch {
            starts, cursors, states, delegated, transferring, removed, raised, ..
        } = it;
        self.raise_tokens(now, &raised, log_end);
        self.removals.stored(removed);
        self.states.extend(states);
        delegated.into_iter().for_each(|id| self.forward_job(id));
        transferring.into_iter().for_each(|task| self.forward_task(task));
        for (key, started_at_ms, number) in cursors {
            if let Some(worker) = self.workers.get_mut(key)
                && worker.started_at_ms == started_at_ms
            {
                worker.cursor_durable = worker.cursor_durable.max(number);
            }
            self.renew(now, key);
        }
        for (key, task, run) in starts {
            self.send_start(now, key, task, run);
        }
    }

    /// Withdraws the starts of jobs whose progress the log cannot store: the next owner would not
    /// know them. The ends in the batch are not acknowledged with it.
    pub(super) fn progress_refused(&mut self, jobs: &[JobId]) {
        let Some(batch) = &mut self.in_flight else { return };
        batch.cursors.clear();
        batch.states.retain(|(id, _)| !jobs.contains(id));
        let (withdrawn, starts) = std::mem::take(&mut batch.starts)
            .into_iter()
            .partition(|(_, task, _)| jobs.contains(&task.job));
        batch.starts = starts;
        self.unstorable_jobs.extend(jobs);
        let withdrawn: Vec<(WorkerKey, TaskId, u32)> = withdrawn;
        for (key, task, run) in withdrawn {
            self.unassign(key, task, run);
        }
    }

    fn send_start(&mut self, now: Instant, key: WorkerKey, task: TaskId, run: u32) {
        let lease = self.settings.lease;
        // If the confirmation of the record was slow, another owner's records may precede it in the
        // log.
        let wanted = self.is_wanted(task) && self.may_renew(now);
        let Some(job) = self.ledger.job(task.job) else { return };
        let Some(step) = job.spec.step_of(task) else { return };
        let (text, service) = (job.spec.text.clone(), self.service(&job.spec));
        let steps = &job.progress.occurrences;
        let state = &steps[task.occurrence as usize][usize::from(task.step)][task.index as usize];
        let checkpoint = state.checkpoint.clone();
        let is_list_current = now.since(self.list_read_at) < MAX_LIST_AGE_AT_START;
        let Some(worker) = self.workers.get_mut(key) else { return };
        let Some(start_state) = worker.find(task, run).map(|it| it.start_state) else { return };
        // The worker may have changed while the record was being stored, also its kind.
        let is_reachable = worker.fenced && worker.renewal_failures == 0;
        let accepts_starts = is_reachable
            && worker.ready
            && worker.is_described()
            && worker.suits(&service, step)
            && is_list_current
            && self.evacuations.allows_start(now, &worker.data_centre);
        let has_capacity = accepts_starts && worker.used.fits(worker.capacity);
        let may_send = has_capacity || start_state != StartState::Recording;
        let lease_end = if wanted && may_send { worker.lease_end(now, lease) } else { None };
        let Some(it) = worker.find(task, run) else { return };
        let Some(deadline_ms) = lease_end else {
            // The task is not wanted any more, does not fit, or its worker drains, is unreachable,
            // has just restarted, has another kind or is in an evacuated data centre: nothing was
            // sent.
            self.unassign(key, task, run);
            return;
        };
        it.start_state = StartState::InFlight;
        it.start_attempts += 1;
        it.began_at = now;
        it.progressed_at = now;
        it.checkpoint.clone_from(&checkpoint);
        self.open_starts.sent(now, key, task, run);
        let start = Start { task, run, text, deadline_ms, checkpoint };
        self.actions.push(Action::Start(key, start));
    }

    /// Notes that a worker has begun a task of the job. The job's next record contains it; until then
    /// another owner learns it from the worker's lists.
    pub(super) fn mark_begun(&mut self, id: JobId) {
        let Some(job) = self.ledger.job_mut(id) else { return };
        let was_known = std::mem::replace(&mut job.progress.has_started, true);
        if !was_known && !job.belongs_to_other_shard() {
            self.states.push((id, job.state()));
        }
    }

    /// Whether a task still has to run.
    fn is_wanted(&self, task: TaskId) -> bool {
        let Some(job) = self.ledger.job(task.job) else { return false };
        let active = matches!(job.state(), JobState::Queued | JobState::Running);
        let steps = job.progress.occurrences.get(task.occurrence as usize);
        let tasks = steps.and_then(|it| it.get(usize::from(task.step)));
        active && tasks.and_then(|it| it.get(task.index as usize)).is_some_and(|it| !it.done)
    }

    /// Removes a start that has had no effect and cannot have one.
    fn unassign(&mut self, key: WorkerKey, task: TaskId, run: u32) {
        if let Some(worker) = self.workers.get_mut(key) {
            worker.remove(task, run);
        }
        self.open_starts.not_sent(task, run);
        self.remove_copy(task, run, "");
    }

    /// Whether a worker has rejected an order because another owner has called it. Otherwise this
    /// owner has raised its own token since it sent the order.
    pub(super) fn is_deposed(&self, key: WorkerKey, reply: OrderReply) -> bool {
        let OrderReply::Rejected(RejectReason::Fenced { token }) = reply else { return false };
        self.workers.get(key).is_some_and(|it| token >= it.token)
    }

    pub(super) fn start_answered(
        &mut self,
        now: Instant,
        key: WorkerKey,
        task: TaskId,
        run: u32,
        reply: OrderReply,
    ) {
        if self.is_deposed(key, reply) {
            return self.step_down(now, key);
        }
        if reply != OrderReply::Unknown {
            let is_confirmed = matches!(reply, OrderReply::Done { .. });
            self.open_starts.answered(task, run, is_confirmed);
            if is_confirmed {
                self.mark_begun(task.job);
            }
        }
        let Some(worker) = self.workers.get_mut(key) else { return };
        // The answer may be that of an earlier incarnation, so its clock counts for no lease.
        if let OrderReply::Done { clock_ms } = reply
            && worker.is_clock_reset(clock_ms)
        {
            // The answer to the next renewal identifies the new incarnation; until then the worker
            // gets no new tasks. The order's deadline, by the former clock, got it the longest lease.
            worker.fenced = false;
            worker.clock = None;
            worker.restarted_at = Some(now);
        }
        let Some(it) = worker.find(task, run) else { return };
        match reply {
            OrderReply::Done { .. } => {
                it.start_state = StartState::Confirmed(now);
                if it.best_effort_cpu > 0 {
                    self.pace(now, key);
                }
            }
            OrderReply::Unknown => {
                it.may_be_delayed = true;
                // A listed run needs no other copy of its order.
                if !it.listed {
                    let retry_at = now + START_RETRY_INTERVAL * it.start_attempts.min(8);
                    it.start_state = StartState::Unanswered(retry_at);
                    self.open_starts.request_resend(key, task, run);
                }
                let (allocation, until) = (it.allocation, now + MAX_ORDER_DELAY);
                worker
                    .delayed_starts
                    .retain(|it| it.until > now && (it.task, it.run) != (task, run));
                worker.delayed_starts.push(DelayedStart { task, run, allocation, until });
                self.exclude(now, key, EXCLUSION_NO_ANSWER);
            }
            OrderReply::NotSent if it.may_be_delayed => {
                it.start_state =
                    StartState::Unanswered(now + START_RETRY_INTERVAL * it.start_attempts.min(8));
                self.exclude(now, key, EXCLUSION_NO_ANSWER);
            }
            OrderReply::NotSent => {
                self.exclude(now, key, EXCLUSION_NO_ANSWER);
                self.unassign(key, task, run);
            }
            // An earlier attempt was carried out and the run has ended: the worker's list of ended
            // runs will say how.
            OrderReply::Rejected(RejectReason::StaleRun) if it.may_be_delayed => {
                it.start_state = StartState::Confirmed(now)
            }
            OrderReply::Rejected(cause) => self.start_rejected(now, key, task, run, cause),
        }
    }

    fn start_rejected(
        &mut self,
        now: Instant,
        key: WorkerKey,
        task: TaskId,
        run: u32,
        cause: RejectReason,
    ) {
        let pause = match cause {
            RejectReason::Unhealthy => EXCLUSION_UNHEALTHY,
            _ => EXCLUSION_REJECTED,
        };
        self.exclude(now, key, pause);
        self.note_worker(now, key, "shunned", reject_cause(cause));
        let Some(it) = self.workers.get_mut(key).and_then(|it| it.find(task, run)) else { return };
        // An earlier attempt may still be carried out; only an answered stop rules that out.
        match it.may_be_delayed {
            true => {
                it.start_state = StartState::Unanswered(now + START_RETRY_INTERVAL);
                it.request_stop(now, StopCause::PossiblyDelayed);
                self.send_stops(now);
            }
            false => self.unassign(key, task, run),
        }
    }

    pub(super) fn exclude(&mut self, now: Instant, key: WorkerKey, pause: Duration) {
        if let Some(worker) = self.workers.get_mut(key) {
            worker.excluded_until = worker.excluded_until.max(now + pause);
        }
    }

    /// Sends all stop orders that are due.
    pub(super) fn send_stops(&mut self, now: Instant) {
        for at in 0..self.workers.len() {
            let key = WorkerKey(at as u32);
            let Some(worker) = self.workers.get_mut(key) else { continue };
            for it in &mut worker.tasks {
                if let StopState::Due(at) = it.stop_state
                    && at <= now
                {
                    it.stop_state = StopState::InFlight;
                    self.actions.push(Action::Stop(key, it.task, it.run, it.stop_cause));
                }
            }
        }
    }

    pub(super) fn stop_answered(
        &mut self,
        now: Instant,
        key: WorkerKey,
        task: TaskId,
        run: u32,
        reply: OrderReply,
    ) {
        if self.is_deposed(key, reply) {
            return self.step_down(now, key);
        }
        let Some(it) = self.workers.get_mut(key).and_then(|it| it.find(task, run)) else { return };
        it.stop_state = match reply {
            OrderReply::Done { .. } => StopState::Done(now),
            OrderReply::Rejected(RejectReason::StaleRun | RejectReason::LeaseExpired) => {
                StopState::Done(now)
            }
            OrderReply::Rejected(_) | OrderReply::NotSent | OrderReply::Unknown => {
                StopState::Due(now + STOP_RETRY_INTERVAL)
            }
        };
    }

    /// Sends unanswered start orders again.
    pub(super) fn resend_starts(&mut self, now: Instant) {
        if !self.may_renew(now) || now.since(self.list_read_at) >= MAX_LIST_AGE_AT_START {
            return;
        }
        for at in 0..self.workers.len() {
            let key = WorkerKey(at as u32);
            let Some(worker) = self.workers.get(key) else { continue };
            let due = |start_state: StartState| matches!(start_state, StartState::Unanswered(at) if at <= now);
            let due: Vec<_> = worker
                .tasks
                .iter()
                .filter(|it| it.stop_state == StopState::NotRequested && due(it.start_state))
                .map(|it| (it.task, it.run))
                .collect();
            // No lease is granted while a worker does not answer, so that its leases expire. A
            // draining worker must start nothing, also what was ordered before, nor must one in an
            // evacuated data centre.
            let accepts_starts = worker.renewal_failures == 0
                && worker.clock.is_some()
                && worker.ready
                && worker.is_described()
                && self.evacuations.allows_start(now, &worker.data_centre);
            if !accepts_starts {
                continue;
            }
            for (task, run) in due {
                // The next owner has to know that there are several copies.
                match self.open_starts.may_resend(task, run) {
                    true => self.send_start(now, key, task, run),
                    false => self.open_starts.request_resend(key, task, run),
                }
            }
        }
    }
}

fn reject_cause(cause: RejectReason) -> &'static str {
    match cause {
        RejectReason::Fenced { .. } => "it has seen a higher fencing token",
        RejectReason::StaleRun => "it has ended a later run of a task",
        RejectReason::LeaseExpired => "a start arrived after its lease had expired",
        RejectReason::DoesNotFit => "a start did not fit",
        RejectReason::InvalidTicket => "a start had no valid ticket",
        RejectReason::Unhealthy => "it reports that it is unhealthy",
        RejectReason::OtherIncarnation => "another incarnation answered",
        RejectReason::Malformed => "it does not understand a start",
    }
}
