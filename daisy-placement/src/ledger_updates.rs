//! Updates of the holder from the fold of the log.

use daisy_ledger::{Job, State, Task, TaskState};
use daisy_model::{Exit, Incarnation, Instant, JobId, Order, TaskId};

use crate::{
    holder::Holder,
    job::JobView,
    reason::Reason,
    task::{LocalTask, Phase},
    worker::{Removal, WorkerKey},
};

/// The maximum number of tasks of finished jobs whose reasons are retained: those of about four
/// minutes at the planned load of 62 ended tasks per second.
const MAX_RETIRED_TASKS: usize = 16_384;

impl Holder {
    /// Applies a newer fold of the log.
    pub(crate) fn handle_ledger(&mut self, now: Instant, state: &State) {
        let Some(holding) = state.holders.get(&self.options.dc) else { return };
        if holding.epoch > self.options.epoch || holding.released {
            self.superseded = true;
            return;
        }
        // A fold that has not reached this holder's claim may lack records of the previous
        // holder.
        if holding.epoch < self.options.epoch {
            return;
        }
        self.ledger_seen = true;
        self.paused.clone_from(&state.paused);
        self.policy.clone_from(&state.policy.1);
        self.teams.clear();
        self.teams.extend(state.teams.iter().map(|(_, team)| (team.limit, team.used)));
        self.apply_drains(now, &state.drained);
        self.add_new_jobs(now, state);
        let ids: Vec<JobId> = self.jobs.iter().map(|(id, _)| *id).collect();
        for id in ids {
            match state.jobs.get(id) {
                Some(job) => self.update_job(now, id, job),
                None => drop(self.jobs.remove(&id)),
            }
        }
        self.check_out_pending(now);
    }

    fn add_new_jobs(&mut self, now: Instant, state: &State) {
        let first_new = self.next_job;
        for (id, job) in state.jobs.iter().rev().take_while(|(id, _)| *id >= first_new) {
            if job.open > 0 {
                let family = self.families.of(&job.spec);
                self.jobs.insert(id, JobView::new(now, id, job, family, &self.options));
            }
        }
        self.next_job = state.jobs.next_id();
    }

    fn update_job(&mut self, now: Instant, id: JobId, job: &Job) {
        let Some(view) = self.jobs.get_mut(&id) else { return };
        // Most jobs have not changed since the last fold. Checking each of their tasks would
        // take most of a holder's processor time.
        if view.up_to_date
            && view.generation == job.generation
            && view.last_ledger_tasks == job.tasks
        {
            return;
        }
        if view.generation != job.generation {
            view.apply_change(now, &job.spec, &self.options);
            view.generation = job.generation;
            self.roster.invalidate_confirmations(id);
        }
        view.cancelled = job.cancelled;
        view.pending.clear();
        view.last_ledger_tasks.clone_from(&job.tasks);
        for task in &job.tasks[view.tasks.len().min(job.tasks.len())..] {
            view.tasks.push(LocalTask::new(*task));
        }
        for index in view.tasks_to_update(self.options.dc, job) {
            self.update_task(now, TaskId { job: id, index }, &job.tasks[index as usize]);
        }
        let dc = self.options.dc;
        let Some(view) = self.jobs.get_mut(&id) else { return };
        view.up_to_date = view.tasks_to_update(dc, job).is_empty();
        if job.open == 0 && view.tasks.iter().all(|local| local.phase == Phase::NotOurs) {
            self.retire_job(id);
            self.queue.retain(|(_, job)| *job != id);
        }
    }

    /// Removes a finished job and retains the reasons of its tasks for a while.
    fn retire_job(&mut self, id: JobId) {
        let Some(view) = self.jobs.remove(&id) else { return };
        for (index, local) in (0_u32..).zip(view.tasks) {
            self.retired.push_back((TaskId { job: id, index }, local.notes));
        }
        let surplus = self.retired.len().saturating_sub(MAX_RETIRED_TASKS);
        self.retired.drain(..surplus);
    }

    fn update_task(&mut self, now: Instant, id: TaskId, task: &Task) {
        let Some(view) = self.jobs.get_mut(&id.job) else { return };
        let Some(local) = view.tasks.get_mut(id.index as usize) else { return };
        let is_finished =
            local.phase == Phase::NotOurs && matches!(task.state, TaskState::Ended(_));
        local.ledger = *task;
        if is_finished {
            return;
        }
        match task.state {
            TaskState::Pending => self.handle_pending(now, id),
            TaskState::CheckedOut(owner) if owner.dc == self.options.dc => {
                let is_own = owner.epoch == self.options.epoch;
                self.handle_checked_out(now, id, is_own);
            }
            TaskState::CheckedOut(_) | TaskState::Ended(_) => self.handle_not_ours(id),
        }
    }

    /// Handles a task that no data centre has: it may be checked out.
    fn handle_pending(&mut self, now: Instant, id: TaskId) {
        let Some(local) = self.local(id) else { return };
        match local.phase {
            Phase::Pending { .. } | Phase::CheckoutRequested { .. } => {}
            Phase::Ended { worker, .. } if local.is_end_recorded(local.incarnation) => {
                let incarnation = local.incarnation;
                self.acknowledge(worker, id, incarnation);
                self.set_phase(id, Phase::Pending { since: now });
            }
            Phase::NotOurs | Phase::Inherited { .. } => {
                self.set_phase(id, Phase::Pending { since: now });
            }
            Phase::Waiting { .. } => {
                self.remove_from_queue(id);
                self.set_phase(id, Phase::Pending { since: now });
            }
            Phase::Returned { .. } => {
                let retry_at = now + self.options.limits.return_after;
                self.set_phase(id, Phase::Pending { since: retry_at });
            }
            Phase::Ended { .. } => self.record_end(now, id),
            Phase::Starting { worker } | Phase::Running { worker } => self.stop(worker, id),
        }
        let Some(view) = self.jobs.get_mut(&id.job) else { return };
        if matches!(
            view.tasks[id.index as usize].phase,
            Phase::Pending { .. } | Phase::CheckoutRequested { .. }
        ) {
            view.pending.push(id.index);
        }
    }

    /// Handles a task that is checked out to this data centre, by this epoch or an earlier one.
    fn handle_checked_out(&mut self, now: Instant, id: TaskId, is_own: bool) {
        let Some(local) = self.local(id) else { return };
        let is_cancelled = self.is_unwanted(id);
        match local.phase {
            Phase::NotOurs | Phase::Pending { .. } | Phase::CheckoutRequested { .. } => {
                let incarnation = local.ledger.incarnation;
                if let Some(local) = self.local_mut(id) {
                    local.incarnation = incarnation;
                }
                if is_own {
                    self.note(now, id, Reason::CheckedOut);
                    self.enqueue(now, id);
                } else {
                    self.inherit(now, id);
                }
            }
            Phase::Ended { worker, .. } if local.is_end_recorded(local.incarnation) => {
                let incarnation = local.incarnation;
                self.acknowledge(worker, id, incarnation);
                self.enqueue(now, id);
            }
            Phase::Ended { .. } => self.record_end(now, id),
            Phase::Running { worker } => {
                self.record_placement(now, id);
                if is_cancelled {
                    self.stop(worker, id);
                }
            }
            Phase::Starting { worker } if is_cancelled => self.cancel_start(now, worker, id),
            Phase::Starting { worker } => self.start_recorded(now, worker, id),
            Phase::Waiting { .. } if is_cancelled => self.end_unstarted(now, id),
            Phase::Returned { at } if now >= at + self.options.limits.resend_after => {
                self.enqueue(now, id)
            }
            Phase::Waiting { .. } | Phase::Inherited { .. } | Phase::Returned { .. } => {}
        }
    }

    /// Handles a task that another data centre has, or that will not run again.
    fn handle_not_ours(&mut self, id: TaskId) {
        let Some(local) = self.local(id) else { return };
        match local.phase {
            Phase::Starting { worker } | Phase::Running { worker } => self.stop(worker, id),
            Phase::Ended { worker, .. } => {
                let incarnation = local.incarnation;
                self.acknowledge(worker, id, incarnation);
                self.set_phase(id, Phase::NotOurs);
            }
            Phase::Waiting { .. } => {
                self.remove_from_queue(id);
                self.set_phase(id, Phase::NotOurs);
            }
            _ => self.set_phase(id, Phase::NotOurs),
        }
    }

    pub(crate) fn set_phase(&mut self, id: TaskId, phase: Phase) {
        if let Some(local) = self.local_mut(id) {
            local.phase = phase;
        }
    }

    pub(crate) fn remove_from_queue(&mut self, id: TaskId) {
        if let Some(job) = self.jobs.get_mut(&id.job) {
            job.waiting.retain(|index| *index != id.index);
        }
    }

    /// Lets the worker forget an exit report once the ledger shows the end.
    pub(crate) fn acknowledge(
        &mut self,
        worker: Option<WorkerKey>,
        task: TaskId,
        incarnation: Incarnation,
    ) {
        let Some(worker) = worker.and_then(|key| self.worker_mut(key)) else { return };
        let order = Order::Acknowledge { task, incarnation };
        if !worker.orders.contains(&order) {
            worker.orders.push(order);
        }
    }

    /// Orders a task to be stopped on its worker.
    pub(crate) fn stop(&mut self, key: WorkerKey, task: TaskId) {
        self.order_removal(key, task, |incarnation| Order::Stop { task, incarnation });
    }

    /// Orders the end of a task on its worker, unless it is already ordered.
    pub(crate) fn order_removal(
        &mut self,
        key: WorkerKey,
        task: TaskId,
        order: impl FnOnce(Incarnation) -> Order,
    ) {
        let Some(worker) = self.worker_mut(key) else { return };
        let Some(allocation) = worker.allocations.get_mut(&task) else { return };
        if allocation.removal == Removal::Ordered {
            return;
        }
        allocation.removal = Removal::Ordered;
        let order = order(allocation.incarnation);
        worker.orders.push(order);
        self.roster.mark_for_call(key);
    }

    /// Orders the stop of a task whose start was sent, or withdraws the start if no call has
    /// carried it yet.
    fn cancel_start(&mut self, now: Instant, key: WorkerKey, task: TaskId) {
        let Some(worker) = self.worker_mut(key) else { return };
        let is_unsent =
            worker.allocations.get(&task).is_none_or(|allocation| allocation.state.is_unsent());
        if !is_unsent {
            self.stop(key, task);
            return;
        }
        worker.release(task);
        worker.orders.retain(|order| !is_start_of(order, task));
        self.roster.reindex(key);
        self.end_unstarted(now, task);
    }

    /// Records the end of a cancelled task that is checked out here and runs nowhere.
    pub(crate) fn end_unstarted(&mut self, now: Instant, task: TaskId) {
        self.end_unstarted_as(now, task, Exit::Stopped);
    }

    /// Records the given exit for a task that is checked out here and runs nowhere.
    pub(crate) fn end_unstarted_as(&mut self, now: Instant, task: TaskId, exit: Exit) {
        self.remove_from_queue(task);
        let Some(local) = self.local_mut(task) else { return };
        local.incarnation = local.next_incarnation();
        local.phase = Phase::Ended { worker: None, exit, recorded_at: None };
        self.record_end(now, task);
    }
}

pub(crate) fn is_start_of(order: &Order, task: TaskId) -> bool {
    matches!(order, Order::Start { task: it, .. } if *it == task)
}
